package kcrplacement

import (
	"strconv"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines when an upstream counts as cold, and the rate limit that it then has.
// Invariants: an upstream is cold for as long as its entry or a response of it says, and for the
// time that its service names after its start is learned, its zone is emptied no more, or it is
// reached again after a failure;
// nothing makes that time shorter. A request on a connection that was open before such a failure
// can't reach a process that has started since, so only new connections count, and what comes on
// an old one shows that the upstream has not ended. The first list of
// a service names no starts: the whole system may have started with it.

// ColdLimit is what a service says of its cold upstreams.
type ColdLimit struct {
	PerSecond float64           // requests per second of all routers together, 0 for no limit
	Start     kcrclock.Duration // how long an upstream is cold after it has started
}

// learn replaces what the list says of the upstream. With started, the upstream has started
// since the last list.
func (u *upstream) learn(now kcrclock.Time, said Upstream, started bool) {
	if said.WarmupRemaining > 0 && (said.WarmupRemaining != u.WarmupRemaining || said.EntrySequence != u.EntrySequence) {
		u.warmAt = now.Add(said.WarmupRemaining)
		u.staysCold(now, said.WarmupRemaining)
	}
	returned := u.Emptied && !said.Emptied
	u.Upstream = said
	if (started || returned) && u.isLimitedWhileCold() {
		u.staysCold(now, u.Cold.Start)
	}
}

// staysCold extends the time for which the upstream is cold to at least d.
func (u *upstream) staysCold(now kcrclock.Time, d kcrclock.Duration) {
	u.coldUntil = max(u.coldUntil, now.Add(d))
}

func (u *upstream) isLimitedWhileCold() bool { return u.Cold.PerSecond > 0 }

// limit returns the rate limit of the upstream: the one that it has named or the one that it has
// while it is cold, whichever is less.
func (u *upstream) limit(now kcrclock.Time) RateLimit {
	limit := u.rateLimit
	if !u.isLimitedWhileCold() || now >= u.coldUntil {
		return limit
	}
	if !limit.Named || u.Cold.PerSecond < limit.PerSecond {
		limit.PerSecond = u.Cold.PerSecond
	}
	limit.Named, limit.Cold = true, true
	return limit
}

// mayNeedPermit reports whether a request to the upstream needs a permit, or may need one once
// a connection is open.
func (u *upstream) mayNeedPermit(now kcrclock.Time) bool { return u.lost || u.limit(now).Named }

// readDelay is the time after which an upstream that has ended is heard no more: what it sent
// before is read by then.
const readDelay = 100 * kcrclock.Millisecond

// loses records that the upstream may have ended, and may start again.
func (u *upstream) loses(now kcrclock.Time) { u.lost, u.lostAt = u.isLimitedWhileCold(), now }

// livesOn reports whether the upstream has sent something on an earlier connection since it was
// lost, so that it has not ended.
func (u *upstream) livesOn() bool { return kcrclock.Time(u.heardAt.Load()) > u.lostAt.Add(readDelay) }

// Connected reports that there is a connection for the request; opened tells that it is new. It
// returns the rate limit of the upstream, and whether the upstream counts as cold from now on. If
// there is a limit, Permitted must be called before the request is sent, or else Withheld.
func (c *Choice) Connected(now kcrclock.Time, opened bool) (limit RateLimit, returned bool) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	u := c.state
	if returned = opened && u.lost && !u.livesOn(); returned {
		u.staysCold(now, u.Cold.Start)
	}
	u.lost = u.lost && !opened
	limit = u.limit(now)
	if !limit.Named {
		c.record()
	}
	return limit, returned
}

// record notes the parts of the prompt as cached once it is known that the request is sent.
func (c *Choice) record() {
	if c.unrecorded {
		c.unrecorded = false
		c.state.recordCached(c.promptParts)
	}
}

// SaysCold records that a response says for how long the upstream stays cold, and reports whether
// it counted as warm.
func (c *Choice) SaysCold(now kcrclock.Time, remaining kcrclock.Duration) (changed bool) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	changed = now >= c.state.coldUntil && remaining > 0
	c.state.staysCold(now, remaining)
	return changed
}

// RecordLost records that an upstream accepted no connection, as this or another router has seen:
// it may start again before its entry says so. One that is known to have started since is left
// alone.
func (t *Table) RecordLost(now kcrclock.Time, upstream kcrid.Incarnation) {
	startedAt, err := strconv.ParseInt(upstream.Run(), 10, 64)
	if err != nil {
		return
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, s := range t.services {
		s.mu.Lock()
		if u := s.byID[upstream.VM()]; u != nil && u.StartedAt == startedAt {
			u.loses(now)
		}
		s.mu.Unlock()
	}
}
