package kcrproof

import (
	"kingcuprun.example/kernel/kcrid"
)

// This file defines mutants, which are rules with one safeguard removed, and lists
// those of the budget proof. A proof must find a violation for each mutant.

// team is the team of all calls in a proof.
const team = "team"

// Mutant is a named change that removes one safeguard from the rules of a proof.
type Mutant[R any] struct {
	Name   string
	Change func(*R)
}

// Check runs one schedule of a proof and returns the first violation. Work is a
// measure of what the simulation did, such as the number of tokens served.
type Check[R any] func(rules R, pick Pick, steps int) (work int, err error)

// findViolation returns the first seed with which a mutant violates the invariant. A
// nil error means that no seed did.
func findViolation[R any](rules R, m Mutant[R], check Check[R], seeds, steps int) (seed uint64, err error) {
	m.Change(&rules)
	for seed = range uint64(seeds) {
		if _, err = check(rules, Seeded(seed), steps); err != nil {
			return seed, err
		}
	}
	return 0, nil
}

// BudgetMutants returns the mutants of the budget proof.
func BudgetMutants() []Mutant[BudgetRules] {
	return []Mutant[BudgetRules]{
		{"a claim gets what it asks for", func(r *BudgetRules) {
			r.Ledger.GrantSize = func(_, want kcrid.Tokens) kcrid.Tokens { return want }
		}},
		{"a repeated record counts again", func(r *BudgetRules) {
			r.Ledger.IsDuplicate = func(bool) bool { return false }
		}},
		{"a top-up seen twice counts twice", func(r *BudgetRules) {
			r.Ledger.IsCreditApplied = func(map[string]kcrid.Tokens, string) bool { return false }
		}},
		{"a home gives more than it holds", func(r *BudgetRules) {
			r.Home.Fits = func(_, _ kcrid.Tokens) bool { return true }
		}},
		{"a home gives an old reservation to a larger request", func(r *BudgetRules) {
			r.Home.Covers = func(_, _ kcrid.Tokens) bool { return true }
		}},
		{"a home reserves for a sidecar that a recovery would not ask", func(r *BudgetRules) {
			r.Home.IsOpen = func(bool) bool { return true }
		}},
		{"a sidecar serves under a fenced holder", func(r *BudgetRules) {
			r.Meter.RefusesFenced = func(bool) bool { return false }
		}},
		{"a sidecar serves beyond the reservation", func(r *BudgetRules) {
			r.Meter.Exceeds = func(_, _ kcrid.Tokens) bool { return false }
		}},
		{"a sidecar begins a reservation that its home took back", func(r *BudgetRules) {
			r.Meter.IsBarred = func(_, _ uint64) bool { return false }
		}},
	}
}
