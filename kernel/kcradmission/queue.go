// Package kcradmission decides who waits for a place, in which order, who is refused at once since
// its time would not suffice, and when those that are refused are to come back.
//
// A Queue holds the requests of a service that wait at a router because no upstream takes them at
// the moment. A Limiter holds the runs that wait at one upstream, and learns how many that runs at
// once. Both keep one order, by rank, share of the team, and time. A Link tells what waits to be sent
// at a router's own link, and an Inflow whether what comes in fills it. A Wait bounds how long a
// request waits for anything.
//
// They answer loads above what the upstreams take: a burst, engines that are gone, cold, limited or
// slow. Below that, no request ever waits.
package kcradmission

import (
	"math"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the queue of a service. Invariants: a ticket is handed out at most once; a
// request is never handed out beyond its Latest; requests get places in the order of order.go, and
// those of a team by the time that they have left.

// Request describes a request that needs a place.
type Request struct {
	Rank      int           // requests of a lower value go first
	Team      kcrid.Team    // "" for anonymous requests, which count as one team
	Share     float64       // weight of the team among those of its rank; not above 0 counts as 1
	From      kcrclock.Time // in a Queue, when a place is expected at the earliest, 0 for now
	Latest    kcrclock.Time // latest time at which a place is of use
	Exclusive bool          // at a Limiter, must not share the upstream with other runs
}

// Config holds the limits of a queue.
type Config struct {
	MaxWaiting int               // requests of a rank that wait at once, shared among its teams
	MinRetry   kcrclock.Duration // least time until a refused request comes back
	MaxRetry   kcrclock.Duration // longest
}

// DefaultConfig returns the limits for one router.
func DefaultConfig() Config {
	return Config{MaxWaiting: 512, MinRetry: 150 * kcrclock.Millisecond, MaxRetry: 4 * kcrclock.Second}
}

const (
	// calm is the time without calls after which an empty queue begins anew.
	calm = 4 * kcrclock.Second
	// spreadStep is the golden ratio without its whole part: its multiples, without theirs, are
	// spread evenly.
	spreadStep = 0.6180339887498949
)

// Queue holds the waiting requests of one service at one router. It is safe for concurrent use.
type Queue struct {
	config Config

	mu         sync.Mutex
	order      order         // in the time of busy
	busy       kcrclock.Time // time during which requests have waited
	advancedAt kcrclock.Time // when busy was last advanced
	heldUntil  kcrclock.Time // no place is expected before this time
	places     meter
	nextReturn kcrclock.Time // when the last refused request is due to come back

	earlyReturns uint32 // requests that MaxRetry makes come back before their turn
}

// New returns an empty queue.
func New(c Config) *Queue { return &Queue{config: c, order: newOrder()} }

// Enter adds a request, unless its time would pass before its turn. Then it returns the time
// after which to come back, which differs between refused requests so that they return one
// after the other, at the pace of the places.
func (q *Queue) Enter(now kcrclock.Time, r Request) (t Ticket, entered bool, retryAfter kcrclock.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	q.heldUntil = r.From
	wait := max(0, r.From.Sub(now)) + q.expectedWait(r)
	if !q.order.hasRoom(q.busy, r, q.config.MaxWaiting) || now.Add(wait) > r.Latest {
		return 0, false, q.scheduleReturn(now, wait)
	}
	t = q.order.nextTicket()
	q.order.add(q.busy, waiter{ticket: t, due: r.Latest, Request: r})
	return t, true, 0
}

// Refuse returns the time after which a request is to come back that leaves the queue, or has
// not entered it.
func (q *Queue) Refuse(now kcrclock.Time) (retryAfter kcrclock.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	return q.scheduleReturn(now, pace(q.order.len()+1, q.places.rate(q.busy)))
}

// Next takes the request whose turn it is, if any waits whose time has not passed. The caller
// calls it when there may be a place, and Placed if there was one; a request that finds none
// enters again, and its turn does not count.
func (q *Queue) Next(now kcrclock.Time) (t Ticket, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	for w, ok := q.order.take(q.busy); ok; w, ok = q.order.take(q.busy) {
		if w.Latest >= now {
			return w.ticket, true
		}
	}
	return 0, false
}

// Placed records that a request that waited got a place, and charges it to its rank and team.
func (q *Queue) Placed(now kcrclock.Time, r Request) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	q.places.add(q.busy)
	q.order.charge(q.busy, r)
}

// advance adds the time since the last call to the time during which requests have waited for
// places that were to be expected. Places are counted by that time: neither those that nobody
// waits for nor a pause that upstreams have named show a rate. After a calm it begins anew: what
// was observed before says nothing about the next load.
func (q *Queue) advance(now kcrclock.Time) {
	if q.order.len() == 0 && now.Sub(q.advancedAt) > calm {
		q.busy, q.places = 0, meter{}
		q.order.reset()
	}
	if from := max(q.advancedAt, q.heldUntil); q.order.len() > 0 && now > from {
		q.busy = q.busy.Add(now.Sub(from))
	}
	q.advancedAt = max(q.advancedAt, now)
}

// Leave removes a request, for example because its caller has disconnected. It has no effect on
// one that does not wait any more.
func (q *Queue) Leave(t Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.order.remove(t)
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.order.len()
}

// expectedWait estimates how long a request would wait: until those of its team that have less
// time have gone, at the rate of the team.
func (q *Queue) expectedWait(req Request) kcrclock.Duration {
	if q.order.len() == 0 {
		return 0
	}
	rate := q.order.rate(q.busy, req, q.places.rate(q.busy))
	return pace(q.order.ahead(req, req.Latest), rate)
}

// pace returns the time in which a number of places is expected.
func pace(places int, rate float64) kcrclock.Duration {
	return kcrclock.Duration(float64(places) / rate * float64(kcrclock.Second))
}

// scheduleReturn returns the time until a request that would wait for so long is to come back:
// after the one that was refused before it. Those that MaxRetry makes come back earlier than that
// are spread over its second half, so that they don't return together.
func (q *Queue) scheduleReturn(now kcrclock.Time, wait kcrclock.Duration) kcrclock.Duration {
	due := max(q.nextReturn.Add(pace(1, q.places.rate(q.busy))), now.Add(max(wait, q.config.MinRetry)))
	if due > now.Add(q.config.MaxRetry) {
		q.earlyReturns++
		_, part := math.Modf(float64(q.earlyReturns) * spreadStep)
		return q.config.MaxRetry - kcrclock.Duration(part*float64(q.config.MaxRetry/2))
	}
	q.nextReturn = due
	return due.Sub(now)
}
