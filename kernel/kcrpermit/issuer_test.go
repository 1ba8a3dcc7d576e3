package kcrpermit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrpermit"
)

// These tests take permits in simulated time. The bound is that of the users: in 4 s an upstream
// gets at most one and a half times its rate, and five requests more.

const window = 4 * kcrclock.Second

func bound(rate float64) float64 { return 1.5*rate*window.Seconds() + 5 }

// most returns the largest number of times within window.
func most(times []kcrclock.Time) (most int) {
	for i, begin := range times {
		count := 0
		for _, at := range times[i:] {
			if at.Sub(begin) < window {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// Guards against more permits than the upstream accepts, and against permits that are not issued.
func TestPermitsFollowRate(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{0, 0.1, 0.5, 2.8, 50} {
		for seed := range uint64(5) {
			rng := rand.New(rand.NewPCG(seed, 1))
			issuer := kcrpermit.New()
			var issued []kcrclock.Time
			const length = 60 * kcrclock.Second
			for now := kcrclock.Time(0); now < kcrclock.Time(length); now += kcrclock.Time(1 + rng.IntN(8)) {
				if granted, _ := issuer.Take(now, "u/1", rate, false); granted {
					issued = append(issued, now)
				}
			}
			if got := most(issued); float64(got) > bound(rate) {
				t.Errorf("rate %v, seed %d: expected at most %.1f in 4 s, got %d", rate, seed, bound(rate), got)
			}
			if fits := rate * (length - window).Seconds(); float64(len(issued)) < 0.95*fits {
				t.Errorf("rate %v, seed %d: expected %.0f permits in all, got %d", rate, seed, fits, len(issued))
			}
		}
	}
}

// Guards against two processes that issue permits for one upstream while routers disagree, and
// against a process that starts again.
func TestTwoIssuersOverlap(t *testing.T) {
	t.Parallel()
	const rate = 2.8
	for _, overlap := range []kcrclock.Duration{0, kcrclock.Second, 3900} {
		first, second := kcrpermit.New(), kcrpermit.New()
		var issued []kcrclock.Time
		const change = kcrclock.Time(20 * kcrclock.Second)
		for now := kcrclock.Time(0); now < 2*change; now++ {
			if now < change.Add(overlap) {
				if granted, _ := first.Take(now, "u/1", rate, false); granted {
					issued = append(issued, now)
				}
			}
			if now >= change {
				if granted, _ := second.Take(now, "u/1", rate, false); granted {
					issued = append(issued, now)
				}
			}
		}
		if got := most(issued); float64(got) > bound(rate) {
			t.Errorf("overlap of %v: expected at most %.1f in 4 s, got %d", overlap, bound(rate), got)
		}
	}
}

// TestWaitForPermit checks that a permit can be taken after the returned wait, not before, and
// that upstreams have permits of their own.
func TestWaitForPermit(t *testing.T) {
	t.Parallel()
	issuer := kcrpermit.New()
	now := kcrclock.Time(10 * kcrclock.Second)
	for range 3 {
		issuer.Take(now, "u/1", 2, false)
	}
	granted, wait := issuer.Take(now, "u/1", 2, false)
	if granted || wait <= 0 {
		t.Fatalf("expected a wait, got granted %v and %v", granted, wait)
	}
	if granted, _ := issuer.Take(now.Add(wait-1), "u/1", 2, false); granted {
		t.Error("before the wait has passed: expected no permit")
	}
	if granted, _ := issuer.Take(now.Add(wait), "u/1", 2, false); !granted {
		t.Error("after the wait: expected a permit")
	}
	for i := range 10_000 { // more upstreams than are remembered
		issuer.Take(now.Add(wait), kcrid.Incarnation(fmt.Sprint("other/", i)), 2, false)
	}
	if granted, _ := issuer.Take(now.Add(wait), "u/1", 2, false); granted {
		t.Error("expected permits taken for other upstreams not to matter")
	}
}
