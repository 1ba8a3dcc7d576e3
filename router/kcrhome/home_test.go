package kcrhome_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrwire"
	"kingcuprun.example/router/kcrhome"
)

// These tests run a host on an in-memory log and borrow from it over loopback, as a
// router does.

// memoryLog is a log in memory that can be made unavailable.
type memoryLog struct {
	mu          sync.Mutex
	streams     map[kcrid.Stream][][]byte
	unavailable bool
}

func (m *memoryLog) log() kcrlog.Log {
	return kcrlog.Log{Append: m.append, Read: m.read}
}

func (m *memoryLog) append(_ context.Context, s kcrid.Stream, records [][]byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.unavailable {
		return io.ErrClosedPipe
	}
	m.streams[s] = append(m.streams[s], records...)
	return nil
}

func (m *memoryLog) read(_ context.Context, s kcrid.Stream, from kcrid.Offset, wait kcrclock.Duration) (kcrlog.Page, error) {
	m.mu.Lock()
	records, unavailable := m.streams[s], m.unavailable
	m.mu.Unlock()
	if unavailable {
		return kcrlog.Page{}, io.ErrClosedPipe
	}
	p := kcrlog.Page{FirstOffset: 1, NextOffset: kcrid.Offset(len(records) + 1)}
	for i := int(from) - 1; i < len(records); i++ {
		p.Records = append(p.Records, kcrlog.Record{Offset: kcrid.Offset(i + 1), Data: records[i]})
	}
	if len(p.Records) == 0 && wait > 0 {
		time.Sleep(time.Millisecond)
	}
	return p, nil
}

const plan = "team"

// newHost starts a host with one bucket. The function that it returns sends the host a
// request for a loan and returns the answer.
func newHost(tb testing.TB, m *memoryLog) (*kcrhome.Host, func(*kcrwire.Lend) *kcrwire.Lent) {
	tb.Helper()
	return newHostOf(tb, m, "vm")
}

// newHostOf is newHost on a VM, with a log of its own.
func newHostOf(tb testing.TB, m interface{ log() kcrlog.Log }, vm kcrid.VM) (*kcrhome.Host, func(*kcrwire.Lend) *kcrwire.Lent) {
	tb.Helper()
	clock := kcrclock.Monotonic()
	h, err := kcrhome.New(kcrhome.Config{
		Self: kcrid.IncarnationOf(vm, "run"), ListenAddr: "127.0.0.1:0", Log: m.log(), Clock: clock,
		BootClock: kcrbudget.BootClock{BootID: 1, Now: func() kcrclock.Time { return clock.Now() + 1 }},
		Logger:    slog.New(slog.NewTextHandler(io.Discard, nil)), EscrowPolicy: kcrbudget.OutagePolicy(kcrbudget.ShortOutageConfig()), BucketCount: 1, SnapshotInterval: 60000,
	})
	if err != nil {
		tb.Fatal(err)
	}
	pool := kcrlink.NewPool()
	tb.Cleanup(pool.Close)
	return h, func(req *kcrwire.Lend) *kcrwire.Lent {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		req.Buckets = 1
		reply, err := pool.Call(ctx, h.Addr(), &kcrwire.Request{Kind: &kcrwire.Request_Lend{Lend: req}})
		if err != nil {
			tb.Fatal(err)
		}
		return reply.GetLent()
	}
}

// TestLostAnswerIsToldAgain guards against tokens that are lost, or lent or taken back twice,
// when the answer to a call is lost.
func TestLostAnswerIsToldAgain(t *testing.T) {
	t.Parallel()
	m := &memoryLog{streams: map[kcrid.Stream][][]byte{}}
	h, lend := newHost(t, m)
	defer h.Stop(t.Context())
	lent := &kcrwire.Lent{}
	for i := 0; lent.GetTokens() == 0 && i < 100; i++ {
		lent = lend(&kcrwire.Lend{Plan: plan, Need: 600, Tokens: 600, Version: 3, Prepaid: 1000, Id: fmt.Sprint("loan-", i)})
		if again := lend(&kcrwire.Lend{Plan: plan, Need: 600, Tokens: 600, Id: fmt.Sprint("loan-", i), Again: true}); again.GetTokens() != lent.GetTokens() {
			t.Fatalf("expected %d tokens again, got %d", lent.GetTokens(), again.GetTokens())
		}
	}
	if other := lend(&kcrwire.Lend{Plan: plan, Need: 100, Tokens: 100, Id: "unknown", Again: true}); other.GetTokens() != 0 || other.GetCode() != "unknowable" {
		t.Fatalf("expected nothing for an unknown loan, got %v", other)
	}
	for range 2 {
		if back := lend(&kcrwire.Lend{Plan: plan, Back: 200, Id: "return"}); back.GetCode() != "granted" {
			t.Fatalf("expected the return to be granted, got %v", back)
		}
	}
	if lent.GetLeft() != 400 {
		t.Fatalf("expected 400 tokens left, got %v", lent)
	}
	if more := lend(&kcrwire.Lend{Plan: plan, Need: 601, Tokens: 601}); more.GetTokens() != 0 {
		t.Fatalf("expected 600 tokens at the home, got a loan of %d", more.GetTokens())
	}
}

// TestLends checks that a home lends what a router needs once the ledger grants it,
// reports when the budget does not cover more, accepts returned tokens, and writes a
// snapshot when the host stops.
func TestLends(t *testing.T) {
	t.Parallel()
	m := &memoryLog{streams: map[kcrid.Stream][][]byte{}}
	h, lend := newHost(t, m)
	borrow := func(need int64) *kcrwire.Lent {
		for range 50 {
			got := lend(&kcrwire.Lend{Plan: plan, Need: need, Tokens: need, Version: 3, Prepaid: 1000})
			if got.GetCode() != "pending" && got.GetCode() != "unknowable" {
				return got
			}
		}
		t.Fatal("expected a loan or a refusal, got neither after 50 requests")
		return nil
	}
	if got := borrow(600); got.GetTokens() != 600 || got.GetLeft() != 400 {
		t.Fatalf("expected 600 tokens and 400 left, got %v", got)
	}
	if got := borrow(500); got.GetTokens() != 0 || got.GetCode() != "usedup" {
		t.Fatalf("expected the budget to be used up, got %v", got)
	}
	if got := lend(&kcrwire.Lend{Plan: plan, Back: 200}); got.GetCode() != "granted" {
		t.Fatalf("expected the return to be accepted, got %v", got)
	}
	if got := borrow(500); got.GetTokens() != 500 {
		t.Fatalf("expected 500 tokens after the return, got %v", got)
	}
	m.mu.Lock()
	m.unavailable = true
	m.mu.Unlock()
	if got := lend(&kcrwire.Lend{Plan: plan, Need: 50, Tokens: 50}); got.GetTokens() == 0 && got.GetCode() != "pending" {
		t.Fatalf("while the log is unavailable: expected a loan or pending, got %v", got)
	}
	m.mu.Lock()
	m.unavailable = false
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	h.Stop(ctx)
	if ctx.Err() != nil {
		t.Fatal("expected Stop to return before its deadline")
	}
	stream := kcrid.BudgetStream(0)
	end := kcrid.Offset(len(m.streams[stream]))
	if snapshots := kcrdaemon.ReadSnapshots(t.Context(), m.log(), kcrid.SnapshotStream(stream)); snapshots[end] == nil {
		t.Fatalf("expected a snapshot at offset %d, since no process follows the stream any more, got %d others", end, len(snapshots))
	}
}

// TestOtherBuckets checks that a router with another number of buckets gets no loan. It
// assigns plans to other buckets, so a plan would be spent from two ledgers.
func TestOtherBuckets(t *testing.T) {
	t.Parallel()
	m := &memoryLog{streams: map[kcrid.Stream][][]byte{}}
	h, _ := newHost(t, m)
	pool := kcrlink.NewPool()
	t.Cleanup(pool.Close)
	req := &kcrwire.Lend{Plan: plan, Need: 1, Tokens: 1, Version: 1, Prepaid: 100, Buckets: 2}
	reply, err := pool.Call(t.Context(), h.Addr(), &kcrwire.Request{Kind: &kcrwire.Request_Lend{Lend: req}})
	if got := reply.GetLent(); err != nil || got.GetTokens() != 0 || got.GetCode() != "unknowable" {
		t.Fatalf("expected an answer without a loan, got %v %v", got, err)
	}
}

// TestStopRejectsCalls checks that a host that stops answers each call or rejects it with
// the proof that it was not served, so that no loan and no return is lost with it.
func TestStopRejectsCalls(t *testing.T) {
	t.Parallel()
	m := &memoryLog{streams: map[kcrid.Stream][][]byte{}}
	h, lend := newHost(t, m)
	for lend(&kcrwire.Lend{Plan: plan, Need: 1, Tokens: 1, Version: 1, Prepaid: 1 << 40}).GetTokens() == 0 {
		time.Sleep(time.Millisecond)
	}
	pool := kcrlink.NewPool()
	t.Cleanup(pool.Close)
	stopped := make(chan struct{})
	time.AfterFunc(30*time.Millisecond, func() {
		h.Stop(t.Context())
		close(stopped)
	})
	for rejected := 0; rejected < 20; {
		req := &kcrwire.Lend{Plan: plan, Back: 1, Buckets: 1}
		reply, err := pool.Call(t.Context(), h.Addr(), &kcrwire.Request{Kind: &kcrwire.Request_Lend{Lend: req}})
		switch {
		case errors.Is(err, kcrlink.ErrNotSent):
			rejected++
		case err != nil || reply.GetLent().GetCode() != "granted":
			t.Fatalf("expected the return to be taken or rejected, got %v (%v)", reply, err)
		}
	}
	<-stopped
}

// BenchmarkLoan measures one loan over loopback, including the work of both sides.
func BenchmarkLoan(b *testing.B) {
	m := &memoryLog{streams: map[kcrid.Stream][][]byte{}}
	_, lend := newHost(b, m)
	first := &kcrwire.Lend{Plan: plan, Need: 1, Tokens: 1, Version: 1, Prepaid: 1 << 50}
	for lend(first).GetTokens() == 0 {
		time.Sleep(time.Millisecond)
	}
	req := &kcrwire.Lend{Plan: plan, Need: 1, Tokens: 1, Version: 1, Prepaid: 1 << 50}
	b.ReportAllocs()
	for b.Loop() {
		lend(req)
	}
}

// TestTwoHomesOfABucket checks that two hosts that act as the home of a bucket at once,
// of which one neither reads nor writes the log for a time, lend no more than is prepaid
// together, and that the tokens are lent in the end.
func TestTwoHomesOfABucket(t *testing.T) {
	t.Parallel()
	const prepaid = 200000
	m := &memoryLog{streams: map[kcrid.Stream][][]byte{}}
	_, lendA := newHostOf(t, m, "vm-a")
	paused := &pausableLog{memoryLog: m}
	_, lendB := newHostOf(t, paused, "vm-b")
	lent := int64(0)
	for i := range 600 {
		paused.setPaused(i > 100 && i < 300)
		for _, lend := range []func(*kcrwire.Lend) *kcrwire.Lent{lendA, lendB} {
			got := lend(&kcrwire.Lend{Plan: plan, Need: 700, Tokens: 1400, Version: 1, Prepaid: prepaid})
			lent += got.GetTokens()
		}
		if lent > prepaid {
			t.Fatalf("expected at most %d tokens, lent %d", prepaid, lent)
		}
	}
	if lent < prepaid*9/10 {
		t.Errorf("expected most of %d tokens to be lent, got %d", prepaid, lent)
	}
}

// pausableLog is a memoryLog that a process can be cut off from.
type pausableLog struct {
	*memoryLog

	pauseMu sync.Mutex
	paused  bool
}

func (p *pausableLog) setPaused(paused bool) {
	p.pauseMu.Lock()
	defer p.pauseMu.Unlock()
	p.paused = paused
}

func (p *pausableLog) isPaused() bool {
	p.pauseMu.Lock()
	defer p.pauseMu.Unlock()
	return p.paused
}

func (p *pausableLog) log() kcrlog.Log {
	inner := p.memoryLog.log()
	return kcrlog.Log{
		Append: func(ctx context.Context, s kcrid.Stream, records [][]byte) error {
			if p.isPaused() {
				return io.ErrClosedPipe
			}
			return inner.Append(ctx, s, records)
		},
		Read: func(ctx context.Context, s kcrid.Stream, from kcrid.Offset, wait kcrclock.Duration) (kcrlog.Page, error) {
			if p.isPaused() {
				return kcrlog.Page{}, io.ErrClosedPipe
			}
			return inner.Read(ctx, s, from, wait)
		},
	}
}
