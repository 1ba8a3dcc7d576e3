package kcrplacement

import (
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines when an upstream has a place for a request: not while it is full, wants no
// requests, or has a rate limit that leaves no room. An upstream is full for a moment after it
// has refused a request.

// isFull reports whether the upstream has just refused a request.
func (u *upstream) isFull(now kcrclock.Time) bool { return now < u.fullUntil }

// placeAt returns when the upstream may take a request, not before now.
func (u *upstream) placeAt(now kcrclock.Time) kcrclock.Time {
	at := max(now, u.fullUntil, u.pausedUntil)
	if u.limit(now).Named {
		at = max(at, u.withheldUntil)
	}
	return at
}

// NextPlace returns when the first upstream of a service may take a request. It returns false if
// no upstream will, since there is none that stays.
func (t *Table) NextPlace(now kcrclock.Time, name kcrid.Service) (at kcrclock.Time, ok bool) {
	s := t.getOrCreateService(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if s.leaves(u.ID, u.StartedAt) {
			continue
		}
		if next := u.placeAt(now); !ok || next < at {
			at, ok = next, true
		}
	}
	return at, ok
}
