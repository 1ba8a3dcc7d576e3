package kcrgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// These tests send requests that crash each upstream that begins to answer them: by a part
// of their prompt, or as a whole.

// crashingEngines are upstreams that end when they begin to answer a request whose prompt
// has the part "bad", or whose path contains "bad".
type crashingEngines struct {
	upstreams []*upstream
	crashes   atomic.Int64
	endNext   atomic.Bool // the next request ends its upstream, whatever it is
	silent    bool        // engines that end leave their connections open
}

func newCrashingEngines(t *testing.T, n int) *crashingEngines {
	t.Helper()
	e := &crashingEngines{}
	for i := range n {
		var u *upstream
		var mu sync.Mutex
		open := map[net.Conn]bool{}
		crashed := false
		u = newUpstream(t, fmt.Sprint("engine-", i), func(_ int, req request, conn net.Conn) bool {
			mu.Lock()
			open[conn] = true
			silent := crashed
			mu.Unlock()
			if silent {
				return true
			}
			isPlain := strings.HasPrefix(req.head.Target, "/once/") || strings.HasPrefix(req.head.Target, "/safe/")
			switch isBad := e.endNext.Swap(false) || strings.Contains(req.head.Get("X-Parts"), "bad:") || strings.Contains(req.head.Target, "bad"); {
			case !isBad && isPlain:
				return respond(conn, req.id(), "200 OK", "", "fine")
			case !isBad:
				writeStream(conn, req.id(), 1, 2)
				_, err := io.WriteString(conn, "0\r\n\r\n")
				return err == nil
			case !isPlain:
				writeStream(conn, req.id(), 1, 0)
			}
			e.crashes.Add(1)
			_ = u.listener.Close()
			mu.Lock()
			defer mu.Unlock()
			crashed = true
			if e.silent {
				return true
			}
			for c := range open {
				_ = c.Close()
			}
			return false
		})
		e.upstreams = append(e.upstreams, u)
	}
	return e
}

// sendParts sends a request of a stream with a body and parts of a prompt. It returns the status of
// the response, 0 if there is no complete one.
func sendParts(t *testing.T, gw *testGateway, path, body, parts string) int {
	t.Helper()
	return sendPartsWithin(t, gw, 1500, path, body, parts)
}

// sendPartsWithin is sendParts with a deadline, in milliseconds.
func sendPartsWithin(t *testing.T, gw *testGateway, deadline int, path, body, parts string) int {
	t.Helper()
	conn := dial(t, gw)
	_, rawRequest := newRequest(path, "", body)
	rawRequest = strings.Replace(rawRequest, "X-Parts: a:60,b:40", "X-Parts: "+parts, 1)
	rawRequest = strings.Replace(rawRequest, "X-Deadline: 1500", fmt.Sprint("X-Deadline: ", deadline), 1)
	_, _ = io.WriteString(conn, rawRequest)
	head, _, err := readResponse(bufio.NewReader(conn))
	if err != nil {
		return 0
	}
	return head.Status
}

// maxPartCrashes is how many engines a part of a prompt may crash before the requests that
// have it are refused.
const maxPartCrashes = 5

// Guards against requests, no two alike, that crash one engine after the other by a part
// that all their prompts have.
func TestPromptPartThatCrashesEnginesIsRefused(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		path    string
		hasBody bool
	}{{"/stream/1", true}, {"/resume/1", true}, {"/stream/1", false}} {
		path := c.path
		engines := newCrashingEngines(t, 16)
		gw := newTestGateway(t, engines.upstreams...)
		status := 0
		for i := range 12 {
			body := "" // no two bodies are alike
			if c.hasBody {
				body = fmt.Sprint("body ", i)
			}
			status = sendParts(t, gw, path, body, fmt.Sprintf("5a:30,bad:30,%x:40", 0x1000+i))
			if got := sendParts(t, gw, path, "body", fmt.Sprintf("5a:30,50d:30,%x:40", 0x2000+i)); got != 200 {
				t.Errorf("%s: a sound request with the same first part: expected 200, got %d", path, got)
			}
			time.Sleep(20 * time.Millisecond) // the end of the engine is noticed
		}
		if got := engines.crashes.Load(); got > maxPartCrashes || status != 503 {
			t.Errorf("%s, body %t: expected at most %d engines to crash and a refusal, got %d and status %d", path, c.hasBody, maxPartCrashes, got, status)
		}
	}
}

// maxCrashes is how many upstreams a request may crash before it is refused.
const maxCrashes = 3

// Guards against a request, always the same, that crashes one upstream after the other.
func TestRequestThatCrashesUpstreamsIsRefused(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		for _, body := range []string{"", "body"} {
			engines := newCrashingEngines(t, 20)
			gw := newTestGateway(t, engines.upstreams...)
			status := 0
			for i := range 12 {
				if got := sendParts(t, gw, path+"fine", body, fmt.Sprintf("5a:30,%x:40", 0x1000+i)); got != 200 {
					t.Errorf("%s, body %q: a sound request: expected 200, got %d", path, body, got)
				}
				status = sendParts(t, gw, path+"bad", body, "5a:30,50d:40")
				time.Sleep(20 * time.Millisecond) // the end of the upstream is noticed
			}
			if got := engines.crashes.Load(); got > maxCrashes || status != 503 {
				t.Errorf("%s, body %q: expected at most %d upstreams to crash and a refusal, got %d and status %d", path, body, maxCrashes, got, status)
			}
		}
	}
}

// Guards against a request that crashes one upstream after the other without their connections
// being closed.
func TestRequestThatSilencesUpstreamsIsRefused(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		for _, body := range []string{"", "body"} {
			t.Run(path+body, func(t *testing.T) {
				t.Parallel()
				engines := newCrashingEngines(t, 20)
				engines.silent = true
				gw := newTestGateway(t, engines.upstreams...)
				status := 0
				for i := range 10 {
					if got := sendParts(t, gw, path+"fine", body, fmt.Sprintf("5a:30,%x:40", 0x1000+i)); got != 200 {
						t.Errorf("a sound request: expected 200, got %d", got)
					}
					status = sendPartsWithin(t, gw, 700, path+"bad", body, "5a:30,50d:40")
				}
				// An idempotent request reaches a second engine before the first counts as crashed.
				if got := engines.crashes.Load(); got > maxCrashes+1 || status != 503 {
					t.Errorf("expected at most %d upstreams to crash and a refusal, got %d and status %d", maxCrashes+1, got, status)
				}
			})
		}
	}
}

// Guards against requests, no two alike, that crash one engine after the other by a part that all
// their prompts have, without the engines' connections being closed.
func TestPromptPartThatSilencesEnginesIsRefused(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/stream/1", "/resume/1"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			engines := newCrashingEngines(t, 20)
			engines.silent = true
			gw := newTestGateway(t, engines.upstreams...)
			status := 0
			for i := range 10 {
				status = sendPartsWithin(t, gw, 700, path, fmt.Sprint("body ", i), fmt.Sprintf("5a:30,bad:30,%x:40", 0x1000+i))
				if got := sendParts(t, gw, path, "body", fmt.Sprintf("5a:30,50d:30,%x:40", 0x2000+i)); got != 200 {
					t.Errorf("a sound request with the same first part: expected 200, got %d", got)
				}
			}
			if got := engines.crashes.Load(); got > maxPartCrashes || status != 503 {
				t.Errorf("expected at most %d engines to crash and a refusal, got %d and status %d", maxPartCrashes, got, status)
			}
		})
	}
}

// Guards against a ban of a request that is answered, but was under way at unrelated crashes.
func TestSoundRequestIsServedAfterUnrelatedCrashes(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/once/fine", "/safe/fine", "/stream/fine", "/resume/fine"} {
		engines := newCrashingEngines(t, 16)
		gw := newTestGateway(t, engines.upstreams...)
		send := func() int { return sendParts(t, gw, path, "", "5a:30,50d:40") }
		for range 3 {
			if got := send(); got != 200 {
				t.Fatalf("%s after %d crashes: expected 200, got %d", path, engines.crashes.Load(), got)
			}
			for range 4 {
				engines.endNext.Store(true)
				send()
				time.Sleep(20 * time.Millisecond) // the end of the upstream is noticed
			}
		}
		if got := engines.crashes.Load(); got != 12 {
			t.Errorf("%s: expected 12 crashes, got %d", path, got)
		}
	}
}
