package kcrgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// eventStreamHead is the head of a response with a stream, which names its request.
func eventStreamHead(req request) string {
	return "HTTP/1.1 200 OK\r\nX-Id: " + req.id() + "\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
}

// breakingStream sends two events of a stream and breaks off.
func breakingStream(_ int, req request, conn net.Conn) bool {
	_, _ = io.WriteString(conn, eventStreamHead(req)+chunk("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"))
	return false
}

func chunk(data string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(data), data) }

// getStream sends a request for a stream over a protocol version, and returns all bytes until the
// connection ends and the error with which it does.
func getStream(t *testing.T, gw *testGateway, protocol string) (data string, err error) {
	t.Helper()
	return sendRaw(t, gw, fmt.Sprintf("POST /resume/1 %s\r\nHost: %s\r\nX-Id: id-1\r\nX-Key: key\r\nX-Usage: 10,10\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", protocol, host))
}

// sendRaw sends the bytes of a request, and returns all bytes until the connection ends and the
// error with which it does.
func sendRaw(t *testing.T, gw *testGateway, request string) (data string, err error) {
	t.Helper()
	conn, err := net.Dial("tcp", gw.gateway.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, request)
	all, err := io.ReadAll(bufio.NewReader(conn))
	return string(all), err
}

// TestAnswerThatIsNoStreamIsNotJoinedToStream guards against the text of another answer in the
// middle of a stream that has broken off, and against its end as if it were complete.
func TestAnswerThatIsNoStreamIsNotJoinedToStream(t *testing.T) {
	t.Parallel()
	for name, answer := range map[string]string{
		"text":          "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Type: text/plain\r\nContent-Length: 6\r\n\r\noops\n\n",
		"event, no id":  "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 12\r\n\r\ndata: oops\n\n",
		"error":         "HTTP/1.1 500 Oops\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\noops",
		"not found":     "HTTP/1.1 404 Oops\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Length: 4\r\n\r\noops",
		"redirection":   "HTTP/1.1 302 Oops\r\nX-Id: id-1\r\nX-Signature: s\r\nLocation: /oops\r\nContent-Length: 0\r\n\r\n",
		"head and body": "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: 27\r\n\r\nHTTP/1.1 500 oops\r\n\r\noops\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := newUpstream(t, "first", breakingStream)
			second := newUpstream(t, "second", func(_ int, _ request, conn net.Conn) bool {
				_, _ = io.WriteString(conn, answer)
				return true
			})
			gw := newTestGateway(t, first, second)
			gw.placeNearAndFar(first, second)
			data, _ := getStream(t, gw, "HTTP/1.1")
			if !strings.Contains(data, "data: b") || second.requestCount.Load() != 1 {
				t.Fatalf("expected two events and a second attempt, got %q and %d", data, second.requestCount.Load())
			}
			if strings.Contains(data, "oops") || strings.HasSuffix(data, "0\r\n\r\n") {
				t.Errorf("expected the stream to break off after its second event, got %q", data)
			}
		})
	}
}

// TestBrokenStreamLooksBrokenToHTTP10 guards against a stream that breaks off and ends with a
// plain close, which is the end of a complete answer to a caller of HTTP/1.0.
func TestBrokenStreamLooksBrokenToHTTP10(t *testing.T) {
	t.Parallel()
	only := newUpstream(t, "only", breakingStream)
	data, err := getStream(t, newTestGateway(t, only), "HTTP/1.0")
	if !strings.Contains(data, "data: a") || err == nil {
		t.Fatalf("expected events and a reset connection, got %q and %v", data, err)
	}
}

// TestRepeatedRefusalBelongsToNoRequest guards against an earlier refusal that an upstream sends
// once more on a kept connection: the request that is under way there has run.
func TestRepeatedRefusalBelongsToNoRequest(t *testing.T) {
	t.Parallel()
	for name, withID := range map[string]bool{"with its ID": true, "without an ID": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			refusal := func(id string) string {
				if withID {
					id = "X-Id: " + id + "\r\n"
				} else {
					id = ""
				}
				return "HTTP/1.1 503 Busy\r\n" + id + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
			}
			u := newUpstream(t, "u", func(n int, req request, conn net.Conn) bool {
				if n == 1 {
					_, _ = io.WriteString(conn, strings.Replace(refusal(req.id()), "HTTP/1.1 503 Busy\r\n", "HTTP/1.1 503 Busy\r\nX-Id: "+req.id()+"\r\n", 1))
					return true
				}
				_, _ = io.WriteString(conn, refusal("id-1"))
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+req.id()+"\r\nX-Signature: s\r\nContent-Length: 2\r\n\r\nok")
				return true
			})
			gw := newTestGateway(t, u)
			send := func(id string) string {
				conn, err := net.Dial("tcp", gw.gateway.Addr())
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
				_, _ = fmt.Fprintf(conn, "POST /once/1 HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Key: key\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", host, id)
				all, _ := io.ReadAll(conn)
				return string(all)
			}
			if got := send("id-1"); !strings.HasPrefix(got, "HTTP/1.1 503 ") {
				t.Fatalf("expected the refusal of the first request, got %q", got)
			}
			got := send("id-2")
			if strings.HasPrefix(got, "HTTP/1.1 503 ") {
				t.Fatalf("expected no refusal of the second request, which has run, got %q", got)
			}
			if withID && !strings.HasSuffix(got, "ok") {
				t.Errorf("expected the answer to the second request, got %q", got)
			}
			if n := u.requestCount.Load(); n != 2 {
				t.Errorf("expected 2 requests at the upstream, got %d", n)
			}
		})
	}
}
