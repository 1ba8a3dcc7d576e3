package kcrrig

import (
	"context"
	"testing"
	"time"

	"kingcuprun.example/bench/kcrcaller"
	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/standin/kcrstandin"
)

// Guards against state that is lost with dropped records. Every process is replaced
// after retention has dropped all records but the newest of each stream, so lists,
// budgets and intents must come from snapshots. All holders die, and the tokens that
// they held stay unusable (see "Not proved" in docs/PROOF.md). If the ledger shows
// that they held all tokens, an answer is required only after a top-up.
func TestRetentionPasses(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 1, Engines: 2, Plains: 2, PrepaidTokens: 100_000, SnapshotInterval: kcrclock.Second})
	c, ctx := kcrcaller.New(APIKey), context.Background()
	addr := r.Settings.Routers[0].Listen
	for range 4 {
		if a := c.Chat(ctx, addr, Model, "before want=100", "", false); !a.Complete(false) {
			t.Fatalf("expected an answer, got %d %s", a.Status, a.Body)
		}
	}
	if a := c.Do(ctx, "POST", addr, "/services/"+Service+"/book", "booked", nil); outcomeOf(a) != outcomeRan {
		t.Fatalf("expected an answer, got %d %s", a.Status, a.Body)
	}
	time.Sleep(4 * time.Second)
	r.replaceAfterRetention(t)
	prepaid := kcrid.Tokens(100_000)
	chat := func() kcrcaller.Answer {
		deadline := time.Now().Add(20 * time.Second)
		a := c.Chat(ctx, addr, Model, "after", "", false)
		for !a.Complete(false) && time.Now().Before(deadline) {
			time.Sleep(faultInterval)
			a = c.Chat(ctx, addr, Model, "after", "", false)
		}
		return a
	}
	a := chat()
	if !a.Complete(false) && r.account(t).Available() == 0 {
		t.Logf("the killed holders held all tokens: %+v", r.account(t))
		prepaid += 10_000
		if err := r.Publish(kcrlist.TopUp{Name: firstTopup, Tokens: 100_000}, kcrlist.TopUp{Name: "second", Tokens: 10_000}); err != nil {
			t.Fatal(err)
		}
		a = chat()
	}
	if !a.Complete(false) {
		t.Errorf("expected an answer from the snapshots, got %d %s, account %+v", a.Status, a.Body, r.account(t))
	}
	if a := c.Do(ctx, "POST", addr, "/services/"+Service+"/book", "booked", nil); outcomeOf(a) != outcomeRan || r.Effects.Count("booked") != 1 {
		t.Errorf("expected the kept answer of the booking, got %d %s, %d effects", a.Status, a.Body, r.Effects.Count("booked"))
	}
	if account := r.account(t); account.Prepaid != prepaid || account.Available() < 0 {
		t.Errorf("expected each top-up once, got %+v", account)
	}
}

// account returns the account of the rig's plan in the ledger.
func (r *Rig) account(t *testing.T) kcrbudget.Account {
	t.Helper()
	ledger, err := r.Operator.Ledger(context.Background(), Plan)
	if err != nil {
		t.Fatal(err)
	}
	return ledger.Account(Plan)
}

// replaceAfterRetention kills the sidecars, stops the router, drops all records but
// the newest of each stream, and starts the processes again.
func (r *Rig) replaceAfterRetention(t *testing.T) {
	t.Helper()
	for i := range r.Sidecars {
		r.Sidecars[i].Kill()
	}
	r.Routers[0].Stop(context.Background())
	r.Log.SetFaults(kcrstandin.LogFaults{RetainedRecords: 1})
	r.Log.SetFaults(kcrstandin.LogFaults{})
	var err error
	for i := range r.Sidecars {
		if r.Sidecars[i], err = r.StartSidecar(i); err != nil {
			t.Fatal(err)
		}
	}
	if r.Routers[0], err = r.StartRouter(0); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(20 * time.Second); r.Routers[0].ConfigVersion() == 0; time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			t.Fatal("expected the lists from a snapshot, got none")
		}
	}
}
