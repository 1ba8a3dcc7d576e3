// Command bench drives a deployment and the kernel's decisions: it sends
// requests, proves the invariants under faults, and measures.
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
