package kcrbudget

import (
	"math"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines what a wallet reports to the ledger: its spending, what it returns, and
// the demand from which its targets follow.

// drawn returns the tokens drawn from the grant. Borrowed tokens do not count,
// since they were drawn from the lender's grant.
func (ps *walletPlanState) drawn() kcrid.Tokens { return max(0, ps.spent+ps.lent-ps.borrowed) }

// maxDrawn returns the tokens that may be drawn from the grant if all
// reservations are spent in full and more tokens are reserved or lent.
func (ps *walletPlanState) maxDrawn(more kcrid.Tokens) kcrid.Tokens {
	return max(0, ps.spent+ps.lent+ps.reserved+more-ps.borrowed)
}

// reportSpending sends a record that reports the spending of a plan, returns a
// part of its grant, and renews its bound with room for a waiting request. It
// returns the sequence number of the record.
func (w *Wallet) reportSpending(now kcrclock.Time, p kcrid.Plan, ps *walletPlanState, returned, worstCase kcrid.Tokens) (seq uint64) {
	ps.lastReported = ps.drawn()
	ps.maxReported = max(ps.maxReported, ps.lastReported)
	returned = max(0, min(returned, w.ledger.Grant(w.self, p).Amount-ps.returning-ps.maxReported))
	bound := w.newBound(now, p, ps, worstCase)
	seq = w.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Mark{Mark: &kcrentry.Mark{
		Plan: string(p), Back: int64(returned), Spent: int64(ps.lastReported), Bound: bound.toEntry(),
	}}})
	ps.addSentBound(now, seq, bound)
	w.confirms.sent(now, seq)
	if returned > 0 {
		ps.returning += returned
		ps.returnsBySeq[seq] = returned
	}
	return seq
}

// Tick does the periodic work: it claims escrow up to the target, returns excess
// escrow, and reports spending.
func (w *Wallet) Tick(now kcrclock.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ready || w.retired {
		return
	}
	due := now.Sub(w.reportedAt) >= w.reportInterval(now) && w.outbox.Len() == 0
	for _, p := range sortedKeys(w.planStates) {
		ps := w.planStates[p]
		ps.updateRates(now, w.ledger.SpentByOthers(p, w.self))
		w.refill(now, p, ps, 0)
		if !due {
			continue
		}
		free := w.free(p, ps)
		keep := kcrid.Tokens(excessFactor * float64(w.policy.Target(w.view(now, p, ps, 0))))
		switch {
		case free > keep && ps.claimSeq == 0 && w.ledger.Grant(w.self, p).Amount-ps.returning > ps.maxReported:
			w.reportSpending(now, p, ps, free-keep, 0)
		case ps.drawn() != ps.lastReported || w.isBoundDue(now, p, ps):
			w.reportSpending(now, p, ps, 0, 0)
		}
	}
	if due {
		w.reportedAt = now
	}
}

// isBoundDue reports whether the bound of a grant is to be renewed although nothing was drawn: what it
// allows grows, and a successor counts all of that as spent.
func (w *Wallet) isBoundDue(now kcrclock.Time, p kcrid.Plan, ps *walletPlanState) bool {
	if w.ledger.Grant(w.self, p).Amount == 0 || len(ps.sentBounds) == 0 {
		return false
	}
	newest := ps.sentBounds[len(ps.sentBounds)-1]
	return now.Sub(newest.at) >= boundLifetime
}

// reportInterval returns the time between two reports: longer with many holders, each of
// which reads the reports of all.
func (w *Wallet) reportInterval(now kcrclock.Time) kcrclock.Duration {
	live := 0
	for _, at := range w.lastRecordAt {
		if now.Sub(at) < holderTimeout {
			live++
		}
	}
	return walletReportInterval * kcrclock.Duration(max(1, live/holdersPerReport))
}

// Retire returns all escrow that is not reserved; the wallet makes no more
// reservations. Tokens of reservations that end later are returned by the next
// call of Retire.
func (w *Wallet) Retire(now kcrclock.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retired = true
	for _, p := range sortedKeys(w.planStates) {
		w.returnFree(now, p, w.planStates[p])
	}
}

// returnFree returns the free tokens of a plan to the ledger.
func (w *Wallet) returnFree(now kcrclock.Time, p kcrid.Plan, ps *walletPlanState) {
	if free := w.free(p, ps); free > 0 {
		w.reportSpending(now, p, ps, free, 0)
	}
}

// rateUnknown reports whether demand was observed for less than
// minRateObservation.
func (ps *walletPlanState) rateUnknown(now kcrclock.Time) bool {
	return ps.rateSince == 0 || now.Sub(ps.rateSince) < minRateObservation
}

// noDemand reports whether nothing was reserved, lent or claimed here, and no loan waits.
func (ps *walletPlanState) noDemand() bool {
	return !ps.hasClaimed && ps.rateSince == 0 && ps.expectedSpending <= 0 && ps.waiting == 0
}

// updateRates updates the smoothed demand rates. Early in the measurement the rate
// is the plain average.
func (ps *walletPlanState) updateRates(now kcrclock.Time, spentByOthers kcrid.Tokens) {
	if ps.rateUpdatedAt == 0 || ps.rateSince == 0 && ps.expectedSpending == 0 {
		ps.rateUpdatedAt, ps.lastSpentByOthers = max(now, 1), spentByOthers
		return
	}
	if ps.rateSince == 0 {
		ps.rateSince = ps.rateUpdatedAt
	}
	step := now.Sub(ps.rateUpdatedAt)
	if step < rateUpdateInterval {
		return
	}
	weight := max(1-math.Exp(-step.Seconds()/walletRateWindow.Seconds()), step.Seconds()/now.Sub(ps.rateSince).Seconds())
	ps.rate += weight * (ps.expectedSpending/step.Seconds() - ps.rate)
	ps.othersRate += weight * (float64(max(0, spentByOthers-ps.lastSpentByOthers))/step.Seconds() - ps.othersRate)
	ps.rateUpdatedAt, ps.expectedSpending, ps.lastSpentByOthers = now, 0, spentByOthers
}
