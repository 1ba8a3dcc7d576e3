package kcrproof

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// testSeeds is the number of schedules that CI runs; "make proof" runs more.
const testSeeds = 60

func TestProofs(t *testing.T) {
	t.Parallel()
	for _, p := range Proofs() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			row := p.Run(testSeeds)
			if row.Err != nil {
				t.Fatal(row.Err)
			}
			t.Log(row.Note)
		})
	}
}

// Schedules that once broke the budget.
func TestBudgetRegressions(t *testing.T) {
	t.Parallel()
	seeds := []uint64{10, 1104}
	for _, seed := range seeds {
		if _, err := Budget(DefaultBudgetRules(), Seeded(seed), budgetSteps); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
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
