package kcrplacement_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrload"
	"kingcuprun.example/kernel/kcrplacement"
)

// This file tests the use of the load that other routers have told.

const digestLifetime = 600 * kcrclock.Millisecond

// idle is the upstream that has no load in a digest.
const idle = kcrid.VM("e-7")

// digestOf returns a digest in which all upstreams but one are loaded.
func digestOf(list []kcrplacement.Upstream, l kcrload.Load) (d kcrload.Digest) {
	for _, u := range list {
		if u.ID != idle {
			d.Servers = append(d.Servers, kcrload.Server{Key: kcrload.KeyOf(u.ID, u.StartedAt), Load: l})
		}
	}
	return d
}

// serveOne makes the table learn that requests take a second, half of it until the response.
func serveOne(table *kcrplacement.Table, req kcrplacement.Request) {
	c := table.Choose(0, req)
	c.ResponseStarted(500)
	c.Finish(1000, kcrplacement.Served)
}

// choices returns how many of some requests at once go to each upstream.
func choices(now kcrclock.Time, table *kcrplacement.Table, req kcrplacement.Request, n int) map[kcrid.VM]int {
	counts := map[kcrid.VM]int{}
	for range n {
		counts[table.Choose(now, req).ID]++
	}
	return counts
}

// TestLoadOfOthersCounts checks that requests go where others have sent least, while that is
// known and young, and that they are spread as without it when it is old, lost, or of an earlier
// start of an upstream.
func TestLoadOfOthersCounts(t *testing.T) {
	t.Parallel()
	full := kcrload.Load{Running: 47, Waiting: 10, Unread: 30000}
	req := kcrplacement.Request{Service: "llm", PromptTokens: 100, PromptParts: []kcrplacement.PromptPart{{ID: 9, Tokens: 100}}}
	const n = 5
	for _, test := range []struct {
		name   string
		record func(*kcrplacement.Table)
		toIdle bool
	}{
		{"young digest", func(table *kcrplacement.Table) {
			table.RecordLoads(2000, digestLifetime, digestOf(upstreams(engines), full))
		}, true},
		{"no digest", func(*kcrplacement.Table) {}, false},
		{"digest of a router that was frozen", func(table *kcrplacement.Table) {
			table.RecordLoads(2000-kcrclock.Time(digestLifetime), digestLifetime, digestOf(upstreams(engines), full))
		}, false},
		{"digest of earlier starts", func(table *kcrplacement.Table) {
			earlier := upstreams(engines)
			for i := range earlier {
				earlier[i].StartedAt = 0
			}
			table.RecordLoads(2000, digestLifetime, digestOf(earlier, full))
		}, false},
		{"late digest", func(table *kcrplacement.Table) {
			table.RecordLoads(2000, digestLifetime, kcrload.Digest{})
			table.RecordLoads(1900, digestLifetime, digestOf(upstreams(engines), full))
		}, false},
	} {
		table := newTable("z-0")
		serveOne(table, req)
		test.record(table)
		if got := choices(2000, table, req, n)[idle]; (got == n) != test.toIdle {
			t.Errorf("%s: %d of %d requests went to the idle upstream", test.name, got, n)
		}
	}
}

// TestMemoryOfOthersCounts checks that requests go where the requests of others leave memory.
func TestMemoryOfOthersCounts(t *testing.T) {
	t.Parallel()
	const n, capacity = 5, kcrid.Tokens(10000)
	list := upstreams(engines)
	for i := range list {
		list[i].Capacity = capacity
	}
	table := newTable("z-0")
	table.Update(0, list)
	req := kcrplacement.Request{Service: "llm", PromptTokens: 100, PromptParts: []kcrplacement.PromptPart{{ID: 9, Tokens: 100}}}
	serveOne(table, req)
	table.RecordLoads(2000, digestLifetime, digestOf(list, kcrload.Load{Running: 5, Memory: capacity}))
	if got := choices(2000, table, req, n)[idle]; got != n {
		t.Errorf("expected %d requests at the upstream with room, got %d", n, got)
	}
}

// TestOldDigestDoesNotHerd checks that a digest that is older than requests last sends no crowd to
// the upstream that showed no load.
func TestOldDigestDoesNotHerd(t *testing.T) {
	t.Parallel()
	req := kcrplacement.Request{Service: "llm", PromptTokens: 100, PromptParts: []kcrplacement.PromptPart{{ID: 9, Tokens: 100}}}
	table := newTable("z-0")
	serveOne(table, req)
	d := digestOf(upstreams(engines), kcrload.Load{Running: 20, Waiting: 2, Unread: 2000})
	d.Age = 5 * kcrclock.Second
	table.RecordLoads(2000, digestLifetime, d)
	if got := choices(2000, table, req, 2*engines)[idle]; got > 4 {
		t.Errorf("expected an even spread, got %d of %d requests at one of %d upstreams", got, 2*engines, engines)
	}
}

// TestOwnLoads checks what a router tells of its load, from the choice to the end of a request.
func TestOwnLoads(t *testing.T) {
	t.Parallel()
	table := newTable("z-0")
	c := table.Choose(0, kcrplacement.Request{Service: "llm", PromptTokens: 300})
	check := func(when string, expected kcrload.Load) {
		t.Helper()
		var got kcrload.Load
		for _, s := range table.OwnLoads() {
			got = s.Load
		}
		if got != expected {
			t.Errorf("%s: expected %+v, got %+v", when, expected, got)
		}
	}
	check("chosen", kcrload.Load{Running: 1, Waiting: 1, Unread: 300, Memory: 300})
	c.ResponseStarted(100)
	check("begun", kcrload.Load{Running: 1, Memory: 300})
	c.Finish(200, kcrplacement.Served)
	check("ended", kcrload.Load{})
}

// TestOverrunUpstream checks that a session leaves an upstream at which far more requests wait than
// at others, that all routers choose the same other one for it, and that it stays where it is while
// many wait everywhere.
func TestOverrunUpstream(t *testing.T) {
	t.Parallel()
	const session = 100
	req := sessionRequest(session, 900)
	place := func(zone kcrid.Zone, d kcrload.Digest) kcrid.VM {
		table := newTable(zone)
		serveOne(table, kcrplacement.Request{Service: "llm", PromptTokens: 100})
		table.RecordLoads(2000, digestLifetime, d)
		return table.Choose(2000, req).ID
	}
	home := place("z-0", kcrload.Digest{})
	all := kcrload.Load{Running: 30, Waiting: 30, Unread: 60000}
	var crowd, everywhere kcrload.Digest
	for _, u := range upstreams(engines) {
		server := kcrload.Server{Key: kcrload.KeyOf(u.ID, u.StartedAt), Load: all}
		everywhere.Servers = append(everywhere.Servers, server)
		if u.ID == home {
			crowd.Servers = append(crowd.Servers, server)
		}
	}
	next, other := place("z-0", crowd), place("z-1", crowd)
	if next == home || other != next {
		t.Errorf("expected another upstream than %s, the same at both routers, got %s and %s", home, next, other)
	}
	if got := place("z-0", everywhere); got != home {
		t.Errorf("expected %s while many wait everywhere, got %s", home, got)
	}
}
