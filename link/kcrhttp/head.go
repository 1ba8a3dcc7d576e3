// Package kcrhttp reads and writes HTTP/1.1 messages for a forwarder. It is
// strict: whatever two parsers could read in two ways is refused, so that a
// request cannot hide another.
//
// Messages keep the order and the spelling of their fields. Nothing here
// repeats a message or opens a connection by itself.
package kcrhttp

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// This file defines the head of a message and how it is read.

// Field is one header field, spelled as it was sent.
type Field struct {
	Name  string
	Value string
}

// Head is the start line and the header fields of a message.
type Head struct {
	Method string // of a request
	Target string // of a request
	Old    bool   // HTTP/1.0
	Status int    // of a response
	Reason string // of a response
	Fields []Field
}

// Fault is a message that breaks the protocol. Status is what a server answers.
type Fault struct {
	Status int
	Text   string
}

// Error implements error.
func (f *Fault) Error() string { return f.Text }

// ErrQuiet says that the peer closed the connection before the message began.
var ErrQuiet = errors.New("connection closed before a message")

func fault(status int, format string, args ...any) error {
	return &Fault{Status: status, Text: fmt.Sprintf(format, args...)}
}

// Status codes that a broken request gets.
const (
	badRequest  = 400
	tooLarge    = 413
	headTooLong = 431
	noSuchTE    = 501
)

// Get returns the value of the first field of a name, in any case of letters.
func (h *Head) Get(name string) string {
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, name) {
			return h.Fields[i].Value
		}
	}
	return ""
}

// Has tells whether a field of the name is there.
func (h *Head) Has(name string) bool {
	for i := range h.Fields {
		if equalFold(h.Fields[i].Name, name) {
			return true
		}
	}
	return false
}

func equalFold(a, b string) bool { return len(a) == len(b) && strings.EqualFold(a, b) }

// readBlock reads up to the empty line and returns the lines before it as one
// string, each still with its CRLF.
func readBlock(r *bufio.Reader, limit int) (block string, err error) {
	var long []byte
	for {
		line, err := r.ReadSlice('\n')
		if len(long)+len(line) > limit {
			return "", fault(headTooLong, "header: expected at most %d bytes", limit)
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return "", headError(err, len(long)+len(line) > 0)
		}
		start := len(long) == 0 || long[len(long)-1] == '\n'
		long = append(long, line...)
		if err != nil {
			continue
		}
		if len(line) == 2 && line[0] == '\r' && start {
			return string(long[:len(long)-2]), nil
		}
		if len(long) < 2 || long[len(long)-2] != '\r' {
			return "", fault(badRequest, "header: expected CRLF at the end of each line")
		}
	}
}

// headError tells whether a message had begun: one that had can't be read on.
func headError(err error, begun bool) error {
	switch {
	case begun:
		return fmt.Errorf("%w: %s", io.ErrUnexpectedEOF, err.Error())
	case errors.Is(err, io.EOF):
		return ErrQuiet
	default:
		return err
	}
}

// parseFields reads the header fields of a block.
func parseFields(block string) (fields []Field, err error) {
	fields = make([]Field, 0, strings.Count(block, "\n"))
	for len(block) > 0 {
		end := strings.IndexByte(block, '\n')
		line := block[:end-1]
		block = block[end+1:]
		colon := strings.IndexByte(line, ':')
		if colon <= 0 {
			return nil, fault(badRequest, "header: expected NAME: VALUE, got %q", clip(line))
		}
		f := Field{Name: line[:colon], Value: strings.Trim(line[colon+1:], " \t")}
		if !isToken(f.Name) {
			return nil, fault(badRequest, "header: expected a token as name, got %q", clip(f.Name))
		}
		if !isText(f.Value) {
			return nil, fault(badRequest, "header %s: expected visible characters", f.Name)
		}
		fields = append(fields, f)
	}
	return fields, nil
}

const clipLen = 40

func clip(s string) string { return s[:min(len(s), clipLen)] }

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

func isText(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// ReadRequest reads the head of a request of at most limit bytes. Empty lines
// before it are skipped.
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
		return nil, fault(badRequest, "request line: expected METHOD TARGET HTTP/1.1")
	}
	h = &Head{}
	if err := h.requestLine(block[:end-1]); err != nil {
		return nil, err
	}
	if h.Fields, err = parseFields(block[end+1:]); err != nil {
		return nil, err
	}
	return h, nil
}

func (h *Head) requestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return fault(badRequest, "request line: expected METHOD TARGET HTTP/1.1, got %q", clip(line))
	}
	for i := range len(parts[1]) {
		if c := parts[1][i]; c <= ' ' || c >= 0x7f {
			return fault(badRequest, "target: expected visible ASCII, got %q", clip(parts[1]))
		}
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return fault(badRequest, "version: expected HTTP/1.1, got %q", clip(parts[2]))
	}
	h.Method, h.Target, h.Old = parts[0], parts[1], parts[2] == "HTTP/1.0"
	return nil
}

// Limits of a response's status line.
const (
	statusAt  = len("HTTP/1.1 ")
	statusLen = 3
	leastCode = 100
	mostCode  = 599
)

// ReadResponse reads the head of a response, passing over informational ones.
func ReadResponse(r *bufio.Reader, limit int) (h *Head, err error) {
	for {
		block, err := readBlock(r, limit)
		if err != nil {
			return nil, err
		}
		h = &Head{}
		end := strings.IndexByte(block, '\n')
		if end < 1 {
			return nil, fault(badRequest, "status line: expected HTTP/1.1 CODE, got an empty line")
		}
		if err := h.statusLine(block[:end-1]); err != nil {
			return nil, err
		}
		if h.Fields, err = parseFields(block[end+1:]); err != nil {
			return nil, err
		}
		if h.Status >= 200 || h.Status == 101 {
			return h, nil
		}
	}
}

func (h *Head) statusLine(line string) error {
	bad := len(line) < statusAt+statusLen || !strings.HasPrefix(line, "HTTP/1.") || line[statusAt-1] != ' '
	if bad || line[7] != '0' && line[7] != '1' {
		return fault(badRequest, "status line: expected HTTP/1.1 CODE, got %q", clip(line))
	}
	code, err := strconv.Atoi(line[statusAt : statusAt+statusLen])
	if err != nil || code < leastCode || code > mostCode {
		return fault(badRequest, "status line: expected a code of %d to %d, got %q", leastCode, mostCode, clip(line))
	}
	h.Status, h.Old = code, line[7] == '0'
	h.Reason = strings.TrimPrefix(line[statusAt+statusLen:], " ")
	return nil
}

// KeepAlive tells whether the sender of the head leaves its connection open.
func (h *Head) KeepAlive() bool {
	keep := !h.Old
	for i := range h.Fields {
		if !equalFold(h.Fields[i].Name, "Connection") {
			continue
		}
		for option := range strings.SplitSeq(h.Fields[i].Value, ",") {
			switch strings.ToLower(strings.TrimSpace(option)) {
			case "close":
				return false
			case "keep-alive":
				keep = true
			}
		}
	}
	return keep
}

// connectionFields concern one connection only and are never forwarded.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer",
	"Transfer-Encoding", "Content-Length", "Upgrade", "Expect",
}

// Forwarded returns the fields that go on to the next server: all but those
// that concern one connection, those that the Connection field names, and
// those that drop returns true for.
func (h *Head) Forwarded(drop func(name string) bool) []Field {
	out := make([]Field, 0, len(h.Fields))
	for _, f := range h.Fields {
		if !named(connectionFields, f.Name) && !h.connectionNames(f.Name) && !drop(f.Name) {
			out = append(out, f)
		}
	}
	return out
}

func named(list []string, name string) bool {
	for _, n := range list {
		if equalFold(n, name) {
			return true
		}
	}
	return false
}

func (h *Head) connectionNames(name string) bool {
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

// AppendRequest appends a request line and fields, without the empty line.
func AppendRequest(b []byte, method, target string, fields []Field) []byte {
	b = append(b, method...)
	b = append(b, ' ')
	b = append(b, target...)
	b = append(b, " HTTP/1.1\r\n"...)
	return AppendFields(b, fields)
}

// AppendStatus appends a status line and fields, without the empty line.
func AppendStatus(b []byte, status int, reason string, fields []Field) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, reason...)
	b = append(b, "\r\n"...)
	return AppendFields(b, fields)
}

// AppendFields appends header fields.
func AppendFields(b []byte, fields []Field) []byte {
	for _, f := range fields {
		b = AppendField(b, f.Name, f.Value)
	}
	return b
}

// AppendField appends one header field.
func AppendField(b []byte, name, value string) []byte {
	b = append(b, name...)
	b = append(b, ": "...)
	b = append(b, value...)
	return append(b, "\r\n"...)
}

// AppendLength appends the field that gives the length of the body.
func AppendLength(b []byte, n int) []byte {
	b = append(b, "Content-Length: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\r\n"...)
}
