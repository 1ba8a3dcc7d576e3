package kcrbudget

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the wallet: a holder that spends its grants itself, for
// routers that have no sidecars behind them. Invariants: what is reserved and
// spent never exceeds the grants that the ledger shows; nobody but the wallet
// can make its grants smaller, so it needs no fresh view of the ledger and
// no lease to spend; what a wallet has not spent when it dies stays out of use, but
// for what its bounds prove (see bound.go).

// Wallet holds the escrow of one router for the plans of one bucket. It is
// safe for concurrent use.
type Wallet struct {
	self    kcrid.Incarnation
	borrows bool
	boot    Boot
	policy  Policy
	rules   WalletRules

	mu        sync.Mutex
	ledger    *Ledger
	outbox    *kcrlog.Outbox
	startBoot kcrclock.Time
	ready     bool
	retired   bool
	markedAt  kcrclock.Time
	pockets   map[kcrid.Plan]*pocket
	heard     map[kcrid.Incarnation]kcrclock.Time
}

// pocket is what the wallet knows of its grant for one plan.
type pocket struct {
	limitSeq uint64 // of the newest limit that was put
	spent    kcrid.Tokens
	reserved kcrid.Tokens
	backing  kcrid.Tokens // given back, not confirmed
	backs    map[uint64]kcrid.Tokens
	lent     kcrid.Tokens // to other holders, for good
	borrowed kcrid.Tokens // from other holders, beside the grant
	marked   kcrid.Tokens
	reported kcrid.Tokens // the most that was ever marked
	promises []promise    // oldest first
	raising  uint64       // sequence of a report that lifts the bound
	claiming uint64       // sequence of the claim in flight
	unmetAt  kcrclock.Time
	unmet    bool
	left     kcrid.Tokens // that the plan still has, as the lender says; -1 before it did
	leftAt   kcrclock.Time
	rate     float64       // tokens a second, smoothed
	ratio    float64       // of what is spent to what was reserved, smoothed
	rateFrom kcrclock.Time // of the first request
	rateAt   kcrclock.Time
	arrived  float64 // expected spending since rateAt
	others   float64 // tokens a second that others spend
	before   kcrid.Tokens
}

// Timing of a wallet.
const (
	// walletMark is the time between reports of spending. What is spent since
	// the last one is out of use when the holder dies.
	walletMark = 200 * kcrclock.Millisecond
	// walletRate is the time constant of the smoothed demand.
	walletRate = 2 * kcrclock.Second
	// rateStep is the time between two updates of the demand.
	rateStep = 250 * kcrclock.Millisecond
	// youngTime is how long demand is watched before its rate counts.
	youngTime = kcrclock.Second
	// claimRequests is how many requests of the size of one that waits a claim
	// covers, since others wait for the next.
	claimRequests = 4
	// unmetTime is how long a claim that got too little is not repeated.
	unmetTime = 150 * kcrclock.Millisecond
	// quietTime is how long a holder may be silent before what it holds is
	// taken to be out of use.
	quietTime = 6 * kcrclock.Second
	// excess is how far above its target a wallet holds on to escrow.
	excess = 1.5
	// ratioWeight is the weight of the newest request in the spent ratio.
	ratioWeight = 0.05
)

// WalletConfig is what a Wallet is made of. A wallet that borrows leaves it to its
// driver where escrow comes from: it claims only by Claim, and by its policy.
type WalletConfig struct {
	Self        kcrid.Incarnation
	Borrows     bool
	Boot        Boot
	Started     kcrclock.Time // of the process, on the clock of Boot; 0 for now
	LedgerRules LedgerRules
	Policy      Policy
	Rules       WalletRules
}

// WalletRules are the decisions of a wallet that a test can take out.
type WalletRules struct {
	// Fits tells whether tokens fit into what is free.
	Fits func(free, tokens kcrid.Tokens) bool
	// Within tells whether what is exposed keeps to the bounds.
	Within func(exposed, bound kcrid.Tokens) bool
	// Same tells whether a bound was made in this run of the machine.
	Same func(b Boot, o Bound) bool
}

// DefaultWalletRules returns the rules that hold in production.
func DefaultWalletRules() WalletRules {
	return WalletRules{
		Fits:   func(free, tokens kcrid.Tokens) bool { return free >= tokens },
		Within: func(exposed, bound kcrid.Tokens) bool { return exposed <= bound },
		Same:   Boot.same,
	}
}

// NewWallet returns a wallet that knows nothing of its bucket. It gives no
// reservation until Ready is called after the stream was applied to its end.
func NewWallet(c WalletConfig) *Wallet {
	if c.Started == 0 {
		c.Started = c.Boot.Now()
	}
	return &Wallet{
		self: c.Self,
		boot: c.Boot,

		borrows: c.Borrows,

		startBoot: c.Started,

		policy:  c.Policy,
		rules:   c.Rules,
		ledger:  NewLedger(c.LedgerRules),
		outbox:  kcrlog.NewOutbox(c.Self),
		pockets: map[kcrid.Plan]*pocket{},
		heard:   map[kcrid.Incarnation]kcrclock.Time{},
	}
}

// Ready tells the wallet that its ledger has reached the end of the stream.
func (w *Wallet) Ready() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ready {
		w.ready = true
		w.inherit()
	}
}

// Unready tells the wallet that its ledger is no longer kept up to date: it gives
// only what it has borrowed until Ready is called again.
func (w *Wallet) Unready() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ready = false
}

// Empty tells whether the wallet holds no grant and has nothing to say.
func (w *Wallet) Empty() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.pockets {
		if w.ledger.Grant(w.self, p).Amount > 0 {
			return false
		}
	}
	return w.outbox.Len() == 0
}

// At returns the offset of the last record applied.
func (w *Wallet) At() kcrid.Offset {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.At()
}

// Snapshot returns the ledger as of At.
func (w *Wallet) Snapshot() (kcrid.Offset, []byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Snapshot()
}

// Restore loads a snapshot of the ledger if it is newer.
func (w *Wallet) Restore(data []byte) (bool, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Restore(data)
}

// Batch returns the records that are not known to be on the stream.
func (w *Wallet) Batch(limit int) ([][]byte, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outbox.Batch(limit)
}

func (w *Wallet) pocket(p kcrid.Plan) *pocket {
	po, ok := w.pockets[p]
	if !ok {
		po = &pocket{backs: map[uint64]kcrid.Tokens{}, ratio: 1, left: -1}
		w.pockets[p] = po
	}
	return po
}

func (w *Wallet) free(p kcrid.Plan, po *pocket) kcrid.Tokens {
	return w.ledger.Grant(w.self, p).Amount + po.borrowed - po.lent - po.backing - po.spent - po.reserved
}

// others returns what holders that were heard of lately may still spend.
func (w *Wallet) others(now kcrclock.Time, p kcrid.Plan) (sum kcrid.Tokens) {
	for name, h := range w.ledger.holders {
		at, ok := w.heard[name]
		if g := h.Grants[p]; g != nil && name != w.self && ok && now.Sub(at) < quietTime {
			sum += g.Amount - g.floor()
		}
	}
	return sum
}

// Carries tells whether this holder is the one that writes snapshots: the first
// by name of those that were heard of lately.
func (w *Wallet) Carries(now kcrclock.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, at := range w.heard {
		if name < w.self && now.Sub(at) < quietTime {
			return false
		}
	}
	return true
}

// Unsent tells whether there are records that are not known to be on the
// stream.
func (w *Wallet) Unsent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outbox.Len() > 0
}

func (w *Wallet) view(now kcrclock.Time, p kcrid.Plan, po *pocket, worst kcrid.Tokens) View {
	a := w.ledger.Account(p)
	share := 0.5
	if po.rate+po.others > 0 {
		share = po.rate / (po.rate + po.others)
	}
	return View{
		Worst: worst, Rate: po.rate, Young: po.young(now), Share: share, Free: w.free(p, po),
		Available: a.Available(), Others: w.others(now, p), Prepaid: a.Prepaid,
	}
}

// Limit asks for what is prepaid, as of a version of the list, to be on the
// ledger.
func (w *Wallet) Limit(p kcrid.Plan, version uint64, tokens kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	po := w.pocket(p)
	a := w.ledger.Account(p)
	if version <= max(a.Version, po.limitSeq) || a.Version > 0 && a.Prepaid == tokens {
		return
	}
	po.limitSeq = version
	w.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Limit{Limit: &kcrentry.Limit{
		Plan: string(p), Version: version, Tokens: int64(tokens),
	}}})
}

// Reserve takes the worst case of a request out of what is free. Pending means
// that escrow is asked for, or for a wallet that borrows is to be borrowed or
// claimed: ask again after the next Apply or Borrow. UsedUp is proved by the
// ledger as the wallet knows it.
func (w *Wallet) Reserve(now kcrclock.Time, p kcrid.Plan, worst kcrid.Tokens) Code {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ready && !w.borrows || w.retired {
		return Unknowable
	}
	po := w.pocket(p)
	po.smooth(now, w.ledger.SpentElsewhere(p, w.self))
	fits := w.rules.Fits(w.free(p, po), worst)
	switch {
	case fits && w.rules.Within(po.exposed(worst), po.cap(now)):
		po.reserved += worst
		po.arrived += po.ratio * float64(worst)
		w.refill(now, p, po, 0)
		return Granted
	case fits:
		w.raise(now, p, po, worst)
		return Pending
	case w.borrows:
		return Pending
	}
	return w.claim(now, p, po, worst)
}

// Claim asks the ledger for what a request lacks. It returns Pending, or why
// nothing can come.
func (w *Wallet) Claim(now kcrclock.Time, p kcrid.Plan, worst kcrid.Tokens) Code {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ready || w.retired {
		return Unknowable
	}
	return w.claim(now, p, w.pocket(p), worst)
}

func (w *Wallet) claim(now kcrclock.Time, p kcrid.Plan, po *pocket, worst kcrid.Tokens) Code {
	a := w.ledger.Account(p)
	if a.Version == 0 {
		return Unknowable
	}
	if a.Available()+w.others(now, p)+w.free(p, po) < worst {
		return UsedUp
	}
	w.refill(now, p, po, worst)
	return Pending
}

// raise lifts the bound of a plan, so that a request that waits fits below it.
func (w *Wallet) raise(now kcrclock.Time, p kcrid.Plan, po *pocket, worst kcrid.Tokens) {
	if po.raising == 0 {
		po.raising = w.mark(now, p, po, 0, worst)
	}
}

// Settle ends a reservation at what was spent of it.
func (w *Wallet) Settle(p kcrid.Plan, worst, used kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	po := w.pocket(p)
	used = max(0, min(used, worst))
	po.reserved -= worst
	po.spent += used
	if used > 0 {
		po.ratio += ratioWeight * (float64(used)/float64(worst) - po.ratio)
	}
}

// refill claims escrow up to the target, unless a claim is in flight or one got
// too little a moment ago.
func (w *Wallet) refill(now kcrclock.Time, p kcrid.Plan, po *pocket, worst kcrid.Tokens) {
	if po.claiming != 0 || w.retired || po.unmet && now.Sub(po.unmetAt) < unmetTime {
		return
	}
	v := w.view(now, p, po, worst)
	target := max(w.policy.Target(v), claimRequests*worst)
	if worst == 0 && float64(v.Free) >= refillBelow*float64(target) {
		return
	}
	want := target - v.Free
	if want <= 0 || v.Available <= 0 && worst == 0 {
		return
	}
	bound := w.promise(now, p, po, worst)
	po.claiming = w.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Claim{Claim: &kcrentry.Claim{
		Plan: string(p), Tokens: int64(want), Bound: bound.entry(),
	}}})
	po.keep(now, po.claiming, bound)
}

// Apply folds one record of the stream.
func (w *Wallet) Apply(now kcrclock.Time, off kcrid.Offset, e *kcrentry.Entry) Effect {
	w.mu.Lock()
	defer w.mu.Unlock()
	eff := w.ledger.Apply(off, e)
	writer := kcrid.Incarnation(e.GetWriter())
	if w.ready { // older records tell nothing about who lives
		w.heard[writer] = now
	}
	if writer == w.self {
		w.confirm(now, eff, e)
		return eff
	}
	switch {
	case eff.Kind == Claimed && eff.Unmet > 0:
		w.spare(now, eff.Plan, eff.Unmet)
	case eff.Kind == Limited:
		if short := -w.ledger.Account(eff.Plan).Available(); short > 0 {
			w.spare(now, eff.Plan, short)
		}
	}
	return eff
}

func (w *Wallet) confirm(now kcrclock.Time, eff Effect, e *kcrentry.Entry) {
	w.outbox.Confirm(e.GetSeq())
	switch {
	case e.GetClaim() != nil:
		po := w.pocket(kcrid.Plan(e.GetClaim().GetPlan()))
		if po.claiming == e.GetSeq() {
			po.claiming = 0
		}
		po.unmet = eff.Unmet > 0
		po.unmetAt = now
		po.bounded(e.GetSeq(), eff.Tokens > 0)
		if w.retired { // it came too late
			w.giveBack(now, kcrid.Plan(e.GetClaim().GetPlan()), po)
		}
	case e.GetMark() != nil:
		po := w.pocket(kcrid.Plan(e.GetMark().GetPlan()))
		po.backing -= po.backs[e.GetSeq()]
		delete(po.backs, e.GetSeq())
		if po.raising == e.GetSeq() {
			po.raising = 0
		}
		po.bounded(e.GetSeq(), eff.Kind == Marked)
	}
}

// spare gives idle escrow to a holder that claimed in vain.
func (w *Wallet) spare(now kcrclock.Time, p kcrid.Plan, unmet kcrid.Tokens) {
	po := w.pocket(p)
	if back := w.policy.Spare(w.view(now, p, po, 0), unmet); back > 0 {
		w.mark(now, p, po, back, 0)
	}
}

// drawn is what is gone of the grant: what others lent was drawn from theirs.
func (po *pocket) drawn() kcrid.Tokens { return max(0, po.spent+po.lent-po.borrowed) }

// exposed is what may be gone of the grant once more tokens are reserved or
// lent.
func (po *pocket) exposed(more kcrid.Tokens) kcrid.Tokens {
	return max(0, po.spent+po.lent+po.reserved+more-po.borrowed)
}

// mark reports the spending of a plan, gives a part of its grant back, and
// renews its bound with room for a request that waits.
func (w *Wallet) mark(now kcrclock.Time, p kcrid.Plan, po *pocket, back, worst kcrid.Tokens) (seq uint64) {
	po.marked = po.drawn()
	po.reported = max(po.reported, po.marked)
	back = max(0, min(back, w.ledger.Grant(w.self, p).Amount-po.backing-po.reported))
	bound := w.promise(now, p, po, worst)
	seq = w.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Mark{Mark: &kcrentry.Mark{
		Plan: string(p), Back: int64(back), Spent: int64(po.marked), Bound: bound.entry(),
	}}})
	po.keep(now, seq, bound)
	if back > 0 {
		po.backing += back
		po.backs[seq] = back
	}
	return seq
}

// Tick does what is due: it refills, gives excess back, and reports spending.
func (w *Wallet) Tick(now kcrclock.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ready || w.retired {
		return
	}
	due := now.Sub(w.markedAt) >= walletMark && w.outbox.Len() == 0
	for p, po := range w.pockets {
		po.smooth(now, w.ledger.SpentElsewhere(p, w.self))
		w.refill(now, p, po, 0)
		if !due {
			continue
		}
		free := w.free(p, po)
		keep := kcrid.Tokens(excess * float64(w.policy.Target(w.view(now, p, po, 0))))
		switch {
		case free > keep && po.claiming == 0 && w.ledger.Grant(w.self, p).Amount-po.backing > po.reported:
			w.mark(now, p, po, free-keep, 0)
		case po.drawn() != po.marked:
			w.mark(now, p, po, 0, 0)
		}
	}
	if due {
		w.markedAt = now
	}
}

// Retire gives back what is not reserved; the wallet gives no reservation any
// more. Tokens of reservations that end later come back with the next Retire.
func (w *Wallet) Retire(now kcrclock.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.retired = true
	for p, po := range w.pockets {
		w.giveBack(now, p, po)
	}
}

// giveBack gives back what is not reserved.
func (w *Wallet) giveBack(now kcrclock.Time, p kcrid.Plan, po *pocket) {
	if free := w.free(p, po); free > 0 {
		w.mark(now, p, po, free, 0)
	}
}

// Holding is the state of one plan at a wallet, for logs and metrics.
type Holding struct {
	Plan      kcrid.Plan
	Free      kcrid.Tokens
	Reserved  kcrid.Tokens
	Spent     kcrid.Tokens
	Available kcrid.Tokens
	Prepaid   kcrid.Tokens
}

// Holding returns the state of one plan.
func (w *Wallet) Holding(p kcrid.Plan) Holding {
	w.mu.Lock()
	defer w.mu.Unlock()
	a := w.ledger.Account(p)
	po := w.pocket(p)
	return Holding{Plan: p, Free: w.free(p, po), Reserved: po.reserved, Spent: po.spent, Available: a.Available(), Prepaid: a.Prepaid}
}

// young tells whether demand was watched for too short a time.
func (po *pocket) young(now kcrclock.Time) bool {
	return po.rateFrom == 0 || now.Sub(po.rateFrom) < youngTime
}

// smooth updates the demand rates. A young rate is a plain average.
func (po *pocket) smooth(now kcrclock.Time, elsewhere kcrid.Tokens) {
	if po.rateAt == 0 || po.rateFrom == 0 && po.arrived == 0 {
		po.rateAt, po.before = max(now, 1), elsewhere
		return
	}
	if po.rateFrom == 0 {
		po.rateFrom = po.rateAt
	}
	step := now.Sub(po.rateAt)
	if step < rateStep {
		return
	}
	weight := max(1-math.Exp(-step.Seconds()/walletRate.Seconds()), step.Seconds()/now.Sub(po.rateFrom).Seconds())
	po.rate += weight * (po.arrived/step.Seconds() - po.rate)
	po.others += weight * (float64(max(0, elsewhere-po.before))/step.Seconds() - po.others)
	po.rateAt, po.arrived, po.before = now, 0, elsewhere
}

// Fingerprint hashes all that decides what the wallet will do: wallets with equal
// ones behave alike. It is for checkers that explore schedules.
func (w *Wallet) Fingerprint() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	// A hash takes everything, so no write to it fails.
	h := xxhash.New()
	_, state, err := w.ledger.Snapshot()
	_, _ = h.Write(state)
	_, _ = fmt.Fprint(h, err, w.ready, w.retired, w.markedAt, w.heard)
	records, last := w.outbox.Batch(math.MaxInt)
	for _, r := range records {
		_, _ = h.Write(r)
	}
	_, _ = fmt.Fprint(h, last)
	for _, p := range slices.Sorted(maps.Keys(w.pockets)) {
		_, _ = fmt.Fprintf(h, "%s %+v", p, *w.pockets[p])
	}
	return h.Sum64()
}
