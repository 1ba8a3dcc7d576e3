package kcrplacement

import (
	"slices"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the rate limits that upstreams name in their responses. A limit is for all
// routers together, and holds until a later response of the upstream names another or none.
// Invariants: a request that was withheld changes none of the statistics; an upstream with a
// limit is nobody's preferred one, so that the prompts that would go there find another.

// RateLimit is the number of requests per second that an upstream takes.
type RateLimit struct {
	Named     bool    // false if there is no limit
	PerSecond float64 // not negative
}

// RateLimitNamed records the limit that a response of the upstream names, and reports whether
// it has changed. A limit of an earlier start of the upstream is ignored.
func (c *Choice) RateLimitNamed(limit RateLimit) (changed bool) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	changed = c.state.rateLimit != limit
	c.state.rateLimit = limit
	return changed
}

// Permitted reports that the request may be sent to an upstream with a limit.
func (c *Choice) Permitted() {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.state.recordCached(c.promptParts)
}

// Withheld reports that the request was not sent, since the limit of the upstream leaves no
// room for it before a time. The upstream is not chosen before then. It takes the place of
// Finish.
func (c *Choice) Withheld(until kcrclock.Time) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.endTrial(until, false)
	c.recordEnded()
	c.state.backlog -= c.pending
	c.pending = 0
	c.state.withheldUntil = max(c.state.withheldUntil, until)
}

// isWithheld reports whether the limit of the upstream leaves no room at a time.
func (u *upstream) isWithheld(now kcrclock.Time) bool {
	return u.rateLimit.Named && now < u.withheldUntil
}

// HasLimited reports whether an upstream of a service has a rate limit.
func (t *Table) HasLimited(name kcrid.Service) bool {
	s := t.getOrCreateService(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.rateLimit.Named })
}
