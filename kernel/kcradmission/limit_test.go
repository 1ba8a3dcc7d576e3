package kcradmission_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// newLimiter returns a limiter of a number of runs at once, which are expected to take a time.
func newLimiter(limit float64, runTime kcrclock.Duration) *kcradmission.Limiter {
	config := kcradmission.DefaultLimiterConfig()
	config.InitialLimit, config.MaxLimit = limit, max(limit, 16)
	l := kcradmission.NewLimiter(config)
	t, _, _ := l.Submit(0, kcradmission.Request{})
	l.Release(kcrclock.Time(runTime), t)
	return l
}

// submit submits a run, and fails if the decision on it is another.
func submit(t *testing.T, l *kcradmission.Limiter, now kcrclock.Time, r kcradmission.Request, expected kcradmission.Decision) kcradmission.Ticket {
	t.Helper()
	ticket, d, retryAfter := l.Submit(now, r)
	if d != expected || (d == kcradmission.Refused) != (retryAfter > 0) {
		t.Fatalf("%+v: expected decision %d, got %d with %d ms to come back", r, expected, d, retryAfter)
	}
	return ticket
}

// Runs of a rank start in order of arrival, urgent ones first, and those whose time has passed or
// that have left not at all.
func TestLimiterStartsInOrder(t *testing.T) {
	l := newLimiter(1, 100)
	request := func(rank int) kcradmission.Request { return kcradmission.Request{Rank: rank, Latest: 5000} }
	running := submit(t, l, 1000, request(1), kcradmission.Admitted)
	first, second := submit(t, l, 1000, request(1), kcradmission.Queued), submit(t, l, 1000, request(1), kcradmission.Queued)
	short := submit(t, l, 1000, kcradmission.Request{Rank: 0, Latest: 1400}, kcradmission.Queued)
	left, urgent := submit(t, l, 1000, request(0), kcradmission.Queued), submit(t, l, 1000, request(0), kcradmission.Queued)
	l.Cancel(left)
	l.Cancel(left)
	for _, expected := range []kcradmission.Ticket{urgent, first, second} {
		started, expired := l.Release(1500, running)
		if !slices.Equal(started, []kcradmission.Ticket{expected}) || len(expired) > 0 != (expected == urgent) || len(expired) > 0 && expired[0] != short {
			t.Errorf("expected run %d to start, and %d to expire before the first, got %v and %v", expected, short, started, expired)
		}
		running = expected
	}
}

// A run that can't start in its time is refused at once, one more than may wait too, and no urgent
// one because of many that are less so.
func TestLimiterRefusesAtOnce(t *testing.T) {
	l := newLimiter(1, 1000)
	submit(t, l, 2000, kcradmission.Request{Latest: 2000}, kcradmission.Admitted)
	submit(t, l, 2000, kcradmission.Request{Latest: 2500}, kcradmission.Refused)
	for range 64 {
		submit(t, l, 2000, kcradmission.Request{Rank: 2, Latest: 200_000}, kcradmission.Queued)
	}
	submit(t, l, 2000, kcradmission.Request{Rank: 2, Latest: 200_000}, kcradmission.Refused)
	submit(t, l, 2000, kcradmission.Request{Rank: 0, Latest: 4000}, kcradmission.Queued)
}

// An exclusive run shares the upstream with no other.
func TestLimiterKeepsExclusiveRunsApart(t *testing.T) {
	l := newLimiter(4, 100)
	latest := kcrclock.Time(10_000)
	a, b := submit(t, l, 1000, kcradmission.Request{Latest: latest}, kcradmission.Admitted), submit(t, l, 1000, kcradmission.Request{Latest: latest}, kcradmission.Admitted)
	apart := submit(t, l, 1000, kcradmission.Request{Latest: latest, Exclusive: true}, kcradmission.Queued)
	behind := submit(t, l, 1000, kcradmission.Request{Latest: latest}, kcradmission.Queued)
	for _, step := range []struct{ ends, starts kcradmission.Ticket }{{a, 0}, {b, apart}, {apart, behind}} {
		if started, _ := l.Release(1100, step.ends); len(started) > 1 || (len(started) == 1) != (step.starts != 0) || len(started) == 1 && started[0] != step.starts {
			t.Errorf("after run %d: expected %d to start, got %v", step.ends, step.starts, started)
		}
	}
}

// The limit falls once a second at most with late first tokens, gaps and refusals, and rises again
// only if all of it is used.
func TestLimitFollowsLatency(t *testing.T) {
	l := newLimiter(10, 100)
	limit := func() int { _, limit, _ := l.Load(); return limit }
	for range 10 {
		submit(t, l, 1000, kcradmission.Request{}, kcradmission.Admitted)
	}
	for i, record := range []func(now kcrclock.Time){
		func(now kcrclock.Time) { l.RecordFirstToken(now, 701) },
		func(now kcrclock.Time) { l.RecordTokenGap(now, 59) },
		l.RecordRejection,
	} {
		now := kcrclock.Time(2000 + 1000*i)
		record(now)
		record(now + 999)
		if expected := []int{9, 8, 7}[i]; limit() != expected {
			t.Errorf("expected a limit of %d, got %d", expected, limit())
		}
	}
	for range 100 {
		l.RecordFirstToken(6000, 100)
	}
	if limit() != 11 {
		t.Errorf("expected the limit to rise to one more than the 10 runs in progress, got %d", limit())
	}
}

// playLimiter offers loads to a limiter of 10 runs of 100 ms for a minute, and returns what became of
// each.
func playLimiter(t *testing.T, loads []load) []outcome {
	t.Helper()
	l := newLimiter(10, 100)
	random := rand.New(rand.NewPCG(3, 4))
	outcomes, owners, ends := make([]outcome, len(loads)), map[kcradmission.Ticket]int{}, map[kcradmission.Ticket]kcrclock.Time{}
	start := func(now kcrclock.Time, ticket kcradmission.Ticket) {
		outcomes[owners[ticket]].placed++
		ends[ticket] = now.Add(100)
	}
	for now := kcrclock.Time(1000); now < 61_000; now++ {
		for i, o := range loads {
			if random.Float64()*1000 >= float64(o.perS) {
				continue
			}
			outcomes[i].asked++
			ticket, d, _ := l.Submit(now, kcradmission.Request{Rank: o.rank, Team: o.team, Share: o.share, Latest: now.Add(o.time)})
			owners[ticket] = i
			switch d {
			case kcradmission.Admitted:
				start(now, ticket)
			case kcradmission.Refused:
				outcomes[i].refused++
			case kcradmission.Queued:
			}
		}
		for ticket, end := range ends {
			if end > now {
				continue
			}
			delete(ends, ticket)
			started, expired := l.Release(now, ticket)
			for _, s := range started {
				start(now, s)
			}
			for _, e := range expired {
				outcomes[owners[e]].expired++
			}
		}
	}
	return outcomes
}

// Three times the runs that an upstream takes: what urgent callers get, and that none starves.
func TestLimiterSharesByRank(t *testing.T) {
	got := playLimiter(t, []load{
		{rank: 0, team: "a", perS: 60, time: 500},
		{rank: 1, team: "a", perS: 120, time: 500},
		{rank: 2, team: "a", perS: 120, time: 500},
	})
	t.Logf("%+v", got)
	if got[0].share() < 0.95 || got[1].share() < got[2].share() || got[2].share() < 0.05 {
		t.Errorf("expected 95, less, and 5 in 100 at least, got %+v", got)
	}
	for rank, o := range got {
		if o.expired > o.asked/10 {
			t.Errorf("rank %d: expected refusals at once, got %+v", rank, o)
		}
	}
}

// One team sends ten times its usual to an upstream: the others lose nothing.
func TestLimiterBurstOfOneTeamCostsOthersNothing(t *testing.T) {
	loads := []load{{rank: 1, team: "burst", perS: 300, time: 500}}
	for _, team := range []kcrid.Team{"b", "c"} {
		loads = append(loads, load{rank: 1, team: team, perS: 30, time: 500})
	}
	got := playLimiter(t, loads)
	t.Logf("%+v", got)
	if got[1].share() < 0.95 || got[2].share() < 0.95 {
		t.Errorf("expected 95 in 100 of the others served, got %+v", got)
	}
}
