package kcrhttp

import (
	"bytes"
	"strconv"
)

// This file defines the splitting of an event stream (text/event-stream) into
// events. Only whole events leave the splitter, since a server may break off
// in the middle of one.

// Event is one whole event, with the empty line that ends it. ID is its id
// field, or -1.
type Event struct {
	ID   int64
	Data []byte
}

// Events splits a stream into events.
type Events struct {
	buf  []byte
	from int
}

// Feed adds bytes of the stream.
func (e *Events) Feed(p []byte) {
	if e.from > 0 {
		e.buf = append(e.buf[:0], e.buf[e.from:]...)
		e.from = 0
	}
	e.buf = append(e.buf, p...)
}

// Next returns the next whole event; its data are valid until the next Feed.
func (e *Events) Next() (ev Event, ok bool) {
	rest := e.buf[e.from:]
	end := eventEnd(rest)
	if end < 0 {
		return Event{}, false
	}
	e.from += end
	return Event{ID: eventID(rest[:end]), Data: rest[:end]}, true
}

// Pending returns the number of bytes of an event that has not ended.
func (e *Events) Pending() int { return len(e.buf) - e.from }

// Reset drops what is left of a stream that broke off.
func (e *Events) Reset() { e.buf, e.from = e.buf[:0], 0 }

func eventEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf >= 0 && (crlf < 0 || lf < crlf):
		return lf + len("\n\n")
	case crlf >= 0:
		return crlf + len("\r\n\r\n")
	default:
		return -1
	}
}

func eventID(ev []byte) int64 {
	for line := range bytes.Lines(ev) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		if id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64); err == nil {
			return id
		}
	}
	return -1
}
