package kcrrig

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/sourcegraph/conc/pool"

	"kingcuprun.example/bench/kcrcaller"
	"kingcuprun.example/standin/kcrstandin"
)

// This file tests that a non-idempotent call takes effect at most once, with
// concurrent callers and faults. The answers that callers got are checked against a
// model of one call.

// callOutcome is what a caller learned about a non-idempotent call.
type callOutcome int

const (
	outcomeRan callOutcome = iota
	outcomeNotRun
	outcomeUnknown
)

// The states of a call in the model: it has not run, it has run, it can never run.
const (
	stateNotRun = iota
	stateRan
	stateBarred
)

// onceModel defines which outcomes may follow each other for the calls of one key. An
// unknown outcome of a call that has not run allows every state.
var onceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{stateNotRun} },
	Step: func(state, _, output any) []any {
		switch s := state.(int); output.(callOutcome) {
		case outcomeRan:
			if s == stateBarred {
				return nil
			}
			return []any{stateRan}
		case outcomeNotRun:
			if s == stateRan {
				return nil
			}
			return []any{stateBarred}
		default:
			if s == stateNotRun {
				return []any{stateNotRun, stateRan, stateBarred}
			}
			return []any{s}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// outcomeOf returns the outcome that an answer reports.
func outcomeOf(a kcrcaller.Answer) callOutcome {
	switch {
	case a.Err == nil && a.Status == http.StatusOK:
		return outcomeRan
	case a.Outcome == "not_run":
		return outcomeNotRun
	default:
		return outcomeUnknown
	}
}

// history records concurrent calls. Its clock numbers the starts and ends of calls.
type history struct {
	clock      atomic.Int64
	operations chan keyedOperation
}

// keyedOperation is a call with its idempotency key.
type keyedOperation struct {
	key       string
	operation porcupine.Operation
}

// Load of the test, and the time between its faults.
const (
	maxCalls          = 600
	callsPerKey       = 4
	concurrentCallers = 8
	faultInterval     = 250 * time.Millisecond
)

// faultSequence returns the faults that a test injects one after another, while calls
// are running. Each replaces the previous fault of the same kind.
func faultSequence(r *Rig) []func() {
	partition := func(on bool) func() {
		return func() {
			addr := r.Settings.Upstreams[1].Listen
			r.LinkPool(r.Settings.Routers[0].VM).SimulatePartition(func(a string) bool { return on && a == addr })
		}
	}
	return []func(){
		func() { r.Log.SetFaults(kcrstandin.LogFaults{LoseResponse: true}) },
		partition(true),
		func() { r.Log.SetFaults(kcrstandin.LogFaults{DelayMS: 30}) },
		func() { r.Plains[0].SetFaults(kcrstandin.PlainFaults{LoseResponse: true}) },
		func() { r.Sidecars[2].Kill() },
		func() { r.Log.SetFaults(kcrstandin.LogFaults{Down: true}) },
		func() { time.Sleep(9 * faultInterval) },
		func() { r.Log.SetFaults(kcrstandin.LogFaults{}) },
		partition(false),
		func() { r.Plains[0].SetFaults(kcrstandin.PlainFaults{}) },
	}
}

// Guards against a call that runs twice, or runs although its caller was told "not
// run": concurrent callers send several calls with each key, while the log loses responses
// and fails, a link is cut, an upstream loses responses, and a sidecar is killed.
func TestOnceUnderFaults(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 2, Engines: 1, Plains: 3, PrepaidTokens: 1000})
	h := &history{operations: make(chan keyedOperation, maxCalls+concurrentCallers)}
	callers := pool.New()
	var next atomic.Int64
	var stopped atomic.Bool
	for id := range concurrentCallers {
		callers.Go(func() {
			c := kcrcaller.New(APIKey)
			for {
				n := next.Add(1)
				if n > maxCalls || stopped.Load() {
					return
				}
				h.call(c, r, id, fmt.Sprintf("k%d", n/callsPerKey), int(n))
				time.Sleep(faultInterval / 10)
			}
		})
	}
	for _, fault := range faultSequence(r) {
		time.Sleep(faultInterval)
		fault()
	}
	time.Sleep(faultInterval)
	stopped.Store(true)
	callers.Wait()
	close(h.operations)
	h.check(t, r)
}

// call makes call number n with a key and records it.
func (h *history) call(c *kcrcaller.Caller, r *Rig, id int, key string, n int) {
	begin := h.clock.Add(1)
	addr := r.Settings.Routers[n%len(r.Settings.Routers)].Listen
	a := c.Do(context.Background(), http.MethodPost, addr, "/services/"+Service+"/book", key, []byte(`{}`))
	h.operations <- keyedOperation{key: key, operation: porcupine.Operation{
		ClientId: id, Input: key, Call: begin, Output: outcomeOf(a), Return: h.clock.Add(1),
	}}
}

// check compares the recorded calls with the model and with the effects at the upstreams.
func (h *history) check(t *testing.T, r *Rig) {
	t.Helper()
	byKey := map[string][]porcupine.Operation{}
	counts := map[callOutcome]int{}
	for keyed := range h.operations {
		byKey[keyed.key] = append(byKey[keyed.key], keyed.operation)
		counts[keyed.operation.Output.(callOutcome)]++
	}
	for key, operations := range byKey {
		if !porcupine.CheckOperations(onceModel.ToModel(), operations) {
			t.Errorf("%s: no order of the calls explains what their callers were told: %v", key, operations)
		}
		if n := r.Effects.Count(key); n > 1 {
			t.Errorf("%s: expected at most 1 effect, got %d", key, n)
		}
		for _, operation := range operations {
			if operation.Output == outcomeNotRun && r.Effects.Count(key) > 0 {
				t.Errorf("%s: told \"not run\", and it ran", key)
			}
			if operation.Output == outcomeRan && r.Effects.Count(key) == 0 {
				t.Errorf("%s: told that it ran, and it did not", key)
			}
		}
	}
	t.Logf("ran %d, not run %d, unknown %d", counts[outcomeRan], counts[outcomeNotRun], counts[outcomeUnknown])
}

// Guards against retries by a transport: an upstream that closes the connection
// without a response gets the request only once, whatever its method.
func TestNothingRepeatsByItself(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 1, Engines: 1, Plains: 1, PrepaidTokens: 1000})
	r.Plains[0].SetFaults(kcrstandin.PlainFaults{LoseResponse: true})
	c := kcrcaller.New(APIKey)
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch} {
		a := c.Do(context.Background(), method, r.Settings.Routers[0].Listen, "/services/"+Service+"/x", "key-"+method, nil)
		if n := r.Effects.Count("key-" + method); n != 1 || outcomeOf(a) != outcomeUnknown {
			t.Errorf("%s: expected 1 effect and an unknown outcome, got %d and %d %s", method, n, a.Status, a.Body)
		}
	}
}
