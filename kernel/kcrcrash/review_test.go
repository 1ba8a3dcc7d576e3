package kcrcrash_test

import (
	"slices"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrid"
)

// This file tests when crashes are undone.

// Guards against crashes that are undone although the upstream may be down, and against others
// that stay.
func TestUpstreamRunsIfItsEntryStays(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name      string
		since     kcrclock.Time // of the entry, 0 if there is none
		crashedAt []kcrclock.Time
		runsAt    kcrclock.Time // 0 for never
	}{
		{"the entry was there before the crash", 10, []kcrclock.Time{1000}, 6000},
		{"no entry", 0, []kcrclock.Time{1000}, 0},
		{"the entry came back, or the store", 4000, []kcrclock.Time{1000}, 9000},
		{"a later crash", 10, []kcrclock.Time{1000, 5500}, 10500},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r, runsAt := kcrcrash.NewReview(5000), kcrclock.Time(0)
			for now := kcrclock.Time(0); now <= 20000; now += 100 {
				if slices.Contains(c.crashedAt, now) {
					r.Counted(now, upstream(1))
				}
				running := r.Running(now, func(kcrid.Incarnation) (kcrclock.Time, bool) { return c.since, c.since > 0 && c.since <= now })
				if len(running) > 0 && runsAt > 0 {
					t.Errorf("expected the upstream to be found once, and at %d again", now)
				}
				if len(running) > 0 {
					runsAt = now
				}
			}
			if runsAt != c.runsAt {
				t.Errorf("expected the upstream to be found at %d, got %d", c.runsAt, runsAt)
			}
		})
	}
}

func TestRetractedCrashesLiftBans(t *testing.T) {
	t.Parallel()
	counter, parts := kcrcrash.New(3), kcrcrash.NewPartSuspects(3)
	for i := range 3 {
		counter.RecordCrash(kcrcrash.Crash{Content: 7, Upstream: upstream(i)})
		parts.Crashed(parts.Sent([]kcrcrash.Part{7}), upstream(i))
	}
	counter.RecordCrash(kcrcrash.Crash{Content: 8, Upstream: upstream(1)})
	if got := counter.Retract(upstream(1)); !slices.Equal(got, []kcrid.ContentHash{7, 8}) {
		t.Errorf("expected contents 7 and 8 to change, got %v", got)
	}
	if got := parts.Retract(upstream(1)); !slices.Equal(got, []kcrcrash.Part{7}) {
		t.Errorf("expected part 7 to change, got %v", got)
	}
	if counter.Banned(7) || isBanned(parts, 7) || counter.CrashedUpstreams(7) != 2 || counter.CrashedUpstreams(8) != 0 {
		t.Errorf("expected no ban, and two crashes of content 7, got %d, and %d of content 8", counter.CrashedUpstreams(7), counter.CrashedUpstreams(8))
	}
	counter.RecordCrash(kcrcrash.Crash{Content: 7, Upstream: upstream(3)})
	parts.Crashed(parts.Sent([]kcrcrash.Part{7}), upstream(3))
	if !counter.Banned(7) || !isBanned(parts, 7) {
		t.Error("after another crash: expected content 7 and part 7 to be banned")
	}
}

// Guards against a part that is banned since the same upstream was silent again and again.
func TestUpstreamRaisesPartOnce(t *testing.T) {
	t.Parallel()
	parts := kcrcrash.NewPartSuspects(3)
	for i := range 6 {
		parts.Crashed(parts.Sent([]kcrcrash.Part{7}), upstream(i%2))
	}
	if isBanned(parts, 7) {
		t.Error("expected two upstreams not to ban a part")
	}
}
