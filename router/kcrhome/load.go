package kcrhome

import (
	"context"
	"sync"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrload"
	"kingcuprun.example/link/kcrshare"
	"kingcuprun.example/link/kcrwire"
)

// This file makes a host the collector of a zone, for as long as routers tell it their load:
// it adds that up, and asks the collectors of other zones for their sums. Invariants:
// a host that no router tells its load calls nobody; a call to another collector that fails
// costs routers the load of that zone and nothing else.

const (
	// exchangeInterval is the time between two calls of the collector of another zone.
	exchangeInterval = 200 * kcrclock.Millisecond
	// exchangeTimeout bounds a call to another collector.
	exchangeTimeout = 150 * time.Millisecond
	// exchangePause is how long a collector is not called after a call that failed.
	exchangePause = kcrclock.Second
	// zoneLifetime is how long the load of another zone counts.
	zoneLifetime = kcrclock.Second
	// maxCollectors bounds the other collectors that are known; beyond it, all are forgotten.
	maxCollectors = 256
)

// collectorDesk is the collector of a host. It is safe for concurrent use.
type collectorDesk struct {
	collector *kcrload.Collector

	mu       sync.Mutex
	sequence uint64
	nextCall map[string]kcrclock.Time // by the address of another collector
}

func newCollectorDesk() *collectorDesk {
	return &collectorDesk{collector: kcrload.NewCollector(), nextCall: map[string]kcrclock.Time{}}
}

// isDue reports whether another collector is to be called now, and the number of the call. It
// counts as called then.
func (d *collectorDesk) isDue(now kcrclock.Time, addr string) (sequence uint64, due bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if now < d.nextCall[addr] {
		return 0, false
	}
	if len(d.nextCall) >= maxCollectors {
		clear(d.nextCall)
	}
	d.nextCall[addr] = now.Add(exchangeInterval)
	d.sequence++
	return d.sequence, true
}

// postpone puts off the next call of another collector.
func (d *collectorDesk) postpone(addr string, until kcrclock.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.nextCall[addr] = until
}

// handleShare answers a router that tells its load, or another collector.
func (h *Host) handleShare(req *kcrwire.Share) *kcrwire.Reply {
	now, collector := h.config.Clock.Now(), h.collector.collector
	var digest kcrload.Digest
	if req.GetZone() {
		digest = collector.Zone(now)
	} else {
		part, err := kcrshare.DecodePart(req)
		if err != nil {
			return &kcrwire.Reply{Error: err.Error()}
		}
		collector.Put(now, part)
		digest = collector.Others(now, part.From)
		h.exchange(now, req.GetOthers())
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Shared{Shared: kcrshare.EncodeDigest(digest)}}
}

// exchange starts the calls of other collectors that are due.
func (h *Host) exchange(now kcrclock.Time, addrs []string) {
	for _, addr := range addrs {
		if sequence, due := h.collector.isDue(now, addr); due {
			h.wg.Go(func() { h.learnZone(addr, sequence) })
		}
	}
}

// learnZone asks another collector for the load of the routers of its zone.
func (h *Host) learnZone(addr string, sequence uint64) {
	sent := h.config.Clock.Now()
	digest, err := h.callCollector(addr)
	now := h.config.Clock.Now()
	if err != nil {
		h.collector.postpone(addr, now.Add(exchangePause))
		h.config.Logger.Info("load of a zone not learned", "home", addr, "err", err.Error())
		return
	}
	h.collector.collector.Put(now, kcrload.Part{
		From: kcrid.Incarnation(addr), Sequence: sequence, Zone: true, Routers: digest.Routers, Servers: digest.Servers,
		Age: now.Sub(sent) + digest.Age, Lifetime: zoneLifetime,
	})
}

// callCollector calls another collector.
func (h *Host) callCollector(addr string) (d kcrload.Digest, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), exchangeTimeout)
	defer cancel()
	reply, err := h.pool.Call(ctx, addr, &kcrwire.Request{Kind: &kcrwire.Request_Share{Share: &kcrwire.Share{Zone: true}}})
	if err != nil {
		return d, err
	}
	return kcrshare.DecodeDigest(reply.GetShared())
}
