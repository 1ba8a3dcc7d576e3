package kcrnode

import (
	"cmp"
	"slices"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file ranks the homes of budgets: processes beside upstreams that lend
// escrow. All routers that see the same members rank them alike, and each passes
// over those that did not answer it a moment ago.

// homes are the places that this router knows, by address: an engine that starts
// anew has another name, but the process beside it goes on. It is safe for
// concurrent use.
type homes struct {
	mu     sync.Mutex
	known  bool // whether there are places
	places map[string]*place
}

// place is where a home can be.
type place struct {
	missing bool          // no upstream is known there any more
	since   kcrclock.Time // then
	down    kcrclock.Time // passed over until then
	pause   kcrclock.Duration
}

// Times of places.
const (
	// refusedPause is how long a place is passed over where nobody listens, and
	// silentPause one that does not answer; that doubles up to mostPause.
	refusedPause = 300 * kcrclock.Millisecond
	silentPause  = kcrclock.Second
	mostPause    = 8 * kcrclock.Second
	// latePause is how long one is passed over that has not answered yet.
	latePause = 250 * kcrclock.Millisecond
	// missingTime is how long a place counts whose upstream is gone without
	// having said that it leaves: it may have crashed.
	missingTime = 30 * kcrclock.Second
	// mostPlaces is how many places are asked for one request.
	mostPlaces = 3
)

func newHomes() *homes { return &homes{places: map[string]*place{}} }

// update takes in the addresses beside upstreams, and those beside upstreams
// that leave.
func (h *homes) update(now kcrclock.Time, addrs, leaving []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = true
	for _, p := range h.places {
		if !p.missing {
			p.missing, p.since = true, now
		}
	}
	for _, addr := range addrs {
		if h.places[addr] == nil {
			h.places[addr] = &place{}
		}
		h.places[addr].missing = false
	}
	for _, addr := range leaving {
		delete(h.places, addr)
	}
	for addr, p := range h.places {
		if p.missing && now.Sub(p.since) > missingTime {
			delete(h.places, addr)
		}
	}
}

// ranked returns the addresses to ask for a bucket, first choice first.
func (h *homes) ranked(now kcrclock.Time, b kcrid.Bucket) (out []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for addr, p := range h.places {
		if now >= p.down {
			out = append(out, addr)
		}
	}
	item := string(kcrid.BudgetStream(b))
	slices.SortFunc(out, func(x, y string) int { return cmp.Compare(kcrid.Ranked(item, y), kcrid.Ranked(item, x)) })
	return out[:min(len(out), mostPlaces)]
}

// none tells whether there is known to be no place for a home.
func (h *homes) none() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known && len(h.places) == 0
}

// refused notes that nobody listens at a place.
func (h *homes) refused(now kcrclock.Time, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.places[addr]; p != nil {
		p.down = now.Add(refusedPause)
	}
}

// late notes that a place has not answered yet.
func (h *homes) late(now kcrclock.Time, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.places[addr]; p != nil {
		p.down = max(p.down, now.Add(latePause))
	}
}

// silent notes that a place did not answer.
func (h *homes) silent(now kcrclock.Time, addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.places[addr]; p != nil {
		p.pause = min(max(silentPause, 2*p.pause), mostPause)
		p.down = now.Add(p.pause)
	}
}

// answered notes that a place did answer.
func (h *homes) answered(addr string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if p := h.places[addr]; p != nil {
		p.pause, p.down = 0, 0
	}
}
