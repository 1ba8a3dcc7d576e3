package kcrstandin

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// This file is the plain service, which counts its effects by key.

// PlainFaults are the ways in which a plain service fails.
type PlainFaults struct {
	SlowMS int  `json:"slow"`
	Lose   bool `json:"lose"` // the effect happens and the answer is lost
}

// Effects counts effects by key. Several plain services may share it.
type Effects struct {
	mu    sync.Mutex
	byKey map[string]int
}

// NewEffects returns a count without effects.
func NewEffects() *Effects { return &Effects{byKey: map[string]int{}} }

// Of returns the effects of a key.
func (e *Effects) Of(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byKey[key]
}

func (e *Effects) add(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.byKey[key]++
	return e.byKey[key]
}

// Plain is a plain service.
type Plain struct {
	effects *Effects

	mu     sync.Mutex
	faults PlainFaults
}

// NewPlain returns a service that works.
func NewPlain(e *Effects) *Plain { return &Plain{effects: e} }

// Fault sets the faults.
func (p *Plain) Fault(f PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

type effect struct {
	Done  bool   `json:"done"`
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// Route adds the service's paths to an app.
func (p *Plain) Route(app *fiber.App) {
	app.Get("/effects", func(c fiber.Ctx) error {
		p.effects.mu.Lock()
		defer p.effects.mu.Unlock()
		return c.JSON(p.effects.byKey)
	})
	app.Post("/fault/plain", func(c fiber.Ctx) error {
		var f PlainFaults
		if err := json.Unmarshal(c.Body(), &f); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		p.Fault(f)
		return nil
	})
	app.All("/*", p.serve)
}

func (p *Plain) serve(c fiber.Ctx) error {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	key := strings.Clone(c.Get("Idempotency-Key"))
	if c.Method() == fiber.MethodGet {
		return c.JSON(effect{Key: key, Count: p.effects.Of(key)})
	}
	n := p.effects.add(key)
	if f.Lose {
		return hangUp(c)
	}
	return c.JSON(effect{Done: true, Key: key, Count: n})
}
