package kcrgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrhttp"
	"kingcuprun.example/router/kcrgateway"
)

// These tests run a gateway between real connections of a caller and scripted
// upstreams. The routes are named after what they allow: /once/ no repetition,
// /safe/ and /resume/ two runs, /stream/ a stream of one run.

// headerNames returns the header field names of these tests.
func headerNames() kcrgateway.HeaderNames {
	return kcrgateway.HeaderNames{
		RequestID: "X-Id", APIKey: "X-Key", Team: "X-Team", Deadline: "X-Deadline", UpstreamID: "X-Instance", DeclaredTokens: "X-Usage",
		PromptParts: "X-Parts", LastEventID: "X-Resume", FirstAttempt: "X-First", Signature: "X-Signature", NotRun: "X-Not-Run", RetryAfter: "Retry-After", Priority: "X-Urgency", RateLimit: "X-Rate", Leaving: "X-Leaving",
		InternalFields:    []string{"X-Hold"},
		CallerIdleTimeout: func(_, _ kcrclock.Duration) kcrclock.Duration { return kcrclock.Duration(idleTimeout.Milliseconds()) },
	}
}

// idleTimeout is how long callers wait for the next event of a stream before they
// disconnect.
const idleTimeout = 800 * time.Millisecond

// upstream is a scripted upstream. It calls handle with the number of each request,
// from 1, the request and the connection to write to. The connection stays open if
// handle returns true.
type upstream struct {
	id           string
	listener     net.Listener
	handle       func(n int, req request, conn net.Conn) bool
	requestCount atomic.Int64
	closed       chan string // IDs of requests whose connection the gateway closed

	mu       sync.Mutex
	requests []request
}

// request is a request that an upstream received.
type request struct {
	head *kcrhttp.Head
	body string
}

func (r request) id() string { return r.head.Get("X-Id") }

func newUpstream(t *testing.T, id string, handle func(n int, req request, conn net.Conn) bool) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{id: id, listener: listener, handle: handle, closed: make(chan string, 100)}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := readRequest(reader)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.requests = append(u.requests, req)
		u.mu.Unlock()
		if !u.handle(int(u.requestCount.Add(1)), req, conn) {
			return
		}
	}
}

func readRequest(r *bufio.Reader) (req request, err error) {
	if req.head, err = kcrhttp.ReadRequest(r, 64<<10); err != nil {
		return req, err
	}
	body, err := kcrhttp.RequestBody(r, req.head)
	if err != nil {
		return req, err
	}
	data, err := body.ReadAll(1 << 20)
	req.body = string(data)
	return req, err
}

// receivedRequests returns a copy of the requests so far.
func (u *upstream) receivedRequests() []request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]request(nil), u.requests...)
}

// fakeBudget answers each reservation with outcome and adds up the tokens.
type fakeBudget struct {
	storeIsLost atomic.Bool
	mu          sync.Mutex
	outcome     kcrbudget.ReserveOutcome
	reserved    kcrid.Tokens
	spent       kcrid.Tokens
	settleCount int

	waiting chan struct{} // receives each request that is to wait until its wait is ended, nil for none
}

func (b *fakeBudget) reserve(_ kcrid.Team, worstCase kcrid.Tokens, _ func() kcrclock.Duration, waitEnds <-chan struct{}) kcrbudget.ReserveOutcome {
	if b.waiting != nil {
		b.waiting <- struct{}{}
		<-waitEnds
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.outcome == kcrbudget.Granted {
		b.reserved += worstCase
	}
	return b.outcome
}

func (b *fakeBudget) settle(_ kcrid.Team, worstCase, used kcrid.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved -= worstCase
	b.spent += used
	b.settleCount++
}

func (b *fakeBudget) totals() (reserved, spent kcrid.Tokens, settleCount int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.reserved, b.spent, b.settleCount
}

// testGateway is a gateway with the dependencies that tests inspect.
type testGateway struct {
	gateway  *kcrgateway.Gateway
	budget   *fakeBudget
	table    *kcrplacement.Table
	registry *prometheus.Registry
	crashes  *kcrcrash.Counter

	takePermit atomic.Value // of type func(kcrid.Incarnation, kcrplacement.RateLimit) (bool, kcrclock.Duration)
}

// warnings keeps the warnings of a gateway's log.
type warnings struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write appends log lines.
func (w *warnings) Write(lines []byte) (n int, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(lines)
}

// of returns the lines of a request.
func (w *warnings) of(requestID string) (lines string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for line := range strings.Lines(w.text.String()) {
		if strings.Contains(line, "req="+requestID+" ") {
			lines += line
		}
	}
	return lines
}

const host = "h.example"

// newTestGateway starts a gateway that may retry.
func newTestGateway(t *testing.T, upstreams ...*upstream) *testGateway {
	t.Helper()
	return newTestGatewayWith(t, kcrgateway.RetryLimits{Window: 10000, RetryRatio: 0.2, ExtraRetries: 50, FirstStart: true}, upstreams...)
}

func newTestGatewayWith(t *testing.T, retries kcrgateway.RetryLimits, upstreams ...*upstream) *testGateway {
	t.Helper()
	return newTestGatewayAt(t, "127.0.0.1:0", io.Discard, retries, upstreams...)
}

// newTestGatewayAt starts a gateway that listens on an address and writes its warnings to log.
func newTestGatewayAt(t *testing.T, addr string, log io.Writer, retries kcrgateway.RetryLimits, upstreams ...*upstream) *testGateway {
	t.Helper()
	clock := kcrclock.Monotonic()
	gw := &testGateway{registry: prometheus.NewRegistry(), budget: &fakeBudget{outcome: kcrbudget.Granted}, table: kcrplacement.New("z", kcrplacement.DefaultWeights()), crashes: kcrcrash.New(maxCrashes)}
	rules := kcrrule.NewActiveRules(kcrrule.Newer)
	route := func(prefix string, kind kcrrule.RouteKind, maxRuns int, resumable bool) kcrrule.Route {
		return kcrrule.Route{
			Name: prefix, Host: host, Prefix: prefix, Kind: kind, TrafficShares: []kcrrule.TrafficShare{{Service: "s", Weight: 1}},
			Timeout: 2000, LatencyTarget: 200, EventGapTarget: 200, MaxRuns: maxRuns, Resumable: resumable,
		}
	}
	rules.Apply(kcrrule.New(1, kcrrule.Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 1000, IdleTimeout: 5000},
		[]kcrrule.Service{{Name: "s", KVCapacity: 100000, MaxEventTokens: 7}},
		[]kcrrule.Team{{Name: "team", Keys: []string{"key"}, Priority: -1, Prepaid: 1000}},
		[]kcrrule.Route{
			route("/once/", kcrrule.AtMostOnce, 1, false), route("/safe/", kcrrule.Idempotent, 2, false),
			route("/stream/", kcrrule.Stream, 1, false), route("/resume/", kcrrule.Stream, 2, true),
			withRank(route("/urgent/", kcrrule.AtMostOnce, 1, false), 0), withRank(route("/patient/", kcrrule.AtMostOnce, 1, false), 5),
		}))
	var members []kcrplacement.Upstream
	for _, u := range upstreams {
		members = append(members, kcrplacement.Upstream{ID: kcrid.VM(u.id), Service: "s", Addr: u.listener.Addr().String(), Zone: "z", Version: "v1", Slots: 8})
	}
	gw.table.Update(clock.Now(), members)
	g, err := kcrgateway.New(kcrgateway.Config{
		ListenAddr: addr, HeaderNames: headerNames(), Clock: clock, Logger: slog.New(slog.NewTextHandler(log, &slog.HandlerOptions{Level: slog.LevelWarn})),
		Metrics: gw.registry, Rules: rules, Upstreams: gw.table, Crashes: gw.crashes,
		Budget:      kcrgateway.TeamBudget{Reserve: gw.budget.reserve, Settle: gw.budget.settle, StoreIsLost: gw.budget.storeIsLost.Load},
		Retries:     retries,
		RouterCount: func() int { return 1 }, TakePermit: func(upstream kcrid.Incarnation, limit kcrplacement.RateLimit) (bool, kcrclock.Duration) {
			if take := gw.takePermit.Load(); take != nil {
				return take.(func(kcrid.Incarnation, kcrplacement.RateLimit) (bool, kcrclock.Duration))(upstream, limit)
			}
			return true, 0
		},
		AwaitCrashes: func() {}, NoteOrigin: func(string, string) {}, FindOrigin: func(string) (string, bool) { return "", false },
		RulesAreCurrent: func() bool { return true }, UpstreamsAreCurrent: func() bool { return true }, IsEmptied: func(kcrid.Zone) bool { return false }, OnlyEmptied: func(kcrid.Service, string) bool { return false },
		OnLeaving: func(kcrid.Incarnation) {}, OnCrash: func(kcrcrash.Crash) {}, OnContentCleared: func(kcrid.ContentHash) {},
		PartSuspects: kcrcrash.NewPartSuspects(3), OnPartLevels: func([]kcrcrash.PartLevel) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	gw.gateway = g
	t.Cleanup(g.Close)
	return gw
}

// withRank returns a route of a rank whose requests have time to wait for an upstream.
func withRank(r kcrrule.Route, rank int) kcrrule.Route {
	r.Priority, r.Timeout, r.LatencyTarget = rank, 6000, 2000
	return r
}

// placeNearAndFar puts one upstream into the gateway's zone and another into a
// different one, so that the first attempt goes to the near one.
func (gw *testGateway) placeNearAndFar(near, far *upstream) {
	var members []kcrplacement.Upstream
	for i, u := range []*upstream{near, far} {
		members = append(members, kcrplacement.Upstream{
			ID: kcrid.VM(u.id), Service: "s", Addr: u.listener.Addr().String(), Zone: []kcrid.Zone{"z", "y"}[i], Version: "v1", Slots: 8,
		})
	}
	gw.table.Update(0, members)
}

var lastRequestID atomic.Int64

// newRequest returns a request for a path, with further header lines, and its ID.
func newRequest(path, headers, body string) (id, rawRequest string) {
	id = fmt.Sprintf("id-%d", lastRequestID.Add(1))
	return id, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Key: key\r\nX-Deadline: 1500\r\nX-Usage: 100,70\r\nX-Parts: a:60,b:40\r\n%sContent-Length: %d\r\n\r\n%s",
		path, host, id, headers, len(body), body)
}

func dial(t *testing.T, gw *testGateway) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", gw.gateway.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn
}

// roundTrip sends a request and reads the response.
func roundTrip(t *testing.T, gw *testGateway, path, headers string) (head *kcrhttp.Head, body string, err error) {
	t.Helper()
	conn := dial(t, gw)
	_, rawRequest := newRequest(path, headers, "body")
	if _, err := io.WriteString(conn, rawRequest); err != nil {
		t.Fatal(err)
	}
	return readResponse(bufio.NewReader(conn))
}

func readResponse(reader *bufio.Reader) (head *kcrhttp.Head, body string, err error) {
	if head, err = kcrhttp.ReadResponse(reader, 8<<10); err != nil {
		return nil, "", err
	}
	bodyReader, err := kcrhttp.ResponseBody(reader, head, "POST")
	if err != nil {
		return head, "", err
	}
	data, err := bodyReader.ReadAll(1 << 20)
	return head, string(data), err
}

func respond(conn net.Conn, id, status, headers, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Id: %s\r\nX-Signature: sig\r\n%sContent-Length: %d\r\n\r\n%s", status, id, headers, len(body), body)
	return err == nil
}

// writeStream writes the head of a stream and the events from first to last.
func writeStream(conn net.Conn, id string, first, last int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for i := first; i <= last; i++ {
		_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(formatEvent(i))))
	}
}

func formatEvent(i int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i) }

// formatEvents returns the events from 1 to last.
func formatEvents(last int) (text string) {
	for i := 1; i <= last; i++ {
		text += formatEvent(i)
	}
	return text
}

func respondOK(_ int, r request, c net.Conn) bool { return respond(c, r.id(), "200 OK", "", "fine") }

func TestForwardsRequestAndResponse(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u1", respondOK)
	gw := newTestGateway(t, u)
	head, body, err := roundTrip(t, gw, "/once/1", "A: 1\r\nX-Team: forged\r\nX-Hold: 7\r\nX-Instance: forged\r\nX-Urgency: 0\r\nConnection: X-Hop\r\nX-Hop: 1\r\n")
	if err != nil || head.Status != 200 || body != "fine" || head.Get("X-Signature") != "sig" {
		t.Fatalf("expected the upstream's response, got %+v %q %v", head, body, err)
	}
	got := u.receivedRequests()[0]
	for name, want := range map[string]string{
		"A": "1", "X-Team": "team", "X-Instance": "u1", "X-Hold": "", "X-Key": "", "X-Hop": "", "X-Urgency": "",
	} {
		if got.head.Get(name) != want {
			t.Errorf("%s: expected %q at the upstream, got %q", name, want, got.head.Get(name))
		}
	}
	if got.body != "body" || got.head.Target != "/once/1" {
		t.Errorf("expected the request unchanged, got %q %q", got.head.Target, got.body)
	}
}

func TestRefusalsOfGateway(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u1", respondOK)
	gw := newTestGateway(t, u)
	for _, c := range []struct {
		path, headers string
		status        int
	}{{"/none/1", "", 404}, {"/once", "", 404}} {
		head, _, err := roundTrip(t, gw, c.path, c.headers)
		if err != nil || head.Status != c.status || head.Has("X-Signature") {
			t.Errorf("%s: expected status %d without a signature, got %+v %v", c.path, c.status, head, err)
		}
	}
	conn := dial(t, gw)
	_, _ = io.WriteString(conn, "GET /once/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: x\r\nX-Key: wrong\r\n\r\n")
	if head, _, err := readResponse(bufio.NewReader(conn)); err != nil || head.Status != 401 {
		t.Errorf("unknown key: expected 401, got %+v %v", head, err)
	}
	for outcome, status := range map[kcrbudget.ReserveOutcome]int{kcrbudget.BudgetExhausted: 402, kcrbudget.Pending: 503, kcrbudget.BudgetUnknown: 503} {
		gw.budget.mu.Lock()
		gw.budget.outcome = outcome
		gw.budget.mu.Unlock()
		head, _, err := roundTrip(t, gw, "/resume/1", "")
		if err != nil || head.Status != status || status == 503 && !head.Has("Retry-After") {
			t.Errorf("budget %v: expected status %d, got %+v %v", outcome, status, head, err)
		}
	}
	if n := len(u.receivedRequests()); n != 0 {
		t.Fatalf("expected no request at the upstream, got %d", n)
	}
}

// Guards against callers that come back again and again while no escrow can be granted.
func TestRefusalForEscrowInOutageAsksToWaitLonger(t *testing.T) {
	t.Parallel()
	gw := newTestGateway(t, newUpstream(t, "u1", respondOK))
	gw.budget.outcome = kcrbudget.Pending
	for lost, limits := range map[bool][2]float64{false: {0.3, 1.1}, true: {2, 6}} {
		gw.budget.storeIsLost.Store(lost)
		head, _, err := roundTrip(t, gw, "/resume/1", "")
		if err != nil || head.Status != 503 {
			t.Fatalf("expected 503, got %+v %v", head, err)
		}
		if seconds, err := strconv.ParseFloat(head.Get("Retry-After"), 64); err != nil || seconds < limits[0] || seconds > limits[1] {
			t.Errorf("store lost %v: expected Retry-After from %v to %v s, got %q", lost, limits[0], limits[1], head.Get("Retry-After"))
		}
	}
}

// TestOnceRequestIsNotRepeated guards against a second run of a request that must
// run at most once: after any failure of its upstream, no other upstream receives
// it, and the response does not state that it did not run.
func TestOnceRequestIsNotRepeated(t *testing.T) {
	t.Parallel()
	failures := map[string]func(n int, req request, conn net.Conn) bool{
		"closes the connection": func(int, request, net.Conn) bool { return false },
		"resets the connection": func(_ int, _ request, conn net.Conn) bool { _ = conn.(*net.TCPConn).SetLinger(0); return false },
		"truncates the response": func(_ int, req request, conn net.Conn) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 50\r\n\r\nabc", req.id())
			return false
		},
		"sends garbage": func(_ int, _ request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, "nonsense\r\n\r\n")
			return false
		},
		"does not sign": func(_ int, req request, conn net.Conn) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nabc", req.id())
			return true
		},
		"503 without X-Not-Run": func(_ int, req request, conn net.Conn) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", req.id())
			return true
		},
	}
	for name, failure := range failures {
		a, b := newUpstream(t, "a", failure), newUpstream(t, "b", failure)
		gw := newTestGateway(t, a, b)
		head, _, err := roundTrip(t, gw, "/once/1", "")
		if n := len(a.receivedRequests()) + len(b.receivedRequests()); n != 1 {
			t.Errorf("%s: expected 1 run, got %d", name, n)
		}
		if name == "503 without X-Not-Run" {
			continue // the upstream's own response is forwarded
		}
		if err != nil || head.Status != 502 || head.Has("X-Signature") {
			t.Errorf("%s: expected 502 without a signature, got %+v %v", name, head, err)
		}
	}
}

// TestRequestNotRunIsRetried checks that a request that an upstream did not run is
// sent to another one, and that the caller gets a 503 with a Retry-After if none
// runs it.
func TestRequestNotRunIsRetried(t *testing.T) {
	t.Parallel()
	refuse := func(_ int, req request, conn net.Conn) bool {
		return respond(conn, req.id(), "503 Busy", "X-Not-Run: 1\r\n", "")
	}
	misdirect := func(_ int, _ request, conn net.Conn) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	a, b := newUpstream(t, "a", refuse), newUpstream(t, "b", misdirect)
	gw := newTestGateway(t, a, b, newUpstream(t, "c", respondOK))
	for range 4 {
		if head, _, err := roundTrip(t, gw, "/once/1", ""); err != nil || head.Status != 200 {
			t.Fatalf("expected the third upstream's response, got %+v %v", head, err)
		}
	}
	refusing := newTestGateway(t, newUpstream(t, "a", refuse))
	head, _, err := roundTrip(t, refusing, "/once/1", "")
	if err != nil || head.Status != 503 || !head.Has("Retry-After") || head.Has("X-Signature") || head.Has("X-Not-Run") {
		t.Fatalf("expected the gateway's 503 with a Retry-After, got %+v %v", head, err)
	}
}

// TestStrayResponsesAreSkipped guards against forwarding a response to another
// request, which an upstream may leave on a reused connection.
func TestStrayResponsesAreSkipped(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		respond(conn, "another", "200 OK", "", "not yours")
		return respond(conn, req.id(), "200 OK", "", "yours")
	})
	gw := newTestGateway(t, u)
	if head, body, err := roundTrip(t, gw, "/once/1", ""); err != nil || head.Status != 200 || body != "yours" {
		t.Fatalf("expected the response to this request, got %+v %q %v", head, body, err)
	}
	duplicating := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		respond(conn, req.id(), "200 OK", "", "first")
		respond(conn, req.id(), "200 OK", "", "again")
		return true
	})
	gw = newTestGateway(t, duplicating)
	for range 5 {
		if head, body, err := roundTrip(t, gw, "/once/1", ""); err != nil || head.Status != 200 || body != "first" {
			t.Fatalf("expected the first response only, got %+v %q %v", head, body, err)
		}
	}
}

func TestIdempotentRequestIsRetried(t *testing.T) {
	t.Parallel()
	failing := newUpstream(t, "a", func(int, request, net.Conn) bool { return false })
	gw := newTestGateway(t, failing, newUpstream(t, "b", respondOK))
	for range 6 {
		if head, body, err := roundTrip(t, gw, "/safe/1", ""); err != nil || head.Status != 200 || body != "fine" {
			t.Fatalf("expected a response, got %+v %q %v", head, body, err)
		}
	}
}

// TestRestartedRouterSavesRetries checks that a router that may have made retries before
// its start makes none beyond the share of its requests, and tells the reason.
func TestRestartedRouterSavesRetries(t *testing.T) {
	t.Parallel()
	failing := newUpstream(t, "a", func(int, request, net.Conn) bool { return false })
	serving := newUpstream(t, "b", respondOK)
	gw := newTestGatewayWith(t, kcrgateway.RetryLimits{Window: 10000, RetryRatio: 0.2, ExtraRetries: 50}, failing, serving)
	gw.placeNearAndFar(failing, serving)
	head, body, err := roundTrip(t, gw, "/safe/1", "")
	if err != nil || head.Status != 502 || !strings.Contains(body, "the retry budget is used up") {
		t.Fatalf("expected 502 for lack of retries, got %+v %q %v", head, body, err)
	}
}

func TestStreamIsForwardedAndCharged(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		writeStream(conn, req.id(), 1, 5)
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	gw := newTestGateway(t, u)
	head, body, err := roundTrip(t, gw, "/stream/1", "")
	if err != nil || body != formatEvents(5) || head.Get("X-Signature") != "sig" {
		t.Fatalf("expected 5 events, got %q %v", body, err)
	}
	waitFor(t, "the reservation to be settled", func() bool { _, _, n := gw.budget.totals(); return n == 1 })
	if reserved, spent, _ := gw.budget.totals(); reserved != 0 || spent != 100+5*7 {
		t.Fatalf("expected 135 tokens spent and none reserved, got %d and %d", spent, reserved)
	}
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !done(); {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestIncompleteStreamHasNoEnd checks that a stream that broke off and can't be
// resumed does not end like a complete one.
func TestIncompleteStreamHasNoEnd(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "a", func(_ int, req request, conn net.Conn) bool { writeStream(conn, req.id(), 1, 3); return false })
	other := newUpstream(t, "b", respondOK)
	gw := newTestGateway(t, u)
	if _, body, err := roundTrip(t, gw, "/stream/1", ""); err == nil || body != formatEvents(3) {
		t.Fatalf("expected 3 events and a truncated stream, got %q %v", body, err)
	}
	if len(other.receivedRequests()) != 0 {
		t.Fatal("expected no second run")
	}
}

// TestStreamIsResumedElsewhere checks that no event is missing, repeated or split
// when a stream is resumed on another upstream, also if the first run ended within
// an event.
func TestStreamIsResumedElsewhere(t *testing.T) {
	t.Parallel()
	for _, partialEvent := range []string{"", "id: 4\nda", "id: 4\ndata: e4\n"} {
		var firstRunStarted atomic.Bool
		handle := func(_ int, req request, conn net.Conn) bool {
			if firstRunStarted.CompareAndSwap(false, true) {
				writeStream(conn, req.id(), 1, 3)
				if partialEvent != "" {
					_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(partialEvent)))
				}
				return false
			}
			from := 1
			_, _ = fmt.Sscan(req.head.Get("X-Resume"), &from)
			writeStream(conn, req.id(), from, 8) // repeats an event that the caller has
			_, err := io.WriteString(conn, kcrhttp.LastChunk)
			return err == nil
		}
		a, b := newUpstream(t, "a", handle), newUpstream(t, "b", handle)
		gw := newTestGateway(t, a, b)
		_, body, err := roundTrip(t, gw, "/resume/1", "")
		if err != nil || body != formatEvents(8) {
			t.Errorf("after %q: expected 8 events, got %q %v", partialEvent, body, err)
		}
		if n := len(a.receivedRequests()) + len(b.receivedRequests()); n != 2 {
			t.Errorf("expected 2 runs, got %d", n)
		}
	}
}

// TestEventGapEndsStream checks that the stream is cut if the second run resumes
// too late and would leave events out.
func TestEventGapEndsStream(t *testing.T) {
	t.Parallel()
	var firstRunStarted atomic.Bool
	handle := func(_ int, req request, conn net.Conn) bool {
		if firstRunStarted.CompareAndSwap(false, true) {
			writeStream(conn, req.id(), 1, 3)
			return false
		}
		writeStream(conn, req.id(), 6, 8)
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	}
	gw := newTestGateway(t, newUpstream(t, "a", handle), newUpstream(t, "b", handle))
	if _, body, err := roundTrip(t, gw, "/resume/1", ""); err == nil || body != formatEvents(3) {
		t.Fatalf("expected 3 events and a truncated stream, got %q %v", body, err)
	}
}

// Guards against a stream that is broken off, though its engine is only slow, when the retry
// budget allows no other attempt.
func TestSlowStreamIsKeptWithoutRetries(t *testing.T) {
	t.Parallel()
	const silence = 600 * time.Millisecond // longer than an engine may be silent
	for _, c := range []struct {
		name        string
		before      int  // events before the silence
		isReachable bool // for new connections
	}{{"before its first event", 0, true}, {"within the stream", 3, true}, {"and busy", 3, false}, {"and busy before its first event", 0, false}} {
		var u *upstream
		u = newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
			if !c.isReachable {
				_ = u.listener.Close()
			}
			if c.before > 0 {
				writeStream(conn, req.id(), 1, c.before)
			}
			time.Sleep(silence)
			if c.before == 0 {
				writeStream(conn, req.id(), 1, 3)
			}
			_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(formatEvent(4))))
			_, err := io.WriteString(conn, kcrhttp.LastChunk)
			return err == nil
		})
		other := newUpstream(t, "other", respondOK)
		gw := newTestGatewayWith(t, kcrgateway.RetryLimits{Window: 10000, FirstStart: true}, u)
		gw.placeNearAndFar(u, other)
		if _, body, err := roundTrip(t, gw, "/resume/1", ""); err != nil || body != formatEvents(4) {
			t.Errorf("slow %s: expected the whole stream, got %q %v", c.name, body, err)
		}
		if n := other.requestCount.Load(); n != 0 {
			t.Errorf("slow %s: expected no other attempt, got %d", c.name, n)
		}
	}
}

// TestUnreachableEngineIsGivenUp checks that a silent engine that accepts no
// connection is given up in time, and one that is only slow is not.
func TestUnreachableEngineIsGivenUp(t *testing.T) {
	t.Parallel()
	var unreachable *upstream
	unreachable = newUpstream(t, "a", func(_ int, req request, conn net.Conn) bool {
		writeStream(conn, req.id(), 1, 3)
		_ = unreachable.listener.Close() // it accepts no further connection
		time.Sleep(2 * time.Second)
		return false
	})
	resume := func(_ int, req request, conn net.Conn) bool {
		writeStream(conn, req.id(), 4, 8)
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	}
	far := newUpstream(t, "b", resume)
	gw := newTestGateway(t)
	gw.placeNearAndFar(unreachable, far)
	_, body, err := roundTrip(t, gw, "/resume/1", "")
	if err != nil || body != formatEvents(8) {
		t.Fatalf("expected the stream to be resumed elsewhere, got %q %v", body, err)
	}
	slow := newUpstream(t, "a", func(_ int, req request, conn net.Conn) bool {
		writeStream(conn, req.id(), 1, 3)
		time.Sleep(300 * time.Millisecond) // longer than the pause, but it is reachable
		_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(formatEvent(4))))
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	gw = newTestGateway(t)
	gw.placeNearAndFar(slow, far)
	if _, body, err = roundTrip(t, gw, "/resume/1", ""); err != nil || !strings.HasPrefix(body, formatEvents(4)) {
		t.Fatalf("expected the slow engine's stream, got %q %v", body, err)
	}
}

// TestCallerDisconnects checks that the gateway closes the upstream's connection
// soon after the caller closes its own.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	ended := make(chan time.Time, 1)
	u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		if strings.HasPrefix(req.head.Target, "/stream/") {
			writeStream(conn, req.id(), 1, 1)
		}
		var buf [1]byte
		_, _ = conn.Read(buf[:])
		ended <- time.Now()
		return false
	})
	for _, path := range []string{"/stream/1", "/once/1", "/safe/1"} {
		gw := newTestGateway(t, u)
		conn := dial(t, gw)
		_, rawRequest := newRequest(path, "", "body")
		n := u.requestCount.Load()
		_, _ = io.WriteString(conn, rawRequest)
		waitFor(t, "the request at the upstream", func() bool { return u.requestCount.Load() > n })
		time.Sleep(20 * time.Millisecond)
		disconnected := time.Now()
		_ = conn.Close()
		select {
		case at := <-ended:
			if d := at.Sub(disconnected); d > 400*time.Millisecond {
				t.Errorf("%s: expected the upstream's connection to be closed at once, took %v", path, d)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("%s: the upstream's connection was not closed", path)
		}
	}
}

// TestPipelinedRequests checks that a request that arrives before the response to
// the previous one is served after it.
func TestPipelinedRequests(t *testing.T) {
	t.Parallel()
	gw := newTestGateway(t, newUpstream(t, "u", respondOK))
	conn := dial(t, gw)
	firstID, firstRequest := newRequest("/once/1", "", "body")
	secondID, secondRequest := newRequest("/once/2", "", "more")
	_, _ = io.WriteString(conn, firstRequest+secondRequest)
	br := bufio.NewReader(conn)
	for _, want := range []string{firstID, secondID} {
		if head, body, err := readResponse(br); err != nil || head.Get("X-Id") != want || body != "fine" {
			t.Fatalf("expected the response to %s, got %+v %q %v", want, head, body, err)
		}
	}
}

// TestDeadline checks that a request that no upstream answers gets a 504 at its
// deadline.
func TestDeadline(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u", func(int, request, net.Conn) bool { time.Sleep(3 * time.Second); return false })
	gw := newTestGateway(t, u)
	start := time.Now()
	head, _, err := roundTrip(t, gw, "/once/1", "")
	if elapsed := time.Since(start); err != nil || head.Status != 504 || elapsed > 1900*time.Millisecond {
		t.Fatalf("expected 504 at the deadline of 1.5 s, got %+v %v after %v", head, err, elapsed)
	}
}

// TestStopCompletesStreams checks that a planned stop waits for the end of a stream
// and closes idle connections.
func TestStopCompletesStreams(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		writeStream(conn, req.id(), 1, 2)
		time.Sleep(400 * time.Millisecond)
		_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(formatEvent(3))))
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	gw := newTestGateway(t, u)
	idle := dial(t, gw)
	done := make(chan error, 1)
	go func() {
		_, body, err := roundTrip(t, gw, "/stream/1", "")
		if err == nil && body != formatEvents(3) {
			err = fmt.Errorf("got %q", body)
		}
		done <- err
	}()
	waitFor(t, "the request at the upstream", func() bool { return u.requestCount.Load() == 1 })
	gw.gateway.Stop(t.Context(), 50*time.Millisecond)
	if err := <-done; err != nil {
		t.Fatalf("expected the complete stream, got %v", err)
	}
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Fatal("expected the idle connection to be closed")
	}
}

// TestUpstreamErrorIsForwarded checks that the error response of an upstream is
// forwarded if no other upstream serves the request, and is not replaced by one of
// the gateway.
func TestUpstreamErrorIsForwarded(t *testing.T) {
	t.Parallel()
	fail := func(_ int, r request, c net.Conn) bool { return respond(c, r.id(), "500 Sick", "", "sick") }
	unreachable := newUpstream(t, "b", respondOK)
	_ = unreachable.listener.Close()
	for _, path := range []string{"/safe/1", "/resume/1"} {
		for _, upstreams := range [][]*upstream{{newUpstream(t, "a", fail)}, {newUpstream(t, "a", fail), unreachable}} {
			gw := newTestGateway(t, upstreams...)
			head, body, err := roundTrip(t, gw, path, "")
			if err != nil || head.Status != 500 || body != "sick" || head.Get("X-Signature") != "sig" {
				t.Errorf("%s: expected the upstream's error, got %+v %q %v", path, head, body, err)
			}
		}
	}
}

// TestStopIgnoresPipelinedRequest guards against a pipelined request that starts
// during a planned stop and is interrupted by its end: a connection whose response
// began before the stop takes no further request.
func TestStopIgnoresPipelinedRequest(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u", func(n int, req request, conn net.Conn) bool {
		if n > 1 {
			return respondOK(n, req, conn)
		}
		writeStream(conn, req.id(), 1, 2)
		time.Sleep(300 * time.Millisecond)
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	gw := newTestGateway(t, u)
	conn := dial(t, gw)
	_, first := newRequest("/stream/1", "", "body")
	_, second := newRequest("/once/2", "", "body")
	_, _ = io.WriteString(conn, first+second)
	waitFor(t, "the request at the upstream", func() bool { return u.requestCount.Load() == 1 })
	go gw.gateway.Stop(t.Context(), 0)
	br := bufio.NewReader(conn)
	if _, body, err := readResponse(br); err != nil || body != formatEvents(2) {
		t.Fatalf("expected the complete stream, got %q %v", body, err)
	}
	if _, _, err := readResponse(br); err == nil || u.requestCount.Load() != 1 {
		t.Fatalf("expected the second request not to be taken, got %v and %d requests", err, u.requestCount.Load())
	}
}

// TestStopServesShortRequests checks that, while a long response delays a planned
// stop, requests that are certain to end before it are served and others get a 503
// with a Retry-After.
func TestStopServesShortRequests(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u", func(n int, req request, conn net.Conn) bool {
		if n > 1 {
			return respondOK(n, req, conn)
		}
		writeStream(conn, req.id(), 1, 2)
		time.Sleep(500 * time.Millisecond)
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	gw := newTestGateway(t, u)
	done := make(chan string, 1)
	go func() { _, body, _ := roundTrip(t, gw, "/stream/1", ""); done <- body }()
	waitFor(t, "the request at the upstream", func() bool { return u.requestCount.Load() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
	defer cancel()
	go gw.gateway.Stop(ctx, 0)
	time.Sleep(100 * time.Millisecond)
	sendWithDeadline := func(deadline string) (*kcrhttp.Head, error) {
		conn := dial(t, gw)
		_, rawRequest := newRequest("/once/1", "", "body")
		_, _ = io.WriteString(conn, strings.Replace(rawRequest, "X-Deadline: 1500", "X-Deadline: "+deadline, 1))
		head, _, err := readResponse(bufio.NewReader(conn))
		return head, err
	}
	if head, err := sendWithDeadline("300"); err != nil || head.Status != 200 || head.KeepAlive() {
		t.Errorf("a short request: expected it to be served, and the connection to end, got %+v %v", head, err)
	}
	if head, err := sendWithDeadline("1500"); err != nil || head.Status != 503 || !head.Has("Retry-After") {
		t.Errorf("a long request: expected 503 with a Retry-After, got %+v %v", head, err)
	}
	if body := <-done; body != formatEvents(2) {
		t.Errorf("expected the complete stream, got %q", body)
	}
}

// TestStopAwaitsFirstRequest checks that a planned stop answers requests that arrive a
// moment after their connection was accepted, while it waits for a stream and after it.
func TestStopAwaitsFirstRequest(t *testing.T) {
	t.Parallel()
	for _, streaming := range []bool{true, false} {
		u := newUpstream(t, "u", func(n int, req request, conn net.Conn) bool {
			if !streaming || n > 1 {
				return respondOK(n, req, conn)
			}
			writeStream(conn, req.id(), 1, 2)
			time.Sleep(400 * time.Millisecond)
			_, err := io.WriteString(conn, kcrhttp.LastChunk)
			return err == nil
		})
		gw := newTestGateway(t, u)
		if streaming {
			go func() { _, _, _ = roundTrip(t, gw, "/stream/1", "") }()
			waitFor(t, "the request at the upstream", func() bool { return u.requestCount.Load() == 1 })
		}
		idle := dial(t, gw)
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		go gw.gateway.Stop(ctx, 0)
		time.Sleep(60 * time.Millisecond)
		if streaming {
			idle = dial(t, gw)
			time.Sleep(60 * time.Millisecond)
		}
		_, rawRequest := newRequest("/once/1", "", "body")
		_, _ = io.WriteString(idle, strings.Replace(rawRequest, "X-Deadline: 1500", "X-Deadline: 300", 1))
		if head, body, err := readResponse(bufio.NewReader(idle)); err != nil || head.Status != 200 || body != "fine" {
			t.Errorf("streaming %t: expected a response, got %+v %q %v", streaming, head, body, err)
		}
	}
}

// TestUnreachableEngineOfNonResumableStream checks that a stream that must not be
// resumed elsewhere ends before its caller gives up, if its engine accepts no
// connection any more.
func TestUnreachableEngineOfNonResumableStream(t *testing.T) {
	t.Parallel()
	for _, events := range []int{0, 2} {
		var unreachable *upstream
		unreachable = newUpstream(t, "a", func(_ int, req request, conn net.Conn) bool {
			if events > 0 {
				writeStream(conn, req.id(), 1, events)
			}
			_ = unreachable.listener.Close()
			time.Sleep(2 * time.Second)
			return false
		})
		gw := newTestGateway(t, unreachable)
		start := time.Now()
		head, body, err := roundTrip(t, gw, "/stream/1", "")
		if elapsed := time.Since(start); elapsed > idleTimeout {
			t.Errorf("after %d events: expected an end before %v, took %v", events, idleTimeout, elapsed)
		}
		switch {
		case events == 0 && (err != nil || head.Status != 502):
			t.Errorf("without an event: expected 502, got %+v %v", head, err)
		case events > 0 && err == nil:
			t.Errorf("after %d events: expected a stream without an end, got %q", events, body)
		}
	}
	slow := newUpstream(t, "a", func(_ int, req request, conn net.Conn) bool {
		writeStream(conn, req.id(), 1, 2)
		time.Sleep(idleTimeout + 200*time.Millisecond) // but it is reachable
		_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(formatEvent(3))))
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	gw := newTestGateway(t, slow)
	if _, body, err := roundTrip(t, gw, "/stream/1", ""); err != nil || body != formatEvents(3) {
		t.Errorf("expected the slow engine's stream, got %q %v", body, err)
	}
}
