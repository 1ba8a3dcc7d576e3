package kcrcrash_test

import (
	"slices"
	"strconv"
	"testing"

	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrid"
)

// This file tests when a part of a prompt is banned.

// upstream returns an upstream.
func upstream(i int) kcrid.Incarnation { return kcrid.IncarnationOf("vm", strconv.Itoa(i)) }

// isBanned reports whether a request with a part is refused.
func isBanned(s *kcrcrash.PartSuspects, part kcrcrash.Part) bool {
	_, ok := s.FindBanned([]kcrcrash.Part{1, part})
	return ok
}

func TestPartIsBannedAfterCrashesInSequence(t *testing.T) {
	t.Parallel()
	s := kcrcrash.NewPartSuspects(3)
	for i := range 3 {
		if isBanned(s, 7) {
			t.Fatalf("after %d crashes: expected the part not to be banned", i)
		}
		s.Crashed(s.Sent([]kcrcrash.Part{7, kcrcrash.Part(100 + i)}), upstream(i))
	}
	if !isBanned(s, 7) {
		t.Error("after 3 crashes: expected the part to be banned")
	}
	for i := range 3 {
		if isBanned(s, kcrcrash.Part(100+i)) {
			t.Errorf("part %d has crashed one upstream: expected it not to be banned", 100+i)
		}
	}
}

// Guards against a ban of popular parts when many upstreams fail at once.
func TestUpstreamsThatFailAtOnceBanNoPart(t *testing.T) {
	t.Parallel()
	s := kcrcrash.NewPartSuspects(3)
	var runs []kcrcrash.Run
	for i := range 20 {
		runs = append(runs, s.Sent([]kcrcrash.Part{7, kcrcrash.Part(100 + i)}))
	}
	for i, run := range runs {
		s.Crashed(run, upstream(i))
	}
	if isBanned(s, 7) {
		t.Error("expected 20 upstreams that fail at once not to ban a part")
	}
}

// Guards against a ban of parts that sound requests share with those that crash upstreams.
func TestPartOfServedRequestIsCleared(t *testing.T) {
	t.Parallel()
	s := kcrcrash.NewPartSuspects(3)
	for i := range 10 {
		s.Crashed(s.Sent([]kcrcrash.Part{7, 8}), upstream(i))
		cleared := s.Served([]kcrcrash.Part{7, 9})
		if isTold := len(cleared) > 0; isTold {
			t.Errorf("crash %d: expected a level of 1 to be cleared here alone, got %v", i, cleared)
		}
		if mustClear := s.Raise(kcrcrash.PartLevel{Part: 7, Level: 2}); !mustClear {
			t.Errorf("crash %d: expected others to be told that the part is harmless", i)
		}
		if isBanned(s, 7) {
			t.Fatalf("crash %d: expected a part of served requests not to be banned", i)
		}
	}
	if !isBanned(s, 8) {
		t.Error("expected the other part to be banned")
	}
	if cleared := s.Served([]kcrcrash.Part{8}); !slices.Equal(cleared, []kcrcrash.PartLevel{{Part: 8}}) || isBanned(s, 8) {
		t.Errorf("expected a complete answer to clear the ban and to be told, got %v", cleared)
	}
}

func TestLevelsOfOthersCountInAnyOrder(t *testing.T) {
	t.Parallel()
	s := kcrcrash.NewPartSuspects(3)
	for _, level := range []int{2, 1, 3, 1} {
		s.Raise(kcrcrash.PartLevel{Part: 7, Level: level})
	}
	if got := s.Banned(); !slices.Equal(got, []kcrcrash.PartLevel{{Part: 7, Level: 3}}) {
		t.Errorf("expected part 7 at level 3, got %v", got)
	}
	s.Clear(7)
	if got := s.Banned(); len(got) != 0 {
		t.Errorf("expected no part after it was cleared, got %v", got)
	}
}

// Guards against a ban that is lost because many other parts are suspected.
func TestBansOutlastSuspects(t *testing.T) {
	t.Parallel()
	s := kcrcrash.NewPartSuspects(3)
	s.Raise(kcrcrash.PartLevel{Part: 7, Level: 3})
	for i := range 9000 {
		s.Raise(kcrcrash.PartLevel{Part: kcrcrash.Part(100 + i), Level: 1})
	}
	if !isBanned(s, 7) {
		t.Error("expected the part to stay banned")
	}
}

// Guards against a ban of parts whose requests reach an upstream that has just crashed.
func TestCrashOfOneUpstreamCountsOnce(t *testing.T) {
	t.Parallel()
	s := kcrcrash.NewPartSuspects(3)
	for range 5 {
		s.Crashed(s.Sent([]kcrcrash.Part{7}), upstream(1))
	}
	if isBanned(s, 7) {
		t.Error("expected one upstream not to ban a part")
	}
	for i := range 2 {
		s.Crashed(s.Sent([]kcrcrash.Part{7}), upstream(2+i))
	}
	if !isBanned(s, 7) {
		t.Error("expected three upstreams to ban the part")
	}
}

// Guards against a ban of the first part of all prompts of a kind, before one of them was
// answered.
func TestOnlyTheLastPartOfARunIsBanned(t *testing.T) {
	t.Parallel()
	s := kcrcrash.NewPartSuspects(3)
	for i := range 3 {
		s.Crashed(s.Sent([]kcrcrash.Part{7, 8}), upstream(i))
	}
	if isBanned(s, 7) || !isBanned(s, 8) {
		t.Errorf("expected the last part alone to be banned, got %v", s.Banned())
	}
	s.Crashed(s.Sent([]kcrcrash.Part{7, 9}), upstream(3))
	if !isBanned(s, 7) || isBanned(s, 9) {
		t.Errorf("expected the first part to be banned after a crash without the last one, got %v", s.Banned())
	}
}
