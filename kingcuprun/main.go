// Command kingcuprun is the command-line tool of operators. It publishes the
// configuration of a deployment, marks VMs as leaving, shows budgets and explains
// requests. It exits with status 1 after an error.
package main

import (
	"fmt"
	"os"

	"kingcuprun.example/kingcuprun/kcroperate"
)

func main() {
	if err := kcroperate.Command().Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "kingcuprun:", err)
		os.Exit(1)
	}
}
