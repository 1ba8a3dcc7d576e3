package kcradmission

import (
	"cmp"
	"slices"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the order of those that wait. Invariants: while several ranks wait, each gets a
// part of the places, so that none starves; within a rank, teams get places in proportion to their
// shares, whatever one of them sends; a ticket is taken or removed once.

// Ticket identifies a request that waits or a run. 0 is no ticket.
type Ticket uint64

const (
	// rankWeight is the ratio of the places of a rank to those of the next one that waits.
	rankWeight = 3.0
	// teamRetention is how long a team is remembered that does not wait, while others do.
	teamRetention = 8 * kcrclock.Second
	// wantsFor is how long a team whose requests have all had their turn is expected to send more.
	wantsFor = 500 * kcrclock.Millisecond
)

// waiter is a request that waits.
type waiter struct {
	ticket Ticket
	due    kcrclock.Time // the least goes first among those of a team, of equal ones the first that came
	Request
}

// team holds the requests of one team and rank.
type team struct {
	name    kcrid.Team
	share   float64
	pass    float64  // virtual time: places taken by the share of the team
	waiting []waiter // by due, then by arrival
	places  meter
	usedAt  kcrclock.Time // when it last entered or had its turn
}

// rank holds the teams of one rank, those too that have none waiting.
type rank struct {
	value   int
	pass    float64 // virtual time: places taken by the weight of the rank
	teams   []*team // by name
	current float64 // virtual time of the team whose turn was last
}

// order holds those that wait by rank and team. Its time may be any that does not go back.
type order struct {
	ranks      []*rank // by value
	waiters    map[Ticket]waiter
	lastTicket Ticket
	current    float64 // virtual time of the rank whose turn was last
}

func newOrder() order { return order{waiters: map[Ticket]waiter{}} }

// len returns the number of requests that wait.
func (o *order) len() int { return len(o.waiters) }

// reset forgets what ranks and teams have got. Nothing may wait.
func (o *order) reset() { o.ranks, o.current = nil, 0 }

// nextTicket returns a new ticket.
func (o *order) nextTicket() Ticket {
	o.lastTicket++
	return o.lastTicket
}

// add adds a waiter. A rank or team that begins to wait starts at the virtual time
// of the one whose turn was last, also if none waits any more: it neither catches up on places that
// it did not need, nor do the others catch up on those that it got while alone.
func (o *order) add(now kcrclock.Time, w waiter) {
	i, found := o.rankAt(w.Rank)
	if !found {
		o.ranks = slices.Insert(o.ranks, i, &rank{value: w.Rank})
	}
	r := o.ranks[i]
	if !r.waits() {
		r.pass = max(r.pass, o.current)
	}
	r.insert(w).usedAt = now
	o.waiters[w.ticket] = w
}

// first returns the waiter whose turn it is, and leaves it.
func (o *order) first() (w waiter, ok bool) {
	r := o.nextRank()
	if r == nil {
		return waiter{}, false
	}
	return r.nextTeam().waiting[0], true
}

// take removes the waiter whose turn it is.
func (o *order) take(now kcrclock.Time) (w waiter, ok bool) {
	r := o.nextRank()
	if r == nil {
		return waiter{}, false
	}
	t := r.nextTeam()
	w = t.waiting[0]
	o.current, r.current, t.usedAt = max(o.current, r.pass), max(r.current, t.pass), now
	t.waiting = t.waiting[1:]
	delete(o.waiters, w.ticket)
	o.forgetIdle(now)
	return w, true
}

// charge charges a place to the rank and team of a request.
func (o *order) charge(now kcrclock.Time, req Request) {
	if t := o.findTeam(req); t != nil {
		t.places.add(now)
		t.pass += 1 / t.share
	}
	if i, found := o.rankAt(req.Rank); found {
		o.ranks[i].pass += 1 / o.rankShare(req.Rank, (*rank).waits)
	}
}

// remove removes a waiter, if it waits.
func (o *order) remove(ticket Ticket) {
	w, waits := o.waiters[ticket]
	if !waits {
		return
	}
	delete(o.waiters, ticket)
	t := o.findTeam(w.Request)
	i, _ := slices.BinarySearchFunc(t.waiting, w, compareWaiters)
	t.waiting = slices.Delete(t.waiting, i, i+1)
}

// compareWaiters orders the waiters of a team.
func compareWaiters(a, b waiter) int {
	return cmp.Or(cmp.Compare(a.due, b.due), cmp.Compare(a.ticket, b.ticket))
}

// hasRoom reports whether one more request may wait, where most may of each rank: a team may fill its
// share of them beside the teams that want places too. So all together are at most as many as the
// harmonic sum of the teams for each rank, and none is kept out by what another one has sent.
func (o *order) hasRoom(now kcrclock.Time, req Request, most int) bool {
	t := o.findTeam(req)
	return t == nil || float64(len(t.waiting)) < float64(most)*o.teamShare(now, req)
}

// rankAt returns the position of a rank in the list, or where it belongs.
func (o *order) rankAt(value int) (i int, found bool) {
	return slices.BinarySearchFunc(o.ranks, value, func(r *rank, value int) int { return cmp.Compare(r.value, value) })
}

// teamAt returns the position of a team in the list, or where it belongs.
func (r *rank) teamAt(name kcrid.Team) (i int, found bool) {
	return slices.BinarySearchFunc(r.teams, name, func(t *team, name kcrid.Team) int { return cmp.Compare(t.name, name) })
}

// findTeam returns the team of a request, nil if it is not remembered.
func (o *order) findTeam(req Request) *team {
	i, found := o.rankAt(req.Rank)
	if !found {
		return nil
	}
	j, found := o.ranks[i].teamAt(req.Team)
	if !found {
		return nil
	}
	return o.ranks[i].teams[j]
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
	k, _ := slices.BinarySearchFunc(t.waiting, w, compareWaiters)
	t.waiting = slices.Insert(t.waiting, k, w)
	return t
}

// ahead returns how many of the team of a request go before it.
func (o *order) ahead(req Request, due kcrclock.Time) (count int) {
	if t := o.findTeam(req); t != nil {
		count, _ = slices.BinarySearchFunc(t.waiting, due+1, func(w waiter, due kcrclock.Time) int { return cmp.Compare(w.due, due) })
	}
	return count
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
func (o *order) nextRank() (next *rank) {
	for _, r := range o.ranks {
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

// rankShare returns the part of the places that a rank gets while it waits beside those that compete
// with it.
func (o *order) rankShare(value int, competes func(*rank) bool) float64 {
	sum, more, less := 1.0, rankWeight, 1/rankWeight
	for _, r := range o.ranks {
		switch {
		case r.value == value || !competes(r):
		case r.value < value:
			sum += more
			more *= rankWeight
		default:
			sum += less
			less /= rankWeight
		}
	}
	return 1 / sum
}

// teamShare returns the part of the places of its rank that a team gets at least.
func (o *order) teamShare(now kcrclock.Time, req Request) float64 {
	i, found := o.rankAt(req.Rank)
	if !found {
		return 1
	}
	sum := shareOf(req)
	for _, t := range o.ranks[i].teams {
		if t.name != req.Team && t.wants(now) {
			sum += t.share
		}
	}
	return shareOf(req) / sum
}

// rate returns the places per second that the team of a request can expect, of a number for all: its
// share, or what it has got of late if that is more, since others need less than their shares.
func (o *order) rate(now kcrclock.Time, req Request, all float64) float64 {
	wants := func(r *rank) bool { return slices.ContainsFunc(r.teams, func(t *team) bool { return t.wants(now) }) }
	rate := all * o.rankShare(req.Rank, wants) * o.teamShare(now, req)
	if t := o.findTeam(req); t != nil {
		rate = max(rate, t.places.rate(now))
	}
	return min(rate, all)
}

// wants reports whether requests of the team wait, or did a moment ago: more of them are to be
// expected.
func (t *team) wants(now kcrclock.Time) bool {
	return len(t.waiting) > 0 || now.Sub(t.usedAt) < wantsFor
}

// forgetIdle forgets the teams that have neither waited nor had a turn for long.
func (o *order) forgetIdle(now kcrclock.Time) {
	for _, r := range o.ranks {
		r.teams = slices.DeleteFunc(r.teams, func(t *team) bool {
			return len(t.waiting) == 0 && now.Sub(t.usedAt) > teamRetention
		})
	}
}
