// Package kcrgateway is a reverse proxy for HTTP/1.1. For each request it
// authenticates the caller, reserves tokens from the team's budget, selects an
// upstream and forwards the response. It resumes an event stream on another
// upstream when the first one fails, and its status codes never claim more than
// is known about whether the request ran.
//
// An attempt sends a request to one upstream. A run is the execution of the request
// there, which an attempt may or may not have started. An engine is an upstream that
// generates tokens and sends them as a stream of events. Escrow is the part of a
// team's budget that is lent to this router.
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

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrmemory"
	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/kernel/kcrroute"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrdaemon"
)

// This file defines the configuration of a gateway, its listener and its planned
// stop. Invariant: a planned stop never interrupts a request before its context
// ends.

// TeamBudget holds the functions that reserve and settle tokens of a team's budget.
type TeamBudget struct {
	// Reserve reserves worstCase tokens, the most that the request can use. It may
	// wait for escrow up to the result of longestWait, but not after waitEnds is closed.
	Reserve func(team kcrid.Team, worstCase kcrid.Tokens, longestWait func() kcrclock.Duration, waitEnds <-chan struct{}) kcrbudget.ReserveOutcome
	// Settle replaces a reservation of worstCase tokens by the used tokens.
	Settle func(team kcrid.Team, worstCase, used kcrid.Tokens)
	// StoreIsLost reports whether the store does not respond, so that no escrow can be granted.
	StoreIsLost func() bool
}

// Config holds the settings and the dependencies of a Gateway.
type Config struct {
	ListenAddr  string // address for callers, host:port
	HeaderNames HeaderNames
	Clock       kcrclock.Clock
	Logger      *slog.Logger
	Metrics     *prometheus.Registry
	Rules       *kcrrule.ActiveRules // routes, services and teams
	Upstreams   *kcrplacement.Table  // selects upstreams
	Crashes     *kcrcrash.Counter    // counts crashes of upstreams by request content
	// PartSuspects holds the parts of prompts that crash upstreams.
	PartSuspects *kcrcrash.PartSuspects
	Budget       TeamBudget
	Retries      RetryLimits
	// LinkBytesPerSecond is the speed of this machine's link in each direction, 0 if it is unknown.
	LinkBytesPerSecond float64
	// Machine is what the process may use.
	Machine kcrmemory.Machine
	// RouterCount returns the number of routers that share the retry budget, 0 if it
	// is unknown.
	RouterCount func() int
	// TakePermit takes a permit for one request to an upstream with a rate limit. If there is
	// none, it returns the time until it is worth asking again. It may block for a moment.
	TakePermit func(upstream kcrid.Incarnation, limit kcrplacement.RateLimit) (granted bool, wait kcrclock.Duration)
	// IsEmptied reports whether no request may be sent to the upstreams of a zone, and OnlyEmptied
	// whether all upstreams of a version of a service, "" for any, are in such zones.
	IsEmptied   func(zone kcrid.Zone) bool
	OnlyEmptied func(service kcrid.Service, version string) bool
	// NoteOrigin is called with the request that brought the first event of a stream, and the
	// version of the upstream that began it.
	NoteOrigin func(request, version string)
	// FindOrigin returns the version that began the stream of such a request, on this or another
	// router. It may block for a moment.
	FindOrigin func(request string) (version string, known bool)
	// RulesAreCurrent reports whether Rules are those of a moment ago. While they are not, nothing is
	// denied for good.
	RulesAreCurrent func() bool
	// UpstreamsAreCurrent reports whether the list of upstreams is that of a moment ago. While it is
	// not, upstreams are asked for reports.
	UpstreamsAreCurrent func() bool
	Report              UpstreamReport
	// OnLeaving is called with each upstream that says in a response that it leaves.
	OnLeaving func(kcrid.Incarnation)
	// OnCrash is called with each crash that Crashes counts.
	OnCrash func(kcrcrash.Crash)
	// AwaitCrashes waits for a moment if it is not known yet what crashes upstreams.
	AwaitCrashes func()
	// OnContentCleared is called with a content of Crashes that other routers must clear.
	OnContentCleared func(kcrid.ContentHash)
	// OnPartLevels is called with the levels of PartSuspects that other routers must know.
	OnPartLevels func([]kcrcrash.PartLevel)
}

// RetryLimits bounds the retries of each service within a sliding window.
type RetryLimits struct {
	Window       kcrclock.Duration // length of the sliding window
	RetryRatio   float64           // retries allowed per request
	ExtraRetries float64           // retries allowed in addition, shared by all routers
	// FirstStart tells that no earlier process of this router can have made retries. Any
	// other process does not use ExtraRetries until a window has passed.
	FirstStart bool
}

// Gateway accepts connections of callers and forwards their requests. It is safe
// for concurrent use.
type Gateway struct {
	config         Config
	headerNames    HeaderNames
	clock          kcrclock.Clock
	logger         *slog.Logger
	rules          *kcrrule.ActiveRules
	table          *kcrplacement.Table
	startedAt      kcrclock.Time
	pool           *pool
	link           *kcradmission.Link   // what is sent
	inflow         *kcradmission.Inflow // what comes in
	watch          *kcrcrash.Watch      // upstreams on which runs ended without a response
	metrics        *metrics
	listener       net.Listener
	stopping       atomic.Bool
	closed         atomic.Bool  // Close was called; set while mu is held
	stopDeadline   atomic.Int64 // end of a planned stop as a kcrclock.Time
	estimateEnd    atomic.Int64 // until when it takes generations whose end is only estimated, as a kcrclock.Time
	activeRequests atomic.Int64
	memory         *kcrmemory.Account // of the connections of callers
	lossLines      kcrdaemon.LineLimit
	goroutines     conc.WaitGroup
	acceptDone     chan struct{}      // closed when acceptLoop has returned
	cancelLoops    context.CancelFunc // stops sweepLoop and the checks of upstreams

	mu           sync.Mutex
	conns        map[net.Conn]*connState                 // open connections of callers
	retryWindows map[kcrid.Service]*kcrroute.RetryWindow // retry budgets
	admissions   map[kcrid.Service]*admission            // requests that wait for a place
}

// connState is what a planned stop needs to know of a caller's connection.
type connState struct {
	acceptedAt kcrclock.Time
	busySince  kcrclock.Time // when the last request began
	exchange   *exchange     // in progress, nil before the request was read and after its response
	used       bool          // the first byte of a request has arrived
	busy       bool          // a request is in progress
}

// sweepInterval is the interval at which expired upstream connections are closed.
const sweepInterval = 500 * time.Millisecond

// New starts a gateway that listens on c.ListenAddr.
func New(c Config) (g *Gateway, err error) {
	defer kcrerror.Annotate(&err, "listen on %s", c.ListenAddr)
	g = &Gateway{
		config:       c,
		headerNames:  c.HeaderNames,
		clock:        c.Clock,
		logger:       c.Logger,
		rules:        c.Rules,
		table:        c.Upstreams,
		startedAt:    c.Clock.Now(),
		memory:       kcrmemory.New(c.Machine.Callers()),
		watch:        kcrcrash.NewWatch(),
		link:         kcradmission.NewLink(c.LinkBytesPerSecond),
		inflow:       kcradmission.NewInflow(c.LinkBytesPerSecond),
		acceptDone:   make(chan struct{}),
		conns:        map[net.Conn]*connState{},
		retryWindows: map[kcrid.Service]*kcrroute.RetryWindow{},
		admissions:   map[kcrid.Service]*admission{},
	}
	g.pool = newPool(c.Machine.Upstreams(), g.counted)
	g.metrics = newMetrics(c.Metrics, g.memory)
	listen := net.ListenConfig{Control: setCallerBuffers}
	if g.listener, err = listen.Listen(context.Background(), "tcp", c.ListenAddr); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancelLoops = cancel
	g.goroutines.Go(g.acceptLoop)
	g.goroutines.Go(func() { g.sweepLoop(ctx) })
	g.goroutines.Go(func() { g.runAdmission(ctx) })
	g.goroutines.Go(func() { g.watchInflow(ctx) })
	g.goroutines.Go(func() { kcrdaemon.RunEvery(ctx, checkInterval, g.checkDue) })
	return g, nil
}

// Addr returns the address that the gateway listens on.
func (g *Gateway) Addr() string { return g.listener.Addr().String() }

// acceptRetryDelay is the delay before the next accept after a failed one, for
// example when the process is out of file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// acceptLoop serves each new connection in a goroutine until the listener closes.
func (g *Gateway) acceptLoop() {
	defer close(g.acceptDone)
	for {
		conn, err := g.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			g.logger.Warn("accept failed", "err", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		p := g.openPlace(conn)
		if p == nil {
			_ = conn.Close()
			continue
		}
		if !g.addConn(conn) {
			_ = conn.Close()
			g.memory.Remove(p.holder)
			return
		}
		g.goroutines.Go(func() {
			defer g.memory.Remove(p.holder)
			defer g.removeConn(conn)
			g.serveConn(conn, p)
		})
	}
}

// addConn adds an accepted connection to conns, and reports whether the gateway is open.
func (g *Gateway) addConn(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed.Load() {
		return false
	}
	g.conns[conn] = &connState{acceptedAt: g.clock.Now()}
	return true
}

// removeConn removes a closed connection from conns.
func (g *Gateway) removeConn(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, conn)
}

// setBusy records whether a request is in progress on a connection.
func (g *Gateway) setBusy(conn net.Conn, busy bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := g.conns[conn]
	if state == nil {
		return
	}
	state.busy, state.used, state.exchange = busy, true, nil
	if busy {
		state.busySince = g.clock.Now()
	}
}

// setExchange records the exchange that is in progress on a connection.
func (g *Gateway) setExchange(conn net.Conn, x *exchange) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if state := g.conns[conn]; state != nil {
		state.exchange = x
	}
}

// sweepLoop closes expired upstream connections until the context ends.
func (g *Gateway) sweepLoop(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.pool.closeExpired(g.clock.Now())
		}
	}
}

// retryWindow returns the retry budget of a service.
func (g *Gateway) retryWindow(service kcrid.Service) *kcrroute.RetryWindow {
	g.mu.Lock()
	defer g.mu.Unlock()
	window := g.retryWindows[service]
	if window == nil {
		limits := g.config.Retries
		from := g.startedAt.Add(limits.Window)
		if limits.FirstStart {
			from = g.startedAt
		}
		window = kcrroute.NewRetryWindow(from, limits.Window, limits.RetryRatio, limits.ExtraRetries)
		g.retryWindows[service] = window
	}
	return window
}

// CloseIdle closes the idle connections to an upstream.
func (g *Gateway) CloseIdle(vm kcrid.VM, addr string) { g.pool.closeIdle(vm, addr) }

// ActiveRequests returns the number of requests in progress.
func (g *Gateway) ActiveRequests() int64 { return g.activeRequests.Load() }

// With a short time for a planned stop, drainDelay and estimatePeriod are at most these parts of it.
const (
	drainDivisor    = 3
	estimateDivisor = 2
)

// Stop drains the gateway without interrupting a request. During drainDelay it
// accepts requests as before, because the load balancer keeps sending them. The
// balancer does so even longer when all routers of a zone stop at once, so after
// drainDelay the gateway still serves requests that will finish before the context's
// deadline, answers others with a Retry-After, and closes each
// connection after its response. A connection that was accepted a moment ago gets the
// time to send its first request. Stop returns when no connection is open, so that no
// request can begin, or a moment after the context ends. Requests that are in progress then
// are aborted: those of which the caller has received nothing get an error response.
func (g *Gateway) Stop(ctx context.Context, drainDelay time.Duration) {
	now := g.clock.Now()
	estimateEnd := now.Add(estimatePeriod)
	deadline, ok := ctx.Deadline()
	if ok {
		drainDelay = min(drainDelay, time.Until(deadline)/drainDivisor)
		estimateEnd = min(estimateEnd, now.Add(kcrclock.Duration((time.Until(deadline) / estimateDivisor).Milliseconds())))
	}
	g.estimateEnd.Store(int64(estimateEnd))
	kcrdaemon.Sleep(ctx, drainDelay)
	listening := ctx
	if ok {
		g.stopDeadline.Store(int64(g.clock.Now()) + time.Until(deadline).Milliseconds())
		var cancel context.CancelFunc
		listening, cancel = context.WithDeadline(ctx, deadline.Add(-firstRequestTimeout.Std()))
		defer cancel()
	}
	g.stopping.Store(true)
	g.endWaits()
	g.closeConns(listening)
	_ = g.listener.Close()
	select {
	case <-g.acceptDone:
	case <-ctx.Done():
	}
	g.closeConns(ctx) // those accepted just before the listener closed
	timedOut := ctx.Err() != nil
	if timedOut {
		g.abortExchanges()
	}
	g.logger.Info("drained", "active", g.ActiveRequests(), "open", g.openConns(), "timeout", timedOut)
}

// endWaits ends the waits of requests for escrow and for places. Their callers are served sooner
// by another router.
func (g *Gateway) endWaits() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, state := range g.conns {
		if state.exchange != nil {
			state.exchange.endWait()
		}
	}
}

// openConns returns the number of open connections of callers.
func (g *Gateway) openConns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// firstRequestTimeout is how long a planned stop waits for the first request on a new
// connection.
const firstRequestTimeout = 500 * kcrclock.Millisecond

// abortTimeout is how long a planned stop whose context has ended waits until the requests
// that it has aborted are answered.
const abortTimeout = 150 * time.Millisecond

// abortExchanges aborts the requests in progress and waits until their connections are
// closed, up to abortTimeout.
func (g *Gateway) abortExchanges() {
	g.mu.Lock()
	for _, state := range g.conns {
		if state.exchange != nil {
			state.exchange.abort()
		}
	}
	g.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	g.closeConns(ctx)
}

// closeConns closes idle connections until no connection is open or the context ends.
func (g *Gateway) closeConns(ctx context.Context) {
	for ctx.Err() == nil && g.closeIdle() > 0 {
		kcrdaemon.Sleep(ctx, drainPollInterval)
	}
}

// Close closes the listener and all connections of callers.
func (g *Gateway) Close() {
	_ = g.listener.Close() // a planned stop has closed it already
	now := g.clock.Now()
	g.mu.Lock()
	g.closed.Store(true)
	for conn, state := range g.conns {
		if state.busy {
			id := ""
			if x := state.exchange; x != nil {
				id = x.head.Get(g.headerNames.RequestID)
				if x.head.IsHTTP10 {
					x.caller.resetOnClose()
				}
			}
			g.logger.Warn("request cut off", "req", id, "caller", conn.RemoteAddr().String(), "accepted", int64(now.Sub(state.acceptedAt)), "began", int64(now.Sub(state.busySince)))
		}
		_ = conn.Close()
	}
	g.mu.Unlock()
	g.cancelLoops()
}

// drainPollInterval is the interval at which a planned stop checks for open connections.
const drainPollInterval = 20 * time.Millisecond

// closeIdle makes connections close that have no request in progress and whose first
// request is not awaited. It returns the number of open connections, those among them,
// because a request may arrive before they close.
func (g *Gateway) closeIdle() (openCount int) {
	now := g.clock.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn, state := range g.conns {
		if !state.busy && (state.used || now.Sub(state.acceptedAt) >= firstRequestTimeout) {
			_ = conn.SetReadDeadline(time.Unix(1, 0))
		}
	}
	return len(g.conns)
}

// sameFieldName compares two header field names, ignoring case.
func sameFieldName(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

// jitter returns a random duration from 0.5 to 1.5 times base.
func jitter(base kcrclock.Duration) kcrclock.Duration {
	return base/2 + kcrclock.Duration(rand.Int64N(int64(max(1, base))))
}

// inSeconds formats a duration as seconds with three decimals.
func (g *Gateway) inSeconds(d kcrclock.Duration) string { return fmt.Sprintf("%.3f", d.Seconds()) }
