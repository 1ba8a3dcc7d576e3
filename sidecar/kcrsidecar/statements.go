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

// This file writes settlements to the log as the lines of customers' statements. A line
// that is written twice counts once, so an append is repeated until the log confirms
// it.

const (
	statementFlushInterval = 8 * time.Second
	maxStatementBatch      = 256 // lines
	// maxDurableKeys is how many written lines are remembered for each bucket. A line that
	// is forgotten may be written again, which does no harm.
	maxDurableKeys = 8192
)

// statementWriter writes statement lines to the log. It is safe for concurrent use.
type statementWriter struct {
	log        kcrlog.Log
	logger     *slog.Logger
	writer     kcrid.Incarnation // name under which lines are appended
	cancel     context.CancelFunc
	background conc.WaitGroup

	flushMu sync.Mutex // held while batches are appended, so that one flush runs at a time

	mu      sync.Mutex
	streams map[kcrid.Bucket]*statementStream
}

// settlementKey identifies a settlement on a statement.
type settlementKey struct {
	server kcrid.Incarnation
	id     uint64
	call   kcrid.CallID
}

// statementStream holds the lines of one bucket, which has a log stream of its own.
type statementStream struct {
	outbox       *kcrlog.Outbox
	pending      map[settlementKey]uint64 // sequence numbers of the lines in the outbox
	durable      map[settlementKey]bool   // lines that are known to be on the log
	durableOrder []settlementKey          // keys of durable, oldest first
}

// newStatementWriter starts a writer that appends in the background.
func newStatementWriter(writer kcrid.Incarnation, log kcrlog.Log, logger *slog.Logger) *statementWriter {
	ctx, cancel := context.WithCancel(context.Background())
	w := &statementWriter{log: log, logger: logger, writer: writer, cancel: cancel, streams: map[kcrid.Bucket]*statementStream{}}
	w.background.Go(func() { kcrdaemon.RunEvery(ctx, statementFlushInterval, w.flush) })
	return w
}

// enqueue queues a settlement unless it is known, and reports whether it needs nothing
// more: it is on the log, or its call did not run.
func (w *statementWriter) enqueue(bucket kcrid.Bucket, server kcrid.Incarnation, settlement kcrbudget.Settlement) bool {
	if settlement.Outcome == kcrbudget.NotRun {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	stream, ok := w.streams[bucket]
	if !ok {
		stream = &statementStream{outbox: kcrlog.NewOutbox(w.writer), pending: map[settlementKey]uint64{}, durable: map[settlementKey]bool{}}
		w.streams[bucket] = stream
	}
	key := settlementKey{server: server, id: settlement.ID, call: settlement.Call}
	if stream.durable[key] {
		return true
	}
	if _, ok := stream.pending[key]; !ok {
		stream.pending[key] = stream.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Bill{Bill: &kcrentry.Bill{
			Team: string(settlement.Call.Team), Plan: string(settlement.Plan), Key: string(settlement.Call.Key),
			Tokens: int64(settlement.Tokens), Server: string(server), State: string(settlement.Outcome),
		}}})
	}
	return false
}

// flush appends a batch of each bucket.
func (w *statementWriter) flush(ctx context.Context) {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	w.mu.Lock()
	buckets := make([]kcrid.Bucket, 0, len(w.streams))
	for bucket := range w.streams {
		buckets = append(buckets, bucket)
	}
	w.mu.Unlock()
	for _, bucket := range buckets {
		w.flushBucket(ctx, bucket)
	}
}

// flushBucket appends the oldest lines of a bucket, and marks them as durable if the
// log confirms the append.
func (w *statementWriter) flushBucket(ctx context.Context, bucket kcrid.Bucket) {
	w.mu.Lock()
	stream := w.streams[bucket]
	records, last := stream.outbox.Batch(maxStatementBatch)
	w.mu.Unlock()
	if len(records) == 0 {
		return
	}
	if err := w.log.Append(ctx, kcrid.BillStream(bucket), records); err != nil {
		w.logger.Debug("append of statement lines failed", "bucket", bucket, "err", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	stream.outbox.Confirm(last)
	for key, seq := range stream.pending {
		if seq <= last {
			delete(stream.pending, key)
			stream.durable[key] = true
			stream.durableOrder = append(stream.durableOrder, key)
		}
	}
	for len(stream.durableOrder) > maxDurableKeys {
		delete(stream.durable, stream.durableOrder[0])
		stream.durableOrder = stream.durableOrder[1:]
	}
}

// drain appends batches until every line is on the log or the context ends.
func (w *statementWriter) drain(ctx context.Context) {
	for ctx.Err() == nil {
		w.flush(ctx)
		w.mu.Lock()
		unconfirmed := 0
		for _, stream := range w.streams {
			unconfirmed += stream.outbox.Len()
		}
		w.mu.Unlock()
		if unconfirmed == 0 {
			return
		}
		time.Sleep(settleInterval)
	}
}

// close stops the background work. Lines that are not on the log are dropped.
func (w *statementWriter) close() {
	w.cancel()
	w.background.Wait()
}
