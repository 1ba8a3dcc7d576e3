package kcrbudget

import (
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines how a wallet raises its grant on the ledger: claims, and the bounds of
// what it may have drawn. Invariants: a wallet draws nothing beyond the bound that the ledger
// shows; what a wallet takes to be in flight or in force follows from the state of its ledger, and
// from nothing that depends on which copies of its records it reads, or how often.

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

// raiseBound raises the bound of a plan to make room for a waiting request. If no record is under way,
// the other plans report in the same append, which spares one of their own.
func (w *Wallet) raiseBound(now kcrclock.Time, p kcrid.Plan, ps *walletPlanState, worstCase kcrid.Tokens) {
	if ps.raiseSeq != 0 {
		return
	}
	alone := w.outbox.Len() > 0
	ps.raiseSeq = w.reportSpending(now, p, ps, 0, worstCase)
	if alone {
		return
	}
	for _, other := range sortedKeys(w.planStates) {
		if state := w.planStates[other]; state.drawn() != state.lastReported {
			w.reportSpending(now, other, state, 0, 0)
		}
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
	w.confirms.sent(now, ps.claimSeq)
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
		if eff.Kind == Claimed {
			ps := w.planState(eff.Plan)
			ps.unmet, ps.unmetAt = eff.Unmet > 0, now
		}
		w.confirmApplied(now)
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

// confirmApplied brings what the wallet takes to be in flight into agreement with its ledger.
// Calling it again changes nothing.
func (w *Wallet) confirmApplied(now kcrclock.Time) {
	applied := w.ledger.Applied(w.self)
	w.outbox.Confirm(applied)
	w.confirms.confirm(now, applied)
	w.confirmRestated(applied)
	for _, p := range sortedKeys(w.planStates) {
		ps := w.planStates[p]
		w.dropDecidedBounds(ps, applied, w.ledger.Grant(w.self, p).BoundSeq)
		if claimed := ps.confirmSent(applied); claimed && w.retired { // the claim was granted after Retire
			w.returnFree(now, p, ps)
		}
	}
}

// confirmSent forgets what was sent with the records up to applied. It reports whether that
// includes the claim in flight.
func (ps *walletPlanState) confirmSent(applied uint64) (claimed bool) {
	for seq, returned := range ps.returnsBySeq {
		if seq <= applied {
			ps.returning -= returned
			delete(ps.returnsBySeq, seq)
		}
	}
	claimed = ps.claimSeq != 0 && ps.claimSeq <= applied
	for _, sent := range []*uint64{&ps.claimSeq, &ps.raiseSeq, &ps.carrySeq} {
		if *sent <= applied {
			*sent = 0
		}
	}
	return claimed
}

// returnForUnmet returns idle escrow so that another holder's claim can be met.
func (w *Wallet) returnForUnmet(now kcrclock.Time, p kcrid.Plan, unmet kcrid.Tokens) {
	ps := w.planState(p)
	if returned := w.policy.ReturnForOthers(w.view(now, p, ps, 0), unmet); returned > 0 {
		w.reportSpending(now, p, ps, returned, 0)
	}
}
