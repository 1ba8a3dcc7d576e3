package kcrfleet_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrfleet"
	"kingcuprun.example/kernel/kcrid"
)

const grace = 2000 * kcrclock.Millisecond

func member(id kcrid.VM, born, sequence int64, draining bool) kcrfleet.Member {
	return kcrfleet.Member{ID: id, Service: "s", Addr: "10.0.0.1:1", Born: born, Sequence: sequence, Draining: draining}
}

func usable(f *kcrfleet.Fleet, id kcrid.VM) bool {
	for _, m := range f.Members() {
		if m.ID == id && !m.Draining {
			return true
		}
	}
	return false
}

func TestRemovedIsGoneAtOnce(t *testing.T) {
	t.Parallel()
	f := kcrfleet.New(grace)
	f.Heard(0)
	f.Put(0, member("a", 1, 1, false))
	f.Heard(5000) // a long poll without news is no outage
	if !f.Remove(5000, "a") || usable(f, "a") {
		t.Fatal("expected an engine whose entry is removed to be gone")
	}
}

func TestLapsedInAnOutageComesBackOrGoes(t *testing.T) {
	t.Parallel()
	f := kcrfleet.New(grace)
	f.Heard(0)
	f.Put(0, member("a", 1, 1, false))
	f.Put(0, member("b", 1, 1, false))
	f.Put(0, member("c", 1, 5, true))
	f.Lost()
	f.Heard(6000)
	f.Listed(6000, map[kcrid.VM]bool{})
	if !usable(f, "a") || !usable(f, "b") {
		t.Fatal("expected lapsed entries to count just after an outage")
	}
	if len(f.Members()) != 2 {
		t.Fatal("expected an engine that was leaving to be gone")
	}
	f.Put(7000, member("a", 1, 2, false))
	if gone := f.Tick(7999); len(gone) != 0 {
		t.Fatalf("expected nobody gone before the time, got %v", gone)
	}
	if gone := f.Tick(8000); len(gone) != 1 || gone[0] != "b" {
		t.Fatalf("expected b gone, got %v", gone)
	}
	if !usable(f, "a") || usable(f, "b") {
		t.Fatal("expected a and not b")
	}
}

func TestOldEntriesChangeNothing(t *testing.T) {
	t.Parallel()
	f := kcrfleet.New(grace)
	f.Heard(0)
	f.Put(0, member("a", 10, 7, true))
	for _, old := range []kcrfleet.Member{member("a", 10, 6, false), member("a", 9, 99, false)} {
		if f.Put(0, old); usable(f, "a") {
			t.Fatalf("an entry from before, born %d sequence %d: expected the engine to stay draining", old.Born, old.Sequence)
		}
	}
	f.Remove(1, "a")
	if f.Put(2, member("a", 9, 100, false)); usable(f, "a") {
		t.Fatal("a late entry of an engine that is gone: expected it to be ignored")
	}
	if f.Put(3, member("a", 11, 1, false)); !usable(f, "a") {
		t.Fatal("the same id, started again: expected it to be used")
	}
}

func TestBorrowedMembersGiveWay(t *testing.T) {
	t.Parallel()
	f := kcrfleet.New(grace)
	if f.Known() || !f.Borrow([]kcrfleet.Member{member("a", 1, 1, false)}) || !f.Known() {
		t.Fatal("expected members of a peer to be taken where nothing is known")
	}
	f.Heard(10)
	f.Listed(10, map[kcrid.VM]bool{})
	if usable(f, "a") || f.Borrow([]kcrfleet.Member{member("b", 1, 1, false)}) {
		t.Fatal("expected what the store tells to replace what a peer told")
	}
}
