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

// This file defines the command line and the main function that the daemons share.

// stopTimeout bounds a graceful shutdown.
const stopTimeout = 10 * time.Minute

// Dependencies holds the components that every daemon uses.
type Dependencies struct {
	Settings     *kcrsettings.Settings
	VM           kcrid.VM // VM that the daemon runs on
	Clock        kcrclock.Clock
	Logger       *slog.Logger
	LogClient    *kcrplatform.Client // client of the log service
	VMListClient *kcrplatform.Client // client of the service that provides the VM list
	Metrics      *prometheus.Registry
	Pool         *kcrlink.Pool // connections to other processes of kingcuprun
}

// Daemon is a running daemon. Stop shuts it down gracefully: it returns when the
// requests in progress have ended or the context is done.
type Daemon interface {
	Stop(ctx context.Context)
}

// Main parses the command line, starts a daemon with start, runs it until SIGTERM or
// SIGINT, and returns the exit status of the process.
func Main(program, short string, start func(Dependencies) (Daemon, error)) int {
	var settingsPath, vm, level string
	cmd := &cobra.Command{
		Use:           program + " --settings FILE --vm NAME",
		Short:         short,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(program, settingsPath, vm, level, start) },
	}
	cmd.Flags().StringVar(&settingsPath, "settings", "", "settings file of the deployment")
	cmd.Flags().StringVar(&vm, "vm", "", "name of this VM in the settings")
	cmd.Flags().StringVar(&level, "level", "info", "lowest level that is logged")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v\n", program, err)
		return 1
	}
	return 0
}

// run starts the daemon and stops it at the first stop signal.
func run(program, settingsPath, vm, level string, start func(Dependencies) (Daemon, error)) error {
	settings, err := kcrsettings.Load(settingsPath)
	if err != nil {
		return err
	}
	signals := NotifyStop()
	daemon, err := start(Dependencies{
		Settings:     settings,
		VM:           kcrid.VM(vm),
		Clock:        kcrclock.Monotonic(),
		Logger:       NewLogger(program, vm, level),
		LogClient:    kcrplatform.NewClient(settings.LogAddr, kcrplatform.NewHTTPClient()),
		VMListClient: kcrplatform.NewClient(settings.VMListAddr, kcrplatform.NewHTTPClient()),
		Metrics:      prometheus.NewRegistry(),
		Pool:         kcrlink.NewPool(),
	})
	if err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	daemon.Stop(ctx)
	return nil
}
