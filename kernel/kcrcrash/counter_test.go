package kcrcrash_test

import (
	"slices"
	"testing"

	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrid"
)

// This file tests when a content is banned.

// TestBannedAfterThreeUpstreams checks that a content is banned after it crashed
// three different upstreams; crashes of the same upstream count once, but one that has
// started again is another.
func TestBannedAfterThreeUpstreams(t *testing.T) {
	t.Parallel()
	counter := kcrcrash.New(3)
	for i, step := range []struct {
		upstream kcrid.Incarnation
		counted  bool
		banned   bool
	}{{"a/1", true, false}, {"a/1", false, false}, {"b/1", true, false}, {"b/1", false, false}, {"a/2", true, true}} {
		if got := counter.RecordCrash(kcrcrash.Crash{Content: 7, Upstream: step.upstream}); got != step.counted {
			t.Errorf("crash %d at %s: expected counted %v, got %v", i, step.upstream, step.counted, got)
		}
		if got := counter.Banned(7); got != step.banned {
			t.Errorf("crash %d at %s: expected banned %v, got %v", i, step.upstream, step.banned, got)
		}
	}
	if counter.Banned(8) {
		t.Error("another content: expected it not to be banned")
	}
	if got := counter.BannedCrashes(); !slices.Equal(got, []kcrcrash.Crash{{Content: 7, Upstream: "a/1"}, {Content: 7, Upstream: "b/1"}, {Content: 7, Upstream: "a/2"}}) {
		t.Errorf("expected the three crashes of content 7, got %v", got)
	}
}

// Guards against a ban of a sound request that is under way at unrelated crashes.
func TestServedContentIsNeverBanned(t *testing.T) {
	t.Parallel()
	counter := kcrcrash.New(3)
	crashOf := func(i int) kcrcrash.Crash { return kcrcrash.Crash{Content: 7, Upstream: upstream(i)} }
	if counter.RecordCrash(crashOf(0)); counter.RecordServed(7) {
		t.Error("one crash: expected others not to be told")
	}
	for i := range 10 {
		if counter.RecordCrash(crashOf(1 + i)) {
			t.Errorf("crash %d after an answer: expected it not to count", i)
		}
	}
	for i := range 3 {
		counted, mustClear := counter.RecordReport(crashOf(20 + i))
		if counted || mustClear != (i == 1) {
			t.Errorf("reported crash %d: expected not counted and must clear %v, got %v and %v", i, i == 1, counted, mustClear)
		}
	}
	if counter.Banned(7) {
		t.Error("expected a served content not to be banned")
	}
}

// Guards against a ban elsewhere that an answer here has disproved.
func TestAnswerLiftsBan(t *testing.T) {
	t.Parallel()
	counter := kcrcrash.New(3)
	for i := range 3 {
		counter.RecordReport(kcrcrash.Crash{Content: 7, Upstream: upstream(i)})
		counter.RecordReport(kcrcrash.Crash{Content: 8, Upstream: upstream(i)})
	}
	if !counter.Banned(7) || !counter.Banned(8) {
		t.Fatal("expected reported crashes to ban")
	}
	if !counter.RecordServed(7) || counter.Banned(7) {
		t.Error("expected an answer to lift the ban and others to be told")
	}
	if counter.Clear(8); counter.Banned(8) || len(counter.BannedCrashes()) != 0 {
		t.Error("expected the report of an answer to lift the ban")
	}
}

// Guards against a ban that is lost because many other contents are suspected.
func TestBannedContentOutlastsSuspects(t *testing.T) {
	t.Parallel()
	counter := kcrcrash.New(3)
	for i := range 3 {
		counter.RecordCrash(kcrcrash.Crash{Content: 7, Upstream: upstream(i)})
	}
	for i := range 9000 {
		counter.RecordCrash(kcrcrash.Crash{Content: kcrid.ContentHash(100 + i), Upstream: upstream(3)})
	}
	if !counter.Banned(7) {
		t.Error("expected the content to stay banned")
	}
}
