// Package kcrrig runs a whole deployment in one process on loopback, with
// stand-ins for the platform and the upstreams, for tests and measurements.
package kcrrig

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrkernel"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/kingcuprun/kcroperate"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrplatform"
	"kingcuprun.example/link/kcrsettings"
	"kingcuprun.example/router/kcrrouter"
	"kingcuprun.example/sidecar/kcrsidecar"
	"kingcuprun.example/standin/kcrstandin"
)

// Names in a rig.
const (
	Model   = "assistant-llm"
	Service = "meetup-app"
	APIKey  = "team-key"
	Plan    = kcrid.Plan("plan")
	Team    = kcrid.Team("team")
)

// reserve is the most tokens of an answer whose request names no limit.
const reserve = 256

// Size says how much a rig has of each.
type Size struct {
	Routers int
	Engines int
	Plains  int
	Tokens  kcrid.Tokens // of the first top-up
	Lag     time.Duration
	Slots   int // of an upstream, 0 for 16
	Snap    kcrclock.Duration
	Rules   *kcrsidecar.Rules // nil for those of production
	Logger  *slog.Logger
}

// Rig is a running deployment.
type Rig struct {
	Settings *kcrsettings.Settings
	Log      *kcrstandin.Log
	VMs      *kcrstandin.VMs
	Engines  []*kcrstandin.Engine
	Plains   []*kcrstandin.Plain
	Effects  *kcrstandin.Effects
	Routers  []*kcrrouter.Router
	Sidecars []*kcrsidecar.Sidecar
	Operator *kcroperate.Operator

	apps   []*fiber.App
	pools  map[kcrid.VM]*kcrlink.Pool
	serial int
	size   Size
	items  map[kcrid.Plan]kcrlist.Item
}

// rigs counts the rigs of this process; each has a loopback address of its
// own, so that rigs which run side by side do not take each other's ports.
var rigs atomic.Uint32

// firstPort is below the range from which systems pick ports for clients.
const firstPort = 20000

// addresses hands out addresses of one rig.
type addresses struct {
	ip   netip.Addr
	port uint16
}

func newAddresses() *addresses {
	n := rigs.Add(1)
	return &addresses{ip: netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(n >> 7), byte(1 + n%128)}), port: firstPort}
}

func (a *addresses) next() string {
	a.port++
	return netip.AddrPortFrom(a.ip, a.port).String()
}

// settings describes a deployment of a size.
func settings(size Size) *kcrsettings.Settings {
	a := newAddresses()
	zones := []kcrid.Zone{"zone-a", "zone-b", "zone-c"}
	s := &kcrsettings.Settings{
		Region: "region", Zones: zones, Log: a.next(), VMs: a.next(), Buckets: 4, Snap: max(size.Snap, kcrclock.Second), Route: "cost", Escrow: "demand",
		Services: []kcrsettings.Service{
			{Name: Model, Kind: kcrsettings.Engine, Models: []kcrid.Model{Model}, Reserve: reserve, Slots: max(size.Slots, 16)},
			{Name: Service, Kind: kcrsettings.Plain, Slots: 16},
		},
	}
	for i := range size.Routers {
		s.Routers = append(s.Routers, kcrsettings.Router{
			VM: kcrid.VM(fmt.Sprintf("entry-%d", i+1)), Zone: zones[i%len(zones)], Listen: a.next(), Admin: a.next(),
		})
	}
	add := func(service kcrid.Service, n int) {
		for i := range n {
			s.Upstreams = append(s.Upstreams, kcrsettings.Upstream{
				VM: kcrid.VM(fmt.Sprintf("%s-%d", service, i+1)), Zone: zones[i%len(zones)], Service: service,
				Listen: a.next(), Admin: a.next(), Upstream: a.next(),
			})
		}
	}
	add(Model, size.Engines)
	add(Service, size.Plains)
	return s
}

// New starts a rig and publishes one plan that may use everything.
func New(size Size) (r *Rig, err error) {
	if size.Logger == nil {
		size.Logger = slog.New(slog.NewJSONHandler(io.Discard, nil))
	}
	s := settings(size)
	r = &Rig{
		Settings: s, Log: kcrstandin.NewLog(), VMs: kcrstandin.NewVMs(size.Lag, kcrdaemon.Listed(s)),
		Effects: kcrstandin.NewEffects(), pools: map[kcrid.VM]*kcrlink.Pool{}, size: size,
	}
	if err := r.startPlatform(); err != nil {
		return nil, err
	}
	for _, u := range s.Upstreams {
		if err := r.startUpstream(u); err != nil {
			return nil, err
		}
	}
	for i := range s.Upstreams {
		sc, err := r.StartSidecar(i)
		if err != nil {
			return nil, err
		}
		r.Sidecars = append(r.Sidecars, sc)
	}
	for i := range s.Routers {
		rt, err := r.StartRouter(i)
		if err != nil {
			return nil, err
		}
		r.Routers = append(r.Routers, rt)
	}
	r.Operator = kcroperate.New(kcrplatform.New(s.Log, kcrplatform.HTTPClient()).Log(), s.Buckets)
	return r, r.Publish(kcrlist.Topup{Name: firstTopup, Tokens: size.Tokens})
}

func (r *Rig) startPlatform() error {
	log, vms := fiber.New(fiber.Config{BodyLimit: 64 << 20}), fiber.New()
	r.Log.Route(log)
	r.VMs.Route(vms)
	r.apps = append(r.apps, log, vms)
	if err := kcrdaemon.Serve(log, r.Settings.Log); err != nil {
		return err
	}
	return kcrdaemon.Serve(vms, r.Settings.VMs)
}

func (r *Rig) startUpstream(u kcrsettings.Upstream) error {
	app := fiber.New()
	if u.Service == Model {
		e := kcrstandin.NewEngine(kcrstandin.DefaultEngine())
		e.Route(app)
		r.Engines = append(r.Engines, e)
	} else {
		p := kcrstandin.NewPlain(r.Effects)
		p.Route(app)
		r.Plains = append(r.Plains, p)
	}
	r.apps = append(r.apps, app)
	return kcrdaemon.Serve(app, u.Upstream)
}

// StartSidecar starts the sidecar of an upstream, again if need be.
func (r *Rig) StartSidecar(i int) (*kcrsidecar.Sidecar, error) {
	escrow, err := kcrkernel.New(kcrkernel.Builtin).EscrowPolicy(r.Settings.Escrow)
	if err != nil {
		return nil, err
	}
	u := r.Settings.Upstreams[i]
	r.serial++
	server := kcrid.Incarnation(fmt.Sprintf("%s/%d", u.VM, r.serial))
	rules := kcrsidecar.DefaultRules()
	if r.size.Rules != nil {
		rules = *r.size.Rules
	}
	return kcrsidecar.New(kcrsidecar.Config{Parts: r.parts(u.VM), Self: u, Server: server, Escrow: escrow, Rules: rules})
}

// parts returns what a process is made of.
func (r *Rig) parts(vm kcrid.VM) kcrdaemon.Parts {
	r.pools[vm] = kcrlink.NewPool()
	return kcrdaemon.Parts{
		Settings: r.Settings, VM: vm, Clock: kcrclock.Monotonic(), Logger: r.size.Logger.With("vm", vm),
		Platform: kcrplatform.New(r.Settings.Log, kcrplatform.HTTPClient()),
		VMs:      kcrplatform.New(r.Settings.VMs, kcrplatform.HTTPClient()),
		Metrics:  prometheus.NewRegistry(), Pool: r.pools[vm],
	}
}

// StartRouter starts a router, again if need be.
func (r *Rig) StartRouter(i int) (*kcrrouter.Router, error) {
	policy, err := kcrkernel.New(kcrkernel.Builtin).RoutePolicy(r.Settings.Route)
	if err != nil {
		return nil, err
	}
	e := r.Settings.Routers[i]
	return kcrrouter.New(kcrrouter.Config{Parts: r.parts(e.VM), Self: e, Policy: policy})
}

// Pool returns the links of a process, to cut them.
func (r *Rig) Pool(vm kcrid.VM) *kcrlink.Pool { return r.pools[vm] }

// Item returns the plan of the rig with the given top-ups.
func Item(topups ...kcrlist.Topup) kcrlist.Item {
	return kcrlist.Item{
		Plan: kcrlist.Plan{Name: Plan, Team: Team, Keys: []string{kcrlist.Digest(APIKey)}, Topups: topups},
		Use:  kcrlist.Use{Plan: Plan, Models: []kcrid.Model{Model}, Services: []kcrid.Service{Service}, Rank: 1, Most: 4096},
	}
}

const (
	publishTime = 10 * time.Second
	settlePause = 20 * time.Millisecond
)

// firstTopup names the top-up that a rig starts with.
const firstTopup = "first"

// Publish replaces the lists by one plan with the top-ups, and waits until
// every router has them.
func (r *Rig) Publish(topups ...kcrlist.Topup) error {
	ctx, cancel := context.WithTimeout(context.Background(), publishTime)
	defer cancel()
	r.items = map[kcrid.Plan]kcrlist.Item{Plan: Item(topups...)}
	version, err := r.Operator.Publish(ctx, r.items, 0, true)
	if err != nil {
		return err
	}
	for _, rt := range r.Routers {
		for rt.Version() < version {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(settlePause)
		}
	}
	return nil
}

// Close stops everything at once, without waiting for what runs.
func (r *Rig) Close() {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	var wait conc.WaitGroup
	for _, rt := range r.Routers {
		wait.Go(func() { rt.Stop(ctx) })
	}
	for _, sc := range r.Sidecars {
		wait.Go(func() { sc.Stop(ctx) })
	}
	wait.Wait()
	for _, app := range r.apps {
		wait.Go(func() { _ = app.ShutdownWithTimeout(settlePause) })
	}
	wait.Wait()
}
