package kcrbudget

import (
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines how budgets survive a log that comes back from an older copy. The claims
// and reports since that copy are gone, while holders have spent what they were granted. In
// the new era each holder restates its own grants, and each process that has read the lost
// records, or has heard from a lender, tells how many tokens were used (carries). Invariants:
// no holder claims, lends or reserves grants in an era before the ledger shows that era and
// the holder's own restatements; the used tokens of a plan are at least those that anyone has
// carried, plus what was claimed since. What no living process knows of is lost.

// carryGrace is how long a holder that knows nothing of the time before an era waits for those
// who do, before it claims tokens: borrowers ask at least every maxUnspentAge.
const carryGrace = maxUnspentAge + 100*kcrclock.Millisecond

// unattributed returns the tokens that were used before the era, as carried, in excess of
// those that the ledger shows.
func (a Account) unattributed() kcrid.Tokens {
	if a.Carried == 0 {
		return 0
	}
	return max(0, a.Carried-a.Base-a.Restated)
}

// beginEra records that the log has lost records, unless this is the first era of the stream.
// The bounds of holders prove nothing any more, since newer ones may be lost.
func (l *Ledger) beginEra(number uint64) Effect {
	if number <= l.era {
		return Effect{}
	}
	l.restored = l.restored || l.era > 0
	l.era = number
	for _, a := range l.accounts {
		a.Settled += a.unattributed()
		a.Base, a.Carried, a.Restated = a.Granted+a.Settled, 0, 0
	}
	for _, h := range l.holders {
		for _, g := range h.Grants {
			g.Bound, g.BoundSeq = Bound{}, 0
		}
	}
	return Effect{Kind: EraBegun}
}

// restate sets the grant of the writer.
func (l *Ledger) restate(writer kcrid.Incarnation, seq uint64, r *kcrentry.Restate) Effect {
	h := l.holder(writer)
	if r.GetEra() != l.era || r.GetAmount() < 0 || l.rules.IsFenced(h.Fenced) {
		return Effect{}
	}
	plan := kcrid.Plan(r.GetPlan())
	g := h.Grants[plan]
	if g == nil {
		g = &Grant{}
		if r.GetAmount() > 0 {
			h.Grants[plan] = g
		}
	}
	a, change := l.account(plan), kcrid.Tokens(r.GetAmount())-g.Amount
	a.Granted += change
	a.Restated += change
	g.Amount += change
	g.Spent = min(g.Amount, max(g.Spent, kcrid.Tokens(r.GetSpent())))
	g.Bound, g.BoundSeq = boundFromEntry(r.GetBound()), seq
	return Effect{Kind: Restated, Plan: plan, Holder: writer, Tokens: change}
}

// carry records how many tokens were used before the era.
func (l *Ledger) carry(c *kcrentry.Carry) Effect {
	plan, used := kcrid.Plan(c.GetPlan()), kcrid.Tokens(c.GetUsed())
	a := l.account(plan)
	if c.GetEra() != l.era || used <= a.Carried {
		return Effect{}
	}
	a.Carried = used
	return Effect{Kind: Carried, Plan: plan, Tokens: used}
}

// BeginEra tells the wallet in which era the log is that it reads. If the ledger is of another
// era, the wallet forgets it, queues what it knows of that time for the log, and reports true:
// the stream has to be read from its start. MarkReady has no effect until that is confirmed.
func (w *Wallet) BeginEra(now kcrclock.Time, era uint64) (forgotten bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	previous := w.era
	if w.era = era; previous == era {
		return false
	}
	if previous == 0 {
		w.waitUntil = now.Add(carryGrace)
		return false
	}
	knows := w.atEnd
	old := w.ledger
	w.ready, w.atEnd, w.ledger = false, false, NewLedger(old.rules)
	w.outbox.Clear()
	w.confirms = confirmTimer{} // the records under way are lost, and an outage says nothing of the next era
	w.queuedEra = era
	w.restateSeq = w.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Era{Era: &kcrentry.Era{Number: era}}})
	if knows {
		w.waitUntil = 0
		w.applyQueued(old, previous)
		for _, p := range old.Plans() {
			ps := w.planState(p)
			ps.previousUsed = max(ps.previousUsed, old.Account(p).Used())
		}
	}
	for _, p := range sortedKeys(w.planStates) {
		w.restatePlan(now, p, w.planStates[p], old)
	}
	return true
}

// applyQueued applies to a ledger what the wallet has queued for its era and the ledger does not
// show.
func (w *Wallet) applyQueued(old *Ledger, era uint64) {
	old.beginEra(era)
	for _, p := range sortedKeys(w.planStates) {
		ps := w.planStates[p]
		if ps.restating {
			old.restate(w.self, 0, &kcrentry.Restate{Era: era, Plan: string(p), Amount: int64(ps.previousGrant), Spent: int64(ps.drawn())})
		}
		if ps.previousUsed > 0 {
			old.carry(&kcrentry.Carry{Era: era, Plan: string(p), Used: int64(ps.previousUsed)})
		}
	}
}

// restatePlan queues what the wallet knows of a plan from an earlier era. Returns that were
// not confirmed count as made, since others may have claimed their tokens.
func (w *Wallet) restatePlan(now kcrclock.Time, p kcrid.Plan, ps *walletPlanState, old *Ledger) {
	if !ps.restating {
		ps.previousGrant = old.Grant(w.self, p).Amount - ps.returning
	}
	ps.sentLimitVersion, ps.claimSeq, ps.raiseSeq, ps.returning, ps.carrySeq, ps.unmet = 0, 0, 0, 0, 0, false
	clear(ps.returnsBySeq)
	if ps.hasClaimed {
		ps.restating = true
		bound := w.newBound(now, p, ps, 0)
		w.restateSeq = w.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Restate{Restate: &kcrentry.Restate{
			Era: w.era, Plan: string(p), Amount: int64(ps.previousGrant), Spent: int64(ps.drawn()), Bound: bound.toEntry(),
		}}})
		ps.addSentBound(now, w.restateSeq, bound)
	}
	if ps.previousUsed > 0 {
		w.restateSeq = w.carry(p, ps.previousUsed)
	}
}

// carry queues how many tokens of a plan were used before the era.
func (w *Wallet) carry(p kcrid.Plan, used kcrid.Tokens) (seq uint64) {
	return w.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Carry{Carry: &kcrentry.Carry{Era: w.era, Plan: string(p), Used: int64(used)}}})
}

// showsEra reports whether the ledger shows the era of the log and all that this wallet has
// restated. It queues the record of the era if it is missing.
func (w *Wallet) showsEra() bool {
	if w.ledger.era < w.era && w.queuedEra != w.era {
		w.queuedEra = w.era
		w.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Era{Era: &kcrentry.Era{Number: w.era}}})
	}
	return w.ledger.era >= w.era && w.restateSeq == 0
}

// confirmRestated handles that the ledger shows the wallet's records up to applied.
func (w *Wallet) confirmRestated(applied uint64) {
	if w.restateSeq == 0 || applied < w.restateSeq {
		return
	}
	w.restateSeq = 0
	for _, ps := range w.planStates {
		ps.restating, ps.previousUsed = false, 0
	}
}

// NoteUsed records how many tokens of a plan a lender counted as used in an era of the log.
// The next loan in a later era waits until the ledger accounts for them.
func (w *Wallet) NoteUsed(p kcrid.Plan, era uint64, used kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ps := w.planState(p)
	if era > ps.notedEra {
		ps.notedEra, ps.notedUsed = era, 0
	}
	if era == ps.notedEra {
		ps.notedUsed = max(ps.notedUsed, used)
	}
}

// NotedUsed returns the greatest number of used tokens of the latest era of NoteUsed.
func (w *Wallet) NotedUsed(p kcrid.Plan) (era uint64, used kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ps := w.planState(p)
	return ps.notedEra, ps.notedUsed
}

// mustCarry reports whether tokens that were noted in an earlier era are missing on the
// ledger, and queues them.
func (w *Wallet) mustCarry(p kcrid.Plan, ps *walletPlanState) bool {
	a := w.ledger.Account(p)
	if ps.notedEra >= w.ledger.era || ps.notedUsed <= max(a.Carried, a.Base) {
		return false
	}
	if ps.carrySeq == 0 {
		ps.carrySeq = w.carry(p, ps.notedUsed)
	}
	return true
}

// waitsForCarries reports whether others may still tell what was used before the era.
func (w *Wallet) waitsForCarries(now kcrclock.Time) bool {
	return w.ledger.restored && now < w.waitUntil
}
