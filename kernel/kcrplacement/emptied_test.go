package kcrplacement_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
)

// emptied returns the upstreams, with those of a zone marked as emptied.
func emptied(zone string) []kcrplacement.Upstream {
	list := upstreams(engines)
	for i := range list {
		list[i].Emptied = string(list[i].Zone) == zone
	}
	return list
}

// TestEmptiedUpstreams checks that upstreams in an emptied zone get nothing, that routers agree on
// others meanwhile, and that on their return they have nothing cached and keep what they have said.
func TestEmptiedUpstreams(t *testing.T) {
	t.Parallel()
	a, b, c := newTable("z-0"), newTable("z-1"), newTable("z-2")
	limited := a.Choose(0, kcrplacement.Request{Service: "llm"})
	limited.RateLimitNamed(kcrplacement.RateLimit{Named: true, PerSecond: 1})
	agreed := 0
	for session := uint64(100); session < 200; session++ {
		a.Choose(0, sessionRequest(session, 900)).Finish(10, kcrplacement.Served)
	}
	for _, table := range []*kcrplacement.Table{a, b, c} {
		table.Update(20, emptied("z-0"))
	}
	for session := uint64(100); session < 200; session++ {
		chosen := map[*kcrplacement.Table]kcrid.VM{}
		for _, table := range []*kcrplacement.Table{a, b, c} {
			choice := table.Choose(30, sessionRequest(session, 900))
			if choice.Zone == "z-0" {
				t.Fatalf("expected another zone than z-0, got %s", choice.ID)
			}
			chosen[table] = choice.ID
			choice.Finish(40, kcrplacement.Served)
		}
		if chosen[b] == chosen[c] {
			agreed++
		}
	}
	if agreed < 95 {
		t.Errorf("expected two routers to agree on 95 of 100 sessions, got %d", agreed)
	}
	a.Update(50, upstreams(engines))
	if !a.HasLimited(60, "llm") {
		t.Error("expected the limit that an upstream has named to hold on its return")
	}
	returned := 0
	for session := uint64(100); session < 200; session++ {
		c := a.Choose(60, sessionRequest(session, 900))
		if c.Zone == "z-0" {
			returned++
			if c.UncachedTokens < 4900+900 {
				t.Errorf("expected no session cached at %s, got %d tokens to read", c.ID, c.UncachedTokens)
			}
		}
		c.Finish(70, kcrplacement.Served)
	}
	if returned > engines {
		t.Errorf("expected the prompts to stay where they are cached at first, got %d of 100 in the zone that is back", returned)
	}
}
