package kcrcommand

import (
	"fmt"
	"os"
	"strings"

	"github.com/spf13/cobra"

	"kingcuprun.example/bench/kcrproof"
)

// knownRed lists the proofs that are known to be broken, one entry a line.
const knownRed = "KNOWN-RED.txt"

func proof() *cobra.Command {
	var seeds int
	cmd := &cobra.Command{
		Use:   "proof",
		Short: "Prove the invariants under generated faults",
		RunE: func(cmd *cobra.Command, _ []string) error {
			broken, err := kcrproof.Print(cmd.OutOrStdout(), kcrproof.Proofs(), seeds)
			if err != nil {
				return err
			}
			return unknownRed(broken)
		},
	}
	cmd.Flags().IntVar(&seeds, "seeds", 1000, "schedules for each proof")
	return cmd
}

// unknownRed returns an error if a broken proof is not known to be.
func unknownRed(broken []string) error {
	known, err := os.ReadFile(knownRed)
	if err != nil && !os.IsNotExist(err) {
		return err
	}
	for _, name := range broken {
		if !strings.Contains(string(known), "proof "+name) {
			return fmt.Errorf("proof %s is broken", name)
		}
	}
	return nil
}
