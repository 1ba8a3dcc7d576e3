package kcrcommand

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"kingcuprun.example/bench/kcrmeasure"
)

// This file defines the subcommand that prints the tables of measurements.

// table is a named measurement that prints a table.
type table struct {
	name  string
	print func(io.Writer) error
}

// tables returns the measurements in the order in which they are printed.
func tables() []table {
	return []table{
		{"budget", kcrmeasure.PrintBudgetTable},
		{"stranded", kcrmeasure.PrintStrandedTable},
		{"route", kcrmeasure.PrintRouteTable},
		{"slope", kcrmeasure.PrintSlopeTable},
		{"speed", kcrmeasure.PrintSpeedTable},
	}
}

// measureCommand returns the subcommand that prints the named tables, or all of them.
func measureCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "measure [TABLE...]",
		Short: "Print the tables of measurements",
		RunE: func(cmd *cobra.Command, args []string) error {
			want := map[string]bool{}
			for _, name := range args {
				want[name] = true
			}
			for _, t := range tables() {
				if len(args) > 0 && !want[t.name] {
					continue
				}
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "== %s\n", t.name); err != nil {
					return err
				}
				if err := t.print(cmd.OutOrStdout()); err != nil {
					return err
				}
			}
			return nil
		},
	}
}
