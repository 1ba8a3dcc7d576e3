package kcrgateway

import (
	"log/slog"
	"strconv"
	"strings"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplace"
	"kingcuprun.example/link/kcrhttp"
)

// This file writes answers to callers. Invariant: a status that promises that
// the request did not run is sent only where no attempt can have run.

// Status codes of own answers.
const (
	statusBadRequest   = 400
	statusUnauthorized = 401
	statusPayment      = 402
	statusNotFound     = 404
	statusTooLarge     = 413
	statusHeaderLong   = 431
	statusNoCoding     = 501
	statusBadGateway   = 502
	statusUnavailable  = 503
	statusTimeout      = 504
)

var reasons = map[int]string{
	statusBadRequest: "Bad Request", statusUnauthorized: "Unauthorized", statusPayment: "Payment Required",
	statusNotFound: "Not Found", statusTooLarge: "Content Too Large", statusHeaderLong: "Request Header Fields Too Large",
	statusNoCoding: "Not Implemented", statusBadGateway: "Bad Gateway", statusUnavailable: "Service Unavailable",
	statusTimeout: "Gateway Timeout",
}

func reasonOf(status int) string { return reasons[status] }

// refuse answers a request that did not run. It returns false.
func (x *exchange) refuse(status int, text string, after kcrclock.Duration) bool {
	x.answer(status, text, after)
	return false
}

// fail ends a request that no upstream has served: with the error of one that
// answered, else with a promise where nothing can have run, else without.
func (x *exchange) fail(text string, after kcrclock.Duration) {
	switch {
	case x.left.Load():
		x.outcome = outcomeLeft
		x.text = text
		x.close = true
	case x.failed != nil:
		x.passWhole(x.failed.head, x.failed.body)
	case !x.ran && x.remaining() > 0:
		x.answer(statusUnavailable, text, after)
	case x.remaining() <= 0:
		x.answer(statusTimeout, text, 0)
	default:
		x.answer(statusBadGateway, text, 0)
	}
}

// answer writes an answer of our own, without a signature.
func (x *exchange) answer(status int, text string, after kcrclock.Duration) {
	x.outcome = strconv.Itoa(status)
	x.text = text
	c := x.caller
	b := kcrhttp.AppendStatus(c.out[:0], status, reasonOf(status), nil)
	b = kcrhttp.AppendField(b, "Content-Type", "text/plain")
	if x.id != "" {
		b = kcrhttp.AppendField(b, x.g.dialect.ID, x.id)
	}
	if after > 0 {
		b = kcrhttp.AppendField(b, x.g.dialect.Retry, x.g.retryAfter(jitter(after)))
	}
	b = x.appendConnection(b)
	b = kcrhttp.AppendLength(b, len(text))
	b = append(b, "\r\n"...)
	b = append(b, text...)
	c.out = b[:0]
	if c.write(b) != nil {
		x.close = true
	}
}

func (x *exchange) appendConnection(b []byte) []byte {
	if x.g.stopping.Load() {
		x.close = true
	}
	if x.close {
		return kcrhttp.AppendField(b, "Connection", "close")
	}
	return b
}

// pass writes the head of an upstream's answer. Length is that of the body, or
// negative for a chunked one.
func (x *exchange) pass(b []byte, head *kcrhttp.Head, length int) []byte {
	fields := head.Forwarded(func(string) bool { return false })
	b = kcrhttp.AppendStatus(b, head.Status, head.Reason, fields)
	switch {
	case length >= 0:
		b = kcrhttp.AppendLength(b, length)
	case x.head.Old:
		x.close = true
	default:
		b = kcrhttp.AppendField(b, "Transfer-Encoding", "chunked")
	}
	b = x.appendConnection(b)
	return append(b, "\r\n"...)
}

// attempt is one try at an upstream, for the log.
type attempt struct {
	vm     kcrid.VM
	result kcrplace.Result
	miss   kcrid.Tokens
	why    string
	at     kcrclock.Duration
}

// log writes the line of the request, and counts it.
func (x *exchange) log() {
	kind := "none"
	if x.route != nil {
		kind = x.route.Kind.String()
	}
	took := x.g.clock.Now().Sub(x.started)
	m := x.g.metrics
	m.answers.WithLabelValues(kind, x.outcome).Inc()
	m.whole.WithLabelValues(kind).Observe(took.Seconds())
	if x.first > 0 {
		m.first.WithLabelValues(kind).Observe(x.first.Seconds())
	}
	level := slog.LevelInfo
	if x.outcome != outcomeServed && x.outcome != outcomeLeft {
		level = slog.LevelWarn
	}
	version := uint64(0)
	route := ""
	if x.rules != nil {
		version = x.rules.Version
	}
	if x.route != nil {
		route = x.route.Name
	}
	x.g.logger.LogAttrs(noContext, level, "request",
		slog.String("req", x.id), slog.String("team", x.teamName()), slog.String("route", route), slog.Uint64("config", version),
		slog.String("service", string(x.service)), slog.String("outcome", x.outcome), slog.String("why", x.text),
		slog.Int64("ms", int64(took)), slog.Int64("first", int64(x.first)), slog.Int("events", x.events), slog.Int64("pause", int64(x.pause)),
		slog.Int64("prompt", int64(x.usage.prompt)), slog.Int64("spent", int64(x.spent)), slog.String("tries", tries(x.attempts)))
}

// Outcomes of requests in logs and metrics, besides status codes of our own.
const (
	outcomeServed = "served"
	outcomeLeft   = "left"
	outcomeBroken = "broken off"
)

func tries(list []attempt) string {
	var b strings.Builder
	for i, a := range list {
		if i > 0 {
			b.WriteString("; ")
		}
		b.WriteString(string(a.vm))
		b.WriteByte(' ')
		b.WriteString(a.result.String())
		b.WriteString(" at ")
		b.WriteString(strconv.FormatInt(int64(a.at), 10))
		b.WriteString(" miss ")
		b.WriteString(strconv.FormatInt(int64(a.miss), 10))
		if a.why != "" {
			b.WriteString(" (" + a.why + ")")
		}
	}
	return b.String()
}
