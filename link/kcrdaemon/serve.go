package kcrdaemon

import (
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrerror"
)

// Serve listens on an address and serves the app in the background. The error
// is that of the listening.
func Serve(app *fiber.App, addr string) (err error) {
	defer kcrerror.Annotate(&err, "listen on %s", addr)
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	var wait conc.WaitGroup
	wait.Go(func() {
		_ = app.Listener(l, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}
