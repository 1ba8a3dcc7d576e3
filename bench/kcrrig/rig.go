// Package kcrrig runs a whole deployment in one process, for tests and measurements.
// Routers and sidecars are the real ones, and listen on loopback; the platform and
// the upstreams are stand-ins.
package kcrrig

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/kernel/kcrregistry"
	"kingcuprun.example/kingcuprun/kcroperate"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrplatform"
	"kingcuprun.example/link/kcrsettings"
	"kingcuprun.example/router/kcrrouter"
	"kingcuprun.example/sidecar/kcrsidecar"
	"kingcuprun.example/standin/kcrstandin"
)

// Names that every rig uses: its model, its plain service, and its one plan with the
// team and the API key.
const (
	Model   = "assistant-llm"
	Service = "meetup-app"
	APIKey  = "team-key"
	Plan    = kcrid.Plan("plan")
	Team    = kcrid.Team("team")
)

// defaultMaxTokens limits the answer to a request that sets no limit.
const defaultMaxTokens = 256

// Size describes a rig: the number of processes of each kind, and its options.
// VMListLag is how much later the VM list shows a change.
type Size struct {
	Routers          int
	Engines          int
	Plains           int
	PrepaidTokens    kcrid.Tokens // tokens of the first top-up
	VMListLag        time.Duration
	EngineSlots      int // concurrent requests per engine, at least 16
	SnapshotInterval kcrclock.Duration
	SidecarRules     *kcrsidecar.Rules // nil for the production rules
	ServeUpstream    func(net.Conn)    // serves the connections to upstreams in place of the stand-ins, nil for those
	Logger           *slog.Logger
}

// Rig is a running deployment. Routers and Sidecars are in the order of the settings;
// a test that restarts one replaces its entry.
type Rig struct {
	Settings *kcrsettings.Settings
	Log      *kcrstandin.Log
	VMList   *kcrstandin.VMList
	Engines  []*kcrstandin.Engine
	Plains   []*kcrstandin.PlainService
	Effects  *kcrstandin.EffectCounter
	Routers  []*kcrrouter.Router
	Sidecars []*kcrsidecar.Sidecar
	Operator *kcroperate.Operator

	apps          []*fiber.App
	listeners     []net.Listener // of Size.ServeUpstream
	pools         map[kcrid.VM]*kcrlink.Pool
	sidecarStarts int
	size          Size
	configs       map[kcrid.Plan]kcrlist.PlanConfig
}

// rigCount counts the rigs of this process. Each rig has a loopback address of its
// own, so that rigs which run concurrently do not conflict over ports.
var rigCount atomic.Uint32

// firstPort is below the ephemeral port range.
const firstPort = 20000

// addresses allocates listen addresses on the loopback address of one rig.
type addresses struct {
	ip   netip.Addr
	port uint16
}

// newAddresses returns the addresses of the next rig.
func newAddresses() *addresses {
	number := rigCount.Add(1)
	return &addresses{ip: netip.AddrFrom4([4]byte{127, byte(1 + os.Getpid()%250), byte(number >> 7), byte(1 + number%128)}), port: firstPort}
}

// next returns an unused address.
func (a *addresses) next() string {
	a.port++
	return netip.AddrPortFrom(a.ip, a.port).String()
}

// settings returns the settings of a deployment of the given size.
func settings(size Size) *kcrsettings.Settings {
	a := newAddresses()
	zones := []kcrid.Zone{"zone-a", "zone-b", "zone-c"}
	s := &kcrsettings.Settings{
		Region: "region", Zones: zones, LogAddr: a.next(), VMListAddr: a.next(), Buckets: 4, SnapshotInterval: max(size.SnapshotInterval, kcrclock.Second), RoutePolicy: "cost", EscrowPolicy: "demand",
		Services: []kcrsettings.Service{
			{Name: Model, Kind: kcrsettings.KindEngine, Models: []kcrid.Model{Model}, DefaultMaxTokens: defaultMaxTokens, InitialConcurrency: max(size.EngineSlots, 16)},
			{Name: Service, Kind: kcrsettings.KindPlain, InitialConcurrency: 16},
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

// New starts a rig and publishes one plan that may use the model and the service.
func New(size Size) (r *Rig, err error) {
	if size.Logger == nil {
		size.Logger = slog.New(slog.NewJSONHandler(io.Discard, nil))
	}
	s := settings(size)
	r = &Rig{
		Settings: s, Log: kcrstandin.NewLog(), VMList: kcrstandin.NewVMList(size.VMListLag, kcrdaemon.VMsFromSettings(s)),
		Effects: kcrstandin.NewEffectCounter(), pools: map[kcrid.VM]*kcrlink.Pool{}, size: size,
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
	r.Operator = kcroperate.New(kcrplatform.NewClient(s.LogAddr, kcrplatform.NewHTTPClient()).Log(), s.Buckets)
	return r, r.Publish(kcrlist.TopUp{Name: firstTopup, Tokens: size.PrepaidTokens})
}

// startPlatform serves the stand-ins for the log and the VM list.
func (r *Rig) startPlatform() error {
	logApp, vmListApp := fiber.New(fiber.Config{BodyLimit: 64 << 20}), fiber.New()
	r.Log.RegisterRoutes(logApp)
	r.VMList.RegisterRoutes(vmListApp)
	r.apps = append(r.apps, logApp, vmListApp)
	if err := kcrdaemon.Serve(logApp, r.Settings.LogAddr); err != nil {
		return err
	}
	return kcrdaemon.Serve(vmListApp, r.Settings.VMListAddr)
}

// startUpstream serves a stand-in engine or a stand-in plain service.
func (r *Rig) startUpstream(u kcrsettings.Upstream) error {
	if r.size.ServeUpstream != nil {
		return r.listenUpstream(u.Upstream)
	}
	app := fiber.New()
	if u.Service == Model {
		e := kcrstandin.NewEngine(kcrstandin.DefaultEngineSettings())
		e.RegisterRoutes(app)
		r.Engines = append(r.Engines, e)
	} else {
		p := kcrstandin.NewPlainService(r.Effects)
		p.RegisterRoutes(app)
		r.Plains = append(r.Plains, p)
	}
	r.apps = append(r.apps, app)
	return kcrdaemon.Serve(app, u.Upstream)
}

// listenUpstream passes the connections to an address to Size.ServeUpstream.
func (r *Rig) listenUpstream(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	r.listeners = append(r.listeners, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.size.ServeUpstream(conn)
		}
	}()
	return nil
}

// StartSidecar starts the sidecar of the upstream with index i. After a stop or a
// kill, it starts the sidecar again as a new process.
func (r *Rig) StartSidecar(i int) (*kcrsidecar.Sidecar, error) {
	escrowPolicy, err := kcrregistry.New(kcrregistry.Builtin).EscrowPolicy(r.Settings.EscrowPolicy)
	if err != nil {
		return nil, err
	}
	u := r.Settings.Upstreams[i]
	r.sidecarStarts++
	incarnation := kcrid.Incarnation(fmt.Sprintf("%s/%d", u.VM, r.sidecarStarts))
	rules := kcrsidecar.DefaultRules()
	if r.size.SidecarRules != nil {
		rules = *r.size.SidecarRules
	}
	return kcrsidecar.New(kcrsidecar.Config{Dependencies: r.processDependencies(u.VM), UpstreamSettings: u, Incarnation: incarnation, EscrowPolicy: escrowPolicy, Rules: rules})
}

// processDependencies returns the dependencies of a process on a VM. The process gets
// links and clients of its own.
func (r *Rig) processDependencies(vm kcrid.VM) kcrdaemon.Dependencies {
	r.pools[vm] = kcrlink.NewPool()
	return kcrdaemon.Dependencies{
		Settings: r.Settings, VM: vm, Clock: kcrclock.Monotonic(), Logger: r.size.Logger.With("vm", vm),
		LogClient:    kcrplatform.NewClient(r.Settings.LogAddr, kcrplatform.NewHTTPClient()),
		VMListClient: kcrplatform.NewClient(r.Settings.VMListAddr, kcrplatform.NewHTTPClient()),
		Metrics:      prometheus.NewRegistry(), Pool: r.pools[vm],
	}
}

// StartRouter starts the router with index i. After a stop, it starts the router again
// as a new process.
func (r *Rig) StartRouter(i int) (*kcrrouter.Router, error) {
	policy, err := kcrregistry.New(kcrregistry.Builtin).RoutePolicy(r.Settings.RoutePolicy)
	if err != nil {
		return nil, err
	}
	e := r.Settings.Routers[i]
	return kcrrouter.New(kcrrouter.Config{Dependencies: r.processDependencies(e.VM), RouterSettings: e, Policy: policy})
}

// LinkPool returns the links of the process on a VM, so that a test can simulate a
// partition.
func (r *Rig) LinkPool(vm kcrid.VM) *kcrlink.Pool { return r.pools[vm] }

// newPlanConfig returns the rig's plan and its allowance with the given top-ups.
func newPlanConfig(topups ...kcrlist.TopUp) kcrlist.PlanConfig {
	return kcrlist.PlanConfig{
		Plan:      kcrlist.Plan{Name: Plan, Team: Team, Keys: []string{kcrlist.APIKeyDigest(APIKey)}, TopUps: topups},
		Allowance: kcrlist.Allowance{Plan: Plan, Models: []kcrid.Model{Model}, Services: []kcrid.Service{Service}, Priority: 1, MaxAnswerTokens: 4096},
	}
}

const (
	publishTimeout = 10 * time.Second
	pollInterval   = 20 * time.Millisecond
)

// firstTopup names the top-up that a rig starts with.
const firstTopup = "first"

// Publish replaces the lists with the rig's plan and the given top-ups, and waits
// until every router has the new version.
func (r *Rig) Publish(topups ...kcrlist.TopUp) error {
	ctx, cancel := context.WithTimeout(context.Background(), publishTimeout)
	defer cancel()
	r.configs = map[kcrid.Plan]kcrlist.PlanConfig{Plan: newPlanConfig(topups...)}
	version, err := r.Operator.Publish(ctx, r.configs, 0, true)
	if err != nil {
		return err
	}
	for _, rt := range r.Routers {
		for rt.ConfigVersion() < version {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// Close stops all processes at once, without waiting for running requests.
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
		wait.Go(func() { _ = app.ShutdownWithTimeout(pollInterval) })
	}
	for _, listener := range r.listeners {
		_ = listener.Close()
	}
	wait.Wait()
}
