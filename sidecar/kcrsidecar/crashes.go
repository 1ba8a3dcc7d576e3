package kcrsidecar

import (
	"sync"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file finds requests that crash the upstream. Every request that was running
// at a crash becomes a suspect and runs isolated from then on, that is, while no
// other request runs. A request that crashes the upstream while it runs alone is
// refused everywhere.

// crashDetector tracks the contents of the running requests and reports crashes
// on the log.
type crashDetector struct {
	server string

	mu            sync.Mutex
	outbox        *kcrlog.Outbox
	running       map[kcrid.ContentHash]int  // number of runs by content
	localSuspects map[kcrid.ContentHash]bool // contents that ran at a crash here, known before the log confirms it
}

// newCrashDetector returns a detector that appends through the outbox under the
// incarnation of this sidecar.
func newCrashDetector(outbox *kcrlog.Outbox, server string) *crashDetector {
	return &crashDetector{outbox: outbox, server: server, running: map[kcrid.ContentHash]int{}, localSuspects: map[kcrid.ContentHash]bool{}}
}

// begin counts a run of a content.
func (d *crashDetector) begin(content kcrid.ContentHash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.running[content]++
}

// end removes a run of a content.
func (d *crashDetector) end(content kcrid.ContentHash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.running[content]--; d.running[content] <= 0 {
		delete(d.running, content)
	}
}

// suspected reports whether a content was running at a crash of this upstream.
func (d *crashDetector) suspected(content kcrid.ContentHash) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.localSuspects[content]
}

// reportCrash reports a run that the upstream broke off. It must be called before
// end, so that the run itself still counts as running. A known suspect is reported
// again only if it ran isolated.
func (d *crashDetector) reportCrash(content kcrid.ContentHash, isolated bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.localSuspects[content] && !isolated {
		return
	}
	d.localSuspects[content] = true
	d.enqueue(&kcrentry.Suspect{Content: uint64(content), Server: d.server, Alone: isolated && len(d.running) == 1})
}

// reportCleared reports that a suspect ran isolated and the upstream did not crash.
func (d *crashDetector) reportCleared(content kcrid.ContentHash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.localSuspects, content)
	d.enqueue(&kcrentry.Suspect{Content: uint64(content)})
}

// enqueue queues an entry for the configuration stream. The caller holds the lock.
func (d *crashDetector) enqueue(suspect *kcrentry.Suspect) {
	d.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Suspect{Suspect: suspect}})
}

// batch returns the oldest entries to append; see kcrlog.Outbox.
func (d *crashDetector) batch(limit int) ([][]byte, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outbox.Batch(limit)
}

// confirm drops the entries of this sidecar up to one that was read from the log.
func (d *crashDetector) confirm(entry *kcrentry.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if entry.GetWriter() == d.server {
		d.outbox.Confirm(entry.GetSeq())
	}
}
