package kcrbudget

import (
	"testing"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// TestRepeatedCloseKeepsReservations guards against a second copy of a Close record that makes a home
// forget what it has reserved at the sidecar since the first.
func TestRepeatedCloseKeepsReservations(t *testing.T) {
	t.Parallel()
	h := fundedHome(t, 300, DefaultHomeRules().Fits)
	reserve := func(key kcrid.IdempotencyKey) ReserveOutcome {
		return h.Reserve(0, ReserveRequest{Call: kcrid.CallID{Team: "team", Key: key}, Plan: "plan", Server: "server", WorstCase: 10}).Outcome
	}
	off := h.At()
	h.CloseServer(0, "server")
	closed, _ := h.Batch(1)
	off = exchange(t, h, off)
	if got := reserve("a"); got != Pending {
		t.Fatalf("expected the sidecar to be opened first, got %v", got)
	}
	off = exchange(t, h, off)
	if got := reserve("a"); got != Granted {
		t.Fatalf("expected a reservation, got %v", got)
	}
	e, err := kcrlog.DecodeEntry(closed[0])
	if err != nil {
		t.Fatal(err)
	}
	h.Apply(0, off+1, e)
	if got := h.OutstandingAt("server"); got != 1 {
		t.Errorf("expected 1 reservation at the sidecar after the repeat, got %d", got)
	}
}
