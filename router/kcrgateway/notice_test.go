package kcrgateway_test

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
)

// These tests send requests to upstreams that say in their answers that they leave, or that they
// want nothing for a time.

// newNoticeUpstream starts an upstream that answers with a status and header lines.
func newNoticeUpstream(t *testing.T, id, status string, fields *atomic.Value) *upstream {
	t.Helper()
	return newUpstream(t, id, func(_ int, req request, conn net.Conn) bool {
		return respond(conn, req.id(), status, fields.Load().(string), "fine")
	})
}

// fieldsOf returns a value that holds header lines.
func fieldsOf(lines string) *atomic.Value {
	v := &atomic.Value{}
	v.Store(lines)
	return v
}

// sendAll sends requests and returns how many were served, and the header of the last response.
func sendAll(t *testing.T, gw *testGateway, n int) (served int, retryAfter string) {
	t.Helper()
	for range n {
		head, _, err := roundTrip(t, gw, "/once/1", "")
		if err != nil {
			t.Fatal(err)
		}
		if head.Status == 200 {
			served++
		}
		retryAfter = head.Get("Retry-After")
	}
	return served, retryAfter
}

// TestUpstreamThatSaysItLeavesGetsNoRequests guards against requests to an upstream whose answers
// say that it leaves, while its entry says that it is ready.
func TestUpstreamThatSaysItLeavesGetsNoRequests(t *testing.T) {
	t.Parallel()
	near, far := newNoticeUpstream(t, "near", "200 OK", fieldsOf("X-Leaving: 1\r\n")), newNoticeUpstream(t, "far", "200 OK", fieldsOf(""))
	gw := newTestGateway(t, near, far)
	members := func(started int64, upstreams ...*upstream) (list []kcrplacement.Upstream) {
		for _, u := range upstreams {
			zone := kcrid.Zone("z")
			if u == far {
				zone = "y"
			}
			list = append(list, kcrplacement.Upstream{ID: kcrid.VM(u.id), Service: "s", Addr: u.listener.Addr().String(), Zone: zone, Version: "v1", Slots: 8, StartedAt: started})
		}
		return list
	}
	gw.table.Update(0, members(1, near, far))
	if served, _ := sendAll(t, gw, 11); served != 11 || near.requestCount.Load() != 1 {
		t.Fatalf("expected 11 requests served and one at the upstream that leaves, got %d and %d", served, near.requestCount.Load())
	}
	gw.table.Update(0, members(1, far))
	gw.table.Update(0, members(1, near, far)) // its entry had lapsed
	if sendAll(t, gw, 5); near.requestCount.Load() != 1 {
		t.Errorf("the same start: expected no further request, got %d", near.requestCount.Load()-1)
	}
	gw.table.Update(0, members(2, near))
	if sendAll(t, gw, 2); near.requestCount.Load() != 2 {
		t.Errorf("a later start: expected one further request, got %d", near.requestCount.Load()-1)
	}
	if served, _ := sendAll(t, gw, 1); served != 0 {
		t.Error("with every upstream leaving: expected the request to be rejected")
	}
}

// TestUpstreamThatWantsNothingForATimeGetsNothing guards against requests within the time that an
// upstream has named as it refused one.
func TestUpstreamThatWantsNothingForATimeGetsNothing(t *testing.T) {
	t.Parallel()
	fields := fieldsOf("X-Not-Run: 1\r\nRetry-After: 0.6\r\n")
	near, far := newNoticeUpstream(t, "near", "503 Busy", fields), newNoticeUpstream(t, "far", "200 OK", fieldsOf(""))
	gw := newTestGateway(t, near, far)
	gw.placeNearAndFar(near, far)
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if served, _ := sendAll(t, gw, 1); served != 1 {
			t.Fatal("expected each request to be served by the other upstream")
		}
	}
	if n := near.requestCount.Load(); n != 1 {
		t.Errorf("expected one request within the time, got %d", n)
	}
	time.Sleep(150 * time.Millisecond)
	if sendAll(t, gw, 1); near.requestCount.Load() != 2 {
		t.Errorf("expected a request after the time, got %d", near.requestCount.Load()-1)
	}
	only := newTestGateway(t, near)
	sendAll(t, only, 1)
	before := near.requestCount.Load()
	_, retryAfter := sendAll(t, only, 5)
	wait, err := strconv.ParseFloat(retryAfter, 64)
	if err != nil || wait < 0.3 || wait > 2 || near.requestCount.Load() != before {
		t.Errorf("all upstreams wait: expected a Retry-After of about 0.6 s and no request, got %q and %d", retryAfter, near.requestCount.Load()-before)
	}
}

// TestSenselessTimeOfUpstreamIsIgnored checks that a time that is none, or is longer than any
// upstream needs, does not end the use of an upstream.
func TestSenselessTimeOfUpstreamIsIgnored(t *testing.T) {
	t.Parallel()
	for _, value := range []string{"soon", "-3", "NaN", "+Inf", "8640000", "Fri, 04 Dec 2026 00:00:00 GMT"} {
		near, far := newNoticeUpstream(t, "near", "503 Busy", fieldsOf("X-Not-Run: 1\r\nRetry-After: "+value+"\r\n")), newNoticeUpstream(t, "far", "503 Busy", fieldsOf("X-Not-Run: 1\r\n"))
		gw := newTestGateway(t, near, far)
		sendAll(t, gw, 1)
		time.Sleep(200 * time.Millisecond) // the pause after a refusal
		if sendAll(t, gw, 1); near.requestCount.Load() != 2 {
			t.Errorf("%q: expected a second request, got %d in all", value, near.requestCount.Load())
		}
	}
}
