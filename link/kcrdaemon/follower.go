// Package kcrdaemon holds what the long-running processes share: the follower that
// replicates a state from a stream of the log, the configuration and the VM list that
// a process keeps up to date, the admin endpoint, logging, and the command line.
package kcrdaemon

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the follower, which applies the records of a stream to a state,
// and appends the records that the state produces. Invariants:
// records are applied in order and none is left out; an
// append is repeated only with the same bytes, so that the state ignores the copies; records
// of two eras of the log are never mixed. Where a state stands in its stream, standing.go tells.

// StateMachine is a state that is computed from the records of a stream, as functions
// that a follower calls. Batch, Snapshot, MarkReady and ReadDelay may be nil,
// IsSnapshotWriter may be nil without Snapshot, and Restore may be nil with AllowsGaps.
type StateMachine struct {
	// Apply applies the record at an offset.
	Apply func(off kcrid.Offset, e *kcrentry.Entry)
	// Offset returns the offset of the last record applied.
	Offset func() kcrid.Offset
	// Restore replaces the state by a snapshot if the snapshot is newer, and tells
	// whether it was. With AllowsGaps it adds what the newest snapshot holds to the state.
	Restore func(state []byte) (bool, error)
	// BeginEra is called with the era of the log before the first page, and whenever the log
	// has come back from an older copy. It reports whether the state was reset: the stream is
	// then read from its start. It may be nil for a log that never loses records.
	BeginEra func(era uint64) (reset bool)
	// Snapshot returns the encoded state and the offset of the last record in it.
	Snapshot func() (kcrid.Offset, []byte, error)
	// Batch returns at most limit records to append, and the sequence of the last
	// one. It returns the same records again until they were read from the stream.
	Batch func(limit int) ([][]byte, uint64)
	// MarkReady is called whenever the end of the stream was reached.
	MarkReady func()
	// IsSnapshotWriter tells whether this process writes the snapshots of the stream.
	IsSnapshotWriter func() bool
	// ReadDelay returns the time to wait between two reads, for a state that may lag
	// behind the stream.
	ReadDelay func() time.Duration
	// AllowsGaps tells that the state does not need the records that the log has deleted
	// after their retention time.
	AllowsGaps bool
}

// Timing and sizes of a follower.
const (
	// readWait is how long a read waits for the next record.
	readWait = 3 * kcrclock.Second
	// errorDelay is the time between an error of the log and the next attempt.
	errorDelay = 200 * time.Millisecond
	// appendInterval is the time in which records accumulate to a batch, and the time
	// between two checks whether a batch is confirmed.
	appendInterval = 5 * time.Millisecond
	// idleInterval is the time between two checks for records to append without a
	// call of Wake.
	idleInterval   = 250 * time.Millisecond
	confirmTimeout = time.Second
	// firstReread is how long after an append the stream is read again if the batch is
	// not confirmed: a read that waits for records may not be told of the new one. The
	// time doubles with each further read.
	firstReread = 20 * time.Millisecond
	// minResend and maxResend limit the time after which an append that was not answered
	// is sent again. In between, it is resendFactor times the usual time of an append.
	minResend    = 40 * time.Millisecond
	maxResend    = time.Second
	resendFactor = 4
	// appendTimeWeight is the weight of the newest append in the usual time.
	appendTimeWeight = 0.2
	maxBatch         = 256 // records
	// snapshotRecords is the number of records after which a snapshot is written.
	snapshotRecords = 2000
	// idleSnapshotFactor is the number of snapshot intervals after which a snapshot
	// is written although no record was applied.
	idleSnapshotFactor = 6
	// snapshotPartSize is the maximum size of a part of a snapshot, in bytes. A
	// record of the platform's store holds at most 256 KB.
	snapshotPartSize = 200 << 10
)

// Follower keeps a state up to date with a stream. Close stops it.
type Follower struct {
	log              kcrlog.Log
	stream           kcrid.Stream
	machine          StateMachine
	logger           *slog.Logger
	snapshotOffset   kcrid.Offset // offset of the last snapshot that was attempted; initially that of the state
	snapshotTime     time.Time    // time of the last snapshot that was attempted; initially the start time
	snapshotInterval time.Duration
	clock            kcrclock.Clock // monotonic, since the wall clock can jump
	appendTime       atomic.Int64   // usual time of an append, in nanoseconds
	endReachedAt     atomic.Int64   // time of the last read that reached the end of the stream; initially the start time
	wake             chan struct{}  // receives a value when there may be records to append
	cancel           context.CancelFunc
	wg               conc.WaitGroup

	applying sync.Mutex   // held while records are applied
	next     kcrid.Offset // offset of the next record to apply
	era      uint64       // era of the log, 0 before the first page
}

// NewFollower starts to follow a stream. While records arrive, a snapshot is written
// at least once per snapshotInterval, which must be well below the log's retention time.
func NewFollower(log kcrlog.Log, stream kcrid.Stream, machine StateMachine, logger *slog.Logger, snapshotInterval time.Duration) *Follower {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Follower{
		log: log, stream: stream, machine: machine, logger: logger, cancel: cancel, wake: make(chan struct{}, 1),
		snapshotOffset: machine.Offset(), snapshotTime: time.Now(), snapshotInterval: snapshotInterval, clock: kcrclock.Monotonic(),
	}
	f.endReachedAt.Store(int64(f.clock.Now()))
	f.wg.Go(func() { f.readLoop(ctx) })
	if machine.Batch != nil || machine.Snapshot != nil {
		f.wg.Go(func() { f.writeLoop(ctx) })
	}
	return f
}

// Close stops the follower and waits until its goroutines have ended.
func (f *Follower) Close() {
	f.cancel()
	f.wg.Wait()
}

// Wake tells the follower that there may be records to append. Without it, the
// follower finds them within idleInterval.
func (f *Follower) Wake() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Lag returns the time since the follower last reached the end of the stream, or since
// its start if it never did.
func (f *Follower) Lag() kcrclock.Duration {
	return f.clock.Now().Sub(kcrclock.Time(f.endReachedAt.Load()))
}

// readLoop reads the stream and applies its records until the context is done.
func (f *Follower) readLoop(ctx context.Context) {
	wait := kcrclock.Duration(0)
	for ctx.Err() == nil {
		from := f.nextOffset()
		page, err := f.log.Read(ctx, f.stream, from, wait)
		if err != nil {
			f.logger.Debug("log read failed", "stream", f.stream, "err", err)
			Sleep(ctx, errorDelay)
			continue
		}
		if !f.applyPage(ctx, from, page) {
			Sleep(ctx, time.Second)
			continue
		}
		wait = readWait
		Sleep(ctx, f.readPause())
	}
}

// readPause returns the time to wait between two reads.
func (f *Follower) readPause() time.Duration {
	if f.machine.ReadDelay == nil {
		return 0
	}
	return f.machine.ReadDelay()
}

// nextOffset returns the offset of the next record to apply.
func (f *Follower) nextOffset() kcrid.Offset {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.next = max(f.next, f.machine.Offset()+1)
	return f.next
}

// beginEra begins the era of a page, and reports whether the page can be applied: it is not
// of an earlier era, and the state was not reset.
func (f *Follower) beginEra(era uint64) bool {
	if era == f.era {
		return true
	}
	if era < f.era {
		return false
	}
	f.era = era
	if f.machine.BeginEra == nil || !f.machine.BeginEra(era) {
		return true
	}
	f.logger.Warn("the log has come back from an older copy: the stream is read again", "stream", f.stream, "era", era, "next", f.next)
	f.next = 0
	return false
}

// applyPage applies the records of a page, read from an offset, that follow the state. It returns
// false if the state can't be continued for now.
func (f *Follower) applyPage(ctx context.Context, from kcrid.Offset, page kcrlog.Page) bool {
	f.applying.Lock()
	defer f.applying.Unlock()
	if !f.beginEra(page.Era) || from > f.next {
		return true
	}
	switch f.standing(from, page) {
	case outdated:
		return true
	case beyondEnd:
		f.logger.Warn("the log ends before the next record", "stream", f.stream, "next", f.next, "end", page.NextOffset)
		return false
	case behindFirst:
		if !f.crossGap(ctx, page) {
			return false
		}
	case continued:
	}
	f.applyRecords(page.Records)
	if f.next >= page.NextOffset {
		f.endReachedAt.Store(int64(f.clock.Now()))
		if f.machine.MarkReady != nil {
			f.machine.MarkReady()
		}
	}
	return true
}

// applyRecords applies the records that follow the state. One that is not an entry is skipped, as every
// reader must do.
func (f *Follower) applyRecords(records []kcrlog.Record) {
	for _, r := range records {
		if r.Offset != f.next {
			continue
		}
		f.next++
		f.applyRecord(r)
	}
}

// applyRecord applies a record, unless it is none.
func (f *Follower) applyRecord(r kcrlog.Record) {
	if len(r.Data) == 0 {
		return
	}
	e, err := kcrlog.DecodeEntry(r.Data)
	if err != nil {
		f.logger.Warn("record skipped", "stream", f.stream, "offset", r.Offset, "err", err)
		return
	}
	f.machine.Apply(r.Offset, e)
}

// writeLoop appends the records of the state and writes snapshots until the context is
// done.
func (f *Follower) writeLoop(ctx context.Context) {
	idleTicker := time.NewTicker(idleInterval)
	defer idleTicker.Stop()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
			Sleep(ctx, appendInterval)
		case <-idleTicker.C:
		}
		f.appendAll(ctx)
		f.writeSnapshotIfDue(ctx)
	}
}

// appendAll appends batches until the state has no more records to append. A batch that
// is not confirmed is sent again, with the records that have come since; the delay before
// that doubles each time.
func (f *Follower) appendAll(ctx context.Context) {
	delay := f.resendDelay()
	for ctx.Err() == nil && f.machine.Batch != nil {
		records, last := f.machine.Batch(maxBatch)
		if len(records) == 0 {
			return
		}
		if f.appendBatch(ctx, records, last, delay) {
			delay = f.resendDelay()
		} else {
			delay = min(2*delay, maxResend)
		}
	}
}

// resendDelay returns the time after which an append that was not answered is sent again.
func (f *Follower) resendDelay() time.Duration {
	return min(max(minResend, resendFactor*time.Duration(f.appendTime.Load())), maxResend)
}

// appendBatch appends a batch and waits until it is applied. It reports whether it was: it
// gives up after confirmTimeout, after an error, or if there is no answer after delay. A
// call that was not answered goes on, since it may still take effect. last is the sequence
// of the last record.
func (f *Follower) appendBatch(ctx context.Context, records [][]byte, last uint64, delay time.Duration) (confirmed bool) {
	readPause := f.readPause()
	start, reread, answered := time.Now(), readPause+firstReread, f.startAppend(ctx, records)
	for ctx.Err() == nil {
		if _, newLast := f.machine.Batch(len(records)); newLast != last {
			return true
		}
		waited := time.Since(start)
		switch {
		case waited >= confirmTimeout, answered != nil && waited >= delay:
			return false
		case answered == nil && waited >= reread:
			reread *= 2
			f.readNow(ctx)
		}
		select {
		case err := <-answered:
			if err != nil {
				f.logger.Debug("log append failed", "stream", f.stream, "err", err)
				Sleep(ctx, errorDelay)
				return false
			}
			answered, reread = nil, time.Since(start)+readPause+firstReread
		case <-time.After(appendInterval):
		}
	}
	return false
}

// startAppend starts a call that appends records. The channel receives its error.
func (f *Follower) startAppend(ctx context.Context, records [][]byte) <-chan error {
	answered := make(chan error, 1)
	f.wg.Go(func() {
		start := time.Now()
		err := f.log.Append(ctx, f.stream, records)
		if err == nil {
			usual := time.Duration(f.appendTime.Load())
			f.appendTime.Store(int64(usual) + int64(appendTimeWeight*float64(time.Since(start)-usual)))
		}
		answered <- err
	})
	return answered
}

// readNow reads the stream without waiting for records, and applies what it gets.
func (f *Follower) readNow(ctx context.Context) {
	from := f.nextOffset()
	page, err := f.log.Read(ctx, f.stream, from, 0)
	if err != nil {
		f.logger.Debug("log read failed", "stream", f.stream, "err", err)
		return
	}
	f.applyPage(ctx, from, page)
}
