// Package kcrlimit limits the concurrent runs at one upstream. The limit adapts to
// the latency and the refusals of the upstream, runs queue by priority, and a run that
// can't start before its deadline is refused at once, with the time after which to
// retry.
package kcrlimit

import (
	"math"
	"sort"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines the limiter. Invariants: a run starts only while fewer runs
// than the limit are active; an exclusive run starts only while no other is
// active, and no other starts beside it; a lower priority value starts first, and equal
// values start in order of arrival.

// Decision is the decision on a run request.
type Decision int

// Decisions of Limiter.Submit.
const (
	Admitted Decision = iota + 1 // the run starts now
	Queued                       // the run waits; Release returns its ticket
	Refused                      // the run can't start before its deadline
)

// Ticket identifies a run at the limiter.
type Ticket uint64

// RunRequest describes a run that is to start.
type RunRequest struct {
	Priority  int           // the lowest value starts first
	Exclusive bool          // must not share the upstream with other runs
	Deadline  kcrclock.Time // latest start
}

// Config holds the parameters of a limiter.
type Config struct {
	InitialLimit float64 // initial limit, in runs
	MinLimit     float64 // runs
	MaxLimit     float64 // highest limit, in runs
	MaxQueue     int     // runs
	// FirstTokenTarget is the target for the time to the first token.
	FirstTokenTarget kcrclock.Duration
	// TokenGapTarget is the target for the time between tokens.
	TokenGapTarget kcrclock.Duration
}

// DefaultConfig returns the parameters for the expected load. The target for the
// time to the first token is 1.9 s in total; a run may wait up to 1.2 s of it for
// its start, which leaves 0.7 s.
func DefaultConfig() Config {
	return Config{InitialLimit: 16, MinLimit: 1, MaxLimit: 256, MaxQueue: 64, FirstTokenTarget: 700, TokenGapTarget: 58}
}

// Decrease of the limit when the upstream is overloaded.
const (
	decreaseFactor      = 0.9
	minDecreaseInterval = kcrclock.Second
)

// queuedRun is a run that waits for its start.
type queuedRun struct {
	ticket  Ticket
	request RunRequest
}

// activeRun is a run that has started.
type activeRun struct {
	exclusive bool
	startedAt kcrclock.Time
}

// Limiter admits runs to one upstream. It is safe for concurrent use.
type Limiter struct {
	config Config

	mu              sync.Mutex
	limit           float64
	lastTicket      Ticket
	queue           []queuedRun // by priority, then by arrival
	runs            map[Ticket]activeRun
	decreasedAt     kcrclock.Time // last decrease of the limit
	averageDuration float64       // smoothed duration of a run in ms, 0 before the first
}

// New returns a limiter without runs.
func New(c Config) *Limiter {
	return &Limiter{config: c, limit: c.InitialLimit, runs: map[Ticket]activeRun{}}
}

// Submit asks to start a run. If the decision is Refused, retryAfter is the time
// after which a retry is likely to succeed.
func (l *Limiter) Submit(now kcrclock.Time, req RunRequest) (t Ticket, d Decision, retryAfter kcrclock.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastTicket++
	if l.canStart(req) && len(l.queue) == 0 {
		l.start(now, l.lastTicket, req)
		return l.lastTicket, Admitted, 0
	}
	wait := l.expectedWait(req)
	if len(l.queue) >= l.config.MaxQueue || now.Add(wait) > req.Deadline {
		return 0, Refused, max(wait, kcrclock.Second)
	}
	l.enqueue(queuedRun{ticket: l.lastTicket, request: req})
	return l.lastTicket, Queued, 0
}

// canStart reports whether a run may start now, regardless of the queue.
func (l *Limiter) canStart(req RunRequest) bool {
	if req.Exclusive {
		return len(l.runs) == 0
	}
	for _, r := range l.runs {
		if r.exclusive {
			return false
		}
	}
	return float64(len(l.runs)) < math.Max(1, math.Floor(l.limit))
}

// start records that a run has started.
func (l *Limiter) start(now kcrclock.Time, t Ticket, req RunRequest) {
	l.runs[t] = activeRun{exclusive: req.Exclusive, startedAt: now}
}

// enqueue inserts a run behind all runs of the same or a lower priority value.
func (l *Limiter) enqueue(run queuedRun) {
	i := sort.Search(len(l.queue), func(i int) bool { return l.queue[i].request.Priority > run.request.Priority })
	l.queue = append(l.queue, queuedRun{})
	copy(l.queue[i+1:], l.queue[i:])
	l.queue[i] = run
}

// expectedWait estimates how long a run would wait for its start.
func (l *Limiter) expectedWait(req RunRequest) kcrclock.Duration {
	ahead := 1
	for _, queued := range l.queue {
		if queued.request.Priority <= req.Priority {
			ahead++
		}
	}
	return kcrclock.Duration(l.averageDuration * float64(ahead) / math.Max(1, l.limit))
}

// Release ends a run. It returns the queued runs that start now and those that
// are dropped because their deadline has passed. With a ticket of no active run,
// such as 0, it only advances the queue.
func (l *Limiter) Release(now kcrclock.Time, t Ticket) (started, expired []Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r, ok := l.runs[t]; ok {
		l.recordDuration(float64(now.Sub(r.startedAt)))
		delete(l.runs, t)
	}
	return l.startQueued(now)
}

// recordDuration adds the duration of a run, in ms, to the smoothed average.
func (l *Limiter) recordDuration(duration float64) {
	if l.averageDuration == 0 {
		l.averageDuration = duration
		return
	}
	l.averageDuration += 0.1 * (duration - l.averageDuration)
}

// Cancel removes a queued run whose caller has disconnected.
func (l *Limiter) Cancel(t Ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.queue {
		if l.queue[i].ticket == t {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			return
		}
	}
}

// startQueued takes runs from the head of the queue: it drops those whose deadline
// has passed, starts the others, and stops at the first that can't start yet.
func (l *Limiter) startQueued(now kcrclock.Time) (started, expired []Ticket) {
	for len(l.queue) > 0 {
		next := l.queue[0]
		if next.request.Deadline < now {
			expired = append(expired, next.ticket)
			l.queue = l.queue[1:]
			continue
		}
		if !l.canStart(next.request) {
			break
		}
		l.queue = l.queue[1:]
		l.start(now, next.ticket, next.request)
		started = append(started, next.ticket)
	}
	return started, expired
}

// RecordFirstToken records the time from the start of a run to its first token.
func (l *Limiter) RecordFirstToken(now kcrclock.Time, took kcrclock.Duration) {
	l.adjustLimit(now, took > l.config.FirstTokenTarget)
}

// RecordTokenGap records the time between two tokens of a run.
func (l *Limiter) RecordTokenGap(now kcrclock.Time, took kcrclock.Duration) {
	if took > l.config.TokenGapTarget {
		l.adjustLimit(now, true)
	}
}

// RecordRejection records that the upstream refused a run because it lacked capacity.
func (l *Limiter) RecordRejection(now kcrclock.Time) { l.adjustLimit(now, true) }

// adjustLimit changes the limit by additive increase and multiplicative decrease.
// It decreases if the upstream is overloaded, at most once per
// minDecreaseInterval, and increases if all of the limit is in use.
func (l *Limiter) adjustLimit(now kcrclock.Time, overloaded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case overloaded && now.Sub(l.decreasedAt) >= minDecreaseInterval:
		l.limit = math.Max(l.config.MinLimit, math.Min(l.limit, float64(len(l.runs)))*decreaseFactor)
		l.decreasedAt = now
	case !overloaded && float64(len(l.runs)) >= math.Floor(l.limit):
		l.limit = math.Min(l.config.MaxLimit, l.limit+1/math.Max(1, l.limit))
	}
}

// Load returns the number of active runs, the limit, and the length of the queue.
func (l *Limiter) Load() (runs, limit, queue int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.runs), int(math.Max(1, math.Floor(l.limit))), len(l.queue)
}
