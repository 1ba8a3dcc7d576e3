// Package kcrfleet keeps the membership of upstreams, from entries that they
// write themselves to a store that can be out of reach, late, or wrong.
package kcrfleet

import (
	"sort"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the fold of entries. Invariants: an entry that is older
// than what is known of its upstream changes nothing; one that left stays gone
// until it starts again; after an outage of the store, an upstream whose entry
// is missing is kept for the time in which entries come back, and no longer.

// Member is an upstream as its entry tells. Born is its start, Sequence counts
// the changes since then.
type Member struct {
	ID       kcrid.VM
	Service  kcrid.Service
	Addr     string
	Home     string // address of the process of ours beside it, "" for none
	Zone     kcrid.Zone
	Slots    int
	Draining bool
	Cold     kcrclock.Duration // for which it is still slow
	Born     int64
	Sequence int64
}

// state is what is known of one upstream.
type state struct {
	member  Member
	missing bool
}

// Fleet is the membership. It is safe for concurrent use.
type Fleet struct {
	graceTime kcrclock.Duration

	mu      sync.Mutex
	members map[kcrid.VM]*state
	gone    map[kcrid.VM]int64 // Born of those that left
	heard   kcrclock.Time      // of the store
	started bool
	lost    bool
	until   kcrclock.Time // missing entries count until then
}

// New returns an empty fleet. After the store was lost, missing entries count
// for grace.
func New(grace kcrclock.Duration) *Fleet {
	return &Fleet{graceTime: grace, members: map[kcrid.VM]*state{}, gone: map[kcrid.VM]int64{}}
}

// Heard tells that the store has answered with all changes up to now. Call it
// before the changes of that answer.
func (f *Fleet) Heard(now kcrclock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		f.until = now.Add(f.graceTime)
	}
	f.started, f.lost = true, false
	f.heard = now
}

// Lost tells that the store does not answer.
func (f *Fleet) Lost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lost = true
}

// Borrow takes in the members that another process knows, where the store was
// never heard of.
func (f *Fleet) Borrow(members []Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.started || len(f.members) > 0 {
		return false
	}
	for _, m := range members {
		f.members[m.ID] = &state{member: m}
	}
	return len(members) > 0
}

// Known tells whether the store was ever heard of.
func (f *Fleet) Known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.started || len(f.members) > 0
}

// Age returns how long ago the store was heard of.
func (f *Fleet) Age(now kcrclock.Time) kcrclock.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.heard)
}

// Put takes in an entry and tells whether it changed what is known, but for
// the sequence.
func (f *Fleet) Put(now kcrclock.Time, m Member) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if born, ok := f.gone[m.ID]; ok && (m.Born < born || m.Born == born && m.Born != 0 && m.Draining) {
		return false
	}
	s, ok := f.members[m.ID]
	if !ok {
		f.members[m.ID] = &state{member: m}
		return true
	}
	old := s.member
	if m.Born < old.Born || m.Born == old.Born && m.Sequence < old.Sequence {
		return false
	}
	changed = s.missing
	s.missing = false
	s.member = m
	old.Sequence, old.Cold = m.Sequence, m.Cold
	return changed || old != m
}

// Remove takes in that an entry is gone, and tells whether its upstream is.
func (f *Fleet) Remove(now kcrclock.Time, id kcrid.VM) (gone bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.members[id]
	if !ok {
		return false
	}
	if now < f.until && !s.member.Draining {
		s.missing = true
		return false
	}
	f.drop(id, s)
	return true
}

// maxGone bounds how many upstreams that left are remembered.
const maxGone = 4096

func (f *Fleet) drop(id kcrid.VM, s *state) {
	if len(f.gone) >= maxGone {
		clear(f.gone)
	}
	f.gone[id] = s.member.Born
	delete(f.members, id)
}

// Listed takes in a complete list of the entries that there are: all others
// are missing. It returns those that are gone.
func (f *Fleet) Listed(now kcrclock.Time, listed map[kcrid.VM]bool) (gone []kcrid.VM) {
	f.mu.Lock()
	var missing []kcrid.VM
	for id, s := range f.members {
		if !listed[id] && !s.missing {
			missing = append(missing, id)
		}
	}
	f.mu.Unlock()
	for _, id := range missing {
		if f.Remove(now, id) {
			gone = append(gone, id)
		}
	}
	return gone
}

// Tick drops the upstreams whose entries did not come back in time, and
// returns them.
func (f *Fleet) Tick(now kcrclock.Time) (gone []kcrid.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now < f.until {
		return nil
	}
	for id, s := range f.members {
		if s.missing {
			gone = append(gone, id)
			f.drop(id, s)
		}
	}
	return gone
}

// Members returns the upstreams, sorted.
func (f *Fleet) Members() (out []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.members {
		out = append(out, s.member)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}
