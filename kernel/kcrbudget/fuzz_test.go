package kcrbudget

import (
	"testing"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// FuzzLedger applies arbitrary records to a ledger: it must not fail, and the open
// grants and settled spending must not exceed the credits.
func FuzzLedger(f *testing.F) {
	outbox := kcrlog.NewOutbox("home")
	for _, e := range []*kcrentry.Entry{
		{Kind: &kcrentry.Entry_Credit{Credit: &kcrentry.Credit{Plan: "plan", Name: "first", Tokens: 100}}},
		{Kind: &kcrentry.Entry_Claim{Claim: &kcrentry.Claim{Plan: "plan", Tokens: 60}}},
		{Kind: &kcrentry.Entry_Mark{Mark: &kcrentry.Mark{Plan: "plan", Back: 10, Spent: 20}}},
		{Kind: &kcrentry.Entry_Open{Open: &kcrentry.Open{Servers: []string{"s"}}}},
		{Kind: &kcrentry.Entry_Close{Close: &kcrentry.Close{Server: "s", Used: []*kcrentry.Used{{Plan: "plan", Tokens: 5}}}}},
		{Kind: &kcrentry.Entry_Fence{Fence: &kcrentry.Fence{Holder: "home"}}},
		{Kind: &kcrentry.Entry_Refund{Refund: &kcrentry.Refund{Holder: "home", Fence: 6, Used: []*kcrentry.Used{{Plan: "plan", Tokens: 20}}}}},
	} {
		outbox.Enqueue(e)
	}
	records, _ := outbox.Batch(100)
	for _, r := range records {
		f.Add(records[0], r)
	}
	f.Add([]byte{}, []byte{0xff})
	f.Fuzz(func(t *testing.T, a, b []byte) {
		l := NewLedger(DefaultLedgerRules())
		for i, data := range [][]byte{records[0], a, records[1], b, a, b} {
			e, err := kcrlog.DecodeEntry(data)
			if err != nil {
				continue
			}
			l.Apply(kcrid.Offset(i+1), e)
		}
		for _, p := range l.Plans() {
			if acc := l.Account(p); acc.Available() < 0 || acc.Granted < 0 || acc.Settled < 0 {
				t.Fatalf("%s: %+v", p, acc)
			}
		}
		checkSnapshotRoundTrip(t, l)
	})
}

// checkSnapshotRoundTrip checks that a restored snapshot gives the same snapshot.
func checkSnapshotRoundTrip(t *testing.T, l *Ledger) {
	_, data, err := l.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	other := NewLedger(DefaultLedgerRules())
	if _, err := other.Restore(data); err != nil {
		t.Fatal(err)
	}
	if _, restored, err := other.Snapshot(); err != nil || (l.At() > 0 && string(restored) != string(data)) {
		t.Fatalf("expected %s, got %s (%v)", data, restored, err)
	}
}
