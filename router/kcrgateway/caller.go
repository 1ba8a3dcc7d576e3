package kcrgateway

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrmemory"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrhttp"
)

// This file serves the connections of callers: it reads one request after
// another and detects callers that disconnect while their request is in progress.
// Invariant: requests of one connection are handled one at a time, in order.

// defaultLimits applies until a configuration is known.
var defaultLimits = kcrrule.Limits{
	MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeout: 3 * kcrclock.Second, IdleTimeout: 15 * kcrclock.Second,
}

const (
	callerBufSize = 4096 // bytes
	// bodyReadTimeout bounds the reading of a request body.
	bodyReadTimeout = 10 * time.Second
	// callerWriteTimeout bounds a write to a caller that does not read.
	callerWriteTimeout = 5 * time.Second
)

// callerConn is a connection from a caller.
type callerConn struct {
	conn     net.Conn
	place    *place
	br       *bufio.Reader
	writeBuf []byte          // reused between responses
	sent     func(bytes int) // records what is handed to the link
}

// serveConn serves requests until the connection ends.
func (g *Gateway) serveConn(conn net.Conn, p *place) {
	defer func() { _ = conn.Close() }()
	c := &callerConn{conn: conn, place: p, sent: g.recordSent, br: bufio.NewReaderSize(g.counted(conn), callerBufSize)}
	for g.serveRequest(c) {
	}
}

// limits returns the limits of the current configuration.
func (g *Gateway) limits() kcrrule.Limits {
	if rules := g.rules.Rules(); rules != nil {
		return rules.Limits
	}
	return defaultLimits
}

// serveRequest serves one request and reports whether another may follow on the
// connection.
func (g *Gateway) serveRequest(c *callerConn) (keepOpen bool) {
	limits := g.limits()
	if !g.awaitRequest(c, limits.IdleTimeout) {
		return false
	}
	if !c.place.enter(kcrmemory.Starting) {
		c.rejectBody(errNoPlace)
		return false
	}
	g.setBusy(c.conn, true)
	defer g.setBusy(c.conn, false)
	_ = c.conn.SetReadDeadline(time.Now().Add(limits.HeaderTimeout.Std()))
	head, err := kcrhttp.ReadRequest(c.br, limits.MaxHeaderBytes)
	if err != nil {
		c.rejectMalformed(err)
		return false
	}
	x := &exchange{gateway: g, caller: c, head: head, started: g.clock.Now(), cancelled: make(chan struct{})}
	g.setExchange(c.conn, x)
	x.closeAfter = !head.KeepAlive() || g.LinkIsFull()
	defer x.release()
	if err := x.readBody(limits.MaxBodyBytes); err != nil {
		c.rejectBody(err)
		return false
	}
	if !c.place.enter(kcrmemory.Served) {
		c.rejectBody(errPlaceLost)
		return false
	}
	_ = c.conn.SetReadDeadline(time.Time{})
	g.activeRequests.Add(1)
	defer g.activeRequests.Add(-1)
	stopWatching := x.watchCaller()
	x.handle()
	stopWatching()
	return !x.closeAfter && !x.callerLeft.Load() && !g.stopping.Load() && c.place.enter(kcrmemory.Idle)
}

// awaitRequest waits for the first byte of the next request, and reports whether it has
// arrived. Where a planned stop or the loss of its place ends the wait, a request may have
// arrived that is not read yet, so it looks once more.
func (g *Gateway) awaitRequest(c *callerConn, timeout kcrclock.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout.Std()))
	if c.place.holder.Lost() {
		_ = c.conn.SetReadDeadline(time.Unix(1, 0)) // it lost its place before the line above
	}
	_, err := c.br.Peek(1)
	if err != nil && (g.stopping.Load() || c.place.holder.Lost()) && errors.Is(err, os.ErrDeadlineExceeded) {
		_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		_, err = c.br.Peek(1)
	}
	return err == nil
}

// resetOnClose makes the close of the connection reset it.
func (c *callerConn) resetOnClose() {
	if conn, ok := c.conn.(*net.TCPConn); ok {
		_ = conn.SetLinger(0)
	}
}

// exchange is one request of a caller with its attempts and its outcome.
type exchange struct {
	gateway    *Gateway
	caller     *callerConn
	head       *kcrhttp.Head
	body       [][]byte // in parts
	bodySize   int      // bytes of all parts
	started    kcrclock.Time
	closeAfter bool // close the caller's connection after the response

	id                string
	rules             *kcrrule.Rules
	route             *kcrrule.Route
	team              *kcrrule.Team
	service           kcrid.Service
	maxTokensPerEvent kcrid.Tokens // of a stream, 0 if the service does not count tokens
	usage             usage
	spentTokens       kcrid.Tokens      // charged to the team's budget
	budgetWait        kcrclock.Duration // until the budget was reserved or refused
	placeWait         kcrclock.Duration // for an upstream that takes the request
	admittedBy        *admission        // in which it has waited, until an upstream has begun to answer it
	returnAfter       kcrclock.Duration // when the caller is to come back, 0 if no order of return is known
	deadline          kcrclock.Time
	content           kcrid.ContentHash // hash of target, team and body, 0 before admission
	attempts          []attemptRecord   // ended attempts, in order
	version           string            // of the upstreams that may go on with the stream, "" for any before its first event
	begun             bool              // the caller has the first event of the stream, from this exchange or an earlier one
	runs              int               // attempts whose request was written at least in part
	firstLatency      kcrclock.Duration // until the response or the first event, 0 before
	deliveredEvents   int               // events of the stream that were passed to the caller
	longestGap        kcrclock.Duration // between two writes of events
	lastForwardedAt   kcrclock.Time     // when events were last written, 0 before
	mayHaveRun        bool              // an upstream may have started a run
	holdsRetry        bool              // another attempt was taken from the retry budget
	upstreamError     *response         // error of an upstream, forwarded if no other one succeeds
	outcome           string            // an outcome constant, a status code or an upstream's error
	reason            string            // of an outcome other than success

	callerLeft  atomic.Bool   // the caller has disconnected
	aborted     atomic.Bool   // the time of a planned stop has passed
	cancelled   chan struct{} // closed by endWait
	closeCancel sync.Once
	mu          sync.Mutex
	activeConn  *upstreamConn // carries the current attempt, nil between attempts
}

// watchCaller abandons the exchange if the caller disconnects before stopWatching
// is called. Bytes that arrive meanwhile stay buffered for the next request.
func (x *exchange) watchCaller() (stopWatching func()) {
	peekDone := make(chan struct{})
	stopped := false
	var mu sync.Mutex
	go func() {
		defer close(peekDone)
		err := x.caller.peekUntilError()
		mu.Lock()
		defer mu.Unlock()
		if err != nil && !stopped {
			x.abandon()
		}
	}()
	return func() {
		mu.Lock()
		stopped = true
		mu.Unlock()
		_ = x.caller.conn.SetReadDeadline(time.Unix(1, 0))
		<-peekDone
		_ = x.caller.conn.SetReadDeadline(time.Time{})
	}
}

// peekUntilError reads from the connection until it fails, and keeps what it reads for the
// next request. It returns nil once the buffer is full, if there is room for what may then wait
// in the socket.
func (c *callerConn) peekUntilError() error {
	for c.br.Buffered() < callerBufSize {
		if _, err := c.br.Peek(c.br.Buffered() + 1); err != nil {
			return err
		}
	}
	return c.place.reserve(kcrmemory.Bodies, callerSocketBuffer)
}

// abandon records that the caller has disconnected and ends the current attempt.
func (x *exchange) abandon() {
	x.callerLeft.Store(true)
	x.endAttempt()
}

// abort ends the current attempt, so that the caller gets a response before a planned stop
// is over.
func (x *exchange) abort() {
	x.aborted.Store(true)
	x.endAttempt()
}

// interrupted reports whether the exchange was abandoned or aborted.
func (x *exchange) interrupted() bool { return x.callerLeft.Load() || x.aborted.Load() }

// endAttempt ends the current attempt by closing its connection, and the wait for escrow.
func (x *exchange) endAttempt() {
	x.endWait()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.activeConn != nil {
		_ = x.activeConn.Close()
	}
}

// endWait ends the wait for escrow or for a place, also one that has not begun.
func (x *exchange) endWait() { x.closeCancel.Do(func() { close(x.cancelled) }) }

// setActiveConn sets the connection that endAttempt closes. It reports whether the
// exchange goes on.
func (x *exchange) setActiveConn(c *upstreamConn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.activeConn = c
	return !x.interrupted()
}

// remaining returns the time until the deadline of the request.
func (x *exchange) remaining() kcrclock.Duration { return x.deadline.Sub(x.gateway.clock.Now()) }
