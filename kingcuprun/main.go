// Command kingcuprun is the operators' command.
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
