package kcrintent

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the desk: a sidecar's view of the book and its own
// intents. Invariants: Run says yes at most once for a call, and never after
// the call was abandoned.

// Progress is how far an own intent has come.
type Progress int

// The kinds of progress.
const (
	Waiting   Progress = iota + 1 // the log has not confirmed it
	Mine                          // this sidecar may run the call
	Elsewhere                     // another claimed it; the outcome is unknown
	Refused                       // barred, or too old: it did not run, and will not
	Finished                      // it ran, and its answer is kept
	Expired                       // the book no longer knows calls of that age
)

// progressNames are the names of the kinds of progress in logs.
var progressNames = [...]string{"none", "waiting", "mine", "elsewhere", "refused", "finished", "expired"}

// String returns the name of the progress.
func (p Progress) String() string { return progressNames[p] }

type local struct {
	seq       uint64
	started   bool
	abandoned bool
}

// Desk is safe for concurrent use.
type Desk struct {
	self kcrid.Incarnation

	mu     sync.Mutex
	ready  bool
	book   *Book
	outbox *kcrlog.Outbox
	locals map[kcrid.Call]*local
}

// NewDesk returns a desk that knows nothing of its stream. It claims nothing
// until Ready is called after the stream was applied up to its end.
func NewDesk(self kcrid.Incarnation, rules Rules, memory int) *Desk {
	return &Desk{
		self:   self,
		book:   NewBook(rules, memory),
		outbox: kcrlog.NewOutbox(self),
		locals: map[kcrid.Call]*local{},
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

// Claim asks for the right to run a call that arrived when the stream had
// reached seen. Ask tells the outcome. Claiming again does nothing.
func (d *Desk) Claim(c kcrid.Call, seen kcrid.Offset, digest uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.locals[c] != nil || d.book.Call(c).State != Unheard {
		return
	}
	seq := d.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Intent{Intent: &kcrentry.Intent{
		Team: string(c.Team), Key: string(c.Key), Seen: uint64(seen), Digest: digest,
	}}})
	d.locals[c] = &local{seq: seq}
}

// Ask tells how far a call has come.
func (d *Desk) Ask(c kcrid.Call) (Progress, Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ask(c)
}

func (d *Desk) ask(c kcrid.Call) (Progress, Call) {
	e, l := d.book.Call(c), d.locals[c]
	switch e.State {
	case Barred:
		return Refused, e
	case Done:
		return Finished, e
	case Claimed:
		if e.By == d.self && l != nil {
			return Mine, e
		}
		return Elsewhere, e
	}
	if !d.ready || (l != nil && l.seq > d.confirmed()) {
		return Waiting, e
	}
	if l != nil {
		return Expired, e
	}
	return Waiting, e
}

func (d *Desk) confirmed() uint64 { return d.book.seen[d.self] }

// Run tells whether the call is to be passed to the upstream now. It says yes
// once.
func (d *Desk) Run(c kcrid.Call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, _ := d.ask(c)
	l := d.locals[c]
	if p != Mine || l.started || l.abandoned {
		return false
	}
	l.started = true
	return true
}

// Abandon makes sure that this sidecar will not start the call, and tells
// whether that is so: it is not if the call has started.
func (d *Desk) Abandon(c kcrid.Call) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.locals[c]
	if l == nil {
		l = &local{}
		d.locals[c] = l
	}
	if l.started {
		return false
	}
	l.abandoned = true
	return true
}

// Release takes back the start of a call that provably did not reach the
// upstream, so that it can be barred.
func (d *Desk) Release(c kcrid.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if l := d.locals[c]; l != nil {
		l.started, l.abandoned = false, true
	}
}

// Bar asks for a call never to run. Ask tells the outcome.
func (d *Desk) Bar(c kcrid.Call) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.locals[c]
	if l == nil {
		l = &local{}
		d.locals[c] = l
	}
	if l.started {
		return
	}
	l.abandoned = true
	l.seq = d.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Bar{Bar: &kcrentry.Bar{
		Team: string(c.Team), Key: string(c.Key),
	}}})
}

// Finish records the answer of a call that ran here. Lost means that the
// upstream got the call and its answer is not known.
func (d *Desk) Finish(c kcrid.Call, status int, kind string, body []byte, lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Done{Done: &kcrentry.Done{
		Team: string(c.Team), Key: string(c.Key), Status: int32(status), Type: kind, Body: body, Lost: lost,
	}}})
}

// Apply folds one record of the service's stream.
func (d *Desk) Apply(_ kcrclock.Time, off kcrid.Offset, e *kcrentry.Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book.Apply(off, e)
	if kcrid.Incarnation(e.GetWriter()) == d.self {
		d.outbox.Confirm(e.GetSeq())
	}
}

// Batch returns entries to append; see kcrlog.Outbox.
func (d *Desk) Batch(limit int) ([][]byte, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.outbox.Batch(limit)
}

// Snapshot returns the book's state.
func (d *Desk) Snapshot() (kcrid.Offset, []byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Snapshot()
}

// Restore loads a snapshot of the book if it is newer.
func (d *Desk) Restore(data []byte) (bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.book.Restore(data)
}
