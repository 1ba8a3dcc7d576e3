package kcrdaemon

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines how snapshots of a state are written and read. Invariant: the log is told that
// it need not keep records any more only after it has acknowledged a snapshot that covers them.

// ReadSnapshots returns the complete snapshots on a snapshot stream: the encoded states
// by the offset of the last record in them. After a read error it returns those that
// it has read before.
func ReadSnapshots(ctx context.Context, log kcrlog.Log, snapshotStream kcrid.Stream) map[kcrid.Offset][]byte {
	snapshots, _ := readSnapshots(ctx, log, snapshotStream) // those that were read are of use
	return snapshots
}

// readSnapshots is ReadSnapshots, and returns the read error.
func readSnapshots(ctx context.Context, log kcrlog.Log, snapshotStream kcrid.Stream) (snapshots map[kcrid.Offset][]byte, err error) {
	snapshots = map[kcrid.Offset][]byte{}
	type snapshotKey struct {
		writer string
		at     uint64
	}
	parts := map[snapshotKey][][]byte{}
	for from := kcrid.Offset(1); ; {
		page, err := log.Read(ctx, snapshotStream, from, 0)
		if err != nil || len(page.Records) == 0 && page.FirstOffset <= from {
			return snapshots, err
		}
		from = max(from, page.FirstOffset)
		for _, r := range page.Records {
			from = r.Offset + 1
			e, err := kcrlog.DecodeEntry(r.Data)
			snap := e.GetSnap()
			if err != nil || snap == nil {
				continue
			}
			key := snapshotKey{e.GetWriter(), snap.GetAt()}
			if int(snap.GetPart()) == len(parts[key]) {
				parts[key] = append(parts[key], snap.GetState())
			}
			if len(parts[key]) == int(snap.GetParts()) {
				snapshots[kcrid.Offset(snap.GetAt())] = concatenate(parts[key])
			}
		}
	}
}

func concatenate(parts [][]byte) (data []byte) {
	for _, p := range parts {
		data = append(data, p...)
	}
	return data
}

// isSnapshotDue tells whether to write a snapshot: after snapshotRecords records, after
// snapshotInterval if any record was applied, and after a longer time in any case,
// since the log deletes snapshots after its retention time as well.
func (f *Follower) isSnapshotDue() bool {
	at, age := f.machine.Offset(), time.Since(f.snapshotTime)
	f.snapshotOffset = min(f.snapshotOffset, at) // the state is read again in a new era of the log
	switch {
	case f.machine.Snapshot == nil || at == 0 || !f.machine.IsSnapshotWriter():
		return false
	case at >= f.snapshotOffset+snapshotRecords, age >= idleSnapshotFactor*f.snapshotInterval:
		return true
	default:
		return at > f.snapshotOffset && age >= f.snapshotInterval
	}
}

func (f *Follower) writeSnapshotIfDue(ctx context.Context) {
	if f.isSnapshotDue() {
		f.WriteSnapshot(ctx)
	}
}

// WriteSnapshot writes a snapshot now. It is not safe for concurrent use with the
// follower's goroutines, so others may call it only after Close.
func (f *Follower) WriteSnapshot(ctx context.Context) {
	at, state, err := f.machine.Snapshot()
	if err != nil {
		f.logger.Error("snapshot failed", "stream", f.stream, "err", err)
		return
	}
	f.snapshotOffset, f.snapshotTime = at, time.Now()
	if err := WriteSnapshot(ctx, f.log, f.stream, at, state); err != nil {
		f.logger.Warn("snapshot not written", "stream", f.stream, "err", err)
		return
	}
	if f.log.Release == nil {
		return
	}
	if err := f.log.Release(ctx, f.stream, at); err != nil {
		f.logger.Warn("records not released", "stream", f.stream, "at", at, "err", err)
	}
}

// WriteSnapshot appends the encoded state of a stream as of an offset to the stream of
// its snapshots, in parts of at most snapshotPartSize.
func WriteSnapshot(ctx context.Context, log kcrlog.Log, stream kcrid.Stream, at kcrid.Offset, state []byte) error {
	var records [][]byte
	count := (len(state) + snapshotPartSize - 1) / snapshotPartSize
	for i := range count {
		part := state[i*snapshotPartSize : min(len(state), (i+1)*snapshotPartSize)]
		data, err := proto.Marshal(&kcrentry.Entry{Kind: &kcrentry.Entry_Snap{Snap: &kcrentry.Snap{
			At: uint64(at), Part: uint32(i), Parts: uint32(count), State: part,
		}}})
		if err != nil {
			return err
		}
		records = append(records, data)
	}
	return log.Append(ctx, kcrid.SnapshotStream(stream), records)
}
