package kcrdaemon

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// This file defines the admin endpoint of a process, which serves its health, its
// metrics and the recent decisions on a request, and the process's logger and stop
// signals.

// Health is the state that a process reports to the platform's load balancer.
type Health string

// The states of a process. Only a ready process gets new requests.
const (
	Starting Health = "starting" // no configuration has been received yet
	Ready    Health = "ready"
	Leaving  Health = "leaving" // it shuts down, or an operator marked its VM as leaving
)

// Admin is the HTTP server of the admin endpoint. It serves /health, /metrics and
// /explain/REQUEST.
type Admin struct {
	app *fiber.App
}

// NewAdmin starts the admin endpoint at an address of the form ip:port. /health
// answers with status 200 if health returns Ready, and with 503 otherwise.
// /explain/REQUEST answers with the decisions that explain returns for the request.
func NewAdmin(addr string, reg *prometheus.Registry, health func() Health, explain func(string) []string) (*Admin, error) {
	app := fiber.New()
	app.Get("/health", func(c fiber.Ctx) error {
		current := health()
		if current != Ready {
			c.Status(fiber.StatusServiceUnavailable)
		}
		return c.SendString(string(current))
	})
	app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(reg, promhttp.HandlerOpts{})))
	app.Get("/explain/:req", func(c fiber.Ctx) error {
		return c.JSON(explain(c.Params("req")))
	})
	a := &Admin{app: app}
	return a, Serve(app, addr)
}

// Close stops the admin endpoint.
func (a *Admin) Close() { _ = a.app.Shutdown() }

// NewLogger returns the logger of a process. It writes JSON lines of at least the
// named level to the standard output; an unknown level counts as info.
func NewLogger(program, vm, level string) *slog.Logger {
	var minLevel slog.Level
	if err := minLevel.UnmarshalText([]byte(level)); err != nil {
		minLevel = slog.LevelInfo
	}
	handler := slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{Level: minLevel})
	return slog.New(handler).With("prog", program, "vm", vm)
}

// NotifyStop returns a channel that receives SIGTERM and SIGINT, the signals that request
// a graceful shutdown.
func NotifyStop() <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	return signals
}

// formatDecision returns the text of a decision followed by its attributes, each as
// name=value.
func formatDecision(text string, args []any) string {
	var b strings.Builder
	b.WriteString(text)
	for i := 0; i+1 < len(args); i += 2 {
		fmt.Fprintf(&b, " %v=%v", args[i], args[i+1])
	}
	return b.String()
}
