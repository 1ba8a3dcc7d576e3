// Package kcrsettings reads the settings of a deployment: one document in JSON
// with comments that all its processes share. A process finds itself by the
// name of its VM.
package kcrsettings

import (
	"os"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrjson"
)

// Kind says what a service's upstreams are.
type Kind string

// The kinds of upstream.
const (
	Engine Kind = "engine"
	Plain  Kind = "plain"
)

// Service is a group of upstreams. Reserve bounds the tokens of an answer whose
// request names no limit. Slots is the number of requests that an upstream is tried
// with at once before its limit adapts.
type Service struct {
	Name    kcrid.Service
	Kind    Kind
	Models  []kcrid.Model
	Reserve kcrid.Tokens
	Slots   int
}

// Router is an entry VM.
type Router struct {
	VM     kcrid.VM
	Zone   kcrid.Zone
	Listen string
	Admin  string
}

// Upstream is a VM with an upstream and its sidecar.
type Upstream struct {
	VM       kcrid.VM
	Zone     kcrid.Zone
	Service  kcrid.Service
	Listen   string
	Admin    string
	Upstream string
}

// Settings are the settings of a deployment. Snap must be well below the time
// for which the log keeps records.
type Settings struct {
	Region    kcrid.Region
	Zones     []kcrid.Zone
	Log       string
	VMs       string
	Buckets   uint32
	Snap      kcrclock.Duration // between snapshots of a stream
	Route     string
	Escrow    string
	Services  []Service
	Routers   []Router
	Upstreams []Upstream
}

// Limits of the settings.
const (
	maxBuckets = 4096
	maxReserve = 1 << 20
	maxSlots   = 1 << 16
	maxSnap    = 7 * 24 * 3600 // seconds
)

// Load reads and checks a settings file.
func Load(path string) (s *Settings, err error) {
	defer kcrerror.Annotate(&err, "settings")
	src, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, src)
}

// Parse reads and checks settings. The name stands in errors.
func Parse(name string, src []byte) (s *Settings, err error) {
	root, err := kcrjson.Parse(name, src)
	if err != nil {
		return nil, err
	}
	s = &Settings{Route: "cost", Escrow: "demand", Snap: kcrclock.Hour}
	r := reader{s: s, vms: map[kcrid.VM]bool{}, addrs: map[string]bool{}}
	err = root.Object(kcrjson.Fields{
		"region":    func(n kcrjson.Node) error { return kcrjson.Text(n, &s.Region) },
		"zones":     func(n kcrjson.Node) error { return kcrjson.Texts(n, &s.Zones) },
		"log":       func(n kcrjson.Node) error { return kcrjson.Address(n, &s.Log) },
		"vms":       func(n kcrjson.Node) error { return kcrjson.Address(n, &s.VMs) },
		"buckets":   func(n kcrjson.Node) error { return kcrjson.Int(n, &s.Buckets, 1, maxBuckets) },
		"snap":      func(n kcrjson.Node) error { return seconds(n, &s.Snap) },
		"route":     func(n kcrjson.Node) error { return kcrjson.Text(n, &s.Route) },
		"escrow":    func(n kcrjson.Node) error { return kcrjson.Text(n, &s.Escrow) },
		"services":  func(n kcrjson.Node) error { return n.Array(r.service) },
		"routers":   func(n kcrjson.Node) error { return n.Array(r.router) },
		"upstreams": func(n kcrjson.Node) error { return n.Array(r.upstream) },
	}, "region", "zones", "log", "vms", "buckets", "services", "routers", "upstreams")
	if err != nil {
		return nil, err
	}
	return s, nil
}

// reader checks the parts of the settings against each other. Zones and
// services stand before the processes that name them.
type reader struct {
	s     *Settings
	vms   map[kcrid.VM]bool
	addrs map[string]bool
}

// seconds reads a length of time.
func seconds(n kcrjson.Node, to *kcrclock.Duration) error {
	var v int64
	if err := kcrjson.Int(n, &v, 1, maxSnap); err != nil {
		return err
	}
	*to = kcrclock.Duration(v) * kcrclock.Second
	return nil
}

func (r *reader) own(n kcrjson.Node, to *string) error {
	if err := kcrjson.Address(n, to); err != nil {
		return err
	}
	if r.addrs[*to] {
		return n.Fault("an address of its own", *to)
	}
	r.addrs[*to] = true
	return nil
}

func (r *reader) vm(n kcrjson.Node, to *kcrid.VM) error {
	if err := kcrjson.Text(n, to); err != nil {
		return err
	}
	if r.vms[*to] {
		return n.Fault("each VM once", "a second "+string(*to))
	}
	r.vms[*to] = true
	return nil
}

func (r *reader) zone(n kcrjson.Node, to *kcrid.Zone) error {
	if err := kcrjson.Text(n, to); err != nil {
		return err
	}
	for _, z := range r.s.Zones {
		if z == *to {
			return nil
		}
	}
	return n.Fault("one of the zones listed before", string(*to))
}

func (r *reader) named(n kcrjson.Node, to *kcrid.Service) error {
	if err := kcrjson.Text(n, to); err != nil {
		return err
	}
	for _, s := range r.s.Services {
		if s.Name == *to {
			return nil
		}
	}
	return n.Fault("one of the services listed before", string(*to))
}

func kind(n kcrjson.Node, to *Kind) error {
	if err := kcrjson.Text(n, to); err != nil {
		return err
	}
	if *to != Engine && *to != Plain {
		return n.Fault(`"engine" or "plain"`, string(*to))
	}
	return nil
}

func (r *reader) service(_ int, n kcrjson.Node) error {
	s := Service{Reserve: 1024, Slots: 16}
	err := n.Object(kcrjson.Fields{
		"name":    func(n kcrjson.Node) error { return kcrjson.Text(n, &s.Name) },
		"kind":    func(n kcrjson.Node) error { return kind(n, &s.Kind) },
		"models":  func(n kcrjson.Node) error { return kcrjson.Texts(n, &s.Models) },
		"reserve": func(n kcrjson.Node) error { return kcrjson.Int(n, &s.Reserve, 1, maxReserve) },
		"slots":   func(n kcrjson.Node) error { return kcrjson.Int(n, &s.Slots, 1, maxSlots) },
	}, "name", "kind")
	if err != nil {
		return err
	}
	r.s.Services = append(r.s.Services, s)
	return nil
}

func (r *reader) router(_ int, n kcrjson.Node) error {
	var e Router
	err := n.Object(kcrjson.Fields{
		"vm":     func(n kcrjson.Node) error { return r.vm(n, &e.VM) },
		"zone":   func(n kcrjson.Node) error { return r.zone(n, &e.Zone) },
		"listen": func(n kcrjson.Node) error { return r.own(n, &e.Listen) },
		"admin":  func(n kcrjson.Node) error { return r.own(n, &e.Admin) },
	}, "vm", "zone", "listen", "admin")
	if err != nil {
		return err
	}
	r.s.Routers = append(r.s.Routers, e)
	return nil
}

func (r *reader) upstream(_ int, n kcrjson.Node) error {
	var e Upstream
	err := n.Object(kcrjson.Fields{
		"vm":       func(n kcrjson.Node) error { return r.vm(n, &e.VM) },
		"zone":     func(n kcrjson.Node) error { return r.zone(n, &e.Zone) },
		"service":  func(n kcrjson.Node) error { return r.named(n, &e.Service) },
		"listen":   func(n kcrjson.Node) error { return r.own(n, &e.Listen) },
		"admin":    func(n kcrjson.Node) error { return r.own(n, &e.Admin) },
		"upstream": func(n kcrjson.Node) error { return r.own(n, &e.Upstream) },
	}, "vm", "zone", "service", "listen", "admin", "upstream")
	if err != nil {
		return err
	}
	r.s.Upstreams = append(r.s.Upstreams, e)
	return nil
}

// Router returns the entry of a router's VM.
func (s *Settings) Router(vm kcrid.VM) (Router, bool) {
	for _, r := range s.Routers {
		if r.VM == vm {
			return r, true
		}
	}
	return Router{}, false
}

// Upstream returns the entry of an upstream's VM.
func (s *Settings) Upstream(vm kcrid.VM) (Upstream, bool) {
	for _, u := range s.Upstreams {
		if u.VM == vm {
			return u, true
		}
	}
	return Upstream{}, false
}

// Service returns a service by name.
func (s *Settings) Service(name kcrid.Service) (Service, bool) {
	for _, sv := range s.Services {
		if sv.Name == name {
			return sv, true
		}
	}
	return Service{}, false
}

// ServiceOf returns the service that serves a model.
func (s *Settings) ServiceOf(m kcrid.Model) (Service, bool) {
	for _, sv := range s.Services {
		for _, has := range sv.Models {
			if has == m {
				return sv, true
			}
		}
	}
	return Service{}, false
}
