// Package kcranswer ensures that a caller receives the complete answer of a single
// attempt, even if the connection between router and sidecar breaks. An AnswerBuffer at the
// sidecar buffers the answer of one run, so that a router that reconnects can read
// it from the start. A FrameFilter at the router accepts only frames of its attempt, in
// order and each once.
package kcranswer

import (
	"fmt"

	"kingcuprun.example/kernel/kcrid"
)

// This file defines FrameFilter, the check of the frames of an answer. Invariants: the
// bytes that are forwarded are a prefix of the answer of one attempt; an answer is
// complete only if its end frame arrived and its byte count equals the number of
// bytes that were forwarded.

// Attempt is the number of an attempt at one request, counted at one router.
type Attempt uint32

// Frame is one message of an answer. The first one, with Seq 0, carries the status
// and the content type, the last one has End set.
type Frame struct {
	Attempt Attempt
	Seq     uint64
	Data    []byte
	End     bool
	Bytes   uint64 // size of the whole answer, set in the end frame
	Tokens  kcrid.Tokens
}

// FrameAction is what the router must do with a frame.
type FrameAction int

// The values of FrameAction.
const (
	Forward  FrameAction = iota + 1 // forward the data to the caller
	Discard                         // drop the frame: it is of another attempt, was forwarded before, or follows the end
	Complete                        // the answer is complete
	Broken                          // frames or bytes are missing: the answer is broken
)

// FrameFilterRules holds decisions of FrameFilter as functions, so that a test can replace
// one and check that the invariants then fail.
type FrameFilterRules struct {
	// SameAttempt tells whether a frame is of the expected attempt.
	SameAttempt func(want, got Attempt) bool
	// InOrder tells whether a frame has the expected sequence.
	InOrder func(want, got uint64) bool
}

// DefaultFrameFilterRules returns the rules that production uses.
func DefaultFrameFilterRules() FrameFilterRules {
	return FrameFilterRules{
		SameAttempt: func(want, got Attempt) bool { return want == got },
		InOrder:     func(want, got uint64) bool { return want == got },
	}
}

// FrameFilter checks the frames of one attempt. It is not safe for concurrent use.
type FrameFilter struct {
	rules     FrameFilterRules
	attempt   Attempt
	nextSeq   uint64 // sequence of the next frame
	forwarded uint64 // bytes forwarded so far
	ended     bool   // the end frame has arrived
}

// NewFrameFilter returns a filter that expects frame 0 of an attempt.
func NewFrameFilter(rules FrameFilterRules, a Attempt) *FrameFilter {
	return &FrameFilter{rules: rules, attempt: a}
}

// Accept returns what to do with a frame. With Broken it returns an error that tells
// what is missing.
func (f *FrameFilter) Accept(frame Frame) (FrameAction, error) {
	switch {
	case f.ended || !f.rules.SameAttempt(f.attempt, frame.Attempt):
		return Discard, nil
	case frame.Seq < f.nextSeq && !f.rules.InOrder(f.nextSeq, frame.Seq):
		return Discard, nil
	case frame.Seq > f.nextSeq && !f.rules.InOrder(f.nextSeq, frame.Seq):
		return Broken, fmt.Errorf("answer: expected frame %d, got %d", f.nextSeq, frame.Seq)
	}
	f.nextSeq++
	if !frame.End {
		f.forwarded += uint64(len(frame.Data))
		return Forward, nil
	}
	f.ended = true
	if f.forwarded != frame.Bytes {
		return Broken, fmt.Errorf("answer: expected %d bytes, got %d", frame.Bytes, f.forwarded)
	}
	return Complete, nil
}
