package kcrtransfer

import (
	"sync"
	"time"
)

// This file defines Patience, which adapts the timeouts of repeated calls to the path that they take.
// Invariant: calls over a path that answers at all succeed after a few attempts, as long as it answers
// within the longest timeout: a call that is given up is never repeated for ever with the timeout that
// was too short.

const (
	// patienceFactor is the multiple of the usual time of a call that a timeout is at least.
	patienceFactor = 2
	// patienceDecay is the weight of a call that took less than the usual time. One that took
	// longer counts in full.
	patienceDecay = 0.5
	// maxDoublings is how often the timeout is doubled at most.
	maxDoublings = 4
)

// Patience holds the timeouts of calls of one kind. It is safe for concurrent use.
type Patience struct {
	longest time.Duration

	mu       sync.Mutex
	usual    time.Duration // that a call takes
	timeouts int           // calls in a row that were given up
}

// NewPatience returns timeouts of at most the longest.
func NewPatience(longest time.Duration) *Patience { return &Patience{longest: longest} }

// Timeout returns the time after which the next call is given up: shortest, or more if calls take
// that long or were given up.
func (p *Patience) Timeout(shortest time.Duration) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(shortest, min(max(shortest, patienceFactor*p.usual)<<p.timeouts, p.longest))
}

// RecordAnswer records how long an answered call took.
func (p *Patience) RecordAnswer(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts = 0
	if took < p.usual {
		took = p.usual - time.Duration(patienceDecay*float64(p.usual-took))
	}
	p.usual = took
}

// RecordTimeout records that a call was given up.
func (p *Patience) RecordTimeout() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.timeouts = min(p.timeouts+1, maxDoublings)
}
