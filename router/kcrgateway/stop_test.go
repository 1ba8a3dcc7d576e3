package kcrgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/link/kcrhttp"
	"kingcuprun.example/router/kcrgateway"
)

// These tests send requests at the moment at which a planned stop finds nothing in
// progress.

const stopCallers = 12

// Guards against a request on an idle connection that is taken as a stop ends, and cut off.
func TestStopAnswersRequestsOnIdleConnections(t *testing.T) {
	t.Parallel()
	for range 40 {
		checkStop(t, 100*time.Microsecond, func(gw *testGateway) net.Conn {
			conn := dial(t, gw)
			_, warmup := newRequest("/once/0", "", "body")
			_, _ = io.WriteString(conn, warmup)
			if _, _, err := readResponse(bufio.NewReader(conn)); err != nil {
				t.Errorf("expected a response before the stop, got %v", err)
			}
			return conn
		}, func(conn net.Conn, _ *testGateway) net.Conn { return conn })
	}
}

// Guards against a request on a connection that is accepted as a stop ends, and cut off.
func TestStopAnswersRequestsOnNewConnections(t *testing.T) {
	t.Parallel()
	for range 300 {
		checkStop(t, 5*time.Microsecond, func(*testGateway) net.Conn { return nil }, func(_ net.Conn, gw *testGateway) net.Conn {
			conn, err := net.Dial("tcp", gw.gateway.Addr())
			if err != nil {
				return nil // the listener is closed
			}
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			return conn
		})
	}
}

// spin waits for a time that is too short for a timer.
func spin(d time.Duration) {
	for start := time.Now(); time.Since(start) < d; {
		runtime.Gosched()
	}
}

// checkStop stops a gateway while callers send one request each, at an interval. Each
// request that reaches the upstream must be answered. prepare runs before the stop, connect
// when the caller sends its request.
func checkStop(t *testing.T, interval time.Duration, prepare func(*testGateway) net.Conn, connect func(net.Conn, *testGateway) net.Conn) {
	t.Helper()
	u := newUpstream(t, "u", func(n int, req request, conn net.Conn) bool {
		if req.head.Target != "/once/0" {
			time.Sleep(10 * time.Millisecond)
		}
		return respondOK(n, req, conn)
	})
	// No other test listens on this address, so a caller that comes late reaches nobody.
	gw := newTestGatewayAt(t, "127.0.0.2:0", io.Discard, kcrgateway.RetryLimits{}, u)
	var conns [stopCallers]net.Conn
	for i := range conns {
		conns[i] = prepare(gw)
	}
	var mu sync.Mutex
	answered := map[string]bool{} // requests that were sent, and whether they were answered
	record := func(id string, hasAnswer bool) {
		mu.Lock()
		defer mu.Unlock()
		answered[id] = hasAnswer
	}
	var callers sync.WaitGroup
	for i, prepared := range conns {
		callers.Go(func() {
			spin(time.Duration(i) * interval)
			conn := connect(prepared, gw)
			if conn == nil {
				return
			}
			defer func() { _ = conn.Close() }()
			id, rawRequest := newRequest("/once/1", "", "body")
			record(id, false)
			_, _ = io.WriteString(conn, strings.Replace(rawRequest, "X-Deadline: 1500", "X-Deadline: 300", 1))
			if _, _, err := readResponse(bufio.NewReader(conn)); err == nil {
				record(id, true)
			}
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	gw.gateway.Stop(ctx, 0)
	time.Sleep(2 * time.Millisecond) // a router returns its escrow
	gw.gateway.Close()
	callers.Wait()
	for _, r := range u.receivedRequests() {
		if hasAnswer, sent := answered[r.id()]; sent && !hasAnswer {
			t.Errorf("%s: the upstream received the request, and the caller got no response", r.id())
		}
	}
}

// Guards against requests without any answer that still run when a stop has to end.
func TestStopAnswersRequestsThatOutlastIt(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1", "/resume/1"} {
		u := newUpstream(t, "u", func(int, request, net.Conn) bool {
			time.Sleep(time.Second)
			return false
		})
		gw := newTestGateway(t, u)
		conn := dial(t, gw)
		_, rawRequest := newRequest(path, "", "body")
		_, _ = io.WriteString(conn, rawRequest)
		waitFor(t, "the request at the upstream", func() bool { return u.requestCount.Load() == 1 })
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		gw.gateway.Stop(ctx, 0)
		gw.gateway.Close()
		if head, _, err := readResponse(bufio.NewReader(conn)); err != nil || head.Status != 502 {
			t.Errorf("%s: expected 502, since the request may have run, got %+v %v", path, head, err)
		}
		if n := u.requestCount.Load(); n != 1 {
			t.Errorf("%s: expected no further run, got %d", path, n)
		}
	}
}

// Guards against streams that begin late in a stop and are cut off because their engine is
// slower than estimated.
func TestStopTakesNoStreamThatMayOutlastIt(t *testing.T) {
	t.Parallel()
	held := make(chan struct{}) // holds back a request that keeps the stop going until others are accepted
	u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		if strings.Contains(req.head.Target, "held") {
			<-held
		}
		writeStream(conn, req.id(), 1, 1)
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	gw := newTestGateway(t, u)
	const late = 3100 * time.Millisecond
	ctx, cancel := context.WithTimeout(t.Context(), late+time.Second)
	defer cancel()
	_, heldRequest := newRequest("/stream/held", "", "body")
	_, _ = io.WriteString(dial(t, gw), heldRequest)
	waitFor(t, "a request is in progress", func() bool { return gw.gateway.ActiveRequests() == 1 })
	conn := dial(t, gw)
	go gw.gateway.Stop(ctx, 0)
	status := func(conn net.Conn) int {
		_, rawRequest := newRequest("/stream/1", "", "body")
		_, _ = io.WriteString(conn, strings.Replace(rawRequest, "100,70", "100,7", 1))
		head, _, err := readResponse(bufio.NewReader(conn))
		if err != nil {
			t.Fatalf("expected a response, got %v", err)
		}
		return head.Status
	}
	began := time.Now()
	next := dial(t, gw)
	if got := status(conn); got != 200 {
		t.Errorf("at the begin of the stop: expected 200, got %d", got)
	}
	time.AfterFunc(400*time.Millisecond, func() { close(held) })
	for time.Since(began) < late { // a connection that is new keeps the stop going
		time.Sleep(200 * time.Millisecond)
		next = dial(t, gw)
	}
	if got := status(next); got != 503 {
		t.Errorf("after %v: expected 503, since the stream may last longer than the stop, got %d", late, got)
	}
}

// lateCaller sends requests one after the other until a stopped gateway refuses its connections.
type lateCaller struct {
	gw       *testGateway
	path     string
	deadline int  // of each request, in milliseconds
	kept     bool // it uses a connection as long as it is open
}

// unanswered is a request without a complete answer.
type unanswered struct {
	caller  lateCaller
	took    time.Duration // until its connection ended
	hasHead bool          // the head of an answer came
}

// ranOut reports whether the request is a stream whose rest had not come at its deadline, so that
// the gateway broke it off.
func (r unanswered) ranOut(gatewayLog string) bool {
	const clockResolution = time.Millisecond
	return r.hasHead && r.took+clockResolution >= time.Duration(r.caller.deadline)*time.Millisecond &&
		strings.Contains(gatewayLog, `outcome="broken off" why="nothing came in time"`)
}

// run returns the requests without a complete answer by ID, and how many were answered.
func (c lateCaller) run(until time.Time) (failed map[string]unanswered, answered int) {
	failed = map[string]unanswered{}
	var conn net.Conn
	var reader *bufio.Reader
	last := io.NopCloser(nil) // the connection that was opened last
	defer func() { _ = last.Close() }()
	for time.Now().Before(until) {
		if conn == nil || !c.kept {
			_ = last.Close()
			dialed, err := net.Dial("tcp", c.gw.gateway.Addr())
			if err != nil {
				return failed, answered
			}
			conn, last = dialed, dialed
			_ = conn.SetDeadline(until.Add(5 * time.Second))
			reader = bufio.NewReader(conn)
		}
		id, rawRequest := newRequest(c.path, "", "body")
		sent := time.Now()
		if _, err := io.WriteString(conn, strings.Replace(rawRequest, "X-Deadline: 1500", fmt.Sprint("X-Deadline: ", c.deadline), 1)); err != nil {
			conn = nil
			continue
		}
		head, _, err := readResponse(reader)
		if err != nil {
			failed[id] = unanswered{caller: c, took: time.Since(sent), hasHead: head != nil}
			conn = nil
			continue
		}
		answered++
		if !head.KeepAlive() {
			conn = nil
		}
	}
	return failed, answered
}

// Guards against requests that are taken late in a stop, passed on, and cut off at its end without
// an answer.
func TestStopAnswersRequestsThatComeLate(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ grace, drainDelay time.Duration }{{3500 * time.Millisecond, 500 * time.Millisecond}, {1100 * time.Millisecond, 1300 * time.Millisecond}} {
		t.Run(c.grace.String(), func(t *testing.T) {
			t.Parallel()
			checkLateRequests(t, c.grace, c.drainDelay)
		})
	}
}

// checkLateRequests stops a gateway while callers go on sending requests. Each request that reaches
// the upstream must be answered, except for streams that run out of time.
func checkLateRequests(t *testing.T, grace, drainDelay time.Duration) {
	t.Helper()
	u := newUpstream(t, "u", func(n int, req request, conn net.Conn) bool {
		switch {
		case n%5 == 0: // silent until the gateway gives up
			_, _ = conn.Read(make([]byte, 1))
			return false
		case strings.HasPrefix(req.head.Target, "/stream/"), strings.HasPrefix(req.head.Target, "/resume/"):
			writeStream(conn, req.id(), 1, 1)
			time.Sleep(time.Duration(n%7) * 20 * time.Millisecond)
			if left, err := strconv.Atoi(req.head.Get("X-Deadline")); err == nil && left <= 300 && n%11 == 0 { // runs out of time
				time.Sleep(time.Duration(left) * time.Millisecond)
			}
			_, err := io.WriteString(conn, chunk(formatEvent(2))+kcrhttp.LastChunk)
			return err == nil
		}
		time.Sleep(time.Duration(n%9) * 30 * time.Millisecond)
		return respondOK(n, req, conn)
	})
	// No other test listens on this address, so a caller that comes late reaches nobody.
	var log warnings
	gw := newTestGatewayAt(t, "127.0.0.2:0", &log, kcrgateway.RetryLimits{Window: 10000, RetryRatio: 1, ExtraRetries: 1e6, FirstStart: true}, u)
	began := time.Now()
	var mu sync.Mutex
	var callers sync.WaitGroup
	failed, answered := map[string]unanswered{}, 0
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1", "/resume/1"} {
		for _, deadline := range []int{300, 900, 1900} {
			for _, kept := range []bool{false, true} {
				c := lateCaller{gw: gw, path: path, deadline: deadline, kept: kept}
				callers.Go(func() {
					requests, n := c.run(began.Add(grace + time.Second))
					mu.Lock()
					defer mu.Unlock()
					answered += n
					maps.Copy(failed, requests)
				})
			}
		}
	}
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), grace)
	defer cancel()
	gw.gateway.Stop(ctx, drainDelay)
	gw.gateway.Close()
	callers.Wait()
	ranOut := 0
	for _, r := range u.receivedRequests() {
		request, ok := failed[r.id()]
		if !ok {
			continue
		}
		lines := log.of(r.id())
		if request.ranOut(lines) {
			ranOut++
			continue
		}
		t.Errorf("%s %s, deadline %d ms, kept %t: the upstream received the request, and the caller got no complete response within %s:\n%s",
			r.id(), request.caller.path, request.caller.deadline, request.caller.kept, request.took, lines)
	}
	t.Logf("%d requests answered, %d streams out of time", answered, ranOut)
}

// TestStopEndsWaitsForEscrow checks that requests which wait for escrow as a planned stop begins are
// told so at once: another router serves them sooner.
func TestStopEndsWaitsForEscrow(t *testing.T) {
	t.Parallel()
	gw := newTestGateway(t, newUpstream(t, "u", respondOK))
	gw.budget.outcome, gw.budget.waiting = kcrbudget.Pending, make(chan struct{})
	const callers = 5
	answers := make(chan string, callers)
	for range callers {
		go func() {
			head, body, err := roundTrip(t, gw, "/resume/1", "")
			if err == nil && head.Status == 503 && head.Has("Retry-After") {
				answers <- body
				return
			}
			answers <- fmt.Sprint("no refusal: ", err)
		}()
	}
	for range callers {
		<-gw.budget.waiting
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	gw.gateway.Stop(ctx, 0)
	if took := time.Since(began); took > time.Second {
		t.Errorf("expected the stop to end with the waits, got %s", took)
	}
	for range callers {
		if got := <-answers; got != "the router stops" {
			t.Errorf("expected a refusal since the router stops, got %q", got)
		}
	}
}
