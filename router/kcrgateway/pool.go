package kcrgateway

import (
	"bufio"
	"errors"
	"net"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrhttp"
)

// This file defines the connections to upstreams. Invariants: a connection
// serves one request at a time; it is kept only if its last answer was whole,
// was followed by nothing, and answered the request that was sent; before it
// is used again it is checked to be open and silent.

// upConn is a connection to an upstream.
type upConn struct {
	net.Conn
	br     *bufio.Reader
	vm     kcrid.VM
	addr   string
	idleAt kcrclock.Time
	keep   kcrclock.Duration // for which the upstream keeps it open
	reused bool
}

// Timing and sizes of connections.
const (
	dialTime = 200 * time.Millisecond
	// keepDefault is used where the upstream does not say how long it keeps an
	// idle connection.
	keepDefault = 4 * kcrclock.Second
	// keepPart is the part of that time in which a connection is used again;
	// onceKeepPart for requests that must not be sent twice.
	keepPart     = 0.8
	onceKeepPart = 0.5
	upstreamBuf  = 4096
	// userTimeout ends connections whose peer is silent at the level of TCP.
	userTimeout = 3 * time.Second
)

// pool keeps idle connections. It is safe for concurrent use.
type pool struct {
	dialer net.Dialer

	mu   sync.Mutex
	idle map[string][]*upConn // by VM and address, last used last
}

func newPool() *pool {
	return &pool{
		dialer: net.Dialer{Timeout: dialTime, KeepAlive: -1, Control: setUserTimeout},
		idle:   map[string][]*upConn{},
	}
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux, which the syscall package lacks.
const tcpUserTimeout = 18

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

func poolKey(vm kcrid.VM, addr string) string { return string(vm) + " " + addr }

// take returns an idle connection that was used less than part of its time
// ago, nil if there is none.
func (p *pool) take(now kcrclock.Time, vm kcrid.VM, addr string, part float64) *upConn {
	key := poolKey(vm, addr)
	for {
		p.mu.Lock()
		list := p.idle[key]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := list[len(list)-1]
		if float64(now.Sub(c.idleAt)) > part*float64(c.keep) {
			p.mu.Unlock()
			return nil
		}
		p.idle[key] = list[:len(list)-1]
		p.mu.Unlock()
		if c.quiet() {
			c.reused = true
			return c
		}
		_ = c.Close()
	}
}

// quiet tells whether nothing has arrived on an idle connection, its end
// included.
func (c *upConn) quiet() bool {
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
	quiet := false
	var one [1]byte
	err = raw.Read(func(fd uintptr) bool {
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// dial opens a connection.
func (p *pool) dial(vm kcrid.VM, addr string) (*upConn, error) {
	conn, err := p.dialer.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	return &upConn{Conn: conn, br: bufio.NewReaderSize(conn, upstreamBuf), vm: vm, addr: addr, keep: keepDefault}, nil
}

// put keeps a connection for further use.
func (p *pool) put(now kcrclock.Time, c *upConn, head *kcrhttp.Head) {
	if d, ok := keepTime(head.Get("Keep-Alive")); ok {
		c.keep = d
	}
	if c.keep <= 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	c.idleAt = now
	key := poolKey(c.vm, c.addr)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[key] = append(p.idle[key], c)
}

// keepTime reads "timeout=N" of a Keep-Alive field.
func keepTime(value string) (kcrclock.Duration, bool) {
	for option := range strings.SplitSeq(value, ",") {
		digits, ok := strings.CutPrefix(strings.TrimSpace(option), "timeout=")
		if !ok {
			continue
		}
		if n, err := strconv.Atoi(digits); err == nil && n >= 0 {
			return kcrclock.Duration(n) * kcrclock.Second, true
		}
	}
	return 0, false
}

// sweep closes the connections that are too old to be used again.
func (p *pool) sweep(now kcrclock.Time) {
	p.mu.Lock()
	var old []*upConn
	for key, list := range p.idle {
		i := 0
		for i < len(list) && float64(now.Sub(list[i].idleAt)) > keepPart*float64(list[i].keep) {
			i++
		}
		old = append(old, list[:i]...)
		if p.idle[key] = list[i:]; len(list) == i {
			delete(p.idle, key)
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// drop closes the idle connections to an upstream.
func (p *pool) drop(vm kcrid.VM, addr string) {
	key := poolKey(vm, addr)
	p.mu.Lock()
	list := p.idle[key]
	delete(p.idle, key)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}
