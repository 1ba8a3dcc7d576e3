package kcrbudget

import (
	"fmt"
	"math"
	"sync"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the wallet: a holder that spends its grants itself, for
// routers that have no sidecars behind them. Invariants: reserved and spent
// tokens never exceed the grants on the ledger. Only the wallet itself can reduce
// its grants, so it needs neither an up-to-date ledger nor a lease to spend. What
// a wallet has not spent when it dies stays unavailable, except for what its
// bounds prove to be unspent (see bound.go).

// Wallet holds the escrow of one process for the plans of one bucket. The process is
// a router that spends the escrow, or a home that lends it. It is safe for concurrent use.
type Wallet struct {
	self      kcrid.Incarnation
	borrower  bool // borrows from other wallets before it claims
	bootClock BootClock
	policy    Policy
	rules     WalletRules

	mu           sync.Mutex
	ledger       *Ledger
	outbox       *kcrlog.Outbox
	startedAt    kcrclock.Time // start of the process, on the machine's clock
	atEnd        bool          // the ledger has reached the end of the stream
	ready        bool          // atEnd, and the ledger shows the era of the log
	retired      bool          // Retire was called: no more reservations
	reportedAt   kcrclock.Time // when Tick last reported the spending
	confirms     confirmTimer
	planStates   map[kcrid.Plan]*walletPlanState
	lastRecordAt map[kcrid.Incarnation]kcrclock.Time // time of the newest record of each writer

	era        uint64        // of the log, 0 before its first page and for a log without eras
	queuedEra  uint64        // newest era of which a record was queued
	restateSeq uint64        // sequence number of the last restatement, 0 once it is confirmed
	waitUntil  kcrclock.Time // until then others may restate; see waitsForCarries
}

// walletPlanState is the state of a wallet's grant for one plan. Fingerprint hashes
// it by its field names.
type walletPlanState struct {
	sentLimitVersion  uint64                  // version of the newest limit sent to the ledger
	spent             kcrid.Tokens            // settled by Settle, in total
	reserved          kcrid.Tokens            // by requests that have not ended
	returning         kcrid.Tokens            // being returned to the ledger, not confirmed yet
	returnsBySeq      map[uint64]kcrid.Tokens // parts of returning, by sequence number of the report
	lent              kcrid.Tokens            // to other holders or returned to a lender, in total
	borrowed          kcrid.Tokens            // from other holders, in addition to the grant
	lastReported      kcrid.Tokens            // drawn tokens in the newest report
	maxReported       kcrid.Tokens            // maximum of lastReported over all reports
	sentBounds        []sentBound             // bounds that may be in force, oldest first
	waiting           kcrid.Tokens            // needed by the loans that wait for escrow
	unserved          kcrid.Tokens            // needed by the requests that wait for a loan
	raiseSeq          uint64                  // sequence number of the report that raises the bound, 0 if none is in flight
	claimSeq          uint64                  // sequence number of the claim in flight, 0 if none
	unmetAt           kcrclock.Time           // when the result of the newest claim was read
	unmet             bool                    // the newest claim was not granted in full
	unspent           kcrid.Tokens            // unspent tokens of the plan as reported by the lender, -1 if unknown
	unspentAt         kcrclock.Time           // when unspent was set
	rate              float64                 // tokens spent here per second, smoothed
	ratio             float64                 // spent tokens per reserved token, smoothed
	rateSince         kcrclock.Time           // start of the rate measurement, 0 before the first request
	rateUpdatedAt     kcrclock.Time           // last update of the rates
	expectedSpending  float64                 // spending expected from the reservations since rateUpdatedAt
	othersRate        float64                 // tokens spent by other holders per second, smoothed
	lastSpentByOthers kcrid.Tokens            // tokens spent by other holders until rateUpdatedAt
	hasClaimed        bool                    // a claim was queued
	restating         bool                    // previousGrant is not confirmed on the ledger
	previousGrant     kcrid.Tokens            // grant before the era of the log
	previousUsed      kcrid.Tokens            // used tokens before the era, while they are not confirmed
	notedEra          uint64                  // latest era of NoteUsed
	notedUsed         kcrid.Tokens            // greatest number of that era
	carrySeq          uint64                  // sequence number of the record that carries notedUsed, 0 if none is in flight
}

// Timing of a wallet.
const (
	// walletReportInterval is the time between reports of spending. What was spent
	// since the last report stays unavailable when the holder dies.
	walletReportInterval = 200 * kcrclock.Millisecond
	// holdersPerReport is the number of live holders for which a report interval is
	// walletReportInterval long. With more holders it is longer in proportion.
	holdersPerReport = 8
	// boundLifetime is how long a bound stands although nothing is drawn.
	boundLifetime = 800 * kcrclock.Millisecond
	// walletRateWindow is the time constant for smoothing the demand rate.
	walletRateWindow = 2 * kcrclock.Second
	// rateUpdateInterval is the minimum time between two updates of the rates.
	rateUpdateInterval = 250 * kcrclock.Millisecond
	// minRateObservation is how long demand is observed before its rate is used.
	minRateObservation = kcrclock.Second
	// unmetClaimRetry is the delay before a claim that was not met is repeated.
	unmetClaimRetry = 150 * kcrclock.Millisecond
	// holderTimeout is how long a holder may be silent before its grant no longer
	// counts as spendable.
	holderTimeout = 6 * kcrclock.Second
	// excessFactor is the multiple of the target above which escrow is returned.
	excessFactor = 1.5
	// ratioWeight is the weight of the newest request in the smoothed ratio of
	// spent to reserved tokens.
	ratioWeight = 0.05
)

// WalletConfig configures a Wallet. With Borrower set, Reserve makes no claim for a
// request that does not fit: the caller borrows or calls Claim. The wallet then
// claims by itself only up to the target of its policy.
type WalletConfig struct {
	Self         kcrid.Incarnation
	Borrower     bool
	BootClock    BootClock
	ProcessStart kcrclock.Time // start of the process on BootClock, 0 for now
	LedgerRules  LedgerRules
	Policy       Policy
	Rules        WalletRules
}

// WalletRules are the safety checks of a Wallet. Tests replace them one by one to
// show that each is needed.
type WalletRules struct {
	// Fits reports whether the free tokens cover a request.
	Fits func(free, tokens kcrid.Tokens) bool
	// WithinBounds reports whether the tokens that may be drawn keep to the bounds.
	WithinBounds func(maxDrawn, bound kcrid.Tokens) bool
	// AllowedAfter returns the tokens that may be drawn when a time has passed since a
	// bound was made.
	AllowedAfter func(Bound, kcrclock.Duration) kcrid.Tokens
	// SameBoot reports whether a bound was made during this boot of the machine.
	SameBoot func(b BootClock, bound Bound) bool
	// ShowsBound reports whether the bound of the record with sequence sent is the one that the
	// ledger shows, of the record with sequence shown.
	ShowsBound func(sent, shown uint64) bool
}

// DefaultWalletRules returns the production rules.
func DefaultWalletRules() WalletRules {
	return WalletRules{
		Fits:         func(free, tokens kcrid.Tokens) bool { return free >= tokens },
		WithinBounds: func(maxDrawn, bound kcrid.Tokens) bool { return maxDrawn <= bound },
		AllowedAfter: Bound.AllowedAfter,
		SameBoot:     BootClock.sameBoot,
		ShowsBound:   func(sent, shown uint64) bool { return sent == shown },
	}
}

// NewWallet returns a wallet with an empty ledger. MarkReady must be called after the
// stream was applied to its end. Until then a wallet that borrows reserves only
// borrowed tokens, and any other wallet reserves nothing.
func NewWallet(c WalletConfig) *Wallet {
	if c.ProcessStart == 0 {
		c.ProcessStart = c.BootClock.Now()
	}
	return &Wallet{
		self:         c.Self,
		bootClock:    c.BootClock,
		borrower:     c.Borrower,
		startedAt:    c.ProcessStart,
		policy:       c.Policy,
		rules:        c.Rules,
		ledger:       NewLedger(c.LedgerRules),
		outbox:       kcrlog.NewOutbox(c.Self),
		planStates:   map[kcrid.Plan]*walletPlanState{},
		lastRecordAt: map[kcrid.Incarnation]kcrclock.Time{},
	}
}

// MarkReady tells the wallet that its ledger has reached the end of the stream. It has no
// effect while the ledger doesn't show the era of the log.
func (w *Wallet) MarkReady() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.atEnd = true
	if !w.ready && w.showsEra() {
		w.ready = true
		w.inheritGrants()
	}
}

// MarkNotReady tells the wallet that its ledger is no longer up to date. Until the next
// call of MarkReady a borrowing wallet spends what it holds and has borrowed, and
// lends nothing; other wallets make no reservations.
func (w *Wallet) MarkNotReady() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ready, w.atEnd = false, false
}

// HoldsNothing reports whether the wallet holds no grant and has no record to send.
func (w *Wallet) HoldsNothing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for p := range w.planStates {
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

// Snapshot encodes the ledger at offset At.
func (w *Wallet) Snapshot() (kcrid.Offset, []byte, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Snapshot()
}

// Restore loads a snapshot of the ledger if it is newer. It stands for the records that it covers,
// also for those of this wallet.
func (w *Wallet) Restore(now kcrclock.Time, data []byte) (newer bool, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if newer, err = w.ledger.Restore(data); newer {
		w.confirmApplied(now)
	}
	return newer, err
}

// Batch returns the records that are not confirmed to be on the stream; see
// kcrlog.Outbox.
func (w *Wallet) Batch(limit int) ([][]byte, uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outbox.Batch(limit)
}

// planState returns the state of a plan and creates it if needed.
func (w *Wallet) planState(p kcrid.Plan) *walletPlanState {
	ps, ok := w.planStates[p]
	if !ok {
		ps = &walletPlanState{returnsBySeq: map[uint64]kcrid.Tokens{}, ratio: 1, unspent: -1}
		w.planStates[p] = ps
	}
	return ps
}

// free returns the tokens that are granted or borrowed and not in use. It can be
// negative.
func (w *Wallet) free(p kcrid.Plan, ps *walletPlanState) kcrid.Tokens {
	return w.ledger.Grant(w.self, p).Amount + ps.borrowed - ps.lent - ps.returning - ps.spent - ps.reserved
}

// unspentByLiveHolders returns what the other holders whose records were read within
// holderTimeout may still spend.
func (w *Wallet) unspentByLiveHolders(now kcrclock.Time, p kcrid.Plan) (sum kcrid.Tokens) {
	for name, h := range w.ledger.holders {
		at, ok := w.lastRecordAt[name]
		if g := h.Grants[p]; g != nil && name != w.self && ok && now.Sub(at) < holderTimeout {
			sum += g.Amount - g.knownSpent()
		}
	}
	return sum
}

// IsSnapshotWriter reports whether this holder is the one that writes snapshots: the first
// by name among the holders whose records were read within holderTimeout.
func (w *Wallet) IsSnapshotWriter(now kcrclock.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, at := range w.lastRecordAt {
		if name < w.self && now.Sub(at) < holderTimeout {
			return false
		}
	}
	return true
}

// HasUnconfirmed reports whether there are records that are not confirmed to be on the
// stream.
func (w *Wallet) HasUnconfirmed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.outbox.Len() > 0
}

// view returns the input of the policy. worstCase is the size of the waiting
// request, 0 if none is.
func (w *Wallet) view(now kcrclock.Time, p kcrid.Plan, ps *walletPlanState, worstCase kcrid.Tokens) PlanView {
	a := w.ledger.Account(p)
	share := 0.5
	if ps.rate+ps.othersRate > 0 {
		share = ps.rate / (ps.rate + ps.othersRate)
	}
	return PlanView{
		WorstCase: worstCase, Waiting: ps.waiting, SpendRate: ps.rate, RateUnknown: ps.rateUnknown(now), NoDemand: ps.noDemand() && worstCase == 0, DemandShare: share, Free: w.free(p, ps),
		Available: a.Available(), OthersUnspent: w.unspentByLiveHolders(now, p), Prepaid: a.Prepaid, ConfirmTime: w.confirms.time(now),
	}
}

// SetLimit sends the prepaid tokens of a plan to the ledger, as of a version of the
// configured list, unless the ledger has them already.
func (w *Wallet) SetLimit(p kcrid.Plan, version uint64, tokens kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ps := w.planState(p)
	a := w.ledger.Account(p)
	if version <= max(a.Version, ps.sentLimitVersion) || a.Version > 0 && a.Prepaid == tokens {
		return
	}
	ps.sentLimitVersion = version
	w.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Limit{Limit: &kcrentry.Limit{
		Plan: string(p), Version: version, Tokens: int64(tokens),
	}}})
}

// Reserve takes the worst case of a request out of the free tokens. Pending means
// that a claim or a higher bound is on its way to the ledger, or, for a wallet
// that borrows, that the caller is to borrow or to call Claim: ask again after the
// next Apply or AddBorrowed. BudgetExhausted is proven by the wallet's copy of the ledger.
func (w *Wallet) Reserve(now kcrclock.Time, p kcrid.Plan, worstCase kcrid.Tokens) ReserveOutcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.ready && !w.borrower || w.retired {
		return BudgetUnknown
	}
	ps := w.planState(p)
	ps.updateRates(now, w.ledger.SpentByOthers(p, w.self))
	fits := w.rules.Fits(w.free(p, ps), worstCase)
	switch {
	case fits && w.rules.WithinBounds(ps.maxDrawn(worstCase), w.allowance(now, ps)):
		ps.reserved += worstCase
		ps.expectedSpending += ps.ratio * float64(worstCase)
		w.refill(now, p, ps, 0)
		return Granted
	case fits:
		w.raiseBound(now, p, ps, worstCase)
		return Pending
	case w.borrower:
		return Pending
	}
	return w.claim(now, p, ps, worstCase)
}

// Settle ends a reservation and counts the tokens that it used as spent.
func (w *Wallet) Settle(p kcrid.Plan, worstCase, used kcrid.Tokens) {
	w.mu.Lock()
	defer w.mu.Unlock()
	ps := w.planState(p)
	used = max(0, min(used, worstCase))
	ps.reserved -= worstCase
	ps.spent += used
	if used > 0 {
		ps.ratio += ratioWeight * (float64(used)/float64(worstCase) - ps.ratio)
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
	ps := w.planState(p)
	return Holding{Plan: p, Free: w.free(p, ps), Reserved: ps.reserved, Spent: ps.spent, Available: a.Available(), Prepaid: a.Prepaid}
}

// Fingerprint returns a hash of the whole state that decides the wallet's
// behaviour: wallets with equal fingerprints behave alike. Model checkers use it to
// recognize states that they have explored.
func (w *Wallet) Fingerprint() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	// Writes to the hash never fail.
	h := xxhash.New()
	_, state, err := w.ledger.Snapshot()
	_, _ = h.Write(state)
	_, _ = fmt.Fprint(h, err, w.ready, w.atEnd, w.retired, w.reportedAt, w.lastRecordAt, w.era, w.queuedEra, w.restateSeq, w.waitUntil, w.confirms)
	records, last := w.outbox.Batch(math.MaxInt)
	for _, r := range records {
		_, _ = h.Write(r)
	}
	_, _ = fmt.Fprint(h, last)
	for _, p := range sortedKeys(w.planStates) {
		_, _ = fmt.Fprintf(h, "%s %+v", p, *w.planStates[p])
	}
	return h.Sum64()
}
