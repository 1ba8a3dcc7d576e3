package kcranswer

import (
	"errors"
	"fmt"
	"sync"
)

// This file defines Memory, which bounds what a process holds of answers that are still arriving.
// An upstream may send bytes without end. Invariants: no answer holds more than maxAnswer; where
// all answers together hold too much, the largest one ends, so that none of the others pays for it.

// Limits of answers.
const (
	// maxAnswer is the maximum size of an answer, in bytes.
	maxAnswer = 8 << 20
	// maxHeld is the maximum size of all answers that arrive at a process, in bytes.
	maxHeld = 32 << 20
	// partOverhead is what each part of an answer takes besides its data, in bytes.
	partOverhead = 64
)

// ErrTooLarge is the error of an answer that is larger than any may be.
var ErrTooLarge = fmt.Errorf("the answer is larger than %d bytes", maxAnswer)

// ErrNoMemory is the error of an answer that was the largest one when there was no memory left.
var ErrNoMemory = errors.New("too many large answers at once")

// Memory counts what the answers of a process hold. It is safe for concurrent use.
type Memory struct {
	mu     sync.Mutex
	shares map[*Share]bool // of answers that have not ended
	held   int             // bytes of shares
}

// NewMemory returns a memory without answers.
func NewMemory() *Memory { return &Memory{shares: map[*Share]bool{}} }

// Share is what one answer holds.
type Share struct {
	memory *Memory
	end    func()

	// Protected by Memory.mu.
	size  int // of the answer so far, with the overhead of its parts
	held  int // the part of size that is kept
	isOut bool
}

// Open begins an answer. If it has to end since it is the largest one, end is called in a goroutine
// of its own, and has to end the reading of the answer.
func (m *Memory) Open(end func()) *Share {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := &Share{memory: m, end: end}
	m.shares[s] = true
	return s
}

// Pass counts a part of n bytes that is passed on and not kept.
func (s *Share) Pass(n int) error {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	return s.grow(n)
}

// Keep counts a part of n bytes that is kept until the end of the answer.
func (s *Share) Keep(n int) error {
	m := s.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.isOut {
		return ErrNoMemory
	}
	if err := s.grow(n); err != nil {
		return err
	}
	s.held += n + partOverhead
	if m.held += n + partOverhead; m.held <= maxHeld {
		return nil
	}
	largest := m.largest()
	largest.close()
	if largest.isOut = true; largest == s {
		return ErrNoMemory
	}
	go largest.end()
	return nil
}

// grow counts a part of n bytes.
func (s *Share) grow(n int) error {
	if s.size += n + partOverhead; s.size > maxAnswer {
		return ErrTooLarge
	}
	return nil
}

// Err returns ErrNoMemory if the answer has to end, else nil.
func (s *Share) Err() error {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	if s.isOut {
		return ErrNoMemory
	}
	return nil
}

// Close ends an answer. What is kept of it does not count any more.
func (s *Share) Close() {
	s.memory.mu.Lock()
	defer s.memory.mu.Unlock()
	s.close()
}

func (s *Share) close() {
	if s.memory.shares[s] {
		delete(s.memory.shares, s)
		s.memory.held -= s.held
	}
}

// largest returns the answer that holds the most.
func (m *Memory) largest() (largest *Share) {
	for s := range m.shares {
		if largest == nil || s.held > largest.held {
			largest = s
		}
	}
	return largest
}
