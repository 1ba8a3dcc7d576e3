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
	Young     bool         // the rate is not known yet
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
	// Bound returns what a wallet promises not to exceed until it reports
	// again: room at once, and rate more with each second. What it allows is
	// lost when the wallet dies. Homes that keep no bounds have none.
	Bound func(v View) (room, rate kcrid.Tokens)
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

// Outage says for which outages of the log a holder is made.
type Outage struct {
	Horizon kcrclock.Duration // whose demand is held
	First   float64           // part of what is left that a holder has whose demand is not known yet
	Room    kcrclock.Duration // whose demand a bound allows at once
	Growth  float64           // part of the demand by which a bound grows
	Floor   float64           // part of what is prepaid by which it grows at least, each second
}

// ShortOutages returns what holders are made for that meet outages of seconds
// and losses of power of all machines. More of anything is lost with the power,
// and less makes callers wait.
func ShortOutages() Outage {
	return Outage{Horizon: 2 * kcrclock.Second, First: 0.05, Room: 600 * kcrclock.Millisecond, Growth: 1.7, Floor: 0.004}
}

// Limits of the policy for outages.
const (
	// mostOut is the part of what is left that all holders may have out at
	// once: what they hold is lost if they die together.
	mostOut = 0.8
	// keepTime is the demand that a holder keeps when others are short.
	keepTime = kcrclock.Second / 2
)

// ForOutages returns the policy of a holder that loses its escrow when it dies.
func ForOutages(o Outage) Policy {
	return Policy{
		Target: func(v View) kcrid.Tokens {
			left := float64(max(0, v.Available+v.Free+v.Others))
			if v.Young {
				return kcrid.Tokens(o.First * left)
			}
			return kcrid.Tokens(min(v.Rate*o.Horizon.Seconds(), mostOut*left*max(v.Share, leastShare)))
		},
		Spare: func(v View, unmet kcrid.Tokens) kcrid.Tokens {
			keep := kcrid.Tokens(v.Rate * keepTime.Seconds())
			return max(0, min(unmet, v.Free-keep))
		},
		Bound: func(v View) (room, rate kcrid.Tokens) {
			if v.Young {
				first := kcrid.Tokens(o.First * float64(v.Prepaid))
				return first + v.Worst, first
			}
			return kcrid.Tokens(v.Rate*o.Room.Seconds()) + v.Worst, kcrid.Tokens(o.Growth*v.Rate + o.Floor*float64(v.Prepaid))
		},
	}
}

// WhenAlone returns the policy of a borrower: it holds nothing of its own while
// there is somebody to borrow from. While its demand is not known it holds what it
// has seen of it, or its part of what one holder would have, as so many are alone
// together.
func WhenAlone(alone func() bool, holders func() int, otherwise Policy) Policy {
	target := otherwise.Target
	otherwise.Target = func(v View) kcrid.Tokens {
		if !alone() {
			return 0
		}
		first := kcrid.Tokens(0)
		if v.Young {
			first = target(v) / kcrid.Tokens(max(1, holders()))
			v.Young = false
		}
		return max(first, target(v))
	}
	return otherwise
}
