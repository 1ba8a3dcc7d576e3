package kcrbudget

import (
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the statement: what a team is billed, request by request.
// Invariants: a request is billed once, however often its line was written and
// however often it ran; a whole answer replaces a broken one of the same
// request.

// Item is a billed request.
type Item struct {
	Call   kcrid.Call
	Tokens kcrid.Tokens
	Server kcrid.Incarnation
	State  State
}

// Statement folds the lines of one plan.
type Statement struct {
	plan  kcrid.Plan
	from  kcrid.Offset
	seen  kcrlog.Seen
	items map[kcrid.Call]*Item
	order []kcrid.Call
	again kcrid.Tokens
}

// NewStatement returns a statement without lines.
func NewStatement(p kcrid.Plan) *Statement {
	return &Statement{plan: p, seen: kcrlog.Seen{}, items: map[kcrid.Call]*Item{}}
}

// From notes the first offset that is retained.
func (s *Statement) From(off kcrid.Offset) { s.from = off }

// First returns the first offset that the statement covers.
func (s *Statement) First() kcrid.Offset { return s.from }

// Apply folds one record.
func (s *Statement) Apply(e *kcrentry.Entry) {
	b := e.GetBill()
	if !s.seen.Fresh(kcrid.Incarnation(e.GetWriter()), e.GetSeq()) || b == nil || kcrid.Plan(b.GetPlan()) != s.plan {
		return
	}
	it := &Item{
		Call:   kcrid.Call{Team: kcrid.Team(b.GetTeam()), Key: kcrid.Key(b.GetKey())},
		Tokens: kcrid.Tokens(b.GetTokens()), Server: kcrid.Incarnation(b.GetServer()), State: State(b.GetState()),
	}
	old, ok := s.items[it.Call]
	switch {
	case !ok:
		s.items[it.Call] = it
		s.order = append(s.order, it.Call)
	case *old == *it:
	case old.State == Broken && it.State == Whole:
		s.again += old.Tokens
		*old = *it
	default:
		s.again += it.Tokens
	}
}

// Items returns the billed requests in the order of the log.
func (s *Statement) Items() (out []Item) {
	for _, c := range s.order {
		out = append(out, *s.items[c])
	}
	return out
}

// Total returns the sum of the billed tokens; again is what was served besides
// for requests that ran more than once, which is not billed.
func (s *Statement) Total() (billed, again kcrid.Tokens) {
	for _, it := range s.items {
		billed += it.Tokens
	}
	return billed, s.again
}
