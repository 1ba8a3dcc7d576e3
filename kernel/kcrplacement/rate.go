package kcrplacement

import (
	"slices"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the rate limits of upstreams: those that they name in their responses, and
// the one that a cold upstream has. A limit is for all routers together. A named one holds until
// a later response of the upstream names another or none.
// Invariants: a request that was withheld changes none of the statistics; an upstream with a
// limit is nobody's preferred one, so that the prompts that would go there find another; a cold one stays preferred.

// RateLimit is the number of requests per second that an upstream takes.
type RateLimit struct {
	Named     bool    // false if there is no limit
	PerSecond float64 // not negative
	Cold      bool    // the upstream is cold: no router may pass the limit, also if it is cut off
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
	c.record()
}

// Withheld reports that the request was not sent, since the limit of the upstream leaves no
// room for it before a time. The upstream is not chosen before then. It takes the place of
// Finish.
func (c *Choice) Withheld(until kcrclock.Time) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.endTrial(until, false)
	c.state.inflight--
	c.state.memory.running -= c.held
	c.answered(c.started)
	c.releaseBacklog()
	c.state.withheldUntil = max(c.state.withheldUntil, until)
}

// roomAt returns when the limit of the upstream leaves room, as far as this router has heard. That
// of a cold upstream ends with it.
func (u *upstream) roomAt() kcrclock.Time {
	switch {
	case u.rateLimit.Named:
		return u.withheldUntil
	case u.isLimitedWhileCold():
		return min(u.withheldUntil, u.coldUntil)
	}
	return 0
}

// HasLimited reports whether an upstream of a service has a rate limit.
func (t *Table) HasLimited(now kcrclock.Time, name kcrid.Service) bool {
	s := t.getOrCreateService(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.limit(now).Named })
}
