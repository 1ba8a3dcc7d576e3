package kcrproof

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"

	"kingcuprun.example/kernel/kcranswer"
	"kingcuprun.example/kernel/kcrintent"
	"kingcuprun.example/kernel/kcrlist"
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

// Seeded returns a source of choices that is fixed by a seed.
func Seeded(seed uint64) Pick {
	r := rand.New(rand.NewPCG(seed, seed))
	return r.IntN
}

// mutantFactor is how many more seeds a mutant gets to show a violation.
const mutantFactor = 10

// Steps of one schedule.
const (
	budgetSteps  = 12000
	onceSteps    = 8000
	configSteps  = 400
	spliceRounds = 200
)

// Proofs returns the proofs in the order of the brief.
func Proofs() []Proof {
	return []Proof{
		{"budget", subject[BudgetRules]{
			name:   "a team never spends past its prepaid budget; each request billed once",
			faults: "kill, freeze, cut, log down, answer lost, late append, clock step, wrong suspicion",
			rules:  DefaultBudgetRules(), mutants: BudgetMutants(), check: Budget, steps: budgetSteps,
		}.prove},
		{"answer", subject[kcranswer.SpliceRules]{
			name:   "a caller gets its own whole answer or an error",
			faults: "frames late, doubled, reordered, missing, of other attempts",
			rules:  kcranswer.DefaultSpliceRules(), mutants: SpliceMutants(), check: Splice, steps: spliceRounds,
		}.prove},
		{"escrow", proveEscrow},
		{"once", subject[kcrintent.Rules]{
			name:   "a non-idempotent call runs at most once; \"not run\" did not run",
			faults: "kill, freeze between check and call, cut, log down, answer lost, late copies",
			rules:  kcrintent.DefaultRules(), mutants: OnceMutants(), check: Once, steps: onceSteps,
		}.prove},
		{"config", subject[kcrlist.Rules]{
			name:   "an accepted configuration never reverts",
			faults: "racing operators, late and doubled appends, restarts, old snapshots",
			rules:  kcrlist.DefaultRules(), mutants: ConfigMutants(), check: Config, steps: configSteps,
		}.prove},
	}
}

// subject is an invariant with its check and the mutants that must break it.
type subject[R any] struct {
	name    string
	faults  string
	rules   R
	mutants []Mutant[R]
	check   Check[R]
	steps   int
}

func (s subject[R]) prove(seeds int) Row {
	row := Row{Name: s.name, Faults: s.faults, Seeds: fmt.Sprintf("0-%d", seeds-1)}
	total := 0
	for seed := range uint64(seeds) {
		work, err := s.check(s.rules, Seeded(seed), s.steps)
		total += work
		if err != nil {
			row.Err = fmt.Errorf("seed %d: %w", seed, err)
			return row
		}
	}
	var found []string
	for _, m := range s.mutants {
		seed, err := breakMutant(s.rules, m, s.check, mutantFactor*seeds, s.steps)
		if err == nil {
			row.Err = fmt.Errorf("mutant %q: expected a violation, got none", m.Name)
			return row
		}
		found = append(found, fmt.Sprintf("%s (seed %d)", m.Name, seed))
	}
	row.Note = fmt.Sprintf("work %d; breaks when %s", total, strings.Join(found, ", "))
	return row
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
