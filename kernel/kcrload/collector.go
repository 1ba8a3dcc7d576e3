package kcrload

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the collector, which adds up what routers tell it. Each zone has one;
// the collectors exchange the sums of their zones. Invariants: of each sender the newest part
// counts, once, and for its lifetime only; no digest contains the part of the one who asks,
// and none for a collector contains the parts of other zones, so that nothing counts twice.

// maxSenders bounds the senders that a collector knows; beyond it, others are refused.
const maxSenders = 1024

// Part is what one sender tells a collector.
type Part struct {
	From     kcrid.Incarnation
	Sequence uint64 // increases with each part of the sender
	Zone     bool   // the sender is the collector of another zone
	Routers  int    // routers whose load it is
	Servers  []Server
	Age      kcrclock.Duration // of the load when it was sent
	Lifetime kcrclock.Duration // how long it counts
}

// keptPart is a part that counts.
type keptPart struct {
	Part
	at      kcrclock.Time // of the load
	running int
}

// Collector adds up parts. It is safe for concurrent use.
type Collector struct {
	mu     sync.Mutex
	parts  map[kcrid.Incarnation]*keptPart
	totals [2]map[Key]Load // of routers, and of collectors of other zones
}

// NewCollector returns a collector that was told nothing.
func NewCollector() *Collector {
	return &Collector{parts: map[kcrid.Incarnation]*keptPart{}, totals: [2]map[Key]Load{{}, {}}}
}

// totalOf returns the sums to which a part is added.
func (c *Collector) totalOf(p *Part) map[Key]Load {
	if p.Zone {
		return c.totals[1]
	}
	return c.totals[0]
}

// Put replaces the part of a sender. It reports false for one that is not newer than the last
// of its sender, or that has no room.
func (c *Collector) Put(now kcrclock.Time, p Part) (taken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetOld(now)
	previous := c.parts[p.From]
	if previous != nil && p.Sequence <= previous.Sequence || previous == nil && len(c.parts) >= maxSenders {
		return false
	}
	if previous != nil {
		c.remove(previous)
	}
	p.Servers = Bound(p.Servers)
	kept := &keptPart{Part: p, at: now.Add(-p.Age)}
	total := c.totalOf(&p)
	for _, s := range p.Servers {
		l := total[s.Key]
		l.add(s.Load)
		total[s.Key] = l
		kept.running += s.Running
	}
	c.parts[p.From] = kept
	return true
}

// remove takes a part out of the sums.
func (c *Collector) remove(p *keptPart) {
	delete(c.parts, p.From)
	total := c.totalOf(&p.Part)
	for _, s := range p.Servers {
		l := total[s.Key]
		l.subtract(s.Load)
		if l == (Load{}) {
			delete(total, s.Key)
			continue
		}
		total[s.Key] = l
	}
}

// forgetOld removes the parts whose lifetime has passed.
func (c *Collector) forgetOld(now kcrclock.Time) {
	for _, p := range c.parts {
		if now.Sub(p.at) > p.Lifetime {
			c.remove(p)
		}
	}
}

// Others returns the sum of what others than a router have told.
func (c *Collector) Others(now kcrclock.Time, router kcrid.Incarnation) Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetOld(now)
	sum := make(map[Key]Load, len(c.totals[0])+len(c.totals[1]))
	for _, total := range c.totals {
		for key, l := range total {
			s := sum[key]
			s.add(l)
			sum[key] = s
		}
	}
	if own := c.parts[router]; own != nil {
		for _, s := range own.Servers {
			l := sum[s.Key]
			l.subtract(s.Load)
			sum[s.Key] = l
		}
	}
	return c.digest(now, sum, func(p *keptPart) bool { return p.From != router })
}

// Zone returns the sum of what the routers of this collector have told.
func (c *Collector) Zone(now kcrclock.Time) Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetOld(now)
	return c.digest(now, c.totals[0], func(p *keptPart) bool { return !p.Zone })
}

// digest returns the digest of a sum of the parts for which counts returns true.
func (c *Collector) digest(now kcrclock.Time, sum map[Key]Load, counts func(*keptPart) bool) (d Digest) {
	for key, l := range sum {
		if l.Running > 0 {
			d.Servers = append(d.Servers, Server{Key: key, Load: l})
		}
	}
	d.Servers = Bound(d.Servers)
	running, age := 0, kcrclock.Duration(0)
	for _, p := range c.parts {
		if counts(p) {
			d.Routers += p.Routers
			running += p.running
			age += now.Sub(p.at) * kcrclock.Duration(p.running)
		}
	}
	d.Age = age / kcrclock.Duration(max(1, running))
	return d
}
