package kcrbudget

import (
	"math"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines how a home manages its grant for one plan: it claims escrow
// ahead of demand, reports spending, and returns escrow that other holders need.

// homePlanState is the state of a home's grant for one plan.
type homePlanState struct {
	spent             kcrid.Tokens            // settled, in total
	reserved          kcrid.Tokens            // by calls that are not settled
	returning         kcrid.Tokens            // being returned to the ledger, not confirmed yet
	lastReported      kcrid.Tokens            // spending in the newest report
	claimSeq          uint64                  // sequence number of the claim in flight, 0 if none
	deniedAt          kcrclock.Time           // when the newest claim was made or its result was read
	denied            bool                    // the newest claim was granted nothing
	rate              float64                 // tokens spent here per second, smoothed
	othersRate        float64                 // tokens spent under other holders per second, smoothed
	rateSince         kcrclock.Time           // start of the rate measurement
	rateUpdatedAt     kcrclock.Time           // last update of the rates
	spentSinceUpdate  kcrid.Tokens            // spent here since rateUpdatedAt
	lastSpentByOthers kcrid.Tokens            // spent under other holders until rateUpdatedAt
	lastUsedAt        kcrclock.Time           // last request for a new reservation
	maxWorstCase      kcrid.Tokens            // largest request so far
	returnsBySeq      map[uint64]kcrid.Tokens // parts of returning, by sequence number of the report
	sentCredits       map[string]bool         // credits sent to the ledger, by name; never removed
}

// planState returns the state of a plan and creates it if needed.
func (h *Home) planState(p kcrid.Plan) *homePlanState {
	ps, ok := h.planStates[p]
	if !ok {
		ps = &homePlanState{returnsBySeq: map[uint64]kcrid.Tokens{}, sentCredits: map[string]bool{}}
		h.planStates[p] = ps
	}
	return ps
}

// free returns the granted tokens that are not in use.
func (h *Home) free(p kcrid.Plan) kcrid.Tokens {
	ps := h.planState(p)
	return h.ledger.Grant(h.self, p).Amount - ps.returning - ps.spent - ps.reserved
}

// view returns the input of the policy. worstCase is the size of a request, 0 if
// there is none.
func (h *Home) view(p kcrid.Plan, worstCase kcrid.Tokens) PlanView {
	a := h.ledger.Account(p)
	ps := h.planState(p)
	return PlanView{
		WorstCase: worstCase, SpendRate: ps.rate, DemandShare: ps.share(), Free: h.free(p),
		Available: a.Available(), OthersUnspent: h.ledger.UnspentByOthers(p, h.self), Prepaid: a.Prepaid,
	}
}

// Credit sends a top-up of the configured list to the ledger, once per name.
func (h *Home) Credit(p kcrid.Plan, name string, tokens kcrid.Tokens) {
	h.mu.Lock()
	defer h.mu.Unlock()
	ps := h.planState(p)
	if _, ok := h.ledger.Account(p).Credits[name]; ok || ps.sentCredits[name] || !h.ready {
		return
	}
	ps.sentCredits[name] = true
	h.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Credit{Credit: &kcrentry.Credit{
		Plan: string(p), Name: name, Tokens: int64(tokens),
	}}})
}

// claim claims escrow up to the target, unless a claim is in flight, or one was
// granted nothing within deniedClaimRetry and the ledger still has nothing.
func (h *Home) claim(now kcrclock.Time, p kcrid.Plan, worstCase kcrid.Tokens) {
	ps := h.planState(p)
	v := h.view(p, worstCase)
	if ps.claimSeq != 0 || v.Prepaid == 0 {
		return
	}
	if ps.denied && v.Available == 0 && now.Sub(ps.deniedAt) < deniedClaimRetry {
		return
	}
	want := max(h.policy.Target(v), worstCase) - v.Free
	if want <= 0 {
		return
	}
	ps.deniedAt = now
	ps.claimSeq = h.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Claim{Claim: &kcrentry.Claim{
		Plan: string(p), Tokens: int64(want),
	}}})
}

// confirmApplied brings what the home takes to be in flight into agreement with its ledger.
// Calling it again changes nothing.
func (h *Home) confirmApplied() {
	applied := h.ledger.Applied(h.self)
	h.outbox.Confirm(applied)
	for s, state := range h.sidecars {
		if state.closeSeq != 0 && state.closeSeq <= applied {
			delete(h.sidecars, s)
		}
	}
	for _, ps := range h.planStates {
		if ps.claimSeq <= applied {
			ps.claimSeq = 0
		}
		for seq, returned := range ps.returnsBySeq {
			if seq <= applied {
				ps.returning -= returned
				delete(ps.returnsBySeq, seq)
			}
		}
	}
}

// returnForUnmet returns idle escrow so that another holder's claim can be met.
func (h *Home) returnForUnmet(eff Effect) {
	returned := h.policy.ReturnForOthers(h.view(eff.Plan, 0), eff.Unmet)
	if returned > 0 {
		h.reportSpending(eff.Plan, returned)
	}
}

// reportSpending sends a record that reports the spending of a plan and returns a
// part of its grant.
func (h *Home) reportSpending(p kcrid.Plan, returned kcrid.Tokens) {
	ps := h.planState(p)
	ps.returning += returned
	ps.lastReported = ps.spent
	seq := h.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Mark{Mark: &kcrentry.Mark{
		Plan: string(p), Back: int64(returned), Spent: int64(ps.spent),
	}}})
	if returned > 0 {
		ps.returnsBySeq[seq] = returned
	}
}

// tickPlan does the periodic work for one plan. Spending is reported for all plans
// at once, so that it takes a single append.
func (h *Home) tickPlan(now kcrclock.Time, p kcrid.Plan, ps *homePlanState, reportDue bool) {
	ps.updateRates(now, h.ledger.SpentByOthers(p, h.self))
	amount := h.ledger.Grant(h.self, p).Amount
	if amount == 0 {
		return
	}
	free := h.free(p)
	idle := now.Sub(ps.lastUsedAt) > idlePlanTimeout
	target := h.policy.Target(h.view(p, ps.maxWorstCase))
	switch {
	case idle && free > 0 && h.policy.ReturnForOthers(h.view(p, 0), math.MaxInt64) > 0:
		h.reportSpending(p, free)
	case !idle && float64(free) < refillBelow*float64(target):
		h.claim(now, p, ps.maxWorstCase)
	case reportDue && ps.spent != ps.lastReported:
		h.reportSpending(p, 0)
	}
}

// updateRates updates the smoothed demand rates. Early in the measurement the rate
// is the plain average.
func (ps *homePlanState) updateRates(now kcrclock.Time, spentByOthers kcrid.Tokens) {
	seconds := now.Sub(ps.rateUpdatedAt).Seconds()
	if seconds < 1 {
		return
	}
	if ps.rateUpdatedAt == 0 {
		ps.rateSince, ps.rateUpdatedAt, ps.spentSinceUpdate, ps.lastSpentByOthers = now, now, 0, spentByOthers
		return
	}
	weight := max(1-math.Exp(-seconds/rateWindow.Seconds()), seconds/now.Sub(ps.rateSince).Seconds())
	ps.rate += weight * (float64(ps.spentSinceUpdate)/seconds - ps.rate)
	ps.othersRate += weight * (float64(max(0, spentByOthers-ps.lastSpentByOthers))/seconds - ps.othersRate)
	ps.spentSinceUpdate, ps.rateUpdatedAt, ps.lastSpentByOthers = 0, now, spentByOthers
}

// share returns the fraction of the plan's total demand that arrives here.
func (ps *homePlanState) share() float64 {
	if ps.rate+ps.othersRate == 0 {
		return 0.5
	}
	return ps.rate / (ps.rate + ps.othersRate)
}
