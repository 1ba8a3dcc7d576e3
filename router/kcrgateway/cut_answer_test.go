package kcrgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"kingcuprun.example/link/kcrhttp"
	"kingcuprun.example/router/kcrgateway"
)

// These tests cut the answer of an upstream off after each of its bytes.

// cutAnswer is an answer, with %s for the ID of its request, and its body.
type cutAnswer struct{ name, answer, body string }

func cutAnswers() []cutAnswer {
	const events = "id: 3\ndata: c\n\nid: 4\ndata: d\n\n"
	return []cutAnswer{
		{"length last", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 12\r\n\r\nhello, world", "hello, world"},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Signature: s\r\nX-Id: %s\r\n\r\nhello, world", "hello, world"},
		{"chunks", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n7\r\nhello, \r\n5\r\nworld\r\n0\r\n\r\n", "hello, world"},
		{"events", "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(events) + "0\r\n\r\n", events},
		{"events with a length", fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %%s\r\nX-Signature: s\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n", len(events)) + events, events},
	}
}

// cuttingUpstream answers a request by the first bytes of an answer, as many as the header X-Cut
// tells, and then closes the connection. Without the header it answers whole.
func cuttingUpstream(t *testing.T, answer string) *upstream {
	t.Helper()
	return newUpstream(t, "cutting", func(_ int, req request, conn net.Conn) bool {
		whole, cut := fmt.Sprintf(answer, req.id()), 0
		if _, err := fmt.Sscan(req.head.Get("X-Cut"), &cut); err != nil || cut >= len(whole) {
			_, err = io.WriteString(conn, whole)
			return err == nil
		}
		_, _ = io.WriteString(conn, whole[:cut])
		return false
	})
}

// readToEnd sends a request and returns all bytes until the connection ends, and the error with
// which it does.
func readToEnd(t *testing.T, gw *testGateway, path, protocol, headers string) (data string, err error) {
	t.Helper()
	_, rawRequest := newRequest(path, headers+"Connection: close\r\n", "")
	return sendRaw(t, gw, strings.Replace(rawRequest, "HTTP/1.1", protocol, 1))
}

// completeSuccess reports whether a caller takes what it has read for a whole success, and returns
// the body.
func completeSuccess(data string, readErr error) (body string, ok bool) {
	reader := bufio.NewReader(strings.NewReader(data))
	head, err := kcrhttp.ReadResponse(reader, 8<<10)
	if err != nil || head.Status >= 300 {
		return "", false
	}
	bodyReader, err := kcrhttp.ResponseBody(reader, head, "POST")
	if err != nil {
		return "", false
	}
	content, err := bodyReader.ReadAll(1 << 20)
	return string(content), err == nil && (readErr == nil || !bodyReader.UntilClose())
}

// Guards against an answer that its upstream cut off in the head or the body, and that the caller
// gets as if it were whole.
func TestAnswerCutOffIsNotWhole(t *testing.T) {
	t.Parallel()
	for _, a := range cutAnswers() {
		paths := []string{"/once/", "/safe/"}
		if strings.HasPrefix(a.name, "events") {
			paths = []string{"/stream/", "/resume/", "/resume/begun"}
		}
		for _, path := range paths {
			for _, protocol := range []string{"HTTP/1.1", "HTTP/1.0"} {
				for _, kept := range []bool{false, true} {
					t.Run(fmt.Sprint(a.name, path, protocol, kept), func(t *testing.T) {
						t.Parallel()
						checkCuts(t, a, path, protocol, kept)
					})
				}
			}
		}
	}
}

// checkCuts cuts an answer off after each of its bytes, on connections to the upstream that were
// used before if kept is set.
func checkCuts(t *testing.T, a cutAnswer, path, protocol string, kept bool) {
	t.Helper()
	upstreams, begun := []*upstream{cuttingUpstream(t, a.answer)}, ""
	if strings.HasSuffix(path, "begun") {
		upstreams, begun = append(upstreams, newUpstream(t, "breaking", breakingStream)), "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	}
	gw := newTestGatewayWith(t, kcrgateway.RetryLimits{Window: 10000, RetryRatio: 1, ExtraRetries: 1e6, FirstStart: true}, upstreams...)
	for cut := range len(a.answer) + len("id-1000") {
		if kept {
			_, _ = readToEnd(t, gw, path+"whole", protocol, "")
		}
		data, err := readToEnd(t, gw, path, protocol, fmt.Sprintf("X-Cut: %d\r\n", cut))
		if body, ok := completeSuccess(data, err); ok && body != a.body && body != begun+a.body {
			t.Fatalf("cut after %d bytes: expected no whole success, got %q", cut, data)
		}
	}
	data, err := readToEnd(t, gw, path, protocol, "X-Cut: 100000\r\n")
	if body, ok := completeSuccess(data, err); begun == "" && (!ok || body != a.body) {
		t.Errorf("an answer that is not cut off: expected a success, got %q", data)
	}
}
