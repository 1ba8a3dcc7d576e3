package kcrplacement

import (
	"math"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the cost model that ranks the upstreams for a request. Invariant: all
// routers derive the same preferred upstream for a prefix if they know the same upstreams
// and cooldowns.

// Weights convert the cost factors of a choice into one unit: the cost of reading one uncached
// prompt token at the usual engine of the service. Times are converted by its learned pace.
type Weights struct {
	CrossZoneByte   float64 // per byte that crosses zones
	FullUpstream    float64 // for an upstream whose slots are all in use
	BacklogToken    float64 // per token that is queued to be read
	FailureRate     float64 // for an upstream that fails every request
	ExcessLatency   float64 // for an upstream of requests without a prompt that takes twice as long as the usual one, and for a cold one
	Delay           float64 // per token that could be read in the time that a first event is expected to wait besides reading
	Late            float64 // for a first event that is expected to be late
	PreferredCached float64 // fraction of a shared prefix that is assumed to be cached at its preferred upstream
	DelayedStream   float64 // per running stream that the prompt delays
	WrongPool       float64 // for a long prompt outside the long-prompt pool, or a short one inside it
}

// DefaultWeights returns weights derived from what users pay for prompt tokens
// and for bytes between zones, and from the speed at which engines read prompts.
func DefaultWeights() Weights {
	return Weights{CrossZoneByte: 0.015, FullUpstream: 4000, BacklogToken: 0.5, FailureRate: 6000, ExcessLatency: 400, Delay: 0.1, Late: 2500, PreferredCached: 0.9, DelayedStream: 1000, WrongPool: 2500}
}

// tieMargin is the cost difference below which two upstreams count as equal, so
// that the rotation spreads requests over them.
const tieMargin = 1.0

// cooldownCost ranks upstreams in cooldown behind all others, ordered by the
// time that is left.
const cooldownCost = 1e9

// preferred returns the upstream that all routers prefer for the longest shared prefix, by
// rendezvous hashing over those that take the request, are not in cooldown or overrun and
// have no rate limit. It returns nil for a request that shares nothing.
func (s *service) preferred(now kcrclock.Time, req *Request) (best *upstream) {
	if len(req.PromptParts) < 2 {
		return nil
	}
	lastShared := req.PromptParts[len(req.PromptParts)-2].ID
	lowest, longPool := math.Inf(1), s.usesLongPool(req)
	for _, u := range s.upstreams {
		if now < u.avoidedUntil() || u.longPool != longPool || u.rateLimit.Named || !s.takes(now, u, req) || s.isOverrun(now, u) {
			continue
		}
		if score := u.engine.score(mix(lastShared^u.hash), lowest); score < lowest {
			best, lowest = u, score
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
func (t *Table) cost(now kcrclock.Time, s *service, u *upstream, req *Request, preferred bool) (cost float64, uncached kcrid.Tokens) {
	w := &t.weights
	uncached = u.uncached(req)
	slow := u.engine.slow()
	cost = float64(uncached)
	if preferred {
		shared := min(uncached, req.PromptParts[len(req.PromptParts)-2].Tokens)
		cost -= w.PreferredCached * float64(shared)
	}
	if u.Zone != t.zone {
		cost += w.CrossZoneByte * float64(req.TransferBytes)
	}
	utilization := max(float64(u.inflight)/float64(max(1, u.Slots)), u.memory.fill(0, u.Capacity))
	cost += w.FullUpstream * utilization * utilization
	cost += w.FailureRate * u.failureRate(now)
	cost += s.othersCost(now, u, w)
	if now < u.warmAt {
		cost += w.ExcessLatency
	}
	if len(req.PromptParts) == 0 {
		return cost + w.ExcessLatency*s.excess(now, u), uncached
	}
	cost += w.BacklogToken * float64(u.backlog) * slow
	cost += w.DelayedStream * float64(u.inflight) * s.delayedShare(float64(u.backlog+uncached)*slow, req.GapTarget)
	if u.longPool != s.usesLongPool(req) {
		cost += w.WrongPool
	}
	return cost + t.waitingCost(now, s, u, req, uncached), uncached
}

// waitingCost estimates the cost of the time to the first event, apart from the tokens to read. It
// is bounded, since a request that goes where nothing of its prompt is cached makes others late.
func (t *Table) waitingCost(now kcrclock.Time, s *service, u *upstream, req *Request, uncached kcrid.Tokens) (cost float64) {
	delay := s.otherDelay(now, u)
	cost = t.weights.Delay * min(delay+s.line.base*u.engine.slow(), maxWaiting) / s.line.perToken
	if req.Target > 0 {
		first := s.line.at(u.backlog+uncached)*u.engine.slow() + delay
		cost += t.weights.Late * clamp((first/float64(req.Target)-lateFrom)/(lateFull-lateFrom), 0, 1)
	}
	return cost
}

// excess returns by how much an upstream takes longer than the usual one of its service, as a
// bounded multiple of its time.
func (s *service) excess(now kcrclock.Time, u *upstream) float64 {
	return clamp(s.firstEvent(now, u, 0)/s.line.base-1, 0, maxExcessLatency)
}

const (
	// lateFrom and lateFull are the shares of the target for the first event from which a request
	// may be late, and from which it is expected to be.
	lateFrom, lateFull = 0.4, 1.2
	// maxWaiting bounds the time in ms of which the cost grows with each ms.
	maxWaiting = 500.0
	// delayFrom and delayFull are the shares of the target for the time between events that the
	// reading of prompts has to take to delay some of the other streams on the same engine, and
	// all of them, beyond that target.
	delayFrom, delayFull = 0.3, 0.7
	// defaultGapTarget applies where a route names none.
	defaultGapTarget = 400 * kcrclock.Millisecond
)

// gapTarget returns the target for the time between events that applies to a request, in ms.
func gapTarget(named kcrclock.Duration) float64 {
	if named <= 0 {
		named = defaultGapTarget
	}
	return float64(named)
}

// delayedShare returns the fraction of the streams on an engine that are delayed while it reads
// this many tokens of the usual pace.
func (s *service) delayedShare(tokens float64, named kcrclock.Duration) float64 {
	target := gapTarget(named)
	return clamp((tokens*s.line.perToken/target-delayFrom)/(delayFull-delayFrom), 0, 1)
}

// maxExcessLatency bounds the penalty of a slow upstream, as a multiple of the
// average latency.
const maxExcessLatency = 8.0
