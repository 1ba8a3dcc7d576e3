package kcrrouter

import (
	"sync"

	"kingcuprun.example/kernel/kcrid"
)

// This file remembers contents whose upstream crashed, until the log tells
// every sidecar: a retry right after the first crash must already run apart,
// and none may follow the second.

const (
	suspectsMost = 1024
	crashesMost  = 2
)

// suspects is safe for concurrent use.
type suspects struct {
	mu    sync.Mutex
	known map[kcrid.Content]int
	order []kcrid.Content
}

func newSuspects() *suspects { return &suspects{known: map[kcrid.Content]int{}} }

func (s *suspects) add(c kcrid.Content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.known[c]++
	if s.known[c] > 1 {
		return
	}
	s.order = append(s.order, c)
	if len(s.order) > suspectsMost {
		delete(s.known, s.order[0])
		s.order = s.order[1:]
	}
}

// of tells whether a content must run apart, and whether not at all.
func (s *suspects) of(c kcrid.Content) (apart, banned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.known[c] > 0, s.known[c] >= crashesMost
}

// clear forgets a content that was answered whole.
func (s *suspects) clear(c kcrid.Content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known[c] == 0 {
		return
	}
	delete(s.known, c)
	for i, o := range s.order {
		if o == c {
			s.order = append(s.order[:i], s.order[i+1:]...)
			return
		}
	}
}
