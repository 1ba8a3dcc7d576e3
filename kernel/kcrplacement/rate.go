package kcrplacement

// This file defines the rate limits that upstreams name in their responses. A limit is for all
// routers together, and holds until a later response of the upstream names another or none.

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
