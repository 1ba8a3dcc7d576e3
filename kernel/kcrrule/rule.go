// Package kcrrule holds the configuration that routes requests: which service
// a host and a path lead to, who may call, and within which limits.
//
// Rules are immutable. State holds the ones in force and never goes back to an
// older version.
package kcrrule

import (
	"strings"
	"sync/atomic"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// Kind says what may be repeated.
type Kind int

// The kinds of route. A kind that is not known is taken as Once.
const (
	Once       Kind = iota // at most one run
	Idempotent             // may run again
	Stream                 // events; runs again only where it may be resumed
)

// kindNames are the names of the kinds in logs.
var kindNames = [...]string{"once", "idempotent", "stream"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Share is a service's part of the traffic of a route.
type Share struct {
	Service kcrid.Service
	Weight  int
}

// Route leads the requests of a host whose path begins with Prefix to services.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Kind      Kind
	Shares    []Share
	Timeout   kcrclock.Duration // 0 for none
	Aim       kcrclock.Duration // to the answer or the first event
	Pause     kcrclock.Duration // between events that are in time
	Rank      int               // 0 goes first
	Attempts  int
	Anonymous bool
	Resumable bool
}

// Repeats tells whether a request of the route may run more than once.
func (r *Route) Repeats() bool { return r.Kind == Idempotent || r.Kind == Stream && r.Resumable }

// Service is what is known of a group of upstreams. KV is the memory of an
// engine in tokens, Stride the most tokens of an event; both are 0 where
// requests have no tokens.
type Service struct {
	Name   kcrid.Service
	Slots  int
	KV     kcrid.Tokens
	Stride kcrid.Tokens
}

// Team is a customer. Rank is -1 where that of the route counts, Prepaid is -1
// where there is no limit.
type Team struct {
	Name    kcrid.Team
	Keys    []string
	Rank    int
	Prepaid kcrid.Tokens
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	Header     int // bytes
	Body       int // bytes
	HeaderTime kcrclock.Duration
	IdleTime   kcrclock.Duration
}

// Rules are one version of the configuration.
type Rules struct {
	Version  uint64
	Source   []byte // what the rules were read from, for other processes
	Limits   Limits
	Services map[kcrid.Service]*Service
	Teams    []Team
	routes   map[string]map[string]*Route // by host, by prefix
	keys     map[string]*Team
	names    map[kcrid.Team]*Team
	longest  int
}

// New returns rules made of their parts. Of two routes with the same host and
// prefix the first counts.
func New(version uint64, limits Limits, services []Service, teams []Team, routes []Route) *Rules {
	r := &Rules{
		Version: version, Limits: limits, Teams: teams,
		Services: make(map[kcrid.Service]*Service, len(services)),
		routes:   map[string]map[string]*Route{},
		keys:     map[string]*Team{},
		names:    make(map[kcrid.Team]*Team, len(teams)),
	}
	for i := range services {
		r.Services[services[i].Name] = &services[i]
	}
	for i := range teams {
		r.names[teams[i].Name] = &teams[i]
		for _, key := range teams[i].Keys {
			r.keys[key] = &teams[i]
		}
	}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		if r.routes[host] == nil {
			r.routes[host] = map[string]*Route{}
		}
		if r.routes[host][routes[i].Prefix] == nil {
			r.routes[host][routes[i].Prefix] = &routes[i]
		}
		r.longest = max(r.longest, len(routes[i].Prefix))
	}
	return r
}

// Match returns the route of a host with the longest prefix that begins the
// path, nil if there is none. A port behind the host does not count.
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
	path = path[:min(len(path), r.longest)]
	for len(routes) > 0 && path != "" {
		end := strings.LastIndexByte(path, '/') + 1
		if route := routes[path[:end]]; route != nil {
			return route
		}
		path = path[:max(0, end-1)]
	}
	return nil
}

// Engines tells whether the upstreams of a service are model engines.
func (r *Rules) Engines(name kcrid.Service) bool {
	s := r.Services[name]
	return s != nil && s.KV > 0
}

// Team returns the team that holds a key, nil if there is none.
func (r *Rules) Team(key string) *Team { return r.keys[key] }

// TeamNamed returns a team by its name, nil if there is none.
func (r *Rules) TeamNamed(name kcrid.Team) *Team { return r.names[name] }

// Pick returns the service that takes a request; point spreads requests over
// the shares.
func (r *Route) Pick(point uint64) kcrid.Service {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	left := int(point % uint64(total))
	for _, s := range r.Shares {
		if left < s.Weight {
			return s.Service
		}
		left -= s.Weight
	}
	return ""
}

// State holds the rules in force. It is safe for concurrent use.
type State struct {
	newer   func(current, version uint64) bool
	current atomic.Pointer[Rules]
}

// Newer is the rule that holds in production: only a higher version replaces
// the one in force.
func Newer(current, version uint64) bool { return version > current }

// NewState returns a state without rules.
func NewState(newer func(current, version uint64) bool) *State { return &State{newer: newer} }

// Rules returns the rules in force, nil before the first.
func (s *State) Rules() *Rules { return s.current.Load() }

// Apply puts rules in force if they are newer, and tells whether they are.
func (s *State) Apply(r *Rules) bool {
	for {
		old := s.current.Load()
		if old != nil && !s.newer(old.Version, r.Version) {
			return false
		}
		if s.current.CompareAndSwap(old, r) {
			return true
		}
	}
}
