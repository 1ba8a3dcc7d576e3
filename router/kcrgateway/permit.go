package kcrgateway

import (
	"math"
	"strconv"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrpermit"
	"kingcuprun.example/kernel/kcrplacement"
)

// This file connects to an upstream and takes the permit for the request if the upstream has a
// rate limit, and reads what responses say of such limits. Invariants: a permit is asked for once
// the connection is open, since whether an upstream has started again shows only then; a request
// is sent within kcrpermit.Validity after its permit was asked for, or not at all.

// maxPermitRequests is how many permits are asked for before upstreams with a rate limit are
// left out.
const maxPermitRequests = 3

// reasonPermitExpired is the reason of an attempt whose permit came too late to be used.
const reasonPermitExpired = "the permit has expired"

// connectToUpstream chooses an upstream, connects to it, and takes a permit if it has a rate
// limit. The attempt is nil, without a reason, if no upstream is left.
func (x *exchange) connectToUpstream() (a *attempt, reason string) {
	g, req := x.gateway, x.placementRequest()
	for asked := 0; ; asked++ {
		req.Unlimited = asked == maxPermitRequests
		choice := g.table.Choose(g.clock.Now(), req)
		if choice == nil {
			return nil, ""
		}
		a = &attempt{x: x, choice: choice, suspects: g.config.PartSuspects.Sent(x.usage.sharedParts)}
		if reason = a.connect(); reason != "" {
			a.end(kcrplacement.Unreachable, reason)
			return a, reason
		}
		if a.leftMeanwhile() {
			asked--
			continue
		}
		if a.takePermit() {
			return a, ""
		}
	}
}

// connect takes a pooled connection or opens a new one. It returns the reason of
// a failure, or "".
func (a *attempt) connect() (reason string) {
	maxIdleFraction := reuseFraction
	if !a.x.route.Rerunnable() {
		maxIdleFraction = onceReuseFraction
	}
	g := a.x.gateway
	if a.conn = g.pool.take(g.clock.Now(), a.choice.ID, a.choice.Addr, maxIdleFraction); a.conn != nil {
		return ""
	}
	conn, err := g.pool.dial(a.choice.ID, a.choice.Addr, max(1, a.x.remaining()).Std())
	if err != nil {
		return "dial: " + rootCauseText(err)
	}
	g.metrics.dials.Inc()
	a.conn = conn
	return ""
}

// leftMeanwhile gives up the choice if its upstream has left, or said that it leaves, while the
// connection was opened.
func (a *attempt) leftMeanwhile() bool {
	if a.conn.reused || a.choice.Stays() {
		return false
	}
	_ = a.conn.Close()
	a.choice.Withheld(0)
	return true
}

// takePermit takes a permit if the upstream has a rate limit. If there is none, it gives up the
// choice and keeps the connection.
func (a *attempt) takePermit() (granted bool) {
	g := a.x.gateway
	askedAt := g.clock.Now()
	limit, returned := a.choice.Connected(askedAt, !a.conn.reused)
	if returned {
		g.logger.Info("upstream reached again: counts as cold", "id", string(a.choice.ID), "born", a.choice.StartedAt, "rate", limit.PerSecond, "req", a.x.id)
	}
	if !limit.Named {
		return true
	}
	granted, wait := g.config.TakePermit(incarnationOf(a.choice), limit)
	g.metrics.permits.WithLabelValues(string(a.x.service), strconv.FormatBool(granted)).Inc()
	if granted {
		a.choice.Permitted()
		a.permitExpires = askedAt.Add(kcrpermit.Validity)
		return true
	}
	now := g.clock.Now()
	a.choice.Withheld(now.Add(wait))
	g.pool.putBack(now, a.conn)
	return false
}

// recordRateLimit records the limit that the response names, or that it names none. A value
// that is no rate is ignored. Only a success ends a limit, since an upstream may refuse or fail
// a request without naming it.
func (a *attempt) recordRateLimit() {
	limit, value := kcrplacement.RateLimit{}, a.head.Get(a.x.gateway.headerNames.RateLimit)
	if value == "" && a.head.Status >= 300 {
		return
	}
	if value != "" {
		rate, err := strconv.ParseFloat(value, 64)
		if err != nil || rate < 0 || math.IsNaN(rate) || math.IsInf(rate, 0) {
			return
		}
		limit = kcrplacement.RateLimit{Named: true, PerSecond: rate}
	}
	if a.choice.RateLimitNamed(limit) {
		a.x.gateway.logger.Info("rate limit of upstream", "id", string(a.choice.ID), "named", limit.Named, "rate", limit.PerSecond, "req", a.x.id)
	}
}

// recordCold records for how long the upstream stays cold, if the response says so.
func (a *attempt) recordCold() {
	g, value := a.x.gateway, a.head.Get(a.x.gateway.headerNames.Cold)
	if value == "" {
		return
	}
	ms, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(ms) || ms <= 0 || ms > maxNamedSeconds*1000 {
		return
	}
	if a.choice.SaysCold(g.clock.Now(), kcrclock.Duration(math.Ceil(ms))) {
		g.logger.Info("upstream says that it is cold", "id", string(a.choice.ID), "ms", value, "req", a.x.id)
	}
}
