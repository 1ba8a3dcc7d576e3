package kcrplacement

import (
	"math"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the model of an engine, which a router learns from the answers to its own
// requests. The time to the first event is a line over the tokens to read, which all engines of a
// service share; an engine differs from it by its slowness, and for a while by the delay that the
// requests of other routers cause. Invariants: a line, a slowness and a delay stay within their
// bounds whatever was measured; what was learned of one engine loses its weight with age, down to
// the average of its service.

// Bounds of what may be learned and of samples that are believed.
const (
	minBase, maxBase         = 0.5, 3000.0  // ms
	minPerToken, maxPerToken = 0.00005, 2.0 // ms
	maxSlowness              = 2.1          // as a natural logarithm
	maxDelay                 = 5000.0       // ms
	maxFirstEvent            = kcrclock.Minute
	maxResidual              = 1.0 // of a sample from what was expected, as a natural logarithm
	// defaultBase and defaultPerToken hold until the first sample of a service.
	defaultBase, defaultPerToken = 15.0, 0.01 // ms
)

// Weights of samples. Requests of other routers only make a sample late, never early, so a late
// sample weighs less than an early one: the line lies near the lower edge of the samples.
const (
	lateWeight     = 0.35
	minLineGain    = 0.02
	minEngineGain  = 0.12
	delayGain      = 0.3
	meanDelayGain  = 0.03
	paceGain       = 0.03
	maxUncertain   = 0.3  // share of the tokens of a believed sample of which it isn't known whether they were cached
	enoughSamples  = 4.0  // at which what was learned of an engine counts half
	slownessExpiry = 40.0 // s, time constant with which the slowness of an engine loses its weight
	delayExpiry    = 2.0  // s, the same for its delay
)

// line is the time to the first event of a service's usual engine, without the requests of other
// routers.
type line struct {
	base      float64 // ms
	perToken  float64 // ms
	samples   float64
	meanDelay float64 // ms, average over all engines
	eventGap  float64 // ms between two events, 0 until one was measured
	runTime   float64 // ms that a run takes on average, 0 until one was measured
}

// newLine returns the line of a service that nothing is known of.
func newLine() line { return line{base: defaultBase, perToken: defaultPerToken} }

// at returns the time in ms to the first event after reading a number of tokens.
func (l *line) at(tokens kcrid.Tokens) float64 { return l.base + l.perToken*float64(tokens) }

// learn moves the line towards a sample: both of its parts by a step in proportion to what they
// add to the expected time.
func (l *line) learn(tokens kcrid.Tokens, residual float64) {
	l.samples++
	gain := max(1/(1+l.samples), minLineGain) * asymmetric(residual)
	baseShare := l.base / l.at(tokens)
	readShare := 1 - baseShare
	norm := baseShare*baseShare + readShare*readShare
	l.base = clamp(l.base*math.Exp(gain*baseShare/norm), minBase, maxBase)
	l.perToken = clamp(l.perToken*math.Exp(gain*readShare/norm), minPerToken, maxPerToken)
}

// learnRun adds the time that a run took to the average.
func (l *line) learnRun(took kcrclock.Duration) {
	sample := clamp(float64(took), 1, float64(maxFirstEvent))
	if l.runTime == 0 {
		l.runTime = sample
	}
	l.runTime += paceGain * (sample - l.runTime)
}

// asymmetric returns a bounded residual with less weight if it is late.
func asymmetric(residual float64) float64 {
	residual = clamp(residual, -maxResidual, maxResidual)
	if residual > 0 {
		return lateWeight * residual
	}
	return residual
}

// engine is what was learned of one engine.
type engine struct {
	slowness  float64 // logarithm of its times by those of the line
	samples   float64 // weight of the samples behind it
	learnedAt kcrclock.Time
	factor    float64 // slowness as a factor of time, with its weight; 0 stands for 1
	delay     float64 // ms, by requests of other routers or a passing fault, as of delayAt
	delayAt   kcrclock.Time
	class     int // of pace, see class.go

	awaited int           // requests without a first event
	movedAt kcrclock.Time // last first event, or when the first of the awaited requests was sent
}

// slow returns the factor by which the engine takes longer than the line of its service.
func (e *engine) slow() float64 {
	if e.factor == 0 {
		return 1
	}
	return e.factor
}

// learn adds a sample of the engine's slowness.
func (e *engine) learn(now kcrclock.Time, residual float64) {
	e.age(now)
	e.samples++
	gain := max(1/(1+e.samples), minEngineGain)
	e.slowness = clamp(e.slowness+gain*asymmetric(residual-e.slowness), -maxSlowness, maxSlowness)
	e.updateFactor()
}

// age reduces the weight of what was learned.
func (e *engine) age(now kcrclock.Time) {
	if e.samples > 0 && now > e.learnedAt {
		e.samples *= math.Exp(-now.Sub(e.learnedAt).Seconds() / slownessExpiry)
	}
	e.learnedAt = max(e.learnedAt, now)
	e.updateFactor()
}

func (e *engine) updateFactor() {
	e.factor = math.Exp(e.slowness * e.samples / (e.samples + enoughSamples))
}

// learnDelay adds a sample of the time in ms that the first event came late.
func (e *engine) learnDelay(now kcrclock.Time, late float64) {
	late = clamp(late, 0, maxDelay)
	delay := e.delayed(now)
	e.delay = delay + delayGain*(late-delay)
	e.delayAt = now
}

// delayed returns the delay in ms that is expected now.
func (e *engine) delayed(now kcrclock.Time) float64 {
	if e.delay < 1 {
		return 0
	}
	return e.delay * math.Exp(-max(0, now.Sub(e.delayAt).Seconds())/delayExpiry)
}

// await records that a request was sent.
func (e *engine) await(now kcrclock.Time) {
	if e.awaited == 0 {
		e.movedAt = now
	}
	e.awaited++
}

// answered records that a request got its first event, or ended without one.
func (e *engine) answered(now kcrclock.Time) {
	e.awaited--
	e.movedAt = max(e.movedAt, now)
}

// otherDelay returns the time in ms by which a first event of an upstream is expected to come late
// compared with the others of the service: as it did of late, or as long as the upstream has been
// silent beyond the time that it needs for its backlog.
func (s *service) otherDelay(now kcrclock.Time, u *upstream) float64 {
	delay := u.engine.delayed(now)
	if u.engine.awaited > 0 {
		silent := float64(now.Sub(u.engine.movedAt)) - s.line.at(u.backlog)*u.engine.slow()
		delay = max(delay, min(silent, maxDelay))
	}
	return max(0, delay-s.line.meanDelay)
}

// firstEvent returns the expected time in ms to the first event of a request at an upstream.
func (s *service) firstEvent(now kcrclock.Time, u *upstream, uncached kcrid.Tokens) float64 {
	return s.line.at(u.backlog+uncached)*u.engine.slow() + s.otherDelay(now, u)
}

// learnFirstEvent learns from the time that the first event of a request took. It reports whether
// the engine's class of pace has changed.
func (c *Choice) learnFirstEvent(now kcrclock.Time) (changed bool) {
	took := float64(now.Sub(c.started))
	if took < 0 || now.Sub(c.started) > maxFirstEvent {
		return false
	}
	took = max(took, minBase)
	s, e := c.service, &c.state.engine
	expected := s.line.at(c.ahead)
	late := max(0, took-expected*e.slow())
	e.learnDelay(now, late)
	s.line.meanDelay += meanDelayGain * (min(late, maxDelay) - s.line.meanDelay)
	if c.uncertain > maxUncertain || now < c.state.warmAt {
		return false
	}
	residual := math.Log(took / expected)
	s.line.learn(c.ahead, residual)
	e.learn(now, residual)
	return s.reclass(e)
}

// Streamed reports, before Finish, that a run has sent the last of a number of events. The time
// between events shows the pace of the engine. It returns the engine's class of pace, and
// whether that has changed.
func (c *Choice) Streamed(now kcrclock.Time, events int) (class int, changed bool) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	e := &c.state.engine
	if c.firstAt == 0 || events < minEvents || now <= c.firstAt || now < c.state.warmAt {
		return e.class, false
	}
	gap := clamp(float64(now.Sub(c.firstAt))/float64(events-1), minGap, maxGap)
	l := &c.service.line
	if l.eventGap == 0 {
		l.eventGap = gap
	}
	residual := math.Log(gap / l.eventGap)
	l.eventGap *= math.Exp(paceGain * asymmetric(residual))
	e.learn(now, residual)
	changed = c.service.reclass(e)
	return e.class, changed
}

// Bounds of streams that show a pace.
const (
	minEvents      = 8
	minGap, maxGap = 0.1, 5000.0 // ms
)

// clamp returns the value of a range that is nearest to x.
func clamp(x, low, high float64) float64 { return max(low, min(high, x)) }
