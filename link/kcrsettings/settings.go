// Package kcrsettings reads the settings of a deployment, a document in JSON with
// comments that all its processes share. A process finds its entry by the name of its
// VM.
package kcrsettings

import (
	"os"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrjson"
)

// This file defines the settings and their parsing. Invariants of parsed settings: each
// VM and each address of a process occurs once; each process names a zone, and each
// upstream a service, of the settings.

// Kind is the kind of the upstreams of a service.
type Kind string

// The kinds of upstreams.
const (
	KindEngine Kind = "engine" // LLM inference engine
	KindPlain  Kind = "plain"  // any other HTTP server
)

// Service is a group of upstreams that serve the same requests.
type Service struct {
	Name   kcrid.Service
	Kind   Kind
	Models []kcrid.Model
	// DefaultMaxTokens is the maximum number of tokens of a response whose request sets no
	// limit.
	DefaultMaxTokens kcrid.Tokens
	// InitialConcurrency is the initial limit of concurrent requests to an upstream,
	// from which the limit adapts.
	InitialConcurrency int
}

// Router is the entry of a router.
type Router struct {
	VM     kcrid.VM
	Zone   kcrid.Zone
	Listen string // address for the requests of clients
	Admin  string // address of the admin endpoint
}

// Upstream is the entry of an upstream and its sidecar, which run on the same VM.
type Upstream struct {
	VM       kcrid.VM
	Zone     kcrid.Zone
	Service  kcrid.Service
	Listen   string // address of the sidecar
	Admin    string // address of the sidecar's admin endpoint
	Upstream string // address of the upstream
}

// Settings holds the settings of a deployment.
type Settings struct {
	Region           kcrid.Region
	Zones            []kcrid.Zone
	LogAddr          string            // address of the log service
	VMListAddr       string            // address of the service that provides the VM list
	Buckets          uint32            // number of buckets that the plans are divided into
	SnapshotInterval kcrclock.Duration // time between two snapshots of a stream; well below the log's retention time
	RoutePolicy      string            // name of the routing policy
	EscrowPolicy     string            // name of the escrow policy
	Services         []Service
	Routers          []Router
	Upstreams        []Upstream
}

// Maximum values of the settings.
const (
	maxBuckets            = 4096
	maxDefaultMaxTokens   = 1 << 20
	maxInitialConcurrency = 1 << 16
	maxSnapshotInterval   = 7 * 24 * 3600 // seconds
)

// Load reads and parses a settings file.
func Load(path string) (s *Settings, err error) {
	defer kcrerror.Annotate(&err, "settings")
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, src)
}

// Parse parses and validates settings. Errors contain the name, which is that of the
// file.
func Parse(name string, src []byte) (s *Settings, err error) {
	root, err := kcrjson.Parse(name, src)
	if err != nil {
		return nil, err
	}
	s = &Settings{RoutePolicy: "cost", EscrowPolicy: "demand", SnapshotInterval: kcrclock.Hour}
	p := parser{settings: s, vms: map[kcrid.VM]bool{}, addrs: map[string]bool{}}
	err = root.Object(kcrjson.Fields{
		"region":    func(n kcrjson.Node) error { return kcrjson.String(n, &s.Region) },
		"zones":     func(n kcrjson.Node) error { return kcrjson.Strings(n, &s.Zones) },
		"log":       func(n kcrjson.Node) error { return kcrjson.Address(n, &s.LogAddr) },
		"vms":       func(n kcrjson.Node) error { return kcrjson.Address(n, &s.VMListAddr) },
		"buckets":   func(n kcrjson.Node) error { return kcrjson.Int(n, &s.Buckets, 1, maxBuckets) },
		"snap":      func(n kcrjson.Node) error { return parseSeconds(n, &s.SnapshotInterval) },
		"route":     func(n kcrjson.Node) error { return kcrjson.String(n, &s.RoutePolicy) },
		"escrow":    func(n kcrjson.Node) error { return kcrjson.String(n, &s.EscrowPolicy) },
		"services":  func(n kcrjson.Node) error { return n.Array(p.parseService) },
		"routers":   func(n kcrjson.Node) error { return n.Array(p.parseRouter) },
		"upstreams": func(n kcrjson.Node) error { return n.Array(p.parseUpstream) },
	}, "region", "zones", "log", "vms", "buckets", "services", "routers", "upstreams")
	if err != nil {
		return nil, err
	}
	return s, nil
}

// parser parses the entries of the settings and checks them against each other. The
// document must list its zones and services before the processes that name them.
type parser struct {
	settings *Settings
	vms      map[kcrid.VM]bool // VMs of the entries parsed so far
	addrs    map[string]bool   // addresses of the entries parsed so far
}

// parseSeconds parses a duration in whole seconds, at most maxSnapshotInterval.
func parseSeconds(n kcrjson.Node, duration *kcrclock.Duration) error {
	var seconds int64
	if err := kcrjson.Int(n, &seconds, 1, maxSnapshotInterval); err != nil {
		return err
	}
	*duration = kcrclock.Duration(seconds) * kcrclock.Second
	return nil
}

// parseUniqueAddress parses an address that no other entry has.
func (p *parser) parseUniqueAddress(n kcrjson.Node, addr *string) error {
	if err := kcrjson.Address(n, addr); err != nil {
		return err
	}
	if p.addrs[*addr] {
		return n.NewError("an address that no other process has", *addr)
	}
	p.addrs[*addr] = true
	return nil
}

// parseUniqueVM parses the name of a VM that no other entry has.
func (p *parser) parseUniqueVM(n kcrjson.Node, vm *kcrid.VM) error {
	if err := kcrjson.String(n, vm); err != nil {
		return err
	}
	if p.vms[*vm] {
		return n.NewError("each VM once", "a second "+string(*vm))
	}
	p.vms[*vm] = true
	return nil
}

// parseListedZone parses the name of a zone that the settings list.
func (p *parser) parseListedZone(n kcrjson.Node, zone *kcrid.Zone) error {
	if err := kcrjson.String(n, zone); err != nil {
		return err
	}
	for _, listed := range p.settings.Zones {
		if listed == *zone {
			return nil
		}
	}
	return n.NewError("one of the zones listed before", string(*zone))
}

// parseListedService parses the name of a service that the settings list.
func (p *parser) parseListedService(n kcrjson.Node, name *kcrid.Service) error {
	if err := kcrjson.String(n, name); err != nil {
		return err
	}
	for _, s := range p.settings.Services {
		if s.Name == *name {
			return nil
		}
	}
	return n.NewError("one of the services listed before", string(*name))
}

func parseKind(n kcrjson.Node, kind *Kind) error {
	if err := kcrjson.String(n, kind); err != nil {
		return err
	}
	if *kind != KindEngine && *kind != KindPlain {
		return n.NewError(`"engine" or "plain"`, string(*kind))
	}
	return nil
}

// parseService parses a service and adds it to the settings.
func (p *parser) parseService(_ int, n kcrjson.Node) error {
	s := Service{DefaultMaxTokens: 1024, InitialConcurrency: 16}
	err := n.Object(kcrjson.Fields{
		"name":    func(n kcrjson.Node) error { return kcrjson.String(n, &s.Name) },
		"kind":    func(n kcrjson.Node) error { return parseKind(n, &s.Kind) },
		"models":  func(n kcrjson.Node) error { return kcrjson.Strings(n, &s.Models) },
		"reserve": func(n kcrjson.Node) error { return kcrjson.Int(n, &s.DefaultMaxTokens, 1, maxDefaultMaxTokens) },
		"slots":   func(n kcrjson.Node) error { return kcrjson.Int(n, &s.InitialConcurrency, 1, maxInitialConcurrency) },
	}, "name", "kind")
	if err != nil {
		return err
	}
	p.settings.Services = append(p.settings.Services, s)
	return nil
}

// parseRouter parses the entry of a router and adds it to the settings.
func (p *parser) parseRouter(_ int, n kcrjson.Node) error {
	var router Router
	err := n.Object(kcrjson.Fields{
		"vm":     func(n kcrjson.Node) error { return p.parseUniqueVM(n, &router.VM) },
		"zone":   func(n kcrjson.Node) error { return p.parseListedZone(n, &router.Zone) },
		"listen": func(n kcrjson.Node) error { return p.parseUniqueAddress(n, &router.Listen) },
		"admin":  func(n kcrjson.Node) error { return p.parseUniqueAddress(n, &router.Admin) },
	}, "vm", "zone", "listen", "admin")
	if err != nil {
		return err
	}
	p.settings.Routers = append(p.settings.Routers, router)
	return nil
}

// parseUpstream parses the entry of an upstream and adds it to the settings.
func (p *parser) parseUpstream(_ int, n kcrjson.Node) error {
	var upstream Upstream
	err := n.Object(kcrjson.Fields{
		"vm":       func(n kcrjson.Node) error { return p.parseUniqueVM(n, &upstream.VM) },
		"zone":     func(n kcrjson.Node) error { return p.parseListedZone(n, &upstream.Zone) },
		"service":  func(n kcrjson.Node) error { return p.parseListedService(n, &upstream.Service) },
		"listen":   func(n kcrjson.Node) error { return p.parseUniqueAddress(n, &upstream.Listen) },
		"admin":    func(n kcrjson.Node) error { return p.parseUniqueAddress(n, &upstream.Admin) },
		"upstream": func(n kcrjson.Node) error { return p.parseUniqueAddress(n, &upstream.Upstream) },
	}, "vm", "zone", "service", "listen", "admin", "upstream")
	if err != nil {
		return err
	}
	p.settings.Upstreams = append(p.settings.Upstreams, upstream)
	return nil
}

// Router returns the entry of the router on a VM, and whether there is one.
func (s *Settings) Router(vm kcrid.VM) (Router, bool) {
	for _, r := range s.Routers {
		if r.VM == vm {
			return r, true
		}
	}
	return Router{}, false
}

// Upstream returns the entry of the upstream on a VM, and whether there is one.
func (s *Settings) Upstream(vm kcrid.VM) (Upstream, bool) {
	for _, u := range s.Upstreams {
		if u.VM == vm {
			return u, true
		}
	}
	return Upstream{}, false
}

// Service returns the service with a name, and whether there is one.
func (s *Settings) Service(name kcrid.Service) (Service, bool) {
	for _, service := range s.Services {
		if service.Name == name {
			return service, true
		}
	}
	return Service{}, false
}

// ServiceOfModel returns the first service that serves a model, and whether there is one.
func (s *Settings) ServiceOfModel(model kcrid.Model) (Service, bool) {
	for _, service := range s.Services {
		for _, served := range service.Models {
			if served == model {
				return service, true
			}
		}
	}
	return Service{}, false
}
