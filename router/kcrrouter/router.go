// Package kcrrouter is the process that callers reach: it knows who calls,
// what the plan may use, which upstream should take the request, and tells the
// caller the truth about what became of it.
package kcrrouter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/kernel/kcrroute"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrplatform"
	"kingcuprun.example/link/kcrsettings"
	"kingcuprun.example/link/kcrwire"
)

// Config is what a Router is made of.
type Config struct {
	kcrdaemon.Parts
	Self   kcrsettings.Router
	Policy kcrroute.Policy
}

// Router is a running router.
type Router struct {
	config   Config
	clock    kcrclock.Clock
	journal  *kcrdaemon.Journal
	state    *kcrlist.State
	lists    *kcrdaemon.Config
	fleet    *kcrdaemon.Fleet
	pool     *kcrlink.Pool
	table    *kcrroute.Table
	retries  *kcrroute.RetryBudget
	suspects *suspects
	app      *fiber.App
	admin    *kcrdaemon.Admin
	metrics  *metrics
	stopping atomic.Bool
	cancel   context.CancelFunc
	wait     conc.WaitGroup

	mu     sync.Mutex
	seens  map[kcrid.Service]kcrid.Offset
	sample int
}

const (
	sampleEvery = 2 * time.Second
	sampleSize  = 8
	sampleTime  = 500 * time.Millisecond
	// leaveTime is how long the balancer may still send new requests.
	leaveTime = time.Second
)

// New starts a router.
func New(c Config) (r *Router, err error) {
	r = &Router{
		config:   c,
		clock:    c.Clock,
		journal:  kcrdaemon.NewJournal(c.Logger),
		state:    kcrlist.NewState(kcrlist.DefaultRules()),
		pool:     c.Pool,
		retries:  kcrroute.NewRetryBudget(),
		suspects: newSuspects(),
		metrics:  newMetrics(c.Metrics),
		seens:    map[kcrid.Service]kcrid.Offset{},
	}
	r.table = kcrroute.New(kcrroute.Home{Zone: c.Self.Zone, Region: c.Settings.Region}, c.Policy, rand.IntN)
	r.fleet = kcrdaemon.NewFleet(c.VMs, kcrdaemon.Listed(c.Settings), c.Logger, r.listed)
	r.lists = kcrdaemon.NewConfig(kcrdaemon.ConfigOptions{
		State: r.state, Log: c.Platform.Log(), Pool: r.pool, Peers: r.peers, Logger: c.Logger,
		Changed: func(*kcrentry.Entry) { r.listed(r.fleet.VMs()) },
		Carries: func() bool { return false }, Every: c.Settings.Snap.Std(),
	})
	r.app = r.routes()
	if err := kcrdaemon.Serve(r.app, c.Self.Listen); err != nil {
		return nil, err
	}
	if r.admin, err = kcrdaemon.NewAdmin(c.Self.Admin, c.Metrics, r.health, r.journal.Find); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.wait.Go(func() { kcrdaemon.Every(ctx, sampleEvery, r.sampleLoads) })
	return r, nil
}

// listed takes in a VM list, with the operator's marks.
func (r *Router) listed(vms []kcrplatform.VM) {
	ups := kcrplatform.Upstreams(vms)
	for i := range ups {
		ups[i].Leaving = ups[i].Leaving || r.state.Leaving(ups[i].VM)
	}
	r.table.Update(ups)
}

func (r *Router) peers() (out []string) {
	for _, vm := range r.fleet.VMs() {
		out = append(out, vm.Addr)
	}
	return out
}

func (r *Router) health() kcrdaemon.Health {
	switch {
	case r.stopping.Load():
		return kcrdaemon.Leaving
	case r.state.Version() == 0:
		return kcrdaemon.Starting
	default:
		return kcrdaemon.Ready
	}
}

// seen returns how far the intents of a service are known to have got.
func (r *Router) seen(s kcrid.Service) kcrid.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seens[s]
}

// loaded takes in a load report that came with an answer.
func (r *Router) loaded(vm kcrid.VM, service kcrid.Service, l *kcrwire.Loaded) {
	if l == nil {
		return
	}
	r.table.Report(vm, kcrroute.Report{
		At: r.clock.Now(), Inflight: int(l.GetInflight()), Limit: int(l.GetLimit()), Queue: int(l.GetQueue()),
		Leaving: l.GetLeaving(), Ready: l.GetReady(),
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seens[service] = max(r.seens[service], kcrid.Offset(l.GetSeen()))
}

// sampleLoads asks a few sidecars in turn, so that a router hears of those
// that it does not use without asking all of them.
func (r *Router) sampleLoads(ctx context.Context) {
	ups := r.table.Upstreams()
	for range min(sampleSize, len(ups)) {
		r.sample++
		u := ups[r.sample%len(ups)]
		callCtx, cancel := context.WithTimeout(ctx, sampleTime)
		reply, err := r.pool.Call(callCtx, u.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Load{Load: &kcrwire.Load{}}})
		cancel()
		if err != nil {
			r.table.Down(r.clock.Now(), u.VM)
			continue
		}
		r.loaded(u.VM, u.Service, reply.GetLoaded())
	}
}

// Stop ends the router without cutting off a request: health goes down first,
// then nothing new is accepted, and every answer is finished.
func (r *Router) Stop(ctx context.Context) {
	r.stopping.Store(true)
	r.config.Logger.Info("stopping")
	select {
	case <-time.After(leaveTime):
	case <-ctx.Done():
	}
	if err := r.app.ShutdownWithContext(ctx); err != nil {
		r.config.Logger.Error("stopped with open answers", "err", err)
	}
	r.cancel()
	r.admin.Close()
	r.lists.Close()
	r.fleet.Close()
	r.pool.Close()
	r.wait.Wait()
}

// Version returns the version of the lists that is in force here.
func (r *Router) Version() kcrid.Offset { return r.state.Version() }
