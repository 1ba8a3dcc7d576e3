package kcrroute_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrroute"
)

// This file tests the retry budget that routers share without coordination.

// TestWindowOfAllRouters checks that the retries of all routers together stay
// within the budget in every window, although the routers don't coordinate.
func TestWindowOfAllRouters(t *testing.T) {
	t.Parallel()
	const routers, retryRatio, minRetries = 3, 0.2, 52.0
	length := 10 * kcrclock.Second
	var windows []*kcrroute.RetryWindow
	for range routers {
		windows = append(windows, kcrroute.NewRetryWindow(length, retryRatio, minRetries))
	}
	var requests, retries []kcrclock.Time
	for now := kcrclock.Time(0); now < 40000; now += 5 {
		w := windows[int(now/5)%routers]
		w.RecordRequest(now)
		requests = append(requests, now)
		for range 2 { // every attempt fails
			if w.TryRetry(now, routers) {
				retries = append(retries, now)
			}
		}
	}
	for from := kcrclock.Time(0); from < 30000; from += 500 {
		until := from.Add(length)
		if got, limit := count(retries, from, until), retryRatio*float64(count(requests, from, until))+minRetries; float64(got) > limit {
			t.Fatalf("from %d: expected at most %.0f retries, got %d", from, limit, got)
		}
	}
	if len(retries) < 1000 {
		t.Fatalf("expected the budget to be used, got %d retries", len(retries))
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
