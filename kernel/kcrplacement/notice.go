package kcrplacement

import (
	"slices"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines what an upstream says in its responses about further requests: that it
// leaves, or that it wants none for a time. Invariants: an upstream that has said that it leaves
// is chosen no more before it starts again, whatever its entry says or whether it was missing for
// a while; one that wants no requests is not chosen before it does, and then gets one request, and
// one more at once with each trialStep, until it has begun to answer one.

const (
	// maxPause bounds the time for which an upstream may want no requests.
	maxPause = kcrclock.Minute
	// maxLeaving bounds the upstreams of a service that are remembered to leave; beyond it, all
	// of them are forgotten.
	maxLeaving = 4096
	trialStep  = 100 * kcrclock.Millisecond
)

// Leaves records that the upstream is leaving, and reports whether that is new.
func (c *Choice) Leaves() (isNew bool) {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaves(c.ID, c.StartedAt) {
		return false
	}
	s.recordLeaving(c.ID, c.StartedAt)
	return true
}

func (s *service) recordLeaving(id kcrid.VM, startedAt int64) {
	if len(s.leaving) >= maxLeaving {
		clear(s.leaving)
	}
	s.leaving[id] = startedAt
}

// RecordLeaving records that an upstream has said to another router, since it started at startedAt,
// that it leaves.
func (t *Table) RecordLeaving(id kcrid.VM, startedAt int64) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, s := range t.services {
		s.mu.Lock()
		if u := s.byID[id]; u != nil && !s.leaves(id, startedAt) {
			s.recordLeaving(id, startedAt)
		}
		s.mu.Unlock()
	}
}

// leaves reports whether an upstream has said that it leaves since it started.
func (s *service) leaves(id kcrid.VM, startedAt int64) bool {
	left, ok := s.leaving[id]
	return ok && startedAt <= left
}

// Stays reports whether the upstream is still in service, and has not said since that it leaves.
func (c *Choice) Stays() bool {
	s := c.service
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[c.ID] == c.state && !c.state.Emptied && !s.leaves(c.ID, c.StartedAt)
}

// Pauses records that the upstream wants no requests for a time. A time that is not positive or
// is longer than a minute makes no sense and is ignored. It reports whether the time was accepted,
// and whether that is worth a line in the log: a senseless one is once for each upstream.
func (c *Choice) Pauses(now kcrclock.Time, pause kcrclock.Duration) (accepted, notable bool) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	if pause <= 0 || pause > maxPause {
		notable = !c.state.badPause
		c.state.badPause = true
		return false, notable
	}
	notable = now >= c.state.pausedUntil
	c.state.onTrial = true
	c.state.pausedUntil = max(c.state.pausedUntil, now.Add(pause))
	return true, notable
}

// triedAt returns when an upstream that has paused may get a request, with those that it got on
// trial.
func (u *upstream) triedAt() kcrclock.Time {
	return u.pausedUntil.Add(kcrclock.Duration(u.trials) * trialStep)
}

// beginTrial records that an upstream is chosen, and reports whether it is on trial.
func (u *upstream) beginTrial() (trial bool) {
	if u.onTrial {
		u.trials++
	}
	return u.onTrial
}

// endTrial records that an upstream has begun to answer, or that a request to it has ended.
func (c *Choice) endTrial(now kcrclock.Time, answered bool) {
	if !c.trial {
		return
	}
	c.trial = false
	c.state.trials--
	if answered && now >= c.state.pausedUntil {
		c.state.onTrial = false
	}
}

// HasVersion reports whether an upstream of a version serves and does not leave.
func (t *Table) HasVersion(name kcrid.Service, version string) bool {
	s := t.getOrCreateService(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.Version == version && !s.leaves(u.ID, u.StartedAt) })
}
