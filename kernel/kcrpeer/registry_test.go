package kcrpeer_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/kernel/kcrpeer"
)

// stream stands for the shared stream of the log: all registries append to it and read
// all of its records.
type stream struct{ records [][]byte }

// write appends the queued records of a registry.
func (s *stream) write(registry *kcrpeer.Registry) {
	records, _ := registry.Batch(10)
	s.records = append(s.records, records...)
}

// read applies the records that a registry has not applied yet and calls MarkReady.
func (s *stream) read(t *testing.T, now kcrclock.Time, registry *kcrpeer.Registry) {
	t.Helper()
	for i := int(registry.At()); i < len(s.records); i++ {
		e, err := kcrlog.DecodeEntry(s.records[i])
		if err != nil {
			t.Fatal(err)
		}
		registry.Apply(now, kcrid.Offset(i+1), e)
	}
	registry.MarkReady()
}

// A peer counts as alive for 6 s and its address is returned for 30 s after its
// last Hello record; records from before MarkReady make no peer alive; exactly one of
// two routers owns an item.
func TestPeers(t *testing.T) {
	t.Parallel()
	s := &stream{}
	a, b := kcrpeer.New("a/1", "10.0.0.1:1"), kcrpeer.New("b/1", "10.0.0.2:1")
	for _, registry := range []*kcrpeer.Registry{a, b} {
		s.read(t, 1, registry)
		registry.Tick(1)
		s.write(registry)
	}
	s.read(t, 100, a)
	s.read(t, 100, b)
	if a.HasUnconfirmed() || b.HasUnconfirmed() {
		t.Fatal("expected the stream to have confirmed all records")
	}
	if n, addrs := a.LiveRouters(200), a.RecentAddrs(200); n != 2 || len(addrs) != 1 || addrs[0] != "10.0.0.2:1" {
		t.Fatalf("expected 2 routers and the address of b, got %d routers and %v", n, addrs)
	}
	if a.OwnsItem(200, "x") == b.OwnsItem(200, "x") {
		t.Fatal("expected exactly one of two routers to own the item")
	}
	if n, addrs := a.LiveRouters(8000), a.RecentAddrs(8000); n != 1 || len(addrs) != 1 {
		t.Fatalf("after 8 s: expected 1 router and still the address of b, got %d routers and %v", n, addrs)
	}
	late := kcrpeer.New("c/1", "")
	s.read(t, 9000, late)
	late.Tick(9000)
	if n := late.LiveRouters(9000); n != 1 || late.HasUnconfirmed() {
		t.Fatalf("expected records from before MarkReady to make no peer alive, got %d routers", n)
	}
}

// The routers that may be serving are counted by VM, whatever the age of their records,
// until no record has come for two minutes; their number is unknown before the stream
// was read.
func TestKnownRouters(t *testing.T) {
	t.Parallel()
	s := &stream{}
	a := kcrpeer.New("a/1", "10.0.0.1:1")
	if n := a.KnownRouters(1); n != 0 {
		t.Fatalf("before the stream was read: expected an unknown number of routers, got %d", n)
	}
	for _, name := range []kcrid.Incarnation{"b/1", "b/2", "c/1"} { // b has restarted
		peer := kcrpeer.New(name, "10.0.0.2:1")
		s.read(t, 1, peer)
		peer.Tick(1)
		s.write(peer)
	}
	s.read(t, 100, a)
	for now, want := range map[kcrclock.Time]int{200: 3, 100000: 3} {
		if n := a.KnownRouters(now); n != want {
			t.Errorf("at %d: expected %d routers that may be serving, got %d", now, want, n)
		}
	}
	if n := a.KnownRouters(130000); n != 1 {
		t.Errorf("after 130 s without a record: expected 1 router, got %d", n)
	}
}
