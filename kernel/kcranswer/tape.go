package kcranswer

import (
	"sync"

	"kingcuprun.example/kernel/kcrid"
)

// This file defines the tape: the answer of one run, kept while it runs and
// for a time afterwards. Any number of readers follow it from the start, and
// all read the same bytes.

// Tape is the answer of one run. It is safe for concurrent use.
type Tape struct {
	mu     sync.Mutex
	wake   chan struct{}
	status int
	kind   string
	parts  [][]byte
	size   uint64
	ended  bool
	err    error
	tokens kcrid.Tokens
}

// NewTape returns an empty tape.
func NewTape() *Tape {
	return &Tape{wake: make(chan struct{})}
}

func (t *Tape) signal() {
	close(t.wake)
	t.wake = make(chan struct{})
}

// Head records the status and content type. Only the first call counts.
func (t *Tape) Head(status int, kind string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.status != 0 {
		return
	}
	t.status, t.kind = status, kind
	t.signal()
}

// Add appends a copy of data.
func (t *Tape) Add(data []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.parts = append(t.parts, append([]byte(nil), data...))
	t.size += uint64(len(data))
	t.signal()
}

// End closes the tape. A nil error means that the answer is whole.
func (t *Tape) End(tokens kcrid.Tokens, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	t.ended, t.tokens, t.err = true, tokens, err
	t.signal()
}

// View is what a reader finds at a position.
type View struct {
	Status int
	Kind   string
	Parts  [][]byte
	Size   uint64
	Ended  bool
	Err    error
	Tokens kcrid.Tokens
	Wake   <-chan struct{} // closed at the next change
}

// From returns the state with the parts from a position on.
func (t *Tape) From(part int) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := View{Status: t.status, Kind: t.kind, Size: t.size, Ended: t.ended, Err: t.err, Tokens: t.tokens, Wake: t.wake}
	if part < len(t.parts) {
		v.Parts = t.parts[part:len(t.parts):len(t.parts)]
	}
	return v
}
