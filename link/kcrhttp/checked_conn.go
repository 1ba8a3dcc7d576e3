package kcrhttp

import (
	"bytes"
	"net"
)

// This file defines CheckedConn, for clients of a library that accepts heads which break the
// protocol: a status of 000 as 200, blanks in the name of a field, lines that end with LF alone.
// Invariant: the library gets the end of a head only if all of it keeps the protocol.

// CheckedConn is the connection of a client, on which a response whose head breaks the protocol is
// an error of Read. Each Write begins another request, and requests must not be pipelined. It is
// safe for a reader and a writer that take turns.
type CheckedConn struct {
	net.Conn
	inBody bool   // the head of the response has ended
	head   []byte // of the response, as far as it has arrived
	err    error  // with which the next Read fails
}

// maxCheckedHead is the maximum size of the head of a response, in bytes.
const maxCheckedHead = 64 << 10

// NewCheckedConn returns a connection that checks the responses that arrive on c.
func NewCheckedConn(c net.Conn) *CheckedConn { return &CheckedConn{Conn: c} }

// Write implements net.Conn.
func (c *CheckedConn) Write(p []byte) (n int, err error) {
	c.inBody, c.head = false, c.head[:0]
	return c.Conn.Write(p)
}

// Read implements net.Conn. Its error is a ProtocolError if the head of a response breaks the
// protocol.
func (c *CheckedConn) Read(p []byte) (n int, err error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err = c.Conn.Read(p)
	atStart := len(c.head) == 0
	if c.err = c.check(p[:n]); c.err == nil || n == 0 {
		return n, err
	}
	if atStart {
		// fasthttp takes any error before the first byte for a closed connection. One byte
		// ends no head.
		return 1, nil
	}
	return 0, c.err
}

// check checks the next bytes of a response. Each line is checked once it has arrived: a library
// may take other bytes than this package for the end of a head.
func (c *CheckedConn) check(p []byte) error {
	for len(p) > 0 && !c.inBody {
		end := bytes.IndexByte(p, '\n') + 1
		if end == 0 {
			end = len(p)
		}
		lineStart := bytes.LastIndexByte(c.head, '\n') + 1
		c.head = append(c.head, p[:end]...)
		p = p[end:]
		if len(c.head) > maxCheckedHead {
			return newProtocolError(statusHeaderTooLarge, "header: expected at most %d bytes", maxCheckedHead)
		}
		if c.head[len(c.head)-1] != '\n' {
			return nil
		}
		if err := c.checkLine(lineStart); err != nil {
			return err
		}
	}
	return nil
}

// checkLine checks the last line of the head so far, which starts at an offset.
func (c *CheckedConn) checkLine(start int) error {
	line := string(c.head[start:])
	if len(line) < 2 || line[len(line)-2] != '\r' {
		return newProtocolError(statusBadRequest, "header: expected CRLF at the end of each line")
	}
	var h Head
	switch {
	case start == 0:
		return h.parseStatusLine(line[:len(line)-2])
	case line != "\r\n":
		_, err := parseFields(line)
		return err
	}
	return c.endHead()
}

// endHead checks the framing of the body. The head of a response follows an informational one.
func (c *CheckedConn) endHead() error {
	h, err := parseResponse(string(c.head[:len(c.head)-len("\r\n")]))
	if err != nil {
		return err
	}
	if _, err := ResponseBody(nil, h, ""); err != nil {
		return err
	}
	c.inBody = !h.isInformational()
	c.head = c.head[:0]
	return nil
}
