// Package kcrcheck checks a configuration before it is sent: entries that are wrong or can never
// have an effect, limits that contradict each other, and what differs from another version. It
// knows the rules of package kcrrule and no format.
package kcrcheck

import (
	"fmt"
	"strings"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrrule"
)

// This file defines the findings about one configuration. Invariant: a configuration with an
// error rejects requests, or sends them elsewhere, as no author intends; a warning tells of one
// that works, but hardly as it reads.

// Severity says how grave a finding is.
type Severity int

// Severities.
const (
	Warning Severity = iota
	Error
)

// String returns the name of the severity, as it is printed.
func (s Severity) String() string {
	if s == Error {
		return "error"
	}
	return "warning"
}

// Kind is a kind of entry of a configuration.
type Kind int

// Kinds of entries. Limits is a single entry.
const (
	Limits Kind = iota
	Service
	Team
	Route
	Version // the number of the configuration itself
)

// Place is an entry of a configuration, or one of its fields.
type Place struct {
	Kind  Kind
	Index int    // of the entry in its list
	Field string // name of the field in package kcrrule, "" for the whole entry
}

// Finding is something that is wrong with an entry.
type Finding struct {
	Severity Severity
	Place    Place
	Text     string
}

// checker collects the findings about a draft.
type checker struct {
	draft      kcrrule.Draft
	deployment Deployment
	services   map[kcrid.Service]kcrrule.Service
	findings   []Finding
}

// Check returns the findings about a configuration for a deployment, by kind of entry and then in
// its order.
func Check(d kcrrule.Draft, deployment Deployment) []Finding {
	c := &checker{draft: d, deployment: deployment, services: map[kcrid.Service]kcrrule.Service{}}
	for _, s := range d.Services {
		c.services[s.Name] = s
	}
	c.checkLimits()
	c.checkServices()
	c.checkTeams()
	c.checkRoutes()
	return c.findings
}

// report adds a finding.
func (c *checker) report(s Severity, kind Kind, index int, field, format string, args ...any) {
	c.findings = append(c.findings, Finding{s, Place{kind, index, field}, fmt.Sprintf(format, args...)})
}

func (c *checker) checkLimits() {
	l := c.draft.Limits
	for _, limit := range []struct {
		field string
		value int64
	}{
		{"MaxHeaderBytes", int64(l.MaxHeaderBytes)},
		{"MaxBodyBytes", int64(l.MaxBodyBytes)},
		{"HeaderTimeout", int64(l.HeaderTimeout)},
		{"IdleTimeout", int64(l.IdleTimeout)},
	} {
		if limit.value <= 0 {
			c.report(Error, Limits, 0, limit.field, "expected a limit above 0, got %d: no request passes", limit.value)
		}
	}
	if l.HeaderTimeout > l.IdleTimeout && l.IdleTimeout > 0 {
		c.report(Warning, Limits, 0, "HeaderTimeout", "%d ms to send a header are longer than the %d ms that a connection may be idle", l.HeaderTimeout, l.IdleTimeout)
	}
}

func (c *checker) checkServices() {
	used, seen := c.usedServices(), map[kcrid.Service]bool{}
	for i, s := range c.draft.Services {
		switch {
		case seen[s.Name]:
			c.report(Error, Service, i, "Name", "a second service %q: only the last one counts", s.Name)
		case !used[s.Name]:
			c.report(Warning, Service, i, "", "no route sends requests to service %q", s.Name)
		}
		seen[s.Name] = true
		if s.KVCapacity > 0 && s.Slots <= 0 {
			c.report(Warning, Service, i, "Slots", "expected slots of an engine above 0, got %d", s.Slots)
		}
		c.checkRestart(i, &s)
		if s.MaxEventTokens > s.KVCapacity && s.KVCapacity > 0 {
			c.report(Warning, Service, i, "MaxEventTokens", "an event of %d tokens is larger than the memory of an engine, %d", s.MaxEventTokens, s.KVCapacity)
		}
	}
}

// usedServices returns the services to which some route sends requests.
func (c *checker) usedServices() map[kcrid.Service]bool {
	used := map[kcrid.Service]bool{}
	for _, r := range c.draft.Routes {
		for _, share := range r.TrafficShares {
			if share.Weight > 0 {
				used[share.Service] = true
			}
		}
	}
	return used
}

func (c *checker) checkTeams() {
	teams, owners := map[kcrid.Team]bool{}, map[string]kcrid.Team{}
	for i, t := range c.draft.Teams {
		if teams[t.Name] {
			c.report(Error, Team, i, "Name", "a second team %q: budget and rank of the last one count", t.Name)
		}
		teams[t.Name] = true
		if len(t.Keys) == 0 {
			c.report(Warning, Team, i, "Keys", "team %q has no key, so no request can be its own", t.Name)
		}
		for _, key := range t.Keys {
			owner, taken := owners[key]
			switch {
			case key == "":
				c.report(Error, Team, i, "Keys", "team %q: expected a key, got an empty one", t.Name)
			case taken && owner != t.Name:
				c.report(Error, Team, i, "Keys", "a key of team %q is one of team %q too: its requests count for the last of them", t.Name, owner)
			}
			owners[key] = t.Name
		}
		c.checkPrepaid(i, &t)
	}
}

// checkPrepaid checks what a team has prepaid against the largest request of a service.
func (c *checker) checkPrepaid(i int, t *kcrrule.Team) {
	if t.Prepaid == 0 {
		c.report(Warning, Team, i, "Prepaid", "team %q has prepaid nothing: each of its generations is rejected", t.Name)
		return
	}
	for _, s := range c.draft.Services {
		if t.Prepaid > 0 && t.Prepaid < s.KVCapacity {
			c.report(Warning, Team, i, "Prepaid", "team %q has prepaid %d tokens, less than the largest request of service %q, %d", t.Name, t.Prepaid, s.Name, s.KVCapacity)
		}
	}
}

func (c *checker) checkRoutes() {
	first := map[string]string{}
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		place := strings.ToLower(r.Host) + " " + r.Prefix
		if name, hidden := first[place]; hidden {
			c.report(Error, Route, i, "Prefix", "route %q never matches: route %q has the same host and prefix", r.Name, name)
		} else {
			first[place] = r.Name
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			c.report(Error, Route, i, "Prefix", "route %q never matches: expected a prefix that begins and ends with a slash, got %q", r.Name, r.Prefix)
		}
		if strings.ContainsAny(r.Prefix, "?# ") {
			c.report(Error, Route, i, "Prefix", "route %q never matches: expected a path, got %q", r.Name, r.Prefix)
		}
		if r.Host == "" || strings.Contains(r.Host, ":") {
			c.report(Error, Route, i, "Host", "route %q never matches: expected a host without a port, got %q", r.Name, r.Host)
		}
		c.checkShares(i, r)
		c.checkTimes(i, r)
		c.checkRuns(i, r)
	}
}

// checkShares checks the services of a route.
func (c *checker) checkShares(i int, r *kcrrule.Route) {
	total := 0
	for _, share := range r.TrafficShares {
		total += share.Weight
		switch _, known := c.services[share.Service]; {
		case !known && share.Weight > 0:
			c.report(Error, Route, i, "TrafficShares", "route %q sends requests to service %q, which is not listed", r.Name, share.Service)
		case share.Weight < 0:
			c.report(Error, Route, i, "TrafficShares", "route %q: expected a weight of 0 or more for service %q", r.Name, share.Service)
		case share.Weight == 0 && len(r.TrafficShares) > 1:
			c.report(Warning, Route, i, "TrafficShares", "route %q sends nothing to service %q, whose weight is 0", r.Name, share.Service)
		}
	}
	if total <= 0 {
		c.report(Error, Route, i, "TrafficShares", "route %q sends no request anywhere: its weights add up to 0", r.Name)
	}
}

// checkTimes checks the times of a route against each other.
func (c *checker) checkTimes(i int, r *kcrrule.Route) {
	switch {
	case r.Timeout <= 0:
		c.report(Warning, Route, i, "Timeout", "route %q sets no timeout: that of routers applies", r.Name)
	case r.LatencyTarget > r.Timeout:
		c.report(Warning, Route, i, "LatencyTarget", "route %q: the target latency of %d ms is longer than its timeout of %d ms", r.Name, r.LatencyTarget, r.Timeout)
	case r.EventGapTarget > r.Timeout:
		c.report(Warning, Route, i, "EventGapTarget", "route %q: the target of %d ms between events is longer than its timeout of %d ms", r.Name, r.EventGapTarget, r.Timeout)
	}
	if r.EventGapTarget > 0 && r.Kind != kcrrule.Stream {
		c.report(Warning, Route, i, "EventGapTarget", "route %q has no events: its target between them has no effect", r.Name)
	}
}

// checkRuns checks how often requests of a route may run.
func (c *checker) checkRuns(i int, r *kcrrule.Route) {
	if kind, unknown := c.draft.UnknownKinds[i]; unknown {
		c.report(Warning, Route, i, "Kind", "route %q: kind %q is not known: its requests run at most once", r.Name, kind)
	}
	c.checkUpstreams(i, r)
	switch {
	case r.MaxRuns > 1 && !r.Rerunnable():
		c.report(Warning, Route, i, "MaxRuns", "route %q allows %d runs of requests that may run once only", r.Name, r.MaxRuns)
	case r.Resumable && r.Kind != kcrrule.Stream:
		c.report(Warning, Route, i, "Resumable", "route %q has no stream that could be resumed", r.Name)
	case r.Resumable && r.MaxRuns < 2:
		c.report(Warning, Route, i, "Resumable", "route %q may resume streams, but allows one run", r.Name)
	}
}
