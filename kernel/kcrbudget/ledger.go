// Package kcrbudget keeps prepaid budgets from being overspent while many
// processes spend from them and cannot always reach each other.
//
// A plan is a prepaid budget of a team. Plans are hashed into buckets, and the
// records of a bucket form one log stream. Each token of a budget is in one of
// three states: available on the ledger, granted to a holder as escrow, or settled
// as spent. A holder makes reservations only within its grants, so neither a
// network partition nor a paused process can overspend. The main types are Ledger,
// the state computed from the log stream of a bucket; Home, a holder that makes
// reservations for sidecars and recovers the grants of dead holders; Wallet, a
// holder that spends its grants itself; and Meter, which counts what a sidecar has
// served, as evidence for a recovery. All types are passive: their methods take
// the current time as an argument and return the records to append or the messages
// to send.
package kcrbudget

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the ledger. Invariants: for every plan, the open grants and
// the settled spending never exceed the credits that precede them on the
// stream; a fenced holder cannot change its grants; each grant is closed once. The state depends
// on the first copy of each record only, and a snapshot of it stands for all records before: what a
// writer learns of its own records, it asks the state (Applied, Grant), since it may read a
// record once, more than once, or not at all.

// Account is the state of one plan on the ledger.
type Account struct {
	Prepaid kcrid.Tokens            `json:"prepaid"`  // the whole budget
	Granted kcrid.Tokens            `json:"allotted"` // sum of the open grants
	Settled kcrid.Tokens            `json:"settled"`  // spent under closed grants
	Credits map[string]kcrid.Tokens `json:"credits"`  // applied credits by name
	// Version is the version of the limit that set Prepaid, 0 if credits set it.
	Version uint64 `json:"version,omitempty"`
	// Since the log lost records; see restore.go.
	Base     kcrid.Tokens `json:"base,omitempty"`     // Used when the era began
	Carried  kcrid.Tokens `json:"carried,omitempty"`  // greatest Used before the era that is known, 0 if none is
	Restated kcrid.Tokens `json:"restated,omitempty"` // sum of the changes of Granted by restatements
}

// Used returns the tokens that are granted, settled as spent, or may have been before the log
// lost records.
func (a Account) Used() kcrid.Tokens { return a.Granted + a.Settled + a.unattributed() }

// Available returns the tokens that are not used.
func (a Account) Available() kcrid.Tokens { return a.Prepaid - a.Used() }

// Grant is the escrow that one holder has for one plan. Spent is what the holder
// reported. ClosedSpent is what was spent at sidecars that the holder has closed.
// Bound is the newest spending bound of the holder, of its record with sequence BoundSeq.
type Grant struct {
	Amount      kcrid.Tokens `json:"amount"`
	Spent       kcrid.Tokens `json:"spent"`
	ClosedSpent kcrid.Tokens `json:"gone"`
	Bound       Bound        `json:"bound"`
	BoundSeq    uint64       `json:"boundSeq,omitempty"`
}

// knownSpent returns the least that the holder is known to have spent.
func (g *Grant) knownSpent() kcrid.Tokens { return max(g.Spent, g.ClosedSpent) }

// Holder is the state of one holder on the ledger. Fenced is the offset of the
// record that fenced it, 0 while it may change its grants. OpenServers are the
// sidecars that may hold reservations of the holder.
type Holder struct {
	Fenced      kcrid.Offset               `json:"fenced,omitempty"`
	OpenServers map[kcrid.Incarnation]bool `json:"open,omitempty"`
	Grants      map[kcrid.Plan]*Grant      `json:"grants,omitempty"`
}

// EffectKind says how a record changed the ledger.
type EffectKind int

// The kinds of effect. Ignored means that the record changed nothing.
const (
	Ignored EffectKind = iota
	Credited
	Claimed
	Marked
	Opened
	Closed
	Fenced
	Refunded
	Limited
	Inherited
	EraBegun
	Restated
	Carried
)

// effectNames are the names of the kinds in logs.
var effectNames = [...]string{"ignored", "credited", "claimed", "marked", "opened", "closed", "fenced", "refunded", "limited", "inherited", "era", "restated", "carried"}

// String returns the name of the kind.
func (k EffectKind) String() string { return effectNames[k] }

// Effect is the result of applying a record to the ledger. Tokens is the amount
// that was granted to a claim, that became available again, or that was set by a
// credit or limit. Unmet is the part of a claim that was not granted.
type Effect struct {
	Kind   EffectKind
	Writer kcrid.Incarnation
	Seq    uint64
	Plan   kcrid.Plan
	Holder kcrid.Incarnation
	Tokens kcrid.Tokens
	Unmet  kcrid.Tokens
}

// LedgerRules are the safety checks of a Ledger. Tests replace them one by one to
// show that each is needed.
type LedgerRules struct {
	// GrantSize returns how much of a claim for want tokens is granted.
	GrantSize func(available, want kcrid.Tokens) kcrid.Tokens
	// IsDuplicate reports whether a record was applied before.
	IsDuplicate func(fresh bool) bool
	// IsCreditApplied reports whether a credit of that name was applied before.
	IsCreditApplied func(credits map[string]kcrid.Tokens, name string) bool
	// IsFenced reports whether a holder has lost its grants.
	IsFenced func(fenced kcrid.Offset) bool
	// IsNewer reports whether a limit of this version replaces the current one.
	IsNewer func(current, version uint64) bool
	// IsSuccessor reports whether the writer runs on the same VM as the holder,
	// and thus in its place.
	IsSuccessor func(writer, holder kcrid.Incarnation) bool
}

// DefaultLedgerRules returns the production rules.
func DefaultLedgerRules() LedgerRules {
	return LedgerRules{
		GrantSize:       func(available, want kcrid.Tokens) kcrid.Tokens { return max(0, min(available, want)) },
		IsDuplicate:     func(fresh bool) bool { return !fresh },
		IsCreditApplied: func(credits map[string]kcrid.Tokens, name string) bool { _, ok := credits[name]; return ok },
		IsFenced:        func(fenced kcrid.Offset) bool { return fenced != 0 },
		IsNewer:         func(current, version uint64) bool { return version > current },
		IsSuccessor:     func(writer, holder kcrid.Incarnation) bool { return writer.VM() == holder.VM() },
	}
}

// maxFormerHolders is the number of fenced or closed holders that are kept.
const maxFormerHolders = 1024

// Ledger is the state computed from the log stream of one bucket. It is not safe
// for concurrent use; Home and Wallet lock their own.
type Ledger struct {
	rules         LedgerRules
	lastOffset    kcrid.Offset // of the last record applied
	era           uint64       // of the log, 0 before the first record of an era
	restored      bool         // the log has lost records
	seen          kcrlog.Deduplicator
	accounts      map[kcrid.Plan]*Account
	holders       map[kcrid.Incarnation]*Holder
	formerHolders []kcrid.Incarnation // fenced or closed, oldest first
}

// NewLedger returns an empty ledger at offset 0.
func NewLedger(rules LedgerRules) *Ledger {
	return &Ledger{
		rules:    rules,
		seen:     kcrlog.Deduplicator{},
		accounts: map[kcrid.Plan]*Account{},
		holders:  map[kcrid.Incarnation]*Holder{},
	}
}

// At returns the offset of the last record applied.
func (l *Ledger) At() kcrid.Offset { return l.lastOffset }

// Account returns the state of a plan, or the zero Account if there is none.
func (l *Ledger) Account(p kcrid.Plan) Account {
	if a, ok := l.accounts[p]; ok {
		return *a
	}
	return Account{}
}

// Grant returns the grant of a holder for a plan, or the zero Grant if there is none.
func (l *Ledger) Grant(h kcrid.Incarnation, p kcrid.Plan) Grant {
	if g := l.grant(h, p); g != nil {
		return *g
	}
	return Grant{}
}

// grant returns the grant of a holder for a plan, or nil if there is none.
func (l *Ledger) grant(h kcrid.Incarnation, p kcrid.Plan) *Grant {
	if holder, ok := l.holders[h]; ok {
		return holder.Grants[p]
	}
	return nil
}

// Applied returns the sequence of the last record of a writer that was applied, 0 if none was. All
// its records up to that one have had their effect.
func (l *Ledger) Applied(writer kcrid.Incarnation) uint64 { return l.seen[writer] }

// UnspentByOthers returns the most that holders other than self may still spend.
func (l *Ledger) UnspentByOthers(p kcrid.Plan, self kcrid.Incarnation) (sum kcrid.Tokens) {
	for name, h := range l.holders {
		if g := h.Grants[p]; g != nil && name != self {
			sum += g.Amount - g.knownSpent()
		}
	}
	return sum
}

// SpentByOthers returns what is known to be spent under holders other than self,
// including the holders whose grants are closed.
func (l *Ledger) SpentByOthers(p kcrid.Plan, self kcrid.Incarnation) kcrid.Tokens {
	sum := l.Account(p).Settled
	for name, h := range l.holders {
		if g := h.Grants[p]; g != nil && name != self {
			sum += g.knownSpent()
		}
	}
	return sum
}

// Apply applies one record. It ignores records at or below offset At and records
// that were applied before.
func (l *Ledger) Apply(off kcrid.Offset, e *kcrentry.Entry) Effect {
	if off <= l.lastOffset {
		return Effect{}
	}
	l.lastOffset = off
	writer := kcrid.Incarnation(e.GetWriter())
	ignored := Effect{Writer: writer, Seq: e.GetSeq()}
	if l.rules.IsDuplicate(l.seen.Accept(writer, e.GetSeq())) {
		return ignored
	}
	eff := l.dispatch(off, writer, e)
	eff.Writer, eff.Seq = writer, e.GetSeq()
	return eff
}

// dispatch applies a record by its kind.
func (l *Ledger) dispatch(off kcrid.Offset, writer kcrid.Incarnation, e *kcrentry.Entry) Effect {
	switch k := e.GetKind().(type) {
	case *kcrentry.Entry_Credit:
		return l.credit(k.Credit)
	case *kcrentry.Entry_Era:
		return l.beginEra(k.Era.GetNumber())
	case *kcrentry.Entry_Restate:
		return l.restate(writer, e.GetSeq(), k.Restate)
	case *kcrentry.Entry_Carry:
		return l.carry(k.Carry)
	case *kcrentry.Entry_Inherit:
		return l.inherit(off, writer, k.Inherit)
	case *kcrentry.Entry_Limit:
		return l.limit(k.Limit)
	case *kcrentry.Entry_Claim:
		return l.claim(writer, e.GetSeq(), k.Claim)
	case *kcrentry.Entry_Mark:
		return l.mark(writer, e.GetSeq(), k.Mark)
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

// account returns the account of a plan and creates it if needed.
func (l *Ledger) account(p kcrid.Plan) *Account {
	a, ok := l.accounts[p]
	if !ok {
		a = &Account{Credits: map[string]kcrid.Tokens{}}
		l.accounts[p] = a
	}
	return a
}

// holder returns the state of a holder and creates it if needed.
func (l *Ledger) holder(h kcrid.Incarnation) *Holder {
	holder, ok := l.holders[h]
	if !ok {
		holder = &Holder{OpenServers: map[kcrid.Incarnation]bool{}, Grants: map[kcrid.Plan]*Grant{}}
		l.holders[h] = holder
	}
	return holder
}

// credit adds prepaid tokens. Each credit name is applied once per plan.
func (l *Ledger) credit(c *kcrentry.Credit) Effect {
	plan, tokens := kcrid.Plan(c.GetPlan()), kcrid.Tokens(c.GetTokens())
	a := l.account(plan)
	if tokens <= 0 || l.rules.IsCreditApplied(a.Credits, c.GetName()) {
		return Effect{}
	}
	a.Credits[c.GetName()] = tokens
	a.Prepaid += tokens
	return Effect{Kind: Credited, Plan: plan, Tokens: tokens}
}

// inherit closes the grants of a holder whose process is proven to be gone, since
// the writer runs in its place. The holder's grants that the record does not list
// stay unavailable.
func (l *Ledger) inherit(off kcrid.Offset, writer kcrid.Incarnation, m *kcrentry.Inherit) Effect {
	name := kcrid.Incarnation(m.GetHolder())
	h, ok := l.holders[name]
	if !ok || name == writer || l.rules.IsFenced(h.Fenced) || !l.rules.IsSuccessor(writer, name) {
		return Effect{}
	}
	h.Fenced = off
	for _, u := range m.GetUsed() {
		l.settle(h, kcrid.Plan(u.GetPlan()), kcrid.Tokens(u.GetTokens()))
	}
	l.addFormerHolder(name)
	return Effect{Kind: Inherited, Holder: name}
}

// limit sets the prepaid tokens. Available can become negative: tokens that are
// granted or spent are not taken back, and nothing more is granted until it is
// positive again.
func (l *Ledger) limit(m *kcrentry.Limit) Effect {
	plan := kcrid.Plan(m.GetPlan())
	a := l.account(plan)
	if !l.rules.IsNewer(a.Version, m.GetVersion()) || m.GetTokens() < 0 {
		return Effect{}
	}
	a.Version, a.Prepaid = m.GetVersion(), kcrid.Tokens(m.GetTokens())
	return Effect{Kind: Limited, Plan: plan, Tokens: a.Prepaid}
}

// claim grants escrow to the writer.
func (l *Ledger) claim(writer kcrid.Incarnation, seq uint64, c *kcrentry.Claim) Effect {
	plan, want := kcrid.Plan(c.GetPlan()), kcrid.Tokens(c.GetTokens())
	h := l.holder(writer)
	if want <= 0 || l.rules.IsFenced(h.Fenced) {
		return Effect{}
	}
	a := l.account(plan)
	got := l.rules.GrantSize(a.Available(), want)
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
	g.Bound, g.BoundSeq = boundFromEntry(c.GetBound()), seq
	a.Granted += got
	return eff
}

// mark records the reported spending and the bound of the writer's grant, and
// makes the returned part of the grant available.
func (l *Ledger) mark(writer kcrid.Incarnation, seq uint64, m *kcrentry.Mark) Effect {
	plan, returned := kcrid.Plan(m.GetPlan()), kcrid.Tokens(m.GetBack())
	g := l.grant(writer, plan)
	if g == nil || l.rules.IsFenced(l.holders[writer].Fenced) {
		return Effect{}
	}
	g.Spent = min(g.Amount, max(g.Spent, kcrid.Tokens(m.GetSpent())))
	g.Bound, g.BoundSeq = boundFromEntry(m.GetBound()), seq
	if returned < 0 || returned > g.Amount-g.knownSpent() {
		return Effect{Kind: Marked, Plan: plan, Holder: writer}
	}
	g.Amount -= returned
	l.account(plan).Granted -= returned
	return Effect{Kind: Marked, Plan: plan, Holder: writer, Tokens: returned}
}

// open lists sidecars that may hold reservations of the writer.
func (l *Ledger) open(writer kcrid.Incarnation, o *kcrentry.Open) Effect {
	h := l.holder(writer)
	if l.rules.IsFenced(h.Fenced) {
		return Effect{}
	}
	for _, s := range o.GetServers() {
		h.OpenServers[kcrid.Incarnation(s)] = true
	}
	return Effect{Kind: Opened, Holder: writer}
}

// close removes a sidecar from the writer's open sidecars and counts what was
// spent there.
func (l *Ledger) close(writer kcrid.Incarnation, c *kcrentry.Close) Effect {
	h := l.holder(writer)
	server := kcrid.Incarnation(c.GetServer())
	if l.rules.IsFenced(h.Fenced) || !h.OpenServers[server] {
		return Effect{}
	}
	delete(h.OpenServers, server)
	for _, u := range c.GetUsed() {
		if g := h.Grants[kcrid.Plan(u.GetPlan())]; g != nil && u.GetTokens() > 0 {
			g.ClosedSpent = min(g.Amount, g.ClosedSpent+kcrid.Tokens(u.GetTokens()))
		}
	}
	return Effect{Kind: Closed, Holder: writer}
}

// fence ends a holder's right to change its grants.
func (l *Ledger) fence(off kcrid.Offset, f *kcrentry.Fence) Effect {
	name := kcrid.Incarnation(f.GetHolder())
	h, ok := l.holders[name]
	if !ok || h.Fenced != 0 {
		return Effect{}
	}
	h.Fenced = off
	l.addFormerHolder(name)
	return Effect{Kind: Fenced, Holder: name}
}

// refund closes grants at their proven spending. A holder that is not fenced may
// close its own grants. The grants of a fenced holder close at the evidence that
// was gathered after the fence, which stays valid however late the record arrives.
func (l *Ledger) refund(writer kcrid.Incarnation, r *kcrentry.Refund) Effect {
	name := kcrid.Incarnation(r.GetHolder())
	h, ok := l.holders[name]
	if !ok {
		return Effect{}
	}
	own := writer == name && !l.rules.IsFenced(h.Fenced)
	proved := h.Fenced != 0 && kcrid.Offset(r.GetFence()) == h.Fenced
	if !own && !proved {
		return Effect{}
	}
	for _, u := range r.GetUsed() {
		l.settle(h, kcrid.Plan(u.GetPlan()), kcrid.Tokens(u.GetTokens()))
	}
	if own && len(h.Grants) == 0 {
		h.Fenced = l.lastOffset
		l.addFormerHolder(name)
	}
	return Effect{Kind: Refunded, Holder: name}
}

// settle closes the grant for a plan: the used tokens count as settled, and the
// rest becomes available.
func (l *Ledger) settle(h *Holder, plan kcrid.Plan, used kcrid.Tokens) {
	g := h.Grants[plan]
	if g == nil {
		return
	}
	used = min(g.Amount, max(used, g.knownSpent()))
	a := l.account(plan)
	a.Granted -= g.Amount
	a.Settled += used
	delete(h.Grants, plan)
}

// addFormerHolder records that a holder was fenced or closed. Above the limit it
// forgets the oldest such holder, unless that holder still has grants.
func (l *Ledger) addFormerHolder(name kcrid.Incarnation) {
	l.formerHolders = append(l.formerHolders, name)
	if len(l.formerHolders) <= maxFormerHolders {
		return
	}
	oldest := l.formerHolders[0]
	l.formerHolders = l.formerHolders[1:]
	if h := l.holders[oldest]; h != nil && len(h.Grants) > 0 {
		l.formerHolders = append(l.formerHolders, oldest)
		return
	}
	delete(l.holders, oldest)
	delete(l.seen, oldest)
}

// sortedKeys returns the keys of a map, sorted. Records that are made for each key are
// in the same order each time, so that equal schedules give equal streams.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// OtherHolders returns the holders other than self that have open grants, sorted.
func (l *Ledger) OtherHolders(self kcrid.Incarnation) (holders []kcrid.Incarnation) {
	for _, name := range sortedKeys(l.holders) {
		if name != self && len(l.holders[name].Grants) > 0 {
			holders = append(holders, name)
		}
	}
	return holders
}

// Holder returns the state of a holder, or nil if it is unknown. The caller must
// not change it.
func (l *Ledger) Holder(name kcrid.Incarnation) *Holder { return l.holders[name] }

// Plans returns the plans that have an account, sorted.
func (l *Ledger) Plans() []kcrid.Plan { return sortedKeys(l.accounts) }

// ledgerSnapshot is the JSON form of a ledger snapshot.
type ledgerSnapshot struct {
	At       kcrid.Offset                  `json:"at"`
	Era      uint64                        `json:"era,omitempty"`
	Restored bool                          `json:"restored,omitempty"`
	Seen     kcrlog.Deduplicator           `json:"seen"`
	Accounts map[kcrid.Plan]*Account       `json:"accounts"`
	Holders  map[kcrid.Incarnation]*Holder `json:"holders"`
	Former   []kcrid.Incarnation           `json:"former,omitempty"`
}

// Snapshot encodes the state at offset At. Equal ledgers give equal bytes.
func (l *Ledger) Snapshot() (at kcrid.Offset, data []byte, err error) {
	data, err = json.Marshal(ledgerSnapshot{At: l.lastOffset, Era: l.era, Restored: l.restored, Seen: l.seen, Accounts: l.accounts, Holders: l.holders, Former: l.formerHolders})
	return l.lastOffset, data, err
}

// Restore loads a snapshot if it is newer than the ledger, and reports whether it
// did. A snapshot of a later era is newer whatever its offset.
func (l *Ledger) Restore(data []byte) (newer bool, err error) {
	fresh := NewLedger(l.rules)
	snapshot := ledgerSnapshot{Seen: fresh.seen, Accounts: fresh.accounts, Holders: fresh.holders}
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return false, err
	}
	if snapshot.Era < l.era || snapshot.Era == l.era && snapshot.At <= l.lastOffset {
		return false, nil
	}
	for _, h := range snapshot.Holders {
		if h.OpenServers == nil {
			h.OpenServers = map[kcrid.Incarnation]bool{}
		}
		if h.Grants == nil {
			h.Grants = map[kcrid.Plan]*Grant{}
		}
	}
	for _, a := range snapshot.Accounts {
		if a.Credits == nil {
			a.Credits = map[string]kcrid.Tokens{}
		}
	}
	l.era, l.restored = snapshot.Era, snapshot.Restored
	l.lastOffset, l.seen, l.accounts, l.holders, l.formerHolders = snapshot.At, snapshot.Seen, snapshot.Accounts, snapshot.Holders, snapshot.Former
	return true, nil
}
