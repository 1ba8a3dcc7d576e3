package kcrstandin

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"
)

// This file defines a service that is not a model engine. Each request other than GET has
// one effect. Effects are counted by idempotency key, so that a test can tell whether a
// request had its effect twice.

// PlainFaults sets the ways in which a plain service fails. The zero value is a service
// that works.
type PlainFaults struct {
	DelayMS      int  `json:"slow"` // delay of each request
	LoseResponse bool `json:"lose"` // the effect happens, but the response is lost
}

// EffectCounter counts effects by idempotency key. Several plain services may share it. It
// is safe for concurrent use.
type EffectCounter struct {
	mu     sync.Mutex
	counts map[string]int
}

// NewEffectCounter returns a counter without any effect.
func NewEffectCounter() *EffectCounter { return &EffectCounter{counts: map[string]int{}} }

// Count returns the number of effects of a key.
func (e *EffectCounter) Count(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts[key]
}

// add counts an effect of a key and returns the number of its effects so far.
func (e *EffectCounter) add(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts[key]++
	return e.counts[key]
}

// PlainService is a service that is not a model engine. It is safe for concurrent use.
type PlainService struct {
	effects *EffectCounter

	mu     sync.Mutex
	faults PlainFaults
}

// NewPlainService returns a service without faults that counts its effects in e.
func NewPlainService(e *EffectCounter) *PlainService { return &PlainService{effects: e} }

// SetFaults replaces the faults.
func (p *PlainService) SetFaults(faults PlainFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = faults
}

// effectResponse is the body of a response: the effects of a key so far, and whether this
// request added one.
type effectResponse struct {
	Done  bool   `json:"done"`
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// RegisterRoutes registers the HTTP handlers of the service, one that lists the effects, and
// one that sets its faults.
func (p *PlainService) RegisterRoutes(app *fiber.App) {
	app.Get("/effects", func(c fiber.Ctx) error {
		p.effects.mu.Lock()
		defer p.effects.mu.Unlock()
		return c.JSON(p.effects.counts)
	})
	app.Post("/fault/plain", func(c fiber.Ctx) error {
		var faults PlainFaults
		if err := json.Unmarshal(c.Body(), &faults); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		p.SetFaults(faults)
		return nil
	})
	app.All("/*", p.serve)
}

// serve responds to a request of a caller.
func (p *PlainService) serve(c fiber.Ctx) error {
	p.mu.Lock()
	faults := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	key := strings.Clone(c.Get("Idempotency-Key"))
	if c.Method() == fiber.MethodGet {
		return c.JSON(effectResponse{Key: key, Count: p.effects.Count(key)})
	}
	count := p.effects.add(key)
	if faults.LoseResponse {
		return closeConnection(c)
	}
	return c.JSON(effectResponse{Done: true, Key: key, Count: count})
}
