// Command standin runs stand-ins for the services around a deployment, for tests and the
// demo: the platform's log and VM list, and every upstream of the settings. They keep their
// state in memory. It exits with status 1 after an error.
package main

import (
	"fmt"
	"os"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/spf13/cobra"

	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrsettings"
	"kingcuprun.example/standin/kcrstandin"
)

func main() {
	var settingsFile string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:           "standin --settings FILE",
		Short:         "Run stand-ins of the platform and of all upstreams",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(settingsFile, lag) },
	}
	cmd.Flags().StringVar(&settingsFile, "settings", "", "settings file of the deployment")
	cmd.Flags().DurationVar(&lag, "lag", 2*time.Second, "lag of the VM list")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

// run serves all stand-ins at the addresses of the settings until the process is told to
// stop. The upstreams of one plain service share an effect counter.
func run(settingsFile string, lag time.Duration) error {
	settings, err := kcrsettings.Load(settingsFile)
	if err != nil {
		return err
	}
	stopSignal := kcrdaemon.NotifyStop()
	logApp, vmListApp := fiber.New(fiber.Config{BodyLimit: 64 << 20}), fiber.New()
	kcrstandin.NewLog().RegisterRoutes(logApp)
	kcrstandin.NewVMList(lag, kcrdaemon.VMsFromSettings(settings)).RegisterRoutes(vmListApp)
	if err := kcrdaemon.Serve(logApp, settings.LogAddr); err != nil {
		return err
	}
	if err := kcrdaemon.Serve(vmListApp, settings.VMListAddr); err != nil {
		return err
	}
	effects := map[string]*kcrstandin.EffectCounter{}
	for _, upstream := range settings.Upstreams {
		app := fiber.New()
		service, _ := settings.Service(upstream.Service)
		if service.Kind == kcrsettings.KindEngine {
			kcrstandin.NewEngine(kcrstandin.DefaultEngineSettings()).RegisterRoutes(app)
		} else {
			name := string(upstream.Service)
			if effects[name] == nil {
				effects[name] = kcrstandin.NewEffectCounter()
			}
			kcrstandin.NewPlainService(effects[name]).RegisterRoutes(app)
		}
		if err := kcrdaemon.Serve(app, upstream.Upstream); err != nil {
			return err
		}
	}
	<-stopSignal
	return nil
}
