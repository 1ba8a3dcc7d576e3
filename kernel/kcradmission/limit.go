package kcradmission

import (
	"math"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines the limiter of one upstream. Its limit of concurrent runs adapts to the latency
// and the refusals of the upstream. Runs wait in the order of order.go, those of a team by arrival,
// and a run that can't start in its time is refused at once, with the time after which to come back.
// It answers runs above what one engine keeps its latency at.
// Invariants: a run starts only while fewer runs than the limit are active; an exclusive run starts
// only while no other is active, and no other starts beside it.

// Decision is the decision on a run request.
type Decision int

// Decisions of Limiter.Submit.
const (
	Admitted Decision = iota + 1 // the run starts now
	Queued                       // the run waits; Release returns its ticket
	Refused                      // the run can't start before its deadline
)

// LimiterConfig holds the parameters of a limiter.
type LimiterConfig struct {
	InitialLimit float64 // initial limit, in runs
	MinLimit     float64 // runs
	MaxLimit     float64 // highest limit, in runs
	MaxQueue     int     // runs of a rank that wait at once, shared among its teams
	// FirstTokenTarget is the target for the time to the first token.
	FirstTokenTarget kcrclock.Duration
	// TokenGapTarget is the target for the time between tokens.
	TokenGapTarget kcrclock.Duration
}

// DefaultLimiterConfig returns the parameters for the expected load. The target for the
// time to the first token is 1.9 s in total; a run may wait up to 1.2 s of it for
// its start, which leaves 0.7 s.
func DefaultLimiterConfig() LimiterConfig {
	return LimiterConfig{InitialLimit: 16, MinLimit: 1, MaxLimit: 256, MaxQueue: 64, FirstTokenTarget: 700, TokenGapTarget: 58}
}

// Decrease of the limit when the upstream is overloaded.
const (
	decreaseFactor      = 0.9
	minDecreaseInterval = kcrclock.Second
)

// activeRun is a run that has started.
type activeRun struct {
	exclusive bool
	startedAt kcrclock.Time
}

// Limiter admits runs to one upstream. It is safe for concurrent use.
type Limiter struct {
	config LimiterConfig

	mu              sync.Mutex
	limit           float64
	order           order
	runs            map[Ticket]activeRun
	decreasedAt     kcrclock.Time // last decrease of the limit
	averageDuration float64       // smoothed duration of a run in ms, 0 before the first
}

// NewLimiter returns a limiter without runs.
func NewLimiter(c LimiterConfig) *Limiter {
	return &Limiter{config: c, limit: c.InitialLimit, order: newOrder(), runs: map[Ticket]activeRun{}}
}

// Submit asks to start a run. If the decision is Refused, retryAfter is the time
// after which a retry is likely to succeed.
func (l *Limiter) Submit(now kcrclock.Time, req Request) (t Ticket, d Decision, retryAfter kcrclock.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.order.len() == 0 && l.canStart(req) {
		t = l.order.nextTicket()
		l.start(now, t, req)
		return t, Admitted, 0
	}
	wait := l.expectedWait(now, req)
	if !l.order.hasRoom(now, req, l.config.MaxQueue) || now.Add(wait) > req.Latest {
		return 0, Refused, max(wait, kcrclock.Second)
	}
	t = l.order.nextTicket()
	l.order.add(now, waiter{ticket: t, Request: req})
	return t, Queued, 0
}

// canStart reports whether a run may start now, regardless of the queue.
func (l *Limiter) canStart(req Request) bool {
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
func (l *Limiter) start(now kcrclock.Time, t Ticket, req Request) {
	l.runs[t] = activeRun{exclusive: req.Exclusive, startedAt: now}
}

// expectedWait estimates how long a run would wait for its start: for those of its team that came
// before it, at the rate of the team.
func (l *Limiter) expectedWait(now kcrclock.Time, req Request) kcrclock.Duration {
	if l.averageDuration == 0 {
		return 0
	}
	all := float64(kcrclock.Second) * math.Max(1, l.limit) / l.averageDuration
	return pace(l.order.ahead(req, 0)+1, l.order.rate(now, req, all))
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
	l.order.remove(t)
}

// startQueued takes the runs whose turn it is: it drops those whose time has passed, starts the
// others, and stops at the first that can't start yet.
func (l *Limiter) startQueued(now kcrclock.Time) (started, expired []Ticket) {
	for next, ok := l.order.first(); ok; next, ok = l.order.first() {
		if next.Latest < now {
			expired = append(expired, next.ticket)
			l.order.remove(next.ticket)
			continue
		}
		if !l.canStart(next.Request) {
			break
		}
		l.order.take(now)
		l.order.charge(now, next.Request)
		l.start(now, next.ticket, next.Request)
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
	return len(l.runs), int(math.Max(1, math.Floor(l.limit))), l.order.len()
}
