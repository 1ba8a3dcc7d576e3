// Package kcrnode is a router that holds its own escrow and speaks to upstreams
// itself: it keeps the rules, the membership, the placing table and the wallets
// up to date, and serves callers through a gateway.
//
// What it runs on is fed to it: the log, the configuration, the entries of
// upstreams. It knows no platform.
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

// Config is what a Node is made of.
type Config struct {
	Self    kcrid.Incarnation
	Zone    kcrid.Zone
	Listen  string // address for callers
	Control string // address for other routers
	Peers   []string
	// Decode reads the configuration as the operator wrote it.
	Decode  func([]byte) (*kcrrule.Rules, error)
	Dialect kcrgateway.Dialect
	Log     kcrlog.Log
	Clock   kcrclock.Clock
	Boot    kcrbudget.Boot
	Logger  *slog.Logger
	Metrics *prometheus.Registry
	Escrow  kcrbudget.Policy
	Weights kcrplace.Weights
	Retries kcrgateway.RetryLimits
	Buckets int
	// Dropped returns how many lines of the log were left out.
	Dropped func() int64
	Snap    kcrclock.Duration
}

// Node is a running router.
type Node struct {
	clock    kcrclock.Clock
	logger   *slog.Logger
	rules    *kcrrule.State
	fleet    *kcrfleet.Fleet
	table    *kcrplace.Table
	harm     *kcrharm.Book
	gateway  *kcrgateway.Gateway
	buckets  []*bucket
	book     *kcrpeer.Book
	told     *kcrdaemon.Follower // what other routers tell
	escrow   *kcrdaemon.Signal
	homes    *homes
	pool     *kcrlink.Pool
	server   *kcrlink.Server
	decode   func([]byte) (*kcrrule.Rules, error)
	blind    atomic.Bool // the store does not tell the configuration
	stopping atomic.Bool
	cancel   context.CancelFunc
	wait     conc.WaitGroup
}

// Timing of a node.
const (
	// tick is the time between looks at what is due.
	tick = 50 * time.Millisecond
	// returnTime is how long an entry that is missing after an outage counts:
	// most are back by then, and an engine that left just after a short loss of
	// the store gets nothing two seconds later.
	returnTime = 1600 * kcrclock.Millisecond
	// maxCrashes is how many upstreams a request may crash.
	maxCrashes = 3
	// fewRouters is the number of routers that a lone one takes to share the
	// retry budget, while it has not heard of others.
	fewRouters = 3
	// settleTime is how long the balancer may still send new connections after
	// the node stops to be ready: two of its looks, a second apart.
	settleTime = 2300 * time.Millisecond
)

// New starts a node.
func New(c Config) (n *Node, err error) {
	n = &Node{
		clock:  c.Clock,
		logger: c.Logger,
		rules:  kcrrule.NewState(kcrrule.Newer),
		fleet:  kcrfleet.New(returnTime),
		table:  kcrplace.New(c.Zone, c.Weights),
		harm:   kcrharm.New(maxCrashes),
		escrow: kcrdaemon.NewSignal(),
		homes:  newHomes(),
		book:   kcrpeer.New(c.Self, c.Control),
		pool:   kcrlink.NewPool(),
		decode: c.Decode,
	}
	n.blind.Store(true)
	if c.Control != "" {
		if n.server, err = kcrlink.Listen(c.Control, n.call); err != nil {
			return nil, err
		}
	}
	n.gateway, err = kcrgateway.New(kcrgateway.Config{
		Listen: c.Listen, Dialect: c.Dialect, Clock: c.Clock, Logger: c.Logger, Metrics: c.Metrics,
		Rules: n.rules, Table: n.table, Harm: n.harm, Retries: c.Retries, Routers: n.routers, Crashed: n.crashed,
		Purse: kcrgateway.Purse{Reserve: n.Reserve, Settle: n.Settle},
	})
	if err != nil {
		return nil, err
	}
	for i := range c.Buckets {
		n.buckets = append(n.buckets, n.newBucket(c, i))
	}
	n.follow(c)
	n.observe(c)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wait.Go(func() { n.learn(ctx, c.Peers) })
	n.wait.Go(func() { kcrdaemon.Every(ctx, tick, func(context.Context) { n.tick() }) })
	return n, nil
}

// routers returns how many routers share the retry budget.
func (n *Node) routers() int {
	if most := n.book.Routers(n.clock.Now()); most > 1 {
		return most
	}
	return fewRouters
}

// crashed tells the other routers of a request that crashed an upstream.
func (n *Node) crashed(content kcrid.Content, vm kcrid.VM) {
	n.book.Post(&kcrentry.Entry{Kind: &kcrentry.Entry_Suspect{Suspect: &kcrentry.Suspect{
		Content: uint64(content), Server: string(vm),
	}}})
	n.told.Kick()
}

func (n *Node) tick() {
	now := n.clock.Now()
	if gone := n.fleet.Tick(now); len(gone) > 0 {
		n.logger.Info("upstreams did not come back", "ids", gone)
		n.update()
	}
	n.book.Tick(now)
	if n.book.Unsent() {
		n.told.Kick()
	}
	n.limits()
	for _, b := range n.buckets {
		n.detach(b)
		b.wallet.Tick(now)
		if b.wallet.Unsent() {
			b.kick()
		}
		n.tend(b)
	}
}

// Apply puts a version of the configuration in force, if it is newer.
func (n *Node) Apply(raw []byte) (err error) {
	defer kcrerror.Annotate(&err, "configuration")
	r, err := n.decode(raw)
	if err != nil {
		return err
	}
	r.Source = raw
	if !n.rules.Apply(r) {
		n.logger.Info("configuration passed over", "version", r.Version, "inforce", n.rules.Rules().Version)
		return nil
	}
	n.logger.Info("configuration in force", "version", r.Version, "teams", len(r.Teams), "services", len(r.Services))
	n.update()
	n.limits()
	return nil
}

// limits tells the ledgers what is prepaid where there is no home to do it.
func (n *Node) limits() {
	for _, b := range n.buckets {
		if n.alone(b) {
			b.attach()
			n.limit(b)
		}
	}
}

// Heard tells that the store has answered.
func (n *Node) Heard() { n.fleet.Heard(n.clock.Now()) }

// Lost tells that the store does not answer.
func (n *Node) Lost() { n.fleet.Lost() }

// Blind tells whether the store fails to tell the configuration: then peers are
// asked.
func (n *Node) Blind(on bool) { n.blind.Store(on) }

// Put takes in the entry of an upstream.
func (n *Node) Put(m kcrfleet.Member) {
	if n.fleet.Put(n.clock.Now(), m) {
		n.logger.Info("upstream", "id", string(m.ID), "service", string(m.Service), "addr", m.Addr, "zone", string(m.Zone),
			"draining", m.Draining, "born", m.Born, "seq", m.Sequence)
		n.update()
	}
}

// Remove takes in that an entry is gone.
func (n *Node) Remove(id kcrid.VM) {
	gone := n.fleet.Remove(n.clock.Now(), id)
	n.logger.Info("entry removed", "id", string(id), "gone", gone)
	n.update()
}

// Listed takes in the complete list of entries.
func (n *Node) Listed(ids map[kcrid.VM]bool) {
	if gone := n.fleet.Listed(n.clock.Now(), ids); len(gone) > 0 {
		n.logger.Info("upstreams not listed", "ids", gone)
	}
	n.update()
}

// update hands the upstreams that may get work to the table, and the processes
// beside engines to the homes.
func (n *Node) update() {
	var ups []kcrplace.Upstream
	var homes, leaving []string
	rules := n.rules.Rules()
	for _, m := range n.fleet.Members() {
		if m.Draining {
			leaving = append(leaving, m.Home)
			continue
		}
		ups = append(ups, kcrplace.Upstream{
			ID: m.ID, Service: m.Service, Addr: m.Addr, Zone: m.Zone, Slots: m.Slots, Born: m.Born, Cold: m.Cold,
		})
		if rules != nil && m.Home != "" && rules.Engines(m.Service) {
			homes = append(homes, m.Home)
		}
	}
	n.table.Update(n.clock.Now(), ups)
	if rules != nil && n.fleet.Known() {
		n.homes.update(n.clock.Now(), homes, leaving)
	}
}

// Ready tells whether the node can serve callers.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.rules.Rules() != nil && n.fleet.Known()
}

// Stop ends the node without cutting off a request: it is not ready at once,
// serves what still comes, finishes, and gives its escrow back before the
// context ends.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.logger.Info("stopping", "active", n.gateway.Active())
	serving := ctx
	if until, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		serving, cancel = context.WithDeadline(ctx, until.Add(-flushTime))
		defer cancel()
	}
	n.gateway.Stop(serving, settleTime)
	for _, b := range n.buckets {
		for _, a := range b.wallet.Excess(true) {
			n.giveBack(b, a)
		}
		b.wallet.Retire(n.clock.Now())
		b.kick()
	}
	n.flush(ctx)
	n.logger.Info("stopped", "active", n.gateway.Active())
	n.gateway.Close()
	n.cancel()
}

// Kill ends the node as the end of its process would: connections end, and
// nothing is given back. It is there for tests.
func (n *Node) Kill() {
	n.cancel()
	n.gateway.Close()
	for _, b := range n.buckets {
		b.close()
	}
	n.told.Close()
	if n.server != nil {
		n.server.Close()
	}
	n.pool.Close()
}

// flushTime is left of the time for a planned stop to give escrow back.
const flushTime = 400 * time.Millisecond

// flush waits until the escrow is back on the ledger.
func (n *Node) flush(ctx context.Context) {
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
		case <-time.After(tick):
		}
	}
}

// observe registers gauges of what the node believes.
func (n *Node) observe(c Config) {
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
