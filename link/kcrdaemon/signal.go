package kcrdaemon

import "sync"

// Signal wakes all who wait for it. It is safe for concurrent use.
type Signal struct {
	mu sync.Mutex
	c  chan struct{}
}

// NewSignal returns a signal that was never raised.
func NewSignal() *Signal { return &Signal{c: make(chan struct{})} }

// Wait returns a channel that is closed at the next Raise.
func (s *Signal) Wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c
}

// Raise wakes all who wait.
func (s *Signal) Raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.c)
	s.c = make(chan struct{})
}
