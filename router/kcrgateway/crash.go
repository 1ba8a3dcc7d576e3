package kcrgateway

import (
	"context"
	"net"
	"strconv"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
)

// This file finds the requests that crash upstreams. Invariant: each attempt that ended without a
// complete response, for whatever reason, leads to a check whether its upstream still runs.

// checkInterval is the time between two looks for upstreams that are due to be checked.
const checkInterval = 50 * time.Millisecond

// probeTimeout bounds the connection attempt that distinguishes an unreachable
// upstream from a busy one.
const probeTimeout = 100 * time.Millisecond

// accepts reports whether an upstream accepts a connection. A busy upstream still does.
func accepts(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// upstreamUnreachable reports whether the upstream accepts no connection and sends nothing on
// others: a router that is short of processor time may be too late to see one accepted.
func (a *attempt) upstreamUnreachable() bool {
	start := a.x.gateway.clock.Now()
	return !accepts(a.choice.Addr) && a.choice.HeardAt() < start
}

// lostRun describes the run of an attempt without a complete response, of which the caller has
// got some events.
func (a *attempt) lostRun(now kcrclock.Time, events int) kcrcrash.LostRun {
	return kcrcrash.LostRun{
		Upstream: incarnationOf(a.choice), Addr: a.choice.Addr, HeardAt: a.choice.HeardAt,
		Content: a.x.content, Parts: a.suspects, Events: events, At: now,
	}
}

// watchSilence makes the upstream be checked if no response begins for long. The attempt goes
// on: some requests may be sent to no other upstream, and wait until their deadline.
func (a *attempt) watchSilence() {
	g := a.x.gateway
	a.silence = time.AfterFunc(max(minPlainWait, a.x.route.LatencyTarget).Std(), func() {
		g.watch.Silent(a.lostRun(g.clock.Now(), 0))
	})
}

// checkUpstream makes the upstream of an attempt that ended be checked, unless the request was not
// sent or was answered.
func (a *attempt) checkUpstream(now kcrclock.Time, result kcrplacement.Result) {
	if a.silence == nil {
		return
	}
	a.silence.Stop()
	g := a.x.gateway
	switch {
	case a.unreachable:
		g.countCrash(a.lostRun(now, a.events))
	case result == kcrplacement.ConnectionLost:
		g.probeForCrash(a.lostRun(now, a.events))
	case result == kcrplacement.Stalled, result == kcrplacement.CallerLeft:
		g.watch.Lost(a.lostRun(now, a.events))
	}
}

// responseStarted records that the response has begun to arrive.
func (a *attempt) responseStarted() {
	a.silence.Stop()
	a.notePace(a.choice.ResponseStarted(a.x.gateway.clock.Now()))
	a.x.passTurnOn()
}

// notePace logs a change of an upstream's class of pace.
func (a *attempt) notePace(class int, changed bool) {
	if changed {
		a.x.gateway.logger.Info("pace of upstream", "service", string(a.x.service), "id", string(a.choice.ID), "class", class, "req", a.x.id)
	}
}

// probeForCrash probes an upstream whose connection ended before its response did. If it
// accepts no connection, the run counts as one that has crashed it. For a run without any
// event the probe is awaited, because the next attempt depends on what it shows.
func (g *Gateway) probeForCrash(run kcrcrash.LostRun) {
	probe := func() {
		if !accepts(run.Addr) {
			g.countCrash(run)
			return
		}
		g.watch.Lost(run)
	}
	if run.Events == 0 {
		probe()
		return
	}
	g.goroutines.Go(probe)
}

// checkDue checks the upstreams on which runs have ended without a response, if that is due.
func (g *Gateway) checkDue(context.Context) {
	if g.watch.Empty() {
		return
	}
	for _, p := range g.watch.Due(g.clock.Now()) {
		g.goroutines.Go(func() { g.check(p) })
	}
}

// check probes an upstream. If it accepts no connection, the runs that ended there count as ones
// that have crashed it.
func (g *Gateway) check(p kcrcrash.Probe) {
	start := g.clock.Now()
	if accepts(p.Addr) {
		g.watch.Alive(g.clock.Now(), p.Upstream)
		return
	}
	for _, run := range g.watch.Unreachable(start, p.Upstream) {
		g.countCrash(run)
	}
}

// countCrash records that a run crashed its upstream.
func (g *Gateway) countCrash(run kcrcrash.LostRun) {
	g.table.RecordLost(g.clock.Now(), run.Upstream)
	if crash := (kcrcrash.Crash{Content: run.Content, Upstream: run.Upstream}); g.config.Crashes.RecordCrash(crash) {
		g.logger.Info("crash", "content", uint64(run.Content), "id", string(run.Upstream), "count", g.config.Crashes.CrashedUpstreams(run.Content),
			"events", run.Events, "parts", run.Parts.String(), "after", int64(g.clock.Now().Sub(run.At)))
		g.config.OnCrash(crash)
	}
	if run.Events == 0 {
		g.raiseParts(run.Parts, run.Upstream)
	}
}

// raiseParts records that a run without any event crashed an upstream. An upstream that
// crashes as it begins to answer a part of a prompt sends no event.
func (g *Gateway) raiseParts(suspects kcrcrash.Run, upstream kcrid.Incarnation) {
	raised := g.config.PartSuspects.Crashed(suspects, upstream)
	if len(raised) == 0 {
		return
	}
	for _, p := range raised {
		g.logger.Info("part suspected", "part", strconv.FormatUint(uint64(p.Part), 16), "level", p.Level, "id", string(upstream))
	}
	g.config.OnPartLevels(raised)
}

// clearSuspicions records that a request was answered completely: neither it nor a part of its
// prompt crashes upstreams.
func (x *exchange) clearSuspicions() {
	if x.gateway.config.Crashes.RecordServed(x.content) {
		x.gateway.logger.Info("content cleared", "content", uint64(x.content), "req", x.id)
		x.gateway.config.OnContentCleared(x.content)
	}
	cleared := x.gateway.config.PartSuspects.Served(x.usage.sharedParts)
	if len(cleared) == 0 {
		return
	}
	for _, p := range cleared {
		x.gateway.logger.Info("part cleared", "part", strconv.FormatUint(uint64(p.Part), 16), "req", x.id)
	}
	x.gateway.config.OnPartLevels(cleared)
}
