package kcrnode

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/link/kcrdaemon"
)

// TestWaitForEscrowEnds plays 60 requests that wait at one router for escrow that never arrives, as
// their times run out and then a drain begins. Each ends by the time that leaves it its answer and
// the delay of the link, and none waits past the drain; what ends is no longer counted as waiting.
func TestWaitForEscrowEnds(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const drainsAt = 900 * kcrclock.Millisecond
		clock := kcrclock.Monotonic()
		b := &bucket{queue: kcrbudget.NewQueue(), loans: kcrbudget.NewLoanDesk(), wallet: kcrbudget.NewWallet(kcrbudget.WalletConfig{
			Self: "router/1", Borrower: true, BootClock: kcrbudget.BootClock{Now: clock.Now, BootID: 1}, LedgerRules: kcrbudget.DefaultLedgerRules(), Rules: kcrbudget.DefaultWalletRules(),
		})}
		n := &Node{clock: clock, escrowChanged: kcrdaemon.NewSignal(), buckets: []*bucket{b}, escrowPending: prometheus.NewCounter(prometheus.CounterOpts{Name: "pending"})}
		n.borrowingEnded.Store(true) // so no home is asked
		drain := make(chan struct{})
		for i := range 60 {
			wait := kcradmission.Wait{Deadline: n.clock.Now().Add(kcrclock.Duration(100 + 50*i)), Target: 4000, First: 120, LinkDelay: kcrclock.Duration(i)}
			latest := min(wait.Deadline.Sub(n.clock.Now())-wait.First-wait.LinkDelay, drainsAt)
			go func() {
				start := n.clock.Now()
				outcome := n.Reserve("t", 1000, kcrbudget.Order{Deadline: wait.Deadline}, wait.Longest(start), drain)
				if took := n.clock.Now().Sub(start); outcome == kcrbudget.Granted || took > max(0, latest) {
					t.Errorf("request %d: expected an end without escrow within %d ms, got %v after %d ms", i, latest, outcome, took)
				}
			}()
		}
		time.Sleep(drainsAt.Std())
		close(drain)
		synctest.Wait()
		if waiting := b.queue.Len(); waiting != 0 {
			t.Errorf("expected nothing to wait after the drain began, got %d", waiting)
		}
	})
}
