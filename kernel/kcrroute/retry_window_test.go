package kcrroute_test

import (
	"slices"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrroute"
)

// This file tests the retry budget that routers share without coordination.

// windowLoad is a load on routers. Every attempt fails, from failing on if that is set.
// In the burst, routers get requests five times as often. Restarts are the times at which all routers are
// killed and start anew with empty windows. Unheard is the time from which no router
// hears another. Moved is the time from which the last router gets all requests.
type windowLoad struct {
	routers          int
	burst, burstEnds kcrclock.Time
	failing          kcrclock.Time
	restarts         []kcrclock.Time
	unheard          kcrclock.Time
	moved            kcrclock.Time
}

// TestWindowOfAllRouters checks that the retries of all routers together stay
// within the budget in every window, although the routers don't coordinate, also
// where all of them restart or hear of no other.
func TestWindowOfAllRouters(t *testing.T) {
	t.Parallel()
	for name, load := range map[string]windowLoad{
		"calm":           {routers: 3},
		"many":           {routers: 22},
		"burst":          {routers: 4, burst: 12500, burstEnds: 18200},
		"late failures":  {routers: 4, burst: 8000, burstEnds: 18000, failing: 16000},
		"restarts":       {routers: 4, restarts: []kcrclock.Time{13300, 19900, 26050}},
		"restarted cut":  {routers: 22, restarts: []kcrclock.Time{15000}, unheard: 15000},
		"moved":          {routers: 4, moved: 17000},
		"moved in burst": {routers: 4, burst: 9000, burstEnds: 21000, restarts: []kcrclock.Time{12000}, moved: 17000},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			load.check(t)
		})
	}
}

// Budget of the routers in a windowLoad.
const (
	windowLength = 10 * kcrclock.Second
	retryRatio   = 0.2
	extraRetries = 52.0
)

// router returns the router that gets the n-th request.
func (l windowLoad) router(now kcrclock.Time, n int) int {
	if l.moved > 0 && now >= l.moved {
		return l.routers - 1
	}
	return n % l.routers
}

// interval returns the time between two requests.
func (l windowLoad) interval(now kcrclock.Time) kcrclock.Duration {
	if now >= l.burst && now < l.burstEnds {
		return 4
	}
	return 20
}

// check plays the load and compares each window with the budget of its requests.
func (l windowLoad) check(t *testing.T) {
	windows := make([]*kcrroute.RetryWindow, l.routers)
	restart := func(now kcrclock.Time) {
		for i := range windows {
			windows[i] = kcrroute.NewRetryWindow(now.Add(windowLength), windowLength, retryRatio, extraRetries)
		}
	}
	restart(kcrclock.Time(-windowLength))
	var requests, retries []kcrclock.Time
	next := kcrclock.Time(0)
	for now := kcrclock.Time(0); now < 40000; now++ {
		if slices.Contains(l.restarts, now) {
			restart(now)
		}
		if now < next {
			continue
		}
		next = now.Add(l.interval(now))
		known := l.routers
		if l.unheard > 0 && now >= l.unheard {
			known = 0
		}
		w := windows[l.router(now, len(requests))]
		w.RecordRequest(now)
		requests = append(requests, now)
		if now < l.failing {
			continue
		}
		for range 2 {
			if w.TryRetry(now, known) {
				retries = append(retries, now)
			}
		}
	}
	l.compare(t, requests, retries)
	if len(retries) < len(requests)/8 {
		t.Fatalf("expected the budget to be used, got %d retries for %d requests", len(retries), len(requests))
	}
}

// compare checks the windows that begin at each twentieth of a second. The requests are
// those of the window, of the one before it or of the one half a window before it,
// whichever has most.
func (l windowLoad) compare(t *testing.T, requests, retries []kcrclock.Time) {
	t.Helper()
	for from := kcrclock.Time(0); from < 30000; from += 50 {
		until := from.Add(windowLength)
		requestCount := 0
		for _, earlier := range []kcrclock.Duration{0, windowLength / 2, windowLength} {
			requestCount = max(requestCount, count(requests, from.Add(-earlier), until.Add(-earlier)))
		}
		if got, limit := count(retries, from, until), retryRatio*float64(requestCount)+extraRetries; float64(got) > limit {
			t.Fatalf("from %d: expected at most %.0f retries, got %d", from, limit, got)
		}
	}
}

func count(times []kcrclock.Time, from, until kcrclock.Time) (n int) {
	for _, t := range times {
		if t >= from && t < until {
			n++
		}
	}
	return n
}
