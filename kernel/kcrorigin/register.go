// Package kcrorigin remembers which software version of an upstream began a stream. What two
// versions write doesn't fit together, so a stream may go on only at the version that began it.
package kcrorigin

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines the register. Invariants: the version of an attempt never changes once it is
// noted; an attempt is remembered for at least retention, unless there are more than maxAttempts.

const (
	// retention is longer than any caller takes a stream up.
	retention = kcrclock.Minute
	// maxAttempts is the number of attempts in each of two generations.
	maxAttempts = 50000
)

// Register maps the attempts of callers that brought the first event of a stream to the version
// that began it. It is safe for concurrent use.
type Register struct {
	mu      sync.Mutex
	begun   kcrclock.Time     // of the newer generation
	newer   map[string]string // versions by the ID of the attempt
	earlier map[string]string
}

// New returns an empty register.
func New() *Register { return &Register{newer: map[string]string{}, earlier: map[string]string{}} }

// Note records the version that began the stream of an attempt. Neither may be empty.
func (r *Register) Note(now kcrclock.Time, attempt, version string) {
	if attempt == "" || version == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.newer) >= maxAttempts || now.Sub(r.begun) >= retention {
		r.begun, r.earlier, r.newer = now, r.newer, map[string]string{}
	}
	if _, known := r.find(attempt); !known {
		r.newer[attempt] = version
	}
}

// Find returns the version that began the stream of an attempt.
func (r *Register) Find(attempt string) (version string, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.find(attempt)
}

// find is Find with the lock held.
func (r *Register) find(attempt string) (version string, known bool) {
	if version, known = r.newer[attempt]; known {
		return version, true
	}
	version, known = r.earlier[attempt]
	return version, known
}
