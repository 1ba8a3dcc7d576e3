// Command router runs the process that callers reach.
package main

import (
	"fmt"
	"os"

	"kingcuprun.example/kernel/kcrkernel"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/router/kcrrouter"
)

func main() { os.Exit(kcrdaemon.Main("router", "Run the router of an entry VM", start)) }

func start(p kcrdaemon.Parts) (kcrdaemon.Daemon, error) {
	self, ok := p.Settings.Router(p.VM)
	if !ok {
		return nil, fmt.Errorf("expected a router of the settings, got VM %q", p.VM)
	}
	policy, err := kcrkernel.New(kcrkernel.Builtin).RoutePolicy(p.Settings.Route)
	if err != nil {
		return nil, err
	}
	return kcrrouter.New(kcrrouter.Config{Parts: p, Self: self, Policy: policy})
}
