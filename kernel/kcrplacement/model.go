package kcrplacement

import (
	"math"
	"sync/atomic"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrload"
)

// This file defines what a router knows of one upstream from its own requests: its load,
// failures, latency and the parts of prompts that it has cached. Invariant: observations
// lose their weight with age, so that an upstream that performed badly is tried again.

// Result says how an attempt at an upstream ended.
type Result int

// Results of an attempt.
const (
	Served         Result = iota
	Refused               // the upstream replied that it did not run the request
	Misdirected           // a different upstream now uses the address
	Unreachable           // no connection could be established
	ConnectionLost        // the connection closed before the response was complete
	Stalled               // no data arrived before the timeout
	ErrorResponse         // the upstream responded with an error
	CallerLeft            // the caller disconnected
)

// resultNames are the logged names of the results.
var resultNames = [...]string{"served", "refused", "misdirected", "unreached", "broken", "stalled", "failed", "abandoned"}

// String returns the name of the result, as it is logged.
func (r Result) String() string { return resultNames[r] }

// Cooldowns, smoothing factors and limits of the statistics. An upstream in
// cooldown is chosen only if no other is available.
const (
	// minBackoff is the cooldown after the first failed connection. It doubles
	// with each further one, up to maxBackoff.
	minBackoff = 250 * kcrclock.Millisecond
	maxBackoff = 2 * kcrclock.Second
	// stallCooldown applies after an upstream stopped sending data.
	stallCooldown = 1500 * kcrclock.Millisecond
	// refusalCooldown applies after an upstream refused a request because it
	// is full.
	refusalCooldown = 150 * kcrclock.Millisecond
	// staleAddressCooldown applies to an address that another upstream now uses.
	staleAddressCooldown = 5 * kcrclock.Second
	// decayTime is the time constant of the exponential decay of observations.
	decayTime = 4 * kcrclock.Second
	// failureWeight is the weight of the newest result in the failure rate.
	failureWeight = 0.25
)

// upstream holds the statistics of one upstream. It is guarded by the lock of its
// service.
type upstream struct {
	Upstream
	hash      uint64            // of the ID
	key       kcrload.Key       // of this start
	longPool  bool              // belongs to the long-prompt pool
	inflight  int               // requests of this router
	backlog   kcrid.Tokens      // prompt tokens that this router sent and that are not read yet
	retryAt   kcrclock.Time     // end of the cooldown after a failure
	backoff   kcrclock.Duration // last cooldown after a failed connection
	fails     float64           // failure rate from 0 to 1, as of failsAt
	failsAt   kcrclock.Time
	engine    engine        // what was learned of its pace
	unsure    kcrid.Tokens  // of the backlog, those that may be cached
	warmAt    kcrclock.Time // end of the slow time after a start, as its entry says
	coldUntil kcrclock.Time // end of the time for which it counts as cold
	lost      bool          // may have ended, and counts as cold once it is reached again
	lostAt    kcrclock.Time // when that was seen last
	memory    memory        // as far as this router fills it
	others    othersLoad    // of other routers
	rateLimit RateLimit     // as it named it last
	heardAt   atomic.Int64  // when it last sent something, as a kcrclock.Time; 0 for never

	fullUntil     kcrclock.Time // end of the cooldown after a refusal
	withheldUntil kcrclock.Time // with a rate limit, not chosen before this time
	pausedUntil   kcrclock.Time // wants no requests before this time
	badPause      bool          // has named a time that makes no sense
	onTrial       bool          // has not begun to answer a request since it wanted none
	trials        int           // requests in flight that it got on trial
}

// uncached returns the number of prompt tokens that an upstream has to read. A
// prefix cache is usable up to the first part that is not cached.
func (u *upstream) uncached(req *Request) kcrid.Tokens {
	uncached := req.PromptTokens
	for _, p := range req.PromptParts {
		if !u.memory.has(p.ID) {
			break
		}
		uncached -= p.Tokens
	}
	return max(0, uncached)
}

// recordCached notes that the shared parts of a prompt will be cached. A prompt
// with a single part counts as shared.
func (u *upstream) recordCached(parts []PromptPart) {
	for i, p := range parts {
		if i == len(parts)-1 && len(parts) > 1 {
			break // the last part belongs to this request alone
		}
		u.memory.record(p, u.Capacity)
	}
}

// failureRate returns the decayed failure rate.
func (u *upstream) failureRate(now kcrclock.Time) float64 {
	if u.fails == 0 {
		return 0
	}
	return u.fails * decay(now.Sub(u.failsAt))
}

// decay returns the remaining weight of an observation of the given age.
// Because of the decay, an upstream that performed badly is tried again.
func decay(age kcrclock.Duration) float64 { return math.Exp(-age.Seconds() / decayTime.Seconds()) }

// Heard reports that the upstream has sent something.
func (c *Choice) Heard(now kcrclock.Time) { c.state.heardAt.Store(int64(now)) }

// HeardAt returns when the upstream last sent something in any run since its start, 0 for never.
func (c *Choice) HeardAt() kcrclock.Time { return kcrclock.Time(c.state.heardAt.Load()) }

// ResponseStarted reports that the response has begun to arrive: the prompt is read, and
// the upstream is reachable. It returns the upstream's class of pace, and whether that has changed.
func (c *Choice) ResponseStarted(now kcrclock.Time) (class int, changed bool) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.endTrial(now, true)
	c.learnFirstTime(now)
	c.releaseBacklog()
	c.answered(now)
	c.state.backoff = 0
	c.state.retryAt = min(c.state.retryAt, now)
	changed = c.learnFirstEvent(now)
	return c.state.engine.class, changed
}

// answered records the first event of the request, or its end without one.
func (c *Choice) answered(now kcrclock.Time) {
	if c.firstAt == 0 {
		c.firstAt = max(1, now)
		c.state.engine.answered(now)
	}
}

// releaseBacklog takes the tokens of the request out of the backlog of its upstream.
func (c *Choice) releaseBacklog() {
	c.state.backlog -= c.pending
	c.state.unsure -= c.unsure
	c.pending, c.unsure = 0, 0
}

// Finish reports the result of the attempt and removes the request from the load of
// its upstream.
func (c *Choice) Finish(now kcrclock.Time, r Result) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	u := c.state
	c.endTrial(now, false)
	u.inflight--
	u.memory.running -= c.held
	c.answered(now)
	c.releaseBacklog()
	switch r {
	case Served:
		u.recordResult(now, 0)
		c.service.line.learnRun(now.Sub(c.started))
	case ErrorResponse:
		u.recordResult(now, 1)
	case ConnectionLost:
		u.loses(now)
		u.recordResult(now, 1)
	case Refused:
		u.fullUntil = now.Add(refusalCooldown)
	case Misdirected:
		u.avoid(now, staleAddressCooldown)
	case Unreachable:
		u.loses(now)
		u.backoff = min(max(minBackoff, 2*u.backoff), maxBackoff)
		u.avoid(now, u.backoff)
		u.memory.forget()
	case Stalled:
		u.loses(now)
		u.recordResult(now, 1)
		u.avoid(now, stallCooldown)
	case CallerLeft:
	}
}

// recordResult updates the failure rate; failed is 1 for a failure and 0 for a
// success.
func (u *upstream) recordResult(now kcrclock.Time, failed float64) {
	u.fails = u.failureRate(now)
	u.fails += failureWeight * (failed - u.fails)
	u.failsAt = now
}

// avoid extends the cooldown after a failure to at least d after t.
func (u *upstream) avoid(t kcrclock.Time, d kcrclock.Duration) { u.retryAt = max(u.retryAt, t.Add(d)) }

// avoidedUntil returns the end of the cooldown.
func (u *upstream) avoidedUntil() kcrclock.Time { return max(u.retryAt, u.fullUntil) }
