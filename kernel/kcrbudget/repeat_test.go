package kcrbudget_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file tests that a wallet keeps to the bound that its successor would use as proof, however
// often it reads a record of its own: once, twice, or never, since a snapshot covers it.

// boundTest is a stream and a wallet that holds 900 of 1,000 tokens. Its bounds leave room for the
// waiting request and 10 tokens more, and do not grow.
type boundTest struct {
	*testing.T
	now    kcrclock.Time
	stream [][]byte
	wallet *kcrbudget.Wallet
}

// newBoundTest returns a wallet whose claim, made for a request of worstCase tokens, was granted.
func newBoundTest(t *testing.T, worstCase kcrid.Tokens) *boundTest {
	b := &boundTest{T: t, now: 1}
	b.wallet = b.start("vm/1")
	b.wallet.MarkReady()
	b.wallet.SetLimit(plan, 1, 1000)
	b.append()
	b.readFrom(0)
	b.wallet.Claim(b.now, plan, worstCase)
	b.append()
	b.readFrom(1)
	return b
}

func (b *boundTest) start(name kcrid.Incarnation) *kcrbudget.Wallet {
	return kcrbudget.NewWallet(kcrbudget.WalletConfig{
		Self: name, LedgerRules: kcrbudget.DefaultLedgerRules(), Rules: kcrbudget.DefaultWalletRules(),
		BootClock: kcrbudget.BootClock{Now: func() kcrclock.Time { return b.now }, BootID: 1},
		Policy: kcrbudget.Policy{
			Target:          func(kcrbudget.PlanView) kcrid.Tokens { return 900 },
			ReturnForOthers: func(kcrbudget.PlanView, kcrid.Tokens) kcrid.Tokens { return 0 },
			Bound:           func(v kcrbudget.PlanView) kcrbudget.BoundTerms { return kcrbudget.BoundTerms{Room: 10 + v.WorstCase} },
		},
	})
}

// append appends what the wallet wants to write.
func (b *boundTest) append() {
	records, _ := b.wallet.Batch(100)
	b.stream = append(b.stream, records...)
}

// readFrom applies the stream to the wallet from an index on.
func (b *boundTest) readFrom(first int) { b.apply(b.wallet, first) }

func (b *boundTest) apply(w *kcrbudget.Wallet, first int) {
	b.Helper()
	for i, data := range b.stream[first:] {
		e, err := kcrlog.DecodeEntry(data)
		if err != nil {
			b.Fatal(err)
		}
		w.Apply(b.now, kcrid.Offset(first+i+1), e)
	}
}

func (b *boundTest) expectReserve(tokens kcrid.Tokens, want kcrbudget.ReserveOutcome) {
	b.Helper()
	if got := b.wallet.Reserve(b.now, plan, tokens); got != want {
		b.Errorf("reserve %d: expected %v, got %v", tokens, want, got)
	}
}

// expectSuccessorFinds checks how many tokens a process finds available that starts now in place
// of the wallet's.
func (b *boundTest) expectSuccessorFinds(want kcrid.Tokens) {
	b.Helper()
	successor := b.start("vm/2")
	b.apply(successor, 0)
	successor.MarkReady()
	b.wallet = successor
	first := len(b.stream)
	b.append()
	b.readFrom(first)
	if got := successor.Holding(plan).Available; got != want {
		b.Errorf("successor: expected %d tokens available, got %d", want, got)
	}
}

// TestRepeatedRecordKeepsBound guards against a second copy of an append that drops the bound that
// the first copy has put in force.
func TestRepeatedRecordKeepsBound(t *testing.T) {
	t.Parallel()
	b := newBoundTest(t, 1)
	b.expectReserve(90, kcrbudget.Pending)
	b.append()
	b.readFrom(2)
	raise := b.stream[2]
	b.expectReserve(90, kcrbudget.Granted)
	b.expectReserve(90, kcrbudget.Pending) // its bound never reaches the stream
	b.stream = append(b.stream, raise)
	b.readFrom(3)
	b.expectReserve(90, kcrbudget.Pending)
	b.expectSuccessorFinds(1000 - 100)
}

// TestSnapshotKeepsBound guards against a wallet that keeps to an older bound than the ledger shows,
// since it never reads the first copy of a record: a snapshot of another process covers it.
func TestSnapshotKeepsBound(t *testing.T) {
	t.Parallel()
	b := newBoundTest(t, 500)
	b.expectReserve(100, kcrbudget.Granted)
	b.wallet.Settle(plan, 100, 100)
	b.now = b.now.Add(kcrclock.Second)
	b.wallet.Tick(b.now) // reports the spending, with a bound of 110 tokens in place of 510
	b.append()
	report := b.stream[2]
	other := b.start("other/1")
	b.apply(other, 0)
	_, snapshot, err := other.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if newer, err := b.wallet.Restore(b.now, snapshot); !newer || err != nil {
		t.Fatalf("expected the snapshot to be restored, got %v, %v", newer, err)
	}
	b.stream = append(b.stream, report)
	b.readFrom(3)
	b.expectReserve(100, kcrbudget.Pending)
	b.expectSuccessorFinds(1000 - 110)
}
