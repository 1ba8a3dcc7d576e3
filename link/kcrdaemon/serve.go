package kcrdaemon

import (
	"net"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrerror"
)

// This file starts the HTTP servers of a process.

// Serve listens on an address of the form ip:port and serves the app in the
// background until the app is shut down. It returns an error only if it cannot
// listen.
func Serve(app *fiber.App, addr string) (err error) {
	defer kcrerror.Annotate(&err, "listen on %s", addr)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	var wg conc.WaitGroup
	wg.Go(func() {
		_ = app.Listener(listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}
