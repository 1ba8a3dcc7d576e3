package kcrgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/link/kcrhttp"
)

// These tests bring about failures that operators of similar systems have met: late second
// answers, slow and stalled streams, and connections that break at any point.

// lateCopy is a second answer that arrives late on a connection that is in use again.
// Text may contain %s for the ID of the request before.
type lateCopy struct {
	name, text string
}

// lateCopies returns copies of each kind.
func lateCopies() []lateCopy {
	return []lateCopy{
		{"with its ID", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Length: 5\r\n\r\nstray"},
		{"chunked, with its ID", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstray\r\n0\r\n\r\n"},
		{"behind an informational answer", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Length: 5\r\n\r\nstray"},
		{"without an ID", "HTTP/1.1 200 OK\r\nX-Signature: sig\r\nContent-Length: 5\r\n\r\nstray"},
		{"a failure without an ID", "HTTP/1.1 500 Oops\r\nX-Signature: sig\r\nContent-Length: 5\r\n\r\nstray"},
		{"a refusal with its ID", "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 5\r\n\r\nstray"},
		{"a refusal without an ID", "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 5\r\n\r\nstray"},
		{"a 421 without an ID", "HTTP/1.1 421 Misdirected\r\nContent-Length: 5\r\n\r\nstray"},
		{"the body only", "stray"},
	}
}

// TestLateCopyReachesNobody checks that no caller gets a byte of a second answer, that no
// request runs again because of one, and that none is said not to have run because of it.
// The copy comes before the request on the connection that follows, or just before its
// answer.
func TestLateCopyReachesNobody(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1"} {
		for _, copied := range lateCopies() {
			for _, beforeAnswer := range []bool{true, false} {
				t.Run(fmt.Sprint(path, " ", copied.name, " ", beforeAnswer), func(t *testing.T) {
					t.Parallel()
					checkLateCopy(t, path, copied, beforeAnswer)
				})
			}
		}
	}
}

// checkLateCopy makes requests one after another; each answer is followed by a copy.
func checkLateCopy(t *testing.T, path string, copied lateCopy, beforeAnswer bool) {
	var previousIDs sync.Map // by connection
	u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		writeCopy := func(id string) { _, _ = io.WriteString(conn, strings.ReplaceAll(copied.text, "%s", id)) }
		if id, ok := previousIDs.Load(conn); ok && beforeAnswer {
			writeCopy(id.(string))
		}
		previousIDs.Store(conn, req.id())
		ok := respondFor(path, conn, req)
		if !beforeAnswer {
			time.AfterFunc(3*time.Millisecond, func() { writeCopy(req.id()) })
		}
		return ok
	})
	gw := newTestGateway(t, u)
	for i := range 6 {
		conn := dial(t, gw)
		_, rawRequest := newRequest(path, "", "body")
		_, _ = io.WriteString(conn, rawRequest)
		head, body, err := readResponse(bufio.NewReader(conn))
		switch {
		case strings.Contains(body, "stray"):
			t.Fatalf("request %d: a byte of another answer reached the caller: %+v %q", i, head, body)
		case err == nil && head.Status == 503:
			t.Errorf("request %d: said not to have run, though it has", i)
		case err == nil && head.Status == 200 && body != "fine" && body != formatEvents(2):
			t.Errorf("request %d: expected its own answer, got %q", i, body)
		}
	}
	if path != "/safe/1" {
		checkRunOnce(t, u)
	}
}

// checkRunOnce checks that an upstream got each request once.
func checkRunOnce(t *testing.T, u *upstream) {
	t.Helper()
	runs := map[string]int{}
	for _, req := range u.receivedRequests() {
		if runs[req.id()]++; runs[req.id()] > 1 {
			t.Errorf("request %s: ran %d times", req.id(), runs[req.id()])
		}
	}
}

// respondFor answers a request of a path in whole.
func respondFor(path string, conn net.Conn, req request) bool {
	if path == "/once/1" || path == "/safe/1" {
		return respond(conn, req.id(), "200 OK", "", "fine")
	}
	writeStream(conn, req.id(), 1, 2)
	_, err := io.WriteString(conn, kcrhttp.LastChunk)
	return err == nil
}

// TestSlowStreamIsNotCut checks that streams of a slow engine are neither cut nor moved,
// as long as events come: the gap target of the routes is 200 ms.
func TestSlowStreamIsNotCut(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/1", "/resume/1"} {
		for _, pause := range []time.Duration{150, 300, 400} {
			t.Run(fmt.Sprint(path, " ", int(pause)), func(t *testing.T) {
				t.Parallel()
				u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
					writeStream(conn, req.id(), 1, 1)
					for i := 2; i <= 4; i++ {
						time.Sleep(pause * time.Millisecond)
						_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(formatEvent(i))))
					}
					_, err := io.WriteString(conn, kcrhttp.LastChunk)
					return err == nil
				})
				gw := newTestGateway(t, u)
				if _, body, err := roundTrip(t, gw, path, ""); err != nil || body != formatEvents(4) {
					t.Errorf("expected the whole stream, got %q %v", body, err)
				}
				if n := u.requestCount.Load(); n != 1 {
					t.Errorf("expected one run, got %d", n)
				}
			})
		}
	}
}

// TestRemovedUpstreamKeepsItsRuns checks that a run goes on, and is not started elsewhere,
// when its engine is no longer listed: an engine that is slow to report still works.
func TestRemovedUpstreamKeepsItsRuns(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/1", "/resume/1"} {
		listed := make(chan struct{})
		u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
			writeStream(conn, req.id(), 1, 2)
			<-listed
			time.Sleep(50 * time.Millisecond)
			_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(formatEvent(3))))
			_, err := io.WriteString(conn, kcrhttp.LastChunk)
			return err == nil
		})
		other := newUpstream(t, "other", respondOK)
		gw := newTestGateway(t, u)
		done := make(chan string, 1)
		go func() { _, body, _ := roundTrip(t, gw, path, ""); done <- body }()
		waitFor(t, "the request at the upstream", func() bool { return u.requestCount.Load() == 1 })
		gw.table.Update(0, []kcrplacement.Upstream{{ID: "other", Service: "s", Addr: other.listener.Addr().String(), Zone: "z", Version: "v1", Slots: 8}})
		close(listed)
		if body := <-done; body != formatEvents(3) || other.requestCount.Load() != 0 {
			t.Errorf("%s: expected the whole stream of one run, got %q and %d others", path, body, other.requestCount.Load())
		}
	}
}

// breakPoint is a point at which the connection to an upstream breaks.
type breakPoint struct {
	name     string
	handle   func(req request, conn net.Conn) // before the connection is closed
	unread   bool                             // the connection is closed before the request is read
	streamed bool                             // the answer was a stream and its first event was sent
}

// breakPoints returns the points, in the order of an exchange.
func breakPoints() []breakPoint {
	write := func(text string) func(request, net.Conn) {
		return func(req request, conn net.Conn) {
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "%s", req.id()))
		}
	}
	const head = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	return []breakPoint{
		{name: "accepted and closed", unread: true},
		{name: "request read", handle: write("")},
		{name: "within the status line", handle: write("HTTP/1.1 2")},
		{name: "within the head", handle: write("HTTP/1.1 200 OK\r\nX-Id: %s\r\n")},
		{name: "after an informational answer", handle: write("HTTP/1.1 100 Continue\r\n\r\n")},
		{name: "after the head", handle: write(head)},
		{name: "within a chunk size", handle: write(head + "1")},
		{name: "within an event", handle: write(head + "4\r\nid: \r\n")},
		{name: "after an event", handle: write(head + "10\r\nid: 1\ndata: e1\n\n\r\n"), streamed: true},
		{name: "before the last chunk", handle: write(head + "10\r\nid: 1\ndata: e1\n\n\r\n0\r\n"), streamed: true},
	}
}

// TestBreakPoints checks, for each point at which a connection can break and each kind of
// request, that a request that may run once only is neither run again nor said not to have
// run, and that the caller gets no answer that looks whole.
func TestBreakPoints(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1", "/resume/1"} {
		for _, point := range breakPoints() {
			t.Run(path+" "+point.name, func(t *testing.T) {
				t.Parallel()
				checkBreakPoint(t, path, point)
			})
		}
	}
}

func checkBreakPoint(t *testing.T, path string, point breakPoint) {
	breaking := newUpstream(t, "a", func(_ int, req request, conn net.Conn) bool {
		point.handle(req, conn)
		return false
	})
	if point.unread {
		breaking = newClosingUpstream(t, "a")
	}
	serving := newUpstream(t, "b", func(_ int, req request, conn net.Conn) bool { return respondFor(path, conn, req) })
	gw := newTestGateway(t, breaking, serving)
	gw.placeNearAndFar(breaking, serving)
	head, body, err := roundTrip(t, gw, path, "")
	mayRunAgain := path == "/safe/1" || path == "/resume/1"
	if runs := serving.requestCount.Load(); !mayRunAgain && runs > 0 {
		t.Errorf("expected no run elsewhere, got %d", runs)
	}
	if mayRunAgain {
		if err != nil || head.Status != 200 || body != "fine" && body != formatEvents(2) {
			t.Errorf("expected the answer of the other upstream, got %+v %q %v", head, body, err)
		}
		return
	}
	switch {
	case point.streamed && path == "/stream/1":
		if err == nil {
			t.Errorf("expected a stream that looks broken off, got %q", body)
		}
	case err != nil || head.Status != 502:
		t.Errorf("expected 502, got %+v %q %v", head, body, err)
	}
}

// newClosingUpstream returns an upstream that closes each connection without reading.
func newClosingUpstream(t *testing.T, id string) *upstream {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			_ = conn.Close()
		}
	}()
	return &upstream{id: id, listener: listener}
}

// TestCallerLeavesBehindPipelinedBytes checks that a caller that leaves is noticed although
// it has sent a part of a further request.
func TestCallerLeavesBehindPipelinedBytes(t *testing.T) {
	t.Parallel()
	left := make(chan struct{})
	u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		writeStream(conn, req.id(), 1, 1)
		_, _ = io.Copy(io.Discard, conn) // until the gateway closes the connection
		close(left)
		return false
	})
	gw := newTestGateway(t, u)
	conn := dial(t, gw)
	_, rawRequest := newRequest("/stream/1", "", "body")
	_, _ = io.WriteString(conn, rawRequest+"GET /ne")
	waitFor(t, "the request at the upstream", func() bool { return u.requestCount.Load() == 1 })
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
	select {
	case <-left:
	case <-time.After(500 * time.Millisecond):
		t.Error("expected the upstream's connection to be closed within half a second")
	}
}

// TestRefusalsAreNoRuns checks that upstreams that state that they did not run a request
// do not use up its runs: the route allows two. Some gateways ask first an upstream that
// refuses, then one that closes the connection.
func TestRefusalsAreNoRuns(t *testing.T) {
	t.Parallel()
	refuse := func(_ int, req request, conn net.Conn) bool {
		return respond(conn, req.id(), "503 Busy", "X-Not-Run: 1\r\n", "")
	}
	closeConn := func(int, request, net.Conn) bool { return false }
	a, b, c := newUpstream(t, "a", refuse), newUpstream(t, "b", closeConn), newUpstream(t, "c", respondOK)
	for _, ups := range [][]*upstream{{a, b, c}, {a, c, b}, {b, a, c}, {b, c, a}, {c, a, b}, {c, b, a}} {
		gw := newTestGateway(t, ups...)
		if head, body, err := roundTrip(t, gw, "/safe/1", ""); err != nil || head.Status != 200 || body != "fine" {
			t.Fatalf("expected the answer of the sound upstream, got %+v %q %v", head, body, err)
		}
	}
}

// TestStreamThatEndsWithItsConnection checks streams with neither a length nor chunks: they
// are complete if their upstream closes the connection after an event, and broken off
// within an event or before the first one.
func TestStreamThatEndsWithItsConnection(t *testing.T) {
	t.Parallel()
	const head = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, c := range []struct {
		name, events string
		broken       bool
	}{
		{name: "after an event", events: formatEvents(2)},
		{name: "within an event", events: formatEvents(1) + "id: 2\ndata:", broken: true},
		{name: "before the first event", broken: true},
	} {
		for _, path := range []string{"/stream/1", "/resume/1"} {
			ending := newUpstream(t, "a", func(_ int, req request, conn net.Conn) bool {
				_, _ = io.WriteString(conn, strings.ReplaceAll(head, "%s", req.id())+c.events)
				return false
			})
			serving := newUpstream(t, "b", func(_ int, req request, conn net.Conn) bool {
				writeStream(conn, req.id(), 1, 2)
				_, err := io.WriteString(conn, kcrhttp.LastChunk)
				return err == nil
			})
			gw := newTestGateway(t, ending, serving)
			gw.placeNearAndFar(ending, serving)
			head, body, err := roundTrip(t, gw, path, "")
			looksComplete := err == nil && head.Status == 200
			switch {
			case looksComplete && body != formatEvents(2):
				t.Errorf("%s %s: expected no incomplete stream that looks complete, got %q", path, c.name, body)
			case !looksComplete && (!c.broken || path == "/resume/1"):
				t.Errorf("%s %s: expected the complete stream, got %+v %q %v", path, c.name, head, body, err)
			}
		}
	}
}
