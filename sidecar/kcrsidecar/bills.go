package kcrsidecar

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrdaemon"
)

// This file writes statement lines to the log. A line that is written twice
// counts once, so an append is repeated until it is answered.

const (
	billTick  = 8 * time.Second
	billBatch = 256 // lines
	// durableMemory is how many written lines are remembered.
	durableMemory = 8192
)

// billbox writes statement lines to the log.
type billbox struct {
	log    kcrlog.Log
	logger *slog.Logger
	writer kcrid.Incarnation
	cancel context.CancelFunc
	wait   conc.WaitGroup

	writing sync.Mutex // held while a batch is on its way

	mu    sync.Mutex
	boxes map[kcrid.Bucket]*billStream
}

type billKey struct {
	server kcrid.Incarnation
	id     uint64
	call   kcrid.Call
}

// billStream is the part of a billbox for one stream.
type billStream struct {
	outbox  *kcrlog.Outbox
	waiting map[billKey]uint64 // sequence of lines in the outbox
	durable map[billKey]bool
	order   []billKey
}

func newBillbox(writer kcrid.Incarnation, log kcrlog.Log, logger *slog.Logger) *billbox {
	ctx, cancel := context.WithCancel(context.Background())
	b := &billbox{log: log, logger: logger, writer: writer, cancel: cancel, boxes: map[kcrid.Bucket]*billStream{}}
	b.wait.Go(func() { kcrdaemon.Every(ctx, billTick, b.flush) })
	return b
}

// put queues a line once and tells whether it is on the log. A line of a call
// that did not run needs none.
func (b *billbox) put(bucket kcrid.Bucket, server kcrid.Incarnation, l kcrbudget.Line) bool {
	if l.State == kcrbudget.Void {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	st, ok := b.boxes[bucket]
	if !ok {
		st = &billStream{outbox: kcrlog.NewOutbox(b.writer), waiting: map[billKey]uint64{}, durable: map[billKey]bool{}}
		b.boxes[bucket] = st
	}
	k := billKey{server: server, id: l.ID, call: l.Call}
	if st.durable[k] {
		return true
	}
	if _, ok := st.waiting[k]; !ok {
		st.waiting[k] = st.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Bill{Bill: &kcrentry.Bill{
			Team: string(l.Call.Team), Plan: string(l.Plan), Key: string(l.Call.Key),
			Tokens: int64(l.Tokens), Server: string(server), State: string(l.State),
		}}})
	}
	return false
}

func (b *billbox) flush(ctx context.Context) {
	b.writing.Lock()
	defer b.writing.Unlock()
	b.mu.Lock()
	buckets := make([]kcrid.Bucket, 0, len(b.boxes))
	for n := range b.boxes {
		buckets = append(buckets, n)
	}
	b.mu.Unlock()
	for _, n := range buckets {
		b.flushBucket(ctx, n)
	}
}

func (b *billbox) flushBucket(ctx context.Context, n kcrid.Bucket) {
	b.mu.Lock()
	st := b.boxes[n]
	records, last := st.outbox.Batch(billBatch)
	b.mu.Unlock()
	if len(records) == 0 {
		return
	}
	if err := b.log.Append(ctx, kcrid.BillStream(n), records); err != nil {
		b.logger.Debug("bill append failed", "bucket", n, "err", err)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	st.outbox.Confirm(last)
	for k, seq := range st.waiting {
		if seq <= last {
			delete(st.waiting, k)
			st.durable[k] = true
			st.order = append(st.order, k)
		}
	}
	for len(st.order) > durableMemory {
		delete(st.durable, st.order[0])
		st.order = st.order[1:]
	}
}

// drain writes every line to the log, until the context ends.
func (b *billbox) drain(ctx context.Context) {
	for ctx.Err() == nil {
		b.flush(ctx)
		b.mu.Lock()
		left := 0
		for _, st := range b.boxes {
			left += st.outbox.Len()
		}
		b.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(settleTick)
	}
}

func (b *billbox) close() {
	b.cancel()
	b.wait.Wait()
}
