package kcrhttp_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"

	"kingcuprun.example/link/kcrhttp"
)

func reader(s string) *bufio.Reader { return bufio.NewReaderSize(strings.NewReader(s), 16) }

// limit is the maximum size of a head and of a body in the tests, in bytes.
const limit = 1000

// read reads one request and returns its target, its body, and the bytes after it.
func read(s string) (target, body, rest string, err error) {
	r := reader(s)
	head, err := kcrhttp.ReadRequest(r, limit)
	if err != nil {
		return "", "", "", err
	}
	b, err := kcrhttp.RequestBody(r, head)
	if err != nil {
		return "", "", "", err
	}
	data, err := b.ReadAll(limit)
	if err != nil {
		return "", "", "", err
	}
	following, err := io.ReadAll(r)
	return head.Target, string(data), string(following), err
}

func TestRequests(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ in, target, body, rest string }{
		{"GET /a HTTP/1.1\r\nHost: h\r\n\r\nrest", "/a", "", "rest"},
		{"\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", "/a", "", ""},
		{"POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET", "/a", "abc", "GET"},
		{"POST /a HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: 1\r\n\r\nrest", "/a", "abcde", "rest"},
		{"POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\nrest", "/a", "", "rest"},
	} {
		target, body, rest, err := read(c.in)
		if err != nil || target != c.target || body != c.body || rest != c.rest {
			t.Errorf("%q: expected %q %q %q, got %q %q %q, %v", c.in, c.target, c.body, c.rest, target, body, rest, err)
		}
	}
}

// TestAmbiguousRequests checks that requests that two parsers could interpret
// differently are rejected: they allow request smuggling.
func TestAmbiguousRequests(t *testing.T) {
	t.Parallel()
	for _, in := range []string{
		"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
		"POST /a HTTP/1.1\r\nContent-Length: +3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nContent-Length: 3, 3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nContent-Length: 0x3\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nContent-Length:\r\n\r\nabc",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
		"POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"GET /a HTTP/1.1\r\nHost: h\r\n Transfer-Encoding: chunked\r\n\r\n",
		"GET /a HTTP/1.1\nHost: h\n\n",
		"GET /a HTTP/1.1\r\nHost: h\n\r\n",
		"GET /a HTTP/1.1\r\nA: b\rc\r\n\r\n",
		"GET /a HTTP/1.1\r\nA: b\x00c\r\n\r\n",
		"GET /a\tb HTTP/1.1\r\n\r\n",
		"GET  /a HTTP/1.1\r\n\r\n",
		"GET /a HTTP/1.2\r\n\r\n",
		"GET /a HTTP/2.0\r\n\r\n",
		"GET /a\r\n\r\n",
		": x\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\nabc\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nfffffffff\r\nabc\r\n0\r\n\r\n",
	} {
		_, _, _, err := read(in)
		var f *kcrhttp.ProtocolError
		if !errors.As(err, &f) {
			t.Errorf("%q: expected a fault, got %v", in, err)
		}
	}
}

func TestLimits(t *testing.T) {
	t.Parallel()
	for in, status := range map[string]int{
		"GET /" + strings.Repeat("a", limit) + " HTTP/1.1\r\n\r\n":                                                   431,
		"GET / HTTP/1.1\r\nA: " + strings.Repeat("a", limit):                                                         431,
		"POST / HTTP/1.1\r\nContent-Length: 1001\r\n\r\n":                                                            413,
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3ea\r\n" + strings.Repeat("a", 1002) + "\r\n0\r\n\r\n": 413,
	} {
		_, _, _, err := read(in)
		var f *kcrhttp.ProtocolError
		if !errors.As(err, &f) || f.Status != status {
			t.Errorf("%.30q: expected status %d, got %v", in, status, err)
		}
	}
}

// response reads one response to a POST request and returns its body.
func response(s string) (body string, err error) {
	r := reader(s)
	head, err := kcrhttp.ReadResponse(r, limit)
	if err != nil {
		return "", err
	}
	b, err := kcrhttp.ResponseBody(r, head, "POST")
	if err != nil {
		return "", err
	}
	data, err := b.ReadAll(limit)
	return string(data), err
}

// TestTruncatedResponses checks that a response that ends early or is malformed is
// reported as an error, and that complete responses are not.
func TestTruncatedResponses(t *testing.T) {
	t.Parallel()
	for _, in := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nab",
		"HTTP/1.1 200 OK\r\nContent-",
		"HTTP/1.1 20",
		"garbage\r\n\r\n",
		"HTTP/1.1 999 Odd\r\n\r\n",
		"HTTP/1.1 000 Odd\r\n\r\n",
		"HTTP/1.1 2000 Odd\r\n\r\n",
		"HTTP/1.1 101 Odd\r\n\r\n",
		"HTTP/1.1 200 O\x00K\r\n\r\n",
		"HTTP/1.1 200 O\rK\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX A: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX\x01A: 1\r\n\r\n",
	} {
		if body, err := response(in); err == nil {
			t.Errorf("%q: expected an error, got the body %q", in, body)
		}
	}
	for in, want := range map[string]string{
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc": "abc",
		"HTTP/1.1 200 OK\r\n\r\nuntil the end":                                         "until the end",
		"HTTP/1.1 204 No Content\r\n\r\nxyz":                                           "",
	} {
		if body, err := response(in); err != nil || body != want {
			t.Errorf("%q: expected %q, got %q, %v", in, want, body, err)
		}
	}
}

// TestOnlyCompleteEvents feeds a stream byte by byte and checks that only complete
// events are returned, with their bytes unchanged.
func TestOnlyCompleteEvents(t *testing.T) {
	t.Parallel()
	var events kcrhttp.EventSplitter
	var got []string
	stream := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: c"
	for i := range len(stream) {
		events.Feed([]byte{stream[i]})
		for event, ok := events.Next(); ok; event, ok = events.Next() {
			got = append(got, string(event.Data))
			if want := int64(len(got)); len(got) < 3 && event.ID != want {
				t.Errorf("event %q: expected id %d, got %d", event.Data, want, event.ID)
			}
		}
	}
	if want := stream[:strings.Index(stream, "id: 3")]; strings.Join(got, "") != want {
		t.Fatalf("expected %q, got %q", want, got)
	}
	if events.Pending() == 0 {
		t.Fatal("expected the bytes of the incomplete event to be pending")
	}
}

// TestForwarded checks that hop-by-hop fields, the fields that Connection names, and
// the fields that the caller drops are not forwarded.
func TestForwarded(t *testing.T) {
	t.Parallel()
	head, err := kcrhttp.ReadRequest(reader("GET / HTTP/1.1\r\nHost: h\r\nConnection: close, X-Hop\r\nx-hop: 1\r\nTE: trailers\r\nKey: secret\r\nA: 1\r\n\r\n"), limit)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, f := range head.ForwardedFields(func(name string) bool { return strings.EqualFold(name, "key") }) {
		names = append(names, f.Name)
	}
	if got := strings.Join(names, " "); got != "Host A" || head.KeepAlive() {
		t.Fatalf("expected the fields Host and A and no keep-alive, got %q", got)
	}
}

// FuzzRequest checks that a request that was read and is encoded and read again has the
// same target and body, and that no bytes follow it.
func FuzzRequest(f *testing.F) {
	f.Add("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
	f.Add("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := reader(in)
		head, err := kcrhttp.ReadRequest(r, limit)
		if err != nil {
			return
		}
		b, err := kcrhttp.RequestBody(r, head)
		if err != nil {
			return
		}
		body, err := b.ReadAll(limit)
		if err != nil {
			return
		}
		encoded := kcrhttp.AppendRequest(nil, head.Method, head.Target, head.ForwardedFields(func(string) bool { return false }))
		encoded = kcrhttp.AppendContentLength(encoded, len(body))
		encoded = append(append(encoded, "\r\n"...), body...)
		target, decodedBody, rest, err := read(string(encoded))
		if err != nil || target != head.Target || decodedBody != string(body) || rest != "" {
			t.Fatalf("%q: written as %q, read as %q %q, rest %q, %v", in, encoded, target, decodedBody, rest, err)
		}
	})
}

// FuzzResponse checks that no input makes the reading of a response panic.
func FuzzResponse(f *testing.F) {
	f.Add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n")
	f.Fuzz(func(_ *testing.T, in string) { _, _ = response(in) })
}

// TestReadParts checks that a body is read in parts that are reserved before, whatever its framing,
// and that reading stops at the limit and where nothing is reserved.
func TestReadParts(t *testing.T) {
	t.Parallel()
	const limit = 100 << 10 // of a body, in bytes
	errFull := errors.New("full")
	text := strings.Repeat("x", limit)
	chunked := func(text string, size int) string {
		var b []byte
		for part := range slices.Chunk([]byte(text), size) {
			b = kcrhttp.AppendChunk(b, part)
		}
		return "Transfer-Encoding: chunked\r\n\r\n" + string(b) + kcrhttp.LastChunk
	}
	for _, c := range []struct {
		name, message string
		reserve, read int
		isLong        bool
	}{
		{"length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", limit, text), limit, limit, false},
		{"small chunks", chunked(text, 3), 2 * limit, limit, false},
		{"large chunks", chunked(text, limit), 2 * limit, limit, false},
		{"announced too long", fmt.Sprintf("Content-Length: %d\r\n\r\n", limit+1), 0, 0, true},
		{"sent too long", chunked(text+"x", 1000), 2 * limit, 0, true},
		{"not reserved", chunked(text, 1000), limit / 2, 0, false},
	} {
		r := bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\n" + c.message))
		head, err := kcrhttp.ReadRequest(r, 1<<10)
		if err != nil {
			t.Fatal(err)
		}
		body, err := kcrhttp.RequestBody(r, head)
		if err != nil {
			t.Fatal(err)
		}
		reserved := 0
		parts, err := body.ReadParts(limit, func(size int) error {
			if reserved += size; reserved > c.reserve {
				return errFull
			}
			return nil
		})
		var protocolErr *kcrhttp.ProtocolError
		read := len(bytes.Join(parts, nil))
		switch {
		case read != c.read || read > reserved:
			t.Errorf("%s: expected %d bytes, got %d of %d reserved (%v)", c.name, c.read, read, reserved, err)
		case errors.As(err, &protocolErr) != c.isLong || c.read == 0 && err == nil:
			t.Errorf("%s: expected an error of the limit %v, got %v", c.name, c.isLong, err)
		}
	}
}
