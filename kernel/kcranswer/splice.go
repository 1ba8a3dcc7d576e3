// Package kcranswer keeps a caller's answer whole: a Tape at the sidecar holds
// the frames of one attempt so that a retry can rejoin it, and a Splice at the
// router accepts frames of that attempt only, in order, each once.
package kcranswer

import (
	"fmt"

	"kingcuprun.example/kernel/kcrid"
)

// This file defines the splice. Invariants: the bytes passed on are a prefix
// of the bytes of one attempt; an answer is whole only if its end frame
// arrived and counts as many bytes as were passed on.

// Attempt numbers the tries of one request at one router.
type Attempt uint32

// Frame is a part of an answer. Seq starts at 0 with the head.
type Frame struct {
	Attempt Attempt
	Seq     uint64
	Data    []byte
	End     bool
	Bytes   uint64 // of the whole answer, in the end frame
	Tokens  kcrid.Tokens
}

// Step says what to do with a frame.
type Step int

// The steps.
const (
	Pass  Step = iota + 1 // pass the data on
	Skip                  // drop it: it belongs to another attempt, or came before
	Whole                 // the answer is whole
	Gap                   // frames are missing: the answer is broken
)

// SpliceRules are the decisions of a splice that a test can take out.
type SpliceRules struct {
	SameAttempt func(want, got Attempt) bool
	InOrder     func(want, got uint64) bool
}

// DefaultSpliceRules returns the rules that hold in production.
func DefaultSpliceRules() SpliceRules {
	return SpliceRules{
		SameAttempt: func(want, got Attempt) bool { return want == got },
		InOrder:     func(want, got uint64) bool { return want == got },
	}
}

// Splice checks the frames of one attempt. It is not safe for concurrent use.
type Splice struct {
	rules   SpliceRules
	attempt Attempt
	next    uint64
	passed  uint64
	ended   bool
}

// NewSplice returns a splice for an attempt of which nothing has arrived.
func NewSplice(rules SpliceRules, a Attempt) *Splice {
	return &Splice{rules: rules, attempt: a}
}

// Take says what to do with a frame.
func (s *Splice) Take(f Frame) (Step, error) {
	switch {
	case s.ended || !s.rules.SameAttempt(s.attempt, f.Attempt):
		return Skip, nil
	case f.Seq < s.next && !s.rules.InOrder(s.next, f.Seq):
		return Skip, nil
	case f.Seq > s.next && !s.rules.InOrder(s.next, f.Seq):
		return Gap, fmt.Errorf("answer: expected frame %d, got %d", s.next, f.Seq)
	}
	s.next++
	if !f.End {
		s.passed += uint64(len(f.Data))
		return Pass, nil
	}
	s.ended = true
	if s.passed != f.Bytes {
		return Gap, fmt.Errorf("answer: expected %d bytes, got %d", f.Bytes, s.passed)
	}
	return Whole, nil
}
