package kcrgateway

import (
	"log/slog"
	"strconv"
	"strings"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/link/kcrhttp"
)

// This file writes responses to callers and the log line of each request.
// Invariant: a status that states that the request did not run is sent only if no
// attempt can have run it.

// Status codes of the gateway's own responses.
const (
	statusBadRequest      = 400
	statusUnauthorized    = 401
	statusPaymentRequired = 402
	statusNotFound        = 404
	statusRequestTimeout  = 408
	statusContentTooLarge = 413
	statusHeaderTooLarge  = 431
	statusNotImplemented  = 501
	statusBadGateway      = 502
	statusUnavailable     = 503
	statusGatewayTimeout  = 504
)

var reasonPhrases = map[int]string{
	statusBadRequest: "Bad Request", statusUnauthorized: "Unauthorized", statusPaymentRequired: "Payment Required",
	statusNotFound: "Not Found", statusContentTooLarge: "Content Too Large", statusHeaderTooLarge: "Request Header Fields Too Large",
	statusNotImplemented: "Not Implemented", statusBadGateway: "Bad Gateway", statusUnavailable: "Service Unavailable",
	statusGatewayTimeout: "Gateway Timeout",
}

// reasonPhrase returns the reason phrase of a status line.
func reasonPhrase(status int) string { return reasonPhrases[status] }

// refuse responds to a request that did not run. It returns false, so that checks
// can return its result.
func (x *exchange) refuse(status int, reason string, retryAfter kcrclock.Duration) bool {
	x.respond(status, reason, retryAfter)
	return false
}

// fail ends a request that no upstream has served. It forwards an upstream's error
// response if there is one. Otherwise it responds 503 if no upstream can have run
// the request, 504 after the deadline, and 502 if a run is possible.
func (x *exchange) fail(reason string, retryAfter kcrclock.Duration) {
	if x.interrupted() {
		reason = x.interruptReason()
	}
	switch {
	case x.callerLeft.Load():
		x.outcome = x.disconnectOutcome()
		x.reason = reason
		x.closeAfter = true
	case x.upstreamError != nil:
		x.writeResponse(x.upstreamError.head, x.upstreamError.body)
	case !x.mayHaveRun && x.remaining() > 0:
		switch reason {
		case reasonLimited:
			retryAfter = retryAfterMedium
		case reasonVersionGone:
			retryAfter = retryAfterLong
		case reasonEmptied:
			retryAfter = retryAfterEmptied
		case reasonPaused:
			retryAfter = x.pauseRetryAfter()
		}
		if x.returnAfter > 0 && reason != reasonPaused && reason != reasonVersionGone && reason != reasonEmptied {
			x.respondInTurn(reason)
			return
		}
		x.respond(statusUnavailable, reason, retryAfter)
	case x.remaining() <= 0:
		x.respond(statusGatewayTimeout, reason, 0)
	default:
		x.respond(statusBadGateway, reason, 0)
	}
}

// pauseRetryAfter returns a time that jitter spreads over the time after the end of the pause of
// the first upstream, so that callers don't all return at once.
func (x *exchange) pauseRetryAfter() kcrclock.Duration {
	if place, ok := x.nextPlace(); ok && place.Hold == kcrplacement.Paused {
		return 2 * place.At.Sub(x.gateway.clock.Now())
	}
	return retryAfterShort
}

// respondInTurn refuses a request for which there was no place, with the time at which it is its
// turn to come back.
func (x *exchange) respondInTurn(reason string) {
	x.respondAt(statusUnavailable, reason, x.returnAfter)
}

// respond writes a response of the gateway itself, which has no signature. Jitter spreads the
// return of the callers.
func (x *exchange) respond(status int, reason string, retryAfter kcrclock.Duration) {
	if retryAfter > 0 {
		retryAfter = jitter(retryAfter)
	}
	x.respondAt(status, reason, retryAfter)
}

// respondAt writes a response of the gateway itself, with the exact time to come back.
func (x *exchange) respondAt(status int, reason string, retryAfter kcrclock.Duration) {
	x.outcome = strconv.Itoa(status)
	x.reason = reason
	c := x.caller
	buf := kcrhttp.AppendResponse(c.writeBuf[:0], status, reasonPhrase(status), nil)
	buf = kcrhttp.AppendField(buf, "Content-Type", "text/plain")
	if x.id != "" {
		buf = kcrhttp.AppendField(buf, x.gateway.headerNames.RequestID, x.id)
	}
	if retryAfter > 0 {
		buf = kcrhttp.AppendField(buf, x.gateway.headerNames.RetryAfter, x.gateway.inSeconds(retryAfter))
	}
	buf = x.appendConnectionField(buf)
	buf = kcrhttp.AppendContentLength(buf, len(reason))
	buf = append(buf, "\r\n"...)
	buf = append(buf, reason...)
	c.writeBuf = buf[:0]
	if c.write(buf) != nil {
		x.closeAfter = true
	}
}

// appendConnectionField appends "Connection: close" if the connection is to be
// closed after the response.
func (x *exchange) appendConnectionField(buf []byte) []byte {
	if x.gateway.stopping.Load() {
		x.closeAfter = true
	}
	if x.closeAfter {
		return kcrhttp.AppendField(buf, "Connection", "close")
	}
	return buf
}

// appendResponseHead appends the head of an upstream's response. length is the
// length of the body in bytes, or negative for a chunked body, which an HTTP/1.0
// caller gets up to the end of the connection instead.
func (x *exchange) appendResponseHead(buf []byte, head *kcrhttp.Head, length int) []byte {
	fields := head.ForwardedFields(func(string) bool { return false })
	buf = kcrhttp.AppendResponse(buf, head.Status, head.Reason, fields)
	switch {
	case length >= 0:
		buf = kcrhttp.AppendContentLength(buf, length)
	case x.head.IsHTTP10:
		x.closeAfter = true
	default:
		buf = kcrhttp.AppendField(buf, "Transfer-Encoding", "chunked")
	}
	buf = x.appendConnectionField(buf)
	return append(buf, "\r\n"...)
}

// attemptRecord describes an ended attempt for the log.
type attemptRecord struct {
	vm             kcrid.VM
	result         kcrplacement.Result
	uncachedTokens kcrid.Tokens      // prompt tokens expected to be missing in the upstream's cache
	reason         string            // of a result other than success
	endedAfter     kcrclock.Duration // since the start of the exchange
	unsent         bool              // the upstream was connected, and got nothing of the request
}

// logRequest writes the log line of the request and updates the metrics.
func (x *exchange) logRequest() {
	kind := "none"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	duration := x.gateway.clock.Now().Sub(x.started)
	m := x.gateway.metrics
	m.responses.WithLabelValues(kind, x.outcome).Inc()
	m.totalLatency.WithLabelValues(kind).Observe(duration.Seconds())
	if x.firstLatency > 0 {
		m.firstLatency.WithLabelValues(kind).Observe(x.firstLatency.Seconds())
	}
	level, content := slog.LevelInfo, uint64(0)
	if x.outcome != outcomeServed && x.outcome != outcomeCallerLeft {
		level = slog.LevelWarn
		content = uint64(x.content)
	}
	version := uint64(0)
	route := ""
	if x.rules != nil {
		version = x.rules.Version
	}
	if x.route != nil {
		route = x.route.Name
	}
	x.gateway.logger.LogAttrs(logContext, level, "request",
		slog.String("req", x.id), slog.String("team", x.teamName()), slog.String("route", route), slog.Uint64("config", version),
		slog.String("service", string(x.service)), slog.String("version", x.version), slog.String("outcome", x.outcome), slog.String("why", x.reason), slog.Uint64("content", content),
		slog.Int64("ms", int64(duration)), slog.Int64("wait", int64(x.budgetWait)), slog.Int64("queued", int64(x.placeWait)), slog.Int64("first", int64(x.firstLatency)), slog.Int("events", x.deliveredEvents), slog.Int64("pause", int64(x.longestGap)),
		slog.Int64("prompt", int64(x.usage.prompt)), slog.Int64("spent", int64(x.spentTokens)), slog.String("tries", formatAttempts(x.attempts)))
}

// Outcomes of requests in logs and metrics. Further outcomes are the status codes of
// the gateway's own responses and "upstream" with the status of its error.
const (
	outcomeServed     = "served"
	outcomeCallerLeft = "left"       // the caller disconnected
	outcomeBrokenOff  = "broken off" // a stream ended early
	outcomeCutOff     = "cut off"    // a planned stop had to end
)

// disconnectOutcome returns the outcome of a request whose connection ended before its
// response.
func (x *exchange) disconnectOutcome() string {
	if x.gateway.closed.Load() {
		return outcomeCutOff
	}
	return outcomeCallerLeft
}

// formatAttempts returns the attempts of a request as text for the log.
func formatAttempts(records []attemptRecord) string {
	var text strings.Builder
	for i, record := range records {
		if i > 0 {
			text.WriteString("; ")
		}
		text.WriteString(string(record.vm))
		text.WriteByte(' ')
		text.WriteString(record.result.String())
		text.WriteString(" at ")
		text.WriteString(strconv.FormatInt(int64(record.endedAfter), 10))
		text.WriteString(" miss ")
		text.WriteString(strconv.FormatInt(int64(record.uncachedTokens), 10))
		if record.reason != "" {
			text.WriteString(" (" + record.reason + ")")
		}
	}
	return text.String()
}
