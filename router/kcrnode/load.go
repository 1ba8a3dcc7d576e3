package kcrnode

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrload"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrshare"
	"kingcuprun.example/link/kcrwire"
)

// This file defines how a router learns what other routers have at upstreams: it tells its own
// load to the collector of its zone, a process beside an upstream, and gets the sum of the
// others. Invariants: a call carries one digest of bounded size each way; a router whose calls
// fail, or that is alone, goes by its own load.

const (
	// shareTimeout bounds a call of a collector.
	shareTimeout = 150 * time.Millisecond
	// sharePause is how long a collector that has failed is passed over.
	sharePause = 2 * kcrclock.Second
	// collectorItem is the item for which processes are ranked as collectors.
	collectorItem = "loads"
	// maxCollectorRank bounds the processes of a zone that may be its collector at a time.
	maxCollectorRank = 3
)

// loadDesk is what a router knows about collectors. It is safe for concurrent use.
type loadDesk struct {
	sequence uint64 // of the last call; used by one goroutine
	silent   bool   // the last call failed; used by one goroutine
	calls    *prometheus.CounterVec

	mu        sync.Mutex
	zones     map[kcrid.Zone][]string // processes beside upstreams, in the order of preference
	failed    silentHosts             // collectors
	upstreams int                     // with a process beside them
	digestAt  kcrclock.Time           // when the load in the last digest was, in the mean
	known     int                     // upstreams in the last digest
	hasDigest bool
}

func newLoadDesk() *loadDesk {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_loads_calls_total", Help: "Calls for the load of other routers, by how they ended."}, []string{"result"})
	return &loadDesk{calls: calls, failed: silentHosts{}}
}

// update replaces the processes beside upstreams, by their zone.
func (d *loadDesk) update(homes map[kcrid.Zone][]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.zones, d.upstreams = homes, 0
	for zone, addrs := range homes {
		d.zones[zone] = rankFor(collectorItem, addrs)
		d.upstreams += len(addrs)
	}
}

// collectors returns the collector to call for a router in a zone, "" for none, those of the
// other zones, and the number of upstreams with a process beside them.
func (d *loadDesk) collectors(now kcrclock.Time, zone kcrid.Zone) (own string, others []string, upstreams int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.zones[zone]) == 0 {
		zone = d.substitute()
	}
	for name, addrs := range d.zones {
		addrs = addrs[:min(len(addrs), maxCollectorRank)]
		i := slices.IndexFunc(addrs, func(addr string) bool { return !d.failed.has(now, addr) })
		switch {
		case name != zone:
			others = append(others, addrs[0])
		case i >= 0:
			own = addrs[i]
		}
	}
	return own, others, d.upstreams
}

// substitute returns the zone whose collector serves routers of zones without upstreams.
func (d *loadDesk) substitute() (zone kcrid.Zone) {
	for name := range d.zones {
		if zone == "" || name < zone {
			zone = name
		}
	}
	return zone
}

// recordFailure records that a collector has not answered.
func (d *loadDesk) recordFailure(now kcrclock.Time, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed.add(addr, now.Add(sharePause))
}

// recordDigest records the digest in force.
func (d *loadDesk) recordDigest(at kcrclock.Time, known int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.digestAt, d.known, d.hasDigest = at, known, true
}

// ageSeconds returns the age of the digest in force for metrics, not a number if none has come.
func (d *loadDesk) ageSeconds(now kcrclock.Time) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.hasDigest {
		return math.NaN()
	}
	return now.Sub(d.digestAt).Seconds()
}

// knownUpstreams returns the number of upstreams in the digest in force.
func (d *loadDesk) knownUpstreams() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.known
}

// shareLoads tells this router's load and learns that of others, until ctx is done.
func (n *Node) shareLoads(ctx context.Context) {
	for interval := kcrload.Interval(0, 0); ctx.Err() == nil; {
		kcrdaemon.Sleep(ctx, interval.Std()/2+rand.N(interval.Std())) //nolint:gosec // needs no secret numbers
		interval = n.shareLoad(ctx)
	}
}

// shareLoad calls the collector once, and returns the time between two calls.
func (n *Node) shareLoad(ctx context.Context) (interval kcrclock.Duration) {
	d, now := n.loads, n.clock.Now()
	addr, others, upstreams := d.collectors(now, n.zone)
	routers := n.peers.KnownRouters(now)
	interval = kcrload.Interval(upstreams, routers/(1+len(others)))
	if addr == "" || routers == 1 {
		return interval
	}
	d.sequence++
	req := kcrshare.EncodePart(kcrload.Part{From: n.self, Sequence: d.sequence, Servers: kcrload.Bound(n.table.OwnLoads()), Lifetime: kcrload.Lifetime(interval)})
	req.Others = others
	digest, err := n.callCollector(ctx, addr, req)
	if err != nil {
		n.recordShareFailure(addr, err)
		return interval
	}
	n.table.RecordLoads(now, kcrload.Lifetime(interval), digest)
	d.recordDigest(now.Add(-digest.Age), len(digest.Servers))
	d.calls.WithLabelValues("answered").Inc()
	if d.silent {
		d.silent = false
		n.logger.Info("load of other routers learned again", "home", addr, "routers", digest.Routers, "servers", len(digest.Servers), "age", int64(digest.Age))
	}
	return interval
}

// recordShareFailure records that a collector has not answered.
func (n *Node) recordShareFailure(addr string, err error) {
	n.loads.recordFailure(n.clock.Now(), addr)
	n.loads.calls.WithLabelValues("failed").Inc()
	if !n.loads.silent {
		n.loads.silent = true
		n.logger.Warn("load of other routers not learned", "home", addr, "err", err.Error())
	}
}

// callCollector calls a collector.
func (n *Node) callCollector(ctx context.Context, addr string, req *kcrwire.Share) (d kcrload.Digest, err error) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	reply, err := n.pool.Call(ctx, addr, &kcrwire.Request{Kind: &kcrwire.Request_Share{Share: req}})
	if err != nil {
		return d, err
	}
	return kcrshare.DecodeDigest(reply.GetShared())
}
