package kcrproof

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// testSeeds is the number of schedules of each proof in CI; "make proof" runs more.
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

// These seeds once led to schedules in which a plan spent more than its budget.
func TestBudgetRegressions(t *testing.T) {
	t.Parallel()
	seeds := []uint64{10, 1104}
	for _, seed := range seeds {
		if _, err := CheckBudget(DefaultBudgetRules(), Seeded(seed), budgetSteps); err != nil {
			t.Errorf("seed %d: %v", seed, err)
		}
	}
}

// The choices of a simulation come from rapid, which shrinks a failing schedule.
func TestBudgetShrinks(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, fmt.Sprint(n)) }
		if _, err := CheckBudget(DefaultBudgetRules(), pick, 200); err != nil {
			rt.Fatal(err)
		}
	})
}
