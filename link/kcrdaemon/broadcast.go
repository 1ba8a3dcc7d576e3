package kcrdaemon

import "sync"

// This file defines Signal, a broadcast to waiting goroutines.

// Signal wakes all goroutines that wait for it. Broadcast can be called any number of
// times and is safe for concurrent use.
type Signal struct {
	mu      sync.Mutex
	changed chan struct{} // closed and replaced by Broadcast
}

// NewSignal returns a signal without waiting goroutines.
func NewSignal() *Signal { return &Signal{changed: make(chan struct{})} }

// Wait returns a channel that the next call of Broadcast closes.
func (s *Signal) Wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// Broadcast wakes all goroutines that wait.
func (s *Signal) Broadcast() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.changed)
	s.changed = make(chan struct{})
}
