package kcrnode

import (
	"context"
	"sync"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrpermit"
	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrwire"
)

// This file defines how a router takes permits for requests to upstreams with a rate limit. The
// process beside an upstream issues them, or the home that ranks first for it if there is none
// beside it. Invariants: a router that gets no answer sends nothing to the upstream, except for
// one router, which issues permits to itself for ownShare of the rate; to a cold upstream no
// router does so while any home is known, since routers that are cut off may all hold themselves
// to be that one.

const (
	// permitTimeout bounds a call for a permit.
	permitTimeout = 100 * time.Millisecond
	// permitRetryDelay is how long no permit is asked for after a call that failed.
	permitRetryDelay = 250 * kcrclock.Millisecond
	// ownShare is the part of the rate that is left while others may get permits from a process
	// that this router does not reach.
	ownShare = 0.2
)

// permitDesk is what a router knows about the issuers of permits. It is safe for concurrent use.
type permitDesk struct {
	own *kcrpermit.Issuer // for upstreams whose issuer does not answer

	mu     sync.Mutex
	beside map[kcrid.VM]string // addresses of the processes beside upstreams
	silent silentHosts         // that have not answered
}

func newPermitDesk() *permitDesk {
	return &permitDesk{own: kcrpermit.New(), silent: silentHosts{}}
}

// update replaces the processes beside upstreams.
func (d *permitDesk) update(beside map[kcrid.VM]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.beside = beside
}

// issuer returns the address of the process beside an upstream, "" for none.
func (d *permitDesk) issuer(vm kcrid.VM) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.beside[vm]
}

// isSilent reports whether a process is not to be asked now.
func (d *permitDesk) isSilent(now kcrclock.Time, addr string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.silent.has(now, addr)
}

// recordFailure records that a process has not answered.
func (d *permitDesk) recordFailure(now kcrclock.Time, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.silent.add(addr, now.Add(permitRetryDelay))
}

// TakePermit takes a permit for one request to an upstream with a rate limit. If there is none,
// it returns the time until it is worth asking again.
func (n *Node) TakePermit(upstream kcrid.Incarnation, limit kcrplacement.RateLimit) (granted bool, wait kcrclock.Duration) {
	now := n.clock.Now()
	addr := n.permits.issuer(upstream.VM())
	sole := addr != ""
	if !sole {
		addr = n.homes.first(string(upstream.VM()))
	}
	if limit.Cold && !sole && n.fleet.StoreIsLost() {
		return false, permitRetryDelay // others may know of other homes, and ask one of them
	}
	if addr != "" && !n.permits.isSilent(now, addr) {
		granted, wait, err := n.callForPermit(addr, upstream, limit.PerSecond, sole)
		if err == nil {
			return granted, wait
		}
		n.permits.recordFailure(now, addr)
		n.logger.Warn("call for a permit failed", "id", string(upstream), "home", addr, "rate", limit.PerSecond, "err", err.Error())
	}
	if limit.Cold && addr != "" {
		return false, permitRetryDelay
	}
	if n.peers.Ready() && n.peers.OwnsItem(now, string(upstream)) {
		return n.permits.own.Take(now, upstream, ownShare*limit.PerSecond, false)
	}
	return false, permitRetryDelay
}

// callForPermit asks a process for a permit.
func (n *Node) callForPermit(addr string, upstream kcrid.Incarnation, rate float64, sole bool) (granted bool, wait kcrclock.Duration, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), permitTimeout)
	defer cancel()
	reply, err := n.pool.Call(ctx, addr, &kcrwire.Request{Kind: &kcrwire.Request_Permit{Permit: &kcrwire.Permit{Server: string(upstream), Rate: rate, Sole: sole}}})
	if err != nil {
		return false, 0, err
	}
	return reply.GetPermitted().GetGranted(), kcrclock.Duration(reply.GetPermitted().GetAfter()), nil
}

// ColdBounds bounds the requests that reach a cold upstream within a second: its rate times
// Overshoot, and Slack more.
type ColdBounds struct{ Overshoot, Slack float64 }

// limit returns the limit of the cold upstreams of a service.
func (b ColdBounds) limit(s *kcrrule.Service) kcrplacement.ColdLimit {
	if s == nil || s.ColdPerSecond <= 0 {
		return kcrplacement.ColdLimit{}
	}
	ceiling := s.ColdPerSecond*max(1, b.Overshoot) + b.Slack
	return kcrplacement.ColdLimit{
		PerSecond: min(s.ColdPerSecond, kcrpermit.RateWithin(ceiling, kcrclock.Second)), Start: s.ColdStart,
	}
}
