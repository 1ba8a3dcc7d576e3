package kcrcrash

import (
	"slices"
	"sync"
	"sync/atomic"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file decides which runs that ended without an answer have crashed their upstream. A
// crashed upstream may leave its connections open and say nothing more, and it may crash only
// after a run was given up. Therefore each upstream with such a run is checked twice: it is alive
// if it has just sent something or accepts a connection. Invariants: a run counts only if its
// upstream accepts no connection at a check; it is forgotten once its upstream was alive at
// lastCheck or later.

// LostRun is a run that ended without a complete answer.
type LostRun struct {
	Upstream kcrid.Incarnation
	Addr     string               // of the upstream
	HeardAt  func() kcrclock.Time // when the upstream last sent something, in any run; 0 for never
	Content  kcrid.ContentHash
	Parts    Run           // of the prompt
	Events   int           // that the run had sent; an upstream that crashes by a part sends none
	At       kcrclock.Time // when the run ended or, if it goes on, was silent for long
}

// Timing and limits of a Watch.
const (
	// firstCheck and lastCheck are the times after the end of a run at which its upstream is
	// checked.
	firstCheck = 250 * kcrclock.Millisecond
	lastCheck  = kcrclock.Second
	// recentSign is the age up to which a sign of life takes the place of a connection.
	recentSign = 100 * kcrclock.Millisecond
	// maxLostRuns bounds the runs that are watched for each upstream; further ones are ignored.
	maxLostRuns = 256
)

// watched is an upstream on which runs ended without an answer.
type watched struct {
	runs    []LostRun
	checks  []kcrclock.Time // for each run, when its upstream is to be checked
	probing bool
}

// Watch is the set of such upstreams. It is safe for concurrent use.
type Watch struct {
	count atomic.Int64 // len(upstreams)

	mu        sync.Mutex
	upstreams map[kcrid.Incarnation]*watched
}

// NewWatch returns a watch without upstreams.
func NewWatch() *Watch { return &Watch{upstreams: map[kcrid.Incarnation]*watched{}} }

// Empty reports whether no upstream is watched.
func (w *Watch) Empty() bool { return w.count.Load() == 0 }

// Lost adds a run whose upstream is to be checked.
func (w *Watch) Lost(run LostRun) { w.add(run, run.At.Add(firstCheck)) }

// Silent adds a run that goes on but has been silent for long. Its upstream is checked at once.
func (w *Watch) Silent(run LostRun) { w.add(run, run.At) }

func (w *Watch) add(run LostRun, check kcrclock.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[run.Upstream]
	if u == nil {
		u = &watched{}
		w.upstreams[run.Upstream] = u
		w.count.Add(1)
	}
	if len(u.runs) < maxLostRuns {
		u.runs, u.checks = append(u.runs, run), append(u.checks, check)
	}
}

// Probe is an upstream that is to be probed, by opening a connection to it.
type Probe struct {
	Upstream kcrid.Incarnation
	Addr     string
}

// Due returns the upstreams that are to be probed now. Alive or Unreachable must be called for
// each.
func (w *Watch) Due(now kcrclock.Time) (probes []Probe) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, u := range w.upstreams {
		if u.probing || slices.Min(u.checks) > now {
			continue
		}
		if heard := u.runs[0].HeardAt(); heard > 0 && now.Sub(heard) <= recentSign {
			w.settle(heard, name, u)
			continue
		}
		u.probing = true
		probes = append(probes, Probe{name, u.runs[0].Addr})
	}
	return probes
}

// Alive records that an upstream accepted a connection.
func (w *Watch) Alive(now kcrclock.Time, upstream kcrid.Incarnation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if u := w.upstreams[upstream]; u != nil {
		u.probing = false
		w.settle(now, upstream, u)
	}
}

// settle forgets the runs that a sign of life proves harmless, and puts off the next check of others.
func (w *Watch) settle(alive kcrclock.Time, name kcrid.Incarnation, u *watched) {
	runs, checks := u.runs[:0], u.checks[:0]
	for i, run := range u.runs {
		last, check := run.At.Add(lastCheck), u.checks[i]
		if alive >= last {
			continue
		}
		if check <= alive {
			check = last
		}
		runs, checks = append(runs, run), append(checks, check)
	}
	if u.runs, u.checks = runs, checks; len(runs) == 0 {
		w.remove(name)
	}
}

func (w *Watch) remove(name kcrid.Incarnation) {
	delete(w.upstreams, name)
	w.count.Add(-1)
}

// Unreachable records that an upstream accepts no connection since a time. It returns the runs
// that count as having crashed it: none if the upstream was heard since.
func (w *Watch) Unreachable(since kcrclock.Time, upstream kcrid.Incarnation) (crashed []LostRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := w.upstreams[upstream]
	if u == nil {
		return nil
	}
	u.probing = false
	if heard := u.runs[0].HeardAt(); heard >= since {
		w.settle(heard, upstream, u)
		return nil
	}
	w.remove(upstream)
	return u.runs
}
