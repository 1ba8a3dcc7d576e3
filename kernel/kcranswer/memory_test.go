package kcranswer_test

import (
	"errors"
	"testing"
	"time"

	"kingcuprun.example/kernel/kcranswer"
)

const megabyte = 1 << 20

// fill keeps parts of a size until an error.
func fill(s *kcranswer.Share, part int) (parts int, err error) {
	for ; ; parts++ {
		if err := s.Keep(part); err != nil {
			return parts, err
		}
	}
}

// TestAnswerIsBounded checks that no answer is larger than any may be, whether it is kept or passed
// on, and in small parts, each of which takes more than its data.
func TestAnswerIsBounded(t *testing.T) {
	t.Parallel()
	m := kcranswer.NewMemory()
	for part, most := range map[int]int{megabyte: 8, 1: megabyte / 4} {
		s := m.Open(func() {})
		if parts, err := fill(s, part); !errors.Is(err, kcranswer.ErrTooLarge) || parts == 0 || parts > most {
			t.Errorf("parts of %d bytes: expected at most %d, got %d, %v", part, most, parts, err)
		}
		s.Close()
	}
	s := m.Open(func() {})
	defer s.Close()
	for range 7 {
		if err := s.Pass(megabyte); err != nil {
			t.Fatal(err)
		}
	}
	if err := s.Pass(megabyte); !errors.Is(err, kcranswer.ErrTooLarge) {
		t.Errorf("expected %v, got %v", kcranswer.ErrTooLarge, err)
	}
}

// TestLargestAnswerEnds checks that the largest answer ends when there is no memory left, also if
// nothing more comes of it, and that small ones go on.
func TestLargestAnswerEnds(t *testing.T) {
	t.Parallel()
	m := kcranswer.NewMemory()
	small := m.Open(func() { t.Error("expected the small answer to go on") })
	ended := make(chan struct{})
	largest := m.Open(func() { close(ended) })
	if err := largest.Keep(7 * megabyte); err != nil {
		t.Fatal(err)
	}
	for range 7 {
		s := m.Open(func() { t.Error("expected the largest answer to end first") })
		defer s.Close()
		if err := s.Keep(5 * megabyte); err != nil {
			t.Fatal(err)
		}
		if err := small.Keep(100); err != nil {
			t.Fatal(err)
		}
		select {
		case <-ended:
			for _, err := range []error{largest.Keep(1), largest.Err()} {
				if !errors.Is(err, kcranswer.ErrNoMemory) {
					t.Errorf("expected %v, got %v", kcranswer.ErrNoMemory, err)
				}
			}
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	t.Error("expected the largest answer to end")
}
