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

// This file defines CallTable, the state of the calls of one service, computed by
// applying the records of its stream in order. Invariants: a call is claimed by
// at most one writer; a barred call is never claimed; a call that arrived before
// the horizon, the highest offset of a call that the table has removed, cannot be
// claimed at all.

// State is the state of a call in a table.
type State int

// The states of a call.
const (
	Unrecorded State = iota // the table holds no record of the call
	Claimed                 // a writer has the sole right to run the call
	Barred                  // the call has not run and must never run
	Done                    // the call has run, or may have run if its answer is lost
)

// CallState is what a table holds about one call.
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

// Rules holds decisions of CallTable as functions, so that a test can replace one and
// check that the invariants then fail.
type Rules struct {
	// CanClaim tells whether an Intent record may claim a call in this state.
	CanClaim func(State) bool
	// WithinHorizon tells whether a call may be claimed that arrived when the stream
	// had reached offset seen. The horizon is the highest offset of a call that
	// the table has removed: an older call may have been one of those.
	WithinHorizon func(seen, horizon kcrid.Offset) bool
	// CanBar tells whether a bar takes effect on a call in state s. own is true if
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

// MaxCalls is the maximum number of calls that a table holds in production.
const MaxCalls = 100_000

// CallTable holds the latest calls of one service. It is not safe for concurrent use;
// Claimer guards its table with a mutex.
type CallTable struct {
	rules    Rules
	maxCalls int                 // maximum number of calls
	at       kcrid.Offset        // offset of the last record applied
	seen     kcrlog.Deduplicator // last sequence applied of each writer
	calls    map[kcrid.CallID]*CallState
	order    []kcrid.CallID // keys of calls, ordered by their first record
	horizon  kcrid.Offset   // highest offset of a call that was removed
}

// NewCallTable returns an empty table that holds at most maxCalls calls.
func NewCallTable(rules Rules, maxCalls int) *CallTable {
	return &CallTable{rules: rules, maxCalls: maxCalls, seen: kcrlog.Deduplicator{}, calls: map[kcrid.CallID]*CallState{}}
}

// At returns the offset of the last record applied.
func (t *CallTable) At() kcrid.Offset { return t.at }

// Call returns what the table holds about a call, the zero CallState if it holds
// nothing.
func (t *CallTable) Call(id kcrid.CallID) CallState {
	if call, ok := t.calls[id]; ok {
		return *call
	}
	return CallState{}
}

// Apply applies the record at an offset. It ignores a record at or below At and
// a repeated append.
func (t *CallTable) Apply(off kcrid.Offset, e *kcrentry.Entry) {
	if off <= t.at {
		return
	}
	t.at = off
	writer := kcrid.Incarnation(e.GetWriter())
	if !t.seen.Accept(writer, e.GetSeq()) {
		return
	}
	switch k := e.GetKind().(type) {
	case *kcrentry.Entry_Intent:
		t.applyIntent(off, writer, k.Intent)
	case *kcrentry.Entry_Bar:
		t.applyBar(off, writer, k.Bar)
	case *kcrentry.Entry_Done:
		t.applyDone(writer, k.Done)
	}
}

// callOf returns the identifier of a call from the fields of a record.
func callOf(team, key string) kcrid.CallID {
	return kcrid.CallID{Team: kcrid.Team(team), Key: kcrid.IdempotencyKey(key)}
}

// state returns the state of a call, Unrecorded if the table holds nothing about it.
func (t *CallTable) state(id kcrid.CallID) State {
	if call, ok := t.calls[id]; ok {
		return call.State
	}
	return Unrecorded
}

// applyIntent gives the writer the sole right to run a call, if the rules allow
// it.
func (t *CallTable) applyIntent(off kcrid.Offset, writer kcrid.Incarnation, r *kcrentry.Intent) {
	id := callOf(r.GetTeam(), r.GetKey())
	if !t.rules.CanClaim(t.state(id)) || !t.rules.WithinHorizon(kcrid.Offset(r.GetSeen()), t.horizon) {
		return
	}
	t.put(id, &CallState{State: Claimed, Claimant: writer, Offset: off, Digest: r.GetDigest()})
}

// applyBar bars a call, if the rules allow it.
func (t *CallTable) applyBar(off kcrid.Offset, writer kcrid.Incarnation, r *kcrentry.Bar) {
	id := callOf(r.GetTeam(), r.GetKey())
	own := t.calls[id] != nil && t.calls[id].Claimant == writer
	if t.rules.CanBar(t.state(id), own) {
		t.put(id, &CallState{State: Barred, Offset: off})
	}
}

// applyDone stores the answer of a call that the writer had claimed.
func (t *CallTable) applyDone(writer kcrid.Incarnation, r *kcrentry.Done) {
	call := t.calls[callOf(r.GetTeam(), r.GetKey())]
	if call == nil || call.State != Claimed || call.Claimant != writer {
		return
	}
	call.State, call.AnswerLost = Done, r.GetLost()
	call.Status, call.ContentType, call.Body = int(r.GetStatus()), r.GetType(), r.GetBody()
}

// put stores a call, and removes the oldest calls if there are more than maxCalls.
func (t *CallTable) put(id kcrid.CallID, call *CallState) {
	if t.calls[id] == nil {
		t.order = append(t.order, id)
	}
	t.calls[id] = call
	for len(t.order) > t.maxCalls {
		oldest := t.order[0]
		t.order = t.order[1:]
		t.horizon = max(t.horizon, t.calls[oldest].Offset)
		delete(t.calls, oldest)
	}
}

// callTableSnapshot is the JSON form of a table.
type callTableSnapshot struct {
	At      kcrid.Offset        `json:"at"`
	Seen    kcrlog.Deduplicator `json:"seen"`
	Horizon kcrid.Offset        `json:"horizon"`
	Keys    []kcrid.CallID      `json:"keys"`
	Calls   []*CallState        `json:"calls"`
}

// Snapshot returns the encoded table and the offset of the last record in it.
// Equal tables give equal bytes.
func (t *CallTable) Snapshot() (kcrid.Offset, []byte, error) {
	snapshot := callTableSnapshot{At: t.at, Seen: t.seen, Horizon: t.horizon, Keys: t.order}
	for _, id := range t.order {
		snapshot.Calls = append(snapshot.Calls, t.calls[id])
	}
	data, err := json.Marshal(snapshot)
	return t.at, data, err
}

// Restore replaces the state of the table by a snapshot if the snapshot is newer,
// and tells whether it did.
func (t *CallTable) Restore(data []byte) (newer bool, err error) {
	snapshot := callTableSnapshot{Seen: kcrlog.Deduplicator{}}
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return false, err
	}
	if snapshot.At <= t.at || len(snapshot.Keys) != len(snapshot.Calls) {
		return false, nil
	}
	t.at, t.seen, t.horizon, t.order = snapshot.At, snapshot.Seen, snapshot.Horizon, snapshot.Keys
	t.calls = make(map[kcrid.CallID]*CallState, len(snapshot.Keys))
	for i, id := range snapshot.Keys {
		t.calls[id] = snapshot.Calls[i]
	}
	return true, nil
}
