package kcrbudget

import (
	"slices"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines what a home knows of the sidecars for which it makes
// reservations: which of them the ledger shows as open, and what they settle.

// sidecarState is the state of a sidecar that reservations may go to.
type sidecarState struct {
	openRequested bool                        // an Open record was sent
	closeSeq      uint64                      // sequence of the Close record on its way to the ledger, 0 if none is
	used          map[kcrid.Plan]kcrid.Tokens // settled and reserved
	unsettled     map[uint64]kcrid.CallID     // calls of the reservations that are not settled, by reservation
}

func newSidecarState() *sidecarState {
	return &sidecarState{used: map[kcrid.Plan]kcrid.Tokens{}, unsettled: map[uint64]kcrid.CallID{}}
}

// Open asks the ledger to show sidecars as open, so that they can get
// reservations while the log is down. Known sidecars are skipped.
func (h *Home) Open(sidecars []kcrid.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ready || h.isFenced() || h.retired {
		return
	}
	msg := &kcrentry.Open{}
	for _, s := range sidecars {
		if h.sidecars[s] == nil {
			h.sidecars[s] = newSidecarState()
			h.sidecars[s].openRequested = true
			msg.Servers = append(msg.Servers, string(s))
		}
	}
	if len(msg.Servers) > 0 {
		h.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Open{Open: msg}})
	}
}

// isOpen reports whether the ledger shows the sidecar as open. It sends an Open record
// if none was sent for the sidecar before. While a Close record is on its way, the
// answer is false: the ledger still shows the sidecar as open, but a recovery may soon
// not ask it any more.
func (h *Home) isOpen(s kcrid.Incarnation) bool {
	state, ok := h.sidecars[s]
	if !ok {
		state = newSidecarState()
		h.sidecars[s] = state
	}
	if h.rules.IsClosing(state.closeSeq != 0) {
		return false
	}
	if !state.openRequested {
		state.openRequested = true
		h.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Open{Open: &kcrentry.Open{Servers: []string{string(s)}}}})
	}
	own := h.ledger.Holder(h.self)
	return own != nil && own.OpenServers[s]
}

// SettlementReport is the periodic report of a sidecar to a home. Held are the reservations
// that it still uses; it has barred all others up to BarredUpTo.
type SettlementReport struct {
	Settlements []Settlement
	Held        []uint64
	BarredUpTo  uint64
}

// SettlementReceipt answers a report. Acknowledged are the reservations whose
// settlements were processed; LastID is the newest reservation of the home.
type SettlementReceipt struct {
	Acknowledged []uint64
	LastID       uint64
}

// Settle processes the report of a sidecar. A settlement that was processed before is
// acknowledged again without effect. Reservations whose answer never reached the
// sidecar are settled as not run.
func (h *Home) Settle(now kcrclock.Time, sidecar kcrid.Incarnation, r SettlementReport) (receipt SettlementReceipt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, settlement := range r.Settlements {
		h.settle(now, sidecar, settlement)
		receipt.Acknowledged = append(receipt.Acknowledged, settlement.ID)
	}
	h.settleUnheld(now, sidecar, r)
	receipt.LastID = h.lastID
	return receipt
}

// settleUnheld settles as not run the reservations that a sidecar does not hold and
// cannot begin any more.
func (h *Home) settleUnheld(now kcrclock.Time, sidecar kcrid.Incarnation, r SettlementReport) {
	state := h.sidecars[sidecar]
	if state == nil {
		return
	}
	for id, callID := range state.unsettled {
		if id <= r.BarredUpTo && !slices.Contains(r.Held, id) {
			h.settle(now, sidecar, Settlement{ID: id, Call: callID, Outcome: NotRun})
		}
	}
}

// settle ends one reservation at what was spent of it.
func (h *Home) settle(now kcrclock.Time, sidecar kcrid.Incarnation, settlement Settlement) {
	c := h.calls[settlement.Call]
	if c == nil || c.done || c.server != sidecar || settlement.ID != c.id || c.id == 0 {
		return
	}
	used := max(0, min(settlement.Tokens, c.worstCase))
	ps := h.planState(c.plan)
	ps.reserved -= c.worstCase
	ps.spent += used
	ps.spentSinceUpdate += used
	if state := h.sidecars[sidecar]; state != nil {
		state.used[c.plan] -= c.worstCase - used
		delete(state.unsettled, c.id)
	}
	if settlement.Outcome == NotRun {
		delete(h.calls, settlement.Call)
		return
	}
	if settlement.Outcome == Broken {
		delete(h.calls, settlement.Call)
		return
	}
	c.done, c.doneAt = true, now
	h.endedCalls = append(h.endedCalls, settlement.Call)
}

// CloseServer closes a sidecar that is gone: its reservations count as spent in full, and
// a recovery of this home will not need its evidence.
func (h *Home) CloseServer(now kcrclock.Time, s kcrid.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state, ok := h.sidecars[s]
	if !ok || state.closeSeq != 0 || h.isFenced() {
		return
	}
	for callID, c := range h.calls {
		if c.server == s {
			h.settleLostCall(callID, c)
		}
	}
	msg := &kcrentry.Close{Server: string(s)}
	for _, p := range sortedKeys(state.used) {
		if t := state.used[p]; t > 0 {
			msg.Used = append(msg.Used, &kcrentry.Used{Plan: string(p), Tokens: int64(t)})
		}
	}
	h.sidecars[s] = newSidecarState()
	h.sidecars[s].closeSeq = h.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Close{Close: msg}})
}

// settleLostCall counts the reservation of a lost call as spent and forgets the
// call.
func (h *Home) settleLostCall(callID kcrid.CallID, c *call) {
	if !c.done {
		ps := h.planState(c.plan)
		ps.reserved -= c.worstCase
		ps.spent += c.worstCase
	}
	delete(h.calls, callID)
}

// OutstandingAt returns the number of reservations that a sidecar holds.
func (h *Home) OutstandingAt(s kcrid.Incarnation) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if state := h.sidecars[s]; state != nil {
		return len(state.unsettled)
	}
	return 0
}
