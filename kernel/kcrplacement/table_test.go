package kcrplacement_test

import (
	"fmt"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
)

// This file tests the choice of upstreams: affinity, spreading of load,
// cooldowns and the long-prompt pool.

const engines = 18

func newTable(zone kcrid.Zone) *kcrplacement.Table {
	t := kcrplacement.New(zone, kcrplacement.DefaultWeights())
	t.Update(0, upstreams(engines))
	return t
}

func upstreams(n int) (list []kcrplacement.Upstream) {
	for i := range n {
		list = append(list, kcrplacement.Upstream{
			ID: kcrid.VM(fmt.Sprintf("e-%d", i)), Service: "llm", Zone: kcrid.Zone(fmt.Sprintf("z-%d", i%3)),
			Addr: fmt.Sprintf("10.0.0.%d:1", i), Slots: 48, StartedAt: 1,
		})
	}
	return list
}

// sessionRequest returns a request whose prompt has a part that all sessions share, a
// part that the requests of one session share, and own tokens of its own.
func sessionRequest(session uint64, own kcrid.Tokens) kcrplacement.Request {
	return kcrplacement.Request{
		Service: "llm", TransferBytes: 16000, PromptTokens: 5400 + own,
		PromptParts: []kcrplacement.PromptPart{{ID: 1, Tokens: 500}, {ID: session, Tokens: 4900}, {ID: session ^ 0xff, Tokens: own}},
	}
}

// TestRoutersAgreeOnPreferredUpstream checks that all routers send a session to the
// same engine while engines have free slots.
func TestRoutersAgreeOnPreferredUpstream(t *testing.T) {
	t.Parallel()
	a, b := newTable("z-0"), newTable("z-1")
	agreed := 0
	for session := uint64(100); session < 200; session++ {
		first := a.Choose(0, sessionRequest(session, 900))
		first.Finish(100, kcrplacement.Served)
		again := a.Choose(200, sessionRequest(session, 1100))
		again.Finish(300, kcrplacement.Served)
		other := b.Choose(0, sessionRequest(session, 1000))
		other.Finish(100, kcrplacement.Served)
		if again.ID != first.ID {
			t.Errorf("session %d: expected %s again, got %s", session, first.ID, again.ID)
		}
		if other.ID == first.ID {
			agreed++
		}
	}
	if agreed < 95 {
		t.Fatalf("expected two routers to agree on 95 of 100 sessions, got %d", agreed)
	}
}

// TestPopularSessionIsSpread checks that a session with many requests does not
// overload its preferred engine.
func TestPopularSessionIsSpread(t *testing.T) {
	t.Parallel()
	table := newTable("z-0")
	used := map[kcrid.VM]int{}
	for range 300 {
		used[table.Choose(0, sessionRequest(7, 900)).ID]++
	}
	for id, n := range used {
		if n > 48 {
			t.Errorf("%s: expected at most its 48 slots, got %d requests", id, n)
		}
	}
}

// TestUnreachableIsAvoidedThenRetried checks that an upstream that accepts no
// connection is avoided, and is chosen again after its cooldown.
func TestUnreachableIsAvoidedThenRetried(t *testing.T) {
	t.Parallel()
	table := newTable("z-0")
	preferred := table.Choose(0, sessionRequest(7, 900))
	preferred.Finish(10, kcrplacement.Unreachable)
	next := table.Choose(20, sessionRequest(7, 900))
	if next.ID == preferred.ID {
		t.Fatalf("expected an upstream other than %s while it accepts no connection", preferred.ID)
	}
	next.Finish(30, kcrplacement.Served)
	back := table.Choose(20000, sessionRequest(8, 900))
	back.Finish(20010, kcrplacement.Served)
	if table.Choose(20020, kcrplacement.Request{Service: "llm", Excluded: allExcept(preferred.ID)}).ID != preferred.ID {
		t.Fatal("expected an upstream to be tried again after its cooldown")
	}
}

func allExcept(id kcrid.VM) (list []kcrid.VM) {
	for _, u := range upstreams(engines) {
		if u.ID != id {
			list = append(list, u.ID)
		}
	}
	return list
}

// TestLongPromptsUseTheirPool checks that all routers send long prompts, which
// delay other streams, to the same few engines, and short prompts to the others.
func TestLongPromptsUseTheirPool(t *testing.T) {
	t.Parallel()
	a, b := newTable("z-0"), newTable("z-1")
	long, short := map[kcrid.VM]bool{}, map[kcrid.VM]bool{}
	for session := uint64(100); session < 160; session++ {
		for _, table := range []*kcrplacement.Table{a, b} {
			c := table.Choose(0, sessionRequest(session, 40000))
			c.Finish(0, kcrplacement.Served)
			long[c.ID] = true
			c = table.Choose(0, sessionRequest(session+1000, 900))
			c.Finish(0, kcrplacement.Served)
			short[c.ID] = true
		}
	}
	for id := range long {
		if short[id] {
			t.Errorf("%s: expected only long prompts, got short ones too", id)
		}
	}
	if len(long) > 2 {
		t.Errorf("expected long prompts on 2 engines of %d, got %d", engines, len(long))
	}
}

// TestRestartedEngineHasNothingCached checks that an engine that restarted under
// the same ID is assumed to have an empty cache.
func TestRestartedEngineHasNothingCached(t *testing.T) {
	t.Parallel()
	table := newTable("z-0")
	first := table.Choose(0, sessionRequest(7, 900))
	first.Finish(10, kcrplacement.Served)
	list := upstreams(engines)
	for i := range list {
		list[i].StartedAt = 2
	}
	table.Update(20, list)
	if got := table.Choose(30, sessionRequest(7, 900)); got.UncachedTokens != 6300 {
		t.Fatalf("expected the whole prompt of 6300 tokens to be read, got %d", got.UncachedTokens)
	}
}

// TestFailingIsAvoidedThenRetried checks that an upstream that fails requests gets
// fewer of them, and is tried again once the failures have decayed.
func TestFailingIsAvoidedThenRetried(t *testing.T) {
	t.Parallel()
	table := kcrplacement.New("z-0", kcrplacement.DefaultWeights())
	list := upstreams(3)
	for i := range list {
		list[i].Zone = "z-0"
	}
	table.Update(0, list)
	failing := list[0].ID
	countAtFailing := func(start kcrclock.Time) (n int) {
		for i := range 300 {
			now := start + kcrclock.Time(10*i)
			c := table.Choose(now, kcrplacement.Request{Service: "llm", TransferBytes: 1000})
			result := kcrplacement.Served
			if c.ID == failing {
				n++
				result = kcrplacement.ErrorResponse
			}
			c.Finish(now+5, result)
		}
		return n
	}
	if n := countAtFailing(0); n > 60 {
		t.Errorf("expected the failing upstream to get less than a fifth, got %d of 300", n)
	}
	if n := countAtFailing(60000); n == 0 {
		t.Error("expected the failing upstream to be tried again")
	}
}

// BenchmarkChoose measures the choice of one of 50 engines for a request with a prompt.
func BenchmarkChoose(b *testing.B) {
	table := kcrplacement.New("z-0", kcrplacement.DefaultWeights())
	table.Update(0, upstreams(50))
	requests := make([]kcrplacement.Request, 64)
	for i := range requests {
		requests[i] = sessionRequest(uint64(100+i), 900)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		now := kcrclock.Time(i)
		c := table.Choose(now, requests[i%len(requests)])
		c.ResponseStarted(now + 20)
		c.Finish(now+20, kcrplacement.Served)
	}
}
