package kcrhttp

import (
	"bytes"
	"strconv"
)

// This file splits a stream of server-sent events (text/event-stream) into events. Only
// complete events are returned, since a server can fail in the middle of one.

// Event is a complete event.
type Event struct {
	ID   int64  // number in its id field, or -1 if it has none
	Data []byte // bytes of all its lines, with the empty line that ends it
}

// IsComment tells whether the event has no field, only comments.
func (e Event) IsComment() bool {
	for line := range bytes.Lines(e.Data) {
		if text := bytes.TrimRight(line, "\r\n"); len(text) > 0 && text[0] != ':' {
			return false
		}
	}
	return true
}

// EventSplitter splits a stream into events. Its zero value is ready to use. It is not
// safe for concurrent use.
type EventSplitter struct {
	buf   []byte
	start int // offset in buf of the first event that Next has not returned
}

// Feed appends the next bytes of the stream. It invalidates the data of the events that
// Next has returned.
func (e *EventSplitter) Feed(p []byte) {
	if e.start > 0 {
		e.buf = append(e.buf[:0], e.buf[e.start:]...)
		e.start = 0
	}
	e.buf = append(e.buf, p...)
}

// Next returns the next complete event, and whether there is one. Its data are valid
// until the next call of Feed.
func (e *EventSplitter) Next() (event Event, ok bool) {
	rest := e.buf[e.start:]
	end := eventEnd(rest)
	if end < 0 {
		return Event{}, false
	}
	e.start += end
	return Event{ID: eventID(rest[:end]), Data: rest[:end]}, true
}

// Pending returns the number of bytes that Next has not returned. If Next has no event,
// they belong to an incomplete one.
func (e *EventSplitter) Pending() int { return len(e.buf) - e.start }

// Reset drops the remaining bytes, so that another stream can be fed.
func (e *EventSplitter) Reset() { e.buf, e.start = e.buf[:0], 0 }

// eventEnd returns the offset after the first empty line in b, or -1 if there is none.
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

// eventID returns the number in the first id field of an event that holds one, or -1 if
// there is none.
func eventID(event []byte) int64 {
	for line := range bytes.Lines(event) {
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
