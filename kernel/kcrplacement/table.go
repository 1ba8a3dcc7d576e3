// Package kcrplacement chooses the upstream for a request. A generation goes to the
// model engine that has most of its prompt cached and can start soon. Any other
// request goes to a nearby upstream with free capacity.
//
// It is built for workloads in which prompts share long prefixes, engines fail
// or slow down without notice, and several routers choose without coordination.
// All routers derive the same preferred upstream for a shared prefix by
// hashing, and each router adjusts that choice by what it observes on its own
// requests.
package kcrplacement

import (
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrload"
)

// This file defines the table of upstreams and the choice of one for an attempt.
// Invariants: each Choice is counted as in flight until its Finish; what is known of
// an upstream survives an update of the list unless the upstream restarted or moved.

// PromptPart is a section of a prompt. A request lists its parts in the order of the
// prompt; the last one belongs to this request, those before it may be shared
// with other requests. ID identifies the content.
type PromptPart struct {
	ID     uint64
	Tokens kcrid.Tokens
}

// Upstream is a server that requests can be sent to.
type Upstream struct {
	ID              kcrid.VM
	Service         kcrid.Service
	Addr            string
	Zone            kcrid.Zone
	Version         string            // of its software, "" if unknown
	Slots           int               // requests that it runs at once
	Capacity        kcrid.Tokens      // of its memory, 0 if its requests have no tokens
	StartedAt       int64             // start of the process; a new value means a restart
	WarmupRemaining kcrclock.Duration // how long it is still cold, as of its entry
	EntrySequence   int64             // of that entry, greater in a later one
	Cold            ColdLimit         // of its service
	Emptied         bool              // it is in a zone that the operator has emptied, and gets no requests
}

// Request describes a request to be placed.
type Request struct {
	Service       kcrid.Service
	PromptParts   []PromptPart      // none for a request without a prompt
	PromptTokens  kcrid.Tokens      // length of the whole prompt
	OutputTokens  kcrid.Tokens      // most tokens of the output
	TransferBytes int               // size of the request and its response
	Version       string            // upstreams of other versions are not chosen, "" for any
	Excluded      []kcrid.VM        // upstreams of earlier attempts, which are not chosen again
	Unlimited     bool              // upstreams that may need a permit are not chosen
	SkipsFull     bool              // upstreams that have just refused a request are not chosen
	Target        kcrclock.Duration // for the time to the first event, 0 for none
	GapTarget     kcrclock.Duration // for the time between events, 0 for none
}

// service holds the upstreams of one service.
type service struct {
	mu           sync.Mutex
	upstreams    []*upstream            // without those in emptied zones
	byID         map[kcrid.VM]*upstream // all
	leaving      map[kcrid.VM]int64     // starts of upstreams that have said that they leave
	line         line                   // the pace of its usual upstream
	meanSlowness float64                // average over the upstreams, as a logarithm, as of refreshedAt
	refreshedAt  kcrclock.Time
	rotation     int       // offset at which the next scan of the upstreams begins
	listed       bool      // a list with upstreams was applied
	firstTime    float64   // mean ms from the choice to the first event, 0 before the first
	others       *meanLoad // of other routers as of the last digest, nil before the first
}

// Table is one router's view of all upstreams. It is safe for concurrent use.
type Table struct {
	zone    kcrid.Zone
	weights Weights

	mu       sync.RWMutex
	services map[kcrid.Service]*service
}

// New returns an empty table for a router in the given zone.
func New(zone kcrid.Zone, weights Weights) *Table {
	return &Table{zone: zone, weights: weights, services: map[kcrid.Service]*service{}}
}

// getOrCreateService returns the state of a service and creates it on first use.
func (t *Table) getOrCreateService(name kcrid.Service) *service {
	t.mu.RLock()
	s := t.services[name]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s = t.services[name]; s == nil {
		s = &service{byID: map[kcrid.VM]*upstream{}, leaving: map[kcrid.VM]int64{}, line: newLine()}
		t.services[name] = s
	}
	return s
}

// Update replaces the list of upstreams. The statistics of those that stay in
// the list are kept; one that restarted or moved to another address starts with
// empty statistics and nothing cached. One in an emptied zone counts as having nothing cached.
func (t *Table) Update(now kcrclock.Time, upstreams []Upstream) {
	byService := map[kcrid.Service][]Upstream{}
	for _, u := range upstreams {
		byService[u.Service] = append(byService[u.Service], u)
	}
	t.mu.RLock()
	for name := range t.services {
		if byService[name] == nil {
			byService[name] = []Upstream{}
		}
	}
	t.mu.RUnlock()
	for name, list := range byService {
		t.getOrCreateService(name).update(now, list)
	}
}

// update replaces the upstreams of the service.
func (s *service) update(now kcrclock.Time, upstreams []Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.byID
	s.byID = make(map[kcrid.VM]*upstream, len(upstreams))
	s.upstreams = s.upstreams[:0]
	for _, u := range upstreams {
		state := previous[u.ID]
		started := state == nil || state.StartedAt != u.StartedAt || state.Addr != u.Addr
		if started {
			state = &upstream{hash: xxhash.Sum64String(string(u.ID)), key: kcrload.KeyOf(u.ID, u.StartedAt), memory: newMemory()}
		}
		state.learn(now, u, started && s.listed)
		s.byID[u.ID] = state
		if u.Emptied {
			state.memory.forget()
			continue
		}
		s.upstreams = append(s.upstreams, state)
	}
	s.listed = s.listed || len(upstreams) > 0
	s.assignLongPool()
}

// Choice is the upstream chosen for one attempt. Connected must be called before the request is
// sent, and Finish exactly once.
type Choice struct {
	Upstream
	UncachedTokens  kcrid.Tokens      // prompt tokens that are expected not to be cached
	ExpectedLatency kcrclock.Duration // until the first event of the response

	service     *service
	state       *upstream
	promptParts []PromptPart
	pending     kcrid.Tokens // tokens that this request still adds to the backlog
	unsure      kcrid.Tokens // of these, those that may be cached
	ahead       kcrid.Tokens // tokens that were to be read up to its first event
	uncertain   float64      // share of these that may be cached
	held        kcrid.Tokens // most tokens that the request takes of the memory
	started     kcrclock.Time
	firstAt     kcrclock.Time // of its first event, 0 before
	trial       bool          // the upstream is on trial after a pause
	unrecorded  bool          // the parts are not noted as cached, since the request may not be sent
}

// Choose picks the upstream with the lowest cost and counts the request as in
// flight there. It returns nil if the service has no upstream besides those
// already tried, of another version, leaving, or without room. An upstream in cooldown is chosen only if there is no other.
func (t *Table) Choose(now kcrclock.Time, req Request) *Choice {
	s := t.getOrCreateService(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh(now)
	preferred := s.preferred(now, &req)
	var best *upstream
	bestCost, bestUncached := math.Inf(1), kcrid.Tokens(0)
	s.rotation++
	for i := range s.upstreams {
		u := s.upstreams[(i+s.rotation)%len(s.upstreams)]
		if contains(req.Excluded, u.ID) || !s.takes(now, u, &req) {
			continue
		}
		cost, uncached := t.cost(now, s, u, &req, u == preferred)
		if until := u.avoidedUntil(); now < until {
			cost += cooldownCost * (1 + float64(until.Sub(now)))
		}
		if cost < bestCost-tieMargin {
			best, bestCost, bestUncached = u, cost, uncached
		}
	}
	if best == nil {
		return nil
	}
	c := &Choice{
		Upstream: best.Upstream, UncachedTokens: bestUncached, unrecorded: best.mayNeedPermit(now),
		ExpectedLatency: kcrclock.Duration(s.firstEvent(now, best, bestUncached)),
		service:         s, state: best, promptParts: req.PromptParts, started: now, trial: best.beginTrial(),
	}
	c.enqueue(&req)
	if !c.unrecorded {
		best.recordCached(req.PromptParts)
	}
	return c
}

// enqueue counts the request in the load of its upstream.
func (c *Choice) enqueue(req *Request) {
	u := c.state
	u.inflight++
	u.engine.await(c.started)
	c.held = req.PromptTokens + req.OutputTokens
	u.memory.running += c.held
	c.pending = c.UncachedTokens
	c.unsure = c.UncachedTokens - min(c.UncachedTokens, req.ownTokens())
	u.backlog += c.pending
	u.unsure += c.unsure
	c.ahead = u.backlog
	c.uncertain = float64(u.unsure) / float64(max(1, u.backlog))
}

// ownTokens returns the number of tokens of a prompt that no other request shares.
func (req *Request) ownTokens() kcrid.Tokens {
	if len(req.PromptParts) == 0 {
		return req.PromptTokens
	}
	return req.PromptParts[len(req.PromptParts)-1].Tokens
}

// contains reports whether the list has the ID.
func contains(ids []kcrid.VM, id kcrid.VM) bool {
	for _, candidate := range ids {
		if candidate == id {
			return true
		}
	}
	return false
}
