// Package kcrhttp reads and writes HTTP/1.1 messages for a proxy. It rejects each
// message that two parsers could interpret differently, so that a request cannot
// smuggle another one past the proxy.
//
// Messages keep the order of their header fields and the case of the field names. The
// package does not repeat messages and opens no connections.
package kcrhttp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// This file defines the head of a message, its parsing and its encoding. A head
// that breaks the protocol is rejected as a whole.

// Field is a header field. Name and Value are as they were sent, but Value has no
// surrounding white space.
type Field struct {
	Name  string
	Value string
}

// Head is the start line and the header fields of a message.
type Head struct {
	Method   string // empty in a response
	Target   string // empty in a response
	IsHTTP10 bool   // the version is HTTP/1.0
	Status   int    // status code; 0 in a request
	Reason   string // reason phrase; empty in a request
	Fields   []Field
}

// ProtocolError is the error of a message that breaks the protocol or exceeds a limit.
// Status is the status code with which a server answers such a request.
type ProtocolError struct {
	Status int
	Text   string
}

// Error implements error.
func (f *ProtocolError) Error() string { return f.Text }

// ErrClosedBeforeMessage is the error of a connection that the peer closed before it
// sent the first byte of a message.
var ErrClosedBeforeMessage = errors.New("connection closed before a message")

func newProtocolError(status int, format string, args ...any) error {
	return &ProtocolError{Status: status, Text: fmt.Sprintf(format, args...)}
}

// Status codes of a ProtocolError.
const (
	statusBadRequest      = 400
	statusContentTooLarge = 413
	statusHeaderTooLarge  = 431
	statusNotImplemented  = 501
)

// Get returns the value of the first field with a name, or "" if there is none. The
// case of the name does not matter.
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// Has tells whether there is a field with a name. The case of the name does not matter.
func (h *Head) Has(name string) bool {
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, name) {
			return true
		}
	}
	return false
}

func equalFold(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

// readBlock reads lines up to and including an empty line. It returns the lines before
// the empty one as one string, each with its CRLF. limit is the maximum number of
// bytes to read.
func readBlock(r *bufio.Reader, limit int) (block string, err error) {
	var read []byte // bytes read so far
	for {
		line, err := r.ReadSlice('\n')
		if len(read)+len(line) > limit {
			return "", newProtocolError(statusHeaderTooLarge, "header: expected at most %d bytes", limit)
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return "", headError(err, len(read)+len(line) > 0)
		}
		atLineStart := len(read) == 0 || read[len(read)-1] == '\n'
		read = appendDoubling(read, line)
		if err != nil {
			continue
		}
		if len(line) == 2 && line[0] == '\r' && atLineStart {
			return string(read[:len(read)-2]), nil
		}
		if len(read) < 2 || read[len(read)-2] != '\r' {
			return "", newProtocolError(statusBadRequest, "header: expected CRLF at the end of each line")
		}
	}
}

// firstBlock is the first capacity for a block, in bytes.
const firstBlock = 512

// appendDoubling appends a line to a block, whose capacity doubles: append lets large slices grow
// by a quarter, which leaves several times the block as garbage.
func appendDoubling(block, line []byte) []byte {
	if size := len(block) + len(line); size > cap(block) {
		block = append(make([]byte, 0, max(firstBlock, 2*cap(block), size)), block...)
	}
	return append(block, line...)
}

// headError returns the error for a read error within a head. begun tells whether any
// byte of the message was read; if so, the message is truncated.
func headError(err error, begun bool) error {
	switch {
	case begun:
		return fmt.Errorf("%w: %w", io.ErrUnexpectedEOF, err)
	case errors.Is(err, io.EOF):
		return ErrClosedBeforeMessage
	default:
		return err
	}
}

// parseFields parses the header fields of a block; see readBlock.
func parseFields(block string) (fields []Field, err error) {
	fields = make([]Field, 0, strings.Count(block, "\n"))
	for len(block) > 0 {
		end := strings.IndexByte(block, '\n')
		line := block[:end-1]
		block = block[end+1:]
		colon := strings.IndexByte(line, ':')
		if colon <= 0 {
			return nil, newProtocolError(statusBadRequest, "header: expected NAME: VALUE, got %q", truncate(line))
		}
		field := Field{Name: line[:colon], Value: strings.Trim(line[colon+1:], " \t")}
		if !isToken(field.Name) {
			return nil, newProtocolError(statusBadRequest, "header: expected a token as name, got %q", truncate(field.Name))
		}
		if !isText(field.Value) {
			return nil, newProtocolError(statusBadRequest, "header %s: expected visible characters", field.Name)
		}
		fields = append(fields, field)
	}
	return fields, nil
}

// maxQuoted is the maximum length of a part of a message that an error quotes, in
// bytes.
const maxQuoted = 40

func truncate(s string) string { return s[:min(len(s), maxQuoted)] }

// isToken tells whether s is a token as RFC 9110 defines it.
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		case strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0:
		default:
			return false
		}
	}
	return len(s) > 0
}

// isText tells whether s has no control character other than a tab.
func isText(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// ReadRequest reads the head of a request of at most limit bytes. An empty line before
// it is skipped.
func ReadRequest(r *bufio.Reader, limit int) (h *Head, err error) {
	block := ""
	for range 2 {
		if block, err = readBlock(r, limit); err != nil {
			return nil, err
		}
		if block != "" {
			break
		}
	}
	end := strings.IndexByte(block, '\n')
	if end < 1 {
		return nil, newProtocolError(statusBadRequest, "request line: expected METHOD TARGET HTTP/1.1")
	}
	h = &Head{}
	if err := h.parseRequestLine(block[:end-1]); err != nil {
		return nil, err
	}
	if h.Fields, err = parseFields(block[end+1:]); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *Head) parseRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return newProtocolError(statusBadRequest, "request line: expected METHOD TARGET HTTP/1.1, got %q", truncate(line))
	}
	for i := range len(parts[1]) {
		if c := parts[1][i]; c <= ' ' || c >= 0x7f {
			return newProtocolError(statusBadRequest, "target: expected visible ASCII, got %q", truncate(parts[1]))
		}
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return newProtocolError(statusBadRequest, "version: expected HTTP/1.1, got %q", truncate(parts[2]))
	}
	h.Method, h.Target, h.IsHTTP10 = parts[0], parts[1], parts[2] == "HTTP/1.0"
	return nil
}

// Format of a status line.
const (
	statusOffset = len("HTTP/1.1 ")
	statusLen    = 3 // digits
	minStatus    = 100
	maxStatus    = 599
)

// maxInformational is the maximum number of informational responses before a response.
const maxInformational = 8

// switchingProtocols is the status of a response to a request to upgrade the connection. No
// request makes it: Upgrade is a hop-by-hop field.
const switchingProtocols = 101

// ReadResponse reads the head of a response of at most limit bytes. It skips
// informational responses, at most maxInformational.
func ReadResponse(r *bufio.Reader, limit int) (h *Head, err error) {
	for range maxInformational + 1 {
		block, err := readBlock(r, limit)
		if err != nil {
			return nil, err
		}
		if h, err = parseResponse(block); err != nil || !h.isInformational() {
			return h, err
		}
	}
	return nil, newProtocolError(statusBadRequest, "expected at most %d informational responses", maxInformational)
}

// parseResponse parses the head of a response; see readBlock.
func parseResponse(block string) (h *Head, err error) {
	end := strings.IndexByte(block, '\n')
	if end < 1 {
		return nil, newProtocolError(statusBadRequest, "status line: expected HTTP/1.1 CODE, got an empty line")
	}
	h = &Head{}
	if err := h.parseStatusLine(block[:end-1]); err != nil {
		return nil, err
	}
	if h.Fields, err = parseFields(block[end+1:]); err != nil {
		return nil, err
	}
	return h, nil
}

// isInformational reports whether the head of another response follows that of this one.
func (h *Head) isInformational() bool { return h.Status < 200 }

func (h *Head) parseStatusLine(line string) error {
	malformed := len(line) < statusOffset+statusLen || !strings.HasPrefix(line, "HTTP/1.") || line[statusOffset-1] != ' '
	if malformed || line[7] != '0' && line[7] != '1' {
		return newProtocolError(statusBadRequest, "status line: expected HTTP/1.1 CODE, got %q", truncate(line))
	}
	code, reason := line[statusOffset:statusOffset+statusLen], line[statusOffset+statusLen:]
	status, err := strconv.Atoi(code)
	if err != nil || status < minStatus || status > maxStatus || status == switchingProtocols || reason != "" && reason[0] != ' ' {
		return newProtocolError(statusBadRequest, "status line: expected a code of %d to %d other than %d, got %q", minStatus, maxStatus, switchingProtocols, truncate(line))
	}
	if !isText(reason) {
		return newProtocolError(statusBadRequest, "status line: expected visible characters, got %q", truncate(line))
	}
	h.Status, h.IsHTTP10 = status, line[7] == '0'
	h.Reason = strings.TrimPrefix(reason, " ")
	return nil
}

// KeepAlive tells whether the sender of the head keeps the connection open after the
// message.
func (h *Head) KeepAlive() bool {
	keepAlive := !h.IsHTTP10
	for i := range h.Fields {
		if !equalFold(h.Fields[i].Name, "Connection") {
			continue
		}
		for option := range strings.SplitSeq(h.Fields[i].Value, ",") {
			switch strings.ToLower(strings.TrimSpace(option)) {
			case "close":
				return false
			case "keep-alive":
				keepAlive = true
			}
		}
	}
	return keepAlive
}

// hopByHopFields apply to one connection only and are never forwarded.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
	"Transfer-Encoding", "Content-Length", "Upgrade", "Expect",
}

// ForwardedFields returns the fields that a proxy forwards: all but the hop-by-hop fields,
// those that the Connection field names, and those that drop returns true for.
func (h *Head) ForwardedFields(drop func(name string) bool) []Field {
	forwarded := make([]Field, 0, len(h.Fields))
	for _, f := range h.Fields {
		if !containsFold(hopByHopFields, f.Name) && !h.isNamedByConnection(f.Name) && !drop(f.Name) {
			forwarded = append(forwarded, f)
		}
	}
	return forwarded
}

// containsFold tells whether a list contains a name in any case.
func containsFold(names []string, name string) bool {
	for _, n := range names {
		if equalFold(n, name) {
			return true
		}
	}
	return false
}

// isNamedByConnection tells whether a Connection field lists the field with a name.
func (h *Head) isNamedByConnection(name string) bool {
	for _, f := range h.Fields {
		if !equalFold(f.Name, "Connection") {
			continue
		}
		for option := range strings.SplitSeq(f.Value, ",") {
			if equalFold(strings.TrimSpace(option), name) {
				return true
			}
		}
	}
	return false
}

// AppendRequest appends a request line and fields to b, without the empty line that
// ends the head.
func AppendRequest(b []byte, method, target string, fields []Field) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	return AppendFields(b, fields)
}

// AppendResponse appends a status line and fields to b, without the empty line that ends
// the head.
func AppendResponse(b []byte, status int, reason string, fields []Field) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	b = append(b, "\r\n"...)
	return AppendFields(b, fields)
}

// AppendFields appends header fields to b.
func AppendFields(b []byte, fields []Field) []byte {
	for _, f := range fields {
		b = AppendField(b, f.Name, f.Value)
	}
	return b
}

// AppendField appends a header field to b.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendContentLength appends the field Content-Length with a length of n bytes to b.
func AppendContentLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n"...)
}
