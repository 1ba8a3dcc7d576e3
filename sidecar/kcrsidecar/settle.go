package kcrsidecar

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrwire"
)

// This file brings finished runs to the homes and onto the statement. Each
// line is kept here and at the home until it is on the log, so it outlives
// either of the two. A line that is written twice counts once.

const (
	settleTick   = 200 * time.Millisecond
	settleRetry  = 2 * kcrclock.Second
	settleGiveUp = 30 * kcrclock.Second
	billTick     = 500 * time.Millisecond
)

// owed is a line that is not known to be on the log.
type owed struct {
	grant grant
	line  kcrbudget.Line
	at    kcrclock.Time
	next  kcrclock.Time
}

// settler sends settlements.
type settler struct {
	s      *Sidecar
	bills  *billbox
	cancel context.CancelFunc
	wait   conc.WaitGroup

	mu   sync.Mutex
	owed map[grant]*owed
	held map[grant]bool // reservations whose run goes on
}

func newSettler(s *Sidecar, log kcrlog.Log) *settler {
	ctx, cancel := context.WithCancel(context.Background())
	st := &settler{
		s: s, cancel: cancel, owed: map[grant]*owed{}, held: map[grant]bool{},
		bills: newBillbox(s.self+"/settle", log, s.config.Logger),
	}
	st.wait.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(settleTick)
			st.flush(ctx)
		}
	})
	return st
}

// hold notes a reservation whose run goes on, so that its home hears of it.
func (st *settler) hold(g grant) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.held[g] = true
}

// put queues the settlement of a run.
func (st *settler) put(g grant, l kcrbudget.Line) {
	st.mu.Lock()
	defer st.mu.Unlock()
	l.ID = g.id
	delete(st.held, g)
	now := st.s.clock.Now()
	st.owed[g] = &owed{grant: g, line: l, at: now, next: now}
}

// owes tells whether a reservation was used and is not settled yet.
func (st *settler) owes(g grant) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.owed[g] != nil
}

// batch collects what is due by holder. Holders of running reservations get an
// empty batch now and then as a sign of life.
func (st *settler) batch(now kcrclock.Time) map[kcrid.Incarnation][]*owed {
	st.mu.Lock()
	defer st.mu.Unlock()
	out := map[kcrid.Incarnation][]*owed{}
	for _, o := range st.owed {
		if o.next <= now {
			o.next = now.Add(settleRetry)
			out[o.grant.holder] = append(out[o.grant.holder], o)
		}
	}
	if int64(now)/1000%2 == 0 {
		for g := range st.held {
			if out[g.holder] == nil {
				out[g.holder] = []*owed{{grant: g}}
			}
		}
	}
	return out
}

func (st *settler) flush(ctx context.Context) {
	now := st.s.clock.Now()
	for holder, lines := range st.batch(now) {
		st.send(ctx, now, holder, lines)
	}
}

func (st *settler) send(ctx context.Context, now kcrclock.Time, holder kcrid.Incarnation, batch []*owed) {
	var lines []kcrbudget.Line
	for _, o := range batch {
		if o.line.Call.Key != "" {
			lines = append(lines, o.line)
		}
	}
	settled, err := st.deliver(ctx, holder, batch[0].grant.addr, lines)
	if err == nil {
		st.taken(holder, settled)
		return
	}
	for _, o := range batch {
		if o.line.Call.Key != "" && now.Sub(o.at) > settleGiveUp {
			st.writeSelf(o)
		}
	}
}

func (st *settler) deliver(ctx context.Context, holder kcrid.Incarnation, addr string, lines []kcrbudget.Line) (*kcrwire.Settled, error) {
	if settled, ok := st.s.homes.settle(holder, st.s.self, lines); ok {
		return settled, nil
	}
	msg := &kcrwire.Settle{Server: string(st.s.self), Holder: string(holder)}
	for _, l := range lines {
		msg.Lines = append(msg.Lines, &kcrwire.Line{
			Id: l.ID, Team: string(l.Call.Team), Key: string(l.Call.Key),
			Plan: string(l.Plan), Tokens: int64(l.Tokens), State: string(l.State),
		})
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := st.s.pool.Call(ctx, addr, &kcrwire.Request{Kind: &kcrwire.Request_Settle{Settle: msg}})
	if err != nil {
		return nil, err
	}
	return reply.GetSettled(), nil
}

func (st *settler) taken(holder kcrid.Incarnation, r *kcrwire.Settled) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, id := range r.GetDurable() {
		for g := range st.owed {
			if g.holder == holder && g.id == id {
				delete(st.owed, g)
				st.s.meter.Settled(holder, id)
			}
		}
	}
}

// writeSelf puts a line on the statement whose home does not answer.
func (st *settler) writeSelf(o *owed) {
	bucket := kcrid.BucketOf(o.line.Plan, st.s.config.Settings.Buckets)
	if !st.bills.put(bucket, st.s.self, o.line) {
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.owed, o.grant)
}

// drain waits until every line is on the log, or the context ends.
func (st *settler) drain(ctx context.Context) {
	for ctx.Err() == nil {
		st.mu.Lock()
		left := len(st.owed)
		st.mu.Unlock()
		if left == 0 {
			return
		}
		time.Sleep(settleTick)
	}
}

func (st *settler) close() {
	st.cancel()
	st.wait.Wait()
	st.bills.close()
}

// billbox writes statement lines to the log.
type billbox struct {
	log    kcrlog.Log
	logger *slog.Logger
	writer kcrid.Incarnation
	cancel context.CancelFunc
	wait   conc.WaitGroup

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

const durableMemory = 8192

func newBillbox(writer kcrid.Incarnation, log kcrlog.Log, logger *slog.Logger) *billbox {
	ctx, cancel := context.WithCancel(context.Background())
	b := &billbox{log: log, logger: logger, writer: writer, cancel: cancel, boxes: map[kcrid.Bucket]*billStream{}}
	b.wait.Go(func() {
		for ctx.Err() == nil {
			time.Sleep(billTick)
			b.flush(ctx)
		}
	})
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
	records, last := st.outbox.Batch(256)
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

// drain waits until every line is on the log, or the context ends.
func (b *billbox) drain(ctx context.Context) {
	for ctx.Err() == nil {
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
