package kcrhome_test

import (
	"context"
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

// memory is a log in memory.
type memory struct {
	mu      sync.Mutex
	streams map[kcrid.Stream][][]byte
	down    bool
}

func (m *memory) log() kcrlog.Log {
	return kcrlog.Log{Append: m.append, Read: m.read}
}

func (m *memory) append(_ context.Context, s kcrid.Stream, records [][]byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return io.ErrClosedPipe
	}
	m.streams[s] = append(m.streams[s], records...)
	return nil
}

func (m *memory) read(_ context.Context, s kcrid.Stream, from kcrid.Offset, wait kcrclock.Duration) (kcrlog.Page, error) {
	m.mu.Lock()
	records, down := m.streams[s], m.down
	m.mu.Unlock()
	if down {
		return kcrlog.Page{}, io.ErrClosedPipe
	}
	p := kcrlog.Page{First: 1, Next: kcrid.Offset(len(records) + 1)}
	for i := int(from) - 1; i < len(records); i++ {
		p.Records = append(p.Records, kcrlog.Record{Offset: kcrid.Offset(i + 1), Data: records[i]})
	}
	if len(p.Records) == 0 && wait > 0 {
		time.Sleep(time.Millisecond)
	}
	return p, nil
}

const plan = "team"

func newHost(tb testing.TB, m *memory) (*kcrhome.Host, func(*kcrwire.Lend) *kcrwire.Lent) {
	tb.Helper()
	clock := kcrclock.Monotonic()
	h, err := kcrhome.New(kcrhome.Config{
		Self: kcrid.IncarnationOf("vm", "run"), Listen: "127.0.0.1:0", Log: m.log(), Clock: clock,
		Boot:   kcrbudget.Boot{Machine: 1, Now: func() kcrclock.Time { return clock.Now() + 1 }},
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), Escrow: kcrbudget.ForOutages(kcrbudget.ShortOutages()), Buckets: 1, Snap: 60000,
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

// TestLends: a home lends what is needed as soon as the ledger has it, says when
// the budget does not cover more, and takes back what was not needed.
func TestLends(t *testing.T) {
	t.Parallel()
	m := &memory{streams: map[kcrid.Stream][][]byte{}}
	h, lend := newHost(t, m)
	ask := func(need int64) *kcrwire.Lent {
		for range 50 {
			got := lend(&kcrwire.Lend{Plan: plan, Need: need, Tokens: need, Version: 3, Prepaid: 1000})
			if got.GetCode() != "pending" && got.GetCode() != "unknowable" {
				return got
			}
		}
		t.Fatal("expected an answer of the home, got none")
		return nil
	}
	if got := ask(600); got.GetTokens() != 600 || got.GetLeft() != 400 {
		t.Fatalf("expected 600 tokens and 400 left, got %v", got)
	}
	if got := ask(500); got.GetTokens() != 0 || got.GetCode() != "usedup" {
		t.Fatalf("expected the budget to be used up, got %v", got)
	}
	if got := lend(&kcrwire.Lend{Plan: plan, Back: 200}); got.GetCode() != "granted" {
		t.Fatalf("expected the return to be taken, got %v", got)
	}
	if got := ask(500); got.GetTokens() != 500 {
		t.Fatalf("expected 500 tokens after the return, got %v", got)
	}
	m.mu.Lock()
	m.down = true
	m.mu.Unlock()
	if got := lend(&kcrwire.Lend{Plan: plan, Need: 50, Tokens: 50}); got.GetTokens() == 0 && got.GetCode() != "pending" {
		t.Fatalf("without the log: expected a loan or pending, got %v", got)
	}
	m.mu.Lock()
	m.down = false
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	h.Stop(ctx)
	if ctx.Err() != nil {
		t.Fatal("expected the stop to end in time")
	}
	stream := kcrid.BudgetStream(0)
	end := kcrid.Offset(len(m.streams[stream]))
	if whole := kcrdaemon.ReadSnapshots(t.Context(), m.log(), kcrid.SnapStream(stream)); whole[end] == nil {
		t.Fatalf("expected a snapshot as of %d, since nobody follows the stream, got %d others", end, len(whole))
	}
}

// TestOtherBuckets: a router that cuts budgets into other buckets would draw on a
// second ledger of a plan.
func TestOtherBuckets(t *testing.T) {
	t.Parallel()
	m := &memory{streams: map[kcrid.Stream][][]byte{}}
	h, _ := newHost(t, m)
	pool := kcrlink.NewPool()
	t.Cleanup(pool.Close)
	req := &kcrwire.Lend{Plan: plan, Need: 1, Tokens: 1, Version: 1, Prepaid: 100, Buckets: 2}
	reply, err := pool.Call(t.Context(), h.Addr(), &kcrwire.Request{Kind: &kcrwire.Request_Lend{Lend: req}})
	if got := reply.GetLent(); err != nil || got.GetTokens() != 0 || got.GetCode() != "unknowable" {
		t.Fatalf("expected an answer without a loan, got %v %v", got, err)
	}
}

// BenchmarkLoan is a loan over loopback, both sides included.
func BenchmarkLoan(b *testing.B) {
	m := &memory{streams: map[kcrid.Stream][][]byte{}}
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
