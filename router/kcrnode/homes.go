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

// place is where a home can be.
type place struct {
	vm   kcrid.VM
	addr string
}

// homes are the places that this router knows. It is safe for concurrent use.
type homes struct {
	mu     sync.Mutex
	places []place
	down   map[kcrid.VM]kcrclock.Time
}

// Times for which a place is passed over.
const (
	refusedPause = 300 * kcrclock.Millisecond // nobody listens there
	silentPause  = kcrclock.Second
	// mostPlaces is how many places are asked for one request.
	mostPlaces = 3
)

func newHomes() *homes { return &homes{down: map[kcrid.VM]kcrclock.Time{}} }

// update replaces the places.
func (h *homes) update(places []place) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.places = places
	for vm := range h.down {
		if !slices.ContainsFunc(places, func(p place) bool { return p.vm == vm }) {
			delete(h.down, vm)
		}
	}
}

// ranked returns the places to ask for a bucket, first choice first.
func (h *homes) ranked(now kcrclock.Time, b kcrid.Bucket) (out []place) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.places {
		if now >= h.down[p.vm] {
			out = append(out, p)
		}
	}
	item := string(kcrid.BudgetStream(b))
	slices.SortFunc(out, func(x, y place) int {
		return cmp.Compare(kcrid.Ranked(item, string(y.vm)), kcrid.Ranked(item, string(x.vm)))
	})
	return out[:min(len(out), mostPlaces)]
}

// any tells whether there is a place for a home at all.
func (h *homes) any() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.places) > 0
}

// pass notes that a place did not answer.
func (h *homes) pass(now kcrclock.Time, vm kcrid.VM, d kcrclock.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.down[vm] = now.Add(d)
}
