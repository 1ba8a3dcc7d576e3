package kcrbudget

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the home of a bucket: a holder that gives reservations on
// its grants to sidecars and remembers which call runs where. Any process may
// be a home of any bucket at any time; rendezvous hashing makes it one per
// region, which keeps escrow together. Invariants: reservations and spending
// never exceed the grant that the ledger shows; a reservation goes only to a
// sidecar that the ledger shows as open, since a recovery asks just those.

// Code is the answer to a request for a reservation.
type Code int

// The answers. Pending means: ask again after the next Apply or Tick.
const (
	Granted Code = iota + 1
	Running
	Pending
	UsedUp
	Unknowable
	Deposed
)

// codeNames are the names of the codes in messages and logs.
var codeNames = [...]string{"none", "granted", "running", "pending", "usedup", "unknowable", "deposed"}

// String returns the name of the code.
func (c Code) String() string { return codeNames[c] }

// ParseCode returns the code of a name, 0 if there is none.
func ParseCode(name string) Code {
	for i, n := range codeNames {
		if n == name {
			return Code(i)
		}
	}
	return 0
}

// Ask is a request for a reservation.
type Ask struct {
	Call   kcrid.Call
	Plan   kcrid.Plan
	Server kcrid.Incarnation
	Addr   string
	Worst  kcrid.Tokens
	Rerun  bool // the answer of an earlier run is lost
	Last   bool // the caller will not ask again: no Pending
}

// Answer is the outcome of an Ask. ID is set for Granted, Server and Addr for
// Running.
type Answer struct {
	Code   Code
	ID     uint64
	Server kcrid.Incarnation
	Addr   string
}

// State says how a run ended.
type State string

// The states of a run.
const (
	Whole  State = "whole"
	Broken State = "broken"
	Void   State = "void" // it did not run
)

// Line is a settlement.
type Line struct {
	ID     uint64
	Call   kcrid.Call
	Plan   kcrid.Plan
	Tokens kcrid.Tokens
	State  State
}

// HomeRules are the decisions of a home that a test can take out.
type HomeRules struct {
	Fits     func(free, worst kcrid.Tokens) bool
	Covers   func(reserved, worst kcrid.Tokens) bool
	OnLedger func(open bool) bool
	Closing  func(closing bool) bool
	InOffice func(fenced kcrid.Offset) bool
}

// DefaultHomeRules returns the rules that hold in production.
func DefaultHomeRules() HomeRules {
	return HomeRules{
		Fits:     func(free, worst kcrid.Tokens) bool { return free >= worst },
		Covers:   func(reserved, worst kcrid.Tokens) bool { return reserved >= worst },
		OnLedger: func(open bool) bool { return open },
		Closing:  func(closing bool) bool { return closing },
		InOffice: func(fenced kcrid.Offset) bool { return fenced == 0 },
	}
}

// Timing of a home.
const (
	// callMemory is how long a finished call is remembered.
	callMemory = 10 * kcrclock.Minute
	// markInterval is the time between reports of spending.
	markInterval = kcrclock.Minute
	// idleTime is how long a plan goes unused before its escrow goes back.
	idleTime = 10 * kcrclock.Minute
	// deniedTime is how long a refused claim is not repeated.
	deniedTime = kcrclock.Second
	// rateWindow is the time constant of the smoothed demand.
	rateWindow = 5 * kcrclock.Minute
	// refillBelow is the part of its target below which a home claims more.
	refillBelow = 0.85
	// settleWait is how long a recovery waits for runs to end.
	settleWait = kcrclock.Minute
)

// Config is what a Home is made of.
type Config struct {
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

	mu       sync.Mutex
	ledger   *Ledger
	outbox   *kcrlog.Outbox
	ready    bool
	retired  bool
	nextID   uint64
	markedAt kcrclock.Time
	purses   map[kcrid.Plan]*purse
	calls    map[kcrid.Call]*call
	ended    []kcrid.Call // finished calls, oldest first
	servers  map[kcrid.Incarnation]*server
	fencing  map[kcrid.Incarnation]bool
	recovery map[kcrid.Incarnation]*recovery
}

// call is a call that runs or has run.
type call struct {
	id     uint64
	plan   kcrid.Plan
	server kcrid.Incarnation
	addr   string
	worst  kcrid.Tokens
	done   bool
	doneAt kcrclock.Time
}

// NewHome returns a home that knows nothing of its bucket. It answers Pending
// until Ready is called after the stream was applied up to its end.
func NewHome(c Config) *Home {
	return &Home{
		self:     c.Self,
		rules:    c.Rules,
		policy:   c.Policy,
		ledger:   NewLedger(c.LedgerRules),
		outbox:   kcrlog.NewOutbox(c.Self),
		purses:   map[kcrid.Plan]*purse{},
		calls:    map[kcrid.Call]*call{},
		servers:  map[kcrid.Incarnation]*server{},
		fencing:  map[kcrid.Incarnation]bool{},
		recovery: map[kcrid.Incarnation]*recovery{},
	}
}

// Self returns the incarnation under which the home holds grants.
func (h *Home) Self() kcrid.Incarnation { return h.self }

// Ready tells the home that its ledger has reached the end of the stream.
func (h *Home) Ready() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready = true
}

func (h *Home) deposed() bool {
	own := h.ledger.Holder(h.self)
	return own != nil && !h.rules.InOffice(own.Fenced)
}

// Reserve answers a request for a reservation. Asking again for a call that
// already has one at the same sidecar gives the same reservation.
func (h *Home) Reserve(now kcrclock.Time, a Ask) Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.deposed() || h.retired:
		return Answer{Code: Deposed}
	case !h.ready:
		return later(a)
	}
	if ans, ok := h.known(a); ok {
		return ans
	}
	if !h.rules.OnLedger(h.opened(a.Server)) {
		return later(a)
	}
	pu := h.purse(a.Plan)
	pu.usedAt, pu.worst = now, max(pu.worst, a.Worst)
	if h.rules.Fits(h.free(a.Plan), a.Worst) {
		return h.grant(a)
	}
	return h.short(now, a)
}

// later answers a request that may be granted soon.
func later(a Ask) Answer {
	if a.Last {
		return Answer{Code: Unknowable}
	}
	return Answer{Code: Pending}
}

// Note records that a call runs at a sidecar under a reservation of another
// home, so that a copy of the call that comes here does not run too. The answer
// is Granted, without a reservation, or Running.
func (h *Home) Note(a Ask) Answer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if ans, ok := h.known(a); ok && ans.Code == Running {
		return ans
	}
	h.calls[a.Call] = &call{plan: a.Plan, server: a.Server, addr: a.Addr}
	return Answer{Code: Granted}
}

// Noted ends a call that Note recorded.
func (h *Home) Noted(now kcrclock.Time, key kcrid.Call, s State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.calls[key]
	if c == nil || c.id != 0 || c.done {
		return
	}
	if s != Whole {
		delete(h.calls, key)
		return
	}
	c.done, c.doneAt = true, now
	h.ended = append(h.ended, key)
}

// known answers for a call that was seen before.
func (h *Home) known(a Ask) (Answer, bool) {
	c, ok := h.calls[a.Call]
	switch {
	case !ok:
		return Answer{}, false
	case !c.done && c.server == a.Server && !h.rules.Covers(c.worst, a.Worst):
		return later(a), true
	case !c.done && c.server == a.Server:
		return Answer{Code: Granted, ID: c.id, Server: c.server, Addr: c.addr}, true
	case a.Rerun && c.done:
		return Answer{}, false
	default:
		return Answer{Code: Running, Server: c.server, Addr: c.addr}, true
	}
}

func (h *Home) grant(a Ask) Answer {
	h.nextID++
	h.calls[a.Call] = &call{id: h.nextID, plan: a.Plan, server: a.Server, addr: a.Addr, worst: a.Worst}
	h.purse(a.Plan).reserved += a.Worst
	if sv := h.servers[a.Server]; sv != nil {
		sv.used[a.Plan] += a.Worst
		sv.open[h.nextID] = a.Call
	}
	return Answer{Code: Granted, ID: h.nextID, Server: a.Server, Addr: a.Addr}
}

// short answers a request that does not fit the grant.
func (h *Home) short(now kcrclock.Time, a Ask) Answer {
	h.claim(now, a.Plan, a.Worst)
	if h.exhausted(a) {
		return Answer{Code: UsedUp}
	}
	return later(a)
}

// exhausted tells whether the budget cannot cover the request even if every
// holder gave back what it has not reported as spent.
func (h *Home) exhausted(a Ask) bool {
	pu := h.purse(a.Plan)
	acc := h.ledger.Account(a.Plan)
	if pu.claiming != 0 || len(acc.Credits) < len(pu.credits) {
		return false
	}
	left := acc.Available() + h.free(a.Plan) + pu.backing + pu.reserved + h.ledger.Unspent(a.Plan, h.self)
	return left < a.Worst
}

// Apply folds one record of the bucket's stream.
func (h *Home) Apply(now kcrclock.Time, off kcrid.Offset, e *kcrentry.Entry) Effect {
	h.mu.Lock()
	defer h.mu.Unlock()
	eff := h.ledger.Apply(off, e)
	if kcrid.Incarnation(e.GetWriter()) == h.self {
		h.outbox.Confirm(e.GetSeq())
		h.confirm(now, eff, e)
		return eff
	}
	if eff.Kind == Claimed && eff.Unmet > 0 && h.ready && !h.deposed() {
		h.spare(eff)
	}
	return eff
}

// Tick does what is due: refills, reports, returns, and forgets old calls.
func (h *Home) Tick(now kcrclock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ready || h.retired || h.deposed() {
		return
	}
	mark := now.Sub(h.markedAt) >= markInterval
	if mark {
		h.markedAt = now
	}
	for p, pu := range h.purses {
		h.tickPurse(now, p, pu, mark)
	}
	h.forget(now)
	h.tickRecovery(now)
}

// forget drops calls that ended long ago.
func (h *Home) forget(now kcrclock.Time) {
	for len(h.ended) > 0 {
		c := h.calls[h.ended[0]]
		if c != nil && c.done && now.Sub(c.doneAt) <= callMemory {
			return
		}
		if c != nil && c.done {
			delete(h.calls, h.ended[0])
		}
		h.ended = h.ended[1:]
	}
}

// Retire ends the home for a planned stop: it gives no more reservations and,
// once none is outstanding, closes its grants at what was spent. It returns
// how many reservations are still outstanding.
func (h *Home) Retire() (outstanding int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.calls {
		if !c.done && c.id != 0 {
			outstanding++
		}
	}
	if outstanding > 0 || h.retired || !h.ready || h.deposed() {
		h.retired = h.retired || outstanding == 0
		return outstanding
	}
	h.retired = true
	own := h.ledger.Holder(h.self)
	if own == nil {
		return 0
	}
	msg := &kcrentry.Refund{Holder: string(h.self)}
	for p := range own.Grants {
		msg.Used = append(msg.Used, &kcrentry.Used{Plan: string(p), Tokens: int64(h.purse(p).spent)})
	}
	h.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Refund{Refund: msg}})
	return 0
}

// Batch returns entries to append; see kcrlog.Outbox.
func (h *Home) Batch(limit int) ([][]byte, uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outbox.Batch(limit)
}

// Waiting returns the number of entries that are not confirmed.
func (h *Home) Waiting() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.outbox.Len()
}

// Deposed tells whether another process has fenced the home.
func (h *Home) Deposed() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.deposed()
}

// At returns the offset of the last record applied.
func (h *Home) At() kcrid.Offset {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.At()
}

// Account returns the ledger's state of a plan and what is free here.
func (h *Home) Account(p kcrid.Plan) (a Account, free kcrid.Tokens) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Account(p), h.free(p)
}

// Snapshot returns the ledger's state.
func (h *Home) Snapshot() (kcrid.Offset, []byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Snapshot()
}

// Restore loads a snapshot of the ledger if it is newer.
func (h *Home) Restore(data []byte) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Restore(data)
}
