package kcranswer

import (
	"bytes"
	"sync"

	"kingcuprun.example/kernel/kcrid"
)

// This file defines AnswerBuffer, the buffer of the answer of one run, which is kept while
// the call runs and for some time afterwards. Invariants: all readers read the same
// bytes from the start, whatever their number; nothing changes after End.

// AnswerBuffer buffers the answer of one run. It is safe for concurrent use.
type AnswerBuffer struct {
	mu          sync.Mutex
	changed     chan struct{} // closed and replaced at each change
	status      int           // HTTP status, 0 before Head
	contentType string
	parts       [][]byte
	size        uint64 // total bytes of parts
	ended       bool
	err         error // why the answer is not complete, nil if it is
	tokens      kcrid.Tokens
}

// NewAnswerBuffer returns an empty buffer.
func NewAnswerBuffer() *AnswerBuffer {
	return &AnswerBuffer{changed: make(chan struct{})}
}

// signal wakes the readers that wait for a change.
func (b *AnswerBuffer) signal() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Head sets the HTTP status and content type. Calls after the first have no
// effect.
func (b *AnswerBuffer) Head(status int, contentType string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.status != 0 {
		return
	}
	b.status, b.contentType = status, contentType
	b.signal()
}

// Add appends a copy of data to the answer. It has no effect after End.
func (b *AnswerBuffer) Add(data []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.parts = append(b.parts, append([]byte(nil), data...))
	b.size += uint64(len(data))
	b.signal()
}

// End ends the answer, which took this number of tokens. A nil error means that
// the answer is complete. Calls after the first have no effect.
func (b *AnswerBuffer) End(tokens kcrid.Tokens, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.ended {
		return
	}
	b.ended, b.tokens, b.err = true, tokens, err
	b.signal()
}

// Discard drops the answer so far. Readers get no more of it; nothing may be added afterwards.
func (b *AnswerBuffer) Discard() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.parts = nil
}

// Body returns a copy of the answer so far.
func (b *AnswerBuffer) Body() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Join(b.parts, nil)
}

// View is a snapshot of a buffer for a reader that has read some of the parts.
type View struct {
	Status      int
	ContentType string
	Parts       [][]byte // parts that the reader has not read
	Size        uint64   // bytes of the whole answer so far
	Ended       bool
	Err         error // why an ended answer is not complete, nil if it is
	Tokens      kcrid.Tokens
	Changed     <-chan struct{} // closed at the next change
}

// ViewFrom returns a view with all parts from index first on.
func (b *AnswerBuffer) ViewFrom(first int) View {
	b.mu.Lock()
	defer b.mu.Unlock()
	view := View{Status: b.status, ContentType: b.contentType, Size: b.size, Ended: b.ended, Err: b.err, Tokens: b.tokens, Changed: b.changed}
	if first < len(b.parts) {
		view.Parts = b.parts[first:len(b.parts):len(b.parts)]
	}
	return view
}
