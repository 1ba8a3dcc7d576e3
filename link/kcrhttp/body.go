package kcrhttp

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// This file defines how the body of a message is framed. Invariant: a body
// ends with io.EOF only where the framing proves that it is whole; a body that
// lasts until the connection ends is whole if the connection ended in order.

type framing int

const (
	none framing = iota
	sized
	chunked
	untilClose
)

// Body reads the body of one message.
type Body struct {
	r       *bufio.Reader
	framing framing
	left    int64 // of the message, or of the chunk
	inChunk bool  // the CRLF after a chunk is due
	torn    bool  // a line of the framing was read in part
	done    bool
	err     error
}

// maxLine bounds a line of a chunk's size or of a trailer, in bytes.
const maxLine = 4096

// RequestBody returns the body of a request. A request with both kinds of
// framing, or with two lengths, is refused.
func RequestBody(r *bufio.Reader, h *Head) (b *Body, err error) {
	length, coded, err := lengths(h)
	switch {
	case err != nil:
		return nil, err
	case coded && h.Old:
		return nil, fault(badRequest, "Transfer-Encoding: expected none in HTTP/1.0")
	case coded:
		return &Body{r: r, framing: chunked}, nil
	case length <= 0:
		return &Body{r: r, done: true}, nil
	default:
		return &Body{r: r, framing: sized, left: length}, nil
	}
}

// ResponseBody returns the body of a response to a request of a method.
func ResponseBody(r *bufio.Reader, h *Head, method string) (b *Body, err error) {
	if method == "HEAD" || h.Status == 204 || h.Status == 304 {
		return &Body{r: r, done: true}, nil
	}
	length, coded, err := lengths(h)
	switch {
	case err != nil:
		return nil, err
	case coded:
		return &Body{r: r, framing: chunked}, nil
	case length < 0:
		return &Body{r: r, framing: untilClose}, nil
	case length == 0:
		return &Body{r: r, done: true}, nil
	default:
		return &Body{r: r, framing: sized, left: length}, nil
	}
}

// lengths reads the framing fields. The length is -1 if there is none.
func lengths(h *Head) (length int64, coded bool, err error) {
	length = -1
	for _, f := range h.Fields {
		switch {
		case equalFold(f.Name, "Content-Length"):
			if length >= 0 {
				return 0, false, fault(badRequest, "Content-Length: expected it once")
			}
			if length, err = parseLength(f.Value); err != nil {
				return 0, false, err
			}
		case equalFold(f.Name, "Transfer-Encoding"):
			if coded {
				return 0, false, fault(badRequest, "Transfer-Encoding: expected it once")
			}
			if !equalFold(f.Value, "chunked") {
				return 0, false, fault(noSuchTE, "Transfer-Encoding: expected chunked, got %q", clip(f.Value))
			}
			coded = true
		}
	}
	if coded && length >= 0 {
		return 0, false, fault(badRequest, "expected either Content-Length or Transfer-Encoding, got both")
	}
	return length, coded, nil
}

const maxDigits = 15

func parseLength(s string) (int64, error) {
	if s == "" || len(s) > maxDigits || strings.Trim(s, "0123456789") != "" {
		return 0, fault(badRequest, "Content-Length: expected a number, got %q", clip(s))
	}
	return strconv.ParseInt(s, 10, 64)
}

// UntilClose tells whether the body lasts until the connection ends.
func (b *Body) UntilClose() bool { return b.framing == untilClose }

// Done tells whether the body was read to its end.
func (b *Body) Done() bool { return b.done }

// Read implements io.Reader. It returns what has arrived and does not wait for
// p to be full.
func (b *Body) Read(p []byte) (n int, err error) {
	if b.err != nil {
		return 0, b.err
	}
	if b.done {
		return 0, io.EOF
	}
	n, err = b.read(p)
	switch {
	case b.done:
		b.err = nil
		return n, nil
	case errors.Is(err, io.EOF):
		err = io.ErrUnexpectedEOF
	}
	b.err = err
	return n, err
}

// Again lets the body be read on after a deadline has passed, and tells whether
// that is possible: it is not where a line of the framing was read in part.
func (b *Body) Again() bool {
	if !b.torn {
		b.err = nil
	}
	return !b.torn
}

func (b *Body) read(p []byte) (n int, err error) {
	switch b.framing {
	case sized:
		n, err = b.r.Read(p[:min(int64(len(p)), b.left)])
		b.left -= int64(n)
		b.done = b.left == 0
		return n, err
	case untilClose:
		n, err = b.r.Read(p)
		b.done = errors.Is(err, io.EOF)
		return n, err
	default:
		return b.readChunked(p)
	}
}

func (b *Body) readChunked(p []byte) (n int, err error) {
	for b.left == 0 {
		if err := b.nextChunk(); err != nil || b.done {
			return 0, err
		}
	}
	n, err = b.r.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.left > 0 || err != nil {
		return n, err
	}
	b.inChunk = true
	// The end of the body often came with its last chunk.
	if b.r.Buffered() >= len("\r\n0\r\n\r\n") {
		if err := b.nextChunk(); err != nil {
			b.err = err
		}
	}
	return n, nil
}

// nextChunk reads the size of the next chunk, and the trailer after the last.
func (b *Body) nextChunk() error {
	if b.inChunk {
		if line, err := b.line(); err != nil || line != "" {
			return orFault(err, "chunk: expected CRLF after its data")
		}
		b.inChunk = false
	}
	line, err := b.line()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	size = strings.TrimRight(size, " \t")
	if size == "" || len(size) > 8 || strings.Trim(size, "0123456789abcdefABCDEF") != "" {
		return fault(badRequest, "chunk: expected a size in hexadecimal, got %q", clip(line))
	}
	if b.left, err = strconv.ParseInt(size, 16, 64); err != nil || b.left > 0 {
		return err
	}
	for {
		line, err := b.line()
		if err != nil {
			return err
		}
		if line == "" {
			b.done = true
			return nil
		}
	}
}

func orFault(err error, text string) error {
	if err != nil {
		return err
	}
	return fault(badRequest, "%s", text)
}

func (b *Body) line() (string, error) {
	line, err := b.r.ReadSlice('\n')
	switch {
	case err != nil:
		b.torn = len(line) > 0
		return "", err
	case len(line) < 2 || len(line) > maxLine || line[len(line)-2] != '\r':
		return "", fault(badRequest, "chunk: expected a line that ends with CRLF")
	}
	return string(line[:len(line)-2]), nil
}

// ReadAll reads a whole body of at most limit bytes.
func (b *Body) ReadAll(limit int) (data []byte, err error) {
	if b.framing == sized && b.left > int64(limit) {
		return nil, fault(tooLarge, "body: expected at most %d bytes, got %d", limit, b.left)
	}
	if b.framing == sized {
		data = make([]byte, 0, b.left+1)
	}
	for {
		if len(data) == cap(data) {
			data = append(data, make([]byte, 512)...)[:len(data)]
		}
		n, err := b.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if len(data) > limit {
			return nil, fault(tooLarge, "body: expected at most %d bytes", limit)
		}
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
	}
}

// AppendChunk appends data as one chunk.
func AppendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// LastChunk ends a chunked body.
const LastChunk = "0\r\n\r\n"
