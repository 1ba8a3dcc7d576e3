package kcrbudget

import (
	"slices"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the bounds that a wallet puts on its own spending, so that
// the process that runs in its place after a crash can prove how little it may
// have spent since it was last heard of. Invariants: a wallet keeps to each
// bound that may be the newest on the ledger, that is to the last one that it
// has seen there and to all that it sent since; a bound is measured by the
// steady clock of the machine, which runs on when a process dies, and a heir
// on another machine, or after a restart of the machine, proves nothing. Not
// all machines name their runs anew, so the time of day at which the clock was
// zero has to agree as well: where it does not, tokens stay out of use.

// Boot is the steady clock of a machine. Machine names one run of it; Began is
// the time of day at which the clock was zero.
type Boot struct {
	Now     func() kcrclock.Time
	Machine uint64
	Began   kcrclock.Time
}

// same tells whether a bound was made in the same run of the machine.
func (b Boot) same(o Bound) bool {
	apart := b.Began.Sub(o.Began)
	return b.Machine == o.Machine && apart <= beganSlack && apart >= -beganSlack
}

// Bound says how much a holder has drawn at most: Base at the moment Boot, and
// Rate tokens more with each second.
type Bound struct {
	Base    kcrid.Tokens  `json:"base"`
	Rate    kcrid.Tokens  `json:"rate"`
	Boot    kcrclock.Time `json:"boot"`
	Machine uint64        `json:"machine"`
	Began   kcrclock.Time `json:"began"`
}

func boundOf(m *kcrentry.Bound) Bound {
	return Bound{
		Base: kcrid.Tokens(m.GetBase()), Rate: kcrid.Tokens(m.GetRate()), Boot: kcrclock.Time(m.GetBoot()),
		Machine: m.GetMachine(), Began: kcrclock.Time(m.GetBegan()),
	}
}

func (b Bound) entry() *kcrentry.Bound {
	return &kcrentry.Bound{Base: int64(b.Base), Rate: int64(b.Rate), Boot: int64(b.Boot), Machine: b.Machine, Began: int64(b.Began)}
}

// after returns what may be drawn a time after the bound was made.
func (b Bound) after(d kcrclock.Duration) kcrid.Tokens {
	return b.Base + kcrid.Tokens(float64(b.Rate)*d.Seconds())
}

// promise is a bound that a wallet keeps to. At is on the wallet's clock, which
// may be slower than that of the machine but not faster.
type promise struct {
	seq   uint64
	bound Bound
	at    kcrclock.Time
}

// Limits of inheritance.
const (
	// maxHeirTime is how long after a process was last heard of another proves
	// anything about it.
	maxHeirTime = 20 * kcrclock.Second
	// beganSlack is how far two readings of the time of day at which a machine
	// began may be apart; a restart takes longer.
	beganSlack = 50 * kcrclock.Millisecond
)

// cap returns what may be drawn and reserved now.
func (po *pocket) cap(now kcrclock.Time) kcrid.Tokens {
	if len(po.promises) == 0 {
		return 0
	}
	least := po.promises[0].bound.after(now.Sub(po.promises[0].at))
	for _, p := range po.promises[1:] {
		least = min(least, p.bound.after(now.Sub(p.at)))
	}
	return least
}

// promise makes a bound that leaves room for a request that waits.
func (w *Wallet) promise(now kcrclock.Time, p kcrid.Plan, po *pocket, worst kcrid.Tokens) Bound {
	room, rate := w.policy.Bound(w.view(now, p, po, worst))
	return Bound{
		Base: po.exposed(0) + room, Rate: rate, Boot: w.boot.Now(), Machine: w.boot.Machine, Began: w.boot.Began,
	}
}

// keep notes a bound that is on its way to the ledger.
func (po *pocket) keep(now kcrclock.Time, seq uint64, b Bound) {
	po.promises = append(po.promises, promise{seq: seq, bound: b, at: now})
}

// bounded takes in whether the record of a bound changed the ledger.
func (po *pocket) bounded(seq uint64, applied bool) {
	if applied {
		po.kept(seq)
		return
	}
	po.forget(seq)
}

// kept drops the bounds that a newer one on the ledger has replaced.
func (po *pocket) kept(seq uint64) {
	i := 0
	for i < len(po.promises) && po.promises[i].seq < seq {
		i++
	}
	if i < len(po.promises) && po.promises[i].seq == seq {
		po.promises = po.promises[i:]
	}
}

// forget drops a bound whose record changed nothing on the ledger.
func (po *pocket) forget(seq uint64) {
	po.promises = slices.DeleteFunc(po.promises, func(p promise) bool { return p.seq == seq })
}

// inherit closes the grants of earlier processes on this machine at what their
// bounds allow until this process started.
func (w *Wallet) inherit() {
	for name, h := range w.ledger.holders {
		if name == w.self || name.VM() != w.self.VM() || h.Fenced != 0 || len(h.Grants) == 0 {
			continue
		}
		msg := &kcrentry.Inherit{Holder: string(name)}
		for p, g := range h.Grants {
			since := w.startBoot.Sub(g.Bound.Boot)
			if g.Bound.Boot == 0 || !w.rules.Same(w.boot, g.Bound) || since < 0 || since > maxHeirTime {
				continue
			}
			used := max(0, min(g.Amount, g.Bound.after(since)))
			msg.Used = append(msg.Used, &kcrentry.Used{Plan: string(p), Tokens: int64(used)})
		}
		if len(msg.GetUsed()) > 0 {
			w.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Inherit{Inherit: msg}})
		}
	}
}
