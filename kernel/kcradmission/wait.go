package kcradmission

import "kingcuprun.example/kernel/kcrclock"

// This file defines how long a request may wait at a router before it is sent on. It answers loads
// under which much waits at once: for tokens of a team, or at the router's own link. Invariant: what
// has waited to the end still has the time for its first token to reach the caller by the deadline.

// waitDivisor divides the target latency of a request, and the time until its deadline, to give the
// longest wait. The caller needs the rest for the answer, or to come back once.
const waitDivisor = 2

// Wait holds what bounds the wait of a request.
type Wait struct {
	Deadline  kcrclock.Time
	Target    kcrclock.Duration // latency that the route aims at, 0 for none
	First     kcrclock.Duration // expected from when the request is sent until its first token
	LinkDelay kcrclock.Duration // of what is sent now, at the router's own link
}

// Longest returns how long the request may wait from now on, 0 if it can no longer be served in
// its time.
func (w Wait) Longest(now kcrclock.Time) kcrclock.Duration {
	remaining := w.Deadline.Sub(now)
	longest := min(remaining/waitDivisor, remaining-w.First-w.LinkDelay)
	if w.Target > 0 {
		longest = min(longest, w.Target/waitDivisor)
	}
	return max(0, longest)
}

// InTime reports whether a request that is sent now can be served in its time.
func (w Wait) InTime(now kcrclock.Time) bool { return w.Deadline.Sub(now) > w.First+w.LinkDelay }
