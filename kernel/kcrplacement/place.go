package kcrplacement

import "kingcuprun.example/kernel/kcrclock"

// This file defines when an upstream has a place for a request: not while it is full, wants no
// requests, or has a rate limit that leaves no room. An upstream is full for a moment after it
// has refused a request. Invariant: Choose finds an upstream if and only if NextPlace says that
// there is a place now.

// Hold is what keeps an upstream from taking a request for a time.
type Hold int

// Holds of a Place.
const (
	Free     Hold = iota // nothing
	Full                 // it has refused a request a moment ago
	Withheld             // its rate limit leaves no room
	Paused               // it wants no requests
	OnTrial              // it has paused, and has as many requests as it may get before it answers one
)

// Place is when an upstream may take a request, and what keeps it from taking it until then.
type Place struct {
	At   kcrclock.Time // not before now
	Hold Hold
}

// extend moves the place to a later time.
func (p *Place) extend(at kcrclock.Time, hold Hold) {
	if at > p.At {
		*p = Place{at, hold}
	}
}

// NextPlace returns when the first upstream may take a request, if nothing else happens until
// then. It returns false if none will.
func (t *Table) NextPlace(now kcrclock.Time, req Request) (next Place, ok bool) {
	s := t.getOrCreateService(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		if contains(req.Excluded, u.ID) {
			continue
		}
		if p, suits := s.place(now, u, &req); suits && (!ok || p.At < next.At) {
			next, ok = p, true
		}
	}
	return next, ok
}

// FirstEvent returns how long the best upstream of a service is expected to take for the first
// event of a request, with the wait for a place. It returns false if there is none.
func (t *Table) FirstEvent(now kcrclock.Time, req Request) (expected kcrclock.Duration, ok bool) {
	s := t.getOrCreateService(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, u := range s.upstreams {
		p, suits := s.place(now, u, &req)
		if !suits || contains(req.Excluded, u.ID) {
			continue
		}
		if d := p.At.Sub(now) + kcrclock.Duration(s.firstEvent(now, u, u.uncached(&req))); !ok || d < expected {
			expected, ok = d, true
		}
	}
	return expected, ok
}

// place returns when an upstream may take a request. It returns false if that does not depend on
// the time.
func (s *service) place(now kcrclock.Time, u *upstream, req *Request) (p Place, suits bool) {
	if req.Version != "" && u.Version != req.Version || req.Unlimited && u.mayNeedPermit(now) || !u.fits(req) || s.leaves(u.ID, u.StartedAt) {
		return Place{}, false
	}
	p.At = now
	if req.SkipsFull {
		p.extend(u.fullUntil, Full)
	}
	p.extend(u.roomAt(), Withheld)
	if now < u.pausedUntil {
		p.extend(u.triedAt(), Paused)
	} else if u.onTrial {
		p.extend(u.triedAt(), OnTrial)
	}
	return p, true
}

// takes reports whether an upstream may get a request now.
func (s *service) takes(now kcrclock.Time, u *upstream, req *Request) bool {
	p, suits := s.place(now, u, req)
	return suits && p.Hold == Free
}
