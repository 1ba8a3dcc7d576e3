// Command sidecar runs the process that stands beside each upstream.
package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/cobra"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrkernel"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrplatform"
	"kingcuprun.example/link/kcrsettings"
	"kingcuprun.example/sidecar/kcrsidecar"
)

// stopTime bounds a planned stop.
const stopTime = 10 * time.Minute

func main() {
	var path, vm, level string
	cmd := &cobra.Command{
		Use:           "sidecar --settings FILE --vm NAME",
		Short:         "Run the sidecar of an upstream",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(path, vm, level) },
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file of the deployment")
	cmd.Flags().StringVar(&vm, "vm", "", "name of this VM in the settings")
	cmd.Flags().StringVar(&level, "level", "info", "lowest level that is logged")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "sidecar:", err)
		os.Exit(1)
	}
}

func run(path, vm, level string) error {
	settings, err := kcrsettings.Load(path)
	if err != nil {
		return err
	}
	self, ok := settings.Upstream(kcrid.VM(vm))
	if !ok {
		return fmt.Errorf("expected an upstream of the settings, got VM %q", vm)
	}
	escrow, err := kcrkernel.New(kcrkernel.Builtin).EscrowPolicy(settings.Escrow)
	if err != nil {
		return err
	}
	stop := kcrdaemon.Stop()
	s, err := kcrsidecar.New(kcrsidecar.Config{
		Settings: settings,
		Self:     self,
		Server:   kcrid.Incarnation(vm + "/" + rand.Text()[:10]),
		Escrow:   escrow,
		Clock:    kcrclock.Monotonic(),
		Logger:   kcrdaemon.Logger("sidecar", vm, level),
		Platform: kcrplatform.New(settings.Log, kcrplatform.HTTPClient()),
		VMs:      kcrplatform.New(settings.VMs, kcrplatform.HTTPClient()),
		Metrics:  prometheus.NewRegistry(),
		Pool:     kcrlink.NewPool(),
	})
	if err != nil {
		return err
	}
	<-stop
	ctx, cancel := context.WithTimeout(context.Background(), stopTime)
	defer cancel()
	s.Stop(ctx)
	return nil
}
