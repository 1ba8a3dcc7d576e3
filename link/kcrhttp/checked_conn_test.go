package kcrhttp_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"testing"

	"github.com/valyala/fasthttp"

	"kingcuprun.example/link/kcrhttp"
)

// answering returns a client of fasthttp whose requests are answered by the given texts, in turn,
// one byte or all bytes at a time.
func answering(t *testing.T, byteByByte bool, answers ...string) *fasthttp.HostClient {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	go func() {
		r := bufio.NewReader(far)
		for _, answer := range answers {
			if _, err := kcrhttp.ReadRequest(r, limit); err != nil {
				return
			}
			size := len(answer)
			if byteByByte {
				size = 1
			}
			for ; len(answer) > 0; answer = answer[min(size, len(answer)):] {
				if _, err := io.WriteString(far, answer[:min(size, len(answer))]); err != nil {
					return
				}
			}
		}
	}()
	conn := kcrhttp.NewCheckedConn(near)
	return &fasthttp.HostClient{
		Addr: "h", MaxIdemponentCallAttempts: 1, Dial: func(string) (net.Conn, error) { return conn, nil },
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

// get sends a request and returns the body of the answer.
func get(client *fasthttp.HostClient) (body string, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://h/")
	err = client.Do(req, resp)
	return string(resp.Body()), err
}

const soundAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"

// TestCheckedConn guards against answers that a library accepts although their head breaks the
// protocol, on a new and on a kept connection, and against sound ones that are not passed on.
func TestCheckedConn(t *testing.T) {
	t.Parallel()
	for _, byteByByte := range []bool{false, true} {
		for _, malformed := range []string{
			"HTTP/1.1 000 OK\r\nContent-Length: 6\r\n\r\nforged",
			"HTTP/1.1 001 OK\r\nContent-Length: 6\r\n\r\nforged",
			"HTTP/1.1 101 OK\r\nContent-Length: 6\r\n\r\nforged",
			"HTTP/1.1 999 OK\r\nContent-Length: 6\r\n\r\nforged",
			"HTTP/7.1 200 OK\r\nContent-Length: 6\r\n\r\nforged",
			"HTTP/1.1 200 O\x01K\r\nContent-Length: 6\r\n\r\nforged",
			"HTTP/1.1 200 OK\nContent-Length: 6\r\n\r\nforged",
			"HTTP/1.1 200 OK\r\nContent-Length: 6\n\r\nforged",
			"HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 6\r\n\r\nforged",
			"HTTP/1.1 200 OK\r\nX-A : 1\r\nContent-Length: 6\r\n\r\nforged",
			"HTTP/1.1 200 OK\r\nX\x01A: 1\r\nContent-Length: 6\r\n\r\nforged",
			"HTTP/1.1 200 OK\r\nX-A: 1\r\n 2\r\nContent-Length: 6\r\n\r\nforged",
			"HTTP/1.1 200 OK\r\nContent-Length : 6\r\n\r\nforged",
			"HTTP/1.1 200 OK\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nforged\r\n0\r\n\r\n",
			"HTTP/1.1 100 Continue\r\nX A: 1\r\n\r\n" + soundAnswer,
			"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 6\r\n\r\nforged",
		} {
			var protocolErr *kcrhttp.ProtocolError
			if body, err := get(answering(t, byteByByte, malformed)); !errors.As(err, &protocolErr) {
				t.Errorf("%q: expected a fault, got %q, %v", malformed, body, err)
			}
			client := answering(t, byteByByte, soundAnswer, malformed)
			if body, err := get(client); err != nil || body != "sound" {
				t.Fatalf("expected the answer, got %q, %v", body, err)
			}
			if body, err := get(client); !errors.As(err, &protocolErr) {
				t.Errorf("%q on a kept connection: expected a fault, got %q, %v", malformed, body, err)
			}
		}
		if body, err := get(answering(t, byteByByte, "\r\n"+soundAnswer)); err == nil {
			t.Errorf("an empty line before the head: expected an error, got %q", body)
		}
		client := answering(t, byteByByte, soundAnswer, "HTTP/1.1 100 Continue\r\n\r\n"+soundAnswer, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nsound\r\n0\r\n\r\n", soundAnswer)
		for range 4 {
			if body, err := get(client); err != nil || body != "sound" {
				t.Errorf("expected the answer, got %q, %v", body, err)
			}
		}
	}
}
