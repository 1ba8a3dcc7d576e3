// Package kcrroute chooses the upstream for a request from what a router knows
// without coordination: its own requests in flight, the refusals that it
// received, and delayed load reports. It also limits retries.
package kcrroute

import (
	"fmt"
	"math"
	"sort"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the table of upstreams and the choice among them.
// Invariants: an upstream that is leaving is never chosen, nor one that the
// request has already tried; every choice states its reason and the upstreams
// that were skipped.

// Upstream is an entry of the VM list.
type Upstream struct {
	VM      kcrid.VM
	Addr    string
	Zone    kcrid.Zone
	Region  kcrid.Region
	Service kcrid.Service
	Leaving bool
}

// LoadReport is the load of an upstream that its sidecar reported. It arrived at
// ReceivedAt.
type LoadReport struct {
	ReceivedAt kcrclock.Time
	Inflight   int  // running requests of all routers
	Limit      int  // requests that may run at once, 0 before the first report
	Queued     int  // requests that wait to run
	Leaving    bool // takes no new requests
	Ready      bool
}

// Request describes a request to be placed.
type Request struct {
	Service    kcrid.Service
	PrefixHash kcrid.ContentHash // hash of the prompt's beginning, 0 for none
	Tried      map[kcrid.VM]bool // upstreams of earlier attempts, which are not chosen again
}

// Choice is a routing decision.
type Choice struct {
	VM      kcrid.VM // empty if there was no candidate
	Addr    string
	Reason  string   // reason of the choice
	Skipped []string // upstreams that were skipped, each with the reason
}

// Candidate is what a policy knows of one upstream that can be chosen.
type Candidate struct {
	Upstream            Upstream
	OwnInflight         int // requests of this router that are in flight there
	OwnInflightAtReport int // OwnInflight when the report arrived
	Report              LoadReport
	ReportAge           kcrclock.Duration
	TotalPerOwn         float64 // estimated requests of all routers per request of this router, at least 1
	RecentRefusals      float64 // decaying count
	Distance            int     // 0 same zone, 1 same region, 2 other region
	PrefixRank          int     // 0 for the first choice by prefix, 1 for the second, …
}

// Policy picks the index of one candidate and states the reason. There is at
// least one candidate. Random returns a random number from 0 to n-1.
type Policy func(now kcrclock.Time, random func(n int) int, candidates []Candidate) (pick int, reason string)

// Location is the location of the router.
type Location struct {
	Zone   kcrid.Zone
	Region kcrid.Region
}

// entry is the state of one upstream. It is guarded by the table's lock.
type entry struct {
	upstream         Upstream
	inflight         int // requests of this router
	inflightAtReport int // inflight when the report arrived
	report           LoadReport
	refusals         float64 // decaying count, as of refusedAt
	refusedAt        kcrclock.Time
	retryAt          kcrclock.Time // end of the cooldown after a failed connection
}

// Times after which observations lose their effect.
const (
	refusalDecayTime    = 2 * kcrclock.Second // time constant of the exponential decay
	unreachableCooldown = 2 * kcrclock.Second
)

// Table is one router's view of all upstreams. It is safe for concurrent use.
type Table struct {
	location Location
	policy   Policy
	random   func(n int) int

	mu        sync.Mutex
	entries   map[kcrid.VM]*entry
	byService map[kcrid.Service][]*entry
}

// New returns an empty table. Random returns a random number from 0 to n-1.
func New(location Location, policy Policy, random func(n int) int) *Table {
	return &Table{location: location, policy: policy, random: random, entries: map[kcrid.VM]*entry{}, byService: map[kcrid.Service][]*entry{}}
}

// Update replaces the list of upstreams. The state of those that stay in the list
// is kept.
func (t *Table) Update(upstreams []Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[kcrid.VM]bool, len(upstreams))
	for _, u := range upstreams {
		listed[u.VM] = true
		e, ok := t.entries[u.VM]
		if !ok {
			e = &entry{report: LoadReport{Ready: true}}
			t.entries[u.VM] = e
		}
		e.upstream = u
	}
	clear(t.byService)
	for vm, e := range t.entries {
		if !listed[vm] {
			delete(t.entries, vm)
			continue
		}
		t.byService[e.upstream.Service] = append(t.byService[e.upstream.Service], e)
	}
}

// RecordLoad records a load report. One that is older than the last is ignored.
func (t *Table) RecordLoad(vm kcrid.VM, r LoadReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[vm]; ok && r.ReceivedAt >= e.report.ReceivedAt {
		e.report, e.inflightAtReport = r, e.inflight
	}
}

// RecordRefusal records that an upstream refused a request because it lacked capacity.
func (t *Table) RecordRefusal(now kcrclock.Time, vm kcrid.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[vm]; ok {
		e.refusals = e.recentRefusals(now) + 1
		e.refusedAt = now
	}
}

// MarkLeaving records that an upstream refuses new requests because it is leaving.
func (t *Table) MarkLeaving(vm kcrid.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[vm]; ok {
		e.report.Leaving = true
	}
}

// MarkUnreachable records that an upstream could not be reached. It is then avoided for a
// cooldown.
func (t *Table) MarkUnreachable(now kcrclock.Time, vm kcrid.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[vm]; ok {
		e.retryAt = now.Add(unreachableCooldown)
	}
}

// recentRefusals returns the decayed count of refusals.
func (e *entry) recentRefusals(now kcrclock.Time) float64 {
	return e.refusals * math.Exp(-now.Sub(e.refusedAt).Seconds()/refusalDecayTime.Seconds())
}

// Choose picks an upstream and counts the request as in flight there until
// Finish is called. The VM of the choice is empty if there is no candidate.
func (t *Table) Choose(now kcrclock.Time, req Request) (c Choice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := t.candidates(now, req, &c)
	if len(candidates) == 0 {
		c.Reason = "no candidate"
		return c
	}
	i, reason := t.policy(now, t.random, candidates)
	picked := candidates[i]
	e := t.entries[picked.Upstream.VM]
	e.inflight++
	c.VM, c.Addr, c.Reason = picked.Upstream.VM, picked.Upstream.Addr, reason
	return c
}

// Finish records the end of a request that Choose counted.
func (t *Table) Finish(vm kcrid.VM) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.entries[vm]; ok && e.inflight > 0 {
		e.inflight--
	}
}

// candidates returns the upstreams that can be chosen, in order of prefix rank,
// and records in c those that were skipped. An upstream in cooldown is skipped
// only if there are others.
func (t *Table) candidates(now kcrclock.Time, req Request, c *Choice) (available []Candidate) {
	var unreachable []Candidate
	totalPerOwn := t.totalPerOwn(req.Service)
	for _, e := range t.byService[req.Service] {
		if reason := e.skipReason(req); reason != "" {
			c.Skipped = append(c.Skipped, fmt.Sprintf("%s %s", e.upstream.VM, reason))
			continue
		}
		candidate := Candidate{
			Upstream: e.upstream, OwnInflight: e.inflight, OwnInflightAtReport: e.inflightAtReport, Report: e.report, ReportAge: now.Sub(e.report.ReceivedAt), TotalPerOwn: totalPerOwn,
			RecentRefusals: e.recentRefusals(now), Distance: t.distance(e.upstream),
		}
		if now < e.retryAt {
			unreachable = append(unreachable, candidate)
			continue
		}
		available = append(available, candidate)
	}
	if len(available) == 0 {
		available, unreachable = unreachable, nil
	}
	for _, candidate := range unreachable {
		c.Skipped = append(c.Skipped, fmt.Sprintf("%s down", candidate.Upstream.VM))
	}
	sort.Strings(c.Skipped)
	rankByPrefix(available, req.PrefixHash)
	return available
}

// totalPerOwn estimates how many requests of all routers are in flight at a
// service's upstreams for each request of this router. It uses reports of any
// age, and returns 1 if there is nothing to compare.
func (t *Table) totalPerOwn(service kcrid.Service) float64 {
	reported, own := 0, 0
	for _, e := range t.byService[service] {
		if e.report.Limit > 0 {
			reported += e.report.Inflight + e.report.Queued
			own += e.inflightAtReport
		}
	}
	if own == 0 {
		return 1
	}
	return max(1, float64(reported)/float64(own))
}

// skipReason returns why an upstream can't be chosen, "" if it can.
func (e *entry) skipReason(req Request) string {
	switch {
	case e.upstream.Leaving || e.report.Leaving:
		return "leaving"
	case req.Tried[e.upstream.VM]:
		return "tried"
	case !e.report.Ready:
		return "not ready"
	default:
		return ""
	}
}

// distance returns 0 for the same zone, 1 for the same region and 2 for another
// region.
func (t *Table) distance(u Upstream) int {
	switch {
	case u.Zone == t.location.Zone:
		return 0
	case u.Region == t.location.Region:
		return 1
	default:
		return 2
	}
}

// rankByPrefix orders candidates by rendezvous hashing, so that all routers prefer
// the same upstreams for a prefix.
func rankByPrefix(candidates []Candidate, prefix kcrid.ContentHash) {
	key := fmt.Sprint(prefix)
	scores := make(map[kcrid.VM]uint64, len(candidates))
	for _, c := range candidates {
		scores[c.Upstream.VM] = kcrid.RendezvousWeight(key, string(c.Upstream.VM))
	}
	sort.Slice(candidates, func(i, j int) bool {
		a, b := candidates[i].Upstream.VM, candidates[j].Upstream.VM
		if scores[a] != scores[b] {
			return scores[a] > scores[b]
		}
		return a < b
	})
	for i := range candidates {
		candidates[i].PrefixRank = i
	}
}

// Upstreams returns all upstreams, sorted by VM.
func (t *Table) Upstreams() (upstreams []Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		upstreams = append(upstreams, e.upstream)
	}
	sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].VM < upstreams[j].VM })
	return upstreams
}
