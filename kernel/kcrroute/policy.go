package kcrroute

import (
	"fmt"
	"math"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines the routing policies. ByCost is the one in production; the
// others are the baselines that it is measured against.

// Costs of a candidate, in units of a full upstream.
const (
	zoneCost    = 0.15
	regionCost  = 1.0
	refusalCost = 0.5
	cacheGain   = 0.25
	spillCost   = 0.9
	cachePlaces = 2
)

// freshTime is the age at which a report counts for a third.
const freshTime = kcrclock.Second

// load estimates how full a candidate is. The report lags: what this router
// has started since it came is added, and the older it is, the more the
// router's own requests count instead, scaled to those of all routers.
func load(s State) float64 {
	limit := float64(max(1, s.Report.Limit))
	if s.Report.Limit == 0 {
		limit = 16
	}
	known := float64(s.Report.Inflight + s.Report.Queue + s.Own - s.Base)
	fresh := math.Exp(-s.Age.Seconds() / freshTime.Seconds())
	return max(float64(s.Own), fresh*known+(1-fresh)*float64(s.Own)*s.Fan) / limit
}

func cost(s State) float64 {
	c := load(s) + refusalCost*s.Refused
	switch s.Away {
	case 1:
		c += zoneCost
	case 2:
		c += regionCost
	}
	if s.Affinity < cachePlaces {
		c -= cacheGain
	}
	return c
}

// ByCost takes the cheaper of the first two candidates by prefix, unless they
// are full; then the cheapest of them and of two random others.
func ByCost(_ kcrclock.Time, random func(int) int, cands []State) (pick int, why string) {
	best := 0
	for i := 1; i < min(cachePlaces, len(cands)); i++ {
		if cost(cands[i]) < cost(cands[best]) {
			best = i
		}
	}
	why = "prefix"
	if cost(cands[best])+cacheGain < spillCost && cands[best].Away == 0 {
		return best, explain(why, cands[best])
	}
	for range 2 * cachePlaces {
		if i := random(len(cands)); cost(cands[i]) < cost(cands[best]) {
			best, why = i, "spill"
		}
	}
	return best, explain(why, cands[best])
}

func explain(why string, s State) string {
	return fmt.Sprintf("%s cost %.2f load %.2f", why, cost(s), load(s))
}

// RoundRobin returns a policy that takes one candidate after the other.
func RoundRobin() Policy {
	next := 0
	return func(_ kcrclock.Time, _ func(int) int, cands []State) (int, string) {
		next++
		best := 0
		for i := range cands {
			if (i+next)%len(cands) == 0 {
				best = i
			}
		}
		return best, "turn"
	}
}

// LeastReported takes the candidate with the lowest reported load.
func LeastReported(_ kcrclock.Time, _ func(int) int, cands []State) (pick int, why string) {
	for i := range cands {
		if cands[i].Report.Inflight+cands[i].Report.Queue < cands[pick].Report.Inflight+cands[pick].Report.Queue {
			pick = i
		}
	}
	return pick, "report"
}

// TwoChoices takes the less loaded of two random candidates.
func TwoChoices(_ kcrclock.Time, random func(int) int, cands []State) (int, string) {
	a, b := random(len(cands)), random(len(cands))
	if load(cands[b]) < load(cands[a]) {
		return b, "two"
	}
	return a, "two"
}
