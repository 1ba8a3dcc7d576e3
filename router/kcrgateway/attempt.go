package kcrgateway

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/link/kcrhttp"
)

// This file makes one attempt at an upstream: it connects, writes the request and
// reads the response head. Invariant: an attempt counts as not run only if no
// byte of the request was written or the upstream states that it did not run it.

// logContext is the context of log lines, which carry no values of a request.
var logContext = context.Background()

// attempt is one attempt in progress to run a request on an upstream.
type attempt struct {
	x            *exchange
	choice       *kcrplacement.Choice // the chosen upstream
	conn         *upstreamConn        // nil until connected
	writeResult  chan error           // receives the error of a write in a goroutine, nil if there is none or it has ended
	writeErr     error                // of a write in a goroutine that has ended
	fullyWritten bool                 // the whole request was written
	head         *kcrhttp.Head        // of the response, nil until it is read
	body         *kcrhttp.Body        // of the response, nil until its head is read
	events       int                  // events of this run that were passed to the caller
	suspects     kcrcrash.Run         // the shared parts of the prompt, with their levels at the start
	silence      *time.Timer          // fires if no response begins for long, nil until the request is sent
	unreachable  bool                 // the upstream was given up since it accepts no connection
	ended        bool                 // end was called

	versionUnknown bool // the upstream may be of another version than the list says
	unsent         bool // nothing of the request is sent, as the version of the upstream is not known

	permitExpires kcrclock.Time // when the permit may no longer be used, 0 without one
}

// Limits of attempts.
const (
	// maxAttempts bounds the attempts for one request, including those that did
	// not run it.
	maxAttempts = 5
	// maxStrayResponses bounds the responses to other requests that are skipped
	// on a connection.
	maxStrayResponses = 3
	// maxStrayBody bounds the body of such a response, in bytes.
	maxStrayBody = 256 << 10
	// maxResponseHeader bounds the header of a response, in bytes.
	maxResponseHeader = 64 << 10
	// maxInlineWrite is the largest request, in bytes, that is written without a
	// separate goroutine: it fits into the socket's send buffer.
	maxInlineWrite = 8 << 10
)

// reasonCallerLeft is the reason of an attempt that ended because its caller
// disconnected.
const reasonCallerLeft = "the caller left"

// reasonStopped is the reason of an attempt that a planned stop ended.
const reasonStopped = "the router stopped"

// interruptReason returns the reason of an attempt that was interrupted.
func (x *exchange) interruptReason() string {
	if x.callerLeft.Load() {
		return reasonCallerLeft
	}
	return reasonStopped
}

// attemptState is the state of an attempt after one of its steps.
type attemptState int

const (
	stateOK         attemptState = iota // the request is sent, or a usable response head was read
	stateNotRun                         // failed: the upstream certainly did not run the request
	stateMayHaveRun                     // failed: the upstream may have run the request
)

// placementRequest returns the criteria by which an upstream is chosen. Upstreams of
// earlier attempts are excluded. Only a first attempt that may wait for another upstream leaves out
// those that are full.
func (x *exchange) placementRequest() kcrplacement.Request {
	req := kcrplacement.Request{
		Service: x.service, Version: x.version, TransferBytes: x.bodySize + plainOverheadBytes,
		Target: x.route.LatencyTarget, GapTarget: x.route.EventGapTarget,
	}
	if x.usage.declared {
		req.PromptParts, req.PromptTokens, req.OutputTokens = x.usage.promptParts, x.usage.prompt, x.usage.output
		req.TransferBytes = x.bodySize + streamOverheadBytes
	}
	req.SkipsFull = len(x.attempts) == 0 && x.version == ""
	for _, record := range x.attempts {
		req.Excluded = append(req.Excluded, record.vm)
	}
	return req
}

// Estimated sizes of headers and response, in bytes. The table uses them to
// estimate the cost of traffic between zones.
const (
	plainOverheadBytes  = 1500
	streamOverheadBytes = 4000
)

// startAttempt chooses an upstream and sends it the request, resuming a stream
// after lastEventID, or from the caller's position if it is negative. The attempt
// is nil if the caller has disconnected or no upstream is left.
func (x *exchange) startAttempt(lastEventID int64) (a *attempt, state attemptState, reason string) {
	if x.interrupted() {
		return nil, stateMayHaveRun, x.interruptReason()
	}
	if reason = x.banReason(); reason != "" {
		return nil, stateNotRun, reason
	}
	if a, reason = x.findUpstream(); reason != "" {
		return a, stateNotRun, reason
	}
	if !x.setActiveConn(a.conn) {
		reason = x.interruptReason()
		a.end(kcrplacement.CallerLeft, reason)
		return a, stateNotRun, reason
	}
	if result, reason := a.checkVersion(); reason != "" {
		a.end(result, reason)
		return a, stateNotRun, reason
	}
	request := x.buildRequest(a.choice, lastEventID)
	if a.permitExpires > 0 && x.gateway.clock.Now() > a.permitExpires {
		a.end(kcrplacement.Refused, reasonPermitExpired)
		return a, stateNotRun, reasonPermitExpired
	}
	a.watchSilence()
	if state, reason = a.writeRequest(request); state != stateOK {
		a.end(kcrplacement.ConnectionLost, reason)
		return a, state, reason
	}
	return a, stateOK, ""
}

// reasonLimited is the reason of a request for which the rate limits of the upstreams leave no
// room.
const reasonLimited = "the rate limits of the upstreams leave no room"

// reasonPaused is the reason of a request while all upstreams want none for a time.
const reasonPaused = "all upstreams want no requests for now"

// reasonVersionGone is the reason of a stream of which no upstream is left that may go on with it.
const reasonVersionGone = "no upstream of the version that began the stream"

// reasonEmptied is the reason of a request that only upstreams in emptied zones could serve.
const reasonEmptied = "zone emptied"

// onlyEmptied reports whether only upstreams in emptied zones could serve the request.
func (x *exchange) onlyEmptied() bool { return x.gateway.config.OnlyEmptied(x.service, x.version) }

// noChoiceReason returns why no upstream was chosen: the request was banned while it waited, or
// there is none.
func (x *exchange) noChoiceReason() string {
	if reason := x.banReason(); reason != "" {
		return reason
	}
	return x.noUpstreamReason()
}

// noUpstreamReason returns why there is no upstream for an attempt.
func (x *exchange) noUpstreamReason() string {
	if x.onlyEmptied() {
		return reasonEmptied
	}
	if x.version != "" && !x.gateway.table.HasVersion(x.service, x.version) {
		return reasonVersionGone
	}
	if place, ok := x.nextPlace(); ok && place.Hold == kcrplacement.Paused {
		return reasonPaused
	}
	if x.gateway.table.HasLimited(x.gateway.clock.Now(), x.service) {
		return reasonLimited
	}
	return "no upstream"
}

// incarnationOf returns the incarnation of a chosen upstream.
func incarnationOf(choice *kcrplacement.Choice) kcrid.Incarnation {
	return kcrid.IncarnationOf(choice.ID, strconv.FormatInt(choice.StartedAt, 10))
}

// writeRequest writes the request. A long one is written in a separate goroutine,
// because an upstream may respond before it has read all of it.
func (a *attempt) writeRequest(parts [][]byte) (state attemptState, reason string) {
	for _, part := range parts {
		a.x.gateway.recordSent(len(part))
	}
	_ = a.conn.SetWriteDeadline(time.Now().Add(max(1, a.x.remaining()).Std()))
	if len(parts) > 1 || len(parts[0]) > maxInlineWrite {
		a.writeResult = make(chan error, 1)
		a.x.mayHaveRun = true
		go func() { a.writeResult <- writeAll(a.conn, parts) }()
		return stateOK, ""
	}
	n, err := a.conn.Write(parts[0])
	if err == nil {
		a.fullyWritten = true
		return stateOK, ""
	}
	if n == 0 {
		return stateNotRun, "write: " + rootCauseText(err)
	}
	return stateMayHaveRun, "write: " + rootCauseText(err)
}

// writeAll writes parts in order.
func writeAll(conn net.Conn, parts [][]byte) error {
	for _, part := range parts {
		if _, err := conn.Write(part); err != nil {
			return err
		}
	}
	return nil
}

// requestWritten reports whether the whole request has been written.
func (a *attempt) requestWritten() bool {
	if a.writeResult == nil {
		return a.fullyWritten
	}
	select {
	case err := <-a.writeResult:
		a.recordWritten(err)
	default:
	}
	return a.fullyWritten
}

// recordWritten records the end of a write in a goroutine.
func (a *attempt) recordWritten(err error) {
	a.writeResult, a.writeErr, a.fullyWritten = nil, err, err == nil
}

// confirmClose ends the write of the request after the upstream has closed the connection, and
// returns an error unless it was an orderly close. The write may have taken the error of a reset,
// so that the reads have seen none. EPIPE tells of a reset too, but of one after an orderly close.
func (a *attempt) confirmClose() error {
	if a.writeResult != nil {
		_ = a.conn.SetWriteDeadline(time.Unix(1, 0))
		a.recordWritten(<-a.writeResult)
	}
	if a.writeErr == nil || errors.Is(a.writeErr, os.ErrDeadlineExceeded) || errors.Is(a.writeErr, syscall.EPIPE) {
		return nil
	}
	return io.ErrUnexpectedEOF
}

// readResponseHead reads the response head and gives up at the deadline. It skips
// responses to other requests, which the connection may still deliver.
func (a *attempt) readResponseHead(deadline kcrclock.Time) (state attemptState, reason string) {
	a.setReadDeadline(deadline)
	for range maxStrayResponses {
		head, err := kcrhttp.ReadResponse(a.conn.br, maxResponseHeader)
		if err != nil {
			return stateMayHaveRun, readErrorReason(err)
		}
		body, err := kcrhttp.ResponseBody(a.conn.br, head, a.x.head.Method)
		if err != nil {
			return stateMayHaveRun, readErrorReason(err)
		}
		body.ConfirmClose(a.confirmClose)
		echoedID := head.Get(a.x.gateway.headerNames.RequestID)
		if echoedID != "" && echoedID != a.x.id {
			if body.Discard(maxStrayBody) != nil || body.UntilClose() {
				return stateMayHaveRun, "an answer to another request"
			}
			continue
		}
		a.head, a.body = head, body
		a.choice.Heard(a.x.gateway.clock.Now())
		if echoedID != "" && head.Status != statusMisdirected {
			a.recordRateLimit()
		}
		if (echoedID != "" || !a.conn.reused) && head.Status != statusMisdirected {
			a.recordNotices()
		}
		return a.classifyResponse(echoedID)
	}
	return stateMayHaveRun, "answers to other requests"
}

// recordNotices records that the upstream leaves, or wants no requests for a time, if the
// response says so.
func (a *attempt) recordNotices() {
	g, names := a.x.gateway, &a.x.gateway.headerNames
	if a.head.Get(names.Leaving) == "1" && a.choice.Leaves() {
		g.logger.Info("upstream leaves", "id", string(a.choice.ID), "born", a.choice.StartedAt, "req", a.x.id)
		g.config.OnLeaving(incarnationOf(a.choice))
	}
	a.recordCold()
	value := a.head.Get(names.RetryAfter)
	if value == "" || a.head.Status != statusUnavailable {
		return
	}
	seconds, err := strconv.ParseFloat(value, 64)
	if err != nil {
		seconds = 0
	}
	if accepted, notable := a.choice.Pauses(g.clock.Now(), secondsToDuration(seconds)); notable {
		g.logger.Info("upstream wants no requests", "id", string(a.choice.ID), "seconds", value, "accepted", accepted, "req", a.x.id)
	}
}

// secondsToDuration converts seconds, with fractions. It returns 0 for a time that no upstream
// needs.
func secondsToDuration(seconds float64) kcrclock.Duration {
	if math.IsNaN(seconds) || seconds <= 0 || seconds > maxNamedSeconds {
		return 0
	}
	return kcrclock.Duration(math.Ceil(seconds * float64(kcrclock.Second)))
}

// maxNamedSeconds is the longest time that an upstream may name, in seconds.
const maxNamedSeconds = 3600

// classifyResponse determines what a response head shows about the run. A success
// counts only with the upstream's signature and the request's ID. On a connection that was
// used before, a response without an ID may be a late copy of an earlier one, so it shows
// nothing.
func (a *attempt) classifyResponse(echoedID string) (state attemptState, reason string) {
	names := &a.x.gateway.headerNames
	switch {
	case echoedID == "" && a.conn.reused:
		return stateMayHaveRun, "an answer without an ID"
	case a.head.Status == statusMisdirected:
		return stateNotRun, "another upstream has the address"
	case a.head.Has(names.NotRun):
		return stateNotRun, "refused"
	case a.head.Status < 300 && (echoedID == "" || !a.head.Has(names.Signature)):
		return stateMayHaveRun, "an answer without a signature"
	case a.head.Has("Content-Encoding"):
		return stateMayHaveRun, "an answer with a coding"
	}
	return stateOK, ""
}

// setReadDeadline converts a deadline of the gateway's clock to the connection's.
func (a *attempt) setReadDeadline(deadline kcrclock.Time) {
	timeout := deadline.Sub(a.x.gateway.clock.Now())
	_ = a.conn.SetReadDeadline(time.Now().Add(max(0, timeout).Std()))
}

// end finishes the attempt: it pools the connection if it is reusable and closes
// it otherwise, reports the result to the table and the metrics, and records the
// attempt for the log. Further calls have no effect.
func (a *attempt) end(result kcrplacement.Result, reason string) {
	if a.ended {
		return
	}
	a.ended = true
	x, g := a.x, a.x.gateway
	x.setActiveConn(nil)
	now := g.clock.Now()
	lostReused := a.conn != nil && a.conn.reused && result == kcrplacement.ConnectionLost
	if a.conn != nil {
		if a.reusable() && !g.config.IsEmptied(a.choice.Zone) {
			g.pool.put(now, a.conn, a.head)
		} else {
			_ = a.conn.Close()
		}
	}
	if x.interrupted() && result != kcrplacement.Served {
		result = kcrplacement.CallerLeft
	}
	if result == kcrplacement.Served && a.events > 0 {
		a.notePace(a.choice.Streamed(now, a.events))
	}
	a.choice.Finish(now, result)
	if result == kcrplacement.Unreachable || result == kcrplacement.Misdirected {
		g.pool.closeIdle(a.choice.ID, a.choice.Addr)
	}
	g.metrics.attempts.WithLabelValues(string(x.service), result.String()).Inc()
	if lostReused {
		reason += ", on a kept connection"
	}
	x.attempts = append(x.attempts, attemptRecord{vm: a.choice.ID, result: result, reason: reason, uncachedTokens: a.choice.UncachedTokens, endedAfter: now.Sub(x.started), unsent: a.unsent})
	a.checkUpstream(now, result)
}

// reusable reports whether the connection may carry another request: the request
// was written and the response read completely, with nothing after it.
func (a *attempt) reusable() bool {
	return a.head != nil && a.body != nil && a.body.Done() && !a.body.UntilClose() &&
		a.head.KeepAlive() && a.conn.br.Buffered() == 0 && a.requestWritten()
}

// result maps a failed attempt to the result that the table learns about the
// upstream.
func (a *attempt) result(state attemptState, reason string) kcrplacement.Result {
	switch {
	case state == stateNotRun && a.head != nil && a.head.Status == statusMisdirected:
		return kcrplacement.Misdirected
	case state == stateNotRun && a.head != nil:
		return kcrplacement.Refused
	case reason == reasonTimedOut || reason == reasonHeadTimedOut:
		return kcrplacement.Stalled
	default:
		return kcrplacement.ConnectionLost
	}
}

// reasonTimedOut is the reason of an attempt that ended at a deadline of the
// gateway.
const reasonTimedOut = "nothing came in time"

// reasonHeadTimedOut is the reason of an attempt of which a part of the response head came
// before a deadline. Its connection can't be read further.
const reasonHeadTimedOut = "the head of the answer did not end in time"

// reasonProtocol is the reason of an attempt whose response breaks the protocol. It quotes
// nothing of the response, which may belong to another caller.
const reasonProtocol = "the upstream broke the protocol"

// readErrorReason describes an error of reading a response. Callers get the text.
func readErrorReason(err error) string {
	var timeout net.Error
	var protocolErr *kcrhttp.ProtocolError
	switch {
	case errors.As(err, &protocolErr):
		return reasonProtocol
	case errors.As(err, &timeout) && timeout.Timeout() && errors.Is(err, io.ErrUnexpectedEOF):
		return reasonHeadTimedOut
	case errors.As(err, &timeout) && timeout.Timeout():
		return reasonTimedOut
	case errors.Is(err, kcrhttp.ErrClosedBeforeMessage), errors.Is(err, io.EOF):
		return "the upstream closed the connection"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the upstream broke off"
	default:
		return rootCauseText(err)
	}
}

// rootCauseText returns the text of the innermost wrapped error.
func rootCauseText(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}
