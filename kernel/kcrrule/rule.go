// Package kcrrule defines the configuration that routes requests: which service
// handles a host and path, which teams may call it, and within which limits.
package kcrrule

import (
	"strings"
	"sync/atomic"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the rules and ActiveRules, which holds the version in force.
// Invariants: rules don't change after New, except that Source is set before they
// are applied; the version in force never goes back to an older version.

// RouteKind says whether a request of a route may run more than once.
type RouteKind int

// Kinds of route. An unknown kind in the configuration is treated as AtMostOnce.
const (
	AtMostOnce RouteKind = iota // runs at most once
	Idempotent                  // may run again
	Stream                      // responds with a stream of events; runs again only if the route is resumable
)

// kindNames are the logged names of the kinds.
var kindNames = [...]string{"once", "idempotent", "stream"}

// String returns the name of the kind, as it is logged.
func (k RouteKind) String() string { return kindNames[k] }

// TrafficShare assigns a fraction of the traffic of a route to a service: its weight
// divided by the sum of the weights of the route.
type TrafficShare struct {
	Service kcrid.Service
	Weight  int
}

// Route sends the requests of a host whose path begins with Prefix to services.
type Route struct {
	Name           string
	Host           string
	Prefix         string // of the path
	Kind           RouteKind
	TrafficShares  []TrafficShare
	Timeout        kcrclock.Duration // for the whole request, 0 for none
	LatencyTarget  kcrclock.Duration // target latency to the response or its first event
	EventGapTarget kcrclock.Duration // target for the time between events
	Priority       int               // requests of a lower value start first
	MaxRuns        int               // most runs of a request that may run again
	Anonymous      bool              // needs no API key
	Resumable      bool              // a stream that broke can continue at another upstream
}

// Rerunnable reports whether a request of the route may run more than once.
func (r *Route) Rerunnable() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Service describes a group of upstreams. KVCapacity and MaxEventTokens are 0 if its
// requests have no tokens.
type Service struct {
	Name           kcrid.Service
	Slots          int          // requests that an upstream runs at once
	KVCapacity     kcrid.Tokens // capacity of an engine's KV cache
	MaxEventTokens kcrid.Tokens // most tokens in one event of a stream

	ColdStart     kcrclock.Duration // how long an upstream is cold after it has started
	ColdPerSecond float64           // requests per second that a cold upstream bears, 0 if that has no limit
}

// Team is a customer.
type Team struct {
	Name     kcrid.Team
	Keys     []string     // API keys
	Priority int          // replaces the priority of the route, -1 if it doesn't
	Prepaid  kcrid.Tokens // budget of the team, -1 for no limit
}

// Limits restrict the size and the duration of what a caller sends.
type Limits struct {
	MaxHeaderBytes int               // bytes
	MaxBodyBytes   int               // bytes
	HeaderTimeout  kcrclock.Duration // until the header is complete
	IdleTimeout    kcrclock.Duration // without a request on a connection
}

// Rules are one version of the configuration.
type Rules struct {
	Version       uint64
	Source        []byte // the encoded configuration, for sending it to other processes
	Limits        Limits
	Services      map[kcrid.Service]*Service
	Teams         []Team
	routes        map[string]map[string]*Route // by host in lower case, then by path prefix
	teamByKey     map[string]*Team
	teamByName    map[kcrid.Team]*Team
	longestPrefix int     // bytes
	meanPrepaid   float64 // tokens, of the teams that have prepaid some
}

// Draft is a version of the configuration as its author wrote it: in order, and with the entries
// that have no effect.
type Draft struct {
	Version  uint64
	Limits   Limits
	Services []Service
	Teams    []Team
	Routes   []Route
	// UnknownKinds are the kinds of routes that the decoder does not know, by the index of the
	// route. Requests of such a route run at most once.
	UnknownKinds map[int]string
}

// Rules builds the rules of the draft.
func (d Draft) Rules() *Rules { return New(d.Version, d.Limits, d.Services, d.Teams, d.Routes) }

// New builds rules. Of two routes with the same host and prefix, the first is
// used.
func New(version uint64, limits Limits, services []Service, teams []Team, routes []Route) *Rules {
	r := &Rules{
		Version: version, Limits: limits, Teams: teams,
		Services:   make(map[kcrid.Service]*Service, len(services)),
		routes:     map[string]map[string]*Route{},
		teamByKey:  map[string]*Team{},
		teamByName: make(map[kcrid.Team]*Team, len(teams)),
	}
	for i := range services {
		r.Services[services[i].Name] = &services[i]
	}
	for i := range teams {
		r.teamByName[teams[i].Name] = &teams[i]
		for _, key := range teams[i].Keys {
			r.teamByKey[key] = &teams[i]
		}
	}
	r.meanPrepaid = meanPrepaid(teams)
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		if r.routes[host] == nil {
			r.routes[host] = map[string]*Route{}
		}
		if r.routes[host][routes[i].Prefix] == nil {
			r.routes[host][routes[i].Prefix] = &routes[i]
		}
		r.longestPrefix = max(r.longestPrefix, len(routes[i].Prefix))
	}
	return r
}

// meanPrepaid returns the mean of what teams have prepaid, without those that have no limit or
// nothing, 0 if there are no others.
func meanPrepaid(teams []Team) float64 {
	sum, count := 0.0, 0.0
	for i := range teams {
		if teams[i].Prepaid > 0 {
			sum += float64(teams[i].Prepaid)
			count++
		}
	}
	return sum / max(1, count)
}

// TeamShare returns the weight of a team among others: what it has prepaid, by the mean of all. A
// team that has prepaid nothing or has no limit, and nil for anonymous requests, have the weight 1.
func (r *Rules) TeamShare(t *Team) float64 {
	if t == nil || t.Prepaid <= 0 {
		return 1
	}
	return float64(t.Prepaid) / r.meanPrepaid
}

// Match returns the route of the host with the longest prefix of the path, nil if
// there is none. Only prefixes that end in a slash can match. The port of the
// host and the query of the path are ignored.
func (r *Rules) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	routes, ok := r.routes[host]
	if !ok {
		routes = r.routes[strings.ToLower(host)]
	}
	if i := strings.IndexByte(path, '?'); i >= 0 {
		path = path[:i]
	}
	path = path[:min(len(path), r.longestPrefix)]
	for len(routes) > 0 && path != "" {
		end := strings.LastIndexByte(path, '/') + 1
		if route := routes[path[:end]]; route != nil {
			return route
		}
		path = path[:max(0, end-1)]
	}
	return nil
}

// HasEngines reports whether the upstreams of a service are model engines.
func (r *Rules) HasEngines(name kcrid.Service) bool { return r.KVCapacity(name) > 0 }

// KVCapacity returns the memory of an engine of a service, 0 if its requests have no tokens.
func (r *Rules) KVCapacity(name kcrid.Service) kcrid.Tokens {
	if s := r.Services[name]; s != nil {
		return s.KVCapacity
	}
	return 0
}

// TeamByKey returns the team that owns an API key, nil if there is none.
func (r *Rules) TeamByKey(key string) *Team { return r.teamByKey[key] }

// TeamByName returns the team of a name, nil if there is none.
func (r *Rules) TeamByName(name kcrid.Team) *Team { return r.teamByName[name] }

// PickService returns the service for a request. The hash spreads requests over the
// shares in proportion to their weights. It returns "" if there are no weights.
func (r *Route) PickService(hash uint64) kcrid.Service {
	total := 0
	for _, s := range r.TrafficShares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	position := int(hash % uint64(total))
	for _, s := range r.TrafficShares {
		if position < s.Weight {
			return s.Service
		}
		position -= s.Weight
	}
	return ""
}

// ActiveRules holds the rules in force. It is safe for concurrent use.
type ActiveRules struct {
	newer   func(current, version uint64) bool // whether a version replaces the current one
	current atomic.Pointer[Rules]
}

// Newer is the comparison used in production: only a higher version replaces the
// one in force. Tests replace it to check that it is needed.
func Newer(current, version uint64) bool { return version > current }

// NewActiveRules returns an ActiveRules without rules. Newer decides whether a version
// replaces the current one.
func NewActiveRules(newer func(current, version uint64) bool) *ActiveRules {
	return &ActiveRules{newer: newer}
}

// Rules returns the rules in force, nil before the first call of Apply.
func (s *ActiveRules) Rules() *Rules { return s.current.Load() }

// Apply puts rules in force if their version replaces the current one, and reports
// whether it did.
func (s *ActiveRules) Apply(r *Rules) bool {
	for {
		current := s.current.Load()
		if current != nil && !s.newer(current.Version, r.Version) {
			return false
		}
		if s.current.CompareAndSwap(current, r) {
			return true
		}
	}
}
