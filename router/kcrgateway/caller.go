package kcrgateway

import (
	"bufio"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrhttp"
)

// This file serves the connections of callers: it reads one request after the
// other, and watches for callers that leave while their request is under way.

// Limits where no configuration is known yet.
var startLimits = kcrrule.Limits{
	Header: 16 << 10, Body: 4 << 20, HeaderTime: 3 * kcrclock.Second, IdleTime: 15 * kcrclock.Second,
}

const (
	callerBuf = 4096
	// bodyTime bounds the reading of a body.
	bodyTime = 10 * time.Second
	// writeTime bounds a write to a caller that does not read.
	writeTime = 5 * time.Second
)

// caller is a connection of a caller.
type caller struct {
	conn net.Conn
	br   *bufio.Reader
	out  []byte // buffer for writes
}

// serve reads requests until the connection ends.
func (g *Gateway) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c := &caller{conn: conn, br: bufio.NewReaderSize(conn, callerBuf)}
	for g.serveOne(c) {
	}
}

func (g *Gateway) limits() kcrrule.Limits {
	if r := g.rules.Rules(); r != nil {
		return r.Limits
	}
	return startLimits
}

// serveOne serves one request and tells whether another may follow.
func (g *Gateway) serveOne(c *caller) (more bool) {
	limits := g.limits()
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.IdleTime.Std()))
	if _, err := c.br.Peek(1); err != nil {
		return false
	}
	g.busy(c.conn, true)
	defer g.busy(c.conn, false)
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTime.Std()))
	head, err := kcrhttp.ReadRequest(c.br, limits.Header)
	if err != nil {
		c.refuse(err)
		return false
	}
	x := &exchange{g: g, caller: c, head: head, started: g.clock.Now(), gone: make(chan struct{})}
	x.close = !head.KeepAlive()
	if sameName(head.Get("Expect"), "100-continue") {
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	body, err := kcrhttp.RequestBody(c.br, head)
	if err != nil {
		c.refuse(err)
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyTime))
	if x.body, err = body.ReadAll(limits.Body); err != nil {
		c.refuse(err)
		return false
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	g.active.Add(1)
	defer g.active.Add(-1)
	stop := x.watch()
	x.handle()
	stop()
	return !x.close && !x.left.Load() && !g.stopping.Load()
}

// refuse answers a request that breaks the protocol; the connection ends, since
// where the next request begins is not known.
func (c *caller) refuse(err error) {
	var f *kcrhttp.Fault
	if !errors.As(err, &f) {
		return
	}
	b := kcrhttp.AppendStatus(c.out[:0], f.Status, reasonOf(f.Status), nil)
	b = kcrhttp.AppendField(b, "Connection", "close")
	b = kcrhttp.AppendLength(b, len(f.Text))
	b = append(b, "\r\n"...)
	_ = c.write(append(b, f.Text...)) // the connection ends either way
}

func (c *caller) write(b []byte) error {
	_ = c.conn.SetWriteDeadline(time.Now().Add(writeTime))
	_, err := c.conn.Write(b)
	return err
}

// exchange is one request of a caller and what becomes of it.
type exchange struct {
	g       *Gateway
	caller  *caller
	head    *kcrhttp.Head
	body    []byte
	started kcrclock.Time
	close   bool // the connection after the answer

	id       string
	rules    *kcrrule.Rules
	route    *kcrrule.Route
	team     *kcrrule.Team
	service  kcrid.Service
	stride   kcrid.Tokens // most tokens of an event, 0 where there are none
	usage    usage
	spent    kcrid.Tokens // of the team's budget
	deadline kcrclock.Time
	content  kcrid.Content
	attempts []attempt
	runs     int               // that may have begun
	first    kcrclock.Duration // to the answer or the first event, 0 before
	events   int
	pause    kcrclock.Duration // longest between two events
	passedAt kcrclock.Time     // of the last event
	ran      bool              // a run may have begun
	failed   *answer           // of an upstream, for want of a better one
	outcome  string
	text     string // why

	left atomic.Bool // the caller has left
	gone chan struct{}
	mu   sync.Mutex
	up   *upConn // in use
}

// watch looks for the end of the caller's connection until stop is called. What
// arrives meanwhile stays for the next request.
func (x *exchange) watch() (stop func()) {
	done := make(chan struct{})
	stopping := false
	var mu sync.Mutex
	go func() {
		defer close(done)
		_, err := x.caller.br.Peek(1)
		mu.Lock()
		defer mu.Unlock()
		if err != nil && !stopping {
			x.leave()
		}
	}()
	return func() {
		mu.Lock()
		stopping = true
		mu.Unlock()
		_ = x.caller.conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = x.caller.conn.SetReadDeadline(time.Time{})
	}
}

// leave notes that the caller has left and ends the attempt under way.
func (x *exchange) leave() {
	x.left.Store(true)
	close(x.gone)
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.up != nil {
		_ = x.up.Close()
	}
}

// use makes a connection the one that ends when the caller leaves. It tells
// whether the caller is still there.
func (x *exchange) use(c *upConn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.up = c
	return !x.left.Load()
}

// remaining returns the time that is left.
func (x *exchange) remaining() kcrclock.Duration { return x.deadline.Sub(x.g.clock.Now()) }
