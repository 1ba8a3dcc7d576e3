package kcradmission

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines how much waits at a router's own link. It answers loads above what the link
// carries: a crowd whose callers come through one router, while others have room. Invariant: what
// is expected to wait never exceeds what was sent and has not had the time to leave.

// packetOverhead is what one write costs on the link beside its bytes.
const packetOverhead = 60 // bytes

// Link estimates what waits to be sent on a link of known speed. It is safe for concurrent use.
type Link struct {
	bytesPerMS float64

	mu      sync.Mutex
	waiting float64       // bytes, as of at
	at      kcrclock.Time // last update
}

// NewLink returns a link on which nothing waits. With a speed of 0 bytes per second, which is an
// unknown one, nothing ever does.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{bytesPerMS: bytesPerSecond / float64(kcrclock.Second)}
}

// Sent records that bytes were handed to the link.
func (l *Link) Sent(now kcrclock.Time, bytes int) {
	if l.bytesPerMS <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drain(now)
	l.waiting += float64(bytes + packetOverhead)
}

// Delay returns how long what is sent now waits.
func (l *Link) Delay(now kcrclock.Time) kcrclock.Duration {
	if l.bytesPerMS <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drain(now)
	return kcrclock.Duration(l.waiting / l.bytesPerMS)
}

// drain removes what has left since the last update.
func (l *Link) drain(now kcrclock.Time) {
	if now > l.at {
		l.waiting = max(0, l.waiting-l.bytesPerMS*float64(now.Sub(l.at)))
		l.at = now
	}
}
