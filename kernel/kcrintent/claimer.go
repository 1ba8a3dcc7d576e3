package kcrintent

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines Desk, which combines the book of a service with the claims
// and bars that this sidecar itself has made. Invariants: Run returns true at most
// once for a call, and never after the call was abandoned.

// Progress is the state of a call as one sidecar sees it.
type Progress int

// The values of Progress.
const (
	Unresolved Progress = iota + 1 // the book holds no claim or bar of the call yet
	OwnClaim                       // this process holds the claim and may run the call
	OtherClaim                     // another process holds the claim; the outcome is unknown
	Refused                        // the call is barred: it did not run, and will not
	Finished                       // the call ran; its answer is stored unless it was lost
	Forgotten                      // the call is too old: its claim was ignored, or the book has removed it
)

// progressNames are the names of the values in logs.
var progressNames = [...]string{"none", "waiting", "mine", "elsewhere", "refused", "finished", "expired"}

// String returns the name that logs use.
func (p Progress) String() string { return progressNames[p] }

// localCall is what this sidecar has done about a call.
type localCall struct {
	seq       uint64 // sequence of the last claim or bar of this process
	started   bool   // Run returned true
	abandoned bool   // the call must not start here
}

// Claimer decides whether this sidecar may run a call. It is safe for concurrent
// use.
type Claimer struct {
	self kcrid.Incarnation

	mu         sync.Mutex
	ready      bool // the book has reached the end of the stream
	book       *CallTable
	outbox     *kcrlog.Outbox // records that the log has not confirmed
	localCalls map[kcrid.CallID]*localCall
}

// NewClaimer returns a desk with an empty book that holds at most memory calls. Until
// Ready is called, after the stream was applied up to its end, a call that the
// book does not hold is Waiting.
func NewClaimer(self kcrid.Incarnation, rules Rules, memory int) *Claimer {
	return &Claimer{
		self:       self,
		book:       NewCallTable(rules, memory),
		outbox:     kcrlog.NewOutbox(self),
		localCalls: map[kcrid.CallID]*localCall{},
	}
}

// MarkReady tells the desk that its book has reached the end of the stream.
func (d *Claimer) MarkReady() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = true
}

// At returns the offset of the last record applied.
func (d *Claimer) At() kcrid.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.At()
}

// Claim queues a claim of the sole right to run a call that arrived when the
// stream had reached offset seen. Digest is the hash of the request. Ask tells the
// outcome. A second claim has no effect.
func (d *Claimer) Claim(id kcrid.CallID, seen kcrid.Offset, digest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.localCalls[id] != nil || d.book.Call(id).State != Unrecorded {
		return
	}
	seq := d.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Intent{Intent: &kcrentry.Intent{
		Team: string(id.Team), Key: string(id.Key), Seen: uint64(seen), Digest: digest,
	}}})
	d.localCalls[id] = &localCall{seq: seq}
}

// Progress returns the progress of a call and what the book holds about it.
func (d *Claimer) Progress(id kcrid.CallID) (Progress, CallState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ask(id)
}

// ask is Ask for callers that hold the mutex.
func (d *Claimer) ask(id kcrid.CallID) (Progress, CallState) {
	call, local := d.book.Call(id), d.localCalls[id]
	switch call.State {
	case Barred:
		return Refused, call
	case Done:
		return Finished, call
	case Claimed:
		if call.Claimant == d.self && local != nil {
			return OwnClaim, call
		}
		return OtherClaim, call
	}
	if !d.ready || (local != nil && local.seq > d.confirmed()) {
		return Unresolved, call
	}
	if local != nil {
		return Forgotten, call
	}
	return Unresolved, call
}

// confirmed returns the sequence of the last record of this process that the book applied.
func (d *Claimer) confirmed() uint64 { return d.book.seen[d.self] }

// TryStart tells whether the caller must pass the call to the upstream now. Only the
// first caller gets true.
func (d *Claimer) TryStart(id kcrid.CallID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	progress, _ := d.ask(id)
	local := d.localCalls[id]
	if progress != OwnClaim || local.started || local.abandoned {
		return false
	}
	local.started = true
	return true
}

// Abandon prevents this sidecar from starting the call. It returns false if the
// call has started already.
func (d *Claimer) Abandon(id kcrid.CallID) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	local := d.localCalls[id]
	if local == nil {
		local = &localCall{}
		d.localCalls[id] = local
	}
	if local.started {
		return false
	}
	local.abandoned = true
	return true
}

// UndoStart undoes the start of a call that provably did not reach the upstream,
// and abandons it, so that it can be barred.
func (d *Claimer) UndoStart(id kcrid.CallID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if local := d.localCalls[id]; local != nil {
		local.started, local.abandoned = false, true
	}
}

// Bar queues a record that prevents a call from running anywhere, unless the call
// has started here. Ask tells the outcome.
func (d *Claimer) Bar(id kcrid.CallID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	local := d.localCalls[id]
	if local == nil {
		local = &localCall{}
		d.localCalls[id] = local
	}
	if local.started {
		return
	}
	local.abandoned = true
	local.seq = d.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Bar{Bar: &kcrentry.Bar{
		Team: string(id.Team), Key: string(id.Key),
	}}})
}

// Finish queues a record with the answer of a call that ran here. Lost means that
// the upstream received the call and its answer is not known.
func (d *Claimer) Finish(id kcrid.CallID, status int, contentType string, body []byte, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Done{Done: &kcrentry.Done{
		Team: string(id.Team), Key: string(id.Key), Status: int32(status), Type: contentType, Body: body, Lost: lost,
	}}})
}

// Apply applies one record of the service's stream. A record of this process is
// confirmed by it and leaves the outbox.
func (d *Claimer) Apply(_ kcrclock.Time, off kcrid.Offset, e *kcrentry.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Apply(off, e)
	if kcrid.Incarnation(e.GetWriter()) == d.self {
		d.outbox.Confirm(e.GetSeq())
	}
}

// Batch returns the queued records and the sequence of the last one; see
// kcrlog.Outbox.Batch.
func (d *Claimer) Batch(limit int) ([][]byte, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outbox.Batch(limit)
}

// Snapshot returns the encoded book; see Book.Snapshot.
func (d *Claimer) Snapshot() (kcrid.Offset, []byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Snapshot()
}

// Restore loads a snapshot of the book if it is newer; see Book.Restore.
func (d *Claimer) Restore(data []byte) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Restore(data)
}
