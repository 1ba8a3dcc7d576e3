package kcrgateway

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrhttp"
)

// This file defines the pool of connections to upstreams. Invariants: a connection
// carries one request at a time; it returns to the pool only if its last response
// was complete, was followed by no further bytes, and belonged to the request that
// was sent; before reuse it is checked to be open with no unread bytes.

// upstreamConn is a connection to an upstream.
type upstreamConn struct {
	net.Conn
	br        *bufio.Reader
	vm        kcrid.VM
	addr      string
	idleAt    kcrclock.Time     // when it was last put into the pool
	keepAlive kcrclock.Duration // how long the upstream keeps it open while idle
	reused    bool              // it was taken from the pool
	startedAt int64             // when the upstream started, by a current list or its report; 0 if unknown, negative if it does not tell
	pool      *pool
	closed    atomic.Bool
}

// Close implements net.Conn.
func (c *upstreamConn) Close() error {
	if !c.closed.Swap(true) {
		c.pool.open.Add(-1)
	}
	return c.Conn.Close()
}

// Timing and sizes of connections.
const (
	dialTimeout = 200 * time.Millisecond
	// defaultKeepAlive applies if the upstream does not state how long it keeps an
	// idle connection open.
	defaultKeepAlive = 4 * kcrclock.Second
	// reuseFraction is the fraction of the keep-alive time during which an idle
	// connection is reused, onceReuseFraction for requests that must not be sent
	// twice.
	reuseFraction     = 0.8
	onceReuseFraction = 0.5
	upstreamBufSize   = 4096 // bytes
	// ackTimeout closes connections whose peer does not acknowledge sent data.
	ackTimeout = 3 * time.Second
)

// pool keeps idle connections. It is safe for concurrent use.
type pool struct {
	dialer  net.Dialer
	maxOpen int
	counted func(io.Reader) io.Reader // counts what is read
	open    atomic.Int64              // connections that are open or being opened

	mu   sync.Mutex
	idle map[string][]*upstreamConn // by VM and address, most recently used last
}

// newPool returns a pool that has up to maxOpen connections open, with those that it gave out. What
// is read from them goes through counted.
func newPool(maxOpen int, counted func(io.Reader) io.Reader) *pool {
	return &pool{
		maxOpen: maxOpen,
		counted: counted,
		dialer:  net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUpstreamOptions},
		idle:    map[string][]*upstreamConn{},
	}
}

// optTCPUserTimeout is Linux's TCP_USER_TIMEOUT, which package syscall lacks.
const optTCPUserTimeout = 18

// setUpstreamOptions sets ackTimeout and the sizes of the buffers on a socket. It is a
// net.Dialer.Control.
func setUpstreamOptions(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(ackTimeout.Milliseconds()))
		// Without the sizes the connection works as well.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, upstreamSocketBuffer)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, upstreamSocketBuffer)
	})
	return errors.Join(err, optErr)
}

// poolKey returns the key of an upstream in pool.idle.
func poolKey(vm kcrid.VM, addr string) string { return string(vm) + " " + addr }

// take removes an idle connection from the pool and returns it, or nil if there
// is none that was idle for at most maxIdleFraction of its keep-alive time.
func (p *pool) take(now kcrclock.Time, vm kcrid.VM, addr string, maxIdleFraction float64) *upstreamConn {
	key := poolKey(vm, addr)
	for {
		p.mu.Lock()
		conns := p.idle[key]
		if len(conns) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := conns[len(conns)-1]
		if float64(now.Sub(c.idleAt)) > maxIdleFraction*float64(c.keepAlive) {
			p.mu.Unlock()
			return nil
		}
		p.idle[key] = conns[:len(conns)-1]
		p.mu.Unlock()
		if c.openAndSilent() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// openAndSilent reports whether an idle connection is open and has no unread
// bytes.
func (c *upstreamConn) openAndSilent() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	silent := false
	var buf [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && silent
}

// errTooManyOpen is the error of a connection for which no descriptor is left.
var errTooManyOpen = errors.New("too many connections to upstreams")

// dial opens a connection to an upstream within a time. If too many are open, it closes an idle one before.
func (p *pool) dial(vm kcrid.VM, addr string, within time.Duration) (*upstreamConn, error) {
	if p.open.Add(1) > int64(p.maxOpen) && !p.closeOneIdle() {
		p.open.Add(-1)
		return nil, errTooManyOpen
	}
	dialer := p.dialer
	dialer.Timeout = min(dialer.Timeout, within)
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		p.open.Add(-1)
		return nil, err
	}
	return &upstreamConn{Conn: conn, pool: p, br: bufio.NewReaderSize(p.counted(conn), upstreamBufSize), vm: vm, addr: addr, keepAlive: defaultKeepAlive}, nil
}

// closeOneIdle closes an idle connection, and reports whether there was one.
func (p *pool) closeOneIdle() bool {
	p.mu.Lock()
	var c *upstreamConn
	for key, conns := range p.idle {
		if c = conns[0]; len(conns) == 1 {
			delete(p.idle, key)
		} else {
			p.idle[key] = conns[1:]
		}
		break
	}
	p.mu.Unlock()
	if c == nil {
		return false
	}
	_ = c.Close()
	return true
}

// put adds a connection to the pool. The head is that of its last response.
func (p *pool) put(now kcrclock.Time, c *upstreamConn, head *kcrhttp.Head) {
	if keepAlive, ok := parseKeepAlive(head.Get("Keep-Alive")); ok {
		c.keepAlive = keepAlive
	}
	if c.keepAlive <= 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.idleAt = now
	key := poolKey(c.vm, c.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// putBack adds a connection that carried no request since it was taken or opened.
func (p *pool) putBack(now kcrclock.Time, c *upstreamConn) {
	if !c.reused {
		c.idleAt = now
	}
	c.reused = false
	key := poolKey(c.vm, c.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// parseKeepAlive returns the duration of "timeout=N", in seconds, in a Keep-Alive
// field.
func parseKeepAlive(value string) (kcrclock.Duration, bool) {
	for option := range strings.SplitSeq(value, ",") {
		digits, ok := strings.CutPrefix(strings.TrimSpace(option), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(digits); err == nil && seconds >= 0 {
			return kcrclock.Duration(seconds) * kcrclock.Second, true
		}
	}
	return 0, false
}

// closeExpired closes the connections that were idle for too long to be reused.
func (p *pool) closeExpired(now kcrclock.Time) {
	p.mu.Lock()
	var expired []*upstreamConn
	for key, conns := range p.idle {
		expiredCount := 0
		for expiredCount < len(conns) && float64(now.Sub(conns[expiredCount].idleAt)) > reuseFraction*float64(conns[expiredCount].keepAlive) {
			expiredCount++
		}
		expired = append(expired, conns[:expiredCount]...)
		if p.idle[key] = conns[expiredCount:]; len(conns) == expiredCount {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// closeIdle closes the idle connections to an upstream.
func (p *pool) closeIdle(vm kcrid.VM, addr string) {
	key := poolKey(vm, addr)
	p.mu.Lock()
	conns := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
