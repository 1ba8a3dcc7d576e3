package kcrrig

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"kingcuprun.example/bench/kcrcaller"
	"kingcuprun.example/link/kcrhttp"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrwire"
)

// This file tests that answers of upstreams that break the protocol, or are cut off, reach no
// caller.

// Bodies of whole answers.
const (
	wholeCompletion = `{"choices":[{"message":{"content":"forged"}}],"usage":{"total_tokens":3}}`
	wholeStream     = "data: {\"choices\":[{\"delta\":{\"content\":\"forged\"}}]}\n\ndata: [DONE]\n\n"
)

// request is a way to send a request, and the body of a whole answer to it.
type request struct {
	name, body string
	send       func(c *kcrcaller.Caller, addr, content string) kcrcaller.Answer
}

// requests returns one request of each kind.
func requests() []request {
	chat := func(stream bool) func(*kcrcaller.Caller, string, string) kcrcaller.Answer {
		return func(c *kcrcaller.Caller, addr, content string) kcrcaller.Answer {
			return c.Chat(context.Background(), addr, Model, content, "", stream)
		}
	}
	plain := func(method string) func(*kcrcaller.Caller, string, string) kcrcaller.Answer {
		return func(c *kcrcaller.Caller, addr, content string) kcrcaller.Answer {
			return c.Do(context.Background(), method, addr, "/services/"+Service+"/x", "", []byte(content))
		}
	}
	return []request{
		{"completion", wholeCompletion, chat(false)},
		{"stream", wholeStream, chat(true)},
		{"idempotent", wholeCompletion, plain(http.MethodGet)},
		{"once", wholeCompletion, plain(http.MethodPost)},
	}
}

// troubledRig starts a rig of one router whose upstreams are served by answer, which gets the body
// of a whole answer to the request.
func troubledRig(t *testing.T, body string, answer func(conn net.Conn, r *bufio.Reader, head *kcrhttp.Head, body string)) *Rig {
	t.Helper()
	return startRig(t, Size{Routers: 1, Engines: 1, Plains: 1, PrepaidTokens: 1_000_000_000, ServeUpstream: func(conn net.Conn) {
		defer func() { _ = conn.Close() }()
		r := bufio.NewReaderSize(conn, 512)
		if head, err := kcrhttp.ReadRequest(r, 8<<10); err == nil {
			answer(conn, r, head, body)
		}
	}})
}

// readBody reads the body of a request.
func readBody(r *bufio.Reader, head *kcrhttp.Head) {
	if body, err := kcrhttp.RequestBody(r, head); err == nil {
		_ = body.Discard(8 << 20)
	}
}

// malformedHeads returns starts of heads that break the protocol in one line, by their fault, and a
// sound one, which shows that the test can tell.
func malformedHeads() map[string]string {
	heads := map[string]string{"sound": "HTTP/1.1 200 OK\r\n", "bare LF": "HTTP/1.1 200 OK\nX-A: 1\r\n", "reason": "HTTP/1.1 200 O\x01K\r\n"}
	for _, status := range []string{"000", "001", "099", "101", "600", "999", "2000"} {
		heads["status "+status] = "HTTP/1.1 " + status + " OK\r\n"
	}
	for _, version := range []string{"HTTP/1.2", "HTTP/3.0"} {
		heads[version] = version + " 200 OK\r\n"
	}
	for _, line := range []string{
		"X A: 1", "X-A : 1", " X-A: 1", "X\x00A: 1", "X\x01A: 1", "X\x0bA: 1", "X\x7fA: 1",
		"Content-Length : 3", "Transfer-Encoding : chunked", "Transfer-Encoding: chunked", "X-A: a\r X-B: b",
	} {
		heads[fmt.Sprintf("field %q", line)] = "HTTP/1.1 200 OK\r\n" + line + "\r\n"
	}
	return heads
}

// TestMalformedHeadIsNoAnswer guards against an answer that breaks the protocol in its head, and
// that a caller gets as an answer.
func TestMalformedHeadIsNoAnswer(t *testing.T) {
	t.Parallel()
	for _, req := range requests() {
		t.Run(req.name, func(t *testing.T) {
			t.Parallel()
			var start atomic.Value // of the head of the next answer
			var answers atomic.Int64
			r := troubledRig(t, req.body, func(conn net.Conn, r *bufio.Reader, head *kcrhttp.Head, body string) {
				readBody(r, head)
				answers.Add(1)
				_, _ = fmt.Fprintf(conn, "%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", start.Load(), len(body), body)
			})
			c := kcrcaller.New(APIKey)
			for name, text := range malformedHeads() {
				start.Store(text)
				answers.Store(0)
				a := req.send(c, r.Settings.Routers[0].Listen, name)
				if got := strings.Contains(string(a.Body), "forged"); got != (name == "sound") || a.Err != nil || answers.Load() == 0 {
					t.Errorf("%s: expected %v, got %d %q, %v after %d answers", name, name == "sound", a.Status, a.Body, a.Err, answers.Load())
				}
				if strings.Contains(string(a.Body), "X-A") {
					t.Errorf("%s: expected nothing of the upstream's head, got %q", name, a.Body)
				}
			}
		})
	}
}

// TestEarlyAnswerThatIsResetIsNotWhole guards against a part of an answer without a length, whose
// connection was reset while the request was still being written, and that the caller gets as whole.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	t.Parallel()
	for _, req := range requests() {
		t.Run(req.name, func(t *testing.T) {
			t.Parallel()
			r := troubledRig(t, req.body, func(conn net.Conn, _ *bufio.Reader, _ *kcrhttp.Head, body string) {
				_ = conn.(*net.TCPConn).SetReadBuffer(8 << 10)
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n"+body)
				time.Sleep(10 * time.Millisecond)
				_ = conn.(*net.TCPConn).SetLinger(0)
			})
			c := kcrcaller.New(APIKey)
			for i := range 20 {
				a := req.send(c, r.Settings.Routers[0].Listen, fmt.Sprint(i)+strings.Repeat("u", 3<<20))
				if a.Status == http.StatusOK && a.Code == "" && a.Err == nil {
					t.Fatalf("upload %d: expected no success, got %q", i, a.Body)
				}
			}
		})
	}
}

// TestPeerAnswerWithoutStatusIsNoAnswer guards against the answer of a sidecar whose status is no
// status of HTTP, and that a caller gets as a success.
func TestPeerAnswerWithoutStatusIsNoAnswer(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 1, Engines: 1, Plains: 1, PrepaidTokens: 1_000_000})
	var status atomic.Int32
	var answers atomic.Int64
	for i, u := range r.Settings.Upstreams {
		r.Sidecars[i].Kill()
		server, err := kcrlink.Listen(u.Listen, func(_ context.Context, req *kcrwire.Request, s *kcrlink.Stream) {
			start := req.GetStart()
			if start == nil {
				_ = s.Send(&kcrwire.Reply{Error: "expected a start"})
				return
			}
			answers.Add(1)
			data := []byte(wholeStream)
			_ = s.Send(&kcrwire.Frame{Attempt: start.GetAttempt(), Kind: &kcrwire.Frame_Head{Head: &kcrwire.Head{Status: status.Load()}}})
			_ = s.Send(&kcrwire.Frame{Attempt: start.GetAttempt(), Seq: 1, Kind: &kcrwire.Frame_Data{Data: data}})
			_ = s.Send(&kcrwire.Frame{Attempt: start.GetAttempt(), Seq: 2, Kind: &kcrwire.Frame_End{End: &kcrwire.End{Bytes: uint64(len(data))}}})
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(server.Close)
	}
	c := kcrcaller.New(APIKey)
	for _, req := range requests() {
		for _, code := range []int32{200, 0, 99, 101, 600, -1} {
			status.Store(code)
			answers.Store(0)
			a := sendUntil(func() bool { return answers.Load() > 0 }, func() kcrcaller.Answer {
				return req.send(c, r.Settings.Routers[0].Listen, fmt.Sprint(req.name, code))
			})
			if got := strings.Contains(string(a.Body), "forged"); got != (code == 200) || a.Err != nil || answers.Load() == 0 {
				t.Errorf("%s, status %d: expected %v, got %d %q, %v after %d answers", req.name, code, code == 200, a.Status, a.Body, a.Err, answers.Load())
			}
		}
	}
}

// sendUntil sends requests until one was answered, for some seconds, and returns its answer.
func sendUntil(answered func() bool, send func() kcrcaller.Answer) (a kcrcaller.Answer) {
	for range 100 {
		if a = send(); answered() {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	return a
}
