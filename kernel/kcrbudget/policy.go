package kcrbudget

import (
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the escrow policies: how much escrow a holder claims and
// how much it returns. Invariant: a policy affects availability only; no value
// that it returns can cause overspend.

// PlanView is the state of one plan at one holder and the input of a policy.
type PlanView struct {
	WorstCase     kcrid.Tokens      // worst-case size of the request that is waiting, 0 if none is
	Waiting       kcrid.Tokens      // needed by the loans that wait here
	SpendRate     float64           // tokens spent here per second, smoothed
	RateUnknown   bool              // demand has not been observed for long enough
	NoDemand      bool              // no demand was seen here, and no request waits
	DemandShare   float64           // fraction of the plan's total demand that arrives here, 0 to 1
	Free          kcrid.Tokens      // granted to this holder, neither reserved nor spent
	Available     kcrid.Tokens      // on the ledger, not granted to any holder
	OthersUnspent kcrid.Tokens      // granted to other holders and not known to be spent
	Prepaid       kcrid.Tokens      // the plan's whole budget
	ConfirmTime   kcrclock.Duration // that the log takes to bring a record into effect
}

// Policy decides how much escrow a holder claims, returns and may spend.
type Policy struct {
	// Target returns the number of free tokens that a holder aims to have.
	Target func(PlanView) kcrid.Tokens
	// ReturnForOthers returns how much of v.Free a holder returns when the claim of
	// another holder fell short by unmet tokens.
	ReturnForOthers func(v PlanView, unmet kcrid.Tokens) kcrid.Tokens
	// Bound returns the limit that a wallet sets on its own spending until its
	// next report. The tokens within the bound are lost when the wallet dies. A Home
	// sets no bounds and needs no Bound.
	Bound func(v PlanView) BoundTerms
}

// BoundTerms are the terms of a bound: Room tokens at once, and Rate more per second
// after Delay. While the log takes reports, bounds are renewed before that.
type BoundTerms struct {
	Room, Rate kcrid.Tokens
	Delay      kcrclock.Duration
}

// Limits of the demand policy.
const (
	// DefaultDemandHorizon is the duration of demand that a grant covers while the log
	// is down.
	DefaultDemandHorizon = 2 * kcrclock.Hour
	// minDemandShare is the fraction of the unspent tokens that every holder may
	// hold, however small its share of the demand.
	minDemandShare = 0.05
	// minRequests is how many requests of the largest size a grant should cover.
	minRequests = 4
	// returnKeepHorizon is the duration of demand that a home keeps when it
	// returns escrow for another holder.
	returnKeepHorizon = 10 * kcrclock.Second
)

// DemandPolicy returns a policy whose target covers the demand of a horizon. The
// target is capped at the plan's unspent tokens times this holder's share of
// the demand. Idle escrow is returned to holders whose claims fell short.
func DemandPolicy(horizon kcrclock.Duration) Policy {
	return Policy{
		Target: func(v PlanView) kcrid.Tokens {
			want := max(kcrid.Tokens(v.SpendRate*horizon.Seconds()), minRequests*v.WorstCase)
			unspent := float64(v.Available + v.Free + v.OthersUnspent)
			maxTarget := max(kcrid.Tokens(unspent*max(v.DemandShare, minDemandShare)), v.WorstCase)
			return min(want, maxTarget)
		},
		ReturnForOthers: func(v PlanView, unmet kcrid.Tokens) kcrid.Tokens {
			keep := min(v.Free/2, kcrid.Tokens(v.SpendRate*returnKeepHorizon.Seconds()))
			return max(0, min(unmet, v.Free-keep))
		},
	}
}

// OutageConfig sets the length of log outages that a holder bridges.
type OutageConfig struct {
	Horizon        kcrclock.Duration // duration of demand that is held
	MaxShare       float64           // maximum fraction of the unspent tokens that is held
	InitialShare   float64           // fraction of the unspent tokens held while the rate is unknown
	InitialRoom    float64           // fraction of the prepaid tokens that a bound allows at once, and then per second, while the rate is unknown
	BoundHorizon   kcrclock.Duration // duration of demand that a bound allows at once
	BoundDelay     kcrclock.Duration // time after which a bound grows; a process that is killed is back before it
	BoundGrowth    float64           // growth of a bound, as a multiple of the demand rate
	MinBoundGrowth float64           // minimum growth of a bound per second, as a fraction of the prepaid tokens
	SlowHorizon    kcrclock.Duration // longest duration of demand that is held while the log is slow
	MaxSlowShare   float64           // maximum fraction of the unspent tokens that is held while the log is slow
}

// A bound covers the demand of boundConfirms times PlanView.ConfirmTime: until its own record is in
// effect, and then until that of the next bound is. A grant covers grantConfirms times that, since
// demand is uneven.
const (
	boundConfirms = 2
	grantConfirms = 3
)

// ShortOutageConfig returns a configuration for log outages of a few seconds and for
// a power loss of all machines. Larger values lose more tokens in a power loss;
// smaller values make callers wait. What is held becomes less as a budget runs out, since
// the end of the budget is missing what a power loss takes.
func ShortOutageConfig() OutageConfig {
	return OutageConfig{Horizon: 2 * kcrclock.Second, MaxShare: 0.03, InitialShare: 0.02, InitialRoom: 0.002, BoundHorizon: 250 * kcrclock.Millisecond, BoundDelay: kcrclock.Second, BoundGrowth: 2, MinBoundGrowth: 0.004, SlowHorizon: 4 * kcrclock.Second, MaxSlowShare: 0.25}
}

// keepHorizon is the duration of demand that a holder keeps when it returns escrow for
// another holder.
const keepHorizon = kcrclock.Second / 2

// NoHomeOutageConfig returns a configuration for routers that no home lends to. Each holds
// the demand of some seconds, however little is left, since routers are cut off from the
// log more often than homes are, and small budgets cover few requests.
func NoHomeOutageConfig() OutageConfig {
	o := ShortOutageConfig()
	o.MaxShare, o.SlowHorizon = 0.8, o.Horizon
	return o
}

// OutagePolicy returns a policy for holders that lose their escrow when they die.
func OutagePolicy(o OutageConfig) Policy {
	return Policy{
		Target: func(v PlanView) kcrid.Tokens {
			unspent := float64(max(0, v.Available+v.Free+v.OthersUnspent))
			switch {
			case v.NoDemand:
				return 0
			case v.RateUnknown:
				return kcrid.Tokens(o.InitialShare * unspent)
			}
			share := unspent * max(v.DemandShare, minDemandShare)
			usual := min(v.SpendRate*o.Horizon.Seconds(), o.MaxShare*share)
			cover := min(grantConfirms*v.ConfirmTime, o.SlowHorizon)
			slow := min(v.SpendRate*cover.Seconds()+float64(v.Waiting), o.MaxSlowShare*share)
			return kcrid.Tokens(max(usual, slow))
		},
		ReturnForOthers: func(v PlanView, unmet kcrid.Tokens) kcrid.Tokens {
			keep := kcrid.Tokens(v.SpendRate * keepHorizon.Seconds())
			return max(0, min(unmet, v.Free-keep))
		},
		Bound: func(v PlanView) BoundTerms {
			initial := kcrid.Tokens(0)
			if v.RateUnknown {
				initial = kcrid.Tokens(o.InitialRoom * float64(v.Prepaid))
			}
			horizon := max(o.BoundHorizon, min(boundConfirms*v.ConfirmTime, o.Horizon))
			return BoundTerms{
				Room:  max(initial, kcrid.Tokens(v.SpendRate*horizon.Seconds())) + v.WorstCase,
				Rate:  max(initial, kcrid.Tokens(o.BoundGrowth*v.SpendRate+o.MinBoundGrowth*float64(v.Prepaid))),
				Delay: o.BoundDelay,
			}
		},
	}
}

// NoLenderPolicy returns the policy of a borrower. The borrower holds no grant while
// a lender is reachable, that is while noLender returns false. Otherwise its target
// is that of the other policy. While its rate is unknown, the target is the
// larger of the demand seen so far and the initial target of one holder divided
// by holders, since that many borrowers may be without a lender at the same time.
func NoLenderPolicy(noLender func() bool, holders func() int, otherwise Policy) Policy {
	target := otherwise.Target
	otherwise.Target = func(v PlanView) kcrid.Tokens {
		if !noLender() {
			return 0
		}
		initial := kcrid.Tokens(0)
		v.NoDemand = false
		if v.RateUnknown {
			initial = target(v) / kcrid.Tokens(max(1, holders()))
			v.RateUnknown = false
		}
		return max(initial, target(v))
	}
	return otherwise
}
