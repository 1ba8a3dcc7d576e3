package kcrgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"kingcuprun.example/link/kcrhttp"
	"kingcuprun.example/router/kcrgateway"
)

// These tests bring about upstreams that answer a long upload before they have read it, with an
// answer that has no length and so ends with its connection.

const (
	// uploadSize is the size of an upload that does not fit into the buffers of a connection, in
	// bytes.
	uploadSize = 900 << 10
	earlyHead  = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\n"
	earlyBody  = "the first half, "
	earlyEvent = "id: 1\ndata: a\n\n"
)

// newEarlyUpstream returns an upstream that reads the head of a request, writes an answer without a
// length, waits until the write of the upload is blocked, and calls end.
func newEarlyUpstream(t *testing.T, id string, end func(*net.TCPConn)) *upstream {
	t.Helper()
	u := &upstream{id: id, listener: listen(t)}
	go func() {
		for {
			conn, err := u.listener.Accept()
			if err != nil {
				return
			}
			go u.answerEarly(conn.(*net.TCPConn), end)
		}
	}()
	return u
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener
}

func (u *upstream) answerEarly(conn *net.TCPConn, end func(*net.TCPConn)) {
	defer func() { _ = conn.Close() }()
	_ = conn.SetReadBuffer(8 << 10)
	head, err := kcrhttp.ReadRequest(bufio.NewReaderSize(conn, 512), 8<<10)
	if err != nil {
		return
	}
	u.requestCount.Add(1)
	answer := fmt.Sprintf(earlyHead, head.Get("X-Id")) + "\r\n" + earlyBody
	if strings.HasPrefix(head.Target, "/stream/") || strings.HasPrefix(head.Target, "/resume/") {
		answer = fmt.Sprintf(earlyHead, head.Get("X-Id")) + "Content-Type: text/event-stream\r\n\r\n" + earlyEvent
	}
	_, _ = io.WriteString(conn, answer)
	time.Sleep(10 * time.Millisecond)
	end(conn)
}

// reset ends a connection with a reset.
func reset(conn *net.TCPConn) { _ = conn.SetLinger(0) }

// upload sends a long upload, and returns all bytes until the connection ends and the error with
// which it does.
func upload(t *testing.T, gw *testGateway, path, protocol string) (data string, err error) {
	t.Helper()
	_, rawRequest := newRequest(path, "Connection: close\r\n", strings.Repeat("u", uploadSize))
	return sendRaw(t, gw, strings.Replace(rawRequest, "HTTP/1.1", protocol, 1))
}

// uploadChunked is upload for an upload in chunks of 16 KB.
func uploadChunked(t *testing.T, gw *testGateway, path string) (data string, err error) {
	t.Helper()
	_, rawRequest := newRequest(path, "Connection: close\r\n", "")
	chunk := kcrhttp.AppendChunk(nil, []byte(strings.Repeat("u", 16<<10)))
	body := strings.Repeat(string(chunk), uploadSize/(16<<10)) + kcrhttp.LastChunk
	return sendRaw(t, gw, strings.Replace(rawRequest, "Content-Length: 0", "Transfer-Encoding: chunked", 1)+body)
}

// TestEarlyAnswerThatIsResetIsNotWhole guards against a part of an answer without a length that the
// caller gets as a whole one, since the write of the request has taken the error of the reset.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	t.Parallel()
	senders := map[string]func(gw *testGateway, path string) (string, error){
		"HTTP/1.1": func(gw *testGateway, path string) (string, error) { return upload(t, gw, path, "HTTP/1.1") },
		"HTTP/1.0": func(gw *testGateway, path string) (string, error) { return upload(t, gw, path, "HTTP/1.0") },
		"chunked":  func(gw *testGateway, path string) (string, error) { return uploadChunked(t, gw, path) },
	}
	for _, path := range []string{"/once/", "/safe/", "/stream/", "/resume/"} {
		for name, send := range senders {
			t.Run(path+name, func(t *testing.T) {
				t.Parallel()
				early := newEarlyUpstream(t, "early", reset)
				gw := newTestGatewayWith(t, kcrgateway.RetryLimits{Window: 10000, RetryRatio: 1, ExtraRetries: 1e6, FirstStart: true}, early)
				const uploads = 40
				whole := 0
				for range uploads {
					if _, ok := completeSuccess(send(gw, path)); ok {
						whole++
					}
				}
				if n := early.requestCount.Load(); n < uploads {
					t.Errorf("expected all of %d uploads at the upstream, got %d", uploads, n)
				}
				if whole > 0 {
					t.Errorf("expected no whole success of %d uploads, got %d", uploads, whole)
				}
			})
		}
	}
}

// TestEarlyAnswerThatEndsIsWhole guards against the loss of a whole answer because its upstream does
// not read the rest of the upload.
func TestEarlyAnswerThatEndsIsWhole(t *testing.T) {
	t.Parallel()
	for name, end := range map[string]func(*net.TCPConn){
		"reads no more": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(300 * time.Millisecond)
		},
		"reads the rest": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		"resets afterwards": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			reset(conn)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := newTestGateway(t, newEarlyUpstream(t, "early", end))
			for _, path := range []string{"/once/", "/stream/"} {
				want := map[string]string{"/once/": earlyBody, "/stream/": earlyEvent}[path]
				for range 10 {
					data, err := upload(t, gw, path, "HTTP/1.1")
					if body, ok := completeSuccess(data, err); !ok || body != want {
						t.Fatalf("%s: expected the whole answer %q, got %q", path, want, data)
					}
				}
			}
		})
	}
}
