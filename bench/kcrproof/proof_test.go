package kcrproof

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"kingcuprun.example/kernel/kcrintent"
	"kingcuprun.example/kernel/kcrlist"
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

// A seed determines a schedule: each time, the simulations make the same choices.
func TestSchedulesRepeat(t *testing.T) {
	t.Parallel()
	choices := func(seed uint64, check func(Pick) error) (hash uint64) {
		pick := Seeded(seed)
		err := check(func(n int) int {
			chosen := pick(n)
			hash = hash*31 + uint64(n*1000+chosen)
			return chosen
		})
		if err != nil {
			t.Error(err)
		}
		return hash
	}
	for name, check := range map[string]func(Pick) error{
		"budget": func(p Pick) error { _, err := CheckBudget(DefaultBudgetRules(), p, budgetSteps); return err },
		"once":   func(p Pick) error { _, err := CheckOnce(kcrintent.DefaultRules(), p, onceSteps); return err },
		"config": func(p Pick) error { _, err := CheckConfig(kcrlist.DefaultRules(), p, configSteps); return err },
	} {
		for seed := range uint64(5) {
			if first, second := choices(seed, check), choices(seed, check); first != second {
				t.Errorf("%s, seed %d: expected the same choices, got others", name, seed)
			}
		}
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
