// Package kcradmission orders the requests of a service that wait at a router because no
// upstream takes them at the moment. It decides who goes on first when there is a place, who
// is refused at once since its time would not suffice, and when those that are refused are to
// come back.
//
// It answers loads above what the upstreams of a service take: a burst, engines that are
// gone, cold or limited. Below that, no request ever enters a queue.
package kcradmission

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the queue. Invariants: a ticket is handed out at most once, by Next or
// Expire; a request never waits beyond its Latest; while requests of several ranks wait, each
// rank gets a part of the places, so that none starves; within a rank, teams get places in
// proportion to their shares, whatever one of them sends.

// Ticket identifies a request that waits. 0 is no ticket.
type Ticket uint64

// Request describes a request that needs a place.
type Request struct {
	Rank   int           // requests of a lower value go first
	Team   kcrid.Team    // "" for anonymous requests, which count as one team
	Share  float64       // weight of the team among those of its rank; not above 0 counts as 1
	From   kcrclock.Time // when a place is expected at the earliest, 0 for now
	Latest kcrclock.Time // latest time at which a place is of use
}

// Config holds the limits of a queue.
type Config struct {
	MaxWaiting int               // requests of a rank that wait at once
	MinRetry   kcrclock.Duration // least time until a refused request comes back
	MaxRetry   kcrclock.Duration // longest
}

// DefaultConfig returns the limits for one router.
func DefaultConfig() Config {
	return Config{MaxWaiting: 512, MinRetry: 150 * kcrclock.Millisecond, MaxRetry: 4 * kcrclock.Second}
}

const (
	// rankWeight is the ratio of the places of a rank to those of the next one that waits.
	rankWeight = 3.0
	// teamRetention is how long a team is remembered that does not wait, while others do.
	teamRetention = 8 * kcrclock.Second
	// calm is the time without calls after which an empty queue begins anew.
	calm = 4 * kcrclock.Second
	// spreadStep is the golden ratio without its whole part: its multiples, without theirs, are
	// spread evenly.
	spreadStep = 0.6180339887498949
)

// waiter is a request that waits.
type waiter struct {
	ticket Ticket
	Request
}

// team holds the requests of one team and rank.
type team struct {
	name    kcrid.Team
	share   float64
	pass    float64  // virtual time: places taken by the share of the team
	waiting []waiter // by Latest, then by arrival
	places  meter
	usedAt  kcrclock.Time // when it last entered or had its turn, in the time of Queue.busy
}

// rank holds the teams of one rank, those too that have none waiting.
type rank struct {
	value   int
	pass    float64 // virtual time: places taken by the weight of the rank
	teams   []*team // by name
	current float64 // virtual time of the team whose turn was last
}

// Queue holds the waiting requests of one service at one router. It is safe for concurrent use.
type Queue struct {
	config Config

	mu         sync.Mutex
	ranks      []*rank // by value
	waiting    int
	lastTicket Ticket
	busy       kcrclock.Time // time during which requests have waited
	advancedAt kcrclock.Time // when busy was last advanced
	heldUntil  kcrclock.Time // no place is expected before this time
	places     meter
	current    float64       // virtual time of the rank whose turn was last
	nextReturn kcrclock.Time // when the last refused request is due to come back

	earlyReturns uint32 // requests that MaxRetry makes come back before their turn
}

// New returns an empty queue.
func New(c Config) *Queue { return &Queue{config: c} }

// Enter adds a request, unless its time would pass before its turn. Then it returns the time
// after which to come back, which differs between refused requests so that they return one
// after the other, at the pace of the places.
func (q *Queue) Enter(now kcrclock.Time, r Request) (t Ticket, entered bool, retryAfter kcrclock.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	q.heldUntil = r.From
	wait := max(0, r.From.Sub(now)) + q.expectedWait(r)
	if q.waitingOf(r.Rank) >= q.config.MaxWaiting || now.Add(wait) > r.Latest {
		return 0, false, q.scheduleReturn(now, wait)
	}
	q.lastTicket++
	q.insert(waiter{q.lastTicket, r})
	return q.lastTicket, true, 0
}

// Refuse returns the time after which a request is to come back that leaves the queue, or has
// not entered it.
func (q *Queue) Refuse(now kcrclock.Time) (retryAfter kcrclock.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	return q.scheduleReturn(now, pace(q.waiting+1, q.places.rate(q.busy)))
}

// Next takes the request whose turn it is, if any waits whose time has not passed. The caller
// calls it when there may be a place, and Placed if there was one; a request that finds none
// enters again, and its turn does not count.
func (q *Queue) Next(now kcrclock.Time) (t Ticket, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.advance(now)
	for q.waiting > 0 {
		if w := q.take(q.nextRank()); w.Latest >= now {
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
	if t := q.findTeam(r); t != nil {
		t.places.add(q.busy)
		t.pass += 1 / t.share
	}
	if i, found := q.rankAt(r.Rank); found {
		q.ranks[i].pass += 1 / q.rankShare(r.Rank)
	}
}

// advance adds the time since the last call to the time during which requests have waited for
// places that were to be expected. Places are counted by that time: neither those that nobody
// waits for nor a pause that upstreams have named show a rate. After a calm it begins anew: what
// was observed before says nothing about the next load.
func (q *Queue) advance(now kcrclock.Time) {
	if q.waiting == 0 && now.Sub(q.advancedAt) > calm {
		q.ranks, q.busy, q.places, q.current = nil, 0, meter{}, 0
	}
	if from := max(q.advancedAt, q.heldUntil); q.waiting > 0 && now > from {
		q.busy = q.busy.Add(now.Sub(from))
	}
	q.advancedAt = max(q.advancedAt, now)
}

// Leave removes a request, for example because its caller has disconnected. It has no effect on
// one that does not wait any more.
func (q *Queue) Leave(t Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeAll(func(w waiter) bool { return w.ticket == t })
}

// Expire removes the requests whose time has passed, and returns them.
func (q *Queue) Expire(now kcrclock.Time) (expired []Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.removeAll(func(w waiter) bool {
		if w.Latest < now {
			expired = append(expired, w.ticket)
		}
		return w.Latest < now
	})
	return expired
}

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting
}

// waitingOf returns the number of requests of a rank that wait.
func (q *Queue) waitingOf(value int) (count int) {
	if i, found := q.rankAt(value); found {
		for _, t := range q.ranks[i].teams {
			count += len(t.waiting)
		}
	}
	return count
}

// rankAt returns the position of a rank in the list, or where it belongs.
func (q *Queue) rankAt(value int) (i int, found bool) {
	return slices.BinarySearchFunc(q.ranks, value, func(r *rank, value int) int { return cmp.Compare(r.value, value) })
}

// teamAt returns the position of a team in the list, or where it belongs.
func (r *rank) teamAt(name kcrid.Team) (i int, found bool) {
	return slices.BinarySearchFunc(r.teams, name, func(t *team, name kcrid.Team) int { return cmp.Compare(t.name, name) })
}

// findTeam returns the team of a request, nil if it is not remembered.
func (q *Queue) findTeam(req Request) *team {
	i, found := q.rankAt(req.Rank)
	if !found {
		return nil
	}
	j, found := q.ranks[i].teamAt(req.Team)
	if !found {
		return nil
	}
	return q.ranks[i].teams[j]
}

// insert adds a waiter to its team and rank. A rank or team that begins to wait starts at the
// virtual time of the one whose turn was last, also if none waits any more: it neither catches up
// on places that it did not need, nor do the others catch up on those that it got while alone.
func (q *Queue) insert(w waiter) {
	i, found := q.rankAt(w.Rank)
	if !found {
		q.ranks = slices.Insert(q.ranks, i, &rank{value: w.Rank})
	}
	r := q.ranks[i]
	if !r.waits() {
		r.pass = max(r.pass, q.current)
	}
	r.insert(w).usedAt = q.busy
	q.waiting++
}

// insert adds a waiter to its team, and returns the team.
func (r *rank) insert(w waiter) *team {
	i, found := r.teamAt(w.Team)
	if !found {
		r.teams = slices.Insert(r.teams, i, &team{name: w.Team})
	}
	t := r.teams[i]
	if len(t.waiting) == 0 {
		t.pass = max(t.pass, r.current)
	}
	t.share = shareOf(w.Request)
	k, _ := slices.BinarySearchFunc(t.waiting, w, func(a, b waiter) int {
		return cmp.Or(cmp.Compare(a.Latest, b.Latest), cmp.Compare(a.ticket, b.ticket))
	})
	t.waiting = slices.Insert(t.waiting, k, w)
	return t
}

// shareOf returns the weight of the team of a request.
func shareOf(r Request) float64 {
	if r.Share > 0 {
		return r.Share
	}
	return 1
}

// waits reports whether a request of the rank waits.
func (r *rank) waits() bool { return r.nextTeam() != nil }

// nextRank returns the rank whose turn it is, nil if none waits.
func (q *Queue) nextRank() (next *rank) {
	for _, r := range q.ranks {
		if r.waits() && (next == nil || r.pass < next.pass) {
			next = r
		}
	}
	return next
}

// nextTeam returns the team whose turn it is, nil if none waits.
func (r *rank) nextTeam() (next *team) {
	for _, t := range r.teams {
		if len(t.waiting) > 0 && (next == nil || t.pass < next.pass) {
			next = t
		}
	}
	return next
}

// take removes the first waiter of the team of a rank whose turn it is.
func (q *Queue) take(r *rank) waiter {
	t := r.nextTeam()
	w := t.waiting[0]
	q.current, r.current, t.usedAt = max(q.current, r.pass), max(r.current, t.pass), q.busy
	t.waiting = t.waiting[1:]
	q.waiting--
	q.forgetIdle()
	return w
}

// rankShare returns the part of the places that a rank gets at least while it and others wait.
func (q *Queue) rankShare(value int) float64 {
	own, sum, weight := 0.0, 0.0, 1.0
	for _, r := range q.ranks {
		if r.value != value && !r.waits() {
			continue
		}
		sum += weight
		if r.value == value {
			own = weight
		}
		weight /= rankWeight
	}
	if own == 0 {
		return weight / (sum + weight)
	}
	return own / sum
}

// teamShare returns the part of the places of its rank that a team gets at least.
func (q *Queue) teamShare(req Request) float64 {
	i, found := q.rankAt(req.Rank)
	if !found {
		return 1
	}
	sum := shareOf(req)
	for _, t := range q.ranks[i].teams {
		if t.name != req.Team && len(t.waiting) > 0 {
			sum += t.share
		}
	}
	return shareOf(req) / sum
}

// forgetIdle forgets the teams that have neither waited nor had a turn for long.
func (q *Queue) forgetIdle() {
	for _, r := range q.ranks {
		r.teams = slices.DeleteFunc(r.teams, func(t *team) bool {
			return len(t.waiting) == 0 && q.busy.Sub(t.usedAt) > teamRetention
		})
	}
}

// removeAll removes the waiters for which a function returns true.
func (q *Queue) removeAll(isRemoved func(waiter) bool) {
	for _, r := range q.ranks {
		for _, t := range r.teams {
			count := len(t.waiting)
			t.waiting = slices.DeleteFunc(t.waiting, isRemoved)
			q.waiting -= count - len(t.waiting)
		}
	}
}

// expectedWait estimates how long a request would wait: until those of its team that have less
// time have gone, at the rate of the team.
func (q *Queue) expectedWait(req Request) kcrclock.Duration {
	if q.waiting == 0 {
		return 0
	}
	rate, ahead := q.rankShare(req.Rank)*q.teamShare(req)*q.places.rate(q.busy), 0
	if t := q.findTeam(req); t != nil {
		rate = max(rate, t.places.rate(q.busy))
		ahead, _ = slices.BinarySearchFunc(t.waiting, req.Latest+1, func(w waiter, latest kcrclock.Time) int { return cmp.Compare(w.Latest, latest) })
	}
	return pace(ahead, rate)
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
