package kcrfleet_test

import (
	"slices"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrfleet"
	"kingcuprun.example/kernel/kcrid"
)

// This file tests how entries, their removal and outages of the store change the
// list of upstreams.

const grace = 2000 * kcrclock.Millisecond

func member(id kcrid.VM, born, sequence int64, draining bool) kcrfleet.Member {
	return kcrfleet.Member{ID: id, Service: "s", Addr: "10.0.0.1:1", Born: born, Sequence: sequence, Draining: draining}
}

// usable reports whether the fleet lists an upstream that takes new requests.
func usable(f *kcrfleet.Fleet, id kcrid.VM) bool {
	for _, m := range f.Members() {
		if m.ID == id && !m.Draining {
			return true
		}
	}
	return false
}

// TestRemovalTakesEffectAtOnce checks that no grace period applies without an
// outage of the store.
func TestRemovalTakesEffectAtOnce(t *testing.T) {
	t.Parallel()
	f := kcrfleet.New(grace)
	f.StoreResponded(0)
	f.ApplyEntry(0, member("a", 1, 1, false))
	f.StoreResponded(5000) // a long poll without changes is not an outage
	if !f.Remove(5000, "a") || usable(f, "a") {
		t.Fatal("expected an engine whose entry was deleted to be removed")
	}
}

// TestExpiredEntriesAfterOutage guards against dropping all engines after an
// outage of the store. Entries expire while engines can't renew them, so an
// engine is removed only if its entry isn't back within the grace period.
func TestExpiredEntriesAfterOutage(t *testing.T) {
	t.Parallel()
	f := kcrfleet.New(grace)
	f.StoreResponded(0)
	f.ApplyEntry(0, member("a", 1, 1, false))
	f.ApplyEntry(0, member("b", 1, 1, false))
	f.ApplyEntry(0, member("c", 1, 5, true))
	f.StoreLost()
	f.StoreResponded(6000)
	f.ApplyList(6000, map[kcrid.VM]bool{})
	if !usable(f, "a") || !usable(f, "b") {
		t.Fatal("expected engines with expired entries to be kept just after an outage")
	}
	if len(f.Members()) != 2 {
		t.Fatal("expected an engine that was draining to be removed")
	}
	f.ApplyEntry(7000, member("a", 1, 2, false))
	if removed := f.RemoveExpired(7999); len(removed) != 0 {
		t.Fatalf("expected no engine removed within the grace period, got %v", removed)
	}
	if removed := f.RemoveExpired(8000); len(removed) != 1 || removed[0] != "b" {
		t.Fatalf("expected b to be removed, got %v", removed)
	}
	if !usable(f, "a") || usable(f, "b") {
		t.Fatal("expected a to be usable and b not")
	}
}

// TestOldEntriesAreIgnored checks that entries that arrive late neither undo a
// later change nor add a removed engine again.
func TestOldEntriesAreIgnored(t *testing.T) {
	t.Parallel()
	f := kcrfleet.New(grace)
	f.StoreResponded(0)
	f.ApplyEntry(0, member("a", 10, 7, true))
	for _, old := range []kcrfleet.Member{member("a", 10, 6, false), member("a", 9, 99, false)} {
		if f.ApplyEntry(0, old); usable(f, "a") {
			t.Fatalf("an older entry, born %d sequence %d: expected the engine to stay draining", old.Born, old.Sequence)
		}
	}
	f.Remove(1, "a")
	if f.ApplyEntry(2, member("a", 9, 100, false)); usable(f, "a") {
		t.Fatal("a late entry of a removed engine: expected it to be ignored")
	}
	if f.ApplyEntry(3, member("a", 11, 1, false)); !usable(f, "a") {
		t.Fatal("the same ID after a restart: expected it to be usable")
	}
}

// TestStoreReplacesBorrowedMembers checks that members adopted from a peer are used
// only until the store responds.
func TestStoreReplacesBorrowedMembers(t *testing.T) {
	t.Parallel()
	f := kcrfleet.New(grace)
	if f.HasMembers() || !f.AdoptFromPeer([]kcrfleet.Member{member("a", 1, 1, false)}) || !f.HasMembers() {
		t.Fatal("expected the members of a peer to be adopted while none are known")
	}
	f.StoreResponded(10)
	f.ApplyList(10, map[kcrid.VM]bool{})
	if usable(f, "a") || f.AdoptFromPeer([]kcrfleet.Member{member("b", 1, 1, false)}) {
		t.Fatal("expected the entries of the store to replace the members of a peer")
	}
}

// TestOldEntryOfRemovedEngineIsIgnored guards against engines that are back in the list since
// the store has come back from an older copy.
func TestOldEntryOfRemovedEngineIsIgnored(t *testing.T) {
	t.Parallel()
	f := kcrfleet.New(grace)
	f.StoreResponded(0)
	f.ApplyEntry(0, member("a", 10, 7, false))
	f.Remove(1, "a")
	for _, sequence := range []int64{6, 7} {
		if f.ApplyEntry(2, member("a", 10, sequence, false)); usable(f, "a") {
			t.Fatalf("sequence %d, after 7 was removed: expected the entry to be ignored", sequence)
		}
	}
	if f.ApplyEntry(3, member("a", 10, 8, false)); !usable(f, "a") {
		t.Fatal("an entry that was written since: expected the engine to be usable")
	}
}

// Guards against routers that do not learn that an engine has become cold, or stays it, from the
// store or from a relay.
func TestColdEntriesAreChanges(t *testing.T) {
	t.Parallel()
	f := kcrfleet.New(grace)
	var told kcrfleet.RelayLog
	told.Messages(f)
	for i, tt := range []struct {
		cold          kcrclock.Duration
		changed, told bool
	}{{0, true, true}, {0, false, false}, {3000, true, true}, {1800, true, false}, {0, true, true}, {0, false, false}} {
		m := member("a", 1, int64(i+1), false)
		m.Cold = tt.cold
		if changed := f.ApplyEntry(0, m); changed != tt.changed {
			t.Errorf("entry %d, cold for %v: expected changed %v, got %v", i, tt.cold, tt.changed, changed)
		}
		if messages := told.Messages(f); len(messages[0].Members) > 0 != tt.told {
			t.Errorf("entry %d, cold for %v: expected told %v, got %v", i, tt.cold, tt.told, messages)
		}
	}
}

// Guards against requests to engines that have ended, whose entries are still in the store, as
// others run at their addresses.
func TestEndedEnginesAreNotReachable(t *testing.T) {
	t.Parallel()
	entry := func(id kcrid.VM, addr string, born int64, draining bool) kcrfleet.Member {
		return kcrfleet.Member{ID: id, Service: "s", Addr: addr, Born: born, Sequence: 1, Draining: draining}
	}
	for _, tt := range []struct {
		name    string
		entries []kcrfleet.Member
		want    []kcrid.VM
	}{
		{"own addresses", []kcrfleet.Member{entry("a", "1", 1, false), entry("b", "2", 2, false)}, []kcrid.VM{"a", "b"}},
		{"the later start first", []kcrfleet.Member{entry("a", "1", 2, false), entry("b", "1", 1, false)}, []kcrid.VM{"a"}},
		{"the later start last", []kcrfleet.Member{entry("a", "1", 1, false), entry("b", "1", 2, false)}, []kcrid.VM{"b"}},
		{"the later start drains", []kcrfleet.Member{entry("a", "1", 1, false), entry("b", "1", 2, true)}, []kcrid.VM{"b"}},
		{"the same start", []kcrfleet.Member{entry("a", "1", 1, false), entry("b", "1", 1, false)}, []kcrid.VM{"a", "b"}},
		{"unknown starts", []kcrfleet.Member{entry("a", "1", 0, false), entry("b", "1", 2, false), entry("c", "1", 0, false)}, []kcrid.VM{"a", "b", "c"}},
	} {
		f := kcrfleet.New(grace)
		f.StoreResponded(0)
		for _, m := range tt.entries {
			f.ApplyEntry(0, m)
		}
		var got []kcrid.VM
		for _, m := range f.Reachable() {
			got = append(got, m.ID)
		}
		if !slices.Equal(got, tt.want) {
			t.Errorf("%s: expected %v, got %v", tt.name, tt.want, got)
		}
		f.Remove(1, tt.want[0])
		if len(tt.want) == 1 && len(f.Reachable()) != 1 {
			t.Errorf("%s: expected the earlier one once the entry of the later is gone, got %v", tt.name, f.Reachable())
		}
	}
}
