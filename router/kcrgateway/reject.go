package kcrgateway

import (
	"errors"
	"net"
	"time"

	"kingcuprun.example/kernel/kcrmemory"
	"kingcuprun.example/link/kcrhttp"
)

// This file reads the bodies of requests and rejects requests that are not read to their end.
// Invariants: a rejected request has not run; the connection ends after its rejection.

// Rejections of requests that are not read to their end.
var (
	errNoRoom    = &kcrhttp.ProtocolError{Status: statusUnavailable, Text: "no memory for the body"}
	errNoPlace   = &kcrhttp.ProtocolError{Status: statusUnavailable, Text: "no place for the connection"}
	errPlaceLost = &kcrhttp.ProtocolError{Status: statusRequestTimeout, Text: "the request made too little progress"}
	errTooSlow   = &kcrhttp.ProtocolError{Status: statusRequestTimeout, Text: "the body did not end in time"}
)

// readBody reads the body of the request, which is held until release.
func (x *exchange) readBody(limit int) error {
	c := x.caller
	body, err := kcrhttp.RequestBody(c.br, x.head)
	if err != nil {
		return err
	}
	if err := body.CheckLength(limit); err != nil {
		return err
	}
	if body.Done() {
		return nil
	}
	if sameFieldName(x.head.Get("Expect"), "100-continue") {
		_, _ = c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	if !c.place.enter(kcrmemory.Sending) {
		return errPlaceLost
	}
	arrived, announced := 0, body.Announced()
	x.body, err = body.ReadParts(limit, func(size int) error {
		c.place.progress(x.bodySize - arrived)
		arrived = x.bodySize
		x.bodySize += size
		return c.place.reservePart(size, max(x.bodySize, announced))
	})
	if err != nil {
		return c.place.bodyError(err)
	}
	x.bodySize = 0
	for _, part := range x.body {
		x.bodySize += len(part)
	}
	return nil
}

// bodyError returns the rejection for an error of reading a body.
func (p *place) bodyError(err error) error {
	var timeout net.Error
	switch {
	case p.holder.Lost():
		return errPlaceLost
	case errors.As(err, &timeout) && timeout.Timeout():
		return errTooSlow
	default:
		return err
	}
}

// release returns the memory that is held for the exchange.
func (x *exchange) release() {
	c := x.caller
	if cap(c.writeBuf) > maxKeptBuffer {
		c.writeBuf = nil
	}
	c.place.behind = false
	c.place.returnAll()
}

// maxKeptBuffer is the largest buffer that a connection keeps between requests, in bytes.
const maxKeptBuffer = 16 << 10

// rejectMalformed responds to a request that violates the protocol or a size
// limit. The connection ends, because the start of the next request is unknown.
func (c *callerConn) rejectMalformed(err error) {
	var protocolErr *kcrhttp.ProtocolError
	if !errors.As(err, &protocolErr) {
		return
	}
	g := c.place.gateway
	buf := kcrhttp.AppendResponse(c.writeBuf[:0], protocolErr.Status, reasonPhrase(protocolErr.Status), nil)
	if protocolErr.Status == statusUnavailable || protocolErr.Status == statusRequestTimeout {
		buf = kcrhttp.AppendField(buf, g.headerNames.RetryAfter, g.inSeconds(jitter(retryAfterMedium)))
	}
	buf = kcrhttp.AppendField(buf, "Connection", "close")
	buf = kcrhttp.AppendContentLength(buf, len(protocolErr.Text))
	buf = append(buf, "\r\n"...)
	// The connection is closed even if this fails.
	_ = c.conn.SetWriteDeadline(time.Now().Add(rejectTimeout))
	_, _ = c.conn.Write(append(buf, protocolErr.Text...))
}

// Limits of the time and the bytes for which a connection stays open after a rejection, so that
// its caller gets the response: closing a connection with unread bytes resets it.
const (
	rejectTimeout  = 100 * time.Millisecond
	lingerTimeout  = 300 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// rejectBody responds to a request of which the body was not read to its end.
func (c *callerConn) rejectBody(err error) {
	c.place.returnAll()
	c.place.noteRejection(err)
	c.rejectMalformed(err)
	conn, ok := c.conn.(*net.TCPConn)
	if !ok || c.place.gateway.memory.IsFull() || conn.CloseWrite() != nil {
		return
	}
	c.place.enter(kcrmemory.Silent)
	_ = conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	for read := 0; read < maxLingerBytes; {
		n, err := c.br.Discard(max(1, c.br.Buffered()))
		if err != nil {
			return
		}
		read += n
	}
}
