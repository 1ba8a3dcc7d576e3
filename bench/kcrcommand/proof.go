package kcrcommand

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"kingcuprun.example/bench/kcrproof"
)

// This file defines the subcommand that runs the proofs.

// knownFailuresFile lists the checks that are known to fail. A failing proof that it names,
// as "proof NAME", doesn't fail the command.
const knownFailuresFile = "KNOWN-RED.txt"

// proofCommand returns the subcommand that runs all proofs and prints their rows.
func proofCommand() *cobra.Command {
	var seeds int
	var only string
	cmd := &cobra.Command{
		Use:   "proof",
		Short: "Prove the invariants under generated faults",
		RunE: func(cmd *cobra.Command, _ []string) error {
			failed, err := kcrproof.Print(cmd.OutOrStdout(), selectProofs(only), seeds)
			if err != nil {
				return err
			}
			return checkKnownFailures(failed)
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 1000, "schedules for each proof")
	cmd.Flags().StringVar(&only, "only", "", "name of the only proof to run")
	return cmd
}

// selectProofs returns the proof with a name, or all if the name is empty.
func selectProofs(name string) []kcrproof.Proof {
	return slices.DeleteFunc(kcrproof.Proofs(), func(p kcrproof.Proof) bool { return name != "" && p.Name != name })
}

// checkKnownFailures returns an error if a failed proof is not a known failure.
func checkKnownFailures(failed []string) error {
	known, err := os.ReadFile(knownFailuresFile)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	for _, name := range failed {
		if !strings.Contains(string(known), "proof "+name) {
			return fmt.Errorf("proof %s is broken", name)
		}
	}
	return nil
}
