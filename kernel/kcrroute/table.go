// Package kcrroute chooses the upstream for a request from what a router knows
// at first hand: its own requests in flight, the refusals it got, and load
// reports that lag.
package kcrroute

import (
	"fmt"
	"math"
	"sort"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the table of upstreams and the choice. Invariants: a
// leaving upstream is never chosen; nor is one that the request already tried;
// every choice says why, and what was passed over.

// Upstream is an entry of the VM list.
type Upstream struct {
	VM      kcrid.VM
	Addr    string
	Zone    kcrid.Zone
	Region  kcrid.Region
	Service kcrid.Service
	Leaving bool
}

// Report is what a sidecar said of its upstream, as of At.
type Report struct {
	At       kcrclock.Time
	Inflight int
	Limit    int
	Queue    int
	Leaving  bool
	Ready    bool
}

// Need is what a request asks of an upstream.
type Need struct {
	Service kcrid.Service
	Prefix  kcrid.Content // hash of the prompt's beginning, 0 for none
	Tried   map[kcrid.VM]bool
}

// Choice is a routing decision.
type Choice struct {
	VM     kcrid.VM
	Addr   string
	Why    string
	Passed []string
}

// State is what a policy sees of one candidate.
type State struct {
	Upstream Upstream
	Own      int // requests of this router in flight
	Base     int // of them when the report came
	Report   Report
	Age      kcrclock.Duration // of the report
	Fan      float64           // requests in flight per request of this router
	Refused  float64           // recent refusals, decaying
	Away     int               // 0 same zone, 1 same region, 2 other region
	Affinity int               // 0 for the first choice by prefix, 1 for the second, …
}

// Policy picks an index among candidates that are not empty.
type Policy func(now kcrclock.Time, random func(n int) int, cands []State) (pick int, why string)

// Home is the place of the router.
type Home struct {
	Zone   kcrid.Zone
	Region kcrid.Region
}

// entry is the state of one upstream, under the table's lock.
type entry struct {
	up       Upstream
	own      int
	base     int
	report   Report
	refused  float64
	refusedT kcrclock.Time
	down     kcrclock.Time // not used until then
}

// Timing of the table.
const (
	refusalDecay = 2 * kcrclock.Second
	downTime     = 2 * kcrclock.Second
)

// Table is the router's view of the upstreams. It is safe for concurrent use.
type Table struct {
	home   Home
	policy Policy
	random func(n int) int

	mu        sync.Mutex
	entries   map[kcrid.VM]*entry
	byService map[kcrid.Service][]*entry
}

// New returns an empty table. Random returns a number below n.
func New(home Home, policy Policy, random func(n int) int) *Table {
	return &Table{home: home, policy: policy, random: random, entries: map[kcrid.VM]*entry{}, byService: map[kcrid.Service][]*entry{}}
}

// Update takes in a VM list. Entries that are no longer listed go.
func (t *Table) Update(ups []Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[kcrid.VM]bool, len(ups))
	for _, u := range ups {
		listed[u.VM] = true
		e, ok := t.entries[u.VM]
		if !ok {
			e = &entry{report: Report{Ready: true}}
			t.entries[u.VM] = e
		}
		e.up = u
	}
	clear(t.byService)
	for vm, e := range t.entries {
		if !listed[vm] {
			delete(t.entries, vm)
			continue
		}
		t.byService[e.up.Service] = append(t.byService[e.up.Service], e)
	}
}

// Report takes in a load report.
func (t *Table) Report(vm kcrid.VM, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[vm]; ok && r.At >= e.report.At {
		e.report, e.base = r, e.own
	}
}

// Refused counts a refusal for want of capacity.
func (t *Table) Refused(now kcrclock.Time, vm kcrid.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[vm]; ok {
		e.refused = e.decayed(now) + 1
		e.refusedT = now
	}
}

// Left notes that an upstream refuses new work because it is leaving.
func (t *Table) Left(vm kcrid.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[vm]; ok {
		e.report.Leaving = true
	}
}

// Down passes over an upstream that could not be reached, for a time.
func (t *Table) Down(now kcrclock.Time, vm kcrid.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[vm]; ok {
		e.down = now.Add(downTime)
	}
}

func (e *entry) decayed(now kcrclock.Time) float64 {
	return e.refused * math.Exp(-now.Sub(e.refusedT).Seconds()/refusalDecay.Seconds())
}

// Choose picks an upstream and counts the request as in flight there until
// Finish. The choice has no VM if there is no candidate.
func (t *Table) Choose(now kcrclock.Time, n Need) (c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	cands := t.candidates(now, n, &c)
	if len(cands) == 0 {
		c.Why = "no candidate"
		return c
	}
	i, why := t.policy(now, t.random, cands)
	picked := cands[i]
	e := t.entries[picked.Upstream.VM]
	e.own++
	c.VM, c.Addr, c.Why = picked.Upstream.VM, picked.Upstream.Addr, why
	return c
}

// Finish ends a request that Choose counted.
func (t *Table) Finish(vm kcrid.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[vm]; ok && e.own > 0 {
		e.own--
	}
}

// candidates returns the upstreams that may be chosen. One that could not be
// reached lately is passed over only while there are others.
func (t *Table) candidates(now kcrclock.Time, n Need, c *Choice) (out []State) {
	var down []State
	fan := t.fan(n.Service)
	for _, e := range t.byService[n.Service] {
		if reason := e.unfit(n); reason != "" {
			c.Passed = append(c.Passed, fmt.Sprintf("%s %s", e.up.VM, reason))
			continue
		}
		s := State{
			Upstream: e.up, Own: e.own, Base: e.base, Report: e.report, Age: now.Sub(e.report.At), Fan: fan,
			Refused: e.decayed(now), Away: t.away(e.up),
		}
		if now < e.down {
			down = append(down, s)
			continue
		}
		out = append(out, s)
	}
	if len(out) == 0 {
		out, down = down, nil
	}
	for _, s := range down {
		c.Passed = append(c.Passed, fmt.Sprintf("%s down", s.Upstream.VM))
	}
	sort.Strings(c.Passed)
	rank(out, n.Prefix)
	return out
}

// fan estimates how many requests are in flight at a service's upstreams for
// each request of this router, from reports of any age.
func (t *Table) fan(s kcrid.Service) float64 {
	reported, base := 0, 0
	for _, e := range t.byService[s] {
		if e.report.Limit > 0 {
			reported += e.report.Inflight + e.report.Queue
			base += e.base
		}
	}
	if base == 0 {
		return 1
	}
	return max(1, float64(reported)/float64(base))
}

func (e *entry) unfit(n Need) string {
	switch {
	case e.up.Leaving || e.report.Leaving:
		return "leaving"
	case n.Tried[e.up.VM]:
		return "tried"
	case !e.report.Ready:
		return "not ready"
	default:
		return ""
	}
}

func (t *Table) away(u Upstream) int {
	switch {
	case u.Zone == t.home.Zone:
		return 0
	case u.Region == t.home.Region:
		return 1
	default:
		return 2
	}
}

// rank orders candidates by rendezvous hashing for a prefix.
func rank(cands []State, prefix kcrid.Content) {
	item := fmt.Sprint(prefix)
	weight := make(map[kcrid.VM]uint64, len(cands))
	for _, c := range cands {
		weight[c.Upstream.VM] = kcrid.Ranked(item, string(c.Upstream.VM))
	}
	sort.Slice(cands, func(i, j int) bool {
		a, b := cands[i].Upstream.VM, cands[j].Upstream.VM
		if weight[a] != weight[b] {
			return weight[a] > weight[b]
		}
		return a < b
	})
	for i := range cands {
		cands[i].Affinity = i
	}
}

// Upstreams returns the entries, sorted by VM.
func (t *Table) Upstreams() (out []Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		out = append(out, e.up)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].VM < out[j].VM })
	return out
}
