// Package kcrlog defines what kingcuprun needs of the platform's log, and the
// outbox that makes appends to it safe to repeat.
//
// A record's offset gives the total order. The answer to an append can be lost
// after the append took effect; so entries carry a writer and a sequence, an
// outbox offers the same entries in the same order until they are confirmed,
// and every fold ignores what it has seen.
package kcrlog

import (
	"context"
	"fmt"

	"google.golang.org/protobuf/proto"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// MaxRecord is the largest record that is read or written, in bytes.
const MaxRecord = 1 << 20

// Record is one record of a stream.
type Record struct {
	Offset kcrid.Offset
	Data   []byte
}

// Page is a run of records. First is the oldest offset that is retained and
// Next the offset that the next append will get.
type Page struct {
	First   kcrid.Offset
	Next    kcrid.Offset
	Records []Record
}

// Log is the platform's log. Append may take effect although it returns an
// error. Read waits up to wait for a record at from, and returns an empty page
// whose First is above from where retention has passed it.
type Log struct {
	Append func(ctx context.Context, s kcrid.Stream, records [][]byte) error
	Read   func(ctx context.Context, s kcrid.Stream, from kcrid.Offset, wait kcrclock.Duration) (Page, error)
}

// Decode reads an entry. A record that is no entry gives an error and is to be
// skipped by every fold alike.
func Decode(data []byte) (e *kcrentry.Entry, err error) {
	if len(data) > MaxRecord {
		return nil, fmt.Errorf("record: expected at most %d bytes, got %d", MaxRecord, len(data))
	}
	e = &kcrentry.Entry{}
	if err := proto.Unmarshal(data, e); err != nil {
		return nil, fmt.Errorf("record: expected an entry: %w", err)
	}
	return e, nil
}

// Outbox holds the entries of one writer until they are confirmed. It is not
// safe for concurrent use.
type Outbox struct {
	writer  kcrid.Incarnation
	seq     uint64
	pending []pending
}

type pending struct {
	seq  uint64
	data []byte
}

// NewOutbox returns an empty outbox of a writer that has written nothing yet.
func NewOutbox(writer kcrid.Incarnation) *Outbox { return &Outbox{writer: writer} }

// Put queues an entry, stamps it, and returns its sequence.
func (o *Outbox) Put(e *kcrentry.Entry) uint64 {
	o.seq++
	e.Writer = string(o.writer)
	e.Seq = o.seq
	data, err := proto.Marshal(e)
	if err != nil {
		panic("kcrlog: entry does not marshal: " + err.Error())
	}
	o.pending = append(o.pending, pending{seq: o.seq, data: data})
	return o.seq
}

// Batch returns the oldest entries, at most max of them, and the sequence of
// the last. It returns them again until they are confirmed.
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

// Confirm drops the entries up to seq: they are known to be on the log.
func (o *Outbox) Confirm(seq uint64) {
	i := 0
	for i < len(o.pending) && o.pending[i].seq <= seq {
		i++
	}
	o.pending = o.pending[i:]
}

// Len returns the number of entries that are not confirmed.
func (o *Outbox) Len() int { return len(o.pending) }

// Seen tracks the last sequence of each writer, so that a fold can ignore
// repeats. It is not safe for concurrent use.
type Seen map[kcrid.Incarnation]uint64

// Fresh records a sequence and tells whether it is new.
func (s Seen) Fresh(writer kcrid.Incarnation, seq uint64) bool {
	if seq <= s[writer] {
		return false
	}
	s[writer] = seq
	return true
}
