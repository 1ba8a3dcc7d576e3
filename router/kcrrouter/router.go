// Package kcrrouter is the HTTP server that callers connect to. For each request it
// authenticates the caller, checks what the caller's plan allows, selects an
// upstream and relays the response of that upstream's sidecar. Its errors tell the
// caller whether the request may have run, and claim that it did not run only if
// that is certain.
//
// A sidecar is the process that runs requests at one upstream. An attempt sends a
// request to one sidecar. A run is the execution of the request at the upstream, which
// an attempt starts or joins. When the router gives up a request that must run at most
// once, it bars the request: a record in the platform's log ensures that the request
// never runs.
package kcrrouter

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcranswer"
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

// This file defines Router, its start and stop, and what it learns about the load of
// upstreams. Invariant: Stop interrupts no response before its context ends.

// Config holds the dependencies of a Router.
type Config struct {
	kcrdaemon.Dependencies
	RouterSettings kcrsettings.Router // the settings of this router
	Policy         kcrroute.Policy    // selects among the upstreams that can take a request
}

// Router is a running router.
type Router struct {
	config         Config
	clock          kcrclock.Clock
	decisions      *kcrdaemon.DecisionLog
	operatorConfig *kcrlist.State            // the lists that operators publish
	configFollower *kcrdaemon.ConfigFollower // keeps operatorConfig up to date
	vmList         *kcrdaemon.VMListCache    // the list of VMs that have a sidecar
	pool           *kcrlink.Pool
	upstreamTable  *kcrroute.Table
	retryBucket    *kcrroute.RetryBucket
	crashSuspects  *crashSuspects
	answers        *kcranswer.Memory // of the responses that are read before they are sent
	app            *fiber.App
	admin          *kcrdaemon.Admin
	metrics        *metrics
	stopping       atomic.Bool
	cancel         context.CancelFunc
	wg             conc.WaitGroup

	mu sync.Mutex
	// intentOffsets holds, for each service, the highest offset of its intent
	// stream that a sidecar has reported.
	intentOffsets map[kcrid.Service]kcrid.Offset
	sampleIndex   int // of the last sampled upstream; used by sampleLoads only, without mu
}

const (
	loadSampleInterval = 2 * time.Second
	loadSampleSize     = 8 // sidecars per interval
	loadSampleTimeout  = 500 * time.Millisecond
	// shutdownDelay is how long a stopping router still accepts requests, since a
	// load balancer may send new ones until it notices the changed health.
	shutdownDelay = time.Second
)

// New starts a router.
func New(c Config) (r *Router, err error) {
	r = &Router{
		config:         c,
		clock:          c.Clock,
		decisions:      kcrdaemon.NewDecisionLog(c.Logger),
		operatorConfig: kcrlist.NewState(kcrlist.DefaultRules()),
		pool:           c.Pool,
		retryBucket:    kcrroute.NewRetryBucket(),
		crashSuspects:  newCrashSuspects(),
		answers:        kcranswer.NewMemory(),
		metrics:        newMetrics(c.Metrics),
		intentOffsets:  map[kcrid.Service]kcrid.Offset{},
	}
	r.upstreamTable = kcrroute.New(kcrroute.Location{Zone: c.RouterSettings.Zone, Region: c.Settings.Region}, c.Policy, rand.IntN)
	r.vmList = kcrdaemon.NewVMListCache(c.VMListClient, kcrdaemon.VMsFromSettings(c.Settings), c.Logger, r.updateUpstreams)
	r.configFollower = kcrdaemon.NewConfigFollower(kcrdaemon.ConfigOptions{
		State: r.operatorConfig, Log: c.LogClient.Log(), Pool: r.pool, Peers: r.peerAddrs, Logger: c.Logger,
		OnChange:         func(*kcrentry.Entry) { r.updateUpstreams(r.vmList.VMs()) },
		IsSnapshotWriter: func() bool { return false }, SnapshotInterval: c.Settings.SnapshotInterval.Std(),
	})
	r.app = r.newApp()
	if err := kcrdaemon.Serve(r.app, c.RouterSettings.Listen); err != nil {
		return nil, err
	}
	if r.admin, err = kcrdaemon.NewAdmin(c.RouterSettings.Admin, c.Metrics, r.health, r.decisions.Decisions); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.wg.Go(func() { kcrdaemon.RunEvery(ctx, loadSampleInterval, r.sampleLoads) })
	return r, nil
}

// updateUpstreams replaces the upstreams of the table by those of a VM list. An
// upstream is leaving if the list says so or an operator marked its VM as leaving.
func (r *Router) updateUpstreams(vms []kcrplatform.VM) {
	upstreams := kcrplatform.ToUpstreams(vms)
	for i := range upstreams {
		upstreams[i].Leaving = upstreams[i].Leaving || r.operatorConfig.Leaving(upstreams[i].VM)
	}
	r.upstreamTable.Update(upstreams)
}

// peerAddrs returns the addresses of the sidecars, from which the router fetches the
// configuration while the log is unavailable.
func (r *Router) peerAddrs() (addrs []string) {
	for _, vm := range r.vmList.VMs() {
		addrs = append(addrs, vm.Addr)
	}
	return addrs
}

func (r *Router) health() kcrdaemon.Health {
	switch {
	case r.stopping.Load():
		return kcrdaemon.Leaving
	case r.operatorConfig.Version() == 0:
		return kcrdaemon.Starting
	default:
		return kcrdaemon.Ready
	}
}

// intentOffset returns the highest known offset of the intent stream of a service,
// 0 if none is known.
func (r *Router) intentOffset(s kcrid.Service) kcrid.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.intentOffsets[s]
}

// applyLoadReport stores the load report of a sidecar. It ignores a nil report.
func (r *Router) applyLoadReport(vm kcrid.VM, service kcrid.Service, report *kcrwire.Loaded) {
	if report == nil {
		return
	}
	r.upstreamTable.RecordLoad(vm, kcrroute.LoadReport{
		ReceivedAt: r.clock.Now(), Inflight: int(report.GetInflight()), Limit: int(report.GetLimit()), Queued: int(report.GetQueue()),
		Leaving: report.GetLeaving(), Ready: report.GetReady(),
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	r.intentOffsets[service] = max(r.intentOffsets[service], kcrid.Offset(report.GetSeen()))
}

// sampleLoads requests the load of the next few sidecars in rotation. So the router
// has load reports of the upstreams that it sends no requests to, without a request
// to every sidecar at once.
func (r *Router) sampleLoads(ctx context.Context) {
	upstreams := r.upstreamTable.Upstreams()
	for range min(loadSampleSize, len(upstreams)) {
		r.sampleIndex++
		upstream := upstreams[r.sampleIndex%len(upstreams)]
		callCtx, cancel := context.WithTimeout(ctx, loadSampleTimeout)
		reply, err := r.pool.Call(callCtx, upstream.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Load{Load: &kcrwire.Load{}}})
		cancel()
		if err != nil {
			r.upstreamTable.MarkUnreachable(r.clock.Now(), upstream.VM)
			continue
		}
		r.applyLoadReport(upstream.VM, upstream.Service, reply.GetLoaded())
	}
}

// Stop stops the router in three steps: it reports the health as leaving and waits
// for shutdownDelay, then accepts no new requests, and then waits until every
// response is complete. If the context ends first, it interrupts the rest.
func (r *Router) Stop(ctx context.Context) {
	r.stopping.Store(true)
	r.config.Logger.Info("stopping")
	select {
	case <-time.After(shutdownDelay):
	case <-ctx.Done():
	}
	if err := r.app.ShutdownWithContext(ctx); err != nil {
		r.config.Logger.Error("stopped with incomplete responses", "err", err)
	}
	r.cancel()
	r.admin.Close()
	r.configFollower.Close()
	r.vmList.Close()
	r.pool.Close()
	r.wg.Wait()
}

// ConfigVersion returns the version of the configuration in use, 0 if none is known yet.
func (r *Router) ConfigVersion() kcrid.Offset { return r.operatorConfig.Version() }
