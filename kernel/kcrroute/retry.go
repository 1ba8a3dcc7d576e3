package kcrroute

import "sync"

// This file defines the retry budget: retries may add only a fixed part to the
// load, so that they cannot make an overload.

// Limits of a retry budget, in retries.
const (
	retryShare = 0.1
	retryMost  = 20.0
)

// RetryBudget counts retries against requests. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: retryMost} }

// Request counts a first attempt.
func (b *RetryBudget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(retryMost, b.tokens+retryShare)
}

// Retry tells whether another attempt may be made, and counts it.
func (b *RetryBudget) Retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
