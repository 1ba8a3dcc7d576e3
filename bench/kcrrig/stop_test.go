package kcrrig

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc/pool"

	"kingcuprun.example/bench/kcrcaller"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/standin/kcrstandin"
)

// This file tests leaving, replacement, outages, crashes and budgets with a whole
// deployment.

// engineRuns returns how often an engine ran requests with the keys of a prefix: the
// prefix with a number from 0 to keys-1.
func (r *Rig) engineRuns(engine int, keys int, prefix string) (n int) {
	for i := range keys {
		n += r.Engines[engine].RunCount(fmt.Sprint(prefix, i))
	}
	return n
}

// Guards against new work on a leaving upstream while the VM list is stale: all
// requests must be answered, by the other upstream.
func TestLeavingGetsNoNewWork(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 2, Engines: 2, Plains: 0, PrepaidTokens: 1_000_000, VMListLag: time.Hour})
	c, ctx := kcrcaller.New(APIKey), context.Background()
	if err := r.Operator.MarkLeaving(ctx, "assistant-llm-1"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(2 * time.Second)
	const calls = 40
	for i := range calls {
		a := c.Chat(ctx, r.Settings.Routers[i%2].Listen, Model, fmt.Sprintf("text %d want=5", i), fmt.Sprint("after", i), i%2 == 0)
		if !a.Complete(i%2 == 0) {
			t.Errorf("call %d: expected an answer, got %d %s", i, a.Status, a.Body)
		}
	}
	if n := r.engineRuns(0, calls, "after"); n != 0 {
		t.Errorf("expected no new work at the leaving upstream, got %d", n)
	}
	if n := r.engineRuns(1, calls, "after"); n != calls {
		t.Errorf("expected %d runs at the other, got %d", calls, n)
	}
}

// loadBalancer picks routers in turn and skips the excluded ones, as the load balancer
// of the platform does with routers that are stopping.
type loadBalancer struct {
	mu       sync.Mutex
	excluded map[int]bool
	next     int
}

// pick returns the index of the next of n routers that is not excluded.
func (b *loadBalancer) pick(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		b.next++
		if i := b.next % n; !b.excluded[i] {
			return i
		}
	}
}

// setExcluded excludes a router or includes it again.
func (b *loadBalancer) setExcluded(i int, excluded bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.excluded[i] = excluded
}

// Guards against requests that fail while every process is replaced, one at a time,
// under load.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 2, Engines: 3, Plains: 2, PrepaidTokens: 10_000_000})
	b := &loadBalancer{excluded: map[int]bool{}}
	var stopped atomic.Bool
	var served atomic.Int64
	callers := pool.New()
	for id := range 6 {
		callers.Go(func() {
			for n := 0; !stopped.Load(); n++ {
				callDuringReplacement(t, r, b, id, n)
				served.Add(1)
			}
		})
	}
	ctx := context.Background()
	for i := range r.Settings.Upstreams {
		time.Sleep(faultInterval)
		r.Sidecars[i].Stop(ctx)
		sc, err := r.StartSidecar(i)
		if err != nil {
			t.Fatal(err)
		}
		r.Sidecars[i] = sc
		time.Sleep(2 * time.Second)
	}
	for i := range r.Settings.Routers {
		b.setExcluded(i, true)
		r.Routers[i].Stop(ctx)
		rt, err := r.StartRouter(i)
		if err != nil {
			t.Fatal(err)
		}
		r.Routers[i] = rt
		for rt.ConfigVersion() == 0 {
			time.Sleep(pollInterval)
		}
		b.setExcluded(i, false)
	}
	stopped.Store(true)
	callers.Wait()
	t.Logf("%d requests while every process was replaced", served.Load())
}

// callDuringReplacement makes one call to a router that is not excluded, and checks its answer.
func callDuringReplacement(t *testing.T, r *Rig, b *loadBalancer, id, n int) {
	c := kcrcaller.New(APIKey)
	addr := r.Settings.Routers[b.pick(2)].Listen
	if n%5 == 0 {
		key := fmt.Sprintf("roll-%d-%d", id, n)
		a := c.Do(context.Background(), http.MethodPost, addr, "/services/"+Service+"/book", key, nil)
		if a.Status != http.StatusOK {
			t.Errorf("%s: expected an answer, got %d %s (%v)", key, a.Status, a.Body, a.Err)
		}
		return
	}
	content, stream := fmt.Sprintf("roll %d %d want=30", id, n), n%2 == 0
	a := c.Chat(context.Background(), addr, Model, content, "", stream)
	if !a.Complete(stream) || a.Text(stream) != expected(content) {
		t.Errorf("%s: expected the whole answer, got %d %s (%v)", content, a.Status, a.Body, a.Err)
	}
}

// Guards against a router that cannot start during an outage: while the log and the
// VM list are unavailable, it gets the configuration from its peers, and serves
// requests from granted tokens.
func TestStartDuringLogOutage(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 2, Engines: 2, Plains: 0, PrepaidTokens: 1_000_000})
	c, ctx := kcrcaller.New(APIKey), context.Background()
	if a := c.Chat(ctx, r.Settings.Routers[0].Listen, Model, "before", "", false); !a.Complete(false) {
		t.Fatalf("expected an answer, got %d %s", a.Status, a.Body)
	}
	version := r.Routers[0].ConfigVersion()
	time.Sleep(4 * time.Second)
	r.Log.SetFaults(kcrstandin.LogFaults{Down: true})
	r.VMList.SetDown(true)
	r.Routers[1].Stop(ctx)
	rt, err := r.StartRouter(1)
	if err != nil {
		t.Fatal(err)
	}
	r.Routers[1] = rt
	deadline := time.Now().Add(30 * time.Second)
	for rt.ConfigVersion() != version && time.Now().Before(deadline) {
		time.Sleep(pollInterval)
	}
	if rt.ConfigVersion() != version {
		t.Fatalf("expected version %d, got %d", version, rt.ConfigVersion())
	}
	a := c.Chat(ctx, r.Settings.Routers[1].Listen, Model, "during", "", true)
	if !a.Complete(true) {
		t.Errorf("expected an answer during the outage, got %d %s", a.Status, a.Body)
	}
}

// Guards against a request that crashes one upstream after another: it is refused
// after two crashes, also under new keys and through other routers. Requests that ran
// in the same batch are not refused.
func TestRequestThatCrashes(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 2, Engines: 3, Plains: 0, PrepaidTokens: 10_000_000})
	c, ctx := kcrcaller.New(APIKey), context.Background()
	otherCallers := pool.New()
	for i := range 6 {
		otherCallers.Go(func() {
			caller := kcrcaller.New(APIKey)
			for n := range 10 {
				content := fmt.Sprintf("innocent %d want=40", i)
				if a := caller.Chat(ctx, r.Settings.Routers[n%2].Listen, Model, content, "", false); a.Code == "request_crashes_upstreams" {
					t.Errorf("expected no refusal of an innocent request, got %s", a.Body)
				}
			}
		})
	}
	var last kcrcaller.Answer
	for i := range 10 {
		last = c.Chat(ctx, r.Settings.Routers[i%2].Listen, Model, "crash-the-engine", fmt.Sprint("resent-", i), false)
		time.Sleep(200 * time.Millisecond)
	}
	otherCallers.Wait()
	if last.Code != "request_crashes_upstreams" {
		t.Errorf("expected it to be refused, got %d %s", last.Status, last.Body)
	}
	crashes := 0
	for i := range r.Engines {
		crashes += r.engineRuns(i, 10, "resent-")
	}
	if crashes > 2 {
		t.Errorf("expected at most 2 crashes, got %d", crashes)
	}
}

// Guards against overspending and lost bills: while sidecars die and the log loses
// responses and fails, the engines never serve more tokens than the budget, and each
// complete answer is on the statement.
func TestBudgetUnderFaults(t *testing.T) {
	t.Parallel()
	const tokens = 6000
	r := startRig(t, Size{Routers: 2, Engines: 3, Plains: 0, PrepaidTokens: tokens})
	var stopped atomic.Bool
	var complete sync.Map // by request ID
	callers := pool.New()
	for id := range 8 {
		callers.Go(func() {
			c := kcrcaller.New(APIKey)
			for n := 0; !stopped.Load(); n++ {
				a := c.Chat(context.Background(), r.Settings.Routers[n%2].Listen, Model, fmt.Sprintf("b %d %d", id, n), "", n%2 == 0)
				if a.Complete(n%2 == 0) {
					complete.Store(a.RequestID, true)
				}
			}
		})
	}
	for _, fault := range []func(){
		func() { r.Log.SetFaults(kcrstandin.LogFaults{LoseResponse: true}) },
		func() { r.Sidecars[0].Kill() },
		func() { r.Log.SetFaults(kcrstandin.LogFaults{Down: true}) },
		func() { r.Log.SetFaults(kcrstandin.LogFaults{DelayMS: 50}) },
		func() { r.VMList.SetState(kcrid.VM("assistant-llm-1"), "gone") },
		func() { r.Log.SetFaults(kcrstandin.LogFaults{}) },
	} {
		time.Sleep(faultInterval)
		fault()
	}
	time.Sleep(4 * faultInterval)
	stopped.Store(true)
	callers.Wait()
	served := 0
	for _, e := range r.Engines {
		served += e.ServedTokens()
	}
	t.Logf("served %d of %d tokens", served, tokens)
	if served > tokens || served == 0 {
		t.Errorf("expected at most %d tokens served, got %d", tokens, served)
	}
	checkBills(t, r, &complete)
}

// checkBills waits until every complete answer is on the statement, and fails the test if
// some are missing after a minute.
func checkBills(t *testing.T, r *Rig, complete *sync.Map) {
	t.Helper()
	missing := -1
	for deadline := time.Now().Add(60 * time.Second); missing != 0 && time.Now().Before(deadline); time.Sleep(time.Second) {
		statement, err := r.Operator.Statement(context.Background(), Plan)
		if err != nil {
			continue
		}
		billed := map[string]bool{}
		for _, bill := range statement.Items() {
			if string(bill.Outcome) == "whole" {
				billed[string(bill.Call.Key)] = true
			}
		}
		missing = 0
		complete.Range(func(id, _ any) bool {
			if !billed[id.(string)] {
				missing++
			}
			return true
		})
	}
	if missing != 0 {
		t.Errorf("expected every whole answer on the statement, %d are missing", missing)
	}
}
