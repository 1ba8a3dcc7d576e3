package kcrproof

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// The seeds that CI runs; "make proof" runs more.
const (
	testSeeds   = 60
	mutantSeeds = 400
)

func TestBudgetHolds(t *testing.T) {
	t.Parallel()
	var total int64
	for seed := range uint64(testSeeds) {
		served, err := Budget(DefaultBudgetRules(), Seeded(seed), proofSteps)
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		total += int64(served)
	}
	if total < testSeeds*200 {
		t.Fatalf("expected the schedules to serve tokens, got %d in all", total)
	}
	t.Logf("served %d tokens in %d schedules", total, testSeeds)
}

func TestBudgetMutantsBreak(t *testing.T) {
	t.Parallel()
	for _, m := range BudgetMutants() {
		t.Run(m.Name, func(t *testing.T) {
			t.Parallel()
			seed, err := breakMutant(m, mutantSeeds)
			if err == nil {
				t.Fatalf("expected a violation within %d seeds, got none", mutantSeeds)
			}
			t.Logf("seed %d: %v", seed, err)
		})
	}
}

func TestBudgetShrinks(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, fmt.Sprint(n)) }
		if _, err := Budget(DefaultBudgetRules(), pick, 200); err != nil {
			rt.Fatal(err)
		}
	})
}

// Schedules that once broke the budget.
func TestBudgetRegressions(t *testing.T) {
	t.Parallel()
	seeds := []uint64{10, 1104}
	for _, seed := range seeds {
		if _, err := Budget(DefaultBudgetRules(), Seeded(seed), proofSteps); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}
