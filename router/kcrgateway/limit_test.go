package kcrgateway_test

import (
	"net"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
)

// These tests send requests to upstreams that name a rate limit.

// refusal as the rate makes an upstream refuse requests and name no limit.
const refusal = "refusal"

// newLimitedUpstream starts an upstream that names a limit while rate is not empty.
func newLimitedUpstream(t *testing.T, id string, rate *atomic.Value) *upstream {
	t.Helper()
	return newUpstream(t, id, func(_ int, req request, conn net.Conn) bool {
		switch text := rate.Load().(string); text {
		case "":
			return respond(conn, req.id(), "200 OK", "", "fine")
		case refusal:
			return respond(conn, req.id(), "503 Full", "X-Not-Run: 1\r\n", "")
		default:
			return respond(conn, req.id(), "200 OK", "X-Rate: "+text+"\r\n", "fine")
		}
	})
}

// Guards against requests that are sent without a permit, refusals while another upstream has
// room, and a limit that ends before or outlasts the answers that name it.
func TestRequestsToLimitedUpstreamNeedPermits(t *testing.T) {
	t.Parallel()
	var rate, none atomic.Value
	rate.Store("2.5")
	none.Store("")
	near, far := newLimitedUpstream(t, "near", &rate), newLimitedUpstream(t, "far", &none)
	gw := newTestGateway(t, near, far)
	gw.placeNearAndFar(near, far)
	const wait = 100 * time.Millisecond // until another permit is asked for
	var permits, asked atomic.Int64     // permits that are left, and how many were asked for
	gw.takePermit.Store(func(upstream kcrid.Incarnation, limit kcrplacement.RateLimit) (bool, kcrclock.Duration) {
		asked.Add(1)
		if upstream != "near/0" || limit.PerSecond != 2.5 || limit.Cold {
			t.Errorf("expected a permit for near/0 at 2.5, got %s and %v", upstream, limit)
		}
		return permits.Add(-1) >= 0, kcrclock.Duration(wait.Milliseconds())
	})
	send := func(what string, wantStatus int, wantNear, wantAsked int64) {
		t.Helper()
		head, _, err := roundTrip(t, gw, "/once/1", "")
		if err != nil || head.Status != wantStatus {
			t.Errorf("%s: expected status %d, got %v %v", what, wantStatus, head, err)
		}
		if n, a := near.requestCount.Load(), asked.Load(); n != wantNear || a != wantAsked {
			t.Errorf("%s: expected %d requests and %d permits asked for, got %d and %d", what, wantNear, wantAsked, n, a)
		}
	}
	send("before a limit is named", 200, 1, 0)
	send("without a permit, another upstream", 200, 1, 1)
	if n := far.requestCount.Load(); n != 1 {
		t.Errorf("expected 1 request at the other upstream, got %d", n)
	}
	gw.table.Update(0, []kcrplacement.Upstream{{ID: "near", Service: "s", Addr: near.listener.Addr().String(), Zone: "z", Version: "v1", Slots: 8}})
	time.Sleep(2 * wait)
	permits.Store(1)
	send("with a permit", 200, 2, 2)
	rate.Store(refusal)
	permits.Store(1)
	send("a refusal that names no limit", 503, 3, 3)
	send("after it, without a permit", 503, 3, 4)
	time.Sleep(2 * wait)
	rate.Store("")
	permits.Store(1)
	send("an answer that names no limit", 200, 4, 5)
	send("after it", 200, 5, 5)
}

// Guards against refusals that are not true or that come late, and values that are no rate.
func TestRefusalWhereLimitsLeaveNoRoom(t *testing.T) {
	t.Parallel()
	var rate atomic.Value
	rate.Store("0")
	u := newLimitedUpstream(t, "u", &rate)
	gw := newTestGateway(t, u)
	gw.takePermit.Store(func(kcrid.Incarnation, kcrplacement.RateLimit) (bool, kcrclock.Duration) {
		return false, 10 * kcrclock.Second
	})
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
		gw.takePermit.Store(func(kcrid.Incarnation, kcrplacement.RateLimit) (bool, kcrclock.Duration) {
			return false, 10 * kcrclock.Second
		})
		for i := range 2 {
			if head, _, err := roundTrip(t, gw, "/once/"+strconv.Itoa(i), ""); err != nil || head.Status != 200 {
				t.Errorf("limit %q: expected it to be ignored, got %v %v", text, head, err)
			}
		}
	}
}

// Guards against requests that are sent without a permit to an upstream that may have started
// again, or with a permit that has expired.
func TestRequestsToColdUpstreamNeedPermits(t *testing.T) {
	t.Parallel()
	var none atomic.Value
	none.Store("")
	u := newLimitedUpstream(t, "u", &none)
	gw := newTestGateway(t, u)
	gw.table.Update(0, []kcrplacement.Upstream{{
		ID: "u", Service: "s", Addr: u.listener.Addr().String(), Zone: "z", Version: "v1", Slots: 8,
		Cold: kcrplacement.ColdLimit{PerSecond: 18, Start: 3000},
	}})
	var delay, asked atomic.Int64 // ms that a permit takes, and how many were asked for
	gw.takePermit.Store(func(_ kcrid.Incarnation, limit kcrplacement.RateLimit) (bool, kcrclock.Duration) {
		asked.Add(1)
		if !limit.Cold || limit.PerSecond != 18 {
			t.Errorf("expected a permit for a cold upstream, got %v", limit)
		}
		time.Sleep(time.Duration(delay.Load()) * time.Millisecond)
		return true, 0
	})
	send := func(what string, wantStatus int, wantSent, wantAsked int64) {
		t.Helper()
		head, _, err := roundTrip(t, gw, "/once/1", "")
		if err != nil || head.Status != wantStatus || u.requestCount.Load() != wantSent || asked.Load() != wantAsked {
			t.Errorf("%s: expected status %d, %d requests and %d permits asked for, got %v %v, %d and %d",
				what, wantStatus, wantSent, wantAsked, head, err, u.requestCount.Load(), asked.Load())
		}
	}
	gw.table.RecordLost(kcrclock.Monotonic().Now(), "u/0")
	send("reached again", 200, 1, 1)
	delay.Store(300)
	send("a permit that comes late", 503, 1, 2)
}
