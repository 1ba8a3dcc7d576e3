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

// This file defines the admin endpoint: health, metrics, and explanations.

// Health is the state that a process shows to the platform's balancer.
type Health string

// The states of health.
const (
	Starting Health = "starting"
	Ready    Health = "ready"
	Leaving  Health = "leaving"
)

// Admin serves /health, /metrics and /explain/REQUEST.
type Admin struct {
	app *fiber.App
}

// NewAdmin starts the endpoint. Health answers 200 only when ready.
func NewAdmin(addr string, reg *prometheus.Registry, health func() Health, explain func(string) []string) (*Admin, error) {
	app := fiber.New()
	app.Get("/health", func(c fiber.Ctx) error {
		h := health()
		if h != Ready {
			c.Status(fiber.StatusServiceUnavailable)
		}
		return c.SendString(string(h))
	})
	app.Get("/metrics", adaptor.HTTPHandler(promhttp.HandlerFor(reg, promhttp.HandlerOpts{})))
	app.Get("/explain/:req", func(c fiber.Ctx) error {
		return c.JSON(explain(c.Params("req")))
	})
	a := &Admin{app: app}
	return a, Serve(app, addr)
}

// Close stops the endpoint.
func (a *Admin) Close() { _ = a.app.Shutdown() }

// Logger returns the logger of a process.
func Logger(program, vm, level string) *slog.Logger {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		l = slog.LevelInfo
	}
	h := slog.NewJSONHandler(os.Stdout, &slog.HandlerOptions{Level: l})
	return slog.New(h).With("prog", program, "vm", vm)
}

// Stop returns a channel that gets the signals for a planned stop.
func Stop() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, os.Interrupt)
	return c
}

func slogText(text string, args []any) string {
	var b strings.Builder
	b.WriteString(text)
	for i := 0; i+1 < len(args); i += 2 {
		fmt.Fprintf(&b, " %v=%v", args[i], args[i+1])
	}
	return b.String()
}
