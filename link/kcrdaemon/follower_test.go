package kcrdaemon

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// deafLog is a log that does not tell reads that wait of new records. The first
// unanswered appends take no effect and get no answer.
type deafLog struct {
	mu         sync.Mutex
	records    [][]byte
	unanswered int
}

func (l *deafLog) append(ctx context.Context, _ kcrid.Stream, records [][]byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unanswered > 0 {
		l.unanswered--
		l.mu.Unlock()
		<-ctx.Done()
		l.mu.Lock()
		return ctx.Err()
	}
	l.records = append(l.records, records...)
	return nil
}

func (l *deafLog) read(ctx context.Context, _ kcrid.Stream, from kcrid.Offset, wait kcrclock.Duration) (kcrlog.Page, error) {
	l.mu.Lock()
	records := l.records[from-1:]
	l.mu.Unlock()
	if len(records) == 0 && wait > 0 {
		<-ctx.Done()
		return kcrlog.Page{}, ctx.Err()
	}
	page := kcrlog.Page{FirstOffset: 1, NextOffset: from + kcrid.Offset(len(records))}
	for i, data := range records {
		page.Records = append(page.Records, kcrlog.Record{Offset: from + kcrid.Offset(i), Data: data})
	}
	return page, nil
}

// onceWriter is a state that writes one record and waits until it has read it.
type onceWriter struct {
	mu      sync.Mutex
	applied []kcrid.Offset
	read    chan struct{} // closed when the record was applied
}

func (w *onceWriter) offset() kcrid.Offset {
	w.mu.Lock()
	defer w.mu.Unlock()
	return kcrid.Offset(len(w.applied))
}

func (w *onceWriter) apply(off kcrid.Offset, _ *kcrentry.Entry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.applied = append(w.applied, off); len(w.applied) == 1 {
		close(w.read)
	}
}

func (w *onceWriter) batch(int) ([][]byte, uint64) {
	if w.offset() > 0 {
		return nil, 0
	}
	data, err := proto.Marshal(&kcrentry.Entry{Writer: "w", Seq: 1})
	if err != nil {
		panic(err)
	}
	return [][]byte{data}, 1
}

// TestFollowerConfirms checks that a follower applies its own records although the read
// that waits for records is not told of them, and although some appends are not answered.
func TestFollowerConfirms(t *testing.T) {
	t.Parallel()
	for _, unanswered := range []int{0, 3} {
		l, w := &deafLog{unanswered: unanswered}, &onceWriter{read: make(chan struct{})}
		f := NewFollower(kcrlog.Log{Append: l.append, Read: l.read}, "s", StateMachine{Apply: w.apply, Offset: w.offset, Batch: w.batch},
			slog.New(slog.NewTextHandler(io.Discard, nil)), time.Hour)
		select {
		case <-w.read:
		case <-time.After(10 * time.Second):
			t.Errorf("%d appends not answered: expected the record to be applied, got nothing in 10 s", unanswered)
		}
		f.Close()
	}
}
