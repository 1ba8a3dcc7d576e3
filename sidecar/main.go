// Command sidecar runs the sidecar process of one upstream; see package kcrsidecar.
package main

import (
	"crypto/rand"
	"fmt"
	"os"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrregistry"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/sidecar/kcrsidecar"
)

// incarnationLength is the number of random characters in the name of an incarnation.
// The name must differ from those of all earlier runs on the VM.
const incarnationLength = 10

func main() { os.Exit(kcrdaemon.Main("sidecar", "Run the sidecar of an upstream", start)) }

// start builds the sidecar of the upstream that the settings list for this VM.
func start(p kcrdaemon.Dependencies) (kcrdaemon.Daemon, error) {
	self, ok := p.Settings.Upstream(p.VM)
	if !ok {
		return nil, fmt.Errorf("the settings list no upstream on VM %q", p.VM)
	}
	escrow, err := kcrregistry.New(kcrregistry.Builtin).EscrowPolicy(p.Settings.EscrowPolicy)
	if err != nil {
		return nil, err
	}
	incarnation := kcrid.Incarnation(string(p.VM) + "/" + rand.Text()[:incarnationLength])
	return kcrsidecar.New(kcrsidecar.Config{
		Dependencies: p, UpstreamSettings: self, Incarnation: incarnation, EscrowPolicy: escrow, Rules: kcrsidecar.DefaultRules(),
	})
}
