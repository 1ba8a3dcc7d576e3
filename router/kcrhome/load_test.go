package kcrhome_test

import (
	"context"
	"testing"
	"time"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrload"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrshare"
	"kingcuprun.example/link/kcrwire"
	"kingcuprun.example/router/kcrhome"
)

// TestCollectorsExchange checks that a router learns what routers of its zone and of another have
// at an upstream, and only that of its zone once the collector of the other zone is dead.
func TestCollectorsExchange(t *testing.T) {
	t.Parallel()
	a, _ := newHostOf(t, &memoryLog{streams: map[kcrid.Stream][][]byte{}}, "a")
	b, _ := newHostOf(t, &memoryLog{streams: map[kcrid.Stream][][]byte{}}, "b")
	pool := kcrlink.NewPool()
	t.Cleanup(pool.Close)
	sequence := uint64(0)
	tell := func(h *kcrhome.Host, router string, running int, other string) int {
		sequence++
		req := kcrshare.EncodePart(kcrload.Part{
			From: kcrid.Incarnation(router), Sequence: sequence, Lifetime: 2000,
			Servers: []kcrload.Server{{Key: 7, Load: kcrload.Load{Running: running, Waiting: 1, Unread: 300}}},
		})
		req.Others = []string{other}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		reply, err := pool.Call(ctx, h.Addr(), &kcrwire.Request{Kind: &kcrwire.Request_Share{Share: req}})
		if err != nil {
			return 0
		}
		digest, err := kcrshare.DecodeDigest(reply.GetShared())
		if err != nil {
			t.Fatal(err)
		}
		sum := 0
		for _, s := range digest.Servers {
			sum += s.Running
		}
		return sum
	}
	waitFor := func(what string, expected int, step func()) {
		t.Helper()
		got := 0
		for range 100 {
			step()
			if got = tell(a, "r-1", 5, b.Addr()); got == expected {
				return
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Fatalf("%s: expected %d requests of others, got %d", what, expected, got)
	}
	waitFor("both collectors", 9+40, func() {
		tell(a, "r-2", 9, b.Addr())
		tell(b, "r-3", 40, a.Addr())
	})
	b.Kill()
	waitFor("the other collector dead", 9, func() { tell(a, "r-2", 9, b.Addr()) })
}
