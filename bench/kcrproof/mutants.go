package kcrproof

import (
	"kingcuprun.example/kernel/kcrid"
)

// This file lists the mutants of the budget proof: each takes one safeguard
// out, and the proof must then find a violation.

// BudgetMutant is a named change to the rules.
type BudgetMutant struct {
	Name   string
	Change func(*BudgetRules)
}

// BudgetMutants returns the mutants.
func BudgetMutants() []BudgetMutant {
	return []BudgetMutant{
		{"a claim gets what it asks for", func(r *BudgetRules) {
			r.Ledger.Grant = func(_, want kcrid.Tokens) kcrid.Tokens { return want }
		}},
		{"a repeated record counts again", func(r *BudgetRules) {
			r.Ledger.Repeat = func(bool) bool { return false }
		}},
		{"a top-up seen twice counts twice", func(r *BudgetRules) {
			r.Ledger.Named = func(map[string]kcrid.Tokens, string) bool { return false }
		}},
		{"a home gives more than it holds", func(r *BudgetRules) {
			r.Home.Fits = func(_, _ kcrid.Tokens) bool { return true }
		}},
		{"a home gives an old reservation to a larger request", func(r *BudgetRules) {
			r.Home.Covers = func(_, _ kcrid.Tokens) bool { return true }
		}},
		{"a home reserves for a sidecar that a recovery would not ask", func(r *BudgetRules) {
			r.Home.OnLedger = func(bool) bool { return true }
		}},
		{"a sidecar serves under a fenced holder", func(r *BudgetRules) {
			r.Meter.Refuses = func(bool) bool { return false }
		}},
		{"a sidecar serves beyond the reservation", func(r *BudgetRules) {
			r.Meter.Exceeds = func(_, _ kcrid.Tokens) bool { return false }
		}},
		{"a sidecar begins a reservation that its home took back", func(r *BudgetRules) {
			r.Meter.Barred = func(_, _ uint64) bool { return false }
		}},
	}
}
