package kcrgateway

import (
	"context"
	"sync"
	"time"

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/link/kcrdaemon"
)

// This file lets requests wait that no upstream of their service takes at the moment, in the
// order of package kcradmission. Invariants: a request that waits has not been sent; while others
// wait, one that arrives does not overtake them; a turn is used or passed on; a request that has
// found no place at its turn enters again with the time that it had.

// admissionInterval is the time after which a request that waits looks for a place again, if
// none has become free at this router: another router may have left one.
const admissionInterval = 20 * time.Millisecond

// maxWaitDivisor divides the time that a request has left, to give the longest wait for a
// place. Its caller needs the rest for the answer, or to come back once.
const maxWaitDivisor = 3

// admission holds the requests of one service that wait.
type admission struct {
	queue *kcradmission.Queue

	mu    sync.Mutex
	turns map[kcradmission.Ticket]chan struct{} // closed when it is a request's turn
}

// admission returns the waiting requests of a service.
func (g *Gateway) admission(service kcrid.Service) *admission {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.admissions[service]
	if a == nil {
		a = &admission{queue: kcradmission.New(kcradmission.DefaultConfig()), turns: map[kcradmission.Ticket]chan struct{}{}}
		g.admissions[service] = a
	}
	return a
}

// enter adds a request, and returns a channel that is closed when it is its turn.
func (a *admission) enter(now kcrclock.Time, req kcradmission.Request) (t kcradmission.Ticket, turn <-chan struct{}, entered bool, retryAfter kcrclock.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t, entered, retryAfter = a.queue.Enter(now, req)
	if !entered {
		return 0, nil, false, retryAfter
	}
	c := make(chan struct{})
	a.turns[t] = c
	return t, c, true, 0
}

// leave removes a request that does not wait any more. If its turn has come meanwhile, the next one
// has it.
func (a *admission) leave(now kcrclock.Time, t kcradmission.Ticket) {
	if !a.remove(t) {
		a.next(now)
	}
}

// remove removes a request, and reports whether its turn had not come.
func (a *admission) remove(t kcradmission.Ticket) (waited bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue.Leave(t)
	waited = a.turns[t] != nil
	delete(a.turns, t)
	return waited
}

// next lets the request look for a place whose turn it is.
func (a *admission) next(now kcrclock.Time) {
	if a.queue.Waiting() == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	for {
		t, ok := a.queue.Next(now)
		if !ok {
			return
		}
		if turn := a.turns[t]; turn != nil {
			delete(a.turns, t)
			close(turn)
			return
		}
	}
}

// admitWaiting lets one waiting request of each service look for a place.
func (g *Gateway) admitWaiting(context.Context) {
	now := g.clock.Now()
	for _, a := range g.listAdmissions() {
		a.next(now)
	}
}

// listAdmissions returns the waiting requests of all services.
func (g *Gateway) listAdmissions() (list []*admission) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, a := range g.admissions {
		list = append(list, a)
	}
	return list
}

// runAdmission lets waiting requests look for places until the context ends.
func (g *Gateway) runAdmission(ctx context.Context) {
	kcrdaemon.RunEvery(ctx, admissionInterval, g.admitWaiting)
}

// findUpstream connects to an upstream, and waits for a place while none takes the request. The
// attempt is nil if none does in time, or the caller leaves.
func (x *exchange) findUpstream() (a *attempt, reason string) {
	waiting, from, mayWait := x.gateway.admission(x.service), kcrclock.Time(0), false
	if waiting.queue.Waiting() > 0 {
		from, mayWait = x.mayWait()
	}
	if !mayWait {
		if a, reason = x.connectToUpstream(); a != nil {
			return a, reason
		}
		if from, mayWait = x.mayWait(); !mayWait {
			return nil, x.noChoiceReason()
		}
	}
	x.gateway.metrics.waits.WithLabelValues(string(x.service)).Inc()
	began := x.gateway.clock.Now()
	a, reason = x.waitForUpstream(waiting, from)
	x.placeWait += x.gateway.clock.Now().Sub(began)
	if a == nil {
		return nil, x.noChoiceReason()
	}
	return a, reason
}

// mayWait returns when a place for the request is expected, and whether it may wait for that. A
// request that was sent before, or must go on at one version, does not wait: the others
// would wait for the upstreams that are left to it.
func (x *exchange) mayWait() (from kcrclock.Time, mayWait bool) {
	latest := x.latestPlace()
	if x.version != "" || len(x.attempts) > 0 || x.interrupted() || x.gateway.clock.Now() >= latest {
		return 0, false
	}
	place, ok := x.nextPlace()
	if place.Hold == kcrplacement.OnTrial {
		return 0, true // an answer ends the trial at any time
	}
	return place.At, ok && place.At < latest
}

// nextPlace returns when an upstream may take the request, also if it has tried that before.
func (x *exchange) nextPlace() (place kcrplacement.Place, ok bool) {
	req := x.placementRequest()
	req.Excluded = nil
	return x.gateway.table.NextPlace(x.gateway.clock.Now(), req)
}

// latestPlace returns until when a place is of use: after that the answer would be late, or the
// caller's time does not suffice any more.
func (x *exchange) latestPlace() kcrclock.Time {
	latest := x.started.Add(x.deadline.Sub(x.started) / maxWaitDivisor)
	if target := x.route.LatencyTarget; target > 0 {
		latest = min(latest, x.started.Add(target))
	}
	return latest
}

// admissionRequest describes the request for the order of those that wait, for a place that is
// expected at a time.
func (x *exchange) admissionRequest(from kcrclock.Time) kcradmission.Request {
	return kcradmission.Request{Rank: x.rank(), Team: kcrid.Team(x.teamName()), Share: x.rules.TeamShare(x.team), From: from, Latest: x.latestPlace()}
}

// waitForUpstream waits for a place, which is expected at a time, until an upstream takes the
// request. If none does in time, or if its time would not suffice, it sets when the caller is to
// come back.
func (x *exchange) waitForUpstream(waiting *admission, from kcrclock.Time) (a *attempt, reason string) {
	g := x.gateway
	for mayWait := true; mayWait; from, mayWait = x.mayWait() {
		req := x.admissionRequest(from)
		ticket, turn, entered, retryAfter := waiting.enter(g.clock.Now(), req)
		if !entered {
			x.returnAfter = retryAfter
			return nil, ""
		}
		if !x.awaitTurn(turn, req.Latest) {
			waiting.leave(g.clock.Now(), ticket)
			break
		}
		if x.interrupted() || x.banReason() != "" {
			waiting.next(g.clock.Now())
			return nil, ""
		}
		if a, reason = x.connectToUpstream(); a != nil {
			waiting.queue.Placed(g.clock.Now(), req)
			x.admittedBy = waiting
			return a, reason
		}
	}
	if !x.interrupted() {
		x.returnAfter = waiting.queue.Refuse(g.clock.Now())
	}
	return nil, ""
}

// passTurnOn lets the next request look for a place, once the upstream has begun to answer one
// that has waited: so many that wait don't go to one that has refused requests, and still does.
func (x *exchange) passTurnOn() {
	if x.admittedBy != nil {
		x.admittedBy.next(x.gateway.clock.Now())
		x.admittedBy = nil
	}
}

// awaitTurn waits for the turn of the request, and reports whether it came before its time was
// over or its caller left.
func (x *exchange) awaitTurn(turn <-chan struct{}, latest kcrclock.Time) bool {
	timer := time.NewTimer(max(0, latest.Sub(x.gateway.clock.Now())).Std())
	defer timer.Stop()
	select {
	case <-turn:
		return true
	case <-timer.C:
		return false
	case <-x.cancelled:
		return false
	}
}

// linkDelayDivisor divides the target latency of a request to give the longest delay at the
// router's own link. The request and its answer both wait there.
const linkDelayDivisor = 4

// longestLinkDelay returns how long what is sent for the request may wait at the router's own link.
// Where it would wait for longer, its caller is better served by another router.
func (x *exchange) longestLinkDelay() kcrclock.Duration {
	if target := x.route.LatencyTarget; target > 0 {
		return target / linkDelayDivisor
	}
	return x.remaining() / linkDelayDivisor
}

// recordSent records bytes that are handed to the router's own link.
func (g *Gateway) recordSent(bytes int) { g.link.Sent(g.clock.Now(), bytes) }
