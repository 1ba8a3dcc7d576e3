// Package kcrregistry defines the registry of routing and escrow policies. Settings
// choose policies by name.
//
// A plug-in is a function that adds its policies to a Registry. The program passes
// its plug-ins to New. There is no global registry.
package kcrregistry

import (
	"fmt"
	"sort"
	"strings"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrroute"
)

// Registry holds the policies by name. It must not be changed after the plug-ins
// have added their policies.
type Registry struct {
	routePolicies  map[string]kcrroute.Policy
	escrowPolicies map[string]kcrbudget.Policy
}

// Plugin adds its policies to a registry.
type Plugin func(*Registry)

// New returns a registry with the policies of these plug-ins.
func New(plugins ...Plugin) *Registry {
	r := &Registry{routePolicies: map[string]kcrroute.Policy{}, escrowPolicies: map[string]kcrbudget.Policy{}}
	for _, plugin := range plugins {
		plugin(r)
	}
	return r
}

// Builtin is the plug-in that adds the policies of this module.
func Builtin(r *Registry) {
	r.AddRoutePolicy("cost", kcrroute.LeastCost)
	r.AddRoutePolicy("turn", kcrroute.RoundRobin())
	r.AddRoutePolicy("report", kcrroute.LeastReported)
	r.AddRoutePolicy("two", kcrroute.TwoChoices)
	r.AddEscrowPolicy("demand", kcrbudget.DemandPolicy(kcrbudget.DefaultDemandHorizon))
}

// AddRoutePolicy adds a routing policy. It panics if a routing policy has that name
// already.
func (r *Registry) AddRoutePolicy(name string, p kcrroute.Policy) {
	if _, ok := r.routePolicies[name]; ok {
		panic("kcrregistry: duplicate routing policy " + name)
	}
	r.routePolicies[name] = p
}

// AddEscrowPolicy adds an escrow policy. It panics if an escrow policy has that name
// already.
func (r *Registry) AddEscrowPolicy(name string, p kcrbudget.Policy) {
	if _, ok := r.escrowPolicies[name]; ok {
		panic("kcrregistry: duplicate escrow policy " + name)
	}
	r.escrowPolicies[name] = p
}

// RoutePolicy returns the routing policy of a name.
func (r *Registry) RoutePolicy(name string) (kcrroute.Policy, error) {
	p, ok := r.routePolicies[name]
	if !ok {
		return nil, unknownPolicyError("routing policy", name, r.routePolicies)
	}
	return p, nil
}

// EscrowPolicy returns the escrow policy of a name.
func (r *Registry) EscrowPolicy(name string) (p kcrbudget.Policy, err error) {
	p, ok := r.escrowPolicies[name]
	if !ok {
		return p, unknownPolicyError("escrow policy", name, r.escrowPolicies)
	}
	return p, nil
}

// unknownPolicyError returns an error that lists the known policies.
func unknownPolicyError[T any](kind, name string, policies map[string]T) error {
	names := make([]string, 0, len(policies))
	for n := range policies {
		names = append(names, n)
	}
	sort.Strings(names)
	return fmt.Errorf("%s: expected one of %s, got %q", kind, strings.Join(names, ", "), name)
}
