// Command router runs the router of an entry VM, the process that callers connect to.
// The settings assign VMs to routers; the command starts only on a VM that has one.
package main

import (
	"fmt"
	"os"

	"kingcuprun.example/kernel/kcrregistry"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/router/kcrrouter"
)

func main() { os.Exit(kcrdaemon.Main("router", "Run the router of an entry VM", start)) }

// start creates the router that the settings define for the VM of this process.
func start(parts kcrdaemon.Dependencies) (kcrdaemon.Daemon, error) {
	self, ok := parts.Settings.Router(parts.VM)
	if !ok {
		return nil, fmt.Errorf("VM %q has no router in the settings", parts.VM)
	}
	policy, err := kcrregistry.New(kcrregistry.Builtin).RoutePolicy(parts.Settings.RoutePolicy)
	if err != nil {
		return nil, err
	}
	return kcrrouter.New(kcrrouter.Config{Dependencies: parts, RouterSettings: self, Policy: policy})
}
