package kcrbudget

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the home of a bucket: a holder that makes reservations on its
// grants for sidecars and records which call runs at which sidecar. Any process
// may be a home of any bucket at any time; rendezvous hashing selects one per
// region, which keeps a region's escrow in one place. Invariants: reservations and
// spending never exceed the grant on the ledger; a reservation goes only to a
// sidecar that the ledger shows as open, since a recovery asks only open sidecars
// for evidence.

// ReserveOutcome is the outcome of a request for a reservation.
type ReserveOutcome int

// The outcomes of a request.
const (
	Granted         ReserveOutcome = iota + 1 // the reservation is made
	Running                                   // the call runs or has run already
	Pending                                   // ask again after the next Apply or Tick
	BudgetExhausted                           // the budget does not cover the request
	BudgetUnknown                             // whether the budget covers the request cannot be known now
	NotHolder                                 // the home was fenced or retired; ask another one
)

// outcomeNames are the names of the outcomes in messages and logs.
var outcomeNames = [...]string{"none", "granted", "running", "pending", "usedup", "unknowable", "deposed"}

// String returns the name of the outcome.
func (o ReserveOutcome) String() string { return outcomeNames[o] }

// ParseReserveOutcome returns the outcome with that name, 0 if there is none.
func ParseReserveOutcome(name string) ReserveOutcome {
	for i, n := range outcomeNames {
		if n == name {
			return ReserveOutcome(i)
		}
	}
	return 0
}

// ReserveRequest asks for a reservation of WorstCase tokens at a sidecar.
type ReserveRequest struct {
	Call       kcrid.CallID // identity of the request, equal for its copies
	Plan       kcrid.Plan
	Server     kcrid.Incarnation // sidecar that will run the call
	Addr       string            // address of that sidecar
	WorstCase  kcrid.Tokens      // most tokens that the run may use
	AllowRerun bool              // run again: the answer of an earlier run is lost
	NoPending  bool              // the caller will not ask again, so do not answer Pending
}

// ReserveResult is the result of Home.Reserve. ID is set for Granted; Server and Addr
// are set for Granted and Running.
type ReserveResult struct {
	Outcome ReserveOutcome
	ID      uint64
	Server  kcrid.Incarnation
	Addr    string
}

// RunOutcome says how a run ended.
type RunOutcome string

// The outcomes of a run.
const (
	Complete RunOutcome = "whole"  // the answer was complete
	Broken   RunOutcome = "broken" // the answer broke off
	NotRun   RunOutcome = "void"   // the call did not run
)

// Settlement reports the end of one reservation to the home.
type Settlement struct {
	ID      uint64
	Call    kcrid.CallID
	Plan    kcrid.Plan
	Tokens  kcrid.Tokens
	Outcome RunOutcome
}

// HomeRules are the safety checks of a Home. Tests replace them one by one to show
// that each is needed.
type HomeRules struct {
	// Fits reports whether the free tokens cover a request.
	Fits func(free, worstCase kcrid.Tokens) bool
	// Covers reports whether an existing reservation covers a repeated request.
	Covers func(reserved, worstCase kcrid.Tokens) bool
	// IsOpen reports whether a sidecar may get a reservation; open tells whether
	// the ledger shows it as open.
	IsOpen func(open bool) bool
	// IsClosing reports whether a sidecar counts as closed while its Close record
	// is on its way to the ledger.
	IsClosing func(closing bool) bool
	// NotFenced reports whether the home may still change its grants.
	NotFenced func(fenced kcrid.Offset) bool
}

// DefaultHomeRules returns the production rules.
func DefaultHomeRules() HomeRules {
	return HomeRules{
		Fits:      func(free, worstCase kcrid.Tokens) bool { return free >= worstCase },
		Covers:    func(reserved, worstCase kcrid.Tokens) bool { return reserved >= worstCase },
		IsOpen:    func(open bool) bool { return open },
		IsClosing: func(closing bool) bool { return closing },
		NotFenced: func(fenced kcrid.Offset) bool { return fenced == 0 },
	}
}

// Timing of a home.
const (
	// endedCallRetention is how long an ended call is remembered.
	endedCallRetention = 10 * kcrclock.Minute
	// spendingReportInterval is the time between reports of spending.
	spendingReportInterval = kcrclock.Minute
	// idlePlanTimeout is how long a plan goes unused before its escrow is returned.
	idlePlanTimeout = 10 * kcrclock.Minute
	// deniedClaimRetry is the delay before a claim that was granted nothing is repeated.
	deniedClaimRetry = kcrclock.Second
	// rateWindow is the time constant for smoothing the demand rate.
	rateWindow = 5 * kcrclock.Minute
	// refillBelow is the fraction of the target below which a holder claims more.
	refillBelow = 0.85
	// maxSettleWait is how long a recovery waits for runs to end.
	maxSettleWait = kcrclock.Minute
)

// HomeConfig configures a Home.
type HomeConfig struct {
	Self        kcrid.Incarnation
	Rules       HomeRules
	LedgerRules LedgerRules
	Policy      Policy
}

// Home is the home of one bucket. It is safe for concurrent use.
type Home struct {
	self   kcrid.Incarnation
	rules  HomeRules
	policy Policy

	mu         sync.Mutex
	ledger     *Ledger
	outbox     *kcrlog.Outbox
	ready      bool          // the ledger has reached the end of the stream
	retired    bool          // Retire was called: no more reservations
	lastID     uint64        // of the newest reservation
	reportedAt kcrclock.Time // when Tick last reported the spending
	planStates map[kcrid.Plan]*homePlanState
	calls      map[kcrid.CallID]*call
	endedCalls []kcrid.CallID                      // oldest first; may contain calls that were forgotten
	sidecars   map[kcrid.Incarnation]*sidecarState // known sidecars
	fencing    map[kcrid.Incarnation]bool          // holders for which StartRecovery sent a fence
	recoveries map[kcrid.Incarnation]*recovery     // by fenced holder
}

// call is a call that runs or has run. Its id is 0 if the reservation is held by
// another home.
type call struct {
	id        uint64
	plan      kcrid.Plan
	server    kcrid.Incarnation
	addr      string
	worstCase kcrid.Tokens // reserved
	done      bool         // settled with a complete answer
	doneAt    kcrclock.Time
}

// NewHome returns a home with an empty ledger. It answers Pending until MarkReady is
// called, after the stream was applied to its end.
func NewHome(c HomeConfig) *Home {
	return &Home{
		self:       c.Self,
		rules:      c.Rules,
		policy:     c.Policy,
		ledger:     NewLedger(c.LedgerRules),
		outbox:     kcrlog.NewOutbox(c.Self),
		planStates: map[kcrid.Plan]*homePlanState{},
		calls:      map[kcrid.CallID]*call{},
		sidecars:   map[kcrid.Incarnation]*sidecarState{},
		fencing:    map[kcrid.Incarnation]bool{},
		recoveries: map[kcrid.Incarnation]*recovery{},
	}
}

// Self returns the incarnation under which the home holds grants.
func (h *Home) Self() kcrid.Incarnation { return h.self }

// MarkReady tells the home that its ledger has reached the end of the stream.
func (h *Home) MarkReady() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = true
}

// isFenced reports whether the home is fenced. The caller holds the lock.
func (h *Home) isFenced() bool {
	own := h.ledger.Holder(h.self)
	return own != nil && !h.rules.NotFenced(own.Fenced)
}

// Reserve answers a request for a reservation. A repeated request for a call that
// already has a reservation at the same sidecar gets the same reservation.
func (h *Home) Reserve(now kcrclock.Time, req ReserveRequest) ReserveResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.isFenced() || h.retired:
		return ReserveResult{Outcome: NotHolder}
	case !h.ready:
		return pendingResult(req)
	}
	if result, ok := h.knownCallResult(req); ok {
		return result
	}
	if !h.rules.IsOpen(h.isOpen(req.Server)) {
		return pendingResult(req)
	}
	ps := h.planState(req.Plan)
	ps.lastUsedAt, ps.maxWorstCase = now, max(ps.maxWorstCase, req.WorstCase)
	if h.rules.Fits(h.free(req.Plan), req.WorstCase) {
		return h.grant(req)
	}
	return h.claimOrRefuse(now, req)
}

// pendingResult answers a request that may be granted soon.
func pendingResult(req ReserveRequest) ReserveResult {
	if req.NoPending {
		return ReserveResult{Outcome: BudgetUnknown}
	}
	return ReserveResult{Outcome: Pending}
}

// RecordCall records that a call runs at a sidecar under a reservation of another home,
// so that a copy of the call that arrives here does not run too. The answer is
// Granted, without a reservation, or Running.
func (h *Home) RecordCall(req ReserveRequest) ReserveResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	if result, ok := h.knownCallResult(req); ok && result.Outcome == Running {
		return result
	}
	h.calls[req.Call] = &call{plan: req.Plan, server: req.Server, addr: req.Addr}
	return ReserveResult{Outcome: Granted}
}

// EndRecordedCall ends a call that RecordCall recorded.
func (h *Home) EndRecordedCall(now kcrclock.Time, callID kcrid.CallID, outcome RunOutcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.calls[callID]
	if c == nil || c.id != 0 || c.done {
		return
	}
	if outcome != Complete {
		delete(h.calls, callID)
		return
	}
	c.done, c.doneAt = true, now
	h.endedCalls = append(h.endedCalls, callID)
}

// knownCallResult answers a request for a call that the home has a record of.
func (h *Home) knownCallResult(req ReserveRequest) (ReserveResult, bool) {
	c, ok := h.calls[req.Call]
	switch {
	case !ok:
		return ReserveResult{}, false
	case !c.done && c.server == req.Server && !h.rules.Covers(c.worstCase, req.WorstCase):
		return pendingResult(req), true
	case !c.done && c.server == req.Server:
		return ReserveResult{Outcome: Granted, ID: c.id, Server: c.server, Addr: c.addr}, true
	case req.AllowRerun && c.done:
		return ReserveResult{}, false
	default:
		return ReserveResult{Outcome: Running, Server: c.server, Addr: c.addr}, true
	}
}

// grant makes a reservation.
func (h *Home) grant(req ReserveRequest) ReserveResult {
	h.lastID++
	h.calls[req.Call] = &call{id: h.lastID, plan: req.Plan, server: req.Server, addr: req.Addr, worstCase: req.WorstCase}
	h.planState(req.Plan).reserved += req.WorstCase
	if state := h.sidecars[req.Server]; state != nil {
		state.used[req.Plan] += req.WorstCase
		state.unsettled[h.lastID] = req.Call
	}
	return ReserveResult{Outcome: Granted, ID: h.lastID, Server: req.Server, Addr: req.Addr}
}

// claimOrRefuse claims escrow for a request that does not fit the grant, and
// refuses the request if the budget is exhausted.
func (h *Home) claimOrRefuse(now kcrclock.Time, req ReserveRequest) ReserveResult {
	h.claim(now, req.Plan, req.WorstCase)
	if h.exhausted(req) {
		return ReserveResult{Outcome: BudgetExhausted}
	}
	return pendingResult(req)
}

// exhausted reports whether the budget could not cover the request even if every
// holder returned all tokens that it has not reported as spent.
func (h *Home) exhausted(req ReserveRequest) bool {
	ps := h.planState(req.Plan)
	acc := h.ledger.Account(req.Plan)
	if ps.claimSeq != 0 || len(acc.Credits) < len(ps.sentCredits) {
		return false
	}
	unspent := acc.Available() + h.free(req.Plan) + ps.returning + ps.reserved + h.ledger.UnspentByOthers(req.Plan, h.self)
	return unspent < req.WorstCase
}

// Apply applies one record of the bucket's stream.
func (h *Home) Apply(now kcrclock.Time, off kcrid.Offset, e *kcrentry.Entry) Effect {
	h.mu.Lock()
	defer h.mu.Unlock()
	eff := h.ledger.Apply(off, e)
	if kcrid.Incarnation(e.GetWriter()) == h.self {
		if eff.Kind == Claimed {
			ps := h.planState(eff.Plan)
			ps.denied, ps.deniedAt = eff.Tokens == 0, now
		}
		h.confirmApplied()
		return eff
	}
	if eff.Kind == Claimed && eff.Unmet > 0 && h.ready && !h.isFenced() {
		h.returnForUnmet(eff)
	}
	return eff
}

// Tick does the periodic work: it claims escrow, reports spending, returns unused
// escrow, forgets old calls, and continues recoveries.
func (h *Home) Tick(now kcrclock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ready || h.retired || h.isFenced() {
		return
	}
	reportDue := now.Sub(h.reportedAt) >= spendingReportInterval
	if reportDue {
		h.reportedAt = now
	}
	for _, p := range sortedKeys(h.planStates) {
		h.tickPlan(now, p, h.planStates[p], reportDue)
	}
	h.forgetOldCalls(now)
	h.tickRecovery(now)
}

// forgetOldCalls drops the calls that ended more than endedCallRetention ago.
func (h *Home) forgetOldCalls(now kcrclock.Time) {
	for len(h.endedCalls) > 0 {
		c := h.calls[h.endedCalls[0]]
		if c != nil && c.done && now.Sub(c.doneAt) <= endedCallRetention {
			return
		}
		if c != nil && c.done {
			delete(h.calls, h.endedCalls[0])
		}
		h.endedCalls = h.endedCalls[1:]
	}
}

// Retire ends the home for a planned stop. Once no reservation is outstanding, the
// home closes its grants at what was spent and makes no more reservations. Retire
// returns the number of outstanding reservations; call it until that is 0.
func (h *Home) Retire() (outstanding int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.calls {
		if !c.done && c.id != 0 {
			outstanding++
		}
	}
	if outstanding > 0 || h.retired || !h.ready || h.isFenced() {
		h.retired = h.retired || outstanding == 0
		return outstanding
	}
	h.retired = true
	own := h.ledger.Holder(h.self)
	if own == nil {
		return 0
	}
	msg := &kcrentry.Refund{Holder: string(h.self)}
	for _, p := range sortedKeys(own.Grants) {
		msg.Used = append(msg.Used, &kcrentry.Used{Plan: string(p), Tokens: int64(h.planState(p).spent)})
	}
	h.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Refund{Refund: msg}})
	return 0
}

// Batch returns records to append; see kcrlog.Outbox.
func (h *Home) Batch(limit int) ([][]byte, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outbox.Batch(limit)
}

// Unconfirmed returns the number of records that are not confirmed.
func (h *Home) Unconfirmed() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outbox.Len()
}

// Fenced reports whether another process has fenced the home.
func (h *Home) Fenced() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.isFenced()
}

// At returns the offset of the last record applied.
func (h *Home) At() kcrid.Offset {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.At()
}

// Account returns the ledger's account of a plan and the free tokens here.
func (h *Home) Account(p kcrid.Plan) (a Account, free kcrid.Tokens) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Account(p), h.free(p)
}

// Snapshot encodes the ledger at offset At.
func (h *Home) Snapshot() (kcrid.Offset, []byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Snapshot()
}

// Restore loads a snapshot of the ledger if it is newer. It stands for the records that it covers,
// also for those of this home.
func (h *Home) Restore(data []byte) (newer bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if newer, err = h.ledger.Restore(data); newer {
		h.confirmApplied()
	}
	return newer, err
}
