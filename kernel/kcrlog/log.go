// Package kcrlog defines the interface to the platform's log and the Outbox, which
// makes appends to the log safe to repeat.
//
// The offset of a record gives its position in the total order of its stream. The
// response to an append can be lost after the append took effect. Therefore each
// entry carries its writer and a sequence number, an Outbox returns the same
// entries in the same order until they are confirmed, and every reader ignores
// entries that it has applied before.
package kcrlog

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// MaxRecordBytes is the maximum size of a record, in bytes.
const MaxRecordBytes = 1 << 20

// Record is an encoded entry at its offset in a stream. Without data it is none, and readers skip it.
type Record struct {
	Offset kcrid.Offset
	Data   []byte
}

// Page is the result of one read: consecutive records of a stream. FirstOffset is the
// offset of the oldest record that the log still holds, NextOffset the offset that the
// next append will get. Era rises whenever the log comes back from an older copy: the records
// since that copy are gone, and their offsets are given out again. It is 0 for a log that
// never loses records.
type Page struct {
	FirstOffset kcrid.Offset
	NextOffset  kcrid.Offset
	Records     []Record
	Era         uint64
}

// Log gives access to the platform's log. Append may take effect although it
// returns an error. Read waits up to wait until a record at offset from exists. If
// the log has deleted that record after its retention time, Read returns an empty
// page whose FirstOffset is greater than from; NextOffset is not below the end then.
//
// Kept and Release are nil for a log that cannot keep records beyond its retention time. The others
// keep those of the streams of kcrid.KeepsRecords. Kept returns all that the log has before
// NextOffset and that no Release has named, in order, and ok false for another stream. Release names the records up to an
// offset: a snapshot that the log has acknowledged covers them. So whoever calls Kept, and reads the
// snapshots after that, has the whole stream up to NextOffset.
type Log struct {
	Append  func(ctx context.Context, s kcrid.Stream, records [][]byte) error
	Read    func(ctx context.Context, s kcrid.Stream, from kcrid.Offset, wait kcrclock.Duration) (Page, error)
	Kept    func(ctx context.Context, s kcrid.Stream) (page Page, ok bool, err error)
	Release func(ctx context.Context, s kcrid.Stream, upTo kcrid.Offset) error
}

// DecodeEntry decodes a record. It returns an error for a record that is not an entry;
// every reader must skip such a record, so that all readers compute the same state.
func DecodeEntry(data []byte) (e *kcrentry.Entry, err error) {
	if len(data) > MaxRecordBytes {
		return nil, fmt.Errorf("record: expected at most %d bytes, got %d", MaxRecordBytes, len(data))
	}
	e = &kcrentry.Entry{}
	if err := proto.Unmarshal(data, e); err != nil {
		return nil, fmt.Errorf("record: expected an entry: %w", err)
	}
	return e, nil
}

// Outbox queues the encoded entries of one writer for the log until they are
// confirmed. It is not safe for concurrent use.
type Outbox struct {
	writer  kcrid.Incarnation
	seq     uint64 // sequence of the last entry queued
	pending []pendingEntry
}

// pendingEntry is an encoded entry that is not confirmed.
type pendingEntry struct {
	seq  uint64
	data []byte
}

// NewOutbox returns an empty outbox. The writer must not have written any entry
// yet, since sequences start at 1.
func NewOutbox(writer kcrid.Incarnation) *Outbox { return &Outbox{writer: writer} }

// Enqueue sets the writer and the sequence of an entry, queues it, and returns the
// sequence.
func (o *Outbox) Enqueue(e *kcrentry.Entry) uint64 {
	o.seq++
	e.Writer = string(o.writer)
	e.Seq = o.seq
	data, err := proto.Marshal(e)
	if err != nil {
		panic("kcrlog: cannot marshal an entry: " + err.Error())
	}
	o.pending = append(o.pending, pendingEntry{seq: o.seq, data: data})
	return o.seq
}

// Batch returns the oldest queued entries, at most limit, and the sequence of the
// last one. It returns the same entries again until they are confirmed.
func (o *Outbox) Batch(limit int) (records [][]byte, last uint64) {
	for _, p := range o.pending {
		if len(records) == limit {
			break
		}
		records = append(records, p.data)
		last = p.seq
	}
	return records, last
}

// Confirm removes the entries up to and including seq, which were read back from
// the log.
func (o *Outbox) Confirm(seq uint64) {
	confirmed := 0
	for confirmed < len(o.pending) && o.pending[confirmed].seq <= seq {
		confirmed++
	}
	o.pending = o.pending[confirmed:]
}

// Clear removes all entries. Sequences go on.
func (o *Outbox) Clear() { o.pending = nil }

// Len returns the number of entries that are not confirmed.
func (o *Outbox) Len() int { return len(o.pending) }

// Deduplicator maps each writer to the last sequence that was applied, so that a reader
// can ignore repeated appends. It is not safe for concurrent use.
type Deduplicator map[kcrid.Incarnation]uint64

// Accept tells whether an entry was not applied before, and records its sequence.
func (d Deduplicator) Accept(writer kcrid.Incarnation, seq uint64) bool {
	if seq <= d[writer] {
		return false
	}
	d[writer] = seq
	return true
}
