package kcrhttp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
	"strings"
)

// This file defines the reading and the encoding of message bodies. Invariant: a body
// ends with io.EOF only if its framing proves that it is complete; a body that lasts
// until the connection is closed is complete if the peer closed it without an error.
// Where another goroutine writes to the connection, that is for ConfirmClose to tell.

// framing tells how the end of a body is found.
type framing int

const (
	framingNone       framing = iota // there is no body
	framingLength                    // by Content-Length
	framingChunked                   // by Transfer-Encoding: chunked
	framingUntilClose                // by the end of the connection
)

// Body reads the body of one message. It is not safe for concurrent use.
type Body struct {
	r           *bufio.Reader
	framing     framing
	remaining   int64 // bytes left of the body, or of the current chunk
	expectCRLF  bool  // the data of a chunk were read, but not the CRLF after them
	partialLine bool  // an error interrupted the reading of a line of the chunked coding
	done        bool  // the body was read to its end
	err         error // error that every further Read returns

	confirmClose func() error // see ConfirmClose, may be nil
}

// maxLine is the maximum length of a line of the chunked coding that holds the size of
// a chunk or a trailer field, in bytes.
const maxLine = 4096

// maxTrailers is the maximum number of trailer fields after a chunked body.
const maxTrailers = 64

// RequestBody returns the body of a request. It rejects a request that has both
// Content-Length and Transfer-Encoding, or either of them twice.
func RequestBody(r *bufio.Reader, h *Head) (b *Body, err error) {
	length, isChunked, err := parseFraming(h)
	switch {
	case err != nil:
		return nil, err
	case isChunked && h.IsHTTP10:
		return nil, newProtocolError(statusBadRequest, "Transfer-Encoding: expected none in HTTP/1.0")
	case isChunked:
		return &Body{r: r, framing: framingChunked}, nil
	case length <= 0:
		return &Body{r: r, done: true}, nil
	default:
		return &Body{r: r, framing: framingLength, remaining: length}, nil
	}
}

// ResponseBody returns the body of a response to a request with a method.
func ResponseBody(r *bufio.Reader, h *Head, method string) (b *Body, err error) {
	if method == "HEAD" || h.Status == 204 || h.Status == 304 {
		return &Body{r: r, done: true}, nil
	}
	length, isChunked, err := parseFraming(h)
	switch {
	case err != nil:
		return nil, err
	case isChunked:
		return &Body{r: r, framing: framingChunked}, nil
	case length < 0:
		return &Body{r: r, framing: framingUntilClose}, nil
	case length == 0:
		return &Body{r: r, done: true}, nil
	default:
		return &Body{r: r, framing: framingLength, remaining: length}, nil
	}
}

// parseFraming parses Content-Length and Transfer-Encoding. length is -1 without
// Content-Length; isChunked tells whether the body has the chunked coding.
func parseFraming(h *Head) (length int64, isChunked bool, err error) {
	length = -1
	for _, f := range h.Fields {
		switch {
		case equalFold(f.Name, "Content-Length"):
			if length >= 0 {
				return 0, false, newProtocolError(statusBadRequest, "Content-Length: expected it once")
			}
			if length, err = parseLength(f.Value); err != nil {
				return 0, false, err
			}
		case equalFold(f.Name, "Transfer-Encoding"):
			if isChunked {
				return 0, false, newProtocolError(statusBadRequest, "Transfer-Encoding: expected it once")
			}
			if !equalFold(f.Value, "chunked") {
				return 0, false, newProtocolError(statusNotImplemented, "Transfer-Encoding: expected chunked, got %q", truncate(f.Value))
			}
			isChunked = true
		}
	}
	if isChunked && length >= 0 {
		return 0, false, newProtocolError(statusBadRequest, "expected either Content-Length or Transfer-Encoding, got both")
	}
	return length, isChunked, nil
}

// maxDigits is the maximum number of digits of a Content-Length. Any number of that
// many digits fits into an int64.
const maxDigits = 15

func parseLength(s string) (int64, error) {
	if s == "" || len(s) > maxDigits || strings.Trim(s, "0123456789") != "" {
		return 0, newProtocolError(statusBadRequest, "Content-Length: expected a number, got %q", truncate(s))
	}
	return strconv.ParseInt(s, 10, 64)
}

// UntilClose tells whether the body lasts until the connection is closed.
func (b *Body) UntilClose() bool { return b.framing == framingUntilClose }

// ConfirmClose makes the close of the connection end the body only if confirm returns nil, for a
// body that lasts until then. The kernel reports a reset once, to whichever call comes first: if
// that is a write, reads return io.EOF, as after an orderly close.
func (b *Body) ConfirmClose(confirm func() error) { b.confirmClose = confirm }

// Announced returns the bytes that are left of a body whose length is known, else 0.
func (b *Body) Announced() int {
	if b.framing != framingLength {
		return 0
	}
	return int(b.remaining)
}

// Done tells whether the body was read to its end.
func (b *Body) Done() bool { return b.done }

// Read implements io.Reader. It returns the bytes that have arrived and does not wait
// until p is full. It returns io.ErrUnexpectedEOF if the body is truncated.
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

// ClearTimeout clears the error of a read deadline, so that the body can be read
// further, and tells whether that is possible. It is not if the error interrupted the
// reading of a line of the chunked coding, since the bytes already read of the line are
// lost.
func (b *Body) ClearTimeout() bool {
	if !b.partialLine {
		b.err = nil
	}
	return !b.partialLine
}

// read reads the next bytes according to the framing and sets done at the end of the
// body.
func (b *Body) read(p []byte) (n int, err error) {
	switch b.framing {
	case framingLength:
		n, err = b.r.Read(p[:min(int64(len(p)), b.remaining)])
		b.remaining -= int64(n)
		b.done = b.remaining == 0
		return n, err
	case framingUntilClose:
		n, err = b.r.Read(p)
		if !errors.Is(err, io.EOF) {
			return n, err
		}
		if b.confirmClose != nil {
			if err := b.confirmClose(); err != nil {
				return n, err
			}
		}
		b.done = true
		return n, err
	default:
		return b.readChunked(p)
	}
}

func (b *Body) readChunked(p []byte) (n int, err error) {
	for b.remaining == 0 {
		if err := b.nextChunk(); err != nil || b.done {
			return 0, err
		}
	}
	n, err = b.r.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if b.remaining > 0 || err != nil {
		return n, err
	}
	b.expectCRLF = true
	// Reads the end of the body now if it has probably arrived with the last chunk.
	if b.r.Buffered() >= len("\r\n0\r\n\r\n") {
		if err := b.nextChunk(); err != nil {
			b.err = err
		}
	}
	return n, nil
}

// nextChunk reads the size of the next chunk. After the last chunk it skips the
// trailer fields and sets done.
func (b *Body) nextChunk() error {
	if b.expectCRLF {
		if line, err := b.readLine(); err != nil || len(line) > 0 {
			return errorOrProtocolError(err, "chunk: expected CRLF after its data")
		}
		b.expectCRLF = false
	}
	line, err := b.readLine()
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	size = bytes.TrimRight(size, " \t")
	if len(size) == 0 || len(size) > 8 || !isHexadecimal(size) {
		return newProtocolError(statusBadRequest, "chunk: expected a size in hexadecimal, got %q", truncate(string(line)))
	}
	if b.remaining, err = strconv.ParseInt(string(size), 16, 64); err != nil || b.remaining > 0 {
		return err
	}
	for range maxTrailers + 1 {
		line, err := b.readLine()
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.done = true
			return nil
		}
	}
	return newProtocolError(statusBadRequest, "trailers: expected at most %d fields", maxTrailers)
}

func isHexadecimal(digits []byte) bool {
	for _, d := range digits {
		if (d < '0' || d > '9') && (d|0x20 < 'a' || d|0x20 > 'f') {
			return false
		}
	}
	return true
}

// errorOrProtocolError returns err, or a ProtocolError with a text if err is nil.
func errorOrProtocolError(err error, text string) error {
	if err != nil {
		return err
	}
	return newProtocolError(statusBadRequest, "%s", text)
}

// readLine reads a line of the chunked coding and returns it without its CRLF. The line is valid
// until the next read: chunks may be as short as a byte, and copies of their lines would be much
// more than their data.
func (b *Body) readLine() (line []byte, err error) {
	line, err = b.r.ReadSlice('\n')
	switch {
	case err != nil:
		b.partialLine = len(line) > 0
		return nil, err
	case len(line) < 2 || len(line) > maxLine || line[len(line)-2] != '\r':
		return nil, newProtocolError(statusBadRequest, "chunk: expected a line that ends with CRLF")
	}
	return line[:len(line)-2], nil
}

// maxPreallocated is the maximum size for which ReadAll trusts Content-Length, in bytes. A
// peer may promise more than it ever sends.
const maxPreallocated = 64 << 10

// SizeHint returns a capacity for the body: its length if that is known and at most
// maxPreallocated.
func (b *Body) SizeHint() int {
	if b.framing != framingLength {
		return 0
	}
	return int(min(b.remaining+1, maxPreallocated))
}

// Discard reads a body of at most limit bytes to its end and drops it.
func (b *Body) Discard(limit int) error {
	var buf [512]byte
	for read := 0; read <= limit; {
		n, err := b.Read(buf[:])
		read += n
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
	}
	return newProtocolError(statusContentTooLarge, "body: expected at most %d bytes", limit)
}

// CheckLength returns a ProtocolError if the announced length of the body exceeds limit.
func (b *Body) CheckLength(limit int) error {
	if b.framing == framingLength && b.remaining > int64(limit) {
		return newProtocolError(statusContentTooLarge, "body: expected at most %d bytes, got %d", limit, b.remaining)
	}
	return nil
}

// Sizes of the parts of a body, in bytes.
const (
	firstPart = 4 << 10 // if the length of the body is unknown
	maxPart   = maxPreallocated
)

// ReadParts reads a body of at most limit bytes to its end. Before it takes memory for another
// part, it calls reserve with the size of the part, and gives up if that returns an error.
func (b *Body) ReadParts(limit int, reserve func(size int) error) (parts [][]byte, err error) {
	if err := b.CheckLength(limit); err != nil {
		return nil, err
	}
	for read := 0; !b.done; {
		size := min(max(firstPart, read), maxPart, limit+1-read)
		if b.framing == framingLength {
			size = int(min(b.remaining, maxPart))
		}
		if err := reserve(size); err != nil {
			return nil, err
		}
		part, err := b.readPart(make([]byte, 0, size))
		if err != nil {
			return nil, err
		}
		if read += len(part); read > limit {
			return nil, newProtocolError(statusContentTooLarge, "body: expected at most %d bytes", limit)
		}
		parts = append(parts, part)
	}
	return parts, nil
}

// readPart reads until part is full or the body ends.
func (b *Body) readPart(part []byte) ([]byte, error) {
	for len(part) < cap(part) {
		n, err := b.Read(part[len(part):cap(part)])
		part = part[:len(part)+n]
		switch {
		case errors.Is(err, io.EOF):
			return part, nil
		case err != nil:
			return nil, err
		}
	}
	return part, nil
}

// ReadAll reads a body of at most limit bytes to its end. After a read error it returns
// the bytes read before it as well.
func (b *Body) ReadAll(limit int) (data []byte, err error) {
	if err := b.CheckLength(limit); err != nil {
		return nil, err
	}
	data = make([]byte, 0, b.SizeHint())
	for {
		if len(data) == cap(data) {
			data = append(data, make([]byte, 512)...)[:len(data)]
		}
		n, err := b.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if len(data) > limit {
			return nil, newProtocolError(statusContentTooLarge, "body: expected at most %d bytes", limit)
		}
		switch {
		case errors.Is(err, io.EOF):
			return data, nil
		case err != nil:
			return data, err
		}
	}
}

// AppendChunk appends data to b as one chunk, which must not be empty.
func AppendChunk(b, data []byte) []byte {
	b = strconv.AppendInt(b, int64(len(data)), 16)
	b = append(b, "\r\n"...)
	b = append(b, data...)
	return append(b, "\r\n"...)
}

// LastChunk is the end of a chunked body without trailer fields.
const LastChunk = "0\r\n\r\n"
