// Package kcrdaemon holds what the router and the sidecar share as processes:
// following a stream of the log, the admin endpoint, and the decision log.
package kcrdaemon

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the follower, which keeps a fold up to date with a stream
// and appends what the fold has to say. Invariants: records are applied in
// order and none is left out; where retention has passed the position and no
// snapshot covers it, nothing is applied; an append is repeated only as the
// same bytes, which folds recognize.

// Fold is what a follower drives. Batch, Snapshot and Ready may be nil. Carries
// tells whether this process is the one that writes snapshots.
type Fold struct {
	Apply    func(off kcrid.Offset, e *kcrentry.Entry)
	At       func() kcrid.Offset
	Restore  func(state []byte) (bool, error)
	Snapshot func() (kcrid.Offset, []byte, error)
	Batch    func(limit int) ([][]byte, uint64)
	Ready    func()
	Carries  func() bool
	// Pause returns the time between two reads, for folds that need not be
	// fresh; it may be nil.
	Pause func() time.Duration
	// Skips tells that records that retention has passed are not missed.
	Skips bool
}

// Timing and sizes of a follower.
const (
	readWait      = 3 * kcrclock.Second
	errorPause    = 200 * time.Millisecond
	appendTick    = 5 * time.Millisecond   // to gather a batch
	idleTick      = 250 * time.Millisecond // without a kick
	confirmWait   = time.Second
	batchSize     = 256
	snapshotEvery = 2000 // records
	// carryFactor is how many intervals a snapshot lasts without new records.
	carryFactor  = 6
	snapshotPart = 200 << 10 // bytes; a record of the platform's store takes 256 KB
)

// Follower keeps one fold up to date.
type Follower struct {
	log    kcrlog.Log
	stream kcrid.Stream
	fold   Fold
	logger *slog.Logger
	next   kcrid.Offset
	snapAt kcrid.Offset
	snapOn time.Time
	every  time.Duration  // between snapshots of a stream that changes
	clock  kcrclock.Clock // steady: the time of day can jump
	heard  atomic.Int64   // time of the last read up to the end, or of the start
	kick   chan struct{}
	cancel context.CancelFunc
	wait   conc.WaitGroup
}

// NewFollower starts to follow a stream. Every is the time between snapshots,
// which must be well below the log's retention.
func NewFollower(log kcrlog.Log, stream kcrid.Stream, fold Fold, logger *slog.Logger, every time.Duration) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		log: log, stream: stream, fold: fold, logger: logger, next: fold.At() + 1, cancel: cancel, kick: make(chan struct{}, 1),
		snapAt: fold.At(), snapOn: time.Now(), every: every, clock: kcrclock.Monotonic(),
	}
	f.heard.Store(int64(f.clock.Now()))
	f.wait.Go(func() { f.read(ctx) })
	if fold.Batch != nil || fold.Snapshot != nil {
		f.wait.Go(func() { f.write(ctx) })
	}
	return f
}

// Close stops following and waits until both goroutines have ended.
func (f *Follower) Close() {
	f.cancel()
	f.wait.Wait()
}

// Kick tells the follower that its fold may have something to append. Without
// it, that is noticed within idleTick.
func (f *Follower) Kick() {
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// Lag returns how long ago the follower knew the end of the stream.
func (f *Follower) Lag() kcrclock.Duration {
	return f.clock.Now().Sub(kcrclock.Time(f.heard.Load()))
}

func (f *Follower) read(ctx context.Context) {
	wait := kcrclock.Duration(0)
	for ctx.Err() == nil {
		if at := f.fold.At(); at >= f.next {
			f.next = at + 1
		}
		page, err := f.log.Read(ctx, f.stream, f.next, wait)
		if err != nil {
			f.logger.Debug("log read failed", "stream", f.stream, "err", err)
			Pause(ctx, errorPause)
			continue
		}
		if page.First > f.next && f.fold.Skips {
			f.next = page.First
		}
		if page.First > f.next && !f.restore(ctx, page.First) {
			f.logger.Error("state is not knowable: retention has passed it", "stream", f.stream, "need", f.next, "first", page.First)
			Pause(ctx, time.Second)
			continue
		}
		f.take(page)
		wait = readWait
		if f.fold.Pause != nil {
			Pause(ctx, f.fold.Pause())
		}
	}
}

func (f *Follower) take(page kcrlog.Page) {
	for _, r := range page.Records {
		if r.Offset != f.next {
			continue
		}
		f.next++
		e, err := kcrlog.Decode(r.Data)
		if err != nil {
			f.logger.Warn("record skipped", "stream", f.stream, "offset", r.Offset, "err", err)
			continue
		}
		f.fold.Apply(r.Offset, e)
	}
	if f.next >= page.Next {
		f.heard.Store(int64(f.clock.Now()))
		if f.fold.Ready != nil {
			f.fold.Ready()
		}
	}
}

// restore loads the newest snapshot that the retained records continue.
func (f *Follower) restore(ctx context.Context, first kcrid.Offset) bool {
	snaps := kcrid.SnapStream(f.stream)
	for at, state := range ReadSnapshots(ctx, f.log, snaps) {
		if at+1 < first {
			continue
		}
		if _, err := f.fold.Restore(state); err != nil {
			f.logger.Warn("snapshot skipped", "stream", snaps, "at", at, "err", err)
			continue
		}
	}
	if at := f.fold.At(); at+1 >= first {
		f.next = max(f.next, at+1)
		return true
	}
	return false
}

// ReadSnapshots returns the whole snapshots on a stream by their offset.
func ReadSnapshots(ctx context.Context, log kcrlog.Log, snaps kcrid.Stream) map[kcrid.Offset][]byte {
	whole := map[kcrid.Offset][]byte{}
	type key struct {
		writer string
		at     uint64
	}
	parts := map[key][][]byte{}
	for from := kcrid.Offset(1); ; {
		page, err := log.Read(ctx, snaps, from, 0)
		if err != nil || len(page.Records) == 0 && page.First <= from {
			return whole
		}
		from = max(from, page.First)
		for _, r := range page.Records {
			from = r.Offset + 1
			e, err := kcrlog.Decode(r.Data)
			snap := e.GetSnap()
			if err != nil || snap == nil {
				continue
			}
			k := key{e.GetWriter(), snap.GetAt()}
			if int(snap.GetPart()) == len(parts[k]) {
				parts[k] = append(parts[k], snap.GetState())
			}
			if len(parts[k]) == int(snap.GetParts()) {
				whole[kcrid.Offset(snap.GetAt())] = join(parts[k])
			}
		}
	}
}

func join(parts [][]byte) (out []byte) {
	for _, p := range parts {
		out = append(out, p...)
	}
	return out
}

func (f *Follower) write(ctx context.Context) {
	idle := time.NewTicker(idleTick)
	defer idle.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-f.kick:
			Pause(ctx, appendTick)
		case <-idle.C:
		}
		f.empty(ctx)
		f.snapshot(ctx)
	}
}

// empty appends until the fold has nothing more to say.
func (f *Follower) empty(ctx context.Context) {
	for ctx.Err() == nil && f.fold.Batch != nil {
		records, last := f.fold.Batch(batchSize)
		if len(records) == 0 {
			return
		}
		f.append(ctx, records, last)
	}
}

// append writes a batch and waits until the reader has seen it.
func (f *Follower) append(ctx context.Context, records [][]byte, last uint64) {
	if err := f.log.Append(ctx, f.stream, records); err != nil {
		f.logger.Debug("log append failed", "stream", f.stream, "err", err)
		Pause(ctx, errorPause)
	}
	for waited := time.Duration(0); waited < confirmWait && ctx.Err() == nil; waited += appendTick {
		if _, now := f.fold.Batch(len(records)); now != last {
			return
		}
		Pause(ctx, appendTick)
	}
}

// due tells whether a snapshot is to be written: after many records, after a
// time if anything changed, and after a longer time in any case, since
// snapshots age out as well.
func (f *Follower) due() bool {
	at, age := f.fold.At(), time.Since(f.snapOn)
	switch {
	case f.fold.Snapshot == nil || at == 0 || !f.fold.Carries():
		return false
	case at >= f.snapAt+snapshotEvery, age >= carryFactor*f.every:
		return true
	default:
		return at > f.snapAt && age >= f.every
	}
}

func (f *Follower) snapshot(ctx context.Context) {
	if f.due() {
		f.Carry(ctx)
	}
}

// Carry writes a snapshot now. Besides the follower itself, only who has closed it
// may call it.
func (f *Follower) Carry(ctx context.Context) {
	at, state, err := f.fold.Snapshot()
	if err != nil {
		f.logger.Error("snapshot failed", "stream", f.stream, "err", err)
		return
	}
	f.snapAt, f.snapOn = at, time.Now()
	if err := WriteSnapshot(ctx, f.log, f.stream, at, state); err != nil {
		f.logger.Warn("snapshot not written", "stream", f.stream, "err", err)
	}
}

// WriteSnapshot appends a state as of an offset to the stream's snapshots.
func WriteSnapshot(ctx context.Context, log kcrlog.Log, stream kcrid.Stream, at kcrid.Offset, state []byte) error {
	var records [][]byte
	count := (len(state) + snapshotPart - 1) / snapshotPart
	for i := range count {
		part := state[i*snapshotPart : min(len(state), (i+1)*snapshotPart)]
		data, err := proto.Marshal(&kcrentry.Entry{Kind: &kcrentry.Entry_Snap{Snap: &kcrentry.Snap{
			At: uint64(at), Part: uint32(i), Parts: uint32(count), State: part,
		}}})
		if err != nil {
			return err
		}
		records = append(records, data)
	}
	return log.Append(ctx, kcrid.SnapStream(stream), records)
}
