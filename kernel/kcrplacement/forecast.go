package kcrplacement

import (
	"math"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines what a router expects of the engines before it sends a request. Invariant: a
// forecast changes nothing.

// Forecast is what is expected of a service now.
type Forecast struct {
	FirstEvent kcrclock.Duration // until the first event at the best upstream
	FreeSlots  int               // for requests like this one, as far as this router knows: its own load only
	NextFree   kcrclock.Duration // until an upstream takes the request, 0 if one does now
}

// Forecast returns what a request can expect of the upstreams of its service. It reports false if
// there is no upstream that could ever take it.
func (t *Table) Forecast(now kcrclock.Time, req Request) (f Forecast, ok bool) {
	s := t.getOrCreateService(req.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	first, next := math.Inf(1), math.Inf(1)
	for _, u := range s.upstreams {
		if contains(req.Excluded, u.ID) || s.leaves(u.ID, u.StartedAt) || !u.fits(&req) || req.Version != "" && u.Version != req.Version {
			continue
		}
		wait := s.untilFree(now, u, &req)
		if wait == 0 {
			f.FreeSlots += u.places(&req)
		}
		next = min(next, wait)
		first = min(first, wait+s.firstEvent(now, u, u.uncached(&req)))
	}
	if math.IsInf(first, 1) {
		return Forecast{}, false
	}
	f.FirstEvent, f.NextFree = kcrclock.Duration(math.Ceil(first)), kcrclock.Duration(math.Ceil(next))
	return f, true
}

// places returns how many requests like the given one an upstream has slots and memory for.
func (u *upstream) places(req *Request) int {
	places := u.Slots - u.inflight
	if held := req.PromptTokens + req.OutputTokens; u.Capacity > 0 && held > 0 {
		places = min(places, int((u.Capacity-u.memory.running)/held))
	}
	return max(0, places)
}

// untilFree returns the time in ms until an upstream is expected to take a request.
func (s *service) untilFree(now kcrclock.Time, u *upstream, req *Request) float64 {
	wait := max(0, u.pausedUntil.Sub(now), u.retryAt.Sub(now))
	if u.limit(now).Named {
		wait = max(wait, u.withheldUntil.Sub(now))
	}
	if wait == 0 && !s.takes(now, u, req) {
		wait = trialStep
	}
	if u.inflight > 0 && u.places(req) == 0 {
		wait = max(wait, kcrclock.Duration(s.line.runTime/float64(u.inflight)), 1)
	}
	return float64(wait)
}
