package kcrbudget_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// Guards against a router whose requests wait for one loan after the other.
func TestLoanCoversAllThatWait(t *testing.T) {
	t.Parallel()
	w := kcrbudget.NewWallet(kcrbudget.WalletConfig{
		Self: "vm/1", Borrower: true, BootClock: kcrbudget.BootClock{Now: func() kcrclock.Time { return 1 }},
		LedgerRules: kcrbudget.DefaultLedgerRules(), Policy: kcrbudget.OutagePolicy(kcrbudget.ShortOutageConfig()), Rules: kcrbudget.DefaultWalletRules(),
	})
	const request = kcrid.Tokens(100)
	for range 5 {
		w.AddUnserved("plan", request)
	}
	need, want := w.Shortfall(1000, "plan", request)
	if need != request || want != 5*request {
		t.Errorf("expected a need of %d and a want of %d tokens, got %d and %d", request, 5*request, need, want)
	}
}

// Guards against a home that claims for the demand it could meet, and not for what waits.
func TestTargetOfSlowLogCoversWhatWaits(t *testing.T) {
	t.Parallel()
	policy := kcrbudget.OutagePolicy(kcrbudget.ShortOutageConfig())
	view := kcrbudget.PlanView{SpendRate: 100, Waiting: 5000, DemandShare: 1, Available: 100_000, ConfirmTime: kcrclock.Second}
	if target := policy.Target(view); target < 5000+100 {
		t.Errorf("expected a target for what waits and the demand of a second, got %d", target)
	}
}

// Guards against a router that claims for requests that wait although a home lends to it.
func TestBorrowerClaimsNothingForWhatWaits(t *testing.T) {
	t.Parallel()
	r := defaultRules()
	f := newFleet(r, 1, 100_000)
	noLender := func() bool { return false }
	w := kcrbudget.NewWallet(kcrbudget.WalletConfig{
		Self: "vm-0/1", Borrower: true, BootClock: kcrbudget.BootClock{Now: func() kcrclock.Time { return f.now }}, LedgerRules: r.ledger, Rules: r.wallet,
		Policy: kcrbudget.NoLenderPolicy(noLender, func() int { return 1 }, kcrbudget.OutagePolicy(kcrbudget.NoHomeOutageConfig())),
	})
	borrower := &router{wallet: w}
	for range 100 {
		f.now += 10
		f.read(borrower)
		w.Reserve(f.now, plan, 100)
		w.AddUnserved(plan, 100)
		f.write(borrower, false, false)
	}
	if holding := w.Holding(plan); holding.Free != 0 || holding.Available != 100_000 {
		t.Errorf("expected nothing to be claimed, got %+v", holding)
	}
}

// Guards against a home that holds and may spend as much as in a slow log since the log was away.
func TestConfirmTimeBeginsAnewWithEra(t *testing.T) {
	t.Parallel()
	f := newFleet(defaultRules(), 1, 100_000)
	r := f.routers[0]
	w := r.wallet
	f.era = 1
	for range 10 {
		f.now += 10
		f.read(r)
		f.write(r, false, false)
	}
	w.Reserve(f.now, plan, 100)
	f.now = f.now.Add(kcrclock.Minute)
	if got := w.ConfirmTime(f.now); got < kcrclock.Minute {
		t.Errorf("a record under way for a minute: expected as much, got %v", got)
	}
	f.era = 2
	f.read(r)
	if got := w.ConfirmTime(f.now); got != 0 {
		t.Errorf("after a restore: expected 0, got %v", got)
	}
}
