package kcrgateway

import (
	"context"
	"errors"
	"io"
	"net"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplace"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrhttp"
)

// This file makes one attempt at an upstream: a connection, the request, and
// the head of the answer. Invariant: an attempt counts as not run only where
// nothing was written, or where the upstream says that it did not run it.

var noContext = context.Background()

// try is one attempt under way.
type try struct {
	x      *exchange
	choice *kcrplace.Choice
	conn   *upConn
	sent   chan error // the result of writing the request
	wrote  bool
	head   *kcrhttp.Head
	body   *kcrhttp.Body
	ended  bool
}

// Limits of attempts.
const (
	// maxTries bounds the upstreams that are tried for one request, those that
	// did not run it included.
	maxTries = 5
	// maxForeign bounds the answers to other requests that are passed over.
	maxForeign = 3
	// answerHeader bounds the header of an answer, in bytes.
	answerHeader = 64 << 10
	// writeInline is the size of a request that is written without a goroutine
	// of its own: it fits into the socket's buffer.
	writeInline = 8 << 10
)

// callerLeft is why an attempt ended with its caller.
const callerLeft = "the caller left"

// verdict is what is known after waiting for the head of an answer.
type verdict int

const (
	answered verdict = iota // there is a head
	notRun                  // proved
	unknown                 // it may have run
)

// need returns what the request asks of an upstream.
func (x *exchange) need() kcrplace.Need {
	n := kcrplace.Need{Service: x.service, Bytes: len(x.body) + plainBytes}
	if x.usage.known {
		n.Parts, n.Prompt = x.usage.parts, x.usage.prompt
		n.Bytes = len(x.body) + streamBytes
	}
	for _, a := range x.attempts {
		n.Tried = append(n.Tried, a.vm)
	}
	return n
}

// Sizes of headers and answers, in bytes, to weigh the way between zones.
const (
	plainBytes  = 1500
	streamBytes = 4000
)

// start chooses an upstream and sends it the request. A nil try means that
// there is none to try.
func (x *exchange) start(last int64) (t *try, v verdict, why string) {
	if x.left.Load() {
		return nil, unknown, callerLeft
	}
	choice := x.g.table.Choose(x.g.clock.Now(), x.need())
	if choice == nil {
		return nil, notRun, "no upstream"
	}
	t = &try{x: x, choice: choice}
	if why = t.connect(); why != "" {
		t.end(kcrplace.Unreached, why)
		return t, notRun, why
	}
	if !x.use(t.conn) {
		t.end(kcrplace.Abandoned, callerLeft)
		return t, notRun, callerLeft
	}
	if v, why = t.write(x.request(choice, last)); v != answered {
		t.end(kcrplace.Broken, why)
		return t, v, why
	}
	return t, answered, ""
}

func (t *try) connect() (why string) {
	part := keepPart
	if !t.x.route.Repeats() {
		part = onceKeepPart
	}
	g := t.x.g
	if t.conn = g.pool.take(g.clock.Now(), t.choice.ID, t.choice.Addr, part); t.conn != nil {
		return ""
	}
	conn, err := g.pool.dial(t.choice.ID, t.choice.Addr)
	if err != nil {
		return "dial: " + shortError(err)
	}
	g.metrics.dials.Inc()
	t.conn = conn
	return ""
}

// write sends the request; a long one from a goroutine of its own, since an
// upstream may answer before it has read all of it.
func (t *try) write(b []byte) (v verdict, why string) {
	_ = t.conn.SetWriteDeadline(time.Now().Add(max(1, t.x.remaining()).Std()))
	if len(b) > writeInline {
		t.sent = make(chan error, 1)
		t.x.ran = true
		go func() {
			_, err := t.conn.Write(b)
			t.sent <- err
		}()
		return answered, ""
	}
	n, err := t.conn.Write(b)
	if err == nil {
		t.wrote = true
		return answered, ""
	}
	if n == 0 {
		return notRun, "write: " + shortError(err)
	}
	return unknown, "write: " + shortError(err)
}

// written tells whether the whole request was sent.
func (t *try) written() bool {
	if t.sent == nil {
		return t.wrote
	}
	select {
	case err := <-t.sent:
		t.wrote = err == nil
		t.sent = nil
	default:
	}
	return t.wrote
}

// await reads the head of the answer until a moment. Answers to other requests
// are read and dropped.
func (t *try) await(until kcrclock.Time) (v verdict, why string) {
	t.readUntil(until)
	for range maxForeign {
		head, err := kcrhttp.ReadResponse(t.conn.br, answerHeader)
		if err != nil {
			return unknown, readError(err)
		}
		body, err := kcrhttp.ResponseBody(t.conn.br, head, t.x.head.Method)
		if err != nil {
			return unknown, readError(err)
		}
		id := head.Get(t.x.g.dialect.ID)
		if id != "" && id != t.x.id {
			if _, err := body.ReadAll(maxAnswer); err != nil || body.UntilClose() {
				return unknown, "an answer to another request"
			}
			continue
		}
		t.head, t.body = head, body
		return t.judge(id)
	}
	return unknown, "answers to other requests"
}

// dead tells whether an upstream takes no connection. One that is busy does.
func dead(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeTime)
	if err != nil {
		return true
	}
	_ = conn.Close()
	return false
}

// judge tells what an answer proves.
func (t *try) judge(id string) (v verdict, why string) {
	d := &t.x.g.dialect
	switch {
	case t.head.Status == statusMisdirected:
		return notRun, "another upstream has the address"
	case t.head.Has(d.NotRun):
		return notRun, "refused"
	case t.head.Status < 300 && (id == "" || !t.head.Has(d.Signature)):
		return unknown, "an answer without a signature"
	case t.head.Has("Content-Encoding"):
		return unknown, "an answer with a coding"
	}
	return answered, ""
}

func (t *try) readUntil(until kcrclock.Time) {
	left := until.Sub(t.x.g.clock.Now())
	_ = t.conn.SetReadDeadline(time.Now().Add(max(0, left).Std()))
}

// end ends the attempt: the connection is kept where the answer was whole.
func (t *try) end(r kcrplace.Result, why string) {
	if t.ended {
		return
	}
	t.ended = true
	x, g := t.x, t.x.g
	x.use(nil)
	now := g.clock.Now()
	if t.conn != nil {
		if t.clean() {
			g.pool.put(now, t.conn, t.head)
		} else {
			_ = t.conn.Close()
		}
	}
	if x.left.Load() && r != kcrplace.Served {
		r = kcrplace.Abandoned
	}
	t.choice.End(now, r)
	if r == kcrplace.Unreached || r == kcrplace.Misdirected {
		g.pool.drop(t.choice.ID, t.choice.Addr)
	}
	g.metrics.attempts.WithLabelValues(string(x.service), r.String()).Inc()
	if t.conn != nil && t.conn.reused && r == kcrplace.Broken {
		why += ", on a kept connection"
	}
	x.attempts = append(x.attempts, attempt{vm: t.choice.ID, result: r, why: why, miss: t.choice.Miss, at: now.Sub(x.started)})
	if r == kcrplace.Broken && x.content != 0 && x.route.Kind == kcrrule.Stream {
		g.suspect(x.content, t.choice)
	}
}

// clean tells whether the connection may carry another request.
func (t *try) clean() bool {
	return t.head != nil && t.body != nil && t.body.Done() && !t.body.UntilClose() &&
		t.head.KeepAlive() && t.conn.br.Buffered() == 0 && t.written()
}

// resultOf turns why an attempt did not run into what is learned of the
// upstream.
func (t *try) resultOf(v verdict, why string) kcrplace.Result {
	switch {
	case v == notRun && t.head != nil && t.head.Status == statusMisdirected:
		return kcrplace.Misdirected
	case v == notRun && t.head != nil:
		return kcrplace.Refused
	case why == timedOut:
		return kcrplace.Stalled
	default:
		return kcrplace.Broken
	}
}

// timedOut is why an attempt ended at a deadline of ours.
const timedOut = "nothing came in time"

func readError(err error) string {
	var timeout net.Error
	switch {
	case errors.As(err, &timeout) && timeout.Timeout():
		return timedOut
	case errors.Is(err, kcrhttp.ErrQuiet), errors.Is(err, io.EOF):
		return "the upstream closed the connection"
	case errors.Is(err, io.ErrUnexpectedEOF):
		return "the upstream broke off"
	default:
		return shortError(err)
	}
}

// shortError returns the innermost text of an error.
func shortError(err error) string {
	for {
		inner := errors.Unwrap(err)
		if inner == nil {
			return err.Error()
		}
		err = inner
	}
}

// probeTime bounds the connection that tells a dead upstream from a busy one.
const probeTime = 100 * time.Millisecond

// suspect counts a crash where an upstream that broke off takes no connection.
func (g *Gateway) suspect(content kcrid.Content, c *kcrplace.Choice) {
	addr, vm := c.Addr, c.ID
	g.wait.Go(func() {
		if dead(addr) && g.config.Harm.Crashed(content, vm) {
			g.logger.Info("crash", "content", uint64(content), "id", string(vm), "count", g.config.Harm.Count(content))
			g.config.Crashed(content, vm)
		}
	})
}
