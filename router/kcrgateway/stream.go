package kcrgateway

import (
	"errors"
	"io"
	"strconv"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/link/kcrhttp"
)

// This file forwards event streams. Invariants: the caller receives only complete
// events, each once and in order; a stream that its upstream did not complete never
// ends like a complete one; a stream is resumed on another upstream only if the
// route allows it, and only after the connection of the previous run was closed,
// which ends that run; it goes on only at the software version that began it.

// When a silent engine is probed by opening a connection to it, and when it is
// given up.
const (
	// firstEventFraction is the fraction of the route's latency target after which
	// an engine that has sent no event is probed.
	firstEventFraction = 0.45
	// eventGapFraction is the fraction of the route's event gap target after which an
	// engine that stopped sending events is probed. The rest of the pause is enough
	// to resume on another upstream.
	eventGapFraction = 0.5
	// maxSilenceFactor times the latency target or the event gap target is the time
	// after which an engine that accepts connections is given up. Long prompts of
	// other requests can silence an engine for a while, and resuming elsewhere means
	// that the prompt is processed again.
	maxSilenceFactor = 2.5
	// callerIdleFraction is the fraction of the caller's idle timeout after which an
	// engine is probed if its stream can't be resumed elsewhere: an unreachable
	// engine won't respond in time.
	callerIdleFraction = 0.85
	readBufSize        = 4096 // bytes
	// maxEventBytes is the maximum size of an event.
	maxEventBytes = 64 << 10
)

// streamForwarder forwards the events of one or more runs to the caller of an exchange.
type streamForwarder struct {
	x           *exchange
	headSent    bool                  // the response head was written to the caller
	contentType string                // of that head
	resumed     bool                  // the current run goes on with the stream of an earlier one
	lastEventID int64                 // of the last event that the caller has, -1 if it is unknown
	progressAt  kcrclock.Time         // of the last event of the current run that was not a comment; initially its start
	probed      bool                  // the engine was reachable after that
	kept        bool                  // no retry was left to give up the engine after that
	events      kcrhttp.EventSplitter // splits the current run into events
	readBuf     [readBufSize]byte
}

// forwardStream makes attempts until the stream is complete.
func (x *exchange) forwardStream() {
	s := &streamForwarder{x: x, lastEventID: -1}
	if eventID, err := strconv.ParseInt(x.head.Get(x.gateway.headerNames.LastEventID), 10, 64); err == nil {
		s.lastEventID = eventID
	}
	lastEventID := func() int64 {
		if x.deliveredEvents > 0 {
			return s.lastEventID
		}
		return -1
	}
	if reason := x.runAttempts(lastEventID, s.forwardStreamResponse); reason != "" {
		s.fail(reason)
	}
}

// fail ends a stream that is incomplete. If the caller has received its head, the
// connection closes without the end of the body: for HTTP/1.0 it is reset, since a plain close
// is the end.
func (s *streamForwarder) fail(reason string) {
	x := s.x
	if !s.headSent {
		x.fail(reason, retryAfterShort)
		return
	}
	x.closeAfter = true
	if x.head.IsHTTP10 {
		x.caller.resetOnClose()
	}
	x.outcome, x.reason = outcomeBrokenOff, reason
	switch {
	case x.callerLeft.Load():
		x.outcome = x.disconnectOutcome()
	case x.aborted.Load():
		x.outcome, x.reason = outcomeCutOff, reasonStopped
	}
}

// forwardStreamResponse forwards the events of one run to the caller. It returns
// the reason why the run ended early, or "" if the caller's response is complete.
func (s *streamForwarder) forwardStreamResponse(a *attempt) (reason string) {
	x := s.x
	state, reason := s.awaitResponse(a)
	if state != stateOK {
		x.recordFailedHead(a, state, reason)
		return reason
	}
	x.mayHaveRun = true
	if a.head.Status >= 300 {
		return s.forwardOtherResponse(a)
	}
	s.resumed = s.headSent
	if s.resumed && a.head.Get("Content-Type") != s.contentType {
		reason = "an answer that is no stream"
		a.end(kcrplacement.ErrorResponse, reason)
		return reason
	}
	s.events.Reset()
	s.recordProgress()
	reason = s.forwardEvents(a)
	if reason == "" {
		a.end(kcrplacement.Served, "")
		x.clearSuspicions()
		s.finish(a)
		return ""
	}
	a.end(a.result(stateMayHaveRun, reason), reason)
	return reason
}

// forwardOtherResponse handles a response that is no stream. It is kept as the
// exchange's upstreamError if another upstream may still serve the request.
func (s *streamForwarder) forwardOtherResponse(a *attempt) (reason string) {
	x := s.x
	body, err := x.caller.place.readBuffered(a.body)
	if err != nil {
		reason = readErrorReason(err)
		a.end(a.result(stateMayHaveRun, reason), reason)
		return reason
	}
	a.end(kcrplacement.ErrorResponse, "status "+strconv.Itoa(a.head.Status))
	if s.headSent || x.route.Resumable {
		x.upstreamError = &response{a.head, body}
		return reasonUpstreamFailed
	}
	x.writeResponse(a.head, body)
	return ""
}

// canMove reports whether the stream may be resumed on another upstream.
func (s *streamForwarder) canMove() bool {
	return s.x.route.Resumable && (!s.x.begun || s.x.version != "") && s.x.runs < s.x.route.MaxRuns && !s.kept
}

// recordProgress records that the current run has made progress, or starts.
func (s *streamForwarder) recordProgress() {
	s.progressAt, s.probed, s.kept = s.x.gateway.clock.Now(), false, false
}

// probeDeadline returns when an engine that is silent since a time is probed. limit is the
// route's latency target or event gap target. The probe comes after the given fraction of
// the limit or, if the stream can't be resumed elsewhere, after most of the caller's idle
// timeout.
func (s *streamForwarder) probeDeadline(since kcrclock.Time, limit kcrclock.Duration, fraction float64) kcrclock.Time {
	x := s.x
	callerIdleTimeout := x.gateway.headerNames.CallerIdleTimeout
	switch {
	case s.canMove() && limit > 0:
		return min(x.deadline, since.Add(kcrclock.Duration(fraction*float64(limit))))
	case !s.canMove() && callerIdleTimeout != nil:
		maxWait := callerIdleFraction * float64(callerIdleTimeout(x.route.LatencyTarget, x.route.EventGapTarget))
		return min(x.deadline, since.Add(kcrclock.Duration(maxWait)))
	default:
		return x.deadline
	}
}

// giveUpDeadline returns when an engine that is reachable but silent since a time is
// given up.
func (s *streamForwarder) giveUpDeadline(since kcrclock.Time, limit kcrclock.Duration) kcrclock.Time {
	if !s.canMove() {
		return s.x.deadline
	}
	return min(s.x.deadline, since.Add(kcrclock.Duration(maxSilenceFactor*float64(limit))))
}

// silenceDeadline returns until when an engine that is silent since a time is waited for: it
// is probed then or, if it was probed already, given up.
func (s *streamForwarder) silenceDeadline(since kcrclock.Time, limit kcrclock.Duration, fraction float64) kcrclock.Time {
	if s.probed {
		return s.giveUpDeadline(since, limit)
	}
	return s.probeDeadline(since, limit, fraction)
}

// awaitResponse reads the response head. An engine that sends none in time is
// probed, and gets more time if it is reachable.
func (s *streamForwarder) awaitResponse(a *attempt) (state attemptState, reason string) {
	s.recordProgress()
	since, limit := s.progressAt, s.x.route.LatencyTarget
	for {
		deadline := s.silenceDeadline(since, limit, firstEventFraction)
		state, reason = a.readResponseHead(deadline)
		if reason != reasonTimedOut || deadline >= s.x.deadline || s.shouldGiveUp(a, since, limit) {
			return state, reason
		}
		if s.probed {
			since = s.x.gateway.clock.Now()
		}
	}
}

// shouldGiveUp reports whether an engine that is silent since a time is given up, because it
// is unreachable or was silent for too long. Without a retry for another engine it is kept:
// it may only be slow, or this router too busy to reach it.
func (s *streamForwarder) shouldGiveUp(a *attempt, since kcrclock.Time, limit kcrclock.Duration) bool {
	silentTooLong := s.x.gateway.clock.Now() >= s.giveUpDeadline(since, limit)
	switch {
	case s.x.interrupted():
		return true
	case !silentTooLong && !a.upstreamUnreachable():
		s.probed = true
		return false
	case !s.canMove() || s.x.holdRetry():
		a.unreachable = !silentTooLong
		return true
	default:
		s.kept, s.probed = true, false
		return false
	}
}

// forwardEvents forwards events until the run ends. It returns the reason why the
// run ended early, or "".
func (s *streamForwarder) forwardEvents(a *attempt) (reason string) {
	for receivedAny := false; ; {
		n, err := s.readBody(a, receivedAny)
		if n > 0 {
			a.choice.Heard(s.x.gateway.clock.Now())
		}
		if n > 0 && !receivedAny {
			receivedAny = true
			a.responseStarted()
		}
		s.events.Feed(s.readBuf[:n])
		if reason := s.writeEvents(a); reason != "" {
			return reason
		}
		if s.events.Pending() > maxEventBytes {
			return "an event without an end"
		}
		switch {
		case errors.Is(err, io.EOF) && s.events.Pending() > 0:
			return "the stream ended within an event"
		case errors.Is(err, io.EOF) && a.body.UntilClose() && s.lastEventID < 0 && s.x.deliveredEvents == 0:
			return "the stream ended before its first event"
		case errors.Is(err, io.EOF):
			return ""
		case err != nil:
			return readErrorReason(err)
		}
	}
}

// readBody reads the next bytes of the stream. An engine that makes no progress for too
// long is probed, and gets more time if it is reachable. Bytes that complete no event are
// no progress.
func (s *streamForwarder) readBody(a *attempt, receivedAny bool) (n int, err error) {
	limit, fraction := s.x.route.EventGapTarget, eventGapFraction
	if !receivedAny {
		limit, fraction = s.x.route.LatencyTarget, firstEventFraction
	}
	for {
		deadline := s.silenceDeadline(s.progressAt, limit, fraction)
		a.setReadDeadline(deadline)
		n, err = a.body.Read(s.readBuf[:])
		if n > 0 || err == nil || deadline >= s.x.deadline || readErrorReason(err) != reasonTimedOut ||
			s.shouldGiveUp(a, s.progressAt, limit) || !a.body.ClearTimeout() {
			return n, err
		}
	}
}

// writeEvents writes the complete events that have arrived to the caller. It
// returns the reason why the run can't continue, or "".
func (s *streamForwarder) writeEvents(a *attempt) (reason string) {
	x := s.x
	delivered := x.deliveredEvents
	data, reason := s.takeNewEvents()
	if len(data) == 0 {
		return reason
	}
	a.events += x.deliveredEvents - delivered
	if !x.begun {
		x.begun, x.version = true, a.version()
		x.gateway.config.NoteOrigin(x.id, x.version)
	}
	c := x.caller
	buf := c.writeBuf[:0]
	if cap(buf) < readBufSize {
		buf = make([]byte, 0, 2*readBufSize)
	}
	x.recordGap()
	if !s.headSent {
		s.headSent, s.contentType = true, a.head.Get("Content-Type")
		x.firstLatency = x.gateway.clock.Now().Sub(x.started)
		buf = x.appendResponseHead(buf, a.head, -1)
	}
	if x.head.IsHTTP10 {
		buf = append(buf, data...)
	} else {
		buf = kcrhttp.AppendChunk(buf, data)
	}
	c.writeBuf = buf[:0]
	if c.write(buf) != nil {
		x.callerLeft.Store(true)
		return reasonCallerLeft
	}
	return reason
}

// takeNewEvents returns the complete events that the caller has not received. An
// event whose ID does not follow the last one ends the run, and its reason is
// returned; so does one without an ID where a run goes on with the stream of another.
func (s *streamForwarder) takeNewEvents() (data []byte, reason string) {
	for {
		event, ok := s.events.Next()
		switch {
		case !ok:
			return data, ""
		case event.ID >= 0 && event.ID <= s.lastEventID:
			continue
		case event.ID < 0 && s.resumed && !event.IsComment():
			return data, "an event without an ID"
		case event.ID >= 0 && s.lastEventID >= 0 && event.ID != s.lastEventID+1:
			return data, "event " + strconv.FormatInt(event.ID, 10) + " after " + strconv.FormatInt(s.lastEventID, 10)
		}
		if event.ID >= 0 {
			s.lastEventID = event.ID
		}
		if !event.IsComment() {
			s.recordProgress()
		}
		s.x.deliveredEvents++
		data = append(data, event.Data...)
	}
}

// recordGap updates the longest gap between two writes of events.
func (x *exchange) recordGap() {
	now := x.gateway.clock.Now()
	if x.lastForwardedAt > 0 {
		x.longestGap = max(x.longestGap, now.Sub(x.lastForwardedAt))
	}
	x.lastForwardedAt = now
}

// finish ends the response of a complete stream.
func (s *streamForwarder) finish(a *attempt) {
	x := s.x
	x.outcome = outcomeServed
	c := x.caller
	buf := c.writeBuf[:0]
	if !s.headSent {
		buf = x.appendResponseHead(buf, a.head, -1)
	}
	if !x.head.IsHTTP10 {
		buf = append(buf, kcrhttp.LastChunk...)
	}
	if len(buf) > 0 && c.write(buf) != nil {
		x.outcome, x.closeAfter = x.disconnectOutcome(), true
	}
}
