package kcrnode

import "kingcuprun.example/kernel/kcrclock"

// maxSilent bounds the processes that are not asked; beyond it, all of them are asked again.
const maxSilent = 1024

// silentHosts are the addresses of processes that have not answered, by the time before which they
// are not asked again. It is not safe for concurrent use.
type silentHosts map[string]kcrclock.Time

// has reports whether a process is not to be asked now.
func (h silentHosts) has(now kcrclock.Time, addr string) bool { return now < h[addr] }

// add records that a process is not to be asked before a time.
func (h silentHosts) add(addr string, until kcrclock.Time) {
	if len(h) >= maxSilent {
		clear(h)
	}
	h[addr] = until
}
