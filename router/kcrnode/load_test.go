package kcrnode

import (
	"math"
	"slices"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// TestCollectors checks that routers of a zone agree on a collector and those of all zones on the
// others, that one that fails is passed over for a while, that no other zone takes its place, and
// that a zone without upstreams has one too.
func TestCollectors(t *testing.T) {
	t.Parallel()
	now := kcrclock.Time(1)
	newDesk := func() *loadDesk {
		d := newLoadDesk()
		addrs := homeAddrs(6)
		d.update(map[kcrid.Zone][]string{"z-1": addrs[:3], "z-2": addrs[3:]})
		return d
	}
	a, b := newDesk(), newDesk()
	first, others, upstreams := a.collectors(now, "z-1")
	if again, same, _ := b.collectors(now, "z-1"); again != first || !slices.Equal(others, same) || len(others) != 1 || upstreams != 6 {
		t.Errorf("expected the same collectors and 6 upstreams, got %q %q and %q %q, %d upstreams", first, others, again, same, upstreams)
	}
	if own, _, _ := a.collectors(now, "z-2"); own != others[0] {
		t.Errorf("expected %q for the other zone, got %q", others[0], own)
	}
	if own, _, _ := a.collectors(now, "z-3"); own != first {
		t.Errorf("expected %q for a zone without upstreams, got %q", first, own)
	}
	a.recordFailure(now, first)
	if second, _, _ := a.collectors(now, "z-1"); second == first || second == "" || second == others[0] {
		t.Errorf("expected another collector of the zone than %q, got %q", first, second)
	}
	for _, addr := range homeAddrs(3) {
		a.recordFailure(now, addr)
	}
	if none, _, _ := a.collectors(now, "z-1"); none != "" {
		t.Errorf("expected no collector while all have failed, got %q", none)
	}
	if own, _, _ := a.collectors(now.Add(sharePause), "z-1"); own != first {
		t.Errorf("expected %q after the pause, got %q", first, own)
	}
}

// TestAgeOfLoads checks that the age of the digest is not a number until there is one, also where the
// clock began long before, and that a digest's own age counts.
func TestAgeOfLoads(t *testing.T) {
	t.Parallel()
	d, now := newLoadDesk(), kcrclock.Time(3_600_000)
	if age := d.ageSeconds(now); !math.IsNaN(age) {
		t.Errorf("expected no age before the first digest, got %g s", age)
	}
	d.recordDigest(now.Add(-200), 3)
	if age := d.ageSeconds(now.Add(1_300)); age != 1.5 {
		t.Errorf("expected an age of 1.5 s, got %g s", age)
	}
}
