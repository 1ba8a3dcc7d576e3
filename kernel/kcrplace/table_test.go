package kcrplace_test

import (
	"fmt"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplace"
)

const engines = 18

func table(zone kcrid.Zone) *kcrplace.Table {
	t := kcrplace.New(zone, kcrplace.DefaultWeights())
	t.Update(0, upstreams(engines))
	return t
}

func upstreams(n int) (out []kcrplace.Upstream) {
	for i := range n {
		out = append(out, kcrplace.Upstream{
			ID: kcrid.VM(fmt.Sprintf("e-%d", i)), Service: "llm", Zone: kcrid.Zone(fmt.Sprintf("z-%d", i%3)),
			Addr: fmt.Sprintf("10.0.0.%d:1", i), Slots: 48, Born: 1,
		})
	}
	return out
}

func guide(session uint64, own kcrid.Tokens) kcrplace.Need {
	return kcrplace.Need{
		Service: "llm", Bytes: 16000, Prompt: 5400 + own,
		Parts: []kcrplace.Part{{ID: 1, Tokens: 500}, {ID: session, Tokens: 4900}, {ID: session ^ 0xff, Tokens: own}},
	}
}

// TestRoutersAgreeOnHomes: a session goes to one engine, whichever router takes
// it, while engines have room.
func TestRoutersAgreeOnHomes(t *testing.T) {
	t.Parallel()
	a, b := table("z-0"), table("z-1")
	agreed := 0
	for session := uint64(100); session < 200; session++ {
		first := a.Choose(0, guide(session, 900))
		first.End(100, kcrplace.Served)
		again := a.Choose(200, guide(session, 1100))
		again.End(300, kcrplace.Served)
		other := b.Choose(0, guide(session, 1000))
		other.End(100, kcrplace.Served)
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

// TestSessionSpills: a session that everybody asks for does not fill its home.
func TestSessionSpills(t *testing.T) {
	t.Parallel()
	tab := table("z-0")
	used := map[kcrid.VM]int{}
	for range 300 {
		used[tab.Choose(0, guide(7, 900)).ID]++
	}
	for id, n := range used {
		if n > 48 {
			t.Errorf("%s: expected at most its 48 slots, got %d requests", id, n)
		}
	}
}

func TestDownIsPassedOver(t *testing.T) {
	t.Parallel()
	tab := table("z-0")
	home := tab.Choose(0, guide(7, 900))
	home.End(10, kcrplace.Unreached)
	next := tab.Choose(20, guide(7, 900))
	if next.ID == home.ID {
		t.Fatalf("expected another than %s while it takes no connection", home.ID)
	}
	next.End(30, kcrplace.Served)
	back := tab.Choose(20000, guide(8, 900))
	back.End(20010, kcrplace.Served)
	if tab.Choose(20020, kcrplace.Need{Service: "llm", Tried: allBut(home.ID)}).ID != home.ID {
		t.Fatal("expected an upstream that was down to be tried again")
	}
}

func allBut(id kcrid.VM) (out []kcrid.VM) {
	for _, u := range upstreams(engines) {
		if u.ID != id {
			out = append(out, u.ID)
		}
	}
	return out
}

// TestLongPromptsStandApart: what holds streams up goes to few engines, the
// same for all routers, and short prompts go elsewhere.
func TestLongPromptsStandApart(t *testing.T) {
	t.Parallel()
	a, b := table("z-0"), table("z-1")
	long, short := map[kcrid.VM]bool{}, map[kcrid.VM]bool{}
	for session := uint64(100); session < 160; session++ {
		for _, tab := range []*kcrplace.Table{a, b} {
			c := tab.Choose(0, guide(session, 40000))
			c.End(0, kcrplace.Served)
			long[c.ID] = true
			c = tab.Choose(0, guide(session+1000, 900))
			c.End(0, kcrplace.Served)
			short[c.ID] = true
		}
	}
	for id := range long {
		if short[id] {
			t.Errorf("%s: expected long prompts apart from short ones", id)
		}
	}
	if len(long) > 2 {
		t.Errorf("expected long prompts on 2 engines of %d, got %d", engines, len(long))
	}
}

// TestNewStartHasNothingCached: an engine that started again under its id is
// taken to know nothing.
func TestNewStartHasNothingCached(t *testing.T) {
	t.Parallel()
	tab := table("z-0")
	first := tab.Choose(0, guide(7, 900))
	first.End(10, kcrplace.Served)
	ups := upstreams(engines)
	for i := range ups {
		ups[i].Born = 2
	}
	tab.Update(20, ups)
	if got := tab.Choose(30, guide(7, 900)); got.Miss != 6300 {
		t.Fatalf("expected the whole prompt of 6300 tokens to be read, got %d", got.Miss)
	}
}

// TestFailingIsAvoidedAndTriedAgain: an upstream that fails gets less, and is
// tried again when what was seen is old.
func TestFailingIsAvoidedAndTriedAgain(t *testing.T) {
	t.Parallel()
	tab := kcrplace.New("z-0", kcrplace.DefaultWeights())
	ups := upstreams(3)
	for i := range ups {
		ups[i].Zone = "z-0"
	}
	tab.Update(0, ups)
	bad := ups[0].ID
	play := func(from kcrclock.Time) (n int) {
		for i := range 300 {
			now := from + kcrclock.Time(10*i)
			c := tab.Choose(now, kcrplace.Need{Service: "llm", Bytes: 1000})
			result := kcrplace.Served
			if c.ID == bad {
				n++
				result = kcrplace.Failed
			}
			c.End(now+5, result)
		}
		return n
	}
	if n := play(0); n > 60 {
		t.Errorf("expected the failing upstream to get less than a fifth, got %d of 300", n)
	}
	if n := play(60000); n == 0 {
		t.Error("expected the failing upstream to be tried again")
	}
}
