package kcrmemory_test

import (
	"testing"

	"pgregory.net/rapid"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrmemory"
)

// member is a holder with what a test knows of it.
type member struct {
	*kcrmemory.Holder
	ended kcrmemory.Stage
	isOut bool
}

// open opens a connection and ends the losers.
func open(a *kcrmemory.Account, now kcrclock.Time) *member {
	m := &member{}
	h, losers := a.Open(now, func(stage kcrmemory.Stage) { m.isOut, m.ended = true, stage })
	end(losers)
	m.Holder = h
	return m
}

func end(losers []*kcrmemory.Holder) {
	for _, loser := range losers {
		loser.End()
	}
}

const kib = 1 << 10

func limits(connections int, bodies int64) kcrmemory.Limits {
	l := kcrmemory.Limits{Connections: connections, Heads: connections}
	l.Bytes[kcrmemory.Bodies] = bodies
	return l
}

func TestPlacesGoToThoseThatUseThem(t *testing.T) {
	t.Parallel()
	a := kcrmemory.New(limits(3, 0))
	served, silent, idle := open(a, 0), open(a, 1), open(a, 2)
	a.SetStage(3, served.Holder, kcrmemory.Served)
	a.SetStage(4, idle.Holder, kcrmemory.Idle)
	if late := open(a, 1000); late.Holder == nil || !silent.isOut || served.isOut || idle.isOut {
		t.Errorf("expected the silent connection to lose its place, got silent %v, idle %v, served %v", silent.isOut, idle.isOut, served.isOut)
	}
	a.Remove(silent.Holder)
	if ok, _ := a.SetStage(1000, silent.Holder, kcrmemory.Served); ok {
		t.Error("expected a loser to enter no stage, it did")
	}
}

func TestStopperLosesToOneThatGoesOn(t *testing.T) {
	t.Parallel()
	a := kcrmemory.New(limits(10, 1024*kib))
	stopper, brisk, late := open(a, 0), open(a, 0), open(a, 0)
	for _, m := range []*member{stopper, brisk} {
		a.SetStage(0, m.Holder, kcrmemory.Sending)
		if outcome, _ := a.Grow(0, m.Holder, kcrmemory.Bodies, 384*kib); outcome != kcrmemory.Granted {
			t.Fatalf("expected room, got %v", outcome)
		}
		a.Progress(0, m.Holder, 384*kib)
	}
	const now = 5000
	a.Progress(now, brisk.Holder, 128*kib)
	a.Progress(now, late.Holder, 128*kib)
	outcome, losers := a.Grow(now, late.Holder, kcrmemory.Bodies, 128*kib)
	end(losers)
	if outcome != kcrmemory.Wait || !stopper.isOut || stopper.ended != kcrmemory.Sending || brisk.isOut {
		t.Errorf("expected the one that stopped to lose its place, got %v, stopper %v, other %v", outcome, stopper.isOut, brisk.isOut)
	}
	a.Remove(stopper.Holder)
	if outcome, _ = a.Grow(now, late.Holder, kcrmemory.Bodies, 128*kib); outcome != kcrmemory.Granted {
		t.Errorf("expected room once the loser has left, got %v", outcome)
	}
}

func TestShortBodiesHaveReserve(t *testing.T) {
	t.Parallel()
	a := kcrmemory.New(limits(10, 1024*kib))
	large, small := open(a, 0), open(a, 0)
	a.Grow(0, large.Holder, kcrmemory.Bodies, 768*kib)
	if outcome, _ := a.Grow(0, large.Holder, kcrmemory.Bodies, kib); outcome != kcrmemory.Refused {
		t.Errorf("expected the reserve to be refused to a large body, got %v", outcome)
	}
	if outcome, _ := a.Grow(0, small.Holder, kcrmemory.Bodies, 64*kib); outcome != kcrmemory.Granted {
		t.Errorf("expected room for a short body, got %v", outcome)
	}
}

// TestPausedCallerKeepsPlaceBesideSlow checks that a caller that has read promptly, and pauses for a
// moment while callers that hardly read use up the share for streams, gets a place and keeps it.
func TestPausedCallerKeepsPlaceBesideSlow(t *testing.T) {
	t.Parallel()
	const behind, unread, pause = 96 * kib, 128 * kib, 300
	for name, start := range map[string]kcrclock.Time{"at first": 0, "later": 4000} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := limits(20, 0)
			l.Bytes[kcrmemory.Streams] = 16 * behind // of which long holders may use three quarters
			a := kcrmemory.New(l)
			fallBehind := func(now kcrclock.Time, m *member) kcrmemory.Outcome {
				outcome, losers := a.Grow(now, m.Holder, kcrmemory.Streams, behind)
				end(losers)
				if outcome == kcrmemory.Granted {
					a.SetStage(now, m.Holder, kcrmemory.Behind)
				}
				return outcome
			}
			var slow []*member
			for range 12 {
				m := open(a, 0)
				a.SetStage(0, m.Holder, kcrmemory.Served)
				a.Progress(0, m.Holder, unread) // fills the buffers of its socket
				if fallBehind(250, m) != kcrmemory.Granted {
					t.Fatal("expected room for the first callers, got none")
				}
				slow = append(slow, m)
			}
			prompt := open(a, start)
			a.SetStage(start, prompt.Holder, kcrmemory.Served)
			a.Progress(start, prompt.Holder, 3*unread)
			now := start.Add(pause)
			if outcome := fallBehind(now, prompt); outcome != kcrmemory.Wait {
				t.Fatalf("expected the place of a slow caller, got outcome %v", outcome)
			}
			for _, m := range slow {
				if m.isOut {
					a.Remove(m.Holder)
				}
			}
			if outcome := fallBehind(now, prompt); outcome != kcrmemory.Granted {
				t.Fatalf("expected room once a slow caller has left, got %v", outcome)
			}
			late := open(a, now)
			a.SetStage(now, late.Holder, kcrmemory.Served)
			a.Progress(now, late.Holder, unread)
			fallBehind(now.Add(pause), late)
			if prompt.isOut {
				t.Error("expected the caller that read promptly to keep its place, it lost it to a slow one")
			}
		})
	}
}

// step does something at random with a member.
func step(t *rapid.T, a *kcrmemory.Account, now kcrclock.Time, m *member) {
	switch rapid.IntRange(0, 3).Draw(t, "action") {
	case 0:
		_, losers := a.SetStage(now, m.Holder, kcrmemory.Stage(rapid.IntRange(0, int(kcrmemory.Served)).Draw(t, "stage")))
		end(losers)
	case 1:
		_, losers := a.Grow(now, m.Holder, kcrmemory.Bodies, rapid.IntRange(1, 128*kib).Draw(t, "bytes"))
		end(losers)
	case 2:
		a.Progress(now, m.Holder, 64*kib)
	case 3:
		a.Remove(m.Holder)
	}
}

// TestLimitsHold checks that bytes and connections never exceed their limits, and that all is
// returned at the end.
func TestLimitsHold(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const most, bodies = 8, 512 * kib
		a := kcrmemory.New(limits(most, bodies))
		var members []*member
		now := kcrclock.Time(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(kcrclock.Duration(rapid.IntRange(0, 300).Draw(t, "pause")))
			if rapid.Bool().Draw(t, "open") || len(members) == 0 {
				if m := open(a, now); m.Holder != nil {
					members = append(members, m)
				}
			}
			if len(members) == 0 {
				continue
			}
			step(t, a, now, members[rapid.IntRange(0, len(members)-1).Draw(t, "member")])
			if a.Bytes(kcrmemory.Bodies) > bodies || a.Connections() > most+2 {
				t.Fatalf("expected at most %d bytes and %d connections, got %d and %d", bodies, most+2, a.Bytes(kcrmemory.Bodies), a.Connections())
			}
		}
		for _, m := range members {
			a.Remove(m.Holder)
		}
		if a.Bytes(kcrmemory.Bodies) != 0 || a.Connections() != 0 {
			t.Fatalf("expected nothing to be held, got %d bytes for %d connections", a.Bytes(kcrmemory.Bodies), a.Connections())
		}
	})
}
