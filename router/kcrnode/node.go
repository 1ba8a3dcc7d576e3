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
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrfleet"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/kernel/kcrmemory"
	"kingcuprun.example/kernel/kcrpeer"
	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrtransfer"
	"kingcuprun.example/router/kcrgateway"
)

// This file defines the node: its construction, the updates that the embedding
// process passes to it, its periodic work, its planned stop and its metrics.
// Invariants: an older version of the configuration never replaces a newer one; a
// node that stops reports that it is not ready before it refuses any request.

// Config contains the settings and dependencies of a Node.
type Config struct {
	Self        kcrid.Incarnation
	Zone        kcrid.Zone
	ListenAddr  string   // address for callers
	ControlAddr string   // address for other routers, "" for none
	PeerAddrs   []string // addresses of other routers, used until some are known from the log
	// ParseRules parses the configuration in the operator's format.
	ParseRules   func([]byte) (*kcrrule.Rules, error)
	HeaderNames  kcrgateway.HeaderNames
	Report       kcrgateway.UpstreamReport
	Log          kcrlog.Log
	Clock        kcrclock.Clock
	BootClock    kcrbudget.BootClock // clock since the boot of the machine
	Logger       *slog.Logger
	Metrics      *prometheus.Registry
	EscrowPolicy kcrbudget.Policy // how much escrow to hold while no home answers
	Weights      kcrplacement.Weights
	Retries      kcrgateway.RetryLimits
	BucketCount  int        // number of budget buckets, the same in all processes
	ColdBounds   ColdBounds // for services that name a rate for cold upstreams
	// DroppedLogLines returns how many lines the logger has dropped.
	DroppedLogLines func() int64
	// EntryTimeout is the time in which the store removes the entry of an upstream that has
	// ended, with a margin; 0 if it is unknown. One whose entry stays has not crashed.
	EntryTimeout     kcrclock.Duration
	LinkBytes        float64           // speed of the machine's link in bytes per second, 0 if unknown
	SnapshotInterval kcrclock.Duration // time between snapshots of a stream
	// Machine is what the process may use.
	Machine kcrmemory.Machine
	// MaxDirectReads is the number of routers times that of upstreams up to which all
	// routers read all entries, 0 for the default of package kcrfleet.
	MaxDirectReads int
}

// Node is a running router.
type Node struct {
	self              kcrid.Incarnation
	clock             kcrclock.Clock
	logger            *slog.Logger
	rules             *kcrrule.ActiveRules
	fleet             *kcrfleet.Fleet
	table             *kcrplacement.Table
	crashes           *kcrcrash.Counter      // requests that crashed upstreams
	partSuspects      *kcrcrash.PartSuspects // parts of prompts that crash upstreams
	crashReview       *kcrcrash.Review       // upstreams that count as crashed
	crashesKnown      atomic.Bool            // a crash was counted or reported
	crashesLearned    chan struct{}          // closed once the log or a peer has told of the crashes
	markLearned       func()                 // closes crashesLearned
	configuredAt      atomic.Int64           // time of the first configuration
	gateway           *kcrgateway.Gateway
	buckets           []*bucket
	peers             *kcrpeer.Registry
	peerFollower      *kcrdaemon.Follower
	relay             *relay
	escrowChanged     *kcrdaemon.Signal // wakes requests that wait for escrow
	homes             *homeDirectory
	permits           *permitDesk
	origins           *originDesk
	zones             *zoneDesk
	loads             *loadDesk
	zone              kcrid.Zone
	loans             prometheus.Counter // loans started
	lostSessions      prometheus.Counter
	lossLines         kcrdaemon.LineLimit
	transfers         kcrdaemon.Activity // loans and returns of escrow in progress
	borrowingEnded    atomic.Bool        // no loan starts any more, and all borrowed escrow is returned
	coldBounds        ColdBounds
	pool              *kcrlink.Pool
	server            *kcrlink.Server // for other routers, nil without a control address
	parseRules        func([]byte) (*kcrrule.Rules, error)
	bootClock         kcrbudget.BootClock
	entriesReadAt     atomic.Int64          // of bootClock, when the list of upstreams was that of the store
	fetches           *kcrtransfer.Patience // requests to peers for the configuration
	loanCalls         *kcrtransfer.Patience // calls of homes for loans
	configAskedAt     atomic.Int64          // of bootClock, when the store was last asked for the configuration
	configCurrentAt   atomic.Int64          // of bootClock, when the configuration in force was known to be the newest, 0 for never
	configUnavailable atomic.Bool           // the store does not provide the configuration
	unreadVersions    atomic.Int64          // records that the operator's topic holds beyond those read
	configDoubts      atomic.Int32          // peers to ask whether they have a newer configuration than the store
	bansLost          atomic.Bool           // the peer stream may lack records of bans
	stopping          atomic.Bool
	updating          sync.Mutex  // held while upstreams are passed on
	entriesChanged    atomic.Bool // entries were applied that updateUpstreams has not passed on
	cancel            context.CancelFunc
	wg                conc.WaitGroup
}

// noteLostSession records that a session of another process lost its place.
func (n *Node) noteLostSession(peer net.Addr, why string) {
	n.lostSessions.Inc()
	if n.lossLines.Allow(n.clock.Now()) {
		n.logger.Warn("session lost", "peer", peer.String(), "why", why)
	}
}

// Timing and limits of a node.
const (
	// tickInterval is the time between two runs of the periodic work.
	tickInterval = 50 * time.Millisecond
	// missingEntryGrace is how long an upstream is kept whose entry is missing after
	// an outage of the store. Most entries are back by then, and an engine that left
	// just after a short outage gets no request two seconds later.
	missingEntryGrace = 1600 * kcrclock.Millisecond
	// maxCrashes is how many upstreams a request may crash, or a part of prompts in
	// sequence.
	maxCrashes = 3
	// assumedRouters is the number of routers that are assumed to share the escrow
	// while this router knows no others.
	assumedRouters = 3
	// notReadyDelay is how long the load balancer may still send new connections
	// after the node reports that it is not ready: two health checks, a second apart.
	notReadyDelay = 2300 * time.Millisecond
)

// New starts a node.
func New(c Config) (n *Node, err error) {
	n = &Node{
		self:          c.Self,
		clock:         c.Clock,
		logger:        c.Logger,
		rules:         kcrrule.NewActiveRules(kcrrule.Newer),
		fleet:         kcrfleet.New(missingEntryGrace),
		table:         kcrplacement.New(c.Zone, c.Weights),
		crashes:       kcrcrash.New(maxCrashes),
		partSuspects:  kcrcrash.NewPartSuspects(maxCrashes),
		crashReview:   kcrcrash.NewReview(c.EntryTimeout),
		escrowChanged: kcrdaemon.NewSignal(),
		homes:         newHomeDirectory(),
		permits:       newPermitDesk(),
		origins:       newOriginDesk(),
		zones:         newZoneDesk(),
		loads:         newLoadDesk(),
		zone:          c.Zone,
		loans:         prometheus.NewCounter(prometheus.CounterOpts{Name: "kcr_loans_total", Help: "Loans that were started, whether a home answered or not."}),
		lostSessions:  prometheus.NewCounter(prometheus.CounterOpts{Name: "kcr_sessions_lost_total", Help: "Sessions of other processes that lost their place or got none."}),
		peers:         kcrpeer.New(c.Self, c.ControlAddr),
		pool:          kcrlink.NewPool(),
		fetches:       kcrtransfer.NewPatience(longestFetchTimeout),
		loanCalls:     kcrtransfer.NewPatience(homeCallTimeout),
		coldBounds:    c.ColdBounds,
		parseRules:    c.ParseRules,
		bootClock:     c.BootClock,
	}
	n.crashesLearned = make(chan struct{})
	n.markLearned = sync.OnceFunc(func() { close(n.crashesLearned) })
	n.configUnavailable.Store(true)
	n.DoubtConfig()
	if c.ControlAddr != "" {
		if n.server, err = kcrlink.ListenWithin(c.ControlAddr, kcrmemory.New(c.Machine.Peers()), n.noteLostSession, n.handlePeerRequest); err != nil {
			return nil, err
		}
	}
	n.gateway, err = kcrgateway.New(kcrgateway.Config{
		ListenAddr: c.ListenAddr, HeaderNames: c.HeaderNames, Clock: c.Clock, Logger: c.Logger, Metrics: c.Metrics,
		Rules: n.rules, Upstreams: n.table, Crashes: n.crashes, Retries: c.Retries, Machine: c.Machine, RouterCount: n.knownRouters, OnLeaving: n.reportLeaving, OnCrash: n.reportCrash, OnContentCleared: n.reportCleared, AwaitCrashes: n.awaitCrashes,
		PartSuspects: n.partSuspects, OnPartLevels: n.reportParts, TakePermit: n.TakePermit, NoteOrigin: n.NoteOrigin, FindOrigin: n.FindOrigin,
		IsEmptied: n.zones.orders.IsEmptied, OnlyEmptied: n.zones.isShut,
		RulesAreCurrent: n.configIsCurrent, UpstreamsAreCurrent: n.upstreamsAreCurrent, Report: c.Report,
		LinkBytesPerSecond: c.LinkBytes,
		Budget:             kcrgateway.TeamBudget{Reserve: n.Reserve, Settle: n.Settle, StoreIsLost: n.fleet.StoreIsLost},
	})
	if err != nil {
		return nil, err
	}
	for i := range c.BucketCount {
		n.buckets = append(n.buckets, n.newBucket(c, i))
	}
	n.followPeers(c)
	n.relay = newRelay(n, c)
	n.registerMetrics(c)
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.wg.Go(func() { n.fetchFromPeers(ctx, c.PeerAddrs) })
	n.wg.Go(func() { n.shareLoads(ctx) })
	n.wg.Go(func() { kcrdaemon.RunEvery(ctx, tickInterval, func(context.Context) { n.tick() }) })
	return n, nil
}

// knownRouters returns how many routers share the retry budget, 0 if it is unknown.
func (n *Node) knownRouters() int { return n.peers.KnownRouters(n.clock.Now()) }

// escrowSharers returns how many routers share the escrow while no home answers.
func (n *Node) escrowSharers() int {
	if count := n.knownRouters(); count > 1 {
		return count
	}
	return assumedRouters
}

// tick runs the periodic work.
func (n *Node) tick() {
	now := n.clock.Now()
	if removed := n.fleet.RemoveExpired(now); len(removed) > 0 {
		n.logger.Info("upstreams removed: their entries did not return after an outage of the store", "ids", removed)
		n.updateUpstreams()
	}
	n.peers.Tick(now)
	n.relay.tick(now)
	if n.peers.HasUnconfirmed() {
		n.peerFollower.Wake()
	}
	n.retractCrashes(now)
	n.publishLimits()
	for _, b := range n.buckets {
		n.unfollowIfUnused(b)
		b.wallet.Tick(now)
		if b.wallet.HasUnconfirmed() {
			b.wakeFollower()
		}
		n.rebalance(b)
	}
}

// ApplyConfig parses a version of the configuration and puts it in force if it is newer
// than the current one. A version that is not newer is ignored without an error. Source is
// FromStore or the address of a peer.
func (n *Node) ApplyConfig(raw []byte, source string) (err error) {
	defer kcrerror.Annotate(&err, "configuration")
	started := n.clock.Now()
	r, err := n.parseRules(raw)
	if err != nil {
		return err
	}
	r.Source = raw
	n.configuredAt.CompareAndSwap(0, int64(started))
	if !n.rules.Apply(r) {
		n.logger.Info("configuration ignored: not newer than the one in force", "version", r.Version, "inforce", n.rules.Rules().Version, "source", source)
		return nil
	}
	n.updateUpstreams()
	n.publishLimits()
	n.logger.Info("configuration in force", "version", r.Version, "teams", len(r.Teams), "services", len(r.Services),
		"bytes", len(raw), "ms", int64(n.clock.Now().Sub(started)), "source", source)
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

// StoreResponded records that the store has answered a query for the entries of upstreams.
func (n *Node) StoreResponded() {
	n.relay.recordStoreRead(n.clock.Now())
	n.recordCurrent()
}

// recordCurrent records that the list of upstreams is that of the store.
func (n *Node) recordCurrent() {
	n.fleet.StoreResponded(n.clock.Now())
	n.entriesReadAt.Store(int64(n.bootClock.Now()))
}

// maxEntryAge is the age up to which the list of upstreams counts as current. It is longer than the
// store holds a read.
const maxEntryAge = kcrclock.Second

// upstreamsAreCurrent reports whether the list of upstreams is that of a moment ago. The clock
// counts the time in which the machine was suspended.
func (n *Node) upstreamsAreCurrent() bool {
	age := n.bootClock.Now().Sub(kcrclock.Time(n.entriesReadAt.Load()))
	return n.entriesReadAt.Load() > 0 && age <= maxEntryAge && !n.fleet.StoreIsLost()
}

// ReadsEntries reports whether the entries of upstreams are to be read from the store.
// While it returns false, other routers tell this one what has changed.
func (n *Node) ReadsEntries() bool { return !n.relay.reliesOnRelays() }

// StoreLost records that the store does not answer queries for the entries of upstreams.
func (n *Node) StoreLost() { n.fleet.StoreLost() }

// SetConfigUnavailable sets whether the store fails to provide the configuration. While
// it does, the node asks its peers for it.
func (n *Node) SetConfigUnavailable(unavailable bool) { n.configUnavailable.Store(unavailable) }

// ConfigAsked records that the store is asked for the configuration.
func (n *Node) ConfigAsked() { n.configAskedAt.Store(int64(n.bootClock.Now())) }

// ConfigCurrent records that the configuration in force was the newest one when the store was last
// asked for it.
func (n *Node) ConfigCurrent() { n.configCurrentAt.Store(n.configAskedAt.Load()) }

// configAge returns the time since the configuration in force was known to be the newest one, and
// false if it never was. The clock counts the time in which the machine was suspended.
func (n *Node) configAge() (age kcrclock.Duration, known bool) {
	at := n.configCurrentAt.Load()
	return n.bootClock.Now().Sub(kcrclock.Time(at)), at > 0
}

// maxConfigAge is the age up to which the configuration in force counts as the newest one. It is longer
// than the store holds a read, and shorter than the time in which a version must be in force.
const maxConfigAge = 1500 * kcrclock.Millisecond

// configIsCurrent reports whether the configuration in force was the newest one a moment ago.
func (n *Node) configIsCurrent() bool {
	age, known := n.configAge()
	return known && age <= maxConfigAge
}

// RecordUnreadVersions records how many records of the operator's topic the store holds beyond
// those that it has returned.
func (n *Node) RecordUnreadVersions(count int64) { n.unreadVersions.Store(count) }

// DoubtConfig tells that the store may provide an older configuration than it has before. The
// node asks some of its peers for a newer one.
func (n *Node) DoubtConfig() { n.configDoubts.Store(doubtedFetches) }

// ApplyEntry adds or updates the entry of an upstream. It takes effect with the next call
// of EntriesApplied.
func (n *Node) ApplyEntry(m kcrfleet.Member) {
	if n.fleet.ApplyEntry(n.clock.Now(), m) {
		n.logger.Info("upstream entry changed", "id", string(m.ID), "service", string(m.Service), "addr", m.Addr, "zone", string(m.Zone), "version", m.Version,
			"draining", m.Draining, "born", m.Born, "cold", int64(m.Cold), "seq", m.Sequence)
		n.entriesChanged.Store(true)
	}
}

// RemoveEntry records that the entry of an upstream is gone from the store. It takes
// effect with the next call of EntriesApplied. Shortly after an outage of the store, the
// upstream is kept for missingEntryGrace.
func (n *Node) RemoveEntry(id kcrid.VM) {
	gone := n.fleet.Remove(n.clock.Now(), id)
	n.logger.Info("upstream entry removed", "id", string(id), "gone", gone)
	n.entriesChanged.Store(true)
}

// ApplyList records the complete list of entries in the store. Each other upstream is
// treated like one passed to RemoveEntry. It takes effect with the next call of
// EntriesApplied.
func (n *Node) ApplyList(ids map[kcrid.VM]bool) {
	if removed := n.fleet.ApplyList(n.clock.Now(), ids); len(removed) > 0 {
		n.logger.Info("upstreams removed: not in the list of the store", "ids", removed)
	}
	n.entriesChanged.Store(true)
}

// EntriesApplied tells that all entries of one response of the store were applied, and
// puts them into effect together: the cost of that grows with the number of upstreams.
func (n *Node) EntriesApplied() {
	if n.entriesChanged.Swap(false) {
		n.updateUpstreams()
	}
}

// UpstreamCount returns the number of upstreams that take new requests.
func (n *Node) UpstreamCount() (count int) {
	for _, m := range n.fleet.Members() {
		if !m.Draining {
			count++
		}
	}
	return count
}

// updateUpstreams passes the upstreams that take requests, or will once their zone is emptied no
// more, to the placement table, closes idle connections to the latter, and passes the addresses of
// the processes beside engines to the directory of homes and the permit desk.
func (n *Node) updateUpstreams() {
	n.updating.Lock()
	defer n.updating.Unlock()
	var upstreams []kcrplacement.Upstream
	var homes, leaving []string
	var emptied, open []kcrfleet.Member
	beside := map[kcrid.VM]string{}
	homesByZone := map[kcrid.Zone][]string{}
	homesByVersion, leavingByVersion := map[string][]string{}, map[string][]string{}
	rules := n.rules.Rules()
	for _, m := range n.fleet.Reachable() {
		if m.Draining {
			leaving = append(leaving, m.Home)
			if m.Home != "" {
				leavingByVersion[m.Version] = append(leavingByVersion[m.Version], m.Home)
			}
			continue
		}
		isEmptied := n.zones.orders.IsEmptied(m.Zone)
		if isEmptied {
			emptied = append(emptied, m)
			n.gateway.CloseIdle(m.ID, m.Addr)
		} else {
			open = append(open, m)
		}
		upstream := kcrplacement.Upstream{
			ID: m.ID, Service: m.Service, Addr: m.Addr, Zone: m.Zone, Version: m.Version, Slots: m.Slots, StartedAt: m.Born, WarmupRemaining: m.Cold, EntrySequence: m.Sequence, Emptied: isEmptied,
		}
		if rules != nil {
			upstream.Capacity = rules.KVCapacity(m.Service)
			upstream.Cold = n.coldBounds.limit(rules.Services[m.Service])
		}
		upstreams = append(upstreams, upstream)
		if rules != nil && m.Home != "" && rules.HasEngines(m.Service) {
			homes = append(homes, m.Home)
			beside[m.ID] = m.Home
			homesByZone[m.Zone] = append(homesByZone[m.Zone], m.Home)
			homesByVersion[m.Version] = append(homesByVersion[m.Version], m.Home)
		}
	}
	n.table.Update(n.clock.Now(), upstreams)
	n.zones.update(emptied, open)
	if rules != nil && n.fleet.HasMembers() {
		n.homes.update(n.clock.Now(), homes, leaving)
		n.permits.update(beside)
		n.loads.update(homesByZone)
		n.origins.update(homesByVersion, leavingByVersion)
	}
}

// Ready reports whether the node can serve callers: it has a configuration, knows
// the upstreams and is not stopping.
func (n *Node) Ready() bool {
	return !n.stopping.Load() && n.rules.Rules() != nil && n.fleet.HasMembers() && !n.gateway.LinkIsFull()
}

// Stop is a planned stop that cuts off no request before the deadline of ctx. The
// node reports that it is not ready, serves the requests that still arrive, waits
// for all of them to end, and returns its escrow before ctx ends.
func (n *Node) Stop(ctx context.Context) {
	n.stopping.Store(true)
	n.logger.Info("stopping", "active", n.gateway.ActiveRequests())
	serving := ctx
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		serving, cancel = context.WithDeadline(ctx, deadline.Add(-escrowReturnTime))
		defer cancel()
	}
	n.gateway.Stop(serving, notReadyDelay)
	n.borrowingEnded.Store(true)
	// Loans in flight come first, since Retire reports the spending that no loan covers. One
	// that comes later still is returned by receiveLoan.
	n.transfers.Wait(serving)
	for _, b := range n.buckets {
		n.returnExcess(b)
		b.wallet.Retire(n.clock.Now())
		b.wakeFollower()
	}
	n.transfers.Wait(ctx)
	n.waitForAppends(ctx)
	n.logger.Info("stopped", "active", n.gateway.ActiveRequests())
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
	n.relay.close()
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
		unconfirmed := false
		for _, b := range n.buckets {
			unconfirmed = unconfirmed || b.wallet.HasUnconfirmed()
		}
		if !unconfirmed {
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
	}, func() float64 { return float64(c.DroppedLogLines()) }))
	c.Metrics.MustRegister(n.loans, n.lostSessions, n.loads.calls, &paceCollector{paces: n.table.Paces})
	gauge("kcr_loads_age_seconds", "Mean age of what is known of the load of other routers, NaN before the first digest.", func() float64 {
		return n.loads.ageSeconds(n.clock.Now())
	})
	gauge("kcr_loads_upstreams", "Upstreams in the last digest of the load of other routers.", func() float64 {
		return float64(n.loads.knownUpstreams())
	})
	gauge("kcr_active_requests", "Requests under way.", func() float64 { return float64(n.gateway.ActiveRequests()) })
	gauge("kcr_fleet_age_seconds", "Time since the store answered with entries.", func() float64 { return n.fleet.SinceLastContact(n.clock.Now()).Seconds() })
	gauge("kcr_emptied_zones", "Zones that the operator has emptied.", func() float64 { return float64(n.zones.orders.Count()) })
	gauge("kcr_config_version", "Version of the configuration in force.", func() float64 {
		if rules := n.rules.Rules(); rules != nil {
			return float64(rules.Version)
		}
		return 0
	})
	gauge("kcr_config_age_seconds", "Time since the configuration in force was known to be the newest one, NaN before that.", func() float64 {
		if age, known := n.configAge(); known {
			return age.Seconds()
		}
		return math.NaN()
	})
	gauge("kcr_config_unread", "Records of the operator's topic that the last response of the store left unread.", func() float64 { return float64(n.unreadVersions.Load()) })
	gauge("kcr_escrow_free_tokens", "Tokens held and not reserved.", func() (sum float64) {
		if rules := n.rules.Rules(); rules != nil {
			for i := range rules.Teams {
				sum += float64(n.bucketOf(rules.Teams[i].Name).wallet.Holding(kcrid.Plan(rules.Teams[i].Name)).Free)
			}
		}
		return sum
	})
}
