package kcrcommand

import (
	"fmt"
	"os"
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
	cmd := &cobra.Command{
		Use:   "proof",
		Short: "Prove the invariants under generated faults",
		RunE: func(cmd *cobra.Command, _ []string) error {
			failed, err := kcrproof.Print(cmd.OutOrStdout(), kcrproof.Proofs(), seeds)
			if err != nil {
				return err
			}
			return checkKnownFailures(failed)
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 1000, "schedules for each proof")
	return cmd
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
