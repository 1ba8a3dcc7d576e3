package kcrgateway

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"os"
	"syscall"
	"time"

	"kingcuprun.example/kernel/kcrmemory"
	"kingcuprun.example/link/kcrhttp"
)

// This file ties the connections of callers to the account of the process's memory: it ends those
// that have lost their place, and writes to callers that read slowly. Invariant: a connection that
// has lost its place gets no response that looks complete.

// Sizes of socket buffers, in bytes. They bound what the kernel holds beside the process.
const (
	callerSocketBuffer   = 16 << 10 // for what a caller sends
	longBodySocketBuffer = 64 << 10 // for what it sends of a long body; reserved with the body
	responseSocketBuffer = 32 << 10 // for what a caller gets
	upstreamSocketBuffer = 16 << 10
	// behindBytes is what is held for a caller that reads slowly, with the buffers of the process.
	behindBytes = responseSocketBuffer + upstreamSocketBuffer + 16<<10
)

const (
	// promptWriteTimeout bounds a write to a caller that reads promptly.
	promptWriteTimeout = 250 * time.Millisecond
	// roomPollInterval is the interval at which a reservation is tried again while others return
	// their memory, and maxRoomPolls how often.
	roomPollInterval = 2 * time.Millisecond
	maxRoomPolls     = 250
	// longBody is the size from which on a body gets a larger socket buffer, in bytes.
	longBody = 64 << 10
	// maxPlacePolls is how often a place for a new connection is asked for at that interval.
	maxPlacePolls = 150
)

// place is the place of a caller's connection in the account.
type place struct {
	gateway *Gateway
	conn    net.Conn
	holder  *kcrmemory.Holder
	behind  bool // behindBytes are reserved
	isWide  bool // longBodySocketBuffer is reserved and set
}

// openPlace adds a connection to the account. It waits a moment for a place, while further
// connections wait to be accepted, and returns nil if there is none.
func (g *Gateway) openPlace(conn net.Conn) *place {
	p := &place{gateway: g, conn: conn}
	for range maxPlacePolls {
		holder, losers := g.memory.Open(g.clock.Now(), p.end)
		kcrmemory.EndAll(losers)
		if holder != nil {
			p.holder = holder
			return p
		}
		time.Sleep(roomPollInterval)
	}
	g.noteLoss(conn, "", "no connection left")
	return nil
}

// end ends the connection, which has lost its place in a stage.
func (p *place) end(stage kcrmemory.Stage) {
	p.gateway.noteLoss(p.conn, stage.String(), "place lost")
	switch stage {
	case kcrmemory.Silent, kcrmemory.Idle, kcrmemory.Sending:
		_ = p.conn.SetReadDeadline(time.Unix(1, 0)) // a request that has come gets a response
	case kcrmemory.Behind:
		_ = p.conn.SetWriteDeadline(time.Unix(1, 0))
		p.gateway.abandonExchange(p.conn)
	default:
		_ = p.conn.Close()
	}
}

// abandonExchange abandons the exchange that is in progress on a connection.
func (g *Gateway) abandonExchange(conn net.Conn) {
	g.mu.Lock()
	var x *exchange
	if state := g.conns[conn]; state != nil {
		x = state.exchange
	}
	g.mu.Unlock()
	if x != nil {
		x.abandon()
	}
}

// enter sets the stage of the connection. It reports whether the connection still has its place.
func (p *place) enter(stage kcrmemory.Stage) bool {
	ok, losers := p.gateway.memory.SetStage(p.gateway.clock.Now(), p.holder, stage)
	kcrmemory.EndAll(losers)
	return ok
}

// progress records that n bytes have come from the caller or were written to it.
func (p *place) progress(n int) {
	if n > 0 {
		p.gateway.memory.Progress(p.gateway.clock.Now(), p.holder, n)
	}
}

// reserve reserves n bytes of a kind. It waits a moment for those that lose their place for it.
func (p *place) reserve(kind kcrmemory.Kind, n int) error {
	g := p.gateway
	for range maxRoomPolls {
		outcome, losers := g.memory.Grow(g.clock.Now(), p.holder, kind, n)
		kcrmemory.EndAll(losers)
		switch outcome {
		case kcrmemory.Granted:
			return nil
		case kcrmemory.Refused:
			return errNoRoom
		case kcrmemory.Wait:
			time.Sleep(roomPollInterval)
		}
	}
	return errNoRoom
}

// reservePart reserves the next part of a body that has size bytes, as far as is known. With a long
// body it reserves a larger socket buffer as well, since a small one slows down callers that are
// far away. So a body that is announced as long never uses what is left for short ones.
func (p *place) reservePart(part, size int) error {
	if p.isWide || size <= longBody {
		return p.reserve(kcrmemory.Bodies, part)
	}
	if err := p.reserve(kcrmemory.Bodies, part+longBodySocketBuffer); err != nil {
		return err
	}
	p.isWide = true
	p.setReadBuffer(longBodySocketBuffer)
	return nil
}

// setReadBuffer sets the size of the socket buffer for what the caller sends.
func (p *place) setReadBuffer(size int) {
	if conn, ok := p.conn.(*net.TCPConn); ok {
		_ = conn.SetReadBuffer(size) // a wrong size makes the connection slower only
	}
}

// returnAll returns all bytes.
func (p *place) returnAll() {
	if p.isWide {
		p.isWide = false
		p.setReadBuffer(callerSocketBuffer)
	}
	p.gateway.memory.ShrinkAll(p.holder)
}

// errBehind is the error of a write to a caller that reads so slowly that it lost its place.
var errBehind = errors.New("the caller reads too slowly")

// write writes data and gives up after callerWriteTimeout.
func (c *callerConn) write(data []byte) error {
	if c.place.holder.Lost() {
		return errBehind
	}
	c.sent(len(data))
	_ = c.conn.SetWriteDeadline(time.Now().Add(promptWriteTimeout))
	n, err := c.conn.Write(data)
	if err == nil {
		c.place.progress(n)
		c.place.caughtUp()
		return nil
	}
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	return c.writeSlowly(data[n:], time.Now().Add(callerWriteTimeout-promptWriteTimeout))
}

// writeSlowly writes data to a caller that does not read promptly.
func (c *callerConn) writeSlowly(data []byte, deadline time.Time) error {
	if err := c.place.fallBehind(); err != nil {
		return err
	}
	for len(data) > 0 {
		_ = c.conn.SetWriteDeadline(deadline)
		if c.place.holder.Lost() {
			return errBehind
		}
		n, err := c.conn.Write(data[:min(len(data), responseSocketBuffer)])
		data = data[n:]
		c.place.progress(n)
		if err != nil {
			return err
		}
	}
	return nil
}

// fallBehind reserves behindBytes. The caller keeps them until it reads promptly again, or its
// response ends.
func (p *place) fallBehind() error {
	if p.behind {
		return nil
	}
	if p.reserve(kcrmemory.Streams, behindBytes) != nil {
		p.gateway.noteLoss(p.conn, kcrmemory.Behind.String(), errBehind.Error())
		return errBehind
	}
	p.behind = true
	if !p.enter(kcrmemory.Behind) {
		return errBehind
	}
	return nil
}

// caughtUp ends what fallBehind began.
func (p *place) caughtUp() {
	if !p.behind {
		return
	}
	p.behind = false
	p.enter(kcrmemory.Served)
	p.gateway.memory.Shrink(p.holder, kcrmemory.Streams, behindBytes)
}

// noteRejection records a rejected request, unless the loss of its place is recorded.
func (p *place) noteRejection(err error) {
	var rejection *kcrhttp.ProtocolError
	if errors.As(err, &rejection) && rejection != errPlaceLost && rejection != errNoPlace {
		p.gateway.noteLoss(p.conn, kcrmemory.Sending.String(), rejection.Text)
	}
}

// noteLoss counts and logs that a connection lost its place or was refused one.
func (g *Gateway) noteLoss(conn net.Conn, stage, why string) {
	g.metrics.losses.WithLabelValues(stage).Inc()
	if !g.lossLines.Allow(g.clock.Now()) {
		return
	}
	g.logger.LogAttrs(context.Background(), slog.LevelWarn, "place lost", slog.String("caller", conn.RemoteAddr().String()), slog.String("stage", stage), slog.String("why", why),
		slog.Int("open", g.memory.Connections()), slog.Int64("bodies", g.memory.Bytes(kcrmemory.Bodies)), slog.Int64("streams", g.memory.Bytes(kcrmemory.Streams)))
}

// setCallerBuffers sets the sizes of the socket buffers of callers' connections on their listener.
// It is a net.ListenConfig.Control.
func setCallerBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the sizes the connections work as well.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, callerSocketBuffer)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, responseSocketBuffer)
	})
}
