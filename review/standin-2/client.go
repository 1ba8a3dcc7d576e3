package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// This file defines the stand-in of a client: one attempt on a new connection. Invariant: an
// outcome is recorded for each attempt.

// attempt is one attempt of a client.
type attempt struct {
	id       string
	host     string
	method   string
	path     string
	key      string
	body     string
	tokens   string // Token-Usage, "" for none
	prefix   string // Prefix-Hash, "" for none
	deadline time.Duration
	patience time.Duration // until the client leaves if its request is not answered, 0 for the deadline
	pause    time.Duration // of a stream, after which the client leaves, 0 for none

	sent    time.Time
	written time.Time // when the request was written to a connection, zero before
	status  int       // 0 without a response
	ended   time.Time // when the response was complete or the connection ended, zero before
	whole   bool      // the response is complete
	signed  string
	payload string
	err     error
	left    bool // the client left
}

// attemptCount numbers attempts.
var attemptCount atomic.Int64

// newID returns a new id of an attempt.
func newID() string { return fmt.Sprintf("%016x", 0x5a00000000000000+uint64(attemptCount.Add(1))) }

// head returns the request up to its body.
func (a *attempt) head() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\n", a.method, a.path, a.host, a.id, a.deadline.Milliseconds(), a.key)
	if a.tokens != "" {
		fmt.Fprintf(&b, "Model: m\r\nToken-Usage: %s\r\nPrefix-Hash: %s\r\n", a.tokens, a.prefix)
	}
	if a.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	}
	b.WriteString("\r\n")
	return b.String()
}

// connectTimeout is how long a client waits for a connection.
const connectTimeout = time.Second

// run makes the attempt at an address of a router.
func (a *attempt) run(l *lab, addr string) {
	a.sent = time.Now()
	l.noteSent(a)
	defer l.noteOutcome(a)
	defer func() { a.ended = time.Now() }()
	conn, err := net.DialTimeout("tcp", addr, connectTimeout)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = conn.Close() }()
	patience := a.deadline
	if a.patience > 0 {
		patience = a.patience
	}
	_ = conn.SetDeadline(a.sent.Add(patience))
	if _, err := io.WriteString(conn, a.head()+a.body); err != nil {
		a.fail(err)
		return
	}
	a.written = time.Now()
	resp, err := http.ReadResponse(bufio.NewReader(pausing{conn, a.pause, a.sent.Add(patience)}), &http.Request{Method: a.method})
	if err != nil {
		a.fail(err)
		return
	}
	if a.pause == 0 {
		_ = conn.SetDeadline(a.sent.Add(a.deadline + answerSlack))
	}
	a.status, a.signed = resp.StatusCode, resp.Header.Get("Server-Signature")
	payload, err := io.ReadAll(resp.Body)
	a.payload = string(payload)
	if err != nil {
		a.fail(err)
		return
	}
	a.whole = true
}

// answerSlack is how long after the deadline an answer that has begun is read.
const answerSlack = 2 * time.Second

// fail records an error; a timeout is that of the client.
func (a *attempt) fail(err error) {
	var timeout net.Error
	a.err = err
	a.left = errors.As(err, &timeout) && timeout.Timeout()
}

// pausing is a connection whose reads end after a pause, and in any case at a time.
type pausing struct {
	net.Conn
	pause time.Duration // 0 for none
	until time.Time
}

// Read implements io.Reader.
func (p pausing) Read(b []byte) (int, error) {
	if p.pause > 0 {
		end := time.Now().Add(p.pause)
		if p.until.Before(end) {
			end = p.until
		}
		_ = p.SetReadDeadline(end)
	}
	return p.Conn.Read(b)
}
