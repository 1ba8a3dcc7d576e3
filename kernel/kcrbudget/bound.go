package kcrbudget

import (
	"slices"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines spending bounds. A wallet limits its own spending and
// reports the limit to the ledger. After a crash, the next process on the same
// machine uses the last bound to prove how little the wallet may have spent.
// Invariants: a wallet keeps to every bound that may be the newest on the
// ledger: the one that the ledger shows, and each one that it has sent and that the ledger
// has not applied. A bound is measured by the monotonic clock of the machine, which keeps
// running when a process dies. A successor on another machine, or after a
// restart of the machine, proves nothing. Not every machine has a new boot id
// after a restart, so the wall time at which the clock was zero must match as
// well; where it does not, the tokens stay unavailable.

// BootClock is the monotonic clock of a machine. BootID identifies one boot of the
// machine; BootedAt is the wall time at which the clock was zero.
type BootClock struct {
	Now      func() kcrclock.Time
	BootID   uint64
	BootedAt kcrclock.Time
}

// sameBoot reports whether a bound was made during the same boot of the machine.
func (b BootClock) sameBoot(bound Bound) bool {
	difference := b.BootedAt.Sub(bound.BootedAt)
	return b.BootID == bound.BootID && difference <= maxBootedAtDifference && difference >= -maxBootedAtDifference
}

// Bound limits the tokens that a holder has drawn from its grant: at most Base until
// Delay after MadeAt on the machine's clock, and Rate more per second from then on.
// BootID and BootedAt identify the boot of the machine, as in BootClock.
type Bound struct {
	Base     kcrid.Tokens      `json:"base"`
	Rate     kcrid.Tokens      `json:"rate"`
	Delay    kcrclock.Duration `json:"delay,omitempty"`
	MadeAt   kcrclock.Time     `json:"boot"`
	BootID   uint64            `json:"machine"`
	BootedAt kcrclock.Time     `json:"began"`
}

// boundFromEntry decodes a bound from its log entry.
func boundFromEntry(m *kcrentry.Bound) Bound {
	return Bound{
		Base: kcrid.Tokens(m.GetBase()), Rate: kcrid.Tokens(m.GetRate()), Delay: kcrclock.Duration(m.GetDelay()), MadeAt: kcrclock.Time(m.GetBoot()),
		BootID: m.GetMachine(), BootedAt: kcrclock.Time(m.GetBegan()),
	}
}

// toEntry encodes a bound for the log.
func (b Bound) toEntry() *kcrentry.Bound {
	return &kcrentry.Bound{
		Base: int64(b.Base), Rate: int64(b.Rate), Delay: int64(b.Delay), Boot: int64(b.MadeAt), Machine: b.BootID, Began: int64(b.BootedAt),
	}
}

// AllowedAfter returns the tokens that may be drawn when d has passed since the
// bound was made.
func (b Bound) AllowedAfter(d kcrclock.Duration) kcrid.Tokens {
	return b.Base + kcrid.Tokens(float64(b.Rate)*max(0, d-max(0, b.Delay)).Seconds())
}

// sentBound is a bound that a wallet has sent to the ledger and keeps to. seq is
// the sequence number of its record. at is the time on the wallet's clock, which
// may run slower than the machine's clock but not faster.
type sentBound struct {
	seq   uint64
	bound Bound
	at    kcrclock.Time
}

// Limits of inheritance.
const (
	// maxInheritAge is the maximum age of a bound that a successor uses as proof.
	maxInheritAge = 20 * kcrclock.Second
	// maxBootedAtDifference is the maximum difference between two readings of the
	// wall time at which one machine booted; a restart takes longer.
	maxBootedAtDifference = 50 * kcrclock.Millisecond
)

// allowance returns the tokens that may be drawn and reserved now: the minimum
// of all bounds that may be in force.
func (w *Wallet) allowance(now kcrclock.Time, ps *walletPlanState) kcrid.Tokens {
	if len(ps.sentBounds) == 0 {
		return 0
	}
	least := w.rules.AllowedAfter(ps.sentBounds[0].bound, now.Sub(ps.sentBounds[0].at))
	for _, sent := range ps.sentBounds[1:] {
		least = min(least, w.rules.AllowedAfter(sent.bound, now.Sub(sent.at)))
	}
	return least
}

// newBound makes a bound that leaves room for a waiting request of size worstCase, and for
// all loans that wait.
func (w *Wallet) newBound(now kcrclock.Time, p kcrid.Plan, ps *walletPlanState, worstCase kcrid.Tokens) Bound {
	terms := w.policy.Bound(w.view(now, p, ps, max(worstCase, ps.waiting)))
	return Bound{
		Base: ps.maxDrawn(0) + terms.Room, Rate: terms.Rate, Delay: terms.Delay, MadeAt: w.bootClock.Now(), BootID: w.bootClock.BootID, BootedAt: w.bootClock.BootedAt,
	}
}

// addSentBound records a bound that is being sent to the ledger.
func (ps *walletPlanState) addSentBound(now kcrclock.Time, seq uint64, b Bound) {
	ps.sentBounds = append(ps.sentBounds, sentBound{seq: seq, bound: b, at: now})
}

// dropDecidedBounds drops the bounds of the records up to applied, which the ledger has applied,
// except the one that it shows.
func (w *Wallet) dropDecidedBounds(ps *walletPlanState, applied, shown uint64) {
	ps.sentBounds = slices.DeleteFunc(ps.sentBounds, func(sent sentBound) bool {
		return sent.seq <= applied && !w.rules.ShowsBound(sent.seq, shown)
	})
}

// inheritGrants closes the grants of earlier processes on this machine. Each
// grant is settled at the most that its bound allowed until this process started.
func (w *Wallet) inheritGrants() {
	for _, name := range sortedKeys(w.ledger.holders) {
		h := w.ledger.holders[name]
		if name == w.self || name.VM() != w.self.VM() || h.Fenced != 0 || len(h.Grants) == 0 {
			continue
		}
		msg := &kcrentry.Inherit{Holder: string(name)}
		for _, p := range sortedKeys(h.Grants) {
			g := h.Grants[p]
			since := w.startedAt.Sub(g.Bound.MadeAt)
			if g.Bound.MadeAt == 0 || !w.rules.SameBoot(w.bootClock, g.Bound) || since < 0 || since > maxInheritAge {
				continue
			}
			used := max(0, min(g.Amount, g.Bound.AllowedAfter(since)))
			msg.Used = append(msg.Used, &kcrentry.Used{Plan: string(p), Tokens: int64(used)})
		}
		if len(msg.GetUsed()) > 0 {
			w.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Inherit{Inherit: msg}})
		}
	}
}
