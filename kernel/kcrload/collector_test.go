package kcrload_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrload"
)

// This file tests which parts count in the sums of a collector.

const lifetime = 600 * kcrclock.Millisecond

// part returns what a router tells of one upstream.
func part(from string, sequence uint64, running int) kcrload.Part {
	return kcrload.Part{
		From: kcrid.Incarnation(from), Sequence: sequence, Routers: 1, Lifetime: lifetime,
		Servers: []kcrload.Server{{Key: 1, Load: kcrload.Load{Running: running}}},
	}
}

// running returns the requests at the only upstream of a digest.
func running(d kcrload.Digest) (sum int) {
	for _, s := range d.Servers {
		sum += s.Running
	}
	return sum
}

// TestParts checks which parts of others count, after messages that are lost, late or out of
// order.
func TestParts(t *testing.T) {
	t.Parallel()
	zone := part("collector-b", 1, 40)
	zone.Zone, zone.Routers, zone.Age = true, 9, 200
	for _, test := range []struct {
		name              string
		parts             []kcrload.Part // told one every 100 ms
		now               kcrclock.Time
		others, ownOfZone int
	}{
		{"own part does not count", []kcrload.Part{part("a", 1, 5)}, 100, 0, 5},
		{"others count", []kcrload.Part{part("a", 1, 5), part("b", 1, 7)}, 200, 7, 12},
		{"newer part replaces", []kcrload.Part{part("b", 1, 7), part("b", 2, 3)}, 200, 3, 3},
		{"late part is ignored", []kcrload.Part{part("b", 2, 3), part("b", 1, 7)}, 200, 3, 3},
		{"part of a dead router is forgotten", []kcrload.Part{part("b", 1, 7)}, 601, 0, 0},
		{"other zones count for routers only", []kcrload.Part{part("b", 1, 7), zone}, 200, 47, 7},
		{"part of a zone that is cut off is forgotten", []kcrload.Part{zone}, 401, 0, 0},
		{"router that starts anew has another name", []kcrload.Part{part("b/1", 9, 7), part("b/2", 1, 2)}, 602, 2, 2},
	} {
		c := kcrload.NewCollector()
		for i, p := range test.parts {
			c.Put(kcrclock.Time(100*i), p)
		}
		if got := running(c.Others(test.now, "a")); got != test.others {
			t.Errorf("%s: expected %d requests of others, got %d", test.name, test.others, got)
		}
		if got := running(c.Zone(test.now)); got != test.ownOfZone {
			t.Errorf("%s: expected %d requests of the zone, got %d", test.name, test.ownOfZone, got)
		}
	}
}

// TestDigestIsBounded checks that a digest of a large fleet has a bounded size and keeps the
// upstreams with most requests, and that a message for each interval stays within a bound of
// bytes at any size.
func TestDigestIsBounded(t *testing.T) {
	t.Parallel()
	const upstreams, most, keyBytes = 600, 256, 10
	c := kcrload.NewCollector()
	var servers []kcrload.Server
	for i := range upstreams {
		servers = append(servers, kcrload.Server{Key: kcrload.Key(i), Load: kcrload.Load{Running: i + 1}})
	}
	for len(servers) > 0 {
		n := min(most, len(servers))
		c.Put(0, kcrload.Part{From: kcrid.Incarnation(fmt.Sprint(len(servers))), Sequence: 1, Routers: 1, Lifetime: lifetime, Servers: servers[:n]})
		servers = servers[n:]
	}
	d := c.Others(0, "a")
	if len(d.Servers) != most {
		t.Errorf("expected %d upstreams, got %d", most, len(d.Servers))
	}
	for _, s := range d.Servers {
		if s.Running <= upstreams-most {
			t.Errorf("expected the upstreams with most requests, got one with %d", s.Running)
		}
	}
	for _, fleet := range []struct{ servers, routers int }{{49, 7}, {78, 14}, {600, 65}} {
		perSecond := float64(keyBytes*min(most, fleet.servers)) / kcrload.Interval(fleet.servers, fleet.routers).Seconds()
		if perSecond > 4000 {
			t.Errorf("%d upstreams: expected at most 4000 bytes of a digest each second, got %.0f", fleet.servers, perSecond)
		}
		if calls := float64(fleet.routers) / kcrload.Interval(fleet.servers, fleet.routers).Seconds(); calls > 100 {
			t.Errorf("%d routers at a collector: expected at most 100 calls each second, got %.0f", fleet.routers, calls)
		}
	}
}

// TestSumsMatchParts checks that the sums are those of the newest living parts, whatever parts
// come in whatever order.
func TestSumsMatchParts(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		c := kcrload.NewCollector()
		type told struct {
			sequence uint64
			at       kcrclock.Time
			running  int
		}
		newest := map[string]told{}
		now := kcrclock.Time(0)
		for range rapid.IntRange(1, 60).Draw(t, "messages") {
			now += kcrclock.Time(rapid.IntRange(0, 300).Draw(t, "pause"))
			from := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "from")
			p := part(from, uint64(rapid.IntRange(1, 20).Draw(t, "sequence")), rapid.IntRange(1, 9).Draw(t, "running"))
			alive := newest[from].sequence > 0 && now.Sub(newest[from].at) <= lifetime
			if taken := c.Put(now, p); taken != (!alive || p.Sequence > newest[from].sequence) {
				t.Fatalf("message %d of %s after %d: taken is %v", p.Sequence, from, newest[from].sequence, taken)
			} else if taken {
				newest[from] = told{p.Sequence, now, p.Servers[0].Running}
			}
			expected := 0
			for from, p := range newest {
				if from != "a" && now.Sub(p.at) <= lifetime {
					expected += p.running
				}
			}
			if got := running(c.Others(now, "a")); got != expected {
				t.Fatalf("expected %d requests of others, got %d", expected, got)
			}
		}
	})
}
