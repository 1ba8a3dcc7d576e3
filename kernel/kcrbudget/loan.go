package kcrbudget

import (
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines loans between wallets. The wallet of a home lends to routers,
// which keep enough for the demand of a short time and return the rest. Invariant: the
// lender counts a loan as spent before it is sent, and the borrower counts a
// return as lent before it is sent, so a lost message loses tokens and never
// creates any.

// Sizes and times of loans.
const (
	// borrowHorizon is the duration of demand for which a borrower holds tokens. They
	// save a call to the lender for most requests, and are lost when the borrower dies.
	borrowHorizon = 400 * kcrclock.Millisecond
	// A borrower borrows more below borrowRefillBelow times the demand of
	// borrowHorizon, and returns tokens above borrowReturnAbove times that demand.
	borrowRefillBelow = 0.5
	borrowReturnAbove = 2
	// maxBorrowShare is the maximum fraction of the plan's unspent tokens that a
	// borrower holds, so that near the end of a budget most tokens are at the
	// lender.
	maxBorrowShare = 0.02
	// maxUnspentAge is how long a borrower relies on the number of unspent tokens
	// that the lender last reported.
	maxUnspentAge = 600 * kcrclock.Millisecond
	// lendFreeDivisor limits a loan to one part in lendFreeDivisor of the free
	// tokens, beyond what the request needs: near the end of a budget loans become
	// small.
	lendFreeDivisor = 8
)

// Loan is escrow that is lent to another holder. Unspent is the number of tokens that
// are free at the lender or available on the ledger after the loan.
type Loan struct {
	Tokens  kcrid.Tokens
	Outcome ReserveOutcome
	Unspent kcrid.Tokens
	Used    kcrid.Tokens // the other tokens of the plan: granted to others, lent or spent
	Era     uint64       // era of the log in which Used was counted
	Lacks   Lack         // what a pending loan waits for
}

// Lack is what a pending loan waits for.
type Lack int

// What a loan can wait for.
const (
	LacksNothing Lack = iota
	LacksGrant        // a claim on the ledger
	LacksBound        // a bound on the ledger that allows to lend more
	LacksCarry        // a record of what was used before the era of the log
)

// String returns the name of the lack in logs.
func (l Lack) String() string {
	return [...]string{"nothing", "grant", "bound", "carry"}[l]
}

// Lend lends escrow to another holder: need tokens, and up to want if enough is
// free. The loan counts as spent here at once, whether it arrives or not. On
// Pending the borrower should ask again after the next Apply.
func (w *Wallet) Lend(now kcrclock.Time, p kcrid.Plan, need, want kcrid.Tokens) Loan {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ready || w.retired {
		return Loan{Outcome: BudgetUnknown}
	}
	ps := w.planState(p)
	ps.updateRates(now, w.ledger.SpentByOthers(p, w.self))
	free := w.free(p, ps)
	a := w.ledger.Account(p)
	unspent, used := max(0, a.Available()+free), a.Used()-free
	if w.mustCarry(p, ps) {
		return Loan{Outcome: Pending, Unspent: unspent, Lacks: LacksCarry}
	}
	if !w.rules.Fits(free, need) {
		return Loan{Outcome: w.claim(now, p, ps, need), Unspent: unspent, Used: used, Era: w.ledger.era, Lacks: LacksGrant}
	}
	if !w.rules.WithinBounds(ps.maxDrawn(need), w.allowance(now, ps)) {
		w.raiseBound(now, p, ps, need)
		return Loan{Outcome: Pending, Unspent: unspent, Used: used, Era: w.ledger.era, Lacks: LacksBound}
	}
	lent := need + max(0, min(want-need, (free-need)/lendFreeDivisor, w.allowance(now, ps)-ps.maxDrawn(need)))
	ps.lent += lent
	ps.expectedSpending += float64(lent)
	return Loan{Tokens: lent, Outcome: Granted, Unspent: unspent - lent, Used: used + lent, Era: w.ledger.era}
}

// AddWaiting adds tokens that a loan waits for, so that the next claim covers all loans
// that wait. The caller takes them back with a negative amount.
func (w *Wallet) AddWaiting(p kcrid.Plan, tokens kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planState(p).waiting += tokens
}

// AddUnserved adds tokens that a request of a borrower waits for, so that the next loan covers all that
// wait. They are no reason for a claim: after a restore of the log, only a lender knows whether others
// have told what they used. The caller takes them back with a negative amount.
func (w *Wallet) AddUnserved(p kcrid.Plan, tokens kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planState(p).unserved += tokens
}

// AddBorrowed adds tokens that another holder has lent, or whose return to the lender
// was not sent.
func (w *Wallet) AddBorrowed(p kcrid.Plan, tokens kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.planState(p).borrowed += tokens
}

// AddReturned adds tokens that this wallet lent and that the borrower returns.
func (w *Wallet) AddReturned(p kcrid.Plan, tokens kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ps := w.planState(p)
	ps.borrowed += tokens
	ps.expectedSpending -= float64(tokens)
}

// Shortfall returns how many tokens a request lacks (need), and that number plus what
// is missing to cover the other requests that wait and the demand of borrowHorizon (want).
func (w *Wallet) Shortfall(now kcrclock.Time, p kcrid.Plan, worstCase kcrid.Tokens) (need, want kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ps := w.planState(p)
	usable := min(w.free(p, ps), w.allowance(now, ps)+ps.borrowed-ps.spent-ps.lent-ps.reserved)
	need = max(0, worstCase-usable)
	others := max(0, ps.unserved-worstCase)
	return need, need + max(0, others+ps.nearDemand()-max(0, usable-worstCase))
}

// nearDemand returns the expected demand of borrowHorizon, limited to
// maxBorrowShare of the plan's unspent tokens.
func (ps *walletPlanState) nearDemand() kcrid.Tokens {
	demand := kcrid.Tokens(ps.rate * borrowHorizon.Seconds())
	if ps.unspent >= 0 {
		demand = min(demand, kcrid.Tokens(maxBorrowShare*float64(ps.unspent)))
	}
	return demand
}

// SetUnspent records how many unspent tokens a plan has, as reported by the lender.
func (w *Wallet) SetUnspent(now kcrclock.Time, p kcrid.Plan, tokens kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ps := w.planState(p)
	ps.unspent, ps.unspentAt = tokens, now
}

// PlansToBorrow returns the plans of a borrower whose escrow covers too little of the
// demand of borrowHorizon, or whose unspent tokens were reported longer than
// maxUnspentAge ago.
func (w *Wallet) PlansToBorrow(now kcrclock.Time) (plans []kcrid.Plan) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p, ps := range w.planStates {
		ps.updateRates(now, w.ledger.SpentByOthers(p, w.self))
		if ps.rate == 0 {
			continue
		}
		if float64(w.free(p, ps)) < borrowRefillBelow*float64(ps.nearDemand()) || now.Sub(ps.unspentAt) > maxUnspentAge {
			plans = append(plans, p)
		}
	}
	return plans
}

// Amount is a number of tokens of one plan.
type Amount struct {
	Plan   kcrid.Plan
	Tokens kcrid.Tokens
}

// TakeExcess takes out the unused borrowed tokens of a plan beyond the demand of
// borrowHorizon, for each plan where they exceed borrowReturnAbove times that
// demand. With all set it takes out all unused borrowed tokens. What it takes out
// counts as lent at once, so the caller must send it to the lender.
func (w *Wallet) TakeExcess(all bool) (amounts []Amount) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p, ps := range w.planStates {
		free, keep := ps.borrowed-ps.spent-ps.lent-ps.reserved, ps.nearDemand()
		switch {
		case all:
			keep = 0
		case free <= borrowReturnAbove*keep:
			continue
		}
		if free > keep {
			ps.lent += free - keep
			amounts = append(amounts, Amount{Plan: p, Tokens: free - keep})
		}
	}
	return amounts
}
