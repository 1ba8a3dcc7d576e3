// Package kcrintent ensures that a non-idempotent call runs at most once,
// whichever processes it reaches, without a clock and without a lock service.
//
// Before a sidecar passes a call to its upstream, it appends a claim, an Intent
// record, to the stream of its service. It runs the call only if that claim is
// the first in the stream. To refuse a call for good, a process appends a Bar
// record to the same stream, so that a copy of the call that is still in flight
// cannot run later.
package kcrintent

import (
	"encoding/json"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines Book, the state of the calls of one service, computed by
// applying the records of its stream in order. Invariants: a call is claimed by
// at most one writer; a barred call is never claimed; a call that arrived before
// the horizon, the highest offset of a call that the book has removed, cannot be
// claimed at all.

// State is the state of a call in a book.
type State int

// The states of a call.
const (
	Unrecorded State = iota // the book holds no record of the call
	Claimed                 // a writer has the sole right to run the call
	Barred                  // the call has not run and must never run
	Done                    // the call has run, or may have run if its answer is lost
)

// CallState is what a book holds about one call.
type CallState struct {
	State       State             `json:"state"`
	Claimant    kcrid.Incarnation `json:"by,omitempty"`     // writer of the claim
	Offset      kcrid.Offset      `json:"at"`               // offset of the claim or bar
	Digest      uint64            `json:"digest,omitempty"` // hash of the claimed request
	Status      int               `json:"status,omitempty"` // HTTP status of the answer
	ContentType string            `json:"type,omitempty"`   // content type of the answer
	Body        []byte            `json:"body,omitempty"`
	AnswerLost  bool              `json:"lost,omitempty"` // the call is Done, but its answer is not known
}

// Rules holds decisions of Book as functions, so that a test can replace one and
// check that the invariants then fail.
type Rules struct {
	// CanClaim tells whether an intent may claim a call in this state.
	CanClaim func(State) bool
	// WithinHorizon tells whether a call may be claimed that arrived when the stream
	// had reached offset seen. The horizon is the highest offset of a call that
	// the book has removed: an older call may have been one of those.
	WithinHorizon func(seen, horizon kcrid.Offset) bool
	// CanBar tells whether a bar takes effect on a call in state s. Own is true if
	// the writer of the bar also wrote the claim.
	CanBar func(s State, own bool) bool
}

// DefaultRules returns the rules that production uses.
func DefaultRules() Rules {
	return Rules{
		CanClaim:      func(s State) bool { return s == Unrecorded },
		WithinHorizon: func(seen, horizon kcrid.Offset) bool { return seen >= horizon },
		CanBar:        func(s State, own bool) bool { return s == Unrecorded || (s == Claimed && own) },
	}
}

// MaxCalls is the maximum number of calls that a book holds in production.
const MaxCalls = 100_000

// CallTable holds the latest calls of one service. It is not safe for concurrent use;
// Desk guards its book with a mutex.
type CallTable struct {
	rules   Rules
	memory  int                 // maximum number of calls
	at      kcrid.Offset        // offset of the last record applied
	seen    kcrlog.Deduplicator // last sequence applied of each writer
	calls   map[kcrid.CallID]*CallState
	order   []kcrid.CallID // keys of calls, ordered by their first record
	horizon kcrid.Offset   // highest offset of a call that was removed
}

// NewCallTable returns an empty book that holds at most memory calls.
func NewCallTable(rules Rules, memory int) *CallTable {
	return &CallTable{rules: rules, memory: memory, seen: kcrlog.Deduplicator{}, calls: map[kcrid.CallID]*CallState{}}
}

// At returns the offset of the last record applied.
func (b *CallTable) At() kcrid.Offset { return b.at }

// Call returns what the book holds about a call, the zero Call if it holds
// nothing.
func (b *CallTable) Call(id kcrid.CallID) CallState {
	if call, ok := b.calls[id]; ok {
		return *call
	}
	return CallState{}
}

// Apply applies the record at an offset. It ignores a record at or below At and
// a repeated append.
func (b *CallTable) Apply(off kcrid.Offset, e *kcrentry.Entry) {
	if off <= b.at {
		return
	}
	b.at = off
	writer := kcrid.Incarnation(e.GetWriter())
	if !b.seen.Accept(writer, e.GetSeq()) {
		return
	}
	switch k := e.GetKind().(type) {
	case *kcrentry.Entry_Intent:
		b.applyIntent(off, writer, k.Intent)
	case *kcrentry.Entry_Bar:
		b.applyBar(off, writer, k.Bar)
	case *kcrentry.Entry_Done:
		b.applyDone(writer, k.Done)
	}
}

// callOf returns the identifier of a call from the fields of a record.
func callOf(team, key string) kcrid.CallID {
	return kcrid.CallID{Team: kcrid.Team(team), Key: kcrid.IdempotencyKey(key)}
}

// state returns the state of a call, Unheard if the book holds nothing about it.
func (b *CallTable) state(id kcrid.CallID) State {
	if call, ok := b.calls[id]; ok {
		return call.State
	}
	return Unrecorded
}

// applyIntent gives the writer the sole right to run a call, if the rules allow
// it.
func (b *CallTable) applyIntent(off kcrid.Offset, writer kcrid.Incarnation, r *kcrentry.Intent) {
	id := callOf(r.GetTeam(), r.GetKey())
	if !b.rules.CanClaim(b.state(id)) || !b.rules.WithinHorizon(kcrid.Offset(r.GetSeen()), b.horizon) {
		return
	}
	b.put(id, &CallState{State: Claimed, Claimant: writer, Offset: off, Digest: r.GetDigest()})
}

// applyBar bars a call, if the rules allow it.
func (b *CallTable) applyBar(off kcrid.Offset, writer kcrid.Incarnation, r *kcrentry.Bar) {
	id := callOf(r.GetTeam(), r.GetKey())
	own := b.calls[id] != nil && b.calls[id].Claimant == writer
	if b.rules.CanBar(b.state(id), own) {
		b.put(id, &CallState{State: Barred, Offset: off})
	}
}

// applyDone stores the answer of a call that the writer had claimed.
func (b *CallTable) applyDone(writer kcrid.Incarnation, r *kcrentry.Done) {
	call := b.calls[callOf(r.GetTeam(), r.GetKey())]
	if call == nil || call.State != Claimed || call.Claimant != writer {
		return
	}
	call.State, call.AnswerLost = Done, r.GetLost()
	call.Status, call.ContentType, call.Body = int(r.GetStatus()), r.GetType(), r.GetBody()
}

// put stores a call, and removes the oldest calls if there are more than memory.
func (b *CallTable) put(id kcrid.CallID, call *CallState) {
	if b.calls[id] == nil {
		b.order = append(b.order, id)
	}
	b.calls[id] = call
	for len(b.order) > b.memory {
		oldest := b.order[0]
		b.order = b.order[1:]
		b.horizon = max(b.horizon, b.calls[oldest].Offset)
		delete(b.calls, oldest)
	}
}

// bookSnapshot is the JSON form of a book.
type bookSnapshot struct {
	At      kcrid.Offset        `json:"at"`
	Seen    kcrlog.Deduplicator `json:"seen"`
	Horizon kcrid.Offset        `json:"horizon"`
	Keys    []kcrid.CallID      `json:"keys"`
	Calls   []*CallState        `json:"calls"`
}

// Snapshot returns the encoded book and the offset of the last record in it.
// Equal books give equal bytes.
func (b *CallTable) Snapshot() (kcrid.Offset, []byte, error) {
	snapshot := bookSnapshot{At: b.at, Seen: b.seen, Horizon: b.horizon, Keys: b.order}
	for _, id := range b.order {
		snapshot.Calls = append(snapshot.Calls, b.calls[id])
	}
	data, err := json.Marshal(snapshot)
	return b.at, data, err
}

// Restore replaces the state of the book by a snapshot if the snapshot is newer,
// and tells whether it did.
func (b *CallTable) Restore(data []byte) (newer bool, err error) {
	snapshot := bookSnapshot{Seen: kcrlog.Deduplicator{}}
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return false, err
	}
	if snapshot.At <= b.at || len(snapshot.Keys) != len(snapshot.Calls) {
		return false, nil
	}
	b.at, b.seen, b.horizon, b.order = snapshot.At, snapshot.Seen, snapshot.Horizon, snapshot.Keys
	b.calls = make(map[kcrid.CallID]*CallState, len(snapshot.Keys))
	for i, id := range snapshot.Keys {
		b.calls[id] = snapshot.Calls[i]
	}
	return true, nil
}
