// Package kcroperate is what the operators' command does: publish the lists,
// mark VMs as leaving, and show what is in force.
package kcroperate

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrdaemon"
)

// confirmTries bounds how often a publication is looked for on the log.
const (
	confirmTries = 50
	confirmPause = 100 * time.Millisecond
)

// ErrRaced means that another operator published first. Nothing was lost: the
// version that won is in force, and this one left no trace.
var ErrRaced = errors.New("another version was published first")

// Operator acts on one deployment.
type Operator struct {
	log     kcrlog.Log
	buckets uint32
	writer  kcrid.Incarnation
}

// New returns an operator on a log.
func New(log kcrlog.Log, buckets uint32) *Operator {
	return &Operator{log: log, buckets: buckets, writer: kcrid.Incarnation("operator/" + rand.Text()[:10])}
}

// fold is what a replay drives.
type fold struct {
	at      func() kcrid.Offset
	restore func([]byte) (bool, error)
	apply   func(kcrid.Offset, *kcrentry.Entry)
}

// replay folds a stream from its start, or from the newest usable snapshot, up
// to its end.
func replay(ctx context.Context, log kcrlog.Log, stream kcrid.Stream, f fold) (err error) {
	defer kcrerror.Annotate(&err, "replay %s", stream)
	for next := f.at() + 1; ; {
		page, err := log.Read(ctx, stream, next, 0)
		if err != nil {
			return err
		}
		if page.First > next {
			if err := f.skip(ctx, log, stream, page.First); err != nil {
				return err
			}
			next = f.at() + 1
			continue
		}
		for _, r := range page.Records {
			next = r.Offset + 1
			if e, err := kcrlog.Decode(r.Data); err == nil {
				f.apply(r.Offset, e)
			}
		}
		if next >= page.Next {
			return nil
		}
	}
}

// skip loads snapshots where retention has passed the start of the stream.
func (f fold) skip(ctx context.Context, log kcrlog.Log, stream kcrid.Stream, first kcrid.Offset) error {
	for _, state := range kcrdaemon.ReadSnapshots(ctx, log, kcrid.SnapStream(stream)) {
		if _, err := f.restore(state); err != nil {
			return err
		}
	}
	if f.at()+1 < first {
		return fmt.Errorf("records from %d on are needed, and the log starts at %d", f.at()+1, first)
	}
	return nil
}

// Lists returns the configuration in force.
func (o *Operator) Lists(ctx context.Context) (s *kcrlist.State, err error) {
	s = kcrlist.NewState(kcrlist.DefaultRules())
	err = replay(ctx, o.log, kcrid.ConfigStream, fold{
		at: s.At, restore: s.Restore, apply: func(off kcrid.Offset, e *kcrentry.Entry) { s.Apply(off, e) },
	})
	return s, err
}

// Publish replaces the version base by the items. Base 0 with latest set takes
// the version in force. It returns the new version once the log confirms it.
func (o *Operator) Publish(ctx context.Context, items map[kcrid.Plan]kcrlist.Item, base kcrid.Offset, latest bool) (version kcrid.Offset, err error) {
	defer kcrerror.Annotate(&err, "publish")
	state, err := o.Lists(ctx)
	if err != nil {
		return 0, err
	}
	if latest {
		base = state.Version()
	}
	if base != state.Version() {
		return 0, fmt.Errorf("%w: expected to replace version %d, got %d", ErrRaced, state.Version(), base)
	}
	change := kcrlist.Diff(state.Items(), items)
	if len(change.Set)+len(change.Drop) == 0 {
		return state.Version(), nil
	}
	if err := state.Check(change); err != nil {
		return 0, err
	}
	data, err := change.Encode()
	if err != nil {
		return 0, err
	}
	return o.commit(ctx, state, &kcrentry.Entry{Kind: &kcrentry.Entry_Publish{Publish: &kcrentry.Publish{Base: uint64(base), Change: data}}})
}

// commit appends an entry once and reads the log until it is found there. An
// append whose answer was lost is looked for before it is made again.
func (o *Operator) commit(ctx context.Context, state *kcrlist.State, e *kcrentry.Entry) (version kcrid.Offset, err error) {
	box := kcrlog.NewOutbox(o.writer)
	box.Put(e)
	records, _ := box.Batch(1)
	if len(records[0]) > kcrlog.MaxRecord {
		return 0, fmt.Errorf("change: expected at most %d bytes, got %d; publish it in parts", kcrlog.MaxRecord, len(records[0]))
	}
	var found kcrid.Offset
	var verdict kcrlist.Verdict
	for range confirmTries {
		appendErr := o.log.Append(ctx, kcrid.ConfigStream, records)
		err = replay(ctx, o.log, kcrid.ConfigStream, fold{at: state.At, restore: state.Restore, apply: func(off kcrid.Offset, got *kcrentry.Entry) {
			v := state.Apply(off, got)
			if got.GetWriter() == string(o.writer) && found == 0 {
				found, verdict = off, v
			}
		}})
		switch {
		case found != 0 && verdict.Accepted:
			return found, nil
		case found != 0:
			return 0, fmt.Errorf("%w: %s", ErrRaced, verdict.Reason)
		}
		err = errors.Join(appendErr, err)
		time.Sleep(confirmPause)
	}
	return 0, fmt.Errorf("the log did not confirm it; it may still take effect: %w", err)
}

// Leave marks a VM as leaving.
func (o *Operator) Leave(ctx context.Context, vm kcrid.VM) (err error) {
	defer kcrerror.Annotate(&err, "leave")
	state, err := o.Lists(ctx)
	if err != nil {
		return err
	}
	_, err = o.commit(ctx, state, &kcrentry.Entry{Kind: &kcrentry.Entry_Leave{Leave: &kcrentry.Leave{Vm: string(vm)}}})
	return err
}

// Ledger returns the budgets of a plan's bucket.
func (o *Operator) Ledger(ctx context.Context, p kcrid.Plan) (l *kcrbudget.Ledger, err error) {
	l = kcrbudget.NewLedger(kcrbudget.DefaultLedgerRules())
	stream := kcrid.BudgetStream(kcrid.BucketOf(p, o.buckets))
	err = replay(ctx, o.log, stream, fold{
		at: l.At, restore: l.Restore, apply: func(off kcrid.Offset, e *kcrentry.Entry) { l.Apply(off, e) },
	})
	return l, err
}

// Statement returns the retained statement lines of a plan.
func (o *Operator) Statement(ctx context.Context, p kcrid.Plan) (*kcrbudget.Statement, error) {
	stream := kcrid.BillStream(kcrid.BucketOf(p, o.buckets))
	st := kcrbudget.NewStatement(p)
	page, err := o.log.Read(ctx, stream, 1, 0)
	if err != nil {
		return nil, err
	}
	next := page.First
	st.From(next)
	for {
		page, err := o.log.Read(ctx, stream, next, 0)
		if err != nil {
			return nil, err
		}
		for _, r := range page.Records {
			next = r.Offset + 1
			if e, err := kcrlog.Decode(r.Data); err == nil {
				st.Apply(e)
			}
		}
		if next >= page.Next {
			return st, nil
		}
	}
}
