package kcrbudget

import (
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines how a wallet raises its grant on the ledger: claims, and the bounds of
// what it may have drawn. Invariant: a wallet draws nothing beyond a bound that the ledger
// has confirmed.

// Claim claims escrow for a request that does not fit. It returns Pending, or the
// reason why no escrow can come.
func (w *Wallet) Claim(now kcrclock.Time, p kcrid.Plan, worstCase kcrid.Tokens) ReserveOutcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ready || w.retired {
		return BudgetUnknown
	}
	return w.claim(now, p, w.planState(p), worstCase)
}

// claim is Claim with the lock held.
func (w *Wallet) claim(now kcrclock.Time, p kcrid.Plan, ps *walletPlanState, worstCase kcrid.Tokens) ReserveOutcome {
	a := w.ledger.Account(p)
	if a.Version == 0 {
		return BudgetUnknown
	}
	if a.Available()+w.unspentByLiveHolders(now, p)+w.free(p, ps) < worstCase {
		return BudgetExhausted
	}
	w.refill(now, p, ps, worstCase)
	return Pending
}

// raiseBound raises the bound of a plan to make room for a waiting request.
func (w *Wallet) raiseBound(now kcrclock.Time, p kcrid.Plan, ps *walletPlanState, worstCase kcrid.Tokens) {
	if ps.raiseSeq == 0 {
		ps.raiseSeq = w.reportSpending(now, p, ps, 0, worstCase)
	}
}

// refill claims escrow up to the target, unless a claim is in flight or one fell
// short within unmetClaimRetry.
func (w *Wallet) refill(now kcrclock.Time, p kcrid.Plan, ps *walletPlanState, worstCase kcrid.Tokens) {
	if ps.claimSeq != 0 || w.retired || !w.ready || w.waitsForCarries(now) || ps.unmet && now.Sub(ps.unmetAt) < unmetClaimRetry {
		return
	}
	v := w.view(now, p, ps, worstCase)
	target := max(w.policy.Target(v), worstCase, ps.waiting)
	if worstCase == 0 && float64(v.Free) >= refillBelow*float64(target) {
		return
	}
	want := target - v.Free
	if want <= 0 || v.Available <= 0 && worstCase == 0 || w.mustCarry(p, ps) {
		return
	}
	ps.hasClaimed = true
	bound := w.newBound(now, p, ps, worstCase)
	ps.claimSeq = w.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Claim{Claim: &kcrentry.Claim{
		Plan: string(p), Tokens: int64(want), Bound: bound.toEntry(),
	}}})
	ps.addSentBound(now, ps.claimSeq, bound)
}

// Apply applies one record of the stream.
func (w *Wallet) Apply(now kcrclock.Time, off kcrid.Offset, e *kcrentry.Entry) Effect {
	w.mu.Lock()
	defer w.mu.Unlock()
	eff := w.ledger.Apply(off, e)
	writer := kcrid.Incarnation(e.GetWriter())
	if w.ready { // older records do not show which holders are alive
		w.lastRecordAt[writer] = now
	}
	if writer == w.self {
		w.confirm(now, eff, e)
		return eff
	}
	switch {
	case eff.Kind == Claimed && eff.Unmet > 0:
		w.returnForUnmet(now, eff.Plan, eff.Unmet)
	case eff.Kind == Limited:
		if short := -w.ledger.Account(eff.Plan).Available(); short > 0 {
			w.returnForUnmet(now, eff.Plan, short)
		}
	}
	return eff
}

// confirm handles a record of this wallet that was read back from the stream.
func (w *Wallet) confirm(now kcrclock.Time, eff Effect, e *kcrentry.Entry) {
	w.outbox.Confirm(e.GetSeq())
	w.confirmRestated(e.GetSeq())
	switch {
	case e.GetCarry() != nil:
		if ps := w.planState(kcrid.Plan(e.GetCarry().GetPlan())); ps.carrySeq == e.GetSeq() {
			ps.carrySeq = 0
		}
	case e.GetRestate() != nil:
		w.planState(kcrid.Plan(e.GetRestate().GetPlan())).confirmBound(e.GetSeq(), eff.Kind == Restated)
	case e.GetClaim() != nil:
		ps := w.planState(kcrid.Plan(e.GetClaim().GetPlan()))
		if ps.claimSeq == e.GetSeq() {
			ps.claimSeq = 0
		}
		ps.unmet = eff.Unmet > 0
		ps.unmetAt = now
		ps.confirmBound(e.GetSeq(), eff.Tokens > 0)
		if w.retired { // the claim was granted after Retire
			w.returnFree(now, kcrid.Plan(e.GetClaim().GetPlan()), ps)
		}
	case e.GetMark() != nil:
		ps := w.planState(kcrid.Plan(e.GetMark().GetPlan()))
		ps.returning -= ps.returnsBySeq[e.GetSeq()]
		delete(ps.returnsBySeq, e.GetSeq())
		if ps.raiseSeq == e.GetSeq() {
			ps.raiseSeq = 0
		}
		ps.confirmBound(e.GetSeq(), eff.Kind == Marked)
	}
}

// returnForUnmet returns idle escrow so that another holder's claim can be met.
func (w *Wallet) returnForUnmet(now kcrclock.Time, p kcrid.Plan, unmet kcrid.Tokens) {
	ps := w.planState(p)
	if returned := w.policy.ReturnForOthers(w.view(now, p, ps, 0), unmet); returned > 0 {
		w.reportSpending(now, p, ps, returned, 0)
	}
}
