package kcrproof

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
)

// This file runs the proofs and prints a row for each invariant.

// Row is the outcome of the proof of one invariant.
type Row struct {
	Name   string
	Faults string
	Seeds  string
	Err    error
	Note   string
}

// Proof proves one invariant with so many seeds.
type Proof struct {
	Name string
	Run  func(seeds int) Row
}

// Proofs returns the proofs in the order of the brief.
func Proofs() []Proof {
	return []Proof{
		{"budget", budgetRow},
		{"mutants", mutantsRow},
	}
}

// Seeded returns a source of choices that is fixed by a seed.
func Seeded(seed uint64) Pick {
	r := rand.New(rand.NewPCG(seed, seed))
	return r.IntN
}

const proofSteps = 12000

func budgetRow(seeds int) Row {
	row := Row{
		Name:   "a team never spends past its prepaid budget; each request billed once",
		Faults: "kill, freeze, cut, log down, answer lost, late append, clock step, wrong suspicion",
		Seeds:  fmt.Sprintf("0-%d", seeds-1),
	}
	var total int64
	for seed := range uint64(seeds) {
		served, err := Budget(DefaultBudgetRules(), Seeded(seed), proofSteps)
		total += int64(served)
		if err != nil {
			row.Err = fmt.Errorf("seed %d: %w", seed, err)
			return row
		}
	}
	row.Note = fmt.Sprintf("%d tokens served", total)
	return row
}

func mutantsRow(seeds int) Row {
	row := Row{Name: "each safeguard of the budget is needed", Faults: "the same, one safeguard taken out", Seeds: fmt.Sprintf("0-%d", seeds-1)}
	var found []string
	for _, m := range BudgetMutants() {
		seed, err := breakMutant(m, seeds)
		if err == nil {
			row.Err = fmt.Errorf("%s: expected a violation, got none", m.Name)
			return row
		}
		found = append(found, fmt.Sprintf("%s: seed %d", m.Name, seed))
	}
	row.Note = strings.Join(found, "; ")
	return row
}

// breakMutant returns the first seed that shows a violation.
func breakMutant(m BudgetMutant, seeds int) (seed uint64, err error) {
	rules := DefaultBudgetRules()
	m.Change(&rules)
	for seed = range uint64(seeds) {
		if _, err = Budget(rules, Seeded(seed), proofSteps); err != nil {
			return seed, err
		}
	}
	return 0, nil
}

// Print runs proofs and prints their rows. It returns the names of those that
// are broken.
func Print(w io.Writer, proofs []Proof, seeds int) (broken []string, err error) {
	for _, p := range proofs {
		row := p.Run(seeds)
		verdict := "held"
		if row.Err != nil {
			verdict = "broken: " + row.Err.Error()
			broken = append(broken, p.Name)
		}
		if _, err := fmt.Fprintf(w, "%-10s %s | %s | seeds %s | %s | %s\n", p.Name, row.Name, row.Faults, row.Seeds, verdict, row.Note); err != nil {
			return broken, err
		}
	}
	return broken, nil
}
