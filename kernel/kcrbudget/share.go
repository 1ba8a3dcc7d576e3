package kcrbudget

import (
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines how a lender shares what it has among the loans that wait. Invariants: a
// loan gets its part by what it needs of all that is waited for, and nothing that would serve
// no request; a budget is exhausted only if it does not cover the smallest request.

// LendWaiting lends for the requests that wait at a borrower. A loan that cannot be met in full,
// or only at the cost of others that wait, is Pending until last is set; then it gets its share
// of the free tokens. The caller registers its need by AddWaiting before.
func (w *Wallet) LendWaiting(now kcrclock.Time, p kcrid.Plan, size LoanSize, last bool) (loan Loan) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ps := w.planState(p)
	free := w.free(p, ps)
	if free >= max(ps.waiting, size.Need) || size.Least >= ps.waiting || !w.ready || w.retired || w.mustCarry(p, ps) {
		return w.lend(now, p, size.Need, size.Want)
	}
	loan = Loan{Outcome: Pending, Unspent: max(0, w.ledger.Account(p).Available()+free), Used: w.ledger.Account(p).Used() - free, Era: w.ledger.era, Reach: w.reach(now, p, ps)}
	switch {
	case w.ledger.Account(p).Version == 0:
		loan.Outcome = BudgetUnknown
	case loan.Reach < size.Least:
		loan.Outcome = BudgetExhausted
	case last:
		w.lendShare(now, p, ps, size, &loan)
	default:
		w.refill(now, p, ps, min(size.Need, loan.Reach))
	}
	return loan
}

// lendShare lends the part of the free tokens that the need of a loan is of all that is waited
// for, or what its smallest request lacks if that is more. It lends nothing that would serve
// no request.
func (w *Wallet) lendShare(now kcrclock.Time, p kcrid.Plan, ps *walletPlanState, size LoanSize, loan *Loan) {
	free := w.free(p, ps)
	part := kcrid.Tokens(float64(free) * float64(size.Need) / float64(max(ps.waiting, size.Need)))
	part = min(max(part, size.Least), size.Need)
	room := w.allowance(now, ps) - ps.maxDrawn(0)
	if part > room {
		w.raiseBound(now, p, ps, part)
	}
	part = min(part, room)
	if part <= 0 || part < size.Least || !w.rules.Fits(free, part) || !w.rules.WithinBounds(ps.maxDrawn(part), w.allowance(now, ps)) {
		return
	}
	ps.lent += part
	ps.expectedSpending += float64(part)
	*loan = Loan{Tokens: part, Outcome: Granted, Unspent: loan.Unspent - part, Used: loan.Used + part, Era: loan.Era, Reach: loan.Reach - part}
}

// Returning returns the reserved tokens that are expected to be free again, judged by the
// reservations that have ended.
func (w *Wallet) Returning(p kcrid.Plan) kcrid.Tokens {
	w.mu.Lock()
	defer w.mu.Unlock()
	ps := w.planState(p)
	return kcrid.Tokens(ps.unusedShare * float64(ps.reserved))
}

// reach returns the tokens that may still be lent: those that are free here or available on the
// ledger, and those that other live holders may return.
func (w *Wallet) reach(now kcrclock.Time, p kcrid.Plan, ps *walletPlanState) kcrid.Tokens {
	return max(0, w.ledger.Account(p).Available()+w.unspentByLiveHolders(now, p)+w.free(p, ps))
}

// SetLoanDelay sets how long a loan takes to arrive. Loans ahead of requests cover the demand of
// that time as well.
func (w *Wallet) SetLoanDelay(delay kcrclock.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loanDelay = min(delay, maxLoanDelay)
}

// maxLoanDelay bounds the time of loans that demand is borrowed ahead for.
const maxLoanDelay = kcrclock.Second
