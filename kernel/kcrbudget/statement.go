package kcrbudget

import (
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the statement: the bill of one plan, request by request.
// Invariants: a request is billed once, however often its record was written and
// however often it ran; a complete answer replaces a broken one of the same request.

// Item is a billed request.
type Item struct {
	Call    kcrid.CallID
	Tokens  kcrid.Tokens
	Server  kcrid.Incarnation
	Outcome RunOutcome
}

// Statement collects the billing records of one plan.
type Statement struct {
	plan        kcrid.Plan
	firstOffset kcrid.Offset // first offset that the log retains
	seen        kcrlog.Deduplicator
	items       map[kcrid.CallID]*Item
	order       []kcrid.CallID // the keys of items in log order
	rerunTokens kcrid.Tokens   // served by further runs of billed requests, not billed
}

// NewStatement returns an empty statement.
func NewStatement(p kcrid.Plan) *Statement {
	return &Statement{plan: p, seen: kcrlog.Deduplicator{}, items: map[kcrid.CallID]*Item{}}
}

// SetFirstOffset sets the first offset that the log retains.
func (s *Statement) SetFirstOffset(off kcrid.Offset) { s.firstOffset = off }

// FirstOffset returns the first offset that the statement covers.
func (s *Statement) FirstOffset() kcrid.Offset { return s.firstOffset }

// Apply applies one record.
func (s *Statement) Apply(e *kcrentry.Entry) {
	b := e.GetBill()
	if !s.seen.Accept(kcrid.Incarnation(e.GetWriter()), e.GetSeq()) || b == nil || kcrid.Plan(b.GetPlan()) != s.plan {
		return
	}
	item := &Item{
		Call:   kcrid.CallID{Team: kcrid.Team(b.GetTeam()), Key: kcrid.IdempotencyKey(b.GetKey())},
		Tokens: kcrid.Tokens(b.GetTokens()), Server: kcrid.Incarnation(b.GetServer()), Outcome: RunOutcome(b.GetState()),
	}
	old, ok := s.items[item.Call]
	switch {
	case !ok:
		s.items[item.Call] = item
		s.order = append(s.order, item.Call)
	case *old == *item:
	case old.Outcome == Broken && item.Outcome == Complete:
		s.rerunTokens += old.Tokens
		*old = *item
	default:
		s.rerunTokens += item.Tokens
	}
}

// Items returns the billed requests in log order.
func (s *Statement) Items() (items []Item) {
	for _, c := range s.order {
		items = append(items, *s.items[c])
	}
	return items
}

// Total returns the sum of the billed tokens. rerunTokens is what further runs of
// the same requests served, which is not billed.
func (s *Statement) Total() (billed, rerunTokens kcrid.Tokens) {
	for _, item := range s.items {
		billed += item.Tokens
	}
	return billed, s.rerunTokens
}
