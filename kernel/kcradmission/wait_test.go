package kcradmission_test

import (
	"testing"

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrclock"
)

// A request waits no longer than leaves its answer the time, and not at all once the link or the
// engines would make it late.
func TestWaitLeavesTimeForAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		kcradmission.Wait
		longest kcrclock.Duration
		inTime  bool
	}{
		"calm, bounded by the target":        {kcradmission.Wait{Deadline: 7000, Target: 800}, 400, true},
		"no target, bounded by the deadline": {kcradmission.Wait{Deadline: 2000}, 500, true},
		"engines need most of the time":      {kcradmission.Wait{Deadline: 2000, Target: 4000, First: 800}, 200, true},
		"the link needs most of the time":    {kcradmission.Wait{Deadline: 2000, Target: 4000, First: 100, LinkDelay: 800}, 100, true},
		"link and engines need all of it":    {kcradmission.Wait{Deadline: 2000, Target: 4000, First: 500, LinkDelay: 500}, 0, false},
		"past the deadline":                  {kcradmission.Wait{Deadline: 900, Target: 4000}, 0, false},
	} {
		if got, inTime := c.Longest(1000), c.InTime(1000); got != c.longest || inTime != c.inTime {
			t.Errorf("%s: expected %d ms, in time %t, got %d, %t", name, c.longest, c.inTime, got, inTime)
		}
	}
}
