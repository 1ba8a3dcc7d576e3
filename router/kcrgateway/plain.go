package kcrgateway

import (
	"errors"
	"io"
	"strconv"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrmemory"
	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrhttp"
)

// This file forwards requests whose response is buffered and written to the caller
// when it is complete. Invariant: a request is sent to another upstream only if it
// certainly did not run or its route allows a repetition.

const (
	// maxBufferedResponse bounds the body of a buffered response, in bytes.
	maxBufferedResponse = 2 << 20
	minBuffer           = 1 << 10 // first buffer for a body of unknown length, in bytes
)

// errNoBuffer is the error of a response for which there is no memory.
var errNoBuffer = errors.New("too many large responses at once")

// readBuffered reads the body of a response to its end. It is held until the exchange ends.
func (p *place) readBuffered(body *kcrhttp.Body) (data []byte, err error) {
	grow := func(size int) bool {
		if size > maxBufferedResponse || p.reserve(kcrmemory.Answers, size-cap(data)) != nil {
			return false
		}
		data = append(make([]byte, 0, size), data...)
		return true
	}
	ok := grow(max(body.SizeHint(), minBuffer))
	for ok {
		n, err := body.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return nil, err
		case len(data) == cap(data):
			ok = grow(2 * cap(data))
		}
	}
	return nil, errNoBuffer
}

// Wait for one upstream while another attempt is allowed.
const (
	// plainWaitFraction is the fraction of the route's latency target after which
	// an idempotent request is sent to another upstream.
	plainWaitFraction = 0.8
	// minPlainWait is the lower bound of that wait.
	minPlainWait = 60 * kcrclock.Millisecond
)

// forwardPlain makes attempts until one yields a response for the caller.
func (x *exchange) forwardPlain() {
	if reason := x.runAttempts(func() int64 { return -1 }, x.forwardPlainResponse); reason != "" {
		x.fail(reason, retryAfterShort)
	}
}

// runAttempts makes attempts until forwardResponse has written a response to the
// caller, or no further attempt is allowed. It returns the reason why there is no
// response, or "". lastEventID returns the event after which an attempt resumes a
// stream, negative to use the position in the caller's request.
func (x *exchange) runAttempts(lastEventID func() int64, forwardResponse func(*attempt) (reason string)) (reason string) {
	for range maxAttempts {
		a, state, startReason := x.startAttempt(lastEventID())
		reason = startReason
		if a == nil {
			return reason
		}
		switch state {
		case stateOK:
			x.runs++
			if reason = forwardResponse(a); reason == "" {
				return ""
			}
		case stateMayHaveRun:
			x.mayHaveRun = true
			x.runs++
		case stateNotRun:
		}
		if !x.mayRetry() {
			return reason
		}
		if !x.takeRetry() {
			return reason + reasonNoRetryLeft
		}
	}
	return reason
}

// response is a complete response of an upstream.
type response struct {
	head *kcrhttp.Head
	body []byte
}

// reasonUpstreamFailed is the reason of an attempt that ended with an error
// response of its upstream.
const reasonUpstreamFailed = "the upstream failed"

// reasonNoRetryLeft is appended to the reason of a request that the retry budget kept
// from another attempt.
const reasonNoRetryLeft = "; the retry budget is used up"

// mayRetry reports whether the request may be sent to another upstream. A stream that an
// upstream of unknown version began goes on nowhere.
func (x *exchange) mayRetry() bool {
	if x.begun && x.version == "" {
		return false
	}
	return !x.interrupted() && x.remaining() > 0 && (!x.mayHaveRun || x.route.Rerunnable() && x.runs < x.route.MaxRuns)
}

// holdRetry takes another attempt from the retry budget before the current one is given up. It
// reports whether the budget allows it; takeRetry does not take it once more.
func (x *exchange) holdRetry() bool {
	x.holdsRetry = x.holdsRetry || x.gateway.retryWindow(x.service).TryRetry(x.gateway.clock.Now(), x.gateway.config.RouterCount())
	return x.holdsRetry
}

// takeRetry counts another attempt against the retry budget of the service, and reports
// whether the budget allows it. An attempt that sent nothing of the request is repeated without
// using that budget.
func (x *exchange) takeRetry() bool {
	last := x.attempts[len(x.attempts)-1]
	if last.result == kcrplacement.Unreachable || last.unsent {
		return true
	}
	allowed := x.holdRetry()
	x.holdsRetry = false
	return allowed
}

// recordFailedHead ends an attempt that brought no usable response head.
func (x *exchange) recordFailedHead(a *attempt, state attemptState, reason string) {
	if state == stateNotRun {
		x.runs--
	}
	x.mayHaveRun = x.mayHaveRun || state == stateMayHaveRun
	a.end(a.result(state, reason), reason)
}

// forwardPlainResponse reads one response and writes it to the caller. It returns
// the reason why there is no response, or "".
func (x *exchange) forwardPlainResponse(a *attempt) (reason string) {
	mayRunAgain := x.route.Kind == kcrrule.Idempotent && x.runs < x.route.MaxRuns
	deadline := x.deadline
	if mayRunAgain {
		maxWait := max(minPlainWait, kcrclock.Duration(plainWaitFraction*float64(x.route.LatencyTarget)))
		deadline = min(deadline, x.gateway.clock.Now().Add(maxWait))
	}
	state, reason := a.readResponseHead(deadline)
	if state != stateOK {
		x.recordFailedHead(a, state, reason)
		return reason
	}
	x.mayHaveRun = true
	a.responseStarted()
	body, err := x.caller.place.readBuffered(a.body)
	if err != nil {
		reason = readErrorReason(err)
		a.end(a.result(stateMayHaveRun, reason), reason)
		return reason
	}
	if a.head.Status >= 500 {
		a.end(kcrplacement.ErrorResponse, "")
		if mayRunAgain {
			x.upstreamError = &response{a.head, body}
			return reasonUpstreamFailed
		}
	} else {
		a.end(kcrplacement.Served, "")
	}
	if a.head.Status < 300 {
		x.clearSuspicions()
	}
	x.writeResponse(a.head, body)
	return ""
}

// writeResponse writes a complete response to the caller.
func (x *exchange) writeResponse(head *kcrhttp.Head, body []byte) {
	x.firstLatency = x.gateway.clock.Now().Sub(x.started)
	c := x.caller
	buf := x.appendResponseHead(c.writeBuf[:0], head, len(body))
	if x.head.Method == "HEAD" {
		body = nil
	}
	if len(body) <= maxInlineWrite {
		buf, body = append(buf, body...), nil
	}
	c.writeBuf = buf[:0]
	x.outcome = outcomeServed
	if head.Status >= 400 {
		x.outcome = "upstream " + strconv.Itoa(head.Status)
	}
	if c.write(buf) != nil || len(body) > 0 && c.write(body) != nil {
		x.outcome, x.closeAfter = x.disconnectOutcome(), true
	}
}
