package kcradmission_test

import (
	"testing"

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrclock"
)

// The callers of one team come through one router for 10 s: 220 requests a second of 5,000 bytes
// at a link of 1,250,000 bytes a second, 100 before and after.
func TestInflowOfCrowdFillsLink(t *testing.T) {
	t.Parallel()
	f := kcradmission.NewInflow(1_250_000)
	began, ended := kcrclock.Time(0), kcrclock.Time(0)
	for now := kcrclock.Time(0); now < 20_000; now++ {
		gap := kcrclock.Time(10)
		if now >= 5_000 && now < 15_000 {
			gap = 4
			if now%40 == 0 {
				continue
			}
		}
		if now%gap == 0 {
			f.Received(now, 5_000)
		}
		switch full := f.IsFull(now); {
		case full && began == 0:
			began = now
		case !full && began > 0 && ended == 0:
			ended = now
		}
	}
	if began < 5_000 || began > 6_500 {
		t.Errorf("expected the link to be full soon after 5000 ms, got %d", began)
	}
	if ended < 15_000 || ended > 16_500 {
		t.Errorf("expected the link to be free soon after 15000 ms, got %d", ended)
	}
}

// One long body is no crowd, and a short one fills the link for as long as a balancer needs to see
// it; a link of unknown speed is never full.
func TestInflowChangesRarely(t *testing.T) {
	t.Parallel()
	f, unknown := kcradmission.NewInflow(1_250_000), kcradmission.NewInflow(0)
	f.Received(100, 1_000_000)
	unknown.Received(100, 1<<40)
	if f.IsFull(100) || unknown.IsFull(100) {
		t.Error("expected neither link to be full")
	}
	f.Received(200, 200_000)
	if !f.IsFull(200) {
		t.Error("expected the link to be full")
	}
	if !f.IsFull(3_100) {
		t.Error("expected the link to stay full for 3 s")
	}
	if f.IsFull(3_200) {
		t.Error("expected the link to be free after 3 s")
	}
}

// A clock that stands still or goes back counts nothing twice.
func TestInflowAfterClockStep(t *testing.T) {
	t.Parallel()
	f := kcradmission.NewInflow(1_000_000)
	f.Received(10_000, 400_000)
	f.Received(9_000, 400_000)
	if f.IsFull(9_500) {
		t.Error("expected the link not to be full")
	}
	f.Received(10_050, 100_000)
	if !f.IsFull(10_050) {
		t.Error("expected 900,000 bytes of a second to fill the link")
	}
}
