// Command router runs the process that callers reach.
package main

import (
	"context"
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
	"kingcuprun.example/router/kcrrouter"
)

// stopTime bounds a planned stop.
const stopTime = 10 * time.Minute

func main() {
	var path, vm, level string
	cmd := &cobra.Command{
		Use:           "router --settings FILE --vm NAME",
		Short:         "Run the router of an entry VM",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(path, vm, level) },
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file of the deployment")
	cmd.Flags().StringVar(&vm, "vm", "", "name of this VM in the settings")
	cmd.Flags().StringVar(&level, "level", "info", "lowest level that is logged")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "router:", err)
		os.Exit(1)
	}
}

func run(path, vm, level string) error {
	settings, err := kcrsettings.Load(path)
	if err != nil {
		return err
	}
	self, ok := settings.Router(kcrid.VM(vm))
	if !ok {
		return fmt.Errorf("expected a router of the settings, got VM %q", vm)
	}
	policy, err := kcrkernel.New(kcrkernel.Builtin).RoutePolicy(settings.Route)
	if err != nil {
		return err
	}
	stop := kcrdaemon.Stop()
	r, err := kcrrouter.New(kcrrouter.Config{
		Settings: settings,
		Self:     self,
		Policy:   policy,
		Clock:    kcrclock.Monotonic(),
		Logger:   kcrdaemon.Logger("router", vm, level),
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
	r.Stop(ctx)
	return nil
}
