// Command sidecar runs the process that stands beside each upstream.
package main

import (
	"crypto/rand"
	"fmt"
	"os"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrkernel"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/sidecar/kcrsidecar"
)

// nameLength is the length of the random part of an incarnation.
const nameLength = 10

func main() { os.Exit(kcrdaemon.Main("sidecar", "Run the sidecar of an upstream", start)) }

func start(p kcrdaemon.Parts) (kcrdaemon.Daemon, error) {
	self, ok := p.Settings.Upstream(p.VM)
	if !ok {
		return nil, fmt.Errorf("expected an upstream of the settings, got VM %q", p.VM)
	}
	escrow, err := kcrkernel.New(kcrkernel.Builtin).EscrowPolicy(p.Settings.Escrow)
	if err != nil {
		return nil, err
	}
	server := kcrid.Incarnation(string(p.VM) + "/" + rand.Text()[:nameLength])
	return kcrsidecar.New(kcrsidecar.Config{
		Parts: p, Self: self, Server: server, Escrow: escrow, Rules: kcrsidecar.DefaultRules(),
	})
}
