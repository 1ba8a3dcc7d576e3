package kcrbudget_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrid"
)

// This file tests budgets on a stream that comes back from an older copy. One router that has
// read all of the stream lives until what it knows is on the stream again.

// maxLostRecords is how many records the stream loses at most each time.
const maxLostRecords = 60

// restore takes the newest records off the stream and begins another era. The survivor writes
// what it knows; the others do so whenever they read and write next.
func (f *fleet) restore(survivor *router, lost int) {
	survivor.disconnected = false
	f.read(survivor)
	f.stream = f.stream[:max(0, len(f.stream)-lost)]
	f.era++
	for range 3 {
		f.read(survivor)
		f.write(survivor, false, false)
	}
	f.read(survivor)
}

// TestRestoredStreamNeverOverspends runs random schedules in which the stream loses its newest
// records now and then, in addition to the faults of TestWalletsNeverOverspend.
func TestRestoredStreamNeverOverspends(t *testing.T) {
	t.Parallel()
	spent, limits := kcrid.Tokens(0), kcrid.Tokens(0)
	for seed := range uint64(400) {
		f := newFleet(defaultRules(), 3, smallLimit)
		f.era = 1
		draw := newDraw(seed)
		for i := range steps / 100 {
			if err := f.runSteps(draw, 50+draw(100)); err != nil {
				t.Fatalf("seed %d, after %d restores: %v", seed, i, err)
			}
			f.restore(f.routers[draw(len(f.routers))], draw(maxLostRecords))
			if held := f.held(); f.spent+held > f.maxLimit {
				t.Fatalf("seed %d, restore %d: expected at most %d tokens, got %d spent and %d to spend", seed, i, f.maxLimit, f.spent, held)
			}
		}
		spent += f.spent
		limits += f.maxLimit
	}
	if 4*spent < limits {
		t.Fatalf("expected a quarter of %d tokens to be served under these faults, got %d", limits, spent)
	}
	t.Logf("%d of %d tokens were spent", spent, limits)
}
