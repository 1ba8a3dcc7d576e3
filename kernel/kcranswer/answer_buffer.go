package kcranswer

import (
	"sync"

	"kingcuprun.example/kernel/kcrid"
)

// This file defines Tape, the buffer of the answer of one run, which is kept while
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

// NewAnswerBuffer returns an empty tape.
func NewAnswerBuffer() *AnswerBuffer {
	return &AnswerBuffer{changed: make(chan struct{})}
}

// signal wakes the readers that wait for a change.
func (t *AnswerBuffer) signal() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Head sets the HTTP status and content type. Calls after the first have no
// effect.
func (t *AnswerBuffer) Head(status int, contentType string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.status != 0 {
		return
	}
	t.status, t.contentType = status, contentType
	t.signal()
}

// Add appends a copy of data to the answer. It has no effect after End.
func (t *AnswerBuffer) Add(data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.parts = append(t.parts, append([]byte(nil), data...))
	t.size += uint64(len(data))
	t.signal()
}

// End ends the answer, which took this number of tokens. A nil error means that
// the answer is complete. Calls after the first have no effect.
func (t *AnswerBuffer) End(tokens kcrid.Tokens, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.ended, t.tokens, t.err = true, tokens, err
	t.signal()
}

// View is a snapshot of a tape for a reader that has read some of the parts.
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
func (t *AnswerBuffer) ViewFrom(first int) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	view := View{Status: t.status, ContentType: t.contentType, Size: t.size, Ended: t.ended, Err: t.err, Tokens: t.tokens, Changed: t.changed}
	if first < len(t.parts) {
		view.Parts = t.parts[first:len(t.parts):len(t.parts)]
	}
	return view
}
