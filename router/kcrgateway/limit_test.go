package kcrgateway_test

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// These tests send requests to upstreams that name a rate limit.

// newLimitedUpstream starts an upstream that names a limit while rate is not empty.
func newLimitedUpstream(t *testing.T, id string, rate *atomic.Value) *upstream {
	t.Helper()
	return newUpstream(t, id, func(_ int, req request, conn net.Conn) bool {
		headers := ""
		if text := rate.Load().(string); text != "" {
			headers = "X-Rate: " + text + "\r\n"
		}
		return respond(conn, req.id(), "200 OK", headers, "fine")
	})
}

// Guards against requests that are sent without a permit, refusals while another upstream has
// room, and a limit that outlasts the answers that name it.
func TestRequestsToLimitedUpstreamNeedPermits(t *testing.T) {
	t.Parallel()
	var rate, none atomic.Value
	rate.Store("2.5")
	none.Store("")
	near, far := newLimitedUpstream(t, "near", &rate), newLimitedUpstream(t, "far", &none)
	gw := newTestGateway(t, near, far)
	gw.placeNearAndFar(near, far)
	var grants atomic.Int64 // permits that are left
	var asked atomic.Int64
	gw.takePermit.Store(func(upstream kcrid.Incarnation, perSecond float64) (bool, kcrclock.Duration) {
		asked.Add(1)
		if upstream != "near/0" || perSecond != 2.5 {
			t.Errorf("expected a permit for near/0 at 2.5, got %s at %v", upstream, perSecond)
		}
		return grants.Add(-1) >= 0, 1
	})
	send := func(wantNear, wantFar int64) {
		t.Helper()
		head, _, err := roundTrip(t, gw, "/once/1", "")
		if err != nil || head.Status != 200 {
			t.Fatalf("expected 200, got %v %v", head, err)
		}
		if n, f := near.requestCount.Load(), far.requestCount.Load(); n != wantNear || f != wantFar {
			t.Fatalf("expected %d requests near and %d far, got %d and %d", wantNear, wantFar, n, f)
		}
	}
	send(1, 0) // names the limit
	send(1, 1) // no permit
	grants.Store(1)
	waitFor(t, "a permit", func() bool {
		head, _, err := roundTrip(t, gw, "/once/1", "")
		return err == nil && head.Status == 200 && near.requestCount.Load() == 2
	})
	rate.Store("")
	grants.Store(1)
	waitFor(t, "a permit", func() bool {
		head, _, err := roundTrip(t, gw, "/once/1", "")
		return err == nil && head.Status == 200 && near.requestCount.Load() == 3
	})
	before, farBefore := asked.Load(), far.requestCount.Load()
	for i := range int64(3) { // without a limit, without permits
		send(4+i, farBefore)
	}
	if got := asked.Load(); got != before {
		t.Errorf("expected no permit to be asked for without a limit, got %d", got-before)
	}
}

// Guards against refusals that are not true or that come late, and values that are no rate.
func TestRefusalWhereLimitsLeaveNoRoom(t *testing.T) {
	t.Parallel()
	var rate atomic.Value
	rate.Store("0")
	u := newLimitedUpstream(t, "u", &rate)
	gw := newTestGateway(t, u)
	gw.takePermit.Store(func(kcrid.Incarnation, float64) (bool, kcrclock.Duration) { return false, 10 * kcrclock.Second })
	if _, _, err := roundTrip(t, gw, "/once/1", ""); err != nil {
		t.Fatal(err)
	}
	for _, path := range []string{"/once/1", "/safe/1", "/stream/1"} {
		head, _, err := roundTrip(t, gw, path, "")
		if err != nil || head.Status != 503 || head.Get("Retry-After") == "" || u.requestCount.Load() != 1 {
			t.Errorf("%s: expected 503 with a time and no run, got %v %v and %d requests", path, head, err, u.requestCount.Load())
		}
	}
	for _, text := range []string{"many", "-1", "NaN", "Inf", ""} {
		rate.Store(text)
		u := newLimitedUpstream(t, "u", &rate)
		gw := newTestGateway(t, u)
		gw.takePermit.Store(func(kcrid.Incarnation, float64) (bool, kcrclock.Duration) { return false, 10 * kcrclock.Second })
		for i := range 2 {
			if head, _, err := roundTrip(t, gw, "/once/"+strconv.Itoa(i), ""); err != nil || head.Status != 200 {
				t.Errorf("limit %q: expected it to be ignored, got %v %v", text, head, err)
			}
		}
	}
}
