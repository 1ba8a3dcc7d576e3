// Package kcrnode implements a router that holds budget escrow and sends requests
// to upstreams itself, without sidecars. It keeps the configuration, the membership
// of upstreams, the placement table and the budget wallets up to date, and serves
// callers through a gateway.
//
// The process that embeds a Node provides the log, the configuration and the
// entries of upstreams. The package depends on no particular platform.
package kcrnode

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrfleet"
	"kingcuprun.example/kernel/kcrharm"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/kernel/kcrpeer"
	"kingcuprun.example/kernel/kcrplace"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/router/kcrgateway"
)

// This file defines the node: its construction, the updates that the embedding
// process passes to it, its periodic work, its planned stop and its metrics.
// Invariants: an older version of the configuration never replaces a newer one; a
// node that stops reports that it is not ready before it refuses any request.

// Config contains the settings and dependencies of a Node.
type Config struct {
	Self    kcrid.Incarnation
	Zone    kcrid.Zone
	Listen  string   // address for callers
	Control string   // address for other routers, "" for none
	Peers   []string // addresses of other routers, used until some are heard of on the log
	// Decode parses the configuration in the operator's format.
	Decode  func([]byte) (*kcrrule.Rules, error)
	Dialect kcrgateway.Dialect
	Log     kcrlog.Log
	Clock   kcrclock.Clock
	Boot    kcrbudget.Boot // clock since the boot of the machine
	Logger  *slog.Logger
	Metrics *prometheus.Registry
	Escrow  kcrbudget.Policy // how much escrow to hold while no home answers
	Weights kcrplace.Weights
	Retries kcrgateway.RetryLimits
	Buckets int // number of budget buckets, the same in all processes
	// Dropped returns how many lines the logger has dropped.
	Dropped func() int64
	Snap    kcrclock.Duration // time between snapshots of a stream
}

// Node is a running router.
type Node struct {
	clock             kcrclock.Clock
	logger            *slog.Logger
	rules             *kcrrule.State
	fleet             *kcrfleet.Fleet
	table             *kcrplace.Table
	crashes           *kcrharm.Book // requests that crashed upstreams
	gateway           *kcrgateway.Gateway
	buckets           []*bucket
	peers             *kcrpeer.Book
	peerFollower      *kcrdaemon.Follower
	escrowChanged     *kcrdaemon.Signal // wakes requests that wait for escrow
	homes             *homeDirectory
	pool              *kcrlink.Pool
	server            *kcrlink.Server // for other routers, nil without a control address
	decode            func([]byte) (*kcrrule.Rules, error)
	configUnavailable atomic.Bool // the store does not provide the configuration
	stopping          atomic.Bool
	cancel            context.CancelFunc
	wg                conc.WaitGroup
}

// Timing and limits of a node.
const (
	// tickInterval is the time between two runs of the periodic work.
	tickInterval = 50 * time.Millisecond
	// missingEntryGrace is how long an upstream is kept whose entry is missing after
	// an outage of the store. Most entries are back by then, and an engine that left
	// just after a short outage gets no request two seconds later.
	missingEntryGrace = 1600 * kcrclock.Millisecond
	// maxCrashes is how many upstreams a request may crash.
	maxCrashes = 3
	// assumedRouters is the number of routers that are assumed to share the retry
	// budget while this router has not heard of others.
	assumedRouters = 3
	// notReadyDelay is how long the load balancer may still send new connections
	// after the node reports that it is not ready: two health checks, a second apart.
	notReadyDelay = 2300 * time.Millisecond
)

// New starts a node.
func New(c Config) (n *Node, err error) {
	n = &Node{
		clock:         c.Clock,
		logger:        c.Logger,
		rules:         kcrrule.NewState(kcrrule.Newer),
		fleet:         kcrfleet.New(missingEntryGrace),
		table:         kcrplace.New(c.Zone, c.Weights),
		crashes:       kcrharm.New(maxCrashes),
		escrowChanged: kcrdaemon.NewSignal(),
		homes:         newHomeDirectory(),
		peers:         kcrpeer.New(c.Self, c.Control),
		pool:          kcrlink.NewPool(),
		decode:        c.Decode,
	}
	n.configUnavailable.Store(true)
	if c.Control != "" {
		if n.server, err = kcrlink.Listen(c.Control, n.handlePeerRequest); err != nil {
			return nil, err
		}
	}
	n.gateway, err = kcrgateway.New(kcrgateway.Config{
		Listen: c.Listen, Dialect: c.Dialect, Clock: c.Clock, Logger: c.Logger, Metrics: c.Metrics,
		Rules: n.rules, Table: n.table, Harm: n.crashes, Retries: c.Retries, Routers: n.routerCount, Crashed: n.reportCrash,
		Purse: kcrgateway.Purse{Reserve: n.Reserve, Settle: n.Settle},
	})
	if err != nil {
		return nil, err
	}
	for i := range c.Buckets {
		n.buckets = append(n.buckets, n.newBucket(c, i))
	}
	n.followPeers(c)
	n.registerMetrics(c)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wg.Go(func() { n.fetchFromPeers(ctx, c.Peers) })
	n.wg.Go(func() { kcrdaemon.Every(ctx, tickInterval, func(context.Context) { n.tick() }) })
	return n, nil
}

// routerCount returns how many routers share the retry budget, and the escrow while
// no home answers.
func (n *Node) routerCount() int {
	if count := n.peers.Routers(n.clock.Now()); count > 1 {
		return count
	}
	return assumedRouters
}

// reportCrash tells the other routers that a request crashed an upstream.
func (n *Node) reportCrash(content kcrid.Content, vm kcrid.VM) {
	n.peers.Post(&kcrentry.Entry{Kind: &kcrentry.Entry_Suspect{Suspect: &kcrentry.Suspect{
		Content: uint64(content), Server: string(vm),
	}}})
	n.peerFollower.Kick()
}

// tick runs the periodic work.
func (n *Node) tick() {
	now := n.clock.Now()
	if removed := n.fleet.Tick(now); len(removed) > 0 {
		n.logger.Info("upstreams removed: their entries did not return after an outage of the store", "ids", removed)
		n.updateUpstreams()
	}
	n.peers.Tick(now)
	if n.peers.Unsent() {
		n.peerFollower.Kick()
	}
	n.publishLimits()
	for _, b := range n.buckets {
		n.unfollowIfUnused(b)
		b.wallet.Tick(now)
		if b.wallet.Unsent() {
			b.kickFollower()
		}
		n.rebalance(b)
	}
}

// Apply parses a version of the configuration and puts it in force if it is newer
// than the current one. A version that is not newer is ignored without an error.
func (n *Node) Apply(raw []byte) (err error) {
	defer kcrerror.Annotate(&err, "configuration")
	r, err := n.decode(raw)
	if err != nil {
		return err
	}
	r.Source = raw
	if !n.rules.Apply(r) {
		n.logger.Info("configuration ignored: not newer than the one in force", "version", r.Version, "inforce", n.rules.Rules().Version)
		return nil
	}
	n.logger.Info("configuration in force", "version", r.Version, "teams", len(r.Teams), "services", len(r.Services))
	n.updateUpstreams()
	n.publishLimits()
	return nil
}

// publishLimits writes the prepaid amounts to the ledgers of the buckets for which
// no home does it.
func (n *Node) publishLimits() {
	for _, b := range n.buckets {
		if n.lacksHome(b) {
			b.follow()
			n.publishBucketLimits(b)
		}
	}
}

// Heard records that the store has answered a query for the entries of upstreams.
func (n *Node) Heard() { n.fleet.Heard(n.clock.Now()) }

// Lost records that the store does not answer queries for the entries of upstreams.
func (n *Node) Lost() { n.fleet.Lost() }

// Blind sets whether the store fails to provide the configuration. While it does,
// the node asks its peers for it.
func (n *Node) Blind(unavailable bool) { n.configUnavailable.Store(unavailable) }

// Put adds or updates the entry of an upstream.
func (n *Node) Put(m kcrfleet.Member) {
	if n.fleet.Put(n.clock.Now(), m) {
		n.logger.Info("upstream entry changed", "id", string(m.ID), "service", string(m.Service), "addr", m.Addr, "zone", string(m.Zone),
			"draining", m.Draining, "born", m.Born, "seq", m.Sequence)
		n.updateUpstreams()
	}
}

// Remove records that the entry of an upstream is gone from the store. Shortly after
// an outage of the store, the upstream is kept for missingEntryGrace.
func (n *Node) Remove(id kcrid.VM) {
	gone := n.fleet.Remove(n.clock.Now(), id)
	n.logger.Info("upstream entry removed", "id", string(id), "gone", gone)
	n.updateUpstreams()
}

// Listed records the complete list of entries in the store. Each other upstream is
// treated like one passed to Remove.
func (n *Node) Listed(ids map[kcrid.VM]bool) {
	if removed := n.fleet.Listed(n.clock.Now(), ids); len(removed) > 0 {
		n.logger.Info("upstreams removed: not in the list of the store", "ids", removed)
	}
	n.updateUpstreams()
}

// updateUpstreams passes the upstreams that may get requests to the placement table,
// and the addresses of the processes beside engines to the directory of homes.
func (n *Node) updateUpstreams() {
	var upstreams []kcrplace.Upstream
	var homes, leaving []string
	rules := n.rules.Rules()
	for _, m := range n.fleet.Members() {
		if m.Draining {
			leaving = append(leaving, m.Home)
			continue
		}
		upstreams = append(upstreams, kcrplace.Upstream{
			ID: m.ID, Service: m.Service, Addr: m.Addr, Zone: m.Zone, Slots: m.Slots, Born: m.Born, Cold: m.Cold,
		})
		if rules != nil && m.Home != "" && rules.Engines(m.Service) {
			homes = append(homes, m.Home)
		}
	}
	n.table.Update(n.clock.Now(), upstreams)
	if rules != nil && n.fleet.Known() {
		n.homes.update(n.clock.Now(), homes, leaving)
	}
}

// Ready reports whether the node can serve callers: it has a configuration, knows
// the upstreams and is not stopping.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.rules.Rules() != nil && n.fleet.Known()
}

// Stop is a planned stop that cuts off no request before the deadline of ctx. The
// node reports that it is not ready, serves the requests that still arrive, waits
// for all of them to end, and returns its escrow before ctx ends.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.logger.Info("stopping", "active", n.gateway.Active())
	serving := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		serving, cancel = context.WithDeadline(ctx, deadline.Add(-escrowReturnTime))
		defer cancel()
	}
	n.gateway.Stop(serving, notReadyDelay)
	for _, b := range n.buckets {
		for _, excess := range b.wallet.Excess(true) {
			n.returnEscrow(b, excess)
		}
		b.wallet.Retire(n.clock.Now())
		b.kickFollower()
	}
	n.waitForAppends(ctx)
	n.logger.Info("stopped", "active", n.gateway.Active())
	n.gateway.Close()
	n.cancel()
}

// Kill ends the node as a crash of its process would: connections are closed and no
// escrow is returned. It exists for tests.
func (n *Node) Kill() {
	n.cancel()
	n.gateway.Close()
	for _, b := range n.buckets {
		b.unfollow()
	}
	n.peerFollower.Close()
	if n.server != nil {
		n.server.Close()
	}
	n.pool.Close()
}

// escrowReturnTime is the part of the time for a planned stop that is kept for
// returning escrow.
const escrowReturnTime = 400 * time.Millisecond

// waitForAppends waits until all records of the wallets, among them the returns of
// escrow, are on the ledger.
func (n *Node) waitForAppends(ctx context.Context) {
	for ctx.Err() == nil {
		unsent := false
		for _, b := range n.buckets {
			unsent = unsent || b.wallet.Unsent()
		}
		if !unsent {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(tickInterval):
		}
	}
}

// registerMetrics registers the metrics of the node's state.
func (n *Node) registerMetrics(c Config) {
	gauge := func(name, help string, value func() float64) {
		c.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	c.Metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "kcr_log_dropped_total", Help: "Lines of the log that were left out.",
	}, func() float64 { return float64(c.Dropped()) }))
	gauge("kcr_active_requests", "Requests under way.", func() float64 { return float64(n.gateway.Active()) })
	gauge("kcr_fleet_age_seconds", "Time since the store answered with entries.", func() float64 { return n.fleet.Age(n.clock.Now()).Seconds() })
	gauge("kcr_config_version", "Version of the configuration in force.", func() float64 {
		if rules := n.rules.Rules(); rules != nil {
			return float64(rules.Version)
		}
		return 0
	})
	gauge("kcr_escrow_free_tokens", "Tokens held and not reserved.", func() (sum float64) {
		if rules := n.rules.Rules(); rules != nil {
			for i := range rules.Teams {
				sum += float64(n.bucketOf(rules.Teams[i].Name).wallet.Holding(kcrid.Plan(rules.Teams[i].Name)).Free)
			}
		}
		return sum
	})
}
