// Package kcrbudget keeps prepaid budgets from being overspent while many
// processes spend from them and cannot always reach each other.
//
// A budget's tokens are in one of three places: available on the ledger, in
// the grant of a holder, or settled as spent. A holder gives reservations only
// from its grants, so no partition and no pause can overspend. The parts are
// Ledger (the fold of a bucket's stream), Home (a holder that gives
// reservations and recovers dead holders), and Meter (what a sidecar has
// served, which is the evidence for a recovery). All are passive: they are
// driven by calls that take the time, and they return what to append or send.
package kcrbudget

import (
	"encoding/json"
	"sort"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the ledger. Invariants: for every plan, the open grants
// and the settled spending never exceed the credits that precede them on the
// stream; a fenced holder cannot change its grants; each grant is closed once.

// Account is the state of one plan on the ledger.
type Account struct {
	Prepaid  kcrid.Tokens            `json:"prepaid"`
	Allotted kcrid.Tokens            `json:"allotted"`
	Settled  kcrid.Tokens            `json:"settled"`
	Credits  map[string]kcrid.Tokens `json:"credits"`
	// Version is that of the list that set Prepaid, 0 if credits made it.
	Version uint64 `json:"version,omitempty"`
}

// Available returns what no grant holds and nobody has spent.
func (a Account) Available() kcrid.Tokens { return a.Prepaid - a.Allotted - a.Settled }

// Grant is escrow of one plan in the hands of one holder. Spent is what the
// holder reported; Gone is the spending at sidecars that it has closed.
type Grant struct {
	Amount kcrid.Tokens `json:"amount"`
	Spent  kcrid.Tokens `json:"spent"`
	Gone   kcrid.Tokens `json:"gone"`
	Bound  Bound        `json:"bound"`
}

func (g *Grant) floor() kcrid.Tokens { return max(g.Spent, g.Gone) }

// Holder is the state of one holder on the ledger. Fenced is the offset of
// the fence, 0 while the holder is in office.
type Holder struct {
	Fenced kcrid.Offset               `json:"fenced,omitempty"`
	Open   map[kcrid.Incarnation]bool `json:"open,omitempty"`
	Grants map[kcrid.Plan]*Grant      `json:"grants,omitempty"`
}

// Kind says what a record did.
type Kind int

// The kinds of effect.
const (
	Ignored Kind = iota
	Credited
	Claimed
	Marked
	Opened
	Closed
	Fenced
	Refunded
	Limited
	Inherited
)

// kindNames are the names of the kinds in logs.
var kindNames = [...]string{"ignored", "credited", "claimed", "marked", "opened", "closed", "fenced", "refunded", "limited", "inherited"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Effect is what the ledger made of a record. Tokens is what a claim was
// granted or what became available again; Unmet is what a claim asked for in
// vain.
type Effect struct {
	Kind   Kind
	Writer kcrid.Incarnation
	Seq    uint64
	Plan   kcrid.Plan
	Holder kcrid.Incarnation
	Tokens kcrid.Tokens
	Unmet  kcrid.Tokens
}

// LedgerRules are the decisions of a ledger that a test can take out.
type LedgerRules struct {
	// Grant bounds what a claim gets.
	Grant func(available, want kcrid.Tokens) kcrid.Tokens
	// Repeat tells whether a record was applied before.
	Repeat func(fresh bool) bool
	// Named tells whether a credit of that name was applied before.
	Named func(credits map[string]kcrid.Tokens, name string) bool
	// Deposed tells whether a holder has lost its grants.
	Deposed func(fenced kcrid.Offset) bool
	// Newer tells whether a limit replaces the one of another version.
	Newer func(current, version uint64) bool
	// Heir tells whether a writer runs in the place of a holder.
	Heir func(writer, holder kcrid.Incarnation) bool
}

// DefaultLedgerRules returns the rules that hold in production.
func DefaultLedgerRules() LedgerRules {
	return LedgerRules{
		Grant:   func(available, want kcrid.Tokens) kcrid.Tokens { return max(0, min(available, want)) },
		Repeat:  func(fresh bool) bool { return !fresh },
		Named:   func(credits map[string]kcrid.Tokens, name string) bool { _, ok := credits[name]; return ok },
		Deposed: func(fenced kcrid.Offset) bool { return fenced != 0 },
		Newer:   func(current, version uint64) bool { return version > current },
		Heir:    func(writer, holder kcrid.Incarnation) bool { return writer.VM() == holder.VM() },
	}
}

// maxFormer bounds how many closed holders are remembered.
const maxFormer = 1024

// Ledger is the fold of the stream of one bucket. It is not safe for
// concurrent use; Home guards its own.
type Ledger struct {
	rules    LedgerRules
	at       kcrid.Offset
	seen     kcrlog.Seen
	accounts map[kcrid.Plan]*Account
	holders  map[kcrid.Incarnation]*Holder
	former   []kcrid.Incarnation
}

// NewLedger returns an empty ledger, as of offset 0.
func NewLedger(rules LedgerRules) *Ledger {
	return &Ledger{
		rules:    rules,
		seen:     kcrlog.Seen{},
		accounts: map[kcrid.Plan]*Account{},
		holders:  map[kcrid.Incarnation]*Holder{},
	}
}

// At returns the offset of the last record applied.
func (l *Ledger) At() kcrid.Offset { return l.at }

// Account returns the state of a plan; the zero Account if there is none.
func (l *Ledger) Account(p kcrid.Plan) Account {
	if a, ok := l.accounts[p]; ok {
		return *a
	}
	return Account{}
}

// Grant returns the grant of a holder for a plan; the zero Grant if none.
func (l *Ledger) Grant(h kcrid.Incarnation, p kcrid.Plan) Grant {
	if g := l.grant(h, p); g != nil {
		return *g
	}
	return Grant{}
}

func (l *Ledger) grant(h kcrid.Incarnation, p kcrid.Plan) *Grant {
	if holder, ok := l.holders[h]; ok {
		return holder.Grants[p]
	}
	return nil
}

// Unspent returns the most that holders other than self may still serve.
func (l *Ledger) Unspent(p kcrid.Plan, self kcrid.Incarnation) (sum kcrid.Tokens) {
	for name, h := range l.holders {
		if g := h.Grants[p]; g != nil && name != self {
			sum += g.Amount - g.floor()
		}
	}
	return sum
}

// SpentElsewhere returns what is known to be spent under other holders than
// self, those that have left office included.
func (l *Ledger) SpentElsewhere(p kcrid.Plan, self kcrid.Incarnation) kcrid.Tokens {
	sum := l.Account(p).Settled
	for name, h := range l.holders {
		if g := h.Grants[p]; g != nil && name != self {
			sum += g.floor()
		}
	}
	return sum
}

// Apply folds one record. A record at or below At is ignored.
func (l *Ledger) Apply(off kcrid.Offset, e *kcrentry.Entry) Effect {
	if off <= l.at {
		return Effect{}
	}
	l.at = off
	writer := kcrid.Incarnation(e.GetWriter())
	base := Effect{Writer: writer, Seq: e.GetSeq()}
	if l.rules.Repeat(l.seen.Fresh(writer, e.GetSeq())) {
		return base
	}
	eff := l.dispatch(off, writer, e)
	eff.Writer, eff.Seq = writer, e.GetSeq()
	return eff
}

func (l *Ledger) dispatch(off kcrid.Offset, writer kcrid.Incarnation, e *kcrentry.Entry) Effect {
	switch k := e.GetKind().(type) {
	case *kcrentry.Entry_Credit:
		return l.credit(k.Credit)
	case *kcrentry.Entry_Inherit:
		return l.inherit(off, writer, k.Inherit)
	case *kcrentry.Entry_Limit:
		return l.limit(k.Limit)
	case *kcrentry.Entry_Claim:
		return l.claim(writer, k.Claim)
	case *kcrentry.Entry_Mark:
		return l.mark(writer, k.Mark)
	case *kcrentry.Entry_Open:
		return l.open(writer, k.Open)
	case *kcrentry.Entry_Close:
		return l.close(writer, k.Close)
	case *kcrentry.Entry_Fence:
		return l.fence(off, k.Fence)
	case *kcrentry.Entry_Refund:
		return l.refund(writer, k.Refund)
	default:
		return Effect{}
	}
}

func (l *Ledger) account(p kcrid.Plan) *Account {
	a, ok := l.accounts[p]
	if !ok {
		a = &Account{Credits: map[string]kcrid.Tokens{}}
		l.accounts[p] = a
	}
	return a
}

func (l *Ledger) holder(h kcrid.Incarnation) *Holder {
	holder, ok := l.holders[h]
	if !ok {
		holder = &Holder{Open: map[kcrid.Incarnation]bool{}, Grants: map[kcrid.Plan]*Grant{}}
		l.holders[h] = holder
	}
	return holder
}

func (l *Ledger) credit(c *kcrentry.Credit) Effect {
	plan, tokens := kcrid.Plan(c.GetPlan()), kcrid.Tokens(c.GetTokens())
	a := l.account(plan)
	if tokens <= 0 || l.rules.Named(a.Credits, c.GetName()) {
		return Effect{}
	}
	a.Credits[c.GetName()] = tokens
	a.Prepaid += tokens
	return Effect{Kind: Credited, Plan: plan, Tokens: tokens}
}

// inherit closes the grants of a holder whose process is proved to be gone,
// since the writer runs in its place. Its grants that are not named stay out of
// use.
func (l *Ledger) inherit(off kcrid.Offset, writer kcrid.Incarnation, m *kcrentry.Inherit) Effect {
	name := kcrid.Incarnation(m.GetHolder())
	h, ok := l.holders[name]
	if !ok || name == writer || l.rules.Deposed(h.Fenced) || !l.rules.Heir(writer, name) {
		return Effect{}
	}
	h.Fenced = off
	for _, u := range m.GetUsed() {
		l.settle(h, kcrid.Plan(u.GetPlan()), kcrid.Tokens(u.GetTokens()))
	}
	l.bury(name)
	return Effect{Kind: Inherited, Holder: name}
}

// limit sets what is prepaid. Available can become negative: what is granted
// or spent stays so, and nothing more is granted until it is positive again.
func (l *Ledger) limit(m *kcrentry.Limit) Effect {
	plan := kcrid.Plan(m.GetPlan())
	a := l.account(plan)
	if !l.rules.Newer(a.Version, m.GetVersion()) || m.GetTokens() < 0 {
		return Effect{}
	}
	a.Version, a.Prepaid = m.GetVersion(), kcrid.Tokens(m.GetTokens())
	return Effect{Kind: Limited, Plan: plan, Tokens: a.Prepaid}
}

func (l *Ledger) claim(writer kcrid.Incarnation, c *kcrentry.Claim) Effect {
	plan, want := kcrid.Plan(c.GetPlan()), kcrid.Tokens(c.GetTokens())
	h := l.holder(writer)
	if want <= 0 || l.rules.Deposed(h.Fenced) {
		return Effect{}
	}
	a := l.account(plan)
	got := l.rules.Grant(a.Available(), want)
	eff := Effect{Kind: Claimed, Plan: plan, Holder: writer, Tokens: got, Unmet: want - got}
	if got == 0 {
		return eff
	}
	g, ok := h.Grants[plan]
	if !ok {
		g = &Grant{}
		h.Grants[plan] = g
	}
	g.Amount += got
	g.Bound = boundOf(c.GetBound())
	a.Allotted += got
	return eff
}

func (l *Ledger) mark(writer kcrid.Incarnation, m *kcrentry.Mark) Effect {
	plan, back := kcrid.Plan(m.GetPlan()), kcrid.Tokens(m.GetBack())
	g := l.grant(writer, plan)
	if g == nil || l.rules.Deposed(l.holders[writer].Fenced) {
		return Effect{}
	}
	g.Spent = min(g.Amount, max(g.Spent, kcrid.Tokens(m.GetSpent())))
	g.Bound = boundOf(m.GetBound())
	if back < 0 || back > g.Amount-g.floor() {
		return Effect{Kind: Marked, Plan: plan, Holder: writer}
	}
	g.Amount -= back
	l.account(plan).Allotted -= back
	return Effect{Kind: Marked, Plan: plan, Holder: writer, Tokens: back}
}

func (l *Ledger) open(writer kcrid.Incarnation, o *kcrentry.Open) Effect {
	h := l.holder(writer)
	if l.rules.Deposed(h.Fenced) {
		return Effect{}
	}
	for _, s := range o.GetServers() {
		h.Open[kcrid.Incarnation(s)] = true
	}
	return Effect{Kind: Opened, Holder: writer}
}

func (l *Ledger) close(writer kcrid.Incarnation, c *kcrentry.Close) Effect {
	h := l.holder(writer)
	server := kcrid.Incarnation(c.GetServer())
	if l.rules.Deposed(h.Fenced) || !h.Open[server] {
		return Effect{}
	}
	delete(h.Open, server)
	for _, u := range c.GetUsed() {
		if g := h.Grants[kcrid.Plan(u.GetPlan())]; g != nil && u.GetTokens() > 0 {
			g.Gone = min(g.Amount, g.Gone+kcrid.Tokens(u.GetTokens()))
		}
	}
	return Effect{Kind: Closed, Holder: writer}
}

func (l *Ledger) fence(off kcrid.Offset, f *kcrentry.Fence) Effect {
	name := kcrid.Incarnation(f.GetHolder())
	h, ok := l.holders[name]
	if !ok || h.Fenced != 0 {
		return Effect{}
	}
	h.Fenced = off
	l.bury(name)
	return Effect{Kind: Fenced, Holder: name}
}

// refund closes grants at their proved spending. A holder in office may close
// its own; those of a fenced one close at the evidence gathered after the
// fence, which stays true however late the record arrives.
func (l *Ledger) refund(writer kcrid.Incarnation, r *kcrentry.Refund) Effect {
	name := kcrid.Incarnation(r.GetHolder())
	h, ok := l.holders[name]
	if !ok {
		return Effect{}
	}
	own := writer == name && !l.rules.Deposed(h.Fenced)
	proved := h.Fenced != 0 && kcrid.Offset(r.GetFence()) == h.Fenced
	if !own && !proved {
		return Effect{}
	}
	for _, u := range r.GetUsed() {
		l.settle(h, kcrid.Plan(u.GetPlan()), kcrid.Tokens(u.GetTokens()))
	}
	if own && len(h.Grants) == 0 {
		h.Fenced = l.at
		l.bury(name)
	}
	return Effect{Kind: Refunded, Holder: name}
}

func (l *Ledger) settle(h *Holder, plan kcrid.Plan, used kcrid.Tokens) {
	g := h.Grants[plan]
	if g == nil {
		return
	}
	used = min(g.Amount, max(used, g.floor()))
	a := l.account(plan)
	a.Allotted -= g.Amount
	a.Settled += used
	delete(h.Grants, plan)
}

// bury remembers that a holder has left office, and forgets the oldest such
// holder that has no grants.
func (l *Ledger) bury(name kcrid.Incarnation) {
	l.former = append(l.former, name)
	if len(l.former) <= maxFormer {
		return
	}
	oldest := l.former[0]
	l.former = l.former[1:]
	if h := l.holders[oldest]; h != nil && len(h.Grants) > 0 {
		l.former = append(l.former, oldest)
		return
	}
	delete(l.holders, oldest)
	delete(l.seen, oldest)
}

// Others returns the holders other than self that have open grants, sorted.
func (l *Ledger) Others(self kcrid.Incarnation) (out []kcrid.Incarnation) {
	for name, h := range l.holders {
		if name != self && len(h.Grants) > 0 {
			out = append(out, name)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// Holder returns a holder by name, nil if unknown. The caller must not change
// it.
func (l *Ledger) Holder(name kcrid.Incarnation) *Holder { return l.holders[name] }

// Plans returns the plans that have an account, sorted.
func (l *Ledger) Plans() (out []kcrid.Plan) {
	for p := range l.accounts {
		out = append(out, p)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out
}

// ledgerImage is the snapshot form of a ledger.
type ledgerImage struct {
	At       kcrid.Offset                  `json:"at"`
	Seen     kcrlog.Seen                   `json:"seen"`
	Accounts map[kcrid.Plan]*Account       `json:"accounts"`
	Holders  map[kcrid.Incarnation]*Holder `json:"holders"`
	Former   []kcrid.Incarnation           `json:"former,omitempty"`
}

// Snapshot returns the state as of At. Equal ledgers give equal bytes.
func (l *Ledger) Snapshot() (at kcrid.Offset, data []byte, err error) {
	data, err = json.Marshal(ledgerImage{At: l.at, Seen: l.seen, Accounts: l.accounts, Holders: l.holders, Former: l.former})
	return l.at, data, err
}

// Restore loads a snapshot if it is newer than the ledger, and tells whether
// it did.
func (l *Ledger) Restore(data []byte) (newer bool, err error) {
	fresh := NewLedger(l.rules)
	img := ledgerImage{Seen: fresh.seen, Accounts: fresh.accounts, Holders: fresh.holders}
	if err := json.Unmarshal(data, &img); err != nil {
		return false, err
	}
	if img.At <= l.at {
		return false, nil
	}
	for _, h := range img.Holders {
		if h.Open == nil {
			h.Open = map[kcrid.Incarnation]bool{}
		}
		if h.Grants == nil {
			h.Grants = map[kcrid.Plan]*Grant{}
		}
	}
	for _, a := range img.Accounts {
		if a.Credits == nil {
			a.Credits = map[string]kcrid.Tokens{}
		}
	}
	l.at, l.seen, l.accounts, l.holders, l.former = img.At, img.Seen, img.Accounts, img.Holders, img.Former
	return true, nil
}
