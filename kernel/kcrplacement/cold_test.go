package kcrplacement_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
)

// This file tests when an upstream counts as cold, and the rate limit that it then has.

// coldUpstream returns a list with one upstream that started at born.
func coldUpstream(born, sequence int64, remaining kcrclock.Duration) []kcrplacement.Upstream {
	return []kcrplacement.Upstream{{
		ID: "u", Service: "s", Addr: "1", Zone: "z", Slots: 8, StartedAt: born, WarmupRemaining: remaining, EntrySequence: sequence,
		Cold: kcrplacement.ColdLimit{PerSecond: 18, Start: 3000},
	}}
}

// Guards against each way in which a router may take a cold upstream for a warm one, and against
// warm ones that stay limited.
func TestColdUpstream(t *testing.T) {
	t.Parallel()
	type router struct {
		table *kcrplacement.Table
		now   kcrclock.Time
	}
	finish := func(r *router, result kcrplacement.Result) {
		choice := r.table.Choose(r.now, kcrplacement.Request{Service: "s"})
		choice.Connected(r.now, false)
		choice.Finish(r.now, result)
	}
	connect := func(r *router) {
		choice := r.table.Choose(r.now, kcrplacement.Request{Service: "s"})
		choice.Connected(r.now, true)
		choice.Withheld(r.now)
	}
	for _, tt := range []struct {
		name   string
		happen func(r *router)
		opened bool              // the request goes on a new connection
		cold   kcrclock.Duration // how long the upstream is cold afterwards
	}{
		{"the first list", func(*router) {}, true, 0},
		{"it starts again", func(r *router) { r.table.Update(r.now, coldUpstream(2, 1, 0)) }, false, 3000},
		{"its entry says so", func(r *router) { r.table.Update(r.now, coldUpstream(1, 2, 1200)) }, false, 1200},
		{"its entry says so again", func(r *router) {
			r.table.Update(r.now, coldUpstream(1, 2, 1200))
			r.now += 1000
			r.table.Update(r.now, coldUpstream(1, 3, 1200))
		}, false, 1200},
		{"the same entry again", func(r *router) {
			r.table.Update(r.now, coldUpstream(1, 2, 1200))
			r.now += 1000
			r.table.Update(r.now, coldUpstream(1, 2, 1200))
		}, false, 200},
		{"a response says so", func(r *router) {
			choice := r.table.Choose(r.now, kcrplacement.Request{Service: "s"})
			choice.SaysCold(r.now, 700)
			choice.Finish(r.now, kcrplacement.Served)
		}, false, 700},
		{"a new connection after a failure", func(r *router) { finish(r, kcrplacement.Unreachable) }, true, 3000},
		{"a new connection after a silence", func(r *router) { finish(r, kcrplacement.Stalled) }, true, 3000},
		{"a new connection after a cut", func(r *router) { finish(r, kcrplacement.ConnectionLost) }, true, 3000},
		{"a new connection after a cut, an old one heard since", func(r *router) {
			finish(r, kcrplacement.ConnectionLost)
			choice := r.table.Choose(r.now, kcrplacement.Request{Service: "s"})
			choice.Heard(r.now + 101)
			choice.Finish(r.now+101, kcrplacement.Served)
		}, true, 0},
		{"an old connection after a cut", func(r *router) { finish(r, kcrplacement.ConnectionLost) }, false, 0},
		{"a crash that was reported", func(r *router) { r.table.RecordLost(r.now, "u/1") }, true, 3000},
		{"a crash of an earlier start", func(r *router) { r.table.RecordLost(r.now, "u/0") }, true, 0},
		{"reached again a while ago", func(r *router) {
			finish(r, kcrplacement.Unreachable)
			connect(r)
			r.now += 3000
		}, true, 0},
		{"the caller left", func(r *router) { finish(r, kcrplacement.CallerLeft) }, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			r := &router{table: kcrplacement.New("z", kcrplacement.DefaultWeights()), now: 10_000}
			r.table.Update(r.now, coldUpstream(1, 1, 0))
			r.now++
			tt.happen(r)
			choice := r.table.Choose(r.now, kcrplacement.Request{Service: "s"})
			limit, _ := choice.Connected(r.now, tt.opened)
			want := kcrplacement.RateLimit{Named: true, PerSecond: 18, Cold: true}
			if tt.cold == 0 {
				want = kcrplacement.RateLimit{}
			}
			if limit != want {
				t.Errorf("expected the limit %v, got %v", want, limit)
			}
			choice.Withheld(r.now)
			for _, at := range []kcrclock.Duration{max(0, tt.cold-1), tt.cold} {
				if cold := r.table.HasLimited(r.now.Add(at), "s"); cold != (at < tt.cold) {
					t.Errorf("after %v: expected cold for %v, got %v", at, tt.cold, cold)
				}
			}
		})
	}
}

// Guards against a limit that a cold upstream loses by another one, and against requests that are
// to go where no permit is needed, at an upstream that may need one.
func TestLeastOfBothLimits(t *testing.T) {
	t.Parallel()
	for _, tt := range []struct{ named, want float64 }{{5, 5}, {40, 18}} {
		table := kcrplacement.New("z", kcrplacement.DefaultWeights())
		table.Update(0, coldUpstream(1, 1, 1000))
		choice := table.Choose(1, kcrplacement.Request{Service: "s"})
		choice.RateLimitNamed(kcrplacement.RateLimit{Named: true, PerSecond: tt.named})
		if limit, _ := choice.Connected(1, false); limit.PerSecond != tt.want || !limit.Cold {
			t.Errorf("named %v: expected %v while cold, got %v", tt.named, tt.want, limit)
		}
		if limit, _ := choice.Connected(2000, false); limit.PerSecond != tt.named || limit.Cold {
			t.Errorf("named %v: expected that one once warm, got %v", tt.named, limit)
		}
		choice.Finish(2000, kcrplacement.Served)
	}
	table := kcrplacement.New("z", kcrplacement.DefaultWeights())
	table.Update(0, coldUpstream(1, 1, 0))
	table.RecordLost(1, kcrid.IncarnationOf("u", "1"))
	if choice := table.Choose(1, kcrplacement.Request{Service: "s", Unlimited: true}); choice != nil {
		t.Errorf("expected no upstream without a permit, got %s", choice.ID)
	}
}
