package kcrbudget

import (
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines how much escrow a home asks for and gives back. A policy
// decides availability only; overspend is excluded whatever it returns.

// View is what a policy sees of one plan at one home.
type View struct {
	Worst     kcrid.Tokens // of the request that waits, 0 if none does
	Rate      float64      // tokens a second spent here, smoothed
	Share     float64      // part of the demand that comes here, 0 to 1
	Free      kcrid.Tokens // in the grant here and not reserved
	Available kcrid.Tokens // on the ledger
	Others    kcrid.Tokens // that other holders may still spend
	Prepaid   kcrid.Tokens
}

// Policy decides the size of grants.
type Policy struct {
	// Target returns how much a home wants to have free.
	Target func(View) kcrid.Tokens
	// Spare returns how much of Free a home gives to a holder that claimed
	// unmet tokens in vain.
	Spare func(v View, unmet kcrid.Tokens) kcrid.Tokens
}

// Limits of the default policy.
const (
	// DefaultHorizon is the demand that a grant covers while the log is down.
	DefaultHorizon = 2 * kcrclock.Hour
	// leastShare is the part of a budget that any home may hold.
	leastShare = 0.05
	// minRequests is how many of the largest requests a grant should cover.
	minRequests = 4
	// spareReserve is the demand that a home keeps when others are short.
	spareReserve = 10 * kcrclock.Second
)

// ByDemand returns the policy that covers the demand of a horizon, holds at
// most the part of what is left that the demand here is of all demand, and
// gives idle escrow to who is short.
func ByDemand(horizon kcrclock.Duration) Policy {
	return Policy{
		Target: func(v View) kcrid.Tokens {
			want := max(kcrid.Tokens(v.Rate*horizon.Seconds()), minRequests*v.Worst)
			left := float64(v.Available + v.Free + v.Others)
			most := max(kcrid.Tokens(left*max(v.Share, leastShare)), v.Worst)
			return min(want, most)
		},
		Spare: func(v View, unmet kcrid.Tokens) kcrid.Tokens {
			keep := min(v.Free/2, kcrid.Tokens(v.Rate*spareReserve.Seconds()))
			return max(0, min(unmet, v.Free-keep))
		},
	}
}
