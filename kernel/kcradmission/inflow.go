package kcradmission

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines when what comes in fills a router's link. It answers the load of callers that
// all come through one router: their requests alone fill its link, and no refusal keeps those
// away. New connections to upstreams, homes and the store then time out, so the callers are
// better served by other routers. Invariant: a link that is full stays so for minFull at least,
// long enough for a load balancer to see it.

const (
	// inflowWindow is the time over which bytes that came in are counted, in inflowSlots parts.
	inflowWindow = kcrclock.Second
	inflowSlots  = 10
	slotLength   = inflowWindow / inflowSlots
	// fullShare is the part of the link's speed from which on it is full, and freeShare the part
	// below which it is not full any more. Packets have headers that are not counted.
	fullShare = 0.85
	freeShare = 0.6
	// minFull is the shortest time for which a link is full.
	minFull = 3 * kcrclock.Second
)

// Inflow measures what comes in on a link of known speed. It is safe for concurrent use.
type Inflow struct {
	capacity float64 // bytes in a window, 0 if unknown

	mu    sync.Mutex
	slots [inflowSlots]float64 // bytes by the time in which they came
	last  kcrclock.Time        // number of the newest slot
	full  bool
	since kcrclock.Time // when full became true
}

// NewInflow returns the measure of a link on which nothing has come in. With a speed of 0 bytes per
// second, which is an unknown one, it never is full.
func NewInflow(bytesPerSecond float64) *Inflow {
	return &Inflow{capacity: bytesPerSecond * inflowWindow.Seconds()}
}

// Received records bytes that have come in.
func (f *Inflow) Received(now kcrclock.Time, bytes int) {
	if f.capacity <= 0 || bytes <= 0 {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	f.slots[f.last%inflowSlots] += float64(bytes)
}

// IsFull reports whether what comes in fills the link, or has done so a moment ago.
func (f *Inflow) IsFull(now kcrclock.Time) bool {
	if f.capacity <= 0 {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance(now)
	received := 0.0
	for _, n := range f.slots {
		received += n
	}
	switch {
	case !f.full && received >= fullShare*f.capacity:
		f.full, f.since = true, now
	case f.full && received < freeShare*f.capacity && now.Sub(f.since) >= minFull:
		f.full = false
	}
	return f.full
}

// advance empties the slots that begin anew.
func (f *Inflow) advance(now kcrclock.Time) {
	slot := now / kcrclock.Time(slotLength)
	for i := max(f.last+1, slot-inflowSlots+1); i <= slot; i++ {
		f.slots[i%inflowSlots] = 0
	}
	f.last = max(f.last, slot)
}
