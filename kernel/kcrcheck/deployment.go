package kcrcheck

import (
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrrule"
)

// This file defines the findings that need more than the configuration: the settings of routers,
// and the upstreams that run. Invariant: what is not known of a deployment leads to no finding.

// Deployment is what is known beside a configuration. The zero value knows nothing.
type Deployment struct {
	Retries   *Retries                           // nil if they are not known
	Upstreams map[kcrid.Service]ServiceUpstreams // by service, nil if they are not known
}

// Retries are the attempts beyond the first that routers may make in all.
type Retries struct {
	Extra float64 // beyond a part of the requests
}

// ServiceUpstreams sums up the upstreams of a service.
type ServiceUpstreams struct {
	Count int // that take requests
	Slots int // requests that one of them runs at once; the most of any
}

// checkUpstreams checks the runs of a route's requests against the upstreams that there are.
func (c *checker) checkUpstreams(i int, r *kcrrule.Route) {
	if c.deployment.Upstreams == nil {
		return
	}
	for _, share := range r.TrafficShares {
		if share.Weight <= 0 {
			continue
		}
		switch count := c.deployment.Upstreams[share.Service].Count; {
		case count == 0:
			c.report(Warning, Route, i, "TrafficShares", "route %q sends requests to service %q, which has no upstream now", r.Name, share.Service)
		case r.MaxRuns > count:
			c.report(Warning, Route, i, "MaxRuns", "route %q allows %d runs of a request, but service %q has %d upstreams now", r.Name, r.MaxRuns, share.Service, count)
		}
	}
}

// checkRestart checks whether the requests that run at one upstream of a service as it restarts,
// and may run again, use up the attempts beyond the first.
func (c *checker) checkRestart(i int, s *kcrrule.Service) {
	slots := max(s.Slots, c.deployment.Upstreams[s.Name].Slots)
	if c.deployment.Retries == nil || !c.runsAgain(s.Name) || float64(slots) <= c.deployment.Retries.Extra {
		return
	}
	c.report(Warning, Service, i, "Slots", "service %q: an upstream runs %d requests at once, and its restart alone uses up the %g attempts beyond the first that the settings of routers allow",
		s.Name, slots, c.deployment.Retries.Extra)
}

// runsAgain reports whether requests of some route to a service may run again.
func (c *checker) runsAgain(service kcrid.Service) bool {
	for i := range c.draft.Routes {
		r := &c.draft.Routes[i]
		for _, share := range r.TrafficShares {
			if share.Service == service && share.Weight > 0 && r.MaxRuns > 1 && r.Rerunnable() {
				return true
			}
		}
	}
	return false
}
