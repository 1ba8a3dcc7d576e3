// Package kcrintent lets a non-idempotent call run at most once, whichever
// processes it reaches, without a clock and without a lock service.
//
// A sidecar claims a call on the stream of its service before it passes the
// call on, and runs it only if the fold says that its claim was the first. A
// refusal bars the call by the same means, so "not run" stays true even for a
// copy that is still in flight.
package kcrintent

import (
	"encoding/json"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the book: the fold of a service's intents. Invariants: a
// call is claimed by at most one writer; a barred call is never claimed; a
// call older than the book's memory cannot be claimed at all.

// State is what the book says of a call.
type State int

// The states.
const (
	Unheard State = iota
	Claimed
	Barred
	Done
)

// Call is the entry of a call. A call that is Done has its answer, unless the
// claimant lost it.
type Call struct {
	State  State             `json:"state"`
	By     kcrid.Incarnation `json:"by,omitempty"`
	At     kcrid.Offset      `json:"at"`
	Digest uint64            `json:"digest,omitempty"`
	Status int               `json:"status,omitempty"`
	Type   string            `json:"type,omitempty"`
	Body   []byte            `json:"body,omitempty"`
	Lost   bool              `json:"lost,omitempty"`
}

// Rules are the decisions of a book that a test can take out.
type Rules struct {
	// First tells whether an intent may claim a call in this state.
	First func(State) bool
	// Recent tells whether a call arrived within the book's memory.
	Recent func(seen, horizon kcrid.Offset) bool
	// Bars tells whether a bar takes effect. Own is set for the claimant.
	Bars func(s State, own bool) bool
}

// DefaultRules returns the rules that hold in production.
func DefaultRules() Rules {
	return Rules{
		First:  func(s State) bool { return s == Unheard },
		Recent: func(seen, horizon kcrid.Offset) bool { return seen >= horizon },
		Bars:   func(s State, own bool) bool { return s == Unheard || (s == Claimed && own) },
	}
}

// Memory is the number of calls that a book remembers.
const Memory = 100_000

// Book is the fold of the intents of one service. It is not safe for
// concurrent use; Desk guards its own.
type Book struct {
	rules   Rules
	memory  int
	at      kcrid.Offset
	seen    kcrlog.Seen
	calls   map[kcrid.Call]*Call
	order   []kcrid.Call
	horizon kcrid.Offset
}

// NewBook returns an empty book that remembers so many calls.
func NewBook(rules Rules, memory int) *Book {
	return &Book{rules: rules, memory: memory, seen: kcrlog.Seen{}, calls: map[kcrid.Call]*Call{}}
}

// At returns the offset of the last record applied.
func (b *Book) At() kcrid.Offset { return b.at }

// Call returns the entry of a call; the zero Call if there is none.
func (b *Book) Call(c kcrid.Call) Call {
	if e, ok := b.calls[c]; ok {
		return *e
	}
	return Call{}
}

// Apply folds one record. A record at or below At is ignored.
func (b *Book) Apply(off kcrid.Offset, e *kcrentry.Entry) {
	if off <= b.at {
		return
	}
	b.at = off
	writer := kcrid.Incarnation(e.GetWriter())
	if !b.seen.Fresh(writer, e.GetSeq()) {
		return
	}
	switch k := e.GetKind().(type) {
	case *kcrentry.Entry_Intent:
		b.intent(off, writer, k.Intent)
	case *kcrentry.Entry_Bar:
		b.bar(off, writer, k.Bar)
	case *kcrentry.Entry_Done:
		b.done(writer, k.Done)
	}
}

func callOf(team, key string) kcrid.Call {
	return kcrid.Call{Team: kcrid.Team(team), Key: kcrid.Key(key)}
}

func (b *Book) state(c kcrid.Call) State {
	if e, ok := b.calls[c]; ok {
		return e.State
	}
	return Unheard
}

func (b *Book) intent(off kcrid.Offset, writer kcrid.Incarnation, r *kcrentry.Intent) {
	c := callOf(r.GetTeam(), r.GetKey())
	if !b.rules.First(b.state(c)) || !b.rules.Recent(kcrid.Offset(r.GetSeen()), b.horizon) {
		return
	}
	b.put(c, &Call{State: Claimed, By: writer, At: off, Digest: r.GetDigest()})
}

func (b *Book) bar(off kcrid.Offset, writer kcrid.Incarnation, r *kcrentry.Bar) {
	c := callOf(r.GetTeam(), r.GetKey())
	own := b.calls[c] != nil && b.calls[c].By == writer
	if b.rules.Bars(b.state(c), own) {
		b.put(c, &Call{State: Barred, At: off})
	}
}

func (b *Book) done(writer kcrid.Incarnation, r *kcrentry.Done) {
	e := b.calls[callOf(r.GetTeam(), r.GetKey())]
	if e == nil || e.State != Claimed || e.By != writer {
		return
	}
	e.State, e.Lost = Done, r.GetLost()
	e.Status, e.Type, e.Body = int(r.GetStatus()), r.GetType(), r.GetBody()
}

func (b *Book) put(c kcrid.Call, e *Call) {
	if b.calls[c] == nil {
		b.order = append(b.order, c)
	}
	b.calls[c] = e
	for len(b.order) > b.memory {
		oldest := b.order[0]
		b.order = b.order[1:]
		b.horizon = max(b.horizon, b.calls[oldest].At)
		delete(b.calls, oldest)
	}
}

// bookImage is the snapshot form of a book.
type bookImage struct {
	At      kcrid.Offset `json:"at"`
	Seen    kcrlog.Seen  `json:"seen"`
	Horizon kcrid.Offset `json:"horizon"`
	Keys    []kcrid.Call `json:"keys"`
	Calls   []*Call      `json:"calls"`
}

// Snapshot returns the state as of At. Equal books give equal bytes.
func (b *Book) Snapshot() (kcrid.Offset, []byte, error) {
	img := bookImage{At: b.at, Seen: b.seen, Horizon: b.horizon, Keys: b.order}
	for _, c := range b.order {
		img.Calls = append(img.Calls, b.calls[c])
	}
	data, err := json.Marshal(img)
	return b.at, data, err
}

// Restore loads a snapshot if it is newer than the book, and tells whether it
// did.
func (b *Book) Restore(data []byte) (newer bool, err error) {
	img := bookImage{Seen: kcrlog.Seen{}}
	if err := json.Unmarshal(data, &img); err != nil {
		return false, err
	}
	if img.At <= b.at || len(img.Keys) != len(img.Calls) {
		return false, nil
	}
	b.at, b.seen, b.horizon, b.order = img.At, img.Seen, img.Horizon, img.Keys
	b.calls = make(map[kcrid.Call]*Call, len(img.Keys))
	for i, c := range img.Keys {
		b.calls[c] = img.Calls[i]
	}
	return true, nil
}
