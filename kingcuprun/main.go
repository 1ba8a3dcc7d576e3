// Command kingcuprun is the command-line tool of operators. It publishes the
// configuration of a deployment, marks VMs as leaving, shows budgets and explains
// requests. It exits with status 1 after an error.
package main

import (
	"errors"
	"fmt"
	"os"

	"kingcuprun.example/kingcuprun/kcroperate"
	"kingcuprun.example/platform/kcrvet"
)

func main() {
	err := kcroperate.Command().Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "kingcuprun:", err)
	var exit *kcrvet.ExitError
	if errors.As(err, &exit) {
		os.Exit(int(exit.Code))
	}
	os.Exit(1)
}
