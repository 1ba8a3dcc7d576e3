// Package kcrlimit bounds the work at one upstream. The limit adapts to what
// the upstream shows, work waits by rank, and what cannot start in time is
// refused at once with the time until a retry makes sense.
package kcrlimit

import (
	"math"
	"sort"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines the limiter. Invariants: no more than Limit runs are
// admitted at once; a run that must be apart is alone; a lower rank goes first
// and equal ranks go in order of arrival.

// Verdict says what becomes of an offer.
type Verdict int

// The verdicts.
const (
	Admitted Verdict = iota + 1
	Queued
	Refused
)

// Ticket names a run at the limiter.
type Ticket uint64

// Offer is a run that wants to start.
type Offer struct {
	Rank     int
	Apart    bool
	Deadline kcrclock.Time // latest start
}

// Config bounds a limiter.
type Config struct {
	Start float64 // runs
	Low   float64 // runs
	High  float64 // runs
	Queue int     // runs
	// First is the target for the time to the first token.
	First kcrclock.Duration
	// Gap is the target for the time between tokens.
	Gap kcrclock.Duration
}

// DefaultConfig returns the targets of the design size: of the 1.9 s to the
// first token a run may wait 1.2 s for its start, so 0.7 s are left.
func DefaultConfig() Config {
	return Config{Start: 16, Low: 1, High: 256, Queue: 64, First: 700, Gap: 58}
}

const (
	shrink      = 0.9
	shrinkPause = kcrclock.Second
)

type waiting struct {
	ticket Ticket
	offer  Offer
}

type running struct {
	apart bool
	since kcrclock.Time
}

// Limiter admits runs to one upstream. It is safe for concurrent use.
type Limiter struct {
	config Config

	mu      sync.Mutex
	limit   float64
	next    Ticket
	queue   []waiting
	runs    map[Ticket]running
	shrunk  kcrclock.Time
	service float64 // smoothed length of a run, ms
}

// New returns a limiter without runs.
func New(c Config) *Limiter {
	return &Limiter{config: c, limit: c.Start, runs: map[Ticket]running{}}
}

// Offer asks to start a run. After is the time until a retry makes sense, set
// when the verdict is Refused.
func (l *Limiter) Offer(now kcrclock.Time, o Offer) (t Ticket, v Verdict, after kcrclock.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.next++
	if l.fits(o) && len(l.queue) == 0 {
		l.start(now, l.next, o)
		return l.next, Admitted, 0
	}
	wait := l.expect(o)
	if len(l.queue) >= l.config.Queue || now.Add(wait) > o.Deadline {
		return 0, Refused, max(wait, kcrclock.Second)
	}
	l.insert(waiting{ticket: l.next, offer: o})
	return l.next, Queued, 0
}

func (l *Limiter) fits(o Offer) bool {
	if o.Apart {
		return len(l.runs) == 0
	}
	for _, r := range l.runs {
		if r.apart {
			return false
		}
	}
	return float64(len(l.runs)) < math.Max(1, math.Floor(l.limit))
}

func (l *Limiter) start(now kcrclock.Time, t Ticket, o Offer) {
	l.runs[t] = running{apart: o.Apart, since: now}
}

func (l *Limiter) insert(w waiting) {
	i := sort.Search(len(l.queue), func(i int) bool { return l.queue[i].offer.Rank > w.offer.Rank })
	l.queue = append(l.queue, waiting{})
	copy(l.queue[i+1:], l.queue[i:])
	l.queue[i] = w
}

// expect returns how long an offer would wait for its start.
func (l *Limiter) expect(o Offer) kcrclock.Duration {
	ahead := 1
	for _, w := range l.queue {
		if w.offer.Rank <= o.Rank {
			ahead++
		}
	}
	return kcrclock.Duration(l.service * float64(ahead) / math.Max(1, l.limit))
}

// Release ends a run and returns the tickets that start now and those whose
// deadline has passed.
func (l *Limiter) Release(now kcrclock.Time, t Ticket) (started, expired []Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.runs[t]; ok {
		l.observe(float64(now.Sub(r.since)))
		delete(l.runs, t)
	}
	return l.advance(now)
}

func (l *Limiter) observe(length float64) {
	if l.service == 0 {
		l.service = length
		return
	}
	l.service += 0.1 * (length - l.service)
}

// Withdraw removes a queued run whose caller has left.
func (l *Limiter) Withdraw(t Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.queue {
		if l.queue[i].ticket == t {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return
		}
	}
}

func (l *Limiter) advance(now kcrclock.Time) (started, expired []Ticket) {
	for len(l.queue) > 0 {
		w := l.queue[0]
		if w.offer.Deadline < now {
			expired = append(expired, w.ticket)
			l.queue = l.queue[1:]
			continue
		}
		if !l.fits(w.offer) {
			break
		}
		l.queue = l.queue[1:]
		l.start(now, w.ticket, w.offer)
		started = append(started, w.ticket)
	}
	return started, expired
}

// First reports the time from start to first token of a run.
func (l *Limiter) First(now kcrclock.Time, took kcrclock.Duration) {
	l.adapt(now, took > l.config.First)
}

// Gap reports a time between two tokens of a run.
func (l *Limiter) Gap(now kcrclock.Time, took kcrclock.Duration) {
	if took > l.config.Gap {
		l.adapt(now, true)
	}
}

// Rejected reports that the upstream refused a run for want of capacity.
func (l *Limiter) Rejected(now kcrclock.Time) { l.adapt(now, true) }

func (l *Limiter) adapt(now kcrclock.Time, late bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case late && now.Sub(l.shrunk) >= shrinkPause:
		l.limit = math.Max(l.config.Low, math.Min(l.limit, float64(len(l.runs)))*shrink)
		l.shrunk = now
	case !late && float64(len(l.runs)) >= math.Floor(l.limit):
		l.limit = math.Min(l.config.High, l.limit+1/math.Max(1, l.limit))
	}
}

// Load returns the number of runs, the limit, and the length of the queue.
func (l *Limiter) Load() (runs, limit, queue int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs), int(math.Max(1, math.Floor(l.limit))), len(l.queue)
}
