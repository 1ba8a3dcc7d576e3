package kcrroute

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines the retry budget of one service over a sliding window,
// shared by routers that do not talk about it: each takes its part of the
// fixed allowance, and the proportional part of its own requests.

// slots is the number of steps that a window slides by.
const slots = 20

// Window counts the requests and the retries of one service. It is safe for
// concurrent use.
type Window struct {
	ratio float64
	slack float64
	step  kcrclock.Duration

	mu       sync.Mutex
	at       int64
	requests [slots]int
	retries  [slots]int
}

// NewWindow returns an empty window of a length. Ratio is the number of retries
// for each request, slack the number that may be made besides.
func NewWindow(length kcrclock.Duration, ratio, slack float64) *Window {
	return &Window{ratio: ratio, slack: slack, step: max(1, length/slots)}
}

func (w *Window) slide(now kcrclock.Time) int {
	at := int64(now) / int64(w.step)
	if at-w.at >= slots {
		w.requests, w.retries = [slots]int{}, [slots]int{}
		w.at = at
	}
	for ; w.at < at; w.at++ {
		i := (w.at + 1) % slots
		w.requests[i], w.retries[i] = 0, 0
	}
	return int(at % slots)
}

// Request counts the first attempt of a request.
func (w *Window) Request(now kcrclock.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.slide(now)]++
}

// Retry tells whether another attempt may be made while routers share the
// budget, and counts it.
func (w *Window) Retry(now kcrclock.Time, routers int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.slide(now)
	requests, retries := 0, 0
	for k := range slots {
		requests += w.requests[k]
		retries += w.retries[k]
	}
	most := w.ratio*float64(requests) + w.slack/float64(max(1, routers))
	if float64(retries+1) > most {
		return false
	}
	w.retries[i]++
	return true
}
