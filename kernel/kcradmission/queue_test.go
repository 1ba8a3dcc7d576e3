package kcradmission_test

import (
	"math/rand/v2"
	"testing"

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// load is what callers of one team and rank ask of a queue.
type load struct {
	rank  int
	team  kcrid.Team
	share float64
	perS  int               // requests per second
	time  kcrclock.Duration // that a request may wait
}

// outcome counts the requests of a load.
type outcome struct{ asked, placed, refused, expired int }

// play offers the loads to a queue for a number of seconds, while places come at a rate, and
// returns what became of each load.
func play(t *testing.T, seconds, placesPerS int, loads []load) []outcome {
	t.Helper()
	q := kcradmission.New(kcradmission.DefaultConfig())
	outcomes := make([]outcome, len(loads))
	owners, latest := map[kcradmission.Ticket]int{}, map[kcradmission.Ticket]kcrclock.Time{}
	random := rand.New(rand.NewPCG(1, 2))
	places := 0.0
	for now := kcrclock.Time(1); now < kcrclock.Time(seconds*1000); now++ {
		for i, l := range loads {
			if random.Float64()*1000 >= float64(l.perS) {
				continue
			}
			outcomes[i].asked++
			ticket, entered, retryAfter := q.Enter(now, kcradmission.Request{Rank: l.rank, Team: l.team, Share: l.share, Latest: now.Add(l.time)})
			if !entered {
				outcomes[i].refused++
				if retryAfter <= 0 {
					t.Fatalf("refused with the time %d to come back", retryAfter)
				}
				continue
			}
			owners[ticket], latest[ticket] = i, now.Add(l.time)
		}
		for ticket, owner := range owners {
			if latest[ticket] < now {
				q.Leave(ticket)
				outcomes[owner].expired++
				delete(owners, ticket)
			}
		}
		places = min(1, places+float64(placesPerS)/1000)
		if places < 1 {
			continue
		}
		ticket, ok := q.Next(now)
		if !ok {
			continue
		}
		places--
		owner, known := owners[ticket]
		if !known || latest[ticket] < now {
			t.Fatalf("ticket %d at %d: expected one that waits, until %d", ticket, now, latest[ticket])
		}
		q.Placed(now, kcradmission.Request{Rank: loads[owner].rank, Team: loads[owner].team})
		outcomes[owner].placed++
		delete(owners, ticket)
	}
	return outcomes
}

// share returns which part of its requests a load got served.
func (o outcome) share() float64 { return float64(o.placed) / float64(max(1, o.asked)) }

// Twice as much is asked for as there are places: the most urgent rank that fits is served, and the
// least urgent one gets its part.
func TestUrgentRanksGoFirstAndNoneStarves(t *testing.T) {
	got := play(t, 60, 100, []load{
		{rank: 0, team: "a", perS: 60, time: kcrclock.Second},
		{rank: 1, team: "a", perS: 60, time: kcrclock.Second},
		{rank: 2, team: "a", perS: 80, time: kcrclock.Second},
	})
	t.Logf("%+v", got)
	if got[0].share() < 0.95 {
		t.Errorf("rank 0: expected 95 in 100 served, got %+v", got[0])
	}
	if got[1].share() < got[2].share() {
		t.Errorf("rank 1 is served less often than rank 2: %+v", got)
	}
	if got[2].share() < got[1].share()/8 {
		t.Errorf("rank 2 starves: %+v", got)
	}
	for rank, o := range got {
		if o.expired > o.asked/10 {
			t.Errorf("rank %d: expected refusals at once, got %+v", rank, o)
		}
	}
}

// One team asks for ten times its usual: the other two lose nothing.
func TestBurstOfOneTeamCostsOthersNothing(t *testing.T) {
	got := play(t, 60, 100, []load{
		{rank: 1, team: "burst", perS: 300, time: kcrclock.Second},
		{rank: 1, team: "b", perS: 30, time: kcrclock.Second},
		{rank: 1, team: "c", perS: 30, time: kcrclock.Second},
	})
	t.Logf("%+v", got)
	for _, i := range []int{1, 2} {
		if got[i].share() < 0.95 {
			t.Errorf("load %d: expected 95 in 100 served, got %+v", i, got[i])
		}
	}
}

// Two teams ask for all places each: they get them in proportion to their shares.
func TestTeamsGetPlacesByShare(t *testing.T) {
	got := play(t, 60, 100, []load{
		{rank: 1, team: "a", share: 3, perS: 200, time: kcrclock.Second},
		{rank: 1, team: "b", share: 1, perS: 200, time: kcrclock.Second},
	})
	t.Logf("%+v", got)
	if ratio := float64(got[0].placed) / float64(got[1].placed); ratio < 2.5 || ratio > 3.5 {
		t.Errorf("expected three places for one, got %.2f", ratio)
	}
}

// Refused requests come back one after the other, at the pace of the places.
func TestReturnsAreSpread(t *testing.T) {
	config := kcradmission.DefaultConfig()
	q := kcradmission.New(config)
	now := kcrclock.Time(1000)
	for range 100 {
		q.Enter(now, kcradmission.Request{Latest: now.Add(1500 * kcrclock.Millisecond)})
	}
	last := kcrclock.Duration(0)
	for i := range 8 {
		_, entered, retryAfter := q.Enter(now, kcradmission.Request{Latest: now.Add(1500 * kcrclock.Millisecond)})
		if entered || retryAfter <= last && retryAfter < config.MaxRetry {
			t.Errorf("request %d: entered %v, comes back after %d ms, the one before it after %d", i, entered, retryAfter, last)
		}
		last = retryAfter
	}
}

// A request that has left, or whose time has passed, gets no place.
func TestLeftAndExpiredGetNoPlace(t *testing.T) {
	q := kcradmission.New(kcradmission.DefaultConfig())
	enter := func(latest kcrclock.Time) kcradmission.Ticket {
		ticket, entered, _ := q.Enter(0, kcradmission.Request{Latest: latest})
		if !entered {
			t.Fatalf("request until %d not entered", latest)
		}
		return ticket
	}
	left, expired, waits := enter(5000), enter(4000), enter(6000)
	q.Leave(left)
	q.Leave(left)
	if ticket, ok := q.Next(4500); !ok || ticket != waits {
		t.Errorf("expected ticket %d after %d expired, got %d", waits, expired, ticket)
	}
	if _, ok := q.Next(4500); ok || q.Waiting() != 0 {
		t.Errorf("expected an empty queue, got %d waiting", q.Waiting())
	}
}

// takeTurns lets requests have their turns, one after the other, and returns how many of each team
// had one. A team of refills enters again after each of its turns.
func takeTurns(q *kcradmission.Queue, now kcrclock.Time, turns int, owners map[kcradmission.Ticket]kcradmission.Request, refills kcrid.Team) map[kcrid.Team]int {
	count := map[kcrid.Team]int{}
	for range turns {
		ticket, ok := q.Next(now)
		if !ok {
			break
		}
		r := owners[ticket]
		count[r.Team]++
		q.Placed(now, r)
		if r.Team == refills {
			enterAll(q, now, 1, r, owners)
		}
	}
	return count
}

// enterAll enters a number of equal requests.
func enterAll(q *kcradmission.Queue, now kcrclock.Time, count int, r kcradmission.Request, owners map[kcradmission.Ticket]kcradmission.Request) {
	for range count {
		if ticket, entered, _ := q.Enter(now, r); entered {
			owners[ticket] = r
		}
	}
}

// What a rank or team got while it alone waited is not held against it when another one enters first
// after a calm.
func TestPlacesGotAloneAreNotMadeUpFor(t *testing.T) {
	for name, other := range map[string]kcradmission.Request{
		"rank": {Rank: 1, Team: "b", Latest: 5000}, "team": {Rank: 0, Team: "b", Latest: 5000},
	} {
		q, owners := kcradmission.New(kcradmission.DefaultConfig()), map[kcradmission.Ticket]kcradmission.Request{}
		first := kcradmission.Request{Rank: 0, Team: "a", Latest: 5000}
		for range 200 {
			enterAll(q, 1, 1, first, owners)
			takeTurns(q, 1, 1, owners, "")
		}
		enterAll(q, 1, 20, other, owners)
		enterAll(q, 1, 20, first, owners)
		if got := takeTurns(q, 1, 20, owners, ""); got["a"] < 9 {
			t.Errorf("%s: expected 9 of 20 turns at least, got %v", name, got)
		}
	}
}

// A team that has one request at a time gets no more than its share, also when requests have waited
// for long.
func TestTeamWithOneRequestAtATimeGetsItsShare(t *testing.T) {
	q, owners := kcradmission.New(kcradmission.DefaultConfig()), map[kcradmission.Ticket]kcradmission.Request{}
	enterAll(q, 1, 1, kcradmission.Request{Team: "a", Latest: 100_000}, owners)
	const now = 20_000
	for _, team := range []kcrid.Team{"a", "b", "c"} {
		for range 40 {
			enterAll(q, now, 1, kcradmission.Request{Team: team, Latest: 1_000_000}, owners)
			if team == "b" {
				break
			}
		}
	}
	got := takeTurns(q, now, 30, owners, "b")
	if got["a"] < 9 || got["b"] < 9 || got["c"] < 9 {
		t.Errorf("expected 9 of 30 turns for each team at least, got %v", got)
	}
}

// Of many requests that are refused at once, few come back at the same time.
func TestLargeBurstDoesNotReturnTogether(t *testing.T) {
	config := kcradmission.DefaultConfig()
	q := kcradmission.New(config)
	at := map[kcrclock.Duration]int{}
	for range 2000 {
		if _, entered, retryAfter := q.Enter(1000, kcradmission.Request{Latest: 2500}); !entered {
			at[retryAfter/100]++
			if retryAfter < config.MinRetry || retryAfter > config.MaxRetry {
				t.Errorf("expected to come back within the limits, got %d ms", retryAfter)
			}
		}
	}
	for tenth, count := range at {
		if count > 200 {
			t.Errorf("%d requests come back after %d00 ms", count, tenth)
		}
	}
}

// After a calm, the slow places of an earlier load don't make the queue refuse.
func TestRatesOfEarlierLoadDoNotLast(t *testing.T) {
	q := kcradmission.New(kcradmission.DefaultConfig())
	ticket, _, _ := q.Enter(1, kcradmission.Request{Latest: 20_000})
	q.Refuse(20_000) // nobody has got a place
	q.Leave(ticket)
	for i := range 5 {
		if _, entered, _ := q.Enter(80_000, kcradmission.Request{Latest: 81_000}); !entered {
			t.Errorf("request %d after a minute without load: expected it to wait", i)
		}
	}
}

// However many requests of a lower rank wait, an urgent one may.
func TestManyThatWaitDoNotKeepUrgentOut(t *testing.T) {
	q := kcradmission.New(kcradmission.DefaultConfig())
	for range 600 {
		_, _, _ = q.Enter(1, kcradmission.Request{Rank: 3, Latest: 1_000_000})
	}
	if _, entered, _ := q.Enter(1, kcradmission.Request{Rank: 0, Latest: 1000}); !entered || q.Waiting() > 600 {
		t.Errorf("expected an urgent request beside those that wait, got %v and %d", entered, q.Waiting())
	}
}

// However many requests of one team wait that have much time, another team's may, and then as many of it
// as its share allows.
func TestManyOfOneTeamDoNotKeepOthersOut(t *testing.T) {
	q, owners := kcradmission.New(kcradmission.DefaultConfig()), map[kcradmission.Ticket]kcradmission.Request{}
	enterAll(q, 1, 600, kcradmission.Request{Team: "burst", Latest: 1_000_000}, owners)
	enterAll(q, 1, 600, kcradmission.Request{Team: "b", Latest: 1_000_000}, owners)
	count := map[kcrid.Team]int{}
	for _, r := range owners {
		count[r.Team]++
	}
	if count["burst"] != 512 || count["b"] != 256 {
		t.Errorf("expected 512 of the burst and 256 of the other team to wait, got %v", count)
	}
	l := newLimiter(1, 1)
	submit(t, l, 1, kcradmission.Request{}, kcradmission.Admitted)
	for range 64 {
		submit(t, l, 1, kcradmission.Request{Team: "burst", Latest: 1_000_000}, kcradmission.Queued)
	}
	submit(t, l, 1, kcradmission.Request{Team: "burst", Latest: 1_000_000}, kcradmission.Refused)
	submit(t, l, 1, kcradmission.Request{Team: "b", Latest: 1_000_000}, kcradmission.Queued)
}
