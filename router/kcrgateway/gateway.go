// Package kcrgateway forwards requests to upstreams over HTTP/1.1: it knows who
// calls, what the team may spend, which upstream should take the request, goes
// on with a stream whose upstream broke off, and tells the caller the truth
// about what became of it.
package kcrgateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrharm"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplace"
	"kingcuprun.example/kernel/kcrroute"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrdaemon"
)

// Purse reserves and settles tokens of teams. Reserve may wait for escrow as
// long as the channel is open.
type Purse struct {
	Reserve func(team kcrid.Team, worst kcrid.Tokens, wait kcrclock.Duration, gone <-chan struct{}) kcrbudget.Code
	Settle  func(team kcrid.Team, worst, used kcrid.Tokens)
}

// Config is what a Gateway is made of.
type Config struct {
	Listen  string
	Dialect Dialect
	Clock   kcrclock.Clock
	Logger  *slog.Logger
	Metrics *prometheus.Registry
	Rules   *kcrrule.State
	Table   *kcrplace.Table
	Harm    *kcrharm.Book
	Purse   Purse
	Retries RetryLimits
	// Routers returns how many routers share the retry budget.
	Routers func() int
	// Crashed is told of a request that crashed an upstream.
	Crashed func(content kcrid.Content, vm kcrid.VM)
}

// RetryLimits bound the attempts beyond the first for each service.
type RetryLimits struct {
	Window kcrclock.Duration
	Ratio  float64
	Slack  float64
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	config   Config
	dialect  Dialect
	clock    kcrclock.Clock
	logger   *slog.Logger
	rules    *kcrrule.State
	table    *kcrplace.Table
	pool     *pool
	metrics  *metrics
	listener net.Listener
	stopping atomic.Bool
	end      atomic.Int64 // of the time for a planned stop, on the gateway's clock
	active   atomic.Int64
	wait     conc.WaitGroup
	stop     context.CancelFunc

	mu      sync.Mutex
	conns   map[net.Conn]bool // callers' connections; true while a request is under way
	windows map[kcrid.Service]*kcrroute.Window
}

// idleSweep is the time between looks at idle connections to upstreams.
const idleSweep = 500 * time.Millisecond

// New starts a gateway.
func New(c Config) (g *Gateway, err error) {
	defer kcrerror.Annotate(&err, "listen on %s", c.Listen)
	g = &Gateway{
		config:  c,
		dialect: c.Dialect,
		clock:   c.Clock,
		logger:  c.Logger,
		rules:   c.Rules,
		table:   c.Table,
		pool:    newPool(),
		metrics: newMetrics(c.Metrics),
		conns:   map[net.Conn]bool{},
		windows: map[kcrid.Service]*kcrroute.Window{},
	}
	if g.listener, err = net.Listen("tcp", c.Listen); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.stop = cancel
	g.wait.Go(g.accept)
	g.wait.Go(func() { g.sweep(ctx) })
	return g, nil
}

// Addr returns the address on which callers are served.
func (g *Gateway) Addr() string { return g.listener.Addr().String() }

// acceptPause is the time after an error to accept, such as a lack of
// descriptors.
const acceptPause = 5 * time.Millisecond

func (g *Gateway) accept() {
	for {
		conn, err := g.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.logger.Warn("accept failed", "err", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		g.track(conn, true)
		g.wait.Go(func() {
			defer g.track(conn, false)
			g.serve(conn)
		})
	}
}

func (g *Gateway) track(conn net.Conn, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if on {
		g.conns[conn] = false
		return
	}
	delete(g.conns, conn)
}

// busy notes whether a request is under way on a connection.
func (g *Gateway) busy(conn net.Conn, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[conn] = on
}

func (g *Gateway) sweep(ctx context.Context) {
	t := time.NewTicker(idleSweep)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			g.pool.sweep(g.clock.Now())
		}
	}
}

func (g *Gateway) window(name kcrid.Service) *kcrroute.Window {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.windows[name]
	if w == nil {
		r := g.config.Retries
		w = kcrroute.NewWindow(r.Window, r.Ratio, r.Slack)
		g.windows[name] = w
	}
	return w
}

// Active returns the number of requests under way.
func (g *Gateway) Active() int64 { return g.active.Load() }

// Stop ends the gateway without cutting off a request. For settle, new
// requests are taken as before, since the balancer goes on sending them; where
// all routers of a zone stop at once, it does so even longer. So after that,
// requests are taken that are sure to end in time, others are told to come back,
// and each answer ends its connection. It returns when nothing is under way, or
// when the context ends.
func (g *Gateway) Stop(ctx context.Context, settle time.Duration) {
	kcrdaemon.Pause(ctx, settle)
	if end, ok := ctx.Deadline(); ok {
		g.end.Store(int64(g.clock.Now()) + time.Until(end).Milliseconds())
	}
	g.stopping.Store(true)
	g.drain(ctx)
	_ = g.listener.Close()
	g.drain(ctx) // of what was accepted just before
}

// drain waits until no request is under way.
func (g *Gateway) drain(ctx context.Context) {
	for ctx.Err() == nil && g.endIdle() > 0 {
		kcrdaemon.Pause(ctx, stopPoll)
	}
}

// Close ends all connections.
func (g *Gateway) Close() {
	_ = g.listener.Close() // closed already by a planned stop
	g.mu.Lock()
	for conn := range g.conns {
		_ = conn.Close()
	}
	g.mu.Unlock()
	g.stop()
}

// stopPoll is the time between looks at what is under way.
const stopPoll = 20 * time.Millisecond

// endIdle ends the connections without a request under way, and returns the
// number of the others.
func (g *Gateway) endIdle() (busy int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn, on := range g.conns {
		if on {
			busy++
			continue
		}
		_ = conn.SetReadDeadline(time.Unix(1, 0))
	}
	return busy
}

func sameName(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

// jitter spreads a time over half to one and a half of it.
func jitter(d kcrclock.Duration) kcrclock.Duration {
	return d/2 + kcrclock.Duration(rand.Int64N(int64(max(1, d))))
}

func (g *Gateway) retryAfter(d kcrclock.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) }
