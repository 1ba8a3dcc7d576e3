package kcrnode

import (
	"fmt"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// callAll asks the candidates for a loan until one answers, and returns the number of
// calls.
func callAll(d *homeDirectory, now kcrclock.Time, number kcrid.Bucket, answers func(addr string) bool) (calls int) {
	for _, addr := range d.candidates(now, number) {
		calls++
		if answers(addr) {
			d.recordAnswer(addr)
			return calls
		}
		d.recordFailure(now, addr, true)
	}
	return calls
}

// homeAddrs returns n addresses.
func homeAddrs(n int) (addrs []string) {
	for i := range n {
		addrs = append(addrs, fmt.Sprintf("10.0.0.%d:7000", i+1))
	}
	return addrs
}

// TestAllHomesLost checks that the loss of all homes costs a router few calls, however
// many homes there were and however many requests it serves, and that it notices within
// the pause that homes are back.
func TestAllHomesLost(t *testing.T) {
	t.Parallel()
	for _, homes := range []int{12, 78, 600} {
		d := newHomeDirectory()
		d.update(1, homeAddrs(homes), nil)
		calls := 0
		now := kcrclock.Time(1)
		for ; now < 60000; now += 10 {
			calls += callAll(d, now, kcrid.Bucket(now%8), func(string) bool { return false })
		}
		if calls < 20 || calls > 60 {
			t.Errorf("%d homes: expected 20 to 60 calls in a minute without an answer, got %d", homes, calls)
		}
		backAt := now
		for callAll(d, now, 0, func(string) bool { return true }) == 0 {
			if now += 10; now.Sub(backAt) > maxProbePause {
				t.Fatalf("%d homes: expected one to be asked within %d ms, got none", homes, maxProbePause)
			}
		}
		if n := len(d.candidates(now, 0)); n != maxCandidates {
			t.Errorf("%d homes: expected %d candidates after an answer, got %d", homes, maxCandidates, n)
		}
	}
}

// TestRestartedHomes checks that homes that are killed together and back after 0.6 s are
// found within a third of a second.
func TestRestartedHomes(t *testing.T) {
	t.Parallel()
	d := newHomeDirectory()
	d.update(1, homeAddrs(12), nil)
	for now := kcrclock.Time(1000); ; now += 10 {
		answered := false
		callAll(d, now, 0, func(string) bool { answered = now >= 1600; return answered })
		if answered {
			break
		}
		if now > 1950 {
			t.Fatal("expected a home to be asked within 0.35 s of its return, got none")
		}
	}
}

// TestRankingAgrees checks that directories with the same homes rank them alike for each
// bucket, that buckets are spread over homes, and that only the items of a lost home move.
func TestRankingAgrees(t *testing.T) {
	t.Parallel()
	a, b := newHomeDirectory(), newHomeDirectory()
	addrs := homeAddrs(40)
	a.update(1, addrs, nil)
	b.update(1, addrs[:20], nil)
	b.update(2, addrs, nil)
	used := map[string]bool{}
	for number := range kcrid.Bucket(64) {
		first := a.candidates(10, number)[0]
		used[first] = true
		if other := b.candidates(10, number)[0]; other != first {
			t.Fatalf("bucket %d: expected the same home, got %s and %s", number, first, other)
		}
		b.recordFailure(10, addrs[0], true)
		b.recordAnswer(addrs[1])
		if after := b.candidates(20, number)[0]; first != addrs[0] && after != first {
			t.Fatalf("bucket %d: expected it to stay at %s, got %s", number, first, after)
		}
	}
	if len(used) < 20 {
		t.Errorf("expected 64 buckets to be spread over 20 of 40 homes or more, got %d", len(used))
	}
}
