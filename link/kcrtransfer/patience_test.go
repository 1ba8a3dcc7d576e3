package kcrtransfer_test

import (
	"testing"
	"time"

	"kingcuprun.example/link/kcrtransfer"
)

func TestPatience(t *testing.T) {
	t.Parallel()
	const shortest, longest = 100 * time.Millisecond, time.Second
	p := kcrtransfer.NewPatience(longest)
	expect := func(after string, want time.Duration) {
		t.Helper()
		if got := p.Timeout(shortest); got != want {
			t.Errorf("%s: expected %v, got %v", after, want, got)
		}
	}
	expect("at first", shortest)
	p.RecordTimeout()
	expect("a timeout", 2*shortest)
	p.RecordTimeout()
	expect("two timeouts", 4*shortest)
	for range 100 {
		p.RecordTimeout()
	}
	expect("many timeouts", longest)
	p.RecordAnswer(300 * time.Millisecond)
	expect("a slow answer", 600*time.Millisecond)
	p.RecordAnswer(0)
	expect("a quick answer", 300*time.Millisecond)
	p.RecordAnswer(0)
	p.RecordAnswer(0)
	expect("more of them", shortest)
	if got := p.Timeout(2 * longest); got != 2*longest {
		t.Errorf("expected no less than the shortest timeout, got %v", got)
	}
}
