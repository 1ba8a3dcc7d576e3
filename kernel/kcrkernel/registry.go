// Package kcrkernel is the registry through which plug-ins make their policies
// known; settings choose among them by name.
//
// A plug-in registers itself when its package is wired in, by calling Register
// on the Registry that the program builds. There is no global registry.
package kcrkernel

import (
	"fmt"
	"sort"
	"strings"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrroute"
)

// Registry holds the policies by name. It is filled before use and read-only
// afterwards.
type Registry struct {
	routes  map[string]kcrroute.Policy
	escrows map[string]kcrbudget.Policy
}

// Plugin adds its policies to a registry.
type Plugin func(*Registry)

// New returns a registry with the policies of the plug-ins.
func New(plugins ...Plugin) *Registry {
	r := &Registry{routes: map[string]kcrroute.Policy{}, escrows: map[string]kcrbudget.Policy{}}
	for _, p := range plugins {
		p(r)
	}
	return r
}

// Builtin registers the policies of this module.
func Builtin(r *Registry) {
	r.Route("cost", kcrroute.ByCost)
	r.Route("turn", kcrroute.RoundRobin())
	r.Route("report", kcrroute.LeastReported)
	r.Route("two", kcrroute.TwoChoices)
	r.Escrow("demand", kcrbudget.ByDemand(kcrbudget.DefaultHorizon))
}

// Route adds a routing policy. It panics if the name is taken.
func (r *Registry) Route(name string, p kcrroute.Policy) {
	if _, ok := r.routes[name]; ok {
		panic("kcrkernel: a second routing policy " + name)
	}
	r.routes[name] = p
}

// Escrow adds an escrow policy. It panics if the name is taken.
func (r *Registry) Escrow(name string, p kcrbudget.Policy) {
	if _, ok := r.escrows[name]; ok {
		panic("kcrkernel: a second escrow policy " + name)
	}
	r.escrows[name] = p
}

// RoutePolicy returns a routing policy by name.
func (r *Registry) RoutePolicy(name string) (kcrroute.Policy, error) {
	p, ok := r.routes[name]
	if !ok {
		return nil, unknown("routing policy", name, r.routes)
	}
	return p, nil
}

// EscrowPolicy returns an escrow policy by name.
func (r *Registry) EscrowPolicy(name string) (p kcrbudget.Policy, err error) {
	p, ok := r.escrows[name]
	if !ok {
		return p, unknown("escrow policy", name, r.escrows)
	}
	return p, nil
}

func unknown[T any](what, name string, has map[string]T) error {
	names := make([]string, 0, len(has))
	for n := range has {
		names = append(names, n)
	}
	sort.Strings(names)
	return fmt.Errorf("%s: expected one of %s, got %q", what, strings.Join(names, ", "), name)
}
