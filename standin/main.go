// Command standin runs the stand-ins of a deployment: the platform's log and
// VM list, and every upstream of the settings. It is for tests and the demo.
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
	var path string
	var lag time.Duration
	cmd := &cobra.Command{
		Use:           "standin --settings FILE",
		Short:         "Run stand-ins of the platform and of all upstreams",
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE:          func(*cobra.Command, []string) error { return run(path, lag) },
	}
	cmd.Flags().StringVar(&path, "settings", "", "settings file of the deployment")
	cmd.Flags().DurationVar(&lag, "lag", 2*time.Second, "lag of the VM list")
	if err := cmd.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(path string, lag time.Duration) error {
	s, err := kcrsettings.Load(path)
	if err != nil {
		return err
	}
	stop := kcrdaemon.Stop()
	log, vms := fiber.New(fiber.Config{BodyLimit: 64 << 20}), fiber.New()
	kcrstandin.NewLog().Route(log)
	kcrstandin.NewVMs(lag, kcrdaemon.Listed(s)).Route(vms)
	if err := kcrdaemon.Serve(log, s.Log); err != nil {
		return err
	}
	if err := kcrdaemon.Serve(vms, s.VMs); err != nil {
		return err
	}
	effects := map[string]*kcrstandin.Effects{}
	for _, u := range s.Upstreams {
		app := fiber.New()
		service, _ := s.Service(u.Service)
		if service.Kind == kcrsettings.Engine {
			kcrstandin.NewEngine(kcrstandin.DefaultEngine()).Route(app)
		} else {
			name := string(u.Service)
			if effects[name] == nil {
				effects[name] = kcrstandin.NewEffects()
			}
			kcrstandin.NewPlain(effects[name]).Route(app)
		}
		if err := kcrdaemon.Serve(app, u.Upstream); err != nil {
			return err
		}
	}
	<-stop
	return nil
}
