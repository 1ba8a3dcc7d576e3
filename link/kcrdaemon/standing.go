package kcrdaemon

import (
	"context"
	"maps"
	"slices"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file tells where the state of a follower stands in its stream, and how it gets on from there if the
// log no longer holds the next record. A new era of the log is met before that (beginEra): the state
// begins again, unless it needs nothing of the time before. Invariants: a state counts as up to date
// only with all that the log held when it was asked for its end; a gap is crossed with a snapshot and every record after it,
// or not at all, unless the state allows gaps.

// standing is where a state stands in its stream.
type standing int

const (
	continued   standing = iota // the log holds the next record, or will
	behindFirst                 // the log has deleted the next record
	beyondEnd                   // the log ends before the next record
	outdated                    // the page shows the log as of before the last record was read
)

// standing returns where the state stands, as a page of the log shows it that was read from an offset. A
// log that never had a record ends before any but the first.
func (f *Follower) standing(from kcrid.Offset, page kcrlog.Page) standing {
	switch {
	case page.NextOffset < f.next && from < f.next:
		return outdated
	case page.FirstOffset > f.next:
		return behindFirst
	case page.NextOffset < f.next:
		return beyondEnd
	default:
		return continued
	}
}

// crossGap continues the state after records that the log has deleted. It returns false if it can't.
func (f *Follower) crossGap(ctx context.Context, page kcrlog.Page) bool {
	if f.machine.AllowsGaps {
		if !f.bridgeGap(ctx) {
			return false
		}
		f.next = page.FirstOffset
		return true
	}
	kept, ok, err := f.keptRecords(ctx)
	if err != nil {
		f.logger.Warn("kept records not read", "stream", f.stream, "err", err)
		return false
	}
	if ok {
		return f.restoreFromKept(ctx, kept)
	}
	if !f.restore(ctx, page.FirstOffset, page.NextOffset) {
		f.logger.Error("state cannot be restored: the log has deleted records that no snapshot covers", "stream", f.stream, "need", f.next, "first", page.FirstOffset)
		return false
	}
	return true
}

// keptRecords returns what the log keeps of the stream; ok is false if it keeps nothing beyond its
// retention time.
func (f *Follower) keptRecords(ctx context.Context) (kept kcrlog.Page, ok bool, err error) {
	if f.log.Kept == nil {
		return kept, false, nil
	}
	return f.log.Kept(ctx, f.stream)
}

// restoreFromKept restores the newest snapshot and applies the kept records after it. The snapshots are
// read after the records, so that one of them covers each record that was released before.
func (f *Follower) restoreFromKept(ctx context.Context, kept kcrlog.Page) bool {
	if kept.Era != f.era {
		return false
	}
	snapshots, err := readSnapshots(ctx, f.log, kcrid.SnapshotStream(f.stream))
	if err != nil {
		f.logger.Warn("snapshots not read", "stream", f.stream, "err", err)
		return false
	}
	if covered := f.restoreNewest(snapshots, 0, kept.NextOffset); f.machine.Offset() < covered {
		return false
	}
	for _, r := range kept.Records {
		if r.Offset > f.machine.Offset() {
			f.applyRecord(r)
		}
	}
	f.next = max(f.next, kept.NextOffset)
	f.logger.Info("state restored", "stream", f.stream, "at", f.machine.Offset(), "next", f.next, "snapshots", len(snapshots), "kept", len(kept.Records))
	return true
}

// restore restores the newest snapshot after which the log still holds all records;
// first is the offset of the oldest one, and end that of the next. It tells whether the state
// can be continued from there.
func (f *Follower) restore(ctx context.Context, first, end kcrid.Offset) bool {
	f.restoreNewest(ReadSnapshots(ctx, f.log, kcrid.SnapshotStream(f.stream)), first, end)
	if at := f.machine.Offset(); at+1 >= first {
		f.next = max(f.next, at+1)
		return true
	}
	return false
}

// restoreNewest restores the newest snapshot that covers the records before first. One from
// beyond the end is of records that the log has lost. It returns the offset of the newest one that
// covers them, 0 if there is none.
func (f *Follower) restoreNewest(snapshots map[kcrid.Offset][]byte, first, end kcrid.Offset) (newest kcrid.Offset) {
	for _, at := range slices.Backward(slices.Sorted(maps.Keys(snapshots))) {
		if at+1 < first || at >= end {
			continue
		}
		newest = max(newest, at)
		if _, err := f.machine.Restore(snapshots[at]); err != nil {
			f.logger.Warn("snapshot skipped", "stream", f.stream, "at", at, "err", err)
			continue
		}
		return newest
	}
	return newest
}

// bridgeGap adds what the newest snapshot holds to a state that allows gaps, in place of the
// records that the log has deleted. It returns false if the snapshots can't be read.
func (f *Follower) bridgeGap(ctx context.Context) bool {
	if f.machine.Restore == nil {
		return true
	}
	snapshotStream := kcrid.SnapshotStream(f.stream)
	snapshots, err := readSnapshots(ctx, f.log, snapshotStream)
	if err != nil {
		f.logger.Warn("snapshots not read", "stream", snapshotStream, "err", err)
		return false
	}
	if len(snapshots) == 0 {
		return true
	}
	newest := slices.Max(slices.Collect(maps.Keys(snapshots)))
	if _, err := f.machine.Restore(snapshots[newest]); err != nil {
		f.logger.Warn("snapshot skipped", "stream", snapshotStream, "at", newest, "err", err)
	}
	return true
}
