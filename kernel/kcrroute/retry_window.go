package kcrroute

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines the retry budget of one service over sliding windows. The budget of
// a window is a part of the requests in the window that is half a length earlier, and a
// fixed allowance. The routers share it without coordination: each may use an equal
// share of the fixed allowance, and the proportional allowance for its own requests.
// Invariant: in each window that contains a retry, whenever it begins, the retries of
// the router are within its share.

// A ring holds the steps of the windows that contain the current time, and those of half
// a window before them.
const (
	windowSteps = 40
	halfWindow  = windowSteps / 2
	ringSteps   = windowSteps + halfWindow + 1
)

// RetryWindow counts the requests and retries of one service in a ring of steps. It
// is safe for concurrent use.
type RetryWindow struct {
	retryRatio   float64 // retries allowed per request
	extraRetries float64 // retries allowed per window in addition, for all routers together
	stepLength   kcrclock.Duration
	extraFrom    kcrclock.Time // the extra retries are not used before this time

	mu       sync.Mutex
	step     int64 // number of the newest step since time 0
	requests [ringSteps]int
	retries  [ringSteps]int
}

// NewRetryWindow returns an empty window of the given length. retryRatio is the number
// of retries allowed per request; extraRetries is the number that all routers together
// may make in addition. The router uses none of those before extraFrom: the end of the
// first window after its start, unless it knows that it has made no retries before.
func NewRetryWindow(extraFrom kcrclock.Time, length kcrclock.Duration, retryRatio, extraRetries float64) *RetryWindow {
	return &RetryWindow{retryRatio: retryRatio, extraRetries: extraRetries, stepLength: max(1, length/windowSteps), extraFrom: extraFrom}
}

// ringIndex returns the index of a step in the ring.
func ringIndex(step int64) int { return int((step%ringSteps + ringSteps) % ringSteps) }

// advance clears the steps that left the ring and returns the index of the current
// step.
func (w *RetryWindow) advance(now kcrclock.Time) int {
	step := int64(now) / int64(w.stepLength)
	w.step = max(w.step, step-ringSteps)
	for ; w.step < step; w.step++ {
		i := ringIndex(w.step + 1)
		w.requests[i], w.retries[i] = 0, 0
	}
	return ringIndex(w.step)
}

// RecordRequest records the first attempt of a request.
func (w *RetryWindow) RecordRequest(now kcrclock.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance(now)]++
}

// TryRetry reports whether another attempt may be made, and if so records it.
// routers is the number of routers that share the budget, 0 if it is unknown.
func (w *RetryWindow) TryRetry(now kcrclock.Time, routers int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := w.advance(now)
	extra := 0.0
	if routers > 0 && now >= w.extraFrom {
		extra = w.extraRetries / float64(routers)
	}
	// The sums are those of the window that begins in the step first. Requests of the
	// steps at its ends are left out, because it may begin anywhere in the step.
	retries, requests := 1, w.sumRequests(w.step-halfWindow+1, w.step)
	for first := w.step; first >= w.step-windowSteps; first-- {
		retries += w.retries[ringIndex(first)]
		if float64(retries) > w.retryRatio*float64(requests)+extra {
			return false
		}
		requests += w.requests[ringIndex(first-halfWindow)]
		if last := first + halfWindow - 1; last <= w.step {
			requests -= w.requests[ringIndex(last)]
		}
	}
	w.retries[current]++
	return true
}

// sumRequests returns the number of requests in the steps from first to last.
func (w *RetryWindow) sumRequests(first, last int64) (sum int) {
	for step := first; step <= last; step++ {
		sum += w.requests[ringIndex(step)]
	}
	return sum
}
