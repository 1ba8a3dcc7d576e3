package kcrdaemon

import "sync"

// This file defines Signal, a broadcast to waiting goroutines.

// Signal wakes all goroutines that wait for it. It can be raised any number of
// times and is safe for concurrent use.
type Signal struct {
	mu     sync.Mutex
	raised chan struct{} // closed and replaced by Raise
}

// NewSignal returns a signal that has not been raised.
func NewSignal() *Signal { return &Signal{raised: make(chan struct{})} }

// Wait returns a channel that the next call of Raise closes.
func (s *Signal) Wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.raised
}

// Broadcast wakes all goroutines that wait.
func (s *Signal) Broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.raised)
	s.raised = make(chan struct{})
}
