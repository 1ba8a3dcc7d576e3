package kcrroute

import (
	"fmt"
	"math"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines the routing policies. LeastCost is used in production; the
// others are baselines that it is compared with. Invariant: a policy is called
// with at least one candidate and returns a valid index.

// Costs of a candidate, where 1 is the load of a full upstream.
const (
	otherZoneCost    = 0.15
	otherRegionCost  = 1.0
	refusalCost      = 0.5  // per recent refusal
	prefixDiscount   = 0.25 // the prefix of the prompt is probably cached
	spillCost        = 0.9  // cost before the discount from which other candidates are compared
	prefixCandidates = 2    // candidates of the best prefix rank that may have it cached
)

// reportDecayTime is the report age at which the weight of the report has
// fallen to 1/e.
const reportDecayTime = kcrclock.Second

// load estimates the utilization of a candidate: 1 is full. A report lags, so
// the requests that this router has started since it arrived are added. The
// older the report is, the less it counts; the router's own requests, scaled up
// to those of all routers, are used instead. An upstream without a report is
// taken to have a limit of 16.
func load(c Candidate) float64 {
	limit := float64(max(1, c.Report.Limit))
	if c.Report.Limit == 0 {
		limit = 16
	}
	reported := float64(c.Report.Inflight + c.Report.Queued + c.OwnInflight - c.OwnInflightAtReport)
	weight := math.Exp(-c.ReportAge.Seconds() / reportDecayTime.Seconds())
	return max(float64(c.OwnInflight), weight*reported+(1-weight)*float64(c.OwnInflight)*c.TotalPerOwn) / limit
}

// cost returns the cost of sending a request to a candidate.
func cost(c Candidate) float64 {
	total := load(c) + refusalCost*c.RecentRefusals
	switch c.Distance {
	case 1:
		total += otherZoneCost
	case 2:
		total += otherRegionCost
	}
	if c.PrefixRank < prefixCandidates {
		total -= prefixDiscount
	}
	return total
}

// LeastCost picks the cheaper of the first two candidates by prefix rank. If that
// one is nearly full or in another zone, it picks the cheapest of that one and
// 2*prefixCandidates random candidates.
func LeastCost(_ kcrclock.Time, random func(int) int, candidates []Candidate) (pick int, reason string) {
	best := 0
	for i := 1; i < min(prefixCandidates, len(candidates)); i++ {
		if cost(candidates[i]) < cost(candidates[best]) {
			best = i
		}
	}
	reason = "prefix"
	if cost(candidates[best])+prefixDiscount < spillCost && candidates[best].Distance == 0 {
		return best, formatReason(reason, candidates[best])
	}
	for range 2 * prefixCandidates {
		if i := random(len(candidates)); cost(candidates[i]) < cost(candidates[best]) {
			best, reason = i, "spill"
		}
	}
	return best, formatReason(reason, candidates[best])
}

// formatReason returns the reason of a choice with the estimates behind it.
func formatReason(reason string, c Candidate) string {
	return fmt.Sprintf("%s cost %.2f load %.2f", reason, cost(c), load(c))
}

// RoundRobin returns a policy that picks the candidates in turn.
func RoundRobin() Policy {
	next := 0
	return func(_ kcrclock.Time, _ func(int) int, candidates []Candidate) (int, string) {
		next++
		best := 0
		for i := range candidates {
			if (i+next)%len(candidates) == 0 {
				best = i
			}
		}
		return best, "turn"
	}
}

// LeastReported picks the candidate with the lowest reported load.
func LeastReported(_ kcrclock.Time, _ func(int) int, candidates []Candidate) (pick int, reason string) {
	for i := range candidates {
		if candidates[i].Report.Inflight+candidates[i].Report.Queued < candidates[pick].Report.Inflight+candidates[pick].Report.Queued {
			pick = i
		}
	}
	return pick, "report"
}

// TwoChoices picks the less loaded of two random candidates.
func TwoChoices(_ kcrclock.Time, random func(int) int, candidates []Candidate) (int, string) {
	a, b := random(len(candidates)), random(len(candidates))
	if load(candidates[b]) < load(candidates[a]) {
		return b, "two"
	}
	return a, "two"
}
