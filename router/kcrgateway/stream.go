package kcrgateway

import (
	"errors"
	"io"
	"strconv"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrplace"
	"kingcuprun.example/link/kcrhttp"
)

// This file forwards event streams. Invariants: only whole events reach the
// caller, each once and in order; a stream that ends before its upstream ended
// it is never given the end of a whole one; a run is gone on with elsewhere
// only where the route allows it, and after the connection to the run before
// was closed, which ends it.

// Patience with an engine where another may be tried.
const (
	// firstPart is the part of the aim after which an engine that sent no event
	// yet is asked whether it is alive.
	firstPart = 0.45
	// pausePart is the part of the longest pause after which an engine that went
	// silent is asked: what is left of it is enough to go on elsewhere.
	pausePart = 0.5
	// hungFactor times the aim or the pause is how long an engine that takes
	// connections may be silent. Long prompts of others keep one silent for a
	// while, and to go on elsewhere means to read the prompt again.
	hungFactor = 2.5
	// lastPart is the part of a caller's patience after which an engine whose
	// stream can't go on elsewhere is asked: a dead one will not answer in time.
	lastPart = 0.85
	readBuf  = 4096
)

// stream is the answer to a streamed request, made of one run or several.
type stream struct {
	x       *exchange
	started bool // the caller has the head
	last    int64
	events  kcrhttp.Events
	buf     [readBuf]byte
}

// forwardStream makes attempts until a stream has come to its end.
func (x *exchange) forwardStream() {
	s := &stream{x: x, last: -1}
	if n, err := strconv.ParseInt(x.head.Get(x.g.dialect.Resume), 10, 64); err == nil {
		s.last = n
	}
	from := func() int64 {
		if x.events > 0 {
			return s.last
		}
		return -1
	}
	if why := x.attempt(from, s.run); why != "" {
		s.fail(why)
	}
}

// fail ends a stream that did not come to its end.
func (s *stream) fail(why string) {
	x := s.x
	if !s.started {
		x.fail(why, retrySoon)
		return
	}
	x.close = true
	x.outcome, x.text = outcomeBroken, why
	if x.left.Load() {
		x.outcome = outcomeLeft
	}
}

// run passes one run on. It returns why it ended early, "" where the caller has
// its answer.
func (s *stream) run(t *try) (why string) {
	x := s.x
	v, why := s.await(t)
	if v != answered {
		x.ran = x.ran || v == unknown
		t.end(t.resultOf(v, why), why)
		return why
	}
	x.ran = true
	if t.head.Status >= 300 {
		return s.other(t)
	}
	s.events.Reset()
	why = s.pump(t)
	if why == "" {
		t.end(kcrplace.Served, "")
		s.finish(t)
		return ""
	}
	t.end(t.resultOf(unknown, why), why)
	return why
}

// other passes on an answer that is no stream.
func (s *stream) other(t *try) (why string) {
	x := s.x
	body, err := t.body.ReadAll(maxAnswer)
	if err != nil {
		why = readError(err)
		t.end(t.resultOf(unknown, why), why)
		return why
	}
	t.end(kcrplace.Failed, "status "+strconv.Itoa(t.head.Status))
	if s.started || x.route.Resumable {
		x.failed = &answer{t.head, body}
		return upstreamFailed
	}
	x.passWhole(t.head, body)
	return ""
}

// moves tells whether the stream may go on elsewhere.
func (s *stream) moves() bool { return s.x.route.Resumable && s.x.runs < s.x.route.Attempts }

// until returns the moment up to which an event is waited for before the engine
// is asked: part of what it may take, or where the stream has to stay, most of
// the caller's patience.
func (s *stream) until(limit kcrclock.Duration, part float64) kcrclock.Time {
	x := s.x
	patience := x.g.dialect.Patience
	switch {
	case s.moves() && limit > 0:
		return min(x.deadline, x.g.clock.Now().Add(kcrclock.Duration(part*float64(limit))))
	case !s.moves() && patience != nil:
		wait := lastPart * float64(patience(x.route.Aim, x.route.Pause))
		return min(x.deadline, x.g.clock.Now().Add(kcrclock.Duration(wait)))
	default:
		return x.deadline
	}
}

// hung returns the moment at which an engine that lives is given up.
func (s *stream) hung(since kcrclock.Time, limit kcrclock.Duration) kcrclock.Time {
	if !s.moves() {
		return s.x.deadline
	}
	return min(s.x.deadline, since.Add(kcrclock.Duration(hungFactor*float64(limit))))
}

// await waits for the head of the answer. An engine that sends none is asked
// whether it is alive.
func (s *stream) await(t *try) (v verdict, why string) {
	until := s.until(s.x.route.Aim, firstPart)
	if v, why = t.await(until); why != timedOut || until >= s.x.deadline || dead(t.choice.Addr) {
		return v, why
	}
	return t.await(s.hung(s.x.g.clock.Now(), s.x.route.Aim))
}

// silent tells whether an engine that sent nothing for limit is to be given up:
// it is dead, or was silent for too long.
func (s *stream) silent(t *try, since kcrclock.Time, limit kcrclock.Duration) bool {
	now, hung := s.x.g.clock.Now(), s.hung(since, limit)
	if s.x.left.Load() || now >= hung || dead(t.choice.Addr) {
		return true
	}
	t.readUntil(hung)
	return false
}

// pump passes events on until the run ends. It returns why it ended early.
func (s *stream) pump(t *try) (why string) {
	for began := false; ; {
		n, err := s.read(t, began)
		if n > 0 && !began {
			began = true
			t.choice.Began(s.x.g.clock.Now())
		}
		s.events.Feed(s.buf[:n])
		if why := s.deliver(t); why != "" {
			return why
		}
		switch {
		case errors.Is(err, io.EOF) && s.events.Pending() > 0:
			return "the stream ended within an event"
		case errors.Is(err, io.EOF):
			return ""
		case err != nil:
			return readError(err)
		}
	}
}

// read reads what has come of a run. An engine that is silent for longer than
// the first event or the next may take is asked whether it is alive.
func (s *stream) read(t *try, began bool) (n int, err error) {
	limit, part := s.x.route.Pause, pausePart
	if !began {
		limit, part = s.x.route.Aim, firstPart
	}
	since := s.x.g.clock.Now()
	until := s.until(limit, part)
	t.readUntil(until)
	n, err = t.body.Read(s.buf[:])
	if n > 0 || err == nil || until >= s.x.deadline || readError(err) != timedOut {
		return n, err
	}
	if s.silent(t, since, limit) || !t.body.Again() {
		return 0, err
	}
	return t.body.Read(s.buf[:])
}

// deliver writes the whole events that have arrived.
func (s *stream) deliver(t *try) (why string) {
	data, why := s.take()
	if len(data) == 0 {
		return why
	}
	x := s.x
	c := x.caller
	out := c.out[:0]
	if cap(out) < readBuf {
		out = make([]byte, 0, 2*readBuf)
	}
	x.passed()
	if !s.started {
		s.started = true
		x.first = x.g.clock.Now().Sub(x.started)
		out = x.pass(out, t.head, -1)
	}
	if x.head.Old {
		out = append(out, data...)
	} else {
		out = kcrhttp.AppendChunk(out, data)
	}
	c.out = out[:0]
	if c.write(out) != nil {
		x.left.Store(true)
		return callerLeft
	}
	return why
}

// take returns the whole events that the caller does not have yet. An event
// that does not follow the last one ends the run.
func (s *stream) take() (data []byte, why string) {
	for {
		ev, ok := s.events.Next()
		switch {
		case !ok:
			return data, ""
		case ev.ID >= 0 && ev.ID <= s.last:
			continue
		case ev.ID >= 0 && s.last >= 0 && ev.ID != s.last+1:
			return data, "event " + strconv.FormatInt(ev.ID, 10) + " after " + strconv.FormatInt(s.last, 10)
		}
		if ev.ID >= 0 {
			s.last = ev.ID
		}
		s.x.events++
		data = append(data, ev.Data...)
	}
}

// passed notes when events were passed on.
func (x *exchange) passed() {
	now := x.g.clock.Now()
	if x.passedAt > 0 {
		x.pause = max(x.pause, now.Sub(x.passedAt))
	}
	x.passedAt = now
}

// finish ends a stream that is whole.
func (s *stream) finish(t *try) {
	x := s.x
	x.outcome = outcomeServed
	c := x.caller
	out := c.out[:0]
	if !s.started {
		out = x.pass(out, t.head, -1)
	}
	if !x.head.Old {
		out = append(out, kcrhttp.LastChunk...)
	}
	if len(out) > 0 && c.write(out) != nil {
		x.outcome, x.close = outcomeLeft, true
	}
}
