package kcrproof

import (
	"bytes"
	"fmt"

	"kingcuprun.example/kernel/kcranswer"
)

// This file proves that a caller gets its own whole answer, or learns that it did
// not. In the simulation frames are late, duplicated, reordered, missing, or belong
// to another attempt.

// CheckFrameFilter passes the frames of the given number of answers through a frame
// filter and returns the first violation. Complete is the number of answers that came
// through in full.
func CheckFrameFilter(rules kcranswer.FrameFilterRules, pick Pick, rounds int) (complete int, err error) {
	for range rounds {
		ok, err := checkOneAnswer(rules, pick)
		if err != nil {
			return complete, err
		}
		if ok {
			complete++
		}
	}
	return complete, nil
}

// attemptFrames returns the frames of an attempt and the answer that they carry.
func attemptFrames(pick Pick, a kcranswer.Attempt) (frames []kcranswer.Frame, answer []byte) {
	frames = append(frames, kcranswer.Frame{Attempt: a})
	for i := range pick(5) {
		data := bytes.Repeat([]byte{byte('a' + int(a)*7 + i)}, 1+pick(2))
		frames = append(frames, kcranswer.Frame{Attempt: a, Seq: uint64(i + 1), Data: data})
		answer = append(answer, data...)
	}
	frames = append(frames, kcranswer.Frame{Attempt: a, Seq: uint64(len(frames)), End: true, Bytes: uint64(len(answer))})
	return frames, answer
}

// injectFrameFaults drops, repeats and moves frames, and inserts frames of another
// attempt.
func injectFrameFaults(pick Pick, frames []kcranswer.Frame) []kcranswer.Frame {
	others, _ := attemptFrames(pick, 2)
	for range pick(4) {
		i := pick(len(frames))
		switch pick(4) {
		case 0:
			frames = append(frames[:i:i], frames[i+1:]...)
		case 1:
			frames = append(frames[:i+1:i+1], frames[i:]...)
		case 2:
			j := pick(len(frames))
			frames[i], frames[j] = frames[j], frames[i]
		default:
			frames = append(frames[:i:i], append([]kcranswer.Frame{others[pick(len(others))]}, frames[i:]...)...)
		}
		if len(frames) == 0 {
			break
		}
	}
	return frames
}

// checkOneAnswer passes the frames of one answer through a frame filter. The text passed on
// must be a prefix of the answer, and the whole answer if the filter reports it complete.
func checkOneAnswer(rules kcranswer.FrameFilterRules, pick Pick) (complete bool, err error) {
	frames, want := attemptFrames(pick, 1)
	filter := kcranswer.NewFrameFilter(rules, 1)
	var got []byte
	for _, f := range injectFrameFaults(pick, frames) {
		action, _ := filter.Accept(f)
		switch action {
		case kcranswer.Forward:
			got = append(got, f.Data...)
		case kcranswer.Complete:
			if !bytes.Equal(got, want) {
				return false, fmt.Errorf("expected the whole answer %q, got %q", want, got)
			}
			return true, nil
		case kcranswer.Broken:
			return false, nil
		}
		if !bytes.HasPrefix(want, got) {
			return false, fmt.Errorf("expected a part of %q, got %q", want, got)
		}
	}
	return false, nil
}

// FrameFilterMutants returns the mutants of the answer proof.
func FrameFilterMutants() []Mutant[kcranswer.FrameFilterRules] {
	return []Mutant[kcranswer.FrameFilterRules]{
		{"a frame of another attempt is passed on", func(r *kcranswer.FrameFilterRules) {
			r.SameAttempt = func(_, _ kcranswer.Attempt) bool { return true }
		}},
		{"a frame out of order is passed on", func(r *kcranswer.FrameFilterRules) {
			r.InOrder = func(_, _ uint64) bool { return true }
		}},
	}
}
