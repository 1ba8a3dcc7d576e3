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

// This file lists the proofs, runs each one with its mutants, and prints a row for
// each invariant. A proof holds if its check finds no violation with the production
// rules, and one with each mutant.

// Row is the outcome of the proof of one invariant. Seeds names the range of seeds
// or the schedules; Note tells how much was checked and what broke the mutants.
type Row struct {
	Invariant string
	Faults    string
	Seeds     string
	Err       error
	Note      string
}

// Proof is a named proof of one invariant. Run takes the number of seeds.
type Proof struct {
	Name string
	Run  func(seeds int) Row
}

// Seeded returns a pseudo-random source of choices, which the seed determines.
func Seeded(seed uint64) Pick {
	r := rand.New(rand.NewPCG(seed, seed))
	return r.IntN
}

// A violation of a mutant is looked for with mutantSeedFactor times as many seeds as the
// check was run with, and with minMutantSeeds at the least.
const (
	mutantSeedFactor = 10
	minMutantSeeds   = 1000
)

// Steps of one schedule; for the answer proof, rounds of one answer each.
const (
	budgetSteps       = 12000
	onceSteps         = 8000
	configSteps       = 400
	frameFilterRounds = 200
	walletsSteps      = 600
)

// Proofs returns the proofs in the order in which the requirements list the
// invariants.
func Proofs() []Proof {
	return []Proof{
		{"budget", proofSpec[BudgetRules]{
			invariant: "a team never spends past its prepaid budget; each request billed once",
			faults:    "kill, freeze, cut, log down, answer lost, late append, clock step, wrong suspicion",
			rules:     DefaultBudgetRules(), mutants: BudgetMutants(), check: CheckBudget, steps: budgetSteps,
		}.prove},
		{"answer", proofSpec[kcranswer.FrameFilterRules]{
			invariant: "a caller gets its own whole answer or an error",
			faults:    "frames late, doubled, reordered, missing, of other attempts",
			rules:     kcranswer.DefaultFrameFilterRules(), mutants: FrameFilterMutants(), check: CheckFrameFilter, steps: frameFilterRounds,
		}.prove},
		{"escrow", proveEscrow},
		{"wallets", proofSpec[EscrowRules]{
			invariant: "homes that lend and a router never spend past what is prepaid, and no successor settles a grant at less than was drawn",
			faults:    "late, lost and repeated appends in any order, snapshots in place of records, lost loans and returns, kills, planned stops, loss of power, limits that change",
			rules:     DefaultEscrowRules(), mutants: WalletMutants(), check: CheckWallets, steps: walletsSteps,
		}.prove},
		{"once", proofSpec[kcrintent.Rules]{
			invariant: "a non-idempotent call runs at most once; \"not run\" did not run",
			faults:    "kill, freeze between check and call, cut, log down, answer lost, late copies",
			rules:     kcrintent.DefaultRules(), mutants: OnceMutants(), check: CheckOnce, steps: onceSteps,
		}.prove},
		{"config", proofSpec[kcrlist.Rules]{
			invariant: "an accepted configuration never reverts",
			faults:    "racing operators, late and doubled appends, restarts, old snapshots",
			rules:     kcrlist.DefaultRules(), mutants: ConfigMutants(), check: CheckConfig, steps: configSteps,
		}.prove},
	}
}

// proofSpec describes a proof: the invariant, the check, and the mutants for which
// the check must find a violation. R is the type of the rules.
type proofSpec[R any] struct {
	invariant string
	faults    string
	rules     R
	mutants   []Mutant[R]
	check     Check[R]
	steps     int
}

// prove runs the check with every seed, and then looks for a violation of each mutant.
func (s proofSpec[R]) prove(seeds int) Row {
	row := Row{Invariant: s.invariant, Faults: s.faults, Seeds: fmt.Sprintf("0-%d", seeds-1)}
	totalWork := 0
	for seed := range uint64(seeds) {
		work, err := s.check(s.rules, Seeded(seed), s.steps)
		totalWork += work
		if err != nil {
			row.Err = fmt.Errorf("seed %d: %w", seed, err)
			return row
		}
	}
	var violations []string
	for _, m := range s.mutants {
		seed, err := findViolation(s.rules, m, s.check, max(minMutantSeeds, mutantSeedFactor*seeds), s.steps)
		if err == nil {
			row.Err = fmt.Errorf("mutant %q: expected a violation, got none", m.Name)
			return row
		}
		violations = append(violations, fmt.Sprintf("%s (seed %d)", m.Name, seed))
	}
	row.Note = fmt.Sprintf("work %d; breaks when %s", totalWork, strings.Join(violations, ", "))
	return row
}

// Print runs proofs and prints their rows. It returns the names of the proofs that
// failed.
func Print(w io.Writer, proofs []Proof, seeds int) (failed []string, err error) {
	for _, p := range proofs {
		row := p.Run(seeds)
		verdict := "held"
		if row.Err != nil {
			verdict = "broken: " + row.Err.Error()
			failed = append(failed, p.Name)
		}
		if _, err := fmt.Fprintf(w, "%-10s %s | %s | seeds %s | %s | %s\n", p.Name, row.Invariant, row.Faults, row.Seeds, verdict, row.Note); err != nil {
			return failed, err
		}
	}
	return failed, nil
}
