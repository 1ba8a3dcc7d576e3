// Package kcroperate implements the operators' command: it publishes the
// configuration, marks VMs as leaving, shows the configuration and the budgets in
// force, and explains requests.
//
// This file defines Operator, which reads and appends to the platform's log without
// the help of a router. What it returns is what a replay of the log up to its current
// end yields.
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

// commitAttempts bounds how often commit appends an entry and looks for it on the
// log. commitRetryDelay is the pause between two attempts.
const (
	commitAttempts   = 50
	commitRetryDelay = 100 * time.Millisecond
)

// ErrVersionConflict means that another operator published first. The version of that
// operator is in force, and the rejected publication has no effect.
var ErrVersionConflict = errors.New("another version was published first")

// Operator reads and changes the state of one deployment through the platform's log.
type Operator struct {
	log         kcrlog.Log
	bucketCount uint32            // buckets over which the budgets of plans are spread
	writer      kcrid.Incarnation // unique ID that marks the entries of this operator
}

// New returns an operator that uses the given log. The number of buckets must be that
// of the deployment's settings.
func New(log kcrlog.Log, bucketCount uint32) *Operator {
	return &Operator{log: log, bucketCount: bucketCount, writer: kcrid.Incarnation("operator/" + rand.Text()[:10])}
}

// replayTarget is the state that a replay rebuilds. lastOffset returns the offset of
// the last record applied, restore loads an encoded snapshot and reports whether it
// was newer than the state, and apply applies the record at an offset.
type replayTarget struct {
	lastOffset func() kcrid.Offset
	restore    func([]byte) (bool, error)
	apply      func(kcrid.Offset, *kcrentry.Entry)
}

// replay applies the records of a stream to the target, from the target's last offset
// up to the end of the stream. If the log no longer holds the first of these records,
// it continues from the newest usable snapshot.
func replay(ctx context.Context, log kcrlog.Log, stream kcrid.Stream, target replayTarget) (err error) {
	defer kcrerror.Annotate(&err, "replay %s", stream)
	for next := target.lastOffset() + 1; ; {
		page, err := log.Read(ctx, stream, next, 0)
		if err != nil {
			return err
		}
		if page.FirstOffset > next {
			if err := target.restoreSnapshots(ctx, log, stream, page.FirstOffset); err != nil {
				return err
			}
			next = target.lastOffset() + 1
			continue
		}
		for _, record := range page.Records {
			next = record.Offset + 1
			if entry, err := kcrlog.DecodeEntry(record.Data); err == nil {
				target.apply(record.Offset, entry)
			}
		}
		if next >= page.NextOffset {
			return nil
		}
	}
}

// restoreSnapshots loads the snapshots of a stream whose oldest records were deleted
// by retention. firstRetained is the offset of the oldest record that the log still
// holds. It returns an error if records between the newest snapshot and that offset
// are missing.
func (t replayTarget) restoreSnapshots(ctx context.Context, log kcrlog.Log, stream kcrid.Stream, firstRetained kcrid.Offset) error {
	for _, snapshot := range kcrdaemon.ReadSnapshots(ctx, log, kcrid.SnapshotStream(stream)) {
		if _, err := t.restore(snapshot); err != nil {
			return err
		}
	}
	if t.lastOffset()+1 < firstRetained {
		return fmt.Errorf("no snapshot covers the deleted records: expected the log to start at offset %d or before, got %d", t.lastOffset()+1, firstRetained)
	}
	return nil
}

// Configuration returns the configuration in force.
func (o *Operator) Configuration(ctx context.Context) (state *kcrlist.State, err error) {
	state = kcrlist.NewState(kcrlist.DefaultRules())
	err = replay(ctx, o.log, kcrid.ConfigStream, replayTarget{
		lastOffset: state.At, restore: state.Restore, apply: func(off kcrid.Offset, e *kcrentry.Entry) { state.Apply(off, e) },
	})
	return state, err
}

// Publish replaces version base of the configuration by the given one. If latest is
// set, it ignores base and replaces the version in force. It returns the new version
// once it has read it back from the log, or the version in force if the configurations
// don't differ from it. The error wraps ErrVersionConflict if base is not the version in
// force.
func (o *Operator) Publish(ctx context.Context, configs map[kcrid.Plan]kcrlist.PlanConfig, base kcrid.Offset, latest bool) (version kcrid.Offset, err error) {
	defer kcrerror.Annotate(&err, "publish")
	state, err := o.Configuration(ctx)
	if err != nil {
		return 0, err
	}
	if latest {
		base = state.Version()
	}
	if base != state.Version() {
		return 0, fmt.Errorf("%w: version %d is in force, and the publication replaces version %d", ErrVersionConflict, state.Version(), base)
	}
	change := kcrlist.Diff(state.PlanConfigs(), configs)
	if len(change.Set)+len(change.Drop) == 0 {
		return state.Version(), nil
	}
	if err := state.ValidateChange(change); err != nil {
		return 0, err
	}
	data, err := change.Encode()
	if err != nil {
		return 0, err
	}
	return o.commit(ctx, state, &kcrentry.Entry{Kind: &kcrentry.Entry_Publish{Publish: &kcrentry.Publish{Base: uint64(base), Change: data}}})
}

// commit appends an entry and reads the log until it finds the entry there. The
// response to an append can be lost although the append took effect, so after each
// attempt it looks for the entry on the log before it appends the entry again. It
// returns the offset of the entry.
func (o *Operator) commit(ctx context.Context, state *kcrlist.State, e *kcrentry.Entry) (committed kcrid.Offset, err error) {
	outbox := kcrlog.NewOutbox(o.writer)
	outbox.Enqueue(e)
	records, _ := outbox.Batch(1)
	if len(records[0]) > kcrlog.MaxRecordBytes {
		return 0, fmt.Errorf("encoded change: expected at most %d bytes, got %d; publish it in several smaller changes", kcrlog.MaxRecordBytes, len(records[0]))
	}
	var foundAt kcrid.Offset
	var verdict kcrlist.Verdict
	for range commitAttempts {
		appendErr := o.log.Append(ctx, kcrid.ConfigStream, records)
		err = replay(ctx, o.log, kcrid.ConfigStream, replayTarget{lastOffset: state.At, restore: state.Restore, apply: func(off kcrid.Offset, got *kcrentry.Entry) {
			v := state.Apply(off, got)
			if got.GetWriter() == string(o.writer) && foundAt == 0 {
				foundAt, verdict = off, v
			}
		}})
		switch {
		case foundAt != 0 && verdict.Accepted:
			return foundAt, nil
		case foundAt != 0:
			return 0, fmt.Errorf("%w: %s", ErrVersionConflict, verdict.Reason)
		}
		err = errors.Join(appendErr, err)
		time.Sleep(commitRetryDelay)
	}
	return 0, fmt.Errorf("the entry was not found on the log and may still take effect: %w", err)
}

// MarkLeaving marks a VM as leaving, so that its upstream gets no new requests.
func (o *Operator) MarkLeaving(ctx context.Context, vm kcrid.VM) (err error) {
	defer kcrerror.Annotate(&err, "leave")
	state, err := o.Configuration(ctx)
	if err != nil {
		return err
	}
	_, err = o.commit(ctx, state, &kcrentry.Entry{Kind: &kcrentry.Entry_Leave{Leave: &kcrentry.Leave{Vm: string(vm)}}})
	return err
}

// Ledger returns the ledger of the bucket that holds the plan's budget. It covers all
// plans of that bucket.
func (o *Operator) Ledger(ctx context.Context, plan kcrid.Plan) (ledger *kcrbudget.Ledger, err error) {
	ledger = kcrbudget.NewLedger(kcrbudget.DefaultLedgerRules())
	stream := kcrid.BudgetStream(kcrid.BucketOf(plan, o.bucketCount))
	err = replay(ctx, o.log, stream, replayTarget{
		lastOffset: ledger.At, restore: ledger.Restore, apply: func(off kcrid.Offset, e *kcrentry.Entry) { ledger.Apply(off, e) },
	})
	return ledger, err
}

// Statement returns the billed requests of a plan, as far back as the log retains them.
func (o *Operator) Statement(ctx context.Context, plan kcrid.Plan) (*kcrbudget.Statement, error) {
	stream := kcrid.BillStream(kcrid.BucketOf(plan, o.bucketCount))
	statement := kcrbudget.NewStatement(plan)
	page, err := o.log.Read(ctx, stream, 1, 0)
	if err != nil {
		return nil, err
	}
	next := page.FirstOffset
	statement.SetFirstOffset(next)
	for {
		page, err := o.log.Read(ctx, stream, next, 0)
		if err != nil {
			return nil, err
		}
		for _, record := range page.Records {
			next = record.Offset + 1
			if entry, err := kcrlog.DecodeEntry(record.Data); err == nil {
				statement.Apply(entry)
			}
		}
		if next >= page.NextOffset {
			return statement, nil
		}
	}
}
