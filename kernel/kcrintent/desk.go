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
	Waiting   Progress = iota + 1 // the book holds no claim or bar of the call yet
	Mine                          // this process holds the claim and may run the call
	Elsewhere                     // another process holds the claim; the outcome is unknown
	Refused                       // the call is barred: it did not run, and will not
	Finished                      // the call ran; its answer is stored unless it was lost
	Expired                       // the call is too old: its claim was ignored, or the book has removed it
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

// Desk decides whether this sidecar may run a call. It is safe for concurrent
// use.
type Desk struct {
	self kcrid.Incarnation

	mu         sync.Mutex
	ready      bool // the book has reached the end of the stream
	book       *Book
	outbox     *kcrlog.Outbox // records that the log has not confirmed
	localCalls map[kcrid.Call]*localCall
}

// NewDesk returns a desk with an empty book that holds at most memory calls. Until
// Ready is called, after the stream was applied up to its end, a call that the
// book does not hold is Waiting.
func NewDesk(self kcrid.Incarnation, rules Rules, memory int) *Desk {
	return &Desk{
		self:       self,
		book:       NewBook(rules, memory),
		outbox:     kcrlog.NewOutbox(self),
		localCalls: map[kcrid.Call]*localCall{},
	}
}

// Ready tells the desk that its book has reached the end of the stream.
func (d *Desk) Ready() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready = true
}

// At returns the offset of the last record applied.
func (d *Desk) At() kcrid.Offset {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.At()
}

// Claim queues a claim of the sole right to run a call that arrived when the
// stream had reached offset seen. Digest is the hash of the request. Ask tells the
// outcome. A second claim has no effect.
func (d *Desk) Claim(id kcrid.Call, seen kcrid.Offset, digest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.localCalls[id] != nil || d.book.Call(id).State != Unheard {
		return
	}
	seq := d.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Intent{Intent: &kcrentry.Intent{
		Team: string(id.Team), Key: string(id.Key), Seen: uint64(seen), Digest: digest,
	}}})
	d.localCalls[id] = &localCall{seq: seq}
}

// Ask returns the progress of a call and what the book holds about it.
func (d *Desk) Ask(id kcrid.Call) (Progress, Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ask(id)
}

// ask is Ask for callers that hold the mutex.
func (d *Desk) ask(id kcrid.Call) (Progress, Call) {
	call, local := d.book.Call(id), d.localCalls[id]
	switch call.State {
	case Barred:
		return Refused, call
	case Done:
		return Finished, call
	case Claimed:
		if call.Claimant == d.self && local != nil {
			return Mine, call
		}
		return Elsewhere, call
	}
	if !d.ready || (local != nil && local.seq > d.confirmed()) {
		return Waiting, call
	}
	if local != nil {
		return Expired, call
	}
	return Waiting, call
}

// confirmed returns the sequence of the last record of this process that the book applied.
func (d *Desk) confirmed() uint64 { return d.book.seen[d.self] }

// Run tells whether the caller must pass the call to the upstream now. Only the
// first caller gets true.
func (d *Desk) Run(id kcrid.Call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	progress, _ := d.ask(id)
	local := d.localCalls[id]
	if progress != Mine || local.started || local.abandoned {
		return false
	}
	local.started = true
	return true
}

// Abandon prevents this sidecar from starting the call. It returns false if the
// call has started already.
func (d *Desk) Abandon(id kcrid.Call) bool {
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

// Release undoes the start of a call that provably did not reach the upstream,
// and abandons it, so that it can be barred.
func (d *Desk) Release(id kcrid.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if local := d.localCalls[id]; local != nil {
		local.started, local.abandoned = false, true
	}
}

// Bar queues a record that prevents a call from running anywhere, unless the call
// has started here. Ask tells the outcome.
func (d *Desk) Bar(id kcrid.Call) {
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
	local.seq = d.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Bar{Bar: &kcrentry.Bar{
		Team: string(id.Team), Key: string(id.Key),
	}}})
}

// Finish queues a record with the answer of a call that ran here. Lost means that
// the upstream received the call and its answer is not known.
func (d *Desk) Finish(id kcrid.Call, status int, contentType string, body []byte, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Done{Done: &kcrentry.Done{
		Team: string(id.Team), Key: string(id.Key), Status: int32(status), Type: contentType, Body: body, Lost: lost,
	}}})
}

// Apply applies one record of the service's stream. A record of this process is
// confirmed by it and leaves the outbox.
func (d *Desk) Apply(_ kcrclock.Time, off kcrid.Offset, e *kcrentry.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Apply(off, e)
	if kcrid.Incarnation(e.GetWriter()) == d.self {
		d.outbox.Confirm(e.GetSeq())
	}
}

// Batch returns the queued records and the sequence of the last one; see
// kcrlog.Outbox.Batch.
func (d *Desk) Batch(limit int) ([][]byte, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outbox.Batch(limit)
}

// Snapshot returns the encoded book; see Book.Snapshot.
func (d *Desk) Snapshot() (kcrid.Offset, []byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Snapshot()
}

// Restore loads a snapshot of the book if it is newer; see Book.Restore.
func (d *Desk) Restore(data []byte) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Restore(data)
}
