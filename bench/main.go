// Command bench tests and measures kingcuprun. It sends requests to a deployment,
// checks the invariants of the kernel under generated faults, and prints tables of
// measurements.
package main

import (
	"fmt"
	"os"

	"kingcuprun.example/bench/kcrcommand"
)

func main() {
	if err := kcrcommand.Root().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}
