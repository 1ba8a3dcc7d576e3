package kcradmission

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines when what comes in fills a router's link. It answers the load of callers that
// all come through one router: their requests alone fill its link, and no refusal keeps those
// away. New connections to upstreams, homes and the store then time out, so the callers are
// better served by other routers. Invariants: a link that is full stays so for minFull at least,
// long enough for a load balancer to see it; one connection alone neither fills a link nor keeps
// it full, since its long body is over, or goes on elsewhere, before a load balancer sees it.

const (
	// inflowWindow is the time over which bytes that came in are counted, in inflowSlots parts.
	inflowWindow = kcrclock.Second
	inflowSlots  = 10
	slotLength   = inflowWindow / inflowSlots
	// fullShare is the part of the link's speed from which on it is full, and freeShare the part
	// below which it is not full any more. Packets have headers that are not counted.
	fullShare = 0.85
	freeShare = 0.6
	// sourceShare is the part of the link's speed up to which one connection counts.
	sourceShare = 0.5
	// minFull is the shortest time for which a link is full.
	minFull = 3 * kcrclock.Second
)

// window holds the bytes of the last inflowWindow.
type window struct {
	slots [inflowSlots]float64 // bytes by the time in which they came
	last  kcrclock.Time        // number of the newest slot
}

// sum returns the bytes of the last inflowWindow.
func (w *window) sum(now kcrclock.Time) (bytes float64) {
	w.advance(now)
	for _, n := range w.slots {
		bytes += n
	}
	return bytes
}

// add adds bytes that came now.
func (w *window) add(now kcrclock.Time, bytes float64) {
	w.advance(now)
	w.slots[w.last%inflowSlots] += bytes
}

// advance empties the slots that begin anew.
func (w *window) advance(now kcrclock.Time) {
	slot := now / kcrclock.Time(slotLength)
	for i := max(w.last+1, slot-inflowSlots+1); i <= slot; i++ {
		w.slots[i%inflowSlots] = 0
	}
	w.last = max(w.last, slot)
}

// Inflow measures what comes in on a link of known speed. It is safe for concurrent use.
type Inflow struct {
	capacity float64 // bytes in a window, 0 if unknown

	mu       sync.Mutex
	received window
	full     bool
	since    kcrclock.Time // when full became true
}

// Source is a connection on which bytes come in. It is safe for concurrent use.
type Source struct {
	inflow  *Inflow
	counted window // protected by Inflow.mu
}

// NewInflow returns the measure of a link on which nothing has come in. With a speed of 0 bytes per
// second, which is an unknown one, it never is full.
func NewInflow(bytesPerSecond float64) *Inflow {
	return &Inflow{capacity: bytesPerSecond * inflowWindow.Seconds()}
}

// NewSource returns a connection on which nothing has come in.
func (f *Inflow) NewSource() *Source { return &Source{inflow: f} }

// Received records bytes that have come in.
func (s *Source) Received(now kcrclock.Time, bytes int) {
	f := s.inflow
	if f.capacity <= 0 || bytes <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := min(float64(bytes), max(0, sourceShare*f.capacity-s.counted.sum(now)))
	s.counted.add(now, counts)
	f.received.add(now, counts)
}

// IsFull reports whether what comes in fills the link, or has done so a moment ago.
func (f *Inflow) IsFull(now kcrclock.Time) bool {
	if f.capacity <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	received := f.received.sum(now)
	switch {
	case !f.full && received >= fullShare*f.capacity:
		f.full, f.since = true, now
	case f.full && received < freeShare*f.capacity && now.Sub(f.since) >= minFull:
		f.full = false
	}
	return f.full
}
