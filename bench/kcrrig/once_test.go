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

// What a caller learned of a non-idempotent call.
type outcome int

const (
	ran outcome = iota
	notRun
	unknown
)

// The states of a call: it has not run, it has run, it can never run.
const (
	fresh = iota
	done
	barred
)

// onceModel says which outcomes may follow each other for one key.
var onceModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{fresh} },
	Step: func(state, _, output any) []any {
		switch s := state.(int); output.(outcome) {
		case ran:
			if s == barred {
				return nil
			}
			return []any{done}
		case notRun:
			if s == done {
				return nil
			}
			return []any{barred}
		default:
			if s == fresh {
				return []any{fresh, done, barred}
			}
			return []any{s}
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

func classify(a kcrcaller.Answer) outcome {
	switch {
	case a.Err == nil && a.Status == http.StatusOK:
		return ran
	case a.Outcome == "not_run":
		return notRun
	default:
		return unknown
	}
}

// history records concurrent calls by key.
type history struct {
	clock atomic.Int64
	ops   chan keyed
}

type keyed struct {
	key string
	op  porcupine.Operation
}

const (
	onceCalls   = 600 // at most
	onceSame    = 4   // calls of one key
	onceCallers = 8
	faultTime   = 250 * time.Millisecond
)

// faultsOnce lists faults that follow one another while calls go on.
func faultsOnce(r *Rig) []func() {
	cut := func(on bool) func() {
		return func() {
			addr := r.Settings.Upstreams[1].Listen
			r.Pool(r.Settings.Routers[0].VM).SetCut(func(a string) bool { return on && a == addr })
		}
	}
	return []func(){
		func() { r.Log.Fault(kcrstandin.LogFaults{Lose: true}) },
		cut(true),
		func() { r.Log.Fault(kcrstandin.LogFaults{SlowMS: 30}) },
		func() { r.Plains[0].Fault(kcrstandin.PlainFaults{Lose: true}) },
		func() { r.Sidecars[2].Kill() },
		func() { r.Log.Fault(kcrstandin.LogFaults{Down: true}) },
		func() { time.Sleep(9 * faultTime) },
		func() { r.Log.Fault(kcrstandin.LogFaults{}) },
		cut(false),
		func() { r.Plains[0].Fault(kcrstandin.PlainFaults{}) },
	}
}

func TestOnceUnderFaults(t *testing.T) {
	t.Parallel()
	r := start(t, Size{Routers: 2, Engines: 1, Plains: 3, Tokens: 1000})
	h := &history{ops: make(chan keyed, onceCalls+onceCallers)}
	callers := pool.New()
	var next atomic.Int64
	var over atomic.Bool
	for id := range onceCallers {
		callers.Go(func() {
			c := kcrcaller.New(APIKey)
			for {
				n := next.Add(1)
				if n > onceCalls || over.Load() {
					return
				}
				h.call(c, r, id, fmt.Sprintf("k%d", n/onceSame), int(n))
				time.Sleep(faultTime / 10)
			}
		})
	}
	for _, fault := range faultsOnce(r) {
		time.Sleep(faultTime)
		fault()
	}
	time.Sleep(faultTime)
	over.Store(true)
	callers.Wait()
	close(h.ops)
	h.check(t, r)
}

func (h *history) call(c *kcrcaller.Caller, r *Rig, id int, key string, n int) {
	begin := h.clock.Add(1)
	addr := r.Settings.Routers[n%len(r.Settings.Routers)].Listen
	a := c.Do(context.Background(), http.MethodPost, addr, "/services/"+Service+"/book", key, []byte(`{}`))
	h.ops <- keyed{key: key, op: porcupine.Operation{
		ClientId: id, Input: key, Call: begin, Output: classify(a), Return: h.clock.Add(1),
	}}
}

func (h *history) check(t *testing.T, r *Rig) {
	t.Helper()
	byKey := map[string][]porcupine.Operation{}
	counts := map[outcome]int{}
	for k := range h.ops {
		byKey[k.key] = append(byKey[k.key], k.op)
		counts[k.op.Output.(outcome)]++
	}
	for key, ops := range byKey {
		if !porcupine.CheckOperations(onceModel.ToModel(), ops) {
			t.Errorf("%s: no order of the calls explains what their callers were told: %v", key, ops)
		}
		if n := r.Effects.Of(key); n > 1 {
			t.Errorf("%s: expected at most 1 effect, got %d", key, n)
		}
		for _, op := range ops {
			if op.Output == notRun && r.Effects.Of(key) > 0 {
				t.Errorf("%s: told \"not run\", and it ran", key)
			}
			if op.Output == ran && r.Effects.Of(key) == 0 {
				t.Errorf("%s: told that it ran, and it did not", key)
			}
		}
	}
	t.Logf("ran %d, not run %d, unknown %d", counts[ran], counts[notRun], counts[unknown])
}

// An upstream that closes without answering gets the request once, whatever
// the method.
func TestNothingRepeatsByItself(t *testing.T) {
	t.Parallel()
	r := start(t, Size{Routers: 1, Engines: 1, Plains: 1, Tokens: 1000})
	r.Plains[0].Fault(kcrstandin.PlainFaults{Lose: true})
	c := kcrcaller.New(APIKey)
	for _, method := range []string{http.MethodPost, http.MethodPut, http.MethodDelete, http.MethodPatch} {
		a := c.Do(context.Background(), method, r.Settings.Routers[0].Listen, "/services/"+Service+"/x", "key-"+method, nil)
		if n := r.Effects.Of("key-" + method); n != 1 || classify(a) != unknown {
			t.Errorf("%s: expected 1 effect and an unknown outcome, got %d and %d %s", method, n, a.Status, a.Body)
		}
	}
}
