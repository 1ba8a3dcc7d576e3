package kcrroute

import "sync"

// This file defines the bucket that limits retries. Invariant: retries add only a fixed
// fraction to the number of requests, so they can't cause an overload by
// themselves.

// Parameters of a retry bucket.
const (
	retriesPerRequest = 0.1
	maxRetries        = 20.0 // that can be saved up
)

// RetryBucket is a token bucket that requests fill and retries drain. It is safe
// for concurrent use.
type RetryBucket struct {
	mu        sync.Mutex
	available float64 // retries that may be made now
}

// NewRetryBucket returns a full bucket.
func NewRetryBucket() *RetryBucket { return &RetryBucket{available: maxRetries} }

// RecordRequest records a first attempt, which adds to the bucket.
func (b *RetryBucket) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.available = min(maxRetries, b.available+retriesPerRequest)
}

// TryRetry reports whether another attempt may be made, and if so takes it from the
// bucket.
func (b *RetryBucket) TryRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.available < 1 {
		return false
	}
	b.available--
	return true
}
