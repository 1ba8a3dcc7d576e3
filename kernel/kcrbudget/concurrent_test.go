package kcrbudget

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/anishathalye/porcupine"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// budgetOp is a reservation of worstCase tokens or, if settles is set, the
// settlement of one at used tokens.
type budgetOp struct {
	settles         bool
	worstCase, used kcrid.Tokens
}

// budgetModel models the budget as a counter of free tokens: a reservation is
// granted exactly if it fits.
func budgetModel(free kcrid.Tokens) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return free },
		Step: func(state, input, output any) (bool, any) {
			unspent, op := state.(kcrid.Tokens), input.(budgetOp)
			switch {
			case op.settles:
				return true, unspent + op.worstCase - op.used
			case output.(bool):
				return unspent >= op.worstCase, unspent - op.worstCase
			default:
				return unspent < op.worstCase, unspent
			}
		},
	}
}

// fundedHome returns a home that holds the whole budget of a plan.
func fundedHome(t *testing.T, tokens kcrid.Tokens, fits func(free, worstCase kcrid.Tokens) bool) *Home {
	t.Helper()
	rules := DefaultHomeRules()
	rules.Fits = fits
	h := NewHome(HomeConfig{Self: "home", Rules: rules, LedgerRules: DefaultLedgerRules(), Policy: Policy{
		Target:          func(v PlanView) kcrid.Tokens { return v.Available + v.Free },
		ReturnForOthers: func(PlanView, kcrid.Tokens) kcrid.Tokens { return 0 },
	}})
	h.MarkReady()
	h.Credit("plan", "first", tokens)
	h.Open([]kcrid.Incarnation{"server"})
	off := kcrid.Offset(0)
	for range 2 {
		off = exchange(t, h, off)
		h.Reserve(0, ReserveRequest{Call: kcrid.CallID{Team: "team", Key: "warm"}, Plan: "plan", Server: "server", WorstCase: tokens + 1, NoPending: true})
	}
	exchange(t, h, off)
	return h
}

// exchange appends the home's records to its stream after offset off and applies
// them. It returns the offset of the last record.
func exchange(t *testing.T, h *Home, off kcrid.Offset) kcrid.Offset {
	t.Helper()
	records, _ := h.Batch(100)
	for _, data := range records {
		e, err := kcrlog.DecodeEntry(data)
		if err != nil {
			t.Fatal(err)
		}
		off++
		h.Apply(0, off, e)
	}
	return off
}

// concurrentHistory lets several clients reserve and settle at the same time and
// returns the history of their operations.
func concurrentHistory(h *Home) (ops []porcupine.Operation) {
	const clients, rounds = 6, 12
	var clock atomic.Int64
	var mu sync.Mutex
	var clientsDone sync.WaitGroup
	record := func(client int, op budgetOp, operation func() bool) bool {
		call := clock.Add(1)
		result := operation()
		end := clock.Add(1)
		mu.Lock()
		defer mu.Unlock()
		ops = append(ops, porcupine.Operation{ClientId: client, Input: op, Call: call, Output: result, Return: end})
		return result
	}
	for client := range clients {
		clientsDone.Add(1)
		go func() {
			defer clientsDone.Done()
			for i := range rounds {
				worstCase := kcrid.Tokens(10 + 7*(client+i)%30)
				call := kcrid.CallID{Team: "team", Key: kcrid.IdempotencyKey(fmt.Sprintf("%d-%d", client, i))}
				var reserved ReserveResult
				granted := record(client, budgetOp{worstCase: worstCase}, func() bool {
					reserved = h.Reserve(0, ReserveRequest{Call: call, Plan: "plan", Server: "server", WorstCase: worstCase, NoPending: true})
					return reserved.Outcome == Granted
				})
				if !granted {
					continue
				}
				used := worstCase / 2
				record(client, budgetOp{settles: true, worstCase: worstCase, used: used}, func() bool {
					h.Settle(0, "server", SettlementReport{Settlements: []Settlement{{ID: reserved.ID, Call: call, Plan: "plan", Tokens: used, Outcome: Complete}}})
					return true
				})
			}
		}()
	}
	clientsDone.Wait()
	return ops
}

// TestConcurrentReservations checks that the concurrent reservations of a home are
// linearizable, with a counter of free tokens as the model, and that a home that
// grants more than it holds fails the check.
func TestConcurrentReservations(t *testing.T) {
	t.Parallel()
	const tokens = 300
	h := fundedHome(t, tokens, DefaultHomeRules().Fits)
	if !porcupine.CheckOperations(budgetModel(tokens), concurrentHistory(h)) {
		t.Error("expected the history to be linearizable, got no valid order")
	}
	mutant := fundedHome(t, tokens, func(_, _ kcrid.Tokens) bool { return true })
	if porcupine.CheckOperations(budgetModel(tokens), concurrentHistory(mutant)) {
		t.Error("expected the history of the mutant not to be linearizable, got a valid order")
	}
}
