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
		w.AddWaiting("plan", request)
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
