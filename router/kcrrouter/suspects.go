package kcrrouter

import (
	"sync"

	"kingcuprun.example/kernel/kcrid"
)

// This file remembers the contents of requests that ran when their upstream crashed.
// All sidecars learn of them from the log, but a retry may come earlier. Invariants: a
// retry after the first crash asks the sidecar to run the request alone, and no retry
// follows the second crash.

const (
	maxSuspects = 1024 // contents remembered
	maxCrashes  = 2    // crashes after which a content is banned
)

// crashSuspects counts crashes by content. If there are more than maxSuspects
// contents, it forgets the oldest. It is safe for concurrent use.
type crashSuspects struct {
	mu      sync.Mutex
	crashes map[kcrid.ContentHash]int
	order   []kcrid.ContentHash // oldest first
}

func newCrashSuspects() *crashSuspects { return &crashSuspects{crashes: map[kcrid.ContentHash]int{}} }

// add counts a crash of the upstream that ran a content.
func (s *crashSuspects) add(c kcrid.ContentHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashes[c]++
	if s.crashes[c] > 1 {
		return
	}
	s.order = append(s.order, c)
	if len(s.order) > maxSuspects {
		delete(s.crashes, s.order[0])
		s.order = s.order[1:]
	}
}

// status returns whether a content must run alone at its upstream, and whether it is
// banned from running at all.
func (s *crashSuspects) status(c kcrid.ContentHash) (alone, banned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes[c] > 0, s.crashes[c] >= maxCrashes
}

// remove forgets a content, since its response was complete.
func (s *crashSuspects) remove(c kcrid.ContentHash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.crashes[c] == 0 {
		return
	}
	delete(s.crashes, c)
	for i, suspect := range s.order {
		if suspect == c {
			s.order = append(s.order[:i], s.order[i+1:]...)
			return
		}
	}
}
