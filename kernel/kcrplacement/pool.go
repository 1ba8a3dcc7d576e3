package kcrplacement

import (
	"cmp"
	"slices"
)

// This file defines the long-prompt pool: the engines to which prompts go that share little
// with others and take long to read.

// Parameters of the long-prompt pool. An engine reads a prompt in chunks between
// the tokens that it generates for other streams, so a long prompt delays every
// stream on the same engine beyond its latency target. Long prompts therefore
// go to a small pool of engines.
const (
	// longShare is the share of the target for the time between events that the reading of the
	// last part, which no other request shares, takes from which a prompt counts as long.
	longShare = 0.625
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
func (s *service) usesLongPool(req *Request) bool { return s.isLong(req) && s.longPoolSize() > 0 }

// isLong reports whether the unshared part of the prompt is long.
func (s *service) isLong(req *Request) bool {
	return len(req.PromptParts) > 0 && s.line.perToken*float64(req.ownTokens()) >= longShare*gapTarget(req.GapTarget)
}
