package kcrbudget

import (
	"math"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines what a home does with its grant for one plan: it claims
// ahead of demand, reports spending, and gives back what others need more.

// purse is what the home knows of its grant for one plan.
type purse struct {
	spent     kcrid.Tokens
	reserved  kcrid.Tokens
	backing   kcrid.Tokens // given back, not confirmed
	marked    kcrid.Tokens
	claiming  uint64 // sequence of the claim in flight
	deniedAt  kcrclock.Time
	denied    bool
	rate      float64 // tokens a second spent here
	others    float64 // tokens a second spent under other holders
	rateFrom  kcrclock.Time
	rateAt    kcrclock.Time
	sinceRate kcrid.Tokens
	elsewhere kcrid.Tokens // spent under other holders at rateAt
	usedAt    kcrclock.Time
	worst     kcrid.Tokens
	backs     map[uint64]kcrid.Tokens
	credits   map[string]bool // put, not confirmed
}

func (h *Home) purse(p kcrid.Plan) *purse {
	pu, ok := h.purses[p]
	if !ok {
		pu = &purse{backs: map[uint64]kcrid.Tokens{}, credits: map[string]bool{}}
		h.purses[p] = pu
	}
	return pu
}

func (h *Home) free(p kcrid.Plan) kcrid.Tokens {
	pu := h.purse(p)
	return h.ledger.Grant(h.self, p).Amount - pu.backing - pu.spent - pu.reserved
}

func (h *Home) view(p kcrid.Plan, worst kcrid.Tokens) View {
	a := h.ledger.Account(p)
	pu := h.purse(p)
	return View{
		Worst: worst, Rate: pu.rate, Share: pu.share(), Free: h.free(p),
		Available: a.Available(), Others: h.ledger.Unspent(p, h.self), Prepaid: a.Prepaid,
	}
}

// Credit asks for a top-up of the lists to be on the ledger.
func (h *Home) Credit(p kcrid.Plan, name string, tokens kcrid.Tokens) {
	h.mu.Lock()
	defer h.mu.Unlock()
	pu := h.purse(p)
	if _, ok := h.ledger.Account(p).Credits[name]; ok || pu.credits[name] || !h.ready {
		return
	}
	pu.credits[name] = true
	h.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Credit{Credit: &kcrentry.Credit{
		Plan: string(p), Name: name, Tokens: int64(tokens),
	}}})
}

// claim asks the ledger for escrow, unless a claim is in flight or was
// refused a moment ago.
func (h *Home) claim(now kcrclock.Time, p kcrid.Plan, worst kcrid.Tokens) {
	pu := h.purse(p)
	v := h.view(p, worst)
	if pu.claiming != 0 || v.Prepaid == 0 {
		return
	}
	if pu.denied && v.Available == 0 && now.Sub(pu.deniedAt) < deniedTime {
		return
	}
	want := max(h.policy.Target(v), worst) - v.Free
	if want <= 0 {
		return
	}
	pu.deniedAt = now
	pu.claiming = h.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Claim{Claim: &kcrentry.Claim{
		Plan: string(p), Tokens: int64(want),
	}}})
}

// confirm takes in the effect of an own record.
func (h *Home) confirm(now kcrclock.Time, eff Effect, e *kcrentry.Entry) {
	if c := e.GetClose(); c != nil {
		delete(h.servers, kcrid.Incarnation(c.GetServer()))
	}
	switch eff.Kind {
	case Claimed:
		pu := h.purse(eff.Plan)
		pu.claiming = 0
		pu.denied = eff.Tokens == 0
		pu.deniedAt = now
	case Marked:
		pu := h.purse(eff.Plan)
		pu.backing -= pu.backs[e.GetSeq()]
		delete(pu.backs, e.GetSeq())
	case Ignored:
		if c := e.GetClaim(); c != nil {
			h.purse(kcrid.Plan(c.GetPlan())).claiming = 0
		}
	}
}

// spare gives idle escrow to a holder that claimed in vain.
func (h *Home) spare(eff Effect) {
	back := h.policy.Spare(h.view(eff.Plan, 0), eff.Unmet)
	if back > 0 {
		h.giveBack(eff.Plan, back)
	}
}

func (h *Home) giveBack(p kcrid.Plan, back kcrid.Tokens) {
	pu := h.purse(p)
	pu.backing += back
	pu.marked = pu.spent
	seq := h.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Mark{Mark: &kcrentry.Mark{
		Plan: string(p), Back: int64(back), Spent: int64(pu.spent),
	}}})
	if back > 0 {
		pu.backs[seq] = back
	}
}

// tickPurse does what is due for one plan. Spending is reported for all plans
// at once, so that it takes one append.
func (h *Home) tickPurse(now kcrclock.Time, p kcrid.Plan, pu *purse, mark bool) {
	pu.smooth(now, h.ledger.SpentElsewhere(p, h.self))
	amount := h.ledger.Grant(h.self, p).Amount
	if amount == 0 {
		return
	}
	free := h.free(p)
	idle := now.Sub(pu.usedAt) > idleTime
	target := h.policy.Target(h.view(p, pu.worst))
	switch {
	case idle && free > 0 && h.policy.Spare(h.view(p, 0), math.MaxInt64) > 0:
		h.giveBack(p, free)
	case !idle && float64(free) < refillBelow*float64(target):
		h.claim(now, p, pu.worst)
	case mark && pu.spent != pu.marked:
		h.giveBack(p, 0)
	}
}

// smooth updates the demand rates. A young rate is a plain average.
func (pu *purse) smooth(now kcrclock.Time, elsewhere kcrid.Tokens) {
	dt := now.Sub(pu.rateAt).Seconds()
	if dt < 1 {
		return
	}
	if pu.rateAt == 0 {
		pu.rateFrom, pu.rateAt, pu.sinceRate, pu.elsewhere = now, now, 0, elsewhere
		return
	}
	w := max(1-math.Exp(-dt/rateWindow.Seconds()), dt/now.Sub(pu.rateFrom).Seconds())
	pu.rate += w * (float64(pu.sinceRate)/dt - pu.rate)
	pu.others += w * (float64(max(0, elsewhere-pu.elsewhere))/dt - pu.others)
	pu.sinceRate, pu.rateAt, pu.elsewhere = 0, now, elsewhere
}

// share is the part of the demand that comes here.
func (pu *purse) share() float64 {
	if pu.rate+pu.others == 0 {
		return 0.5
	}
	return pu.rate / (pu.rate + pu.others)
}
