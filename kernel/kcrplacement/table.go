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
	StartedAt       int64             // start of the process; a new value means a restart
	WarmupRemaining kcrclock.Duration // how long it is still slow after its start
}

// Request describes a request to be placed.
type Request struct {
	Service       kcrid.Service
	PromptParts   []PromptPart // none for a request without a prompt
	PromptTokens  kcrid.Tokens // length of the whole prompt
	TransferBytes int          // size of the request and its response
	Version       string       // upstreams of other versions are not chosen, "" for any
	Excluded      []kcrid.VM   // upstreams of earlier attempts, which are not chosen again
	Unlimited     bool         // upstreams with a rate limit are not chosen
}

// service holds the upstreams of one service.
type service struct {
	mu           sync.Mutex
	upstreams    []*upstream
	byID         map[kcrid.VM]*upstream
	leaving      map[kcrid.VM]int64 // starts of upstreams that have said that they leave
	latencyRatio float64            // average over all upstreams
	rotation     int                // offset at which the next scan of the upstreams begins
	lengths      lengths            // of requests
	others       *meanLoad          // of other routers as of the last digest, nil before the first
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
		s = &service{byID: map[kcrid.VM]*upstream{}, leaving: map[kcrid.VM]int64{}}
		t.services[name] = s
	}
	return s
}

// Update replaces the list of upstreams. The statistics of those that stay in
// the list are kept; one that restarted or moved to another address starts with
// empty statistics and nothing cached.
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
		if state == nil || state.StartedAt != u.StartedAt || state.Addr != u.Addr {
			state = &upstream{hash: xxhash.Sum64String(string(u.ID)), key: kcrload.KeyOf(u.ID, u.StartedAt), cachedParts: map[uint64]struct{}{}}
		}
		if u.WarmupRemaining > 0 && u.WarmupRemaining != state.WarmupRemaining {
			state.warmAt = now.Add(u.WarmupRemaining)
		}
		state.Upstream = u
		s.byID[u.ID] = state
		s.upstreams = append(s.upstreams, state)
	}
	s.assignLongPool()
}

// Choice is the upstream chosen for one attempt. Finish must be called exactly
// once.
type Choice struct {
	Upstream
	UncachedTokens  kcrid.Tokens      // prompt tokens that are expected not to be cached
	ExpectedLatency kcrclock.Duration // until the first event of the response

	// RateLimit is the limit that the upstream has named. If there is one, Permitted must be
	// called before the request is sent, or else Withheld.
	RateLimit RateLimit

	service     *service
	state       *upstream
	promptParts []PromptPart
	pending     kcrid.Tokens // tokens that this request still adds to the backlog
	started     kcrclock.Time
	begun       bool // the response has begun
	trial       bool // the upstream is on trial after a pause
}

// Choose picks the upstream with the lowest cost and counts the request as in
// flight there. It returns nil if the service has no upstream besides those
// already tried, of another version, leaving, or without room. An upstream in cooldown is chosen only if there is no other.
func (t *Table) Choose(now kcrclock.Time, req Request) *Choice {
	s := t.getOrCreateService(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	preferred := s.preferred(now, req)
	var best *upstream
	bestCost, bestUncached := math.Inf(1), kcrid.Tokens(0)
	s.rotation++
	for i := range s.upstreams {
		u := s.upstreams[(i+s.rotation)%len(s.upstreams)]
		if contains(req.Excluded, u.ID) || !s.takes(now, u, &req) {
			continue
		}
		cost, uncached := t.cost(now, s, u, req, u == preferred)
		if now < u.retryAt {
			cost += cooldownCost * (1 + float64(u.retryAt.Sub(now)))
		}
		if cost < bestCost-tieMargin {
			best, bestCost, bestUncached = u, cost, uncached
		}
	}
	if best == nil {
		return nil
	}
	best.inflight++
	best.waiting++
	best.backlog += bestUncached
	best.added += bestUncached
	if !best.rateLimit.Named {
		best.recordCached(req.PromptParts)
	}
	return &Choice{
		Upstream: best.Upstream, UncachedTokens: bestUncached, ExpectedLatency: expectedLatency(best, bestUncached), RateLimit: best.rateLimit,
		service: s, state: best, promptParts: req.PromptParts, pending: bestUncached, started: now,
		trial: best.beginTrial(),
	}
}

// takes reports whether an upstream may get a request now.
func (s *service) takes(now kcrclock.Time, u *upstream, req *Request) bool {
	switch {
	case req.Version != "" && u.Version != req.Version, req.Unlimited && u.rateLimit.Named:
		return false
	case u.isWithheld(now), now < u.pausedUntil, u.triesEnough(now), s.leaves(u.ID, u.StartedAt):
		return false
	}
	return true
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
