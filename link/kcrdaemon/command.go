package kcrdaemon

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/spf13/cobra"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrplatform"
	"kingcuprun.example/link/kcrsettings"
)

// This file is the command line that the daemons share.

// stopTime bounds a planned stop.
const stopTime = 10 * time.Minute

// Parts are what every daemon is made of.
type Parts struct {
	Settings *kcrsettings.Settings
	VM       kcrid.VM
	Clock    kcrclock.Clock
	Logger   *slog.Logger
	Platform *kcrplatform.Client
	VMs      *kcrplatform.Client
	Metrics  *prometheus.Registry
	Pool     *kcrlink.Pool
}

// Daemon is a running daemon. Stop is a planned stop.
type Daemon interface {
	Stop(ctx context.Context)
}

// Main runs a daemon until SIGTERM and returns the exit status.
func Main(program, short string, start func(Parts) (Daemon, error)) int {
	var path, vm, level string
	cmd := &cobra.Command{
		Use:           program + " --settings FILE --vm NAME",
		Short:         short,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(program, path, vm, level, start) },
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file of the deployment")
	cmd.Flags().StringVar(&vm, "vm", "", "name of this VM in the settings")
	cmd.Flags().StringVar(&level, "level", "info", "lowest level that is logged")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return 1
	}
	return 0
}

func run(program, path, vm, level string, start func(Parts) (Daemon, error)) error {
	settings, err := kcrsettings.Load(path)
	if err != nil {
		return err
	}
	stop := Stop()
	d, err := start(Parts{
		Settings: settings,
		VM:       kcrid.VM(vm),
		Clock:    kcrclock.Monotonic(),
		Logger:   Logger(program, vm, level),
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
	d.Stop(ctx)
	return nil
}
