package kcradmission_test

import (
	"testing"

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrclock"
)

// Twice as much is offered as a link carries. Refusing what would wait too long keeps the delay of
// the rest within the bound, and serves as much as the link carries.
func TestLinkBoundsDelayUnderTwiceItsLoad(t *testing.T) {
	const bytesPerSecond, size, maxDelay, seconds = 1_250_000, 12_000 - 60, 150 * kcrclock.Millisecond, 20
	link := kcradmission.NewLink(bytesPerSecond)
	taken, longest := 0, kcrclock.Duration(0)
	for now := kcrclock.Time(0); now < kcrclock.Time(seconds*kcrclock.Second); now += 5 { // 200 a second
		if link.Delay(now) > maxDelay {
			continue
		}
		link.Sent(now, size)
		taken++
		longest = max(longest, link.Delay(now))
	}
	if longest > maxDelay+10 {
		t.Errorf("expected a delay of at most %d ms and a request, got %d", maxDelay, longest)
	}
	if carried := float64(taken*(size+60)) / (bytesPerSecond * seconds); carried < 0.97 || carried > 1.03 {
		t.Errorf("expected as much as the link carries, got %.2f of it", carried)
	}
}

// A link of unknown speed refuses nothing, and what waited has left after a pause.
func TestLinkDrains(t *testing.T) {
	unknown := kcradmission.NewLink(0)
	unknown.Sent(1, 1<<30)
	if d := unknown.Delay(1); d != 0 {
		t.Errorf("unknown speed: expected no delay, got %d", d)
	}
	link := kcradmission.NewLink(1000)
	link.Sent(5, 940)
	if d := link.Delay(5); d != 1000 {
		t.Errorf("expected a delay of 1000 ms, got %d", d)
	}
	if d := link.Delay(505); d != 500 {
		t.Errorf("half a second later: expected 500 ms, got %d", d)
	}
	if d := link.Delay(3000); d != 0 {
		t.Errorf("after a pause: expected no delay, got %d", d)
	}
}
