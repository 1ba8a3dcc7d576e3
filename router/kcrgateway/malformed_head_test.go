package kcrgateway_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
)

// These tests bring about answers whose head breaks the protocol in one line.

// malformedHead is a head with %s for the ID of the request, of an answer with the body "forged".
type malformedHead struct{ name, head string }

func malformedHeads() (heads []malformedHead) {
	const fields = "X-Id: %s\r\nX-Signature: s\r\n"
	for _, status := range []string{"000", "001", "099", "600", "999", "20", "2000", "2 0", "+20", "0x1", "", "101"} {
		heads = append(heads, malformedHead{"status " + status, "HTTP/1.1 " + status + " OK\r\n" + fields + "Content-Length: 6\r\n\r\n"})
	}
	for _, version := range []string{"HTTP/1.2", "HTTP/2.0", "http/1.1", "HTTP/1.1\t", "ICY"} {
		heads = append(heads, malformedHead{"version " + version, version + " 200 OK\r\n" + fields + "Content-Length: 6\r\n\r\n"})
	}
	for _, line := range []string{
		"X A: 1", "X-A : 1", "X-A\t: 1", " X-A: 1", "\tX-A: 1", ": 1", "X-A", "X\x00A: 1", "X\x01A: 1", "X\x0bA: 1", "X\x7fA: 1", "X\rA: 1", "X\x80A: 1",
		"Content-Length : 3", "Transfer-Encoding : chunked", "Transfer-Encoding\x0b: chunked", "Content-Length: 3", "Transfer-Encoding: chunked",
		"X-A: \x00", "X-A: \x01", "X-A: a\rX-B: b", "X-A: \x7f",
	} {
		heads = append(heads, malformedHead{fmt.Sprintf("field %q", line), "HTTP/1.1 200 OK\r\n" + fields + line + "\r\nContent-Length: 6\r\n\r\n"})
	}
	for _, reason := range []string{"O\x00K", "O\x01K", "OK\rX-A: 1", "OK\x7f"} {
		heads = append(heads, malformedHead{fmt.Sprintf("reason %q", reason), "HTTP/1.1 200 " + reason + "\r\n" + fields + "Content-Length: 6\r\n\r\n"})
	}
	return append(
		heads,
		malformedHead{"bare LF", "HTTP/1.1 200 OK\n" + strings.ReplaceAll(fields, "\r", "") + "Content-Length: 6\n\n"},
		malformedHead{"informational field", "HTTP/1.1 100 Continue\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\n" + fields + "Content-Length: 6\r\n\r\n"},
	)
}

// TestMalformedHeadIsNoAnswer guards against an answer that breaks the protocol in its head, and
// that the caller gets as an answer. Idempotent requests and resumable streams are served by the
// other upstream.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, kept := range []bool{false, true} {
		for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
			for _, h := range malformedHeads() {
				t.Run(fmt.Sprint(path, h.name, kept), func(t *testing.T) {
					t.Parallel()
					checkMalformed(t, h, path, kept)
				})
			}
		}
	}
}

// checkMalformed checks what a caller gets whose request has reached an upstream that answers with a
// malformed head. A gateway that has found the upstream slow sends the request elsewhere; then it
// checks that, and tries again with another gateway.
func checkMalformed(t *testing.T, h malformedHead, path string, kept bool) {
	t.Helper()
	const most = 20
	for range most {
		if sendMalformed(t, h, path, kept) {
			return
		}
	}
	t.Fatalf("expected one of %d requests at the troubled upstream", most)
}

// sendMalformed is checkMalformed with one gateway. It reports whether the request has reached the
// troubled upstream.
func sendMalformed(t *testing.T, h malformedHead, path string, kept bool) (reached bool) {
	t.Helper()
	troubled, malformedCount := newTroubledUpstream(t, h)
	sound := newUpstream(t, "sound", respondOK)
	gw := newTestGateway(t, troubled, sound)
	gw.placeNearAndFar(troubled, sound)
	if kept {
		if _, body, err := roundTrip(t, gw, "/once/", "X-Sound: 1\r\n"); err != nil || body != "fine" {
			t.Fatalf("expected an answer on a new connection, got %q, %v", body, err)
		}
	}
	head, body, err := roundTrip(t, gw, path, "")
	if err != nil {
		t.Fatalf("expected an answer, got %v", err)
	}
	if strings.Contains(body, "for") || len(head.Fields) == 0 || head.Has("X-A") || head.Has("X-B") {
		t.Errorf("expected nothing of the upstream's bytes, got %+v %q", head, body)
	}
	want, wantBody := 502, ""
	switch {
	case malformedCount.Load() == 0 || path == "/safe/":
		want, wantBody = 200, "fine"
	case path == "/resume/":
		want = head.Status // no answer here is a stream
	}
	if head.Status != want || wantBody != "" && body != wantBody {
		t.Errorf("expected status %d %q, got %+v %q", want, wantBody, head, body)
	}
	return malformedCount.Load() > 0
}

// newTroubledUpstream returns an upstream whose answers have a malformed head, but for requests that
// ask for a sound one, and the number of those answers.
func newTroubledUpstream(t *testing.T, h malformedHead) (troubled *upstream, malformedCount *atomic.Int64) {
	t.Helper()
	malformedCount = &atomic.Int64{}
	return newUpstream(t, "troubled", func(_ int, req request, conn net.Conn) bool {
		if req.head.Get("X-Sound") != "" {
			return respond(conn, req.id(), "200 OK", "", "fine")
		}
		malformedCount.Add(1)
		_, _ = io.WriteString(conn, fmt.Sprintf(h.head, req.id())+"forged")
		return true
	}), malformedCount
}
