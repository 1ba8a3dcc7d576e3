package kcrgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"kingcuprun.example/link/kcrhttp"
)

// These tests bring about upstreams that send bytes without end, in a head or in a body,
// until their connection is closed.

// repeat writes a start and then a text again and again, at intervals of pause, until the
// connection is closed. It reports that on closed.
func repeat(conn net.Conn, start, text string, pause time.Duration) {
	if _, err := io.WriteString(conn, start); err != nil {
		return
	}
	if pause == 0 {
		text = strings.Repeat(text, 1+4096/len(text))
	}
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// endlessAnswer is a kind of bytes without end. Start and text may have one %s for the ID
// of the request.
type endlessAnswer struct {
	name, start, text string
	pause             time.Duration
}

const (
	plainHead  = "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: sig\r\n"
	streamHead = plainHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// endlessAnswers returns the kinds for a buffered answer or for a stream.
func endlessAnswers(stream bool) []endlessAnswer {
	kinds := []endlessAnswer{
		{name: "no answer", text: "garbage"},
		{name: "one line of a head", start: "HTTP/1.1 200 OK\r\nX-Long: ", text: "a"},
		{name: "lines of a head", start: "HTTP/1.1 200 OK\r\n", text: "X-More: a\r\n"},
		{name: "informational answers", text: "HTTP/1.1 100 Continue\r\n\r\n"},
		{name: "answers to another request", text: "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 0\r\n\r\n"},
		{name: "body of an answer to another request", start: "HTTP/1.1 200 OK\r\nX-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n", text: "5\r\nabcde\r\n"},
		{name: "chunk extension", start: plainHead + "Transfer-Encoding: chunked\r\n\r\n5;", text: "x"},
		{name: "trailers", start: plainHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", text: "X-Trailer: a\r\n"},
		{name: "slow garbage", text: "g", pause: 20 * time.Millisecond},
	}
	if stream {
		return append(
			kinds,
			endlessAnswer{name: "event without an end", start: streamHead, text: "6\r\ndata: \r\n"},
			endlessAnswer{name: "slow event without an end", start: streamHead, text: "1\r\nd\r\n", pause: 20 * time.Millisecond},
			endlessAnswer{name: "comments", start: streamHead, text: "3\r\n:\n\n\r\n", pause: 20 * time.Millisecond},
		)
	}
	return append(
		kinds,
		endlessAnswer{name: "chunked body", start: plainHead + "Transfer-Encoding: chunked\r\n\r\n", text: "5\r\nabcde\r\n"},
		endlessAnswer{name: "body until close", start: plainHead + "\r\n", text: "abcde"},
		endlessAnswer{name: "body of a huge length", start: plainHead + "Content-Length: 100000000000000\r\n\r\n", text: "abcde"},
		endlessAnswer{name: "slow body", start: plainHead + "Transfer-Encoding: chunked\r\n\r\n", text: "1\r\na\r\n", pause: 20 * time.Millisecond},
	)
}

// newEndlessUpstream returns an upstream that sends an answer without end to each request,
// and a channel that receives a value when the gateway has closed its connection.
func newEndlessUpstream(t *testing.T, id string, a endlessAnswer) (u *upstream, closed chan struct{}) {
	t.Helper()
	closed = make(chan struct{}, 1000)
	u = newUpstream(t, id, func(_ int, req request, conn net.Conn) bool {
		fill := func(s string) string { return strings.ReplaceAll(s, "%s", req.id()) }
		repeat(conn, fill(a.start), fill(a.text), a.pause)
		closed <- struct{}{}
		return false
	})
	return u, closed
}

// TestEndlessAnswersAreGivenUp checks that a request that may run again is served
// elsewhere, and one that may not gets an error, while its upstream sends bytes without
// end; and that the connection to that upstream is closed.
func TestEndlessAnswersAreGivenUp(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/safe/1", "/once/1", "/resume/1"} {
		stream := path == "/resume/1"
		for _, a := range endlessAnswers(stream) {
			t.Run(path+" "+a.name, func(t *testing.T) {
				t.Parallel()
				endless, closed := newEndlessUpstream(t, "a", a)
				serving := newUpstream(t, "b", func(n int, req request, conn net.Conn) bool {
					if !stream {
						return respondOK(n, req, conn)
					}
					writeStream(conn, req.id(), 1, 3)
					_, err := io.WriteString(conn, kcrhttp.LastChunk)
					return err == nil
				})
				gw := newTestGateway(t, endless, serving)
				gw.placeNearAndFar(endless, serving)
				head, body, err := roundTrip(t, gw, path, "")
				checkEndless(t, path, head, body, err)
				select {
				case <-closed:
				case <-time.After(3 * time.Second):
					t.Error("expected the connection to be closed, it was not in 3 s")
				}
			})
		}
	}
}

// checkEndless checks the answer that a caller got while an upstream sent bytes without
// end.
func checkEndless(t *testing.T, path string, head *kcrhttp.Head, body string, err error) {
	t.Helper()
	switch {
	case err != nil:
		t.Errorf("expected an answer, got %v", err)
	case path == "/once/1" && head.Status != 502 && head.Status != 504:
		t.Errorf("expected 502 or 504, got %+v %q", head, body)
	case path == "/safe/1" && (head.Status != 200 || body != "fine"):
		t.Errorf("expected the answer of the other upstream, got %+v %q", head, body)
	case path == "/resume/1" && strings.ReplaceAll(body, ":\n\n", "") != formatEvents(3):
		t.Errorf("expected the stream of the other upstream, got %+v %q", head, body)
	}
}

// maxEndlessMemory is the memory that a few hundred endless answers at once may take, in
// bytes. A thin router has 112 MB in all.
const maxEndlessMemory = 60 << 20

// TestEndlessAnswersFillNoMemory checks that hundreds of answers without end at once stay
// within the memory of a thin router.
func TestEndlessAnswersFillNoMemory(t *testing.T) {
	// Not parallel: it measures the memory of the process.
	for _, path := range []string{"/once/1", "/stream/1"} {
		for _, a := range endlessAnswers(path == "/stream/1") {
			if a.pause > 0 {
				continue
			}
			endless, _ := newEndlessUpstream(t, "a", a)
			gw := newTestGateway(t, endless)
			var before, during runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var callers sync.WaitGroup
			for i := range 200 {
				callers.Add(1)
				go func() {
					defer callers.Done()
					conn, err := net.Dial("tcp", gw.gateway.Addr())
					if err != nil {
						return
					}
					defer func() { _ = conn.Close() }()
					_ = conn.SetDeadline(time.Now().Add(4 * time.Second))
					_, rawRequest := newRequest(path, "", "body")
					_, _ = io.WriteString(conn, strings.Replace(rawRequest, "X-Deadline: 1500", fmt.Sprint("X-Deadline: ", 600+i), 1))
					_, _, _ = readResponse(bufio.NewReader(conn))
				}()
			}
			highest := uint64(0)
			done := make(chan struct{})
			go func() { callers.Wait(); close(done) }()
			for running := true; running; {
				select {
				case <-done:
					running = false
				case <-time.After(20 * time.Millisecond):
				}
				runtime.ReadMemStats(&during)
				highest = max(highest, during.HeapInuse)
			}
			if used := int64(highest) - int64(before.HeapInuse); used > maxEndlessMemory {
				t.Errorf("%s, %s: expected at most %d MB, got %d", path, a.name, maxEndlessMemory>>20, used>>20)
			}
		}
	}
}
