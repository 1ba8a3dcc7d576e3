package kcrplacement

import (
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the cost model that ranks the upstreams for a request. Invariant: all
// routers derive the same preferred upstream for a prefix if they know the same upstreams
// and cooldowns.

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

// tieMargin is the cost difference below which two upstreams count as equal, so
// that the rotation spreads requests over them.
const tieMargin = 1.0

// cooldownCost ranks upstreams in cooldown behind all others, ordered by the
// time that is left.
const cooldownCost = 1e9

// preferred returns the upstream that all routers prefer for the longest shared prefix, by
// rendezvous hashing over those that take the request, are not in cooldown or overrun and have
// no rate limit. It returns nil for a request that shares nothing.
func (s *service) preferred(now kcrclock.Time, req Request) (best *upstream) {
	if len(req.PromptParts) < 2 {
		return nil
	}
	lastShared := req.PromptParts[len(req.PromptParts)-2].ID
	highest, longPool := uint64(0), s.usesLongPool(&req)
	for _, u := range s.upstreams {
		if h := mix(lastShared ^ u.hash); h >= highest && now >= u.retryAt && u.longPool == longPool && !u.rateLimit.Named && s.takes(now, u, &req) && !s.isOverrun(now, u) {
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
	cost += s.othersCost(now, u, w)
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
