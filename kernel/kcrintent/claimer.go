package kcrintent

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines Claimer, which combines the table of a service with the claims
// and bars that this sidecar itself has made. Invariants: TryStart returns true at most
// once for a call, and never after the call was abandoned.

// Progress is the state of a call as one sidecar sees it.
type Progress int

// The values of Progress.
const (
	Unresolved Progress = iota + 1 // the table holds no claim or bar of the call yet
	OwnClaim                       // this process holds the claim and may run the call
	OtherClaim                     // another process holds the claim; the outcome is unknown
	Refused                        // the call is barred: it did not run, and will not
	Finished                       // the call ran; its answer is stored unless it was lost
	Forgotten                      // the call is too old: its claim was ignored, or the table has removed it
)

// progressNames are the names of the values in logs.
var progressNames = [...]string{"none", "waiting", "mine", "elsewhere", "refused", "finished", "expired"}

// String returns the name that logs use.
func (p Progress) String() string { return progressNames[p] }

// localCall is what this sidecar has done about a call.
type localCall struct {
	seq       uint64 // sequence of the last claim or bar of this process
	started   bool   // TryStart returned true
	abandoned bool   // the call must not start here
}

// Claimer decides whether this sidecar may run a call. It is safe for concurrent
// use.
type Claimer struct {
	self kcrid.Incarnation

	mu         sync.Mutex
	ready      bool // the table has reached the end of the stream
	table      *CallTable
	outbox     *kcrlog.Outbox // records that the log has not confirmed
	localCalls map[kcrid.CallID]*localCall
}

// NewClaimer returns a claimer with an empty table that holds at most maxCalls calls. Until
// MarkReady is called, after the stream was applied up to its end, a call that the
// table does not hold is Unresolved.
func NewClaimer(self kcrid.Incarnation, rules Rules, maxCalls int) *Claimer {
	return &Claimer{
		self:       self,
		table:      NewCallTable(rules, maxCalls),
		outbox:     kcrlog.NewOutbox(self),
		localCalls: map[kcrid.CallID]*localCall{},
	}
}

// MarkReady tells the claimer that its table has reached the end of the stream.
func (c *Claimer) MarkReady() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ready = true
}

// At returns the offset of the last record applied.
func (c *Claimer) At() kcrid.Offset {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.At()
}

// Claim queues a claim of the sole right to run a call that arrived when the
// stream had reached offset seen. digest is the hash of the request. The method Progress
// tells the outcome. A second claim has no effect.
func (c *Claimer) Claim(id kcrid.CallID, seen kcrid.Offset, digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.localCalls[id] != nil || c.table.Call(id).State != Unrecorded {
		return
	}
	seq := c.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Intent{Intent: &kcrentry.Intent{
		Team: string(id.Team), Key: string(id.Key), Seen: uint64(seen), Digest: digest,
	}}})
	c.localCalls[id] = &localCall{seq: seq}
}

// Progress returns the progress of a call and what the table holds about it.
func (c *Claimer) Progress(id kcrid.CallID) (Progress, CallState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progress(id)
}

// progress is Progress for callers that hold the mutex.
func (c *Claimer) progress(id kcrid.CallID) (Progress, CallState) {
	call, local := c.table.Call(id), c.localCalls[id]
	switch call.State {
	case Barred:
		return Refused, call
	case Done:
		return Finished, call
	case Claimed:
		if call.Claimant == c.self && local != nil {
			return OwnClaim, call
		}
		return OtherClaim, call
	}
	if !c.ready || (local != nil && local.seq > c.confirmed()) {
		return Unresolved, call
	}
	if local != nil {
		return Forgotten, call
	}
	return Unresolved, call
}

// confirmed returns the sequence of the last record of this process that the table applied.
func (c *Claimer) confirmed() uint64 { return c.table.seen[c.self] }

// TryStart tells whether the caller must pass the call to the upstream now. Only the
// first caller gets true.
func (c *Claimer) TryStart(id kcrid.CallID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	progress, _ := c.progress(id)
	local := c.localCalls[id]
	if progress != OwnClaim || local.started || local.abandoned {
		return false
	}
	local.started = true
	return true
}

// Abandon prevents this sidecar from starting the call. It returns false if the
// call has started already.
func (c *Claimer) Abandon(id kcrid.CallID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	local := c.localCalls[id]
	if local == nil {
		local = &localCall{}
		c.localCalls[id] = local
	}
	if local.started {
		return false
	}
	local.abandoned = true
	return true
}

// UndoStart undoes the start of a call that provably did not reach the upstream,
// and abandons it, so that it can be barred.
func (c *Claimer) UndoStart(id kcrid.CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if local := c.localCalls[id]; local != nil {
		local.started, local.abandoned = false, true
	}
}

// Bar queues a record that prevents a call from running anywhere, unless the call
// has started here. The method Progress tells the outcome.
func (c *Claimer) Bar(id kcrid.CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	local := c.localCalls[id]
	if local == nil {
		local = &localCall{}
		c.localCalls[id] = local
	}
	if local.started {
		return
	}
	local.abandoned = true
	local.seq = c.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Bar{Bar: &kcrentry.Bar{
		Team: string(id.Team), Key: string(id.Key),
	}}})
}

// Finish queues a record with the answer of a call that ran here. lost means that
// the upstream received the call and its answer is not known.
func (c *Claimer) Finish(id kcrid.CallID, status int, contentType string, body []byte, lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Done{Done: &kcrentry.Done{
		Team: string(id.Team), Key: string(id.Key), Status: int32(status), Type: contentType, Body: body, Lost: lost,
	}}})
}

// Apply applies one record of the service's stream. A record of this process is
// confirmed by it and leaves the outbox.
func (c *Claimer) Apply(_ kcrclock.Time, off kcrid.Offset, e *kcrentry.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Apply(off, e)
	if kcrid.Incarnation(e.GetWriter()) == c.self {
		c.outbox.Confirm(e.GetSeq())
	}
}

// Batch returns the queued records and the sequence of the last one; see
// kcrlog.Outbox.Batch.
func (c *Claimer) Batch(limit int) ([][]byte, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outbox.Batch(limit)
}

// Snapshot returns the encoded table; see CallTable.Snapshot.
func (c *Claimer) Snapshot() (kcrid.Offset, []byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Snapshot()
}

// Restore loads a snapshot of the table if it is newer; see CallTable.Restore.
func (c *Claimer) Restore(data []byte) (bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Restore(data)
}
