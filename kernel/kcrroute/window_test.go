package kcrroute_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrroute"
)

// TestWindowOfAllRouters checks that routers that do not talk keep within the
// budget of all of them, in every window.
func TestWindowOfAllRouters(t *testing.T) {
	t.Parallel()
	const routers, ratio, slack = 3, 0.2, 52.0
	length := 10 * kcrclock.Second
	var windows []*kcrroute.Window
	for range routers {
		windows = append(windows, kcrroute.NewWindow(length, ratio, slack))
	}
	var requests, retries []kcrclock.Time
	for now := kcrclock.Time(0); now < 40000; now += 5 {
		w := windows[int(now/5)%routers]
		w.Request(now)
		requests = append(requests, now)
		for range 2 { // everything fails
			if w.Retry(now, routers) {
				retries = append(retries, now)
			}
		}
	}
	for from := kcrclock.Time(0); from < 30000; from += 500 {
		until := from.Add(length)
		if got, most := count(retries, from, until), ratio*float64(count(requests, from, until))+slack; float64(got) > most {
			t.Fatalf("from %d: expected at most %.0f retries, got %d", from, most, got)
		}
	}
	if len(retries) < 1000 {
		t.Fatalf("expected the budget to be used, got %d retries", len(retries))
	}
}

func count(at []kcrclock.Time, from, until kcrclock.Time) (n int) {
	for _, t := range at {
		if t >= from && t < until {
			n++
		}
	}
	return n
}
