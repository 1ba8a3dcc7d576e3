package kcrbudget

import (
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines how wallets lend to each other: a home to routers, which have
// at hand what the next moments need and give back what they don't. Invariant:
// what is lent counts as spent at the lender before it is sent, and what is given
// back as lent at the borrower, so a message that is lost loses tokens and never
// makes any.

// Sizes and times of loans.
const (
	// borrowTime is the demand that a borrower wants to have at hand. It is lost
	// where the borrower dies, and saves a call for most requests.
	borrowTime = 400 * kcrclock.Millisecond
	// borrowBelow is the part of that below which more is borrowed, and
	// borrowMost the multiple of it from which on some is given back.
	borrowBelow = 0.5
	borrowMost  = 2
	// borrowPart is the part of what a plan still has that a borrower has at
	// hand at most: near the end of a budget all of it lies with the lender.
	borrowPart = 0.02
	// leftTime is how long a borrower relies on what it was told to be left.
	leftTime = 600 * kcrclock.Millisecond
	// lendPart is the part of what is free that one loan takes at most beside
	// what a request needs: near the end of a budget loans become small.
	lendPart = 8
)

// Loan is escrow that is given to another holder. Left is what the plan still
// has here or available to all.
type Loan struct {
	Tokens kcrid.Tokens
	Code   Code
	Left   kcrid.Tokens
}

// Lend gives escrow to another holder: what it needs, and some of what it wants
// besides. It counts as spent here from now on, whether it arrives or not. With
// Pending the holder should ask again after the next Apply.
func (w *Wallet) Lend(now kcrclock.Time, p kcrid.Plan, need, want kcrid.Tokens) Loan {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ready || w.retired {
		return Loan{Code: Unknowable}
	}
	po := w.pocket(p)
	po.smooth(now, w.ledger.SpentElsewhere(p, w.self))
	free := w.free(p, po)
	left := max(0, w.ledger.Account(p).Available()+free)
	if !w.rules.Fits(free, need) {
		return Loan{Code: w.claim(now, p, po, need), Left: left}
	}
	if !w.rules.Within(po.exposed(need), po.cap(now)) {
		w.raise(now, p, po, need)
		return Loan{Code: Pending, Left: left}
	}
	give := need + max(0, min(want-need, (free-need)/lendPart, po.cap(now)-po.exposed(need)))
	po.lent += give
	po.arrived += float64(give)
	return Loan{Tokens: give, Code: Granted, Left: left - give}
}

// Borrow takes in what another holder has lent or given back.
func (w *Wallet) Borrow(p kcrid.Plan, tokens kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pocket(p).borrowed += tokens
}

// Returned takes in what a borrower did not need of what was lent here.
func (w *Wallet) Returned(p kcrid.Plan, tokens kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	po := w.pocket(p)
	po.borrowed += tokens
	po.arrived -= float64(tokens)
}

// Short returns how much a request of a plan lacks, and what the demand of the
// next moments is besides.
func (w *Wallet) Short(now kcrclock.Time, p kcrid.Plan, worst kcrid.Tokens) (need, want kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	po := w.pocket(p)
	usable := min(w.free(p, po), po.cap(now)+po.borrowed-po.spent-po.lent-po.reserved)
	need = max(0, worst-usable)
	return need, need + max(0, po.near()-max(0, usable-worst))
}

// near is the demand of the next moments, as far as it may be at hand.
func (po *pocket) near() kcrid.Tokens {
	near := kcrid.Tokens(po.rate * borrowTime.Seconds())
	if po.left >= 0 {
		near = min(near, kcrid.Tokens(borrowPart*float64(po.left)))
	}
	return near
}

// Left takes in what a plan still has, as its lender says.
func (w *Wallet) Left(now kcrclock.Time, p kcrid.Plan, tokens kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	po := w.pocket(p)
	po.left, po.leftAt = tokens, now
}

// Low returns the plans whose escrow at a borrower covers too little of the
// next moments, and those of which it does not know what they still have.
func (w *Wallet) Low(now kcrclock.Time) (out []kcrid.Plan) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p, po := range w.pockets {
		po.smooth(now, w.ledger.SpentElsewhere(p, w.self))
		if po.rate == 0 {
			continue
		}
		if float64(w.free(p, po)) < borrowBelow*float64(po.near()) || now.Sub(po.leftAt) > leftTime {
			out = append(out, p)
		}
	}
	return out
}

// Amount is an amount of one plan.
type Amount struct {
	Plan   kcrid.Plan
	Tokens kcrid.Tokens
}

// Excess takes out what a borrower has borrowed of each plan beyond the demand
// of the next moments, or all of it. It counts as lent from now on.
func (w *Wallet) Excess(all bool) (out []Amount) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p, po := range w.pockets {
		free, keep := po.borrowed-po.spent-po.lent-po.reserved, po.near()
		switch {
		case all:
			keep = 0
		case free <= borrowMost*keep:
			continue
		}
		if free > keep {
			po.lent += free - keep
			out = append(out, Amount{Plan: p, Tokens: free - keep})
		}
	}
	return out
}
