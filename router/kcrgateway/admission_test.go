package kcrgateway_test

import (
	"bufio"
	"io"
	"net"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
)

// newPausingUpstream starts an upstream that wants nothing for 0.4 s after its first request, and
// serves any other.
func newPausingUpstream(t *testing.T) *upstream {
	t.Helper()
	return newUpstream(t, "u", func(n int, req request, conn net.Conn) bool {
		if n == 1 {
			return respond(conn, req.id(), "503 Busy", "X-Not-Run: 1\r\nRetry-After: 0.4\r\n", "")
		}
		return respond(conn, req.id(), "200 OK", "", "fine")
	})
}

// Guards against refusals while an upstream will soon have a place, and against an order in which
// requests of a lower rank go before an urgent one that came after them.
func TestRequestsWaitForPlaceByRank(t *testing.T) {
	t.Parallel()
	var rate atomic.Value
	rate.Store("5")
	u := newLimitedUpstream(t, "u", &rate)
	gw := newTestGateway(t, u)
	var places atomic.Int64
	gw.takePermit.Store(func(kcrid.Incarnation, kcrplacement.RateLimit) (bool, kcrclock.Duration) {
		return places.Add(-1) >= 0, 10
	})
	sendAll(t, gw, 1)
	const patient = 5
	statuses := make(chan int, patient+1)
	send := func(path string) {
		conn := dial(t, gw)
		_, rawRequest := newRequest(path, "", "body")
		_, _ = io.WriteString(conn, strings.Replace(rawRequest, "X-Deadline: 1500", "X-Deadline: 6000", 1))
		head, _, err := readResponse(bufio.NewReader(conn))
		if err != nil {
			t.Errorf("%s: %v", path, err)
			statuses <- 0
			return
		}
		statuses <- head.Status
	}
	for range patient {
		go send("/patient/1")
	}
	waitFor(t, "the patient requests wait", func() bool { return gw.waits(t) == patient })
	go send("/urgent/1")
	waitFor(t, "the urgent request waits", func() bool { return gw.waits(t) == patient+1 })
	time.Sleep(50 * time.Millisecond) // it has entered the queue
	places.Store(1)
	waitFor(t, "a request has got the place", func() bool { return u.requestCount.Load() == 2 })
	places.Store(patient)
	for range patient + 1 {
		if status := <-statuses; status != 200 {
			t.Errorf("expected a request that waits to be served, got status %d", status)
		}
	}
	received := u.receivedRequests()
	if len(received) != patient+2 || !strings.HasPrefix(received[1].head.Target, "/urgent/") {
		t.Errorf("expected the urgent request first of %d, got %d, first %q", patient+1, len(received)-1, received[1].head.Target)
	}
}

// waits returns how many requests have waited for a place.
func (gw *testGateway) waits(t *testing.T) (count float64) {
	t.Helper()
	families, err := gw.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, family := range families {
		if family.GetName() == "kcr_gateway_waits_total" {
			count = family.GetMetric()[0].GetCounter().GetValue()
		}
	}
	return count
}

// Guards against requests whose caller has left while they waited.
func TestRequestThatWaitsIsNotSentAfterItsCallerLeft(t *testing.T) {
	t.Parallel()
	u := newPausingUpstream(t)
	gw := newTestGateway(t, u)
	sendAll(t, gw, 1)
	conn := dial(t, gw)
	_, rawRequest := newRequest("/patient/1", "", "body")
	if _, err := io.WriteString(conn, rawRequest); err != nil {
		t.Fatal(err)
	}
	time.Sleep(100 * time.Millisecond)
	_ = conn.Close()
	time.Sleep(500 * time.Millisecond)
	if n := len(u.receivedRequests()); n != 1 {
		t.Errorf("expected no request of a caller that left, got %d", n-1)
	}
}

// Guards against requests that are sent although their content was banned while they waited.
func TestRequestThatWaitsIsNotSentAfterItsContentIsBanned(t *testing.T) {
	t.Parallel()
	u := newPausingUpstream(t)
	gw := newTestGateway(t, u)
	sendAll(t, gw, 1)
	status := make(chan int, 1)
	go func() { status <- sendPartsWithin(t, gw, 5000, "/patient/1", "body", "5a:30,bad:30,c:40") }()
	time.Sleep(100 * time.Millisecond)
	for i := range maxCrashes {
		crash := kcrcrash.Crash{Content: kcrid.HashContent("/patient/1 team", []byte("body")), Upstream: kcrid.IncarnationOf("gone", strconv.Itoa(i))}
		gw.crashes.RecordReport(crash)
	}
	if got, n := <-status, len(u.receivedRequests()); got != 503 || n != 1 {
		t.Errorf("expected the banned request refused, got status %d and %d requests sent", got, n-1)
	}
}
