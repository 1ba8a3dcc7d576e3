package kcrmemory_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrmemory"
)

// TestFewDescriptors checks that a machine of few descriptors leaves one connection for each use.
func TestFewDescriptors(t *testing.T) {
	t.Parallel()
	for descriptors := 1; descriptors <= 60; descriptors++ {
		m := kcrmemory.Machine{Memory: 128 << 20, Descriptors: descriptors}
		for use, most := range map[string]int{
			"callers": m.Callers().Connections, "upstreams": m.Upstreams(), "peers": m.Peers().Connections,
			"home": m.Home().Connections, "checks": m.Checks().Connections,
		} {
			if most < 1 || most > descriptors {
				t.Errorf("%d descriptors: expected 1 to %d connections for %s, got %d", descriptors, descriptors, use, most)
			}
		}
	}
}
