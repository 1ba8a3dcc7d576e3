package kcrcrash

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file finds upstreams that count as crashed although they still run: they were only cut off,
// stood still, or were too busy to accept a connection. An upstream that has crashed no longer
// writes its entry, and the store removes the entry after a while. Invariant: an upstream is found
// to run only if its entry, of the same start, was in the store for the whole of that time.

// Review holds the upstreams that count as crashed. It is safe for concurrent use.
type Review struct {
	period kcrclock.Duration // after which the entry of a crashed upstream is gone

	mu      sync.Mutex
	crashes map[kcrid.Incarnation]kcrclock.Time // when the last crash of the upstream was counted
}

// maxReviewed bounds the upstreams that are reviewed; beyond it, the crashes of all of them stay.
const maxReviewed = 4096

// NewReview returns an empty review. The store removes the entry of an upstream that has ended
// within period; with a period of 0, no upstream is found to run.
func NewReview(period kcrclock.Duration) *Review {
	return &Review{period: period, crashes: map[kcrid.Incarnation]kcrclock.Time{}}
}

// Counted records that a crash of an upstream was counted.
func (r *Review) Counted(now kcrclock.Time, upstream kcrid.Incarnation) {
	if r.period == 0 || upstream == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.crashes) >= maxReviewed {
		clear(r.crashes)
	}
	r.crashes[upstream] = now
}

// Running returns the upstreams that still run, and forgets them. presentSince returns since when
// the entry of an upstream has been in the store, if it is there.
func (r *Review) Running(now kcrclock.Time, presentSince func(kcrid.Incarnation) (since kcrclock.Time, ok bool)) (running []kcrid.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for upstream, crashedAt := range r.crashes {
		if since, ok := presentSince(upstream); ok && now.Sub(max(since, crashedAt)) >= r.period {
			running = append(running, upstream)
			delete(r.crashes, upstream)
		}
	}
	return running
}
