// Package kcrfleet keeps the list of upstreams. Each upstream writes its own entry
// to a store, which may be unreachable, return stale data, or lose entries.
package kcrfleet

import (
	"sort"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines how entries are merged into the list. Invariants: an entry
// that is older than the last known one of its upstream is ignored; an upstream
// that drained and was removed stays removed until it restarts; after an outage
// of the store, an upstream whose entry is missing is kept for a grace period, in
// which the upstreams write their entries again, and no longer.

// Member describes an upstream by its entry. It is also sent to other routers as
// JSON under the names of its fields.
type Member struct {
	ID       kcrid.VM
	Service  kcrid.Service
	Addr     string
	Home     string // address of the Kingcuprun process on the same machine, "" for none
	Zone     kcrid.Zone
	Version  string            // of its software, "" if unknown; versions have no order
	Slots    int               // requests that it runs at once
	Draining bool              // finishes its requests and takes no new ones
	Cold     kcrclock.Duration // how long it is still cold, as of its entry
	Born     int64             // start of the process, greater after a restart; 0 if unknown
	Sequence int64             // number of changes since the start, which orders entries
}

// memberState is what is known of one upstream.
type memberState struct {
	member       Member
	entryMissing bool          // kept only during the grace period
	presentSince kcrclock.Time // since when the store has an entry of this start
}

// version orders the entries of an upstream.
type version struct{ born, sequence int64 }

// Fleet is the list of upstreams. It is safe for concurrent use.
type Fleet struct {
	gracePeriod kcrclock.Duration

	mu          sync.Mutex
	members     map[kcrid.VM]*memberState
	removed     map[kcrid.VM]version // of removed upstreams
	lastContact kcrclock.Time        // when the store last responded
	contactFrom kcrclock.Time        // since when it has responded without an outage
	contacted   bool                 // the store has responded at least once
	storeLost   bool                 // the store doesn't respond
	graceEnd    kcrclock.Time        // until then, upstreams without an entry are kept
	digest      uint64               // of all members; see Member.digest
}

// New returns an empty fleet. After an outage of the store, upstreams whose entry
// is missing are kept for the grace period.
func New(grace kcrclock.Duration) *Fleet {
	return &Fleet{gracePeriod: grace, members: map[kcrid.VM]*memberState{}, removed: map[kcrid.VM]version{}}
}

// StoreResponded records that the store has responded with all changes up to now. It must
// be called before the changes of that response are applied, because after an
// outage it starts the grace period.
func (f *Fleet) StoreResponded(now kcrclock.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.storeLost {
		f.graceEnd = now.Add(f.gracePeriod)
	}
	if f.storeLost || !f.contacted {
		f.contactFrom = now
	}
	f.contacted, f.storeLost = true, false
	f.lastContact = now
}

// StoreLost records that the store doesn't respond.
func (f *Fleet) StoreLost() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeLost = true
}

// AdoptFromPeer adopts the members that another process knows, and reports whether it
// did. It does nothing once the store has responded or members are known.
func (f *Fleet) AdoptFromPeer(members []Member) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.contacted || len(f.members) > 0 {
		return false
	}
	for _, m := range members {
		f.members[m.ID] = &memberState{member: m}
		f.digest ^= m.digest()
	}
	return len(members) > 0
}

// HasMembers reports whether the members are known, from the store or from another
// process.
func (f *Fleet) HasMembers() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contacted || len(f.members) > 0
}

// PresentSince returns since when the store, without an outage, has had an entry of an upstream
// that started at born. It returns false if there is none, or the store does not respond.
func (f *Fleet) PresentSince(id kcrid.VM, born int64) (since kcrclock.Time, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.members[id]
	if s == nil || s.entryMissing || s.member.Born != born || f.storeLost || !f.contacted {
		return 0, false
	}
	return max(s.presentSince, f.contactFrom), true
}

// StoreIsLost reports whether the store does not respond.
func (f *Fleet) StoreIsLost() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.storeLost
}

// SinceLastContact returns the time since the store last responded.
func (f *Fleet) SinceLastContact(now kcrclock.Time) kcrclock.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Sub(f.lastContact)
}

// ApplyEntry applies an entry, and reports whether it says that the upstream is cold, or changed
// anything other than the sequence number. For a removed upstream, entries of
// an earlier start are ignored, and those of the same start that are draining or not newer.
func (f *Fleet) ApplyEntry(now kcrclock.Time, m Member) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last, ok := f.removed[m.ID]
	if ok && (m.Born < last.born || m.Born == last.born && m.Born != 0 && (m.Draining || m.Sequence <= last.sequence)) {
		return false
	}
	s, ok := f.members[m.ID]
	if !ok {
		f.members[m.ID] = &memberState{member: m, presentSince: now}
		f.digest ^= m.digest()
		return true
	}
	previous := s.member
	if m.Born < previous.Born || m.Born == previous.Born && m.Sequence < previous.Sequence {
		return false
	}
	changed = s.entryMissing
	if s.entryMissing || m.Born != previous.Born {
		s.presentSince = now
	}
	s.entryMissing = false
	s.member = m
	if previous.relayed() == m.relayed() {
		return changed || m.staysCold(previous)
	}
	f.digest ^= previous.digest() ^ m.digest()
	return true
}

// staysCold reports whether a newer entry says again that the upstream is cold.
func (m Member) staysCold(previous Member) bool { return m.Cold > 0 && m.Sequence > previous.Sequence }

// Remove records that an entry was deleted, and reports whether its upstream was
// removed. During the grace period, only an upstream that is draining is.
func (f *Fleet) Remove(now kcrclock.Time, id kcrid.VM) (removed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.members[id]
	if !ok {
		return false
	}
	if now < f.graceEnd && !s.member.Draining {
		s.entryMissing = true
		return false
	}
	f.drop(id, s)
	return true
}

// RemoveStarted removes an upstream as another process has done it, unless it is known to
// have started again since. It reports whether it did.
func (f *Fleet) RemoveStarted(id kcrid.VM, born int64) (removed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, ok := f.members[id]
	if !ok || s.member.Born > born {
		return false
	}
	f.drop(id, s)
	return true
}

// Len returns the number of upstreams.
func (f *Fleet) Len() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.members)
}

// maxRemoved bounds the removed upstreams that are remembered; beyond it, all of
// them are forgotten.
const maxRemoved = 4096

// drop removes an upstream and remembers its start, by which ApplyEntry recognizes late
// entries.
func (f *Fleet) drop(id kcrid.VM, s *memberState) {
	if len(f.removed) >= maxRemoved {
		clear(f.removed)
	}
	f.removed[id] = version{s.member.Born, s.member.Sequence}
	f.digest ^= s.member.digest()
	delete(f.members, id)
}

// ApplyList applies a complete list of the entries in the store: the entries of all
// other upstreams are missing. It returns the upstreams that were removed.
func (f *Fleet) ApplyList(now kcrclock.Time, listed map[kcrid.VM]bool) (removed []kcrid.VM) {
	f.mu.Lock()
	var missing []kcrid.VM
	for id, s := range f.members {
		if !listed[id] && !s.entryMissing {
			missing = append(missing, id)
		}
	}
	f.mu.Unlock()
	for _, id := range missing {
		if f.Remove(now, id) {
			removed = append(removed, id)
		}
	}
	return removed
}

// RemoveExpired removes the upstreams whose entries were not written again within the
// grace period, and returns them.
func (f *Fleet) RemoveExpired(now kcrclock.Time) (removed []kcrid.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if now < f.graceEnd {
		return nil
	}
	for id, s := range f.members {
		if s.entryMissing {
			removed = append(removed, id)
			f.drop(id, s)
		}
	}
	return removed
}

// Members returns all upstreams, sorted by ID.
func (f *Fleet) Members() (members []Member) {
	members, _ = f.listed()
	return members
}

// Reachable returns the upstreams that may run at their addresses, sorted by ID: of several with
// one address only that which started last. The others have ended, though the store keeps their
// entries for a while. One whose start is unknown is taken to run.
func (f *Fleet) Reachable() (members []Member) {
	all := f.Members()
	lastStart := map[string]int64{}
	for _, m := range all {
		lastStart[m.Addr] = max(lastStart[m.Addr], m.Born)
	}
	for _, m := range all {
		if m.Born == 0 || m.Born == lastStart[m.Addr] {
			members = append(members, m)
		}
	}
	return members
}

// listed returns all upstreams, sorted by ID, and their digest.
func (f *Fleet) listed() (members []Member, digest uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.members {
		members = append(members, s.member)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].ID < members[j].ID })
	return members, f.digest
}

// Digest returns a hash of all upstreams, without what each new entry changes.
func (f *Fleet) Digest() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.digest
}
