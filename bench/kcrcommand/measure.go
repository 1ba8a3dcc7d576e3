package kcrcommand

import (
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"kingcuprun.example/bench/kcrmeasure"
)

// table is a measurement by name.
type table struct {
	name  string
	print func(io.Writer) error
}

func tables() []table {
	return []table{
		{"budget", kcrmeasure.Budget},
		{"route", kcrmeasure.Route},
		{"slope", kcrmeasure.Slope},
		{"speed", kcrmeasure.Speed},
	}
}

func measure() *cobra.Command {
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
