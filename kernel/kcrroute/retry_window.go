package kcrroute

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines the retry budget of one service over a sliding window. The
// routers share the budget without coordination: each may use an equal share of
// the fixed allowance, and the proportional allowance for its own requests.
// Invariant: at each retry, the retries in the window up to then are within the
// allowance of the router.

// windowSteps is the number of steps into which a window is divided.
const windowSteps = 20

// RetryWindow counts the requests and retries of one service in a ring of steps. It
// is safe for concurrent use.
type RetryWindow struct {
	retryRatio   float64 // retries allowed per request
	extraRetries float64 // retries allowed per window in addition, for all routers together
	stepLength   kcrclock.Duration

	mu       sync.Mutex
	step     int64 // number of the newest step since time 0
	requests [windowSteps]int
	retries  [windowSteps]int
}

// NewRetryWindow returns an empty window of the given length. retryRatio is the number of
// retries allowed per request; extraRetries is the number that all routers together may
// make in addition.
func NewRetryWindow(length kcrclock.Duration, retryRatio, extraRetries float64) *RetryWindow {
	return &RetryWindow{retryRatio: retryRatio, extraRetries: extraRetries, stepLength: max(1, length/windowSteps)}
}

// advance clears the steps that left the window and returns the index of the
// current step in the ring.
func (w *RetryWindow) advance(now kcrclock.Time) int {
	step := int64(now) / int64(w.stepLength)
	if step-w.step >= windowSteps {
		w.requests, w.retries = [windowSteps]int{}, [windowSteps]int{}
		w.step = step
	}
	for ; w.step < step; w.step++ {
		i := (w.step + 1) % windowSteps
		w.requests[i], w.retries[i] = 0, 0
	}
	return int(step % windowSteps)
}

// RecordRequest records the first attempt of a request.
func (w *RetryWindow) RecordRequest(now kcrclock.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance(now)]++
}

// TryRetry reports whether another attempt may be made, and if so records it.
// routers is the number of routers that share the budget.
func (w *RetryWindow) TryRetry(now kcrclock.Time, routers int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.advance(now)
	requests, retries := 0, 0
	for j := range windowSteps {
		requests += w.requests[j]
		retries += w.retries[j]
	}
	limit := w.retryRatio*float64(requests) + w.extraRetries/float64(max(1, routers))
	if float64(retries+1) > limit {
		return false
	}
	w.retries[current]++
	return true
}
