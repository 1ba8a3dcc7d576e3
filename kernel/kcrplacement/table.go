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
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the table of upstreams, the statistics that a router keeps
// of each, and the cost model that ranks them. Invariants: all routers derive
// the same preferred upstream for a prefix if they know the same upstreams and
// cooldowns; each Choice is counted as in flight until its Finish; the statistics
// survive an update of the list unless the upstream restarted or moved.

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

// Weights convert the cost factors of a choice into one unit: the cost of
// reading one uncached prompt token.
type Weights struct {
	CrossZoneByte   float64 // per byte that crosses zones
	FullUpstream    float64 // for an upstream whose slots are all in use
	BacklogToken    float64 // per token that is queued to be read
	FailureRate     float64 // for an upstream that fails every request
	ExcessLatency   float64 // for an upstream that takes twice as long as the average
	PreferredCached float64 // fraction of a shared prefix that is assumed to be cached at its preferred upstream
	DelayedStream   float64 // per running stream that the prompt delays
	WrongPool       float64 // for a long prompt outside the long-prompt pool, or a short one inside it
}

// DefaultWeights returns weights derived from what users pay for prompt tokens
// and for bytes between zones, and from the speed at which engines read prompts.
func DefaultWeights() Weights {
	return Weights{CrossZoneByte: 0.015, FullUpstream: 4000, BacklogToken: 0.5, FailureRate: 6000, ExcessLatency: 400, PreferredCached: 0.9, DelayedStream: 1000, WrongPool: 2500}
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

// Result says how an attempt at an upstream ended.
type Result int

// Results of an attempt.
const (
	Served         Result = iota
	Refused               // the upstream replied that it did not run the request
	Misdirected           // a different upstream now uses the address
	Unreachable           // no connection could be established
	ConnectionLost        // the connection closed before the response was complete
	Stalled               // no data arrived before the timeout
	ErrorResponse         // the upstream responded with an error
	CallerLeft            // the caller disconnected
)

// resultNames are the logged names of the results.
var resultNames = [...]string{"served", "refused", "misdirected", "unreached", "broken", "stalled", "failed", "abandoned"}

// String returns the name of the result, as it is logged.
func (r Result) String() string { return resultNames[r] }

// Cooldowns, smoothing factors and limits of the statistics. An upstream in
// cooldown is chosen only if no other is available.
const (
	// minBackoff is the cooldown after the first failed connection. It doubles
	// with each further one, up to maxBackoff.
	minBackoff = 250 * kcrclock.Millisecond
	maxBackoff = 2 * kcrclock.Second
	// stallCooldown applies after an upstream stopped sending data.
	stallCooldown = 1500 * kcrclock.Millisecond
	// refusalCooldown applies after an upstream refused a request because it
	// is full.
	refusalCooldown = 150 * kcrclock.Millisecond
	// staleAddressCooldown applies to an address that another upstream now uses.
	staleAddressCooldown = 5 * kcrclock.Second
	// decayTime is the time constant of the exponential decay of observations.
	decayTime = 4 * kcrclock.Second
	// failureWeight is the weight of the newest result in the failure rate.
	failureWeight = 0.25
	// latencyWeight is the weight of the newest sample in the average latency.
	latencyWeight = 0.15
	// maxCachedParts bounds the parts remembered per upstream; beyond it, all
	// of them are forgotten.
	maxCachedParts = 4096
)

// upstream holds the statistics of one upstream. It is guarded by the lock of its
// service.
type upstream struct {
	Upstream
	hash         uint64            // of the ID
	longPool     bool              // belongs to the long-prompt pool
	inflight     int               // requests of this router
	backlog      kcrid.Tokens      // prompt tokens that this router sent and that are not read yet
	retryAt      kcrclock.Time     // end of the cooldown
	backoff      kcrclock.Duration // last cooldown after a failed connection
	fails        float64           // failure rate from 0 to 1, as of failsAt
	failsAt      kcrclock.Time
	latencyRatio float64             // average of measured by expected latency, 0 before the first sample
	latencyAt    kcrclock.Time       // of the last sample
	warmAt       kcrclock.Time       // end of the slow time after a start
	cachedParts  map[uint64]struct{} // IDs of the parts that it is assumed to have cached
	rateLimit    RateLimit           // as it named it last
	heardAt      atomic.Int64        // when it last sent something, as a kcrclock.Time; 0 for never

	withheldUntil kcrclock.Time // with a rate limit, not chosen before this time
	pausedUntil   kcrclock.Time // wants no requests before this time
	badPause      bool          // has named a time that makes no sense
	onTrial       bool          // has not begun to answer a request since it wanted none
	trials        int           // requests in flight that it got on trial
}

// service holds the upstreams of one service.
type service struct {
	mu           sync.Mutex
	upstreams    []*upstream
	byID         map[kcrid.VM]*upstream
	leaving      map[kcrid.VM]int64 // starts of upstreams that have said that they leave
	latencyRatio float64            // average over all upstreams
	rotation     int                // offset at which the next scan of the upstreams begins
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
			state = &upstream{hash: xxhash.Sum64String(string(u.ID)), cachedParts: map[uint64]struct{}{}}
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

// Parameters of the long-prompt pool. An engine reads a prompt in chunks between
// the tokens that it generates for other streams, so a long prompt delays every
// stream on the same engine beyond its latency target. Long prompts therefore
// go to a small pool of engines.
const (
	// longTokens is the length of the last part, which no other request
	// shares, from which a prompt counts as long.
	longTokens = 25000
	// longPoolShare is the fraction of the engines in the pool. It equals the
	// share of long prompts in all tokens that are read.
	longPoolShare = 0.12
	// longPoolSeed makes all routers choose the same engines.
	longPoolSeed = 0x9e3779b97f4a7c15
)

// assignLongPool chooses the engines of the long-prompt pool by rendezvous
// hashing.
func (s *service) assignLongPool() {
	order := slices.Clone(s.upstreams)
	slices.SortFunc(order, func(a, b *upstream) int { return cmp.Compare(mix(longPoolSeed^b.hash), mix(longPoolSeed^a.hash)) })
	for i, u := range order {
		u.longPool = i < s.longPoolSize()
	}
}

// longPoolSize returns the number of engines in the long-prompt pool. It is 0
// for a service with few engines, which has no such pool.
func (s *service) longPoolSize() int { return int(longPoolShare * float64(len(s.upstreams))) }

// usesLongPool reports whether a request belongs in the long-prompt pool.
func (s *service) usesLongPool(req *Request) bool { return req.isLong() && s.longPoolSize() > 0 }

// isLong reports whether the unshared part of the prompt is long.
func (req *Request) isLong() bool {
	return len(req.PromptParts) > 0 && req.PromptParts[len(req.PromptParts)-1].Tokens >= longTokens
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
	best.backlog += bestUncached
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

// tieMargin is the cost difference below which two upstreams count as equal, so
// that the rotation spreads requests over them.
const tieMargin = 1.0

// cooldownCost ranks upstreams in cooldown behind all others, ordered by the
// time that is left.
const cooldownCost = 1e9

// contains reports whether the list has the ID.
func contains(ids []kcrid.VM, id kcrid.VM) bool {
	for _, candidate := range ids {
		if candidate == id {
			return true
		}
	}
	return false
}

// preferred returns the upstream that all routers prefer for the longest shared prefix, by
// rendezvous hashing over those that take the request, are not in cooldown and have no rate
// limit. It returns nil for a request that shares nothing.
func (s *service) preferred(now kcrclock.Time, req Request) (best *upstream) {
	if len(req.PromptParts) < 2 {
		return nil
	}
	lastShared := req.PromptParts[len(req.PromptParts)-2].ID
	highest, longPool := uint64(0), s.usesLongPool(&req)
	for _, u := range s.upstreams {
		if h := mix(lastShared ^ u.hash); h >= highest && now >= u.retryAt && u.longPool == longPool && !u.rateLimit.Named && s.takes(now, u, &req) {
			best, highest = u, h
		}
	}
	return best
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// cost estimates the cost of sending a request to an upstream, and how many
// tokens of its prompt are not cached there.
func (t *Table) cost(now kcrclock.Time, s *service, u *upstream, req Request, preferred bool) (cost float64, uncached kcrid.Tokens) {
	w := t.weights
	uncached = u.uncached(req)
	cost = float64(uncached)
	if preferred {
		shared := min(uncached, req.PromptParts[len(req.PromptParts)-2].Tokens)
		cost -= w.PreferredCached * float64(shared)
	}
	if u.Zone != t.zone {
		cost += w.CrossZoneByte * float64(req.TransferBytes)
	}
	utilization := float64(u.inflight) / float64(max(1, u.Slots))
	cost += w.FullUpstream * utilization * utilization
	cost += w.BacklogToken * float64(u.backlog)
	cost += w.DelayedStream * float64(u.inflight) * delayedShare(u.backlog+uncached)
	if len(req.PromptParts) > 0 && u.longPool != (s.usesLongPool(&req)) {
		cost += w.WrongPool
	}
	cost += w.FailureRate * u.failureRate(now)
	if s.latencyRatio > 0 && u.latencyRatio > s.latencyRatio {
		cost += w.ExcessLatency * min(u.latencyRatio/s.latencyRatio-1, maxExcessLatency) * decay(now.Sub(u.latencyAt))
	}
	if now < u.warmAt {
		cost += w.ExcessLatency
	}
	return cost, uncached
}

// The amount of prompt tokens read at once from which other streams on the same
// engine begin to be delayed, and from which all of them miss their latency
// target.
const (
	delayFrom = 12000 // tokens
	delayFull = 28000 // tokens
)

// delayedShare returns the fraction of the streams on an engine that are delayed
// while it reads this many tokens.
func delayedShare(tokens kcrid.Tokens) float64 {
	return max(0, min(1, float64(tokens-delayFrom)/(delayFull-delayFrom)))
}

// maxExcessLatency bounds the penalty of a slow upstream, as a multiple of the
// average latency.
const maxExcessLatency = 8.0

// uncached returns the number of prompt tokens that an upstream has to read. A
// prefix cache is usable up to the first part that is not cached.
func (u *upstream) uncached(req Request) kcrid.Tokens {
	uncached := req.PromptTokens
	for _, p := range req.PromptParts {
		if _, ok := u.cachedParts[p.ID]; !ok {
			break
		}
		uncached -= p.Tokens
	}
	return max(0, uncached)
}

// recordCached notes that the shared parts of a prompt will be cached. A prompt
// with a single part counts as shared.
func (u *upstream) recordCached(parts []PromptPart) {
	if len(u.cachedParts) > maxCachedParts {
		clear(u.cachedParts)
	}
	for i, p := range parts {
		if i == len(parts)-1 && len(parts) > 1 {
			break // the last part belongs to this request alone
		}
		u.cachedParts[p.ID] = struct{}{}
	}
}

// failureRate returns the decayed failure rate.
func (u *upstream) failureRate(now kcrclock.Time) float64 { return u.fails * decay(now.Sub(u.failsAt)) }

// decay returns the remaining weight of an observation of the given age.
// Because of the decay, an upstream that performed badly is tried again.
func decay(age kcrclock.Duration) float64 { return math.Exp(-age.Seconds() / decayTime.Seconds()) }

// Read speed and base latency of an idle engine. Measured latencies are divided
// by the latency that these predict, to detect slow engines.
const (
	readPerMS   = 100 // tokens
	baseLatency = 15  // ms
)

// expectedLatency estimates the time to the first event of the response.
func expectedLatency(u *upstream, uncached kcrid.Tokens) kcrclock.Duration {
	return kcrclock.Duration((u.backlog+uncached)/readPerMS) + baseLatency
}

// Heard reports that the upstream has sent something.
func (c *Choice) Heard(now kcrclock.Time) { c.state.heardAt.Store(int64(now)) }

// HeardAt returns when the upstream last sent something in any run since its start, 0 for never.
func (c *Choice) HeardAt() kcrclock.Time { return kcrclock.Time(c.state.heardAt.Load()) }

// ResponseStarted reports that the response has begun to arrive: the prompt is read, and
// the upstream is reachable.
func (c *Choice) ResponseStarted(now kcrclock.Time) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.endTrial(now, true)
	c.state.backlog -= c.pending
	c.pending = 0
	c.state.backoff = 0
	c.state.retryAt = min(c.state.retryAt, now)
	ratio := float64(now.Sub(c.started)) / float64(c.ExpectedLatency)
	c.state.latencyAt = now
	updateAverage(&c.state.latencyRatio, ratio, latencyWeight)
	updateAverage(&c.service.latencyRatio, ratio, latencyWeight/4)
}

// updateAverage adds a sample to an exponentially weighted average. The first
// sample replaces the zero value.
func updateAverage(average *float64, sample, weight float64) {
	if *average == 0 {
		*average = sample
		return
	}
	*average += weight * (sample - *average)
}

// Finish reports the result of the attempt and removes the request from the load of
// its upstream.
func (c *Choice) Finish(now kcrclock.Time, r Result) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	u := c.state
	c.endTrial(now, false)
	u.inflight--
	u.backlog -= c.pending
	c.pending = 0
	switch r {
	case Served:
		u.recordResult(now, 0)
	case ErrorResponse:
		u.recordResult(now, 1)
	case ConnectionLost:
		u.recordResult(now, 1)
	case Refused:
		u.avoid(now, refusalCooldown)
	case Misdirected:
		u.avoid(now, staleAddressCooldown)
	case Unreachable:
		u.backoff = min(max(minBackoff, 2*u.backoff), maxBackoff)
		u.avoid(now, u.backoff)
		clear(u.cachedParts)
	case Stalled:
		u.recordResult(now, 1)
		u.avoid(now, stallCooldown)
	case CallerLeft:
	}
}

// recordResult updates the failure rate; failed is 1 for a failure and 0 for a
// success.
func (u *upstream) recordResult(now kcrclock.Time, failed float64) {
	u.fails = u.failureRate(now)
	u.fails += failureWeight * (failed - u.fails)
	u.failsAt = now
}

// avoid extends the cooldown of the upstream to at least d after t.
func (u *upstream) avoid(t kcrclock.Time, d kcrclock.Duration) { u.retryAt = max(u.retryAt, t.Add(d)) }
