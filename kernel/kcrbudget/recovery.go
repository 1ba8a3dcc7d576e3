package kcrbudget

import (
	"sort"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the recovery of grants whose holder is dead, frozen or cut off
// from the log. A fence record on the stream ends the holder's right to change its
// grants. Each sidecar that the ledger shows as open to the holder is then told to
// refuse the holder's reservations, and answers with what it served. What no
// sidecar served is returned to the ledger. Invariants: a Refund record is written
// only with the evidence of every open sidecar; without it the grant stays unavailable.
// A false suspicion costs availability, never tokens.

// recovery collects the evidence about one fenced holder.
type recovery struct {
	startedAt  kcrclock.Time
	evidence   map[kcrid.Incarnation][]Usage // by sidecar
	refundSent bool                          // the evidence is complete and the Refund record is in the outbox
}

// EvidenceRequest asks a sidecar for its evidence about a holder.
type EvidenceRequest struct {
	Holder kcrid.Incarnation
	Server kcrid.Incarnation
}

// OtherHolders returns the other holders of the bucket that have open grants, sorted.
func (h *Home) OtherHolders() []kcrid.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.OtherHolders(h.self)
}

// StartRecovery starts the recovery of a holder and reports whether it did. Repeated
// calls do nothing.
func (h *Home) StartRecovery(holder kcrid.Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.ledger.Holder(holder)
	if !h.ready || h.isFenced() || state == nil || state.Fenced != 0 || h.fencing[holder] {
		return false
	}
	h.fencing[holder] = true
	h.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Fence{Fence: &kcrentry.Fence{Holder: string(holder)}}})
	return true
}

// MissingEvidence returns the evidence that is still missing, sorted.
func (h *Home) MissingEvidence() (requests []EvidenceRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for holder, r := range h.recoveries {
		if r.refundSent {
			continue
		}
		for s := range h.ledger.Holder(holder).OpenServers {
			if _, ok := r.evidence[s]; !ok {
				requests = append(requests, EvidenceRequest{Holder: holder, Server: s})
			}
		}
	}
	sort.Slice(requests, func(i, j int) bool {
		if requests[i].Holder != requests[j].Holder {
			return requests[i].Holder < requests[j].Holder
		}
		return requests[i].Server < requests[j].Server
	})
	return requests
}

// AddEvidence handles the answer of a sidecar. While runs continue under the holder,
// the evidence is asked for again until maxSettleWait has passed, since it becomes
// exact when they end.
func (h *Home) AddEvidence(now kcrclock.Time, req EvidenceRequest, ev Evidence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.recoveries[req.Holder]
	if r == nil || r.refundSent {
		return
	}
	if ev.Running > 0 && now.Sub(r.startedAt) < maxSettleWait {
		return
	}
	r.evidence[req.Server] = ev.Used
	h.refund(req.Holder, r)
}

// tickRecovery starts a recovery for each fenced holder that has grants, and drops
// the recoveries of holders that have none left.
func (h *Home) tickRecovery(now kcrclock.Time) {
	for _, name := range h.ledger.OtherHolders(h.self) {
		state := h.ledger.Holder(name)
		if state.Fenced == 0 || h.recoveries[name] != nil {
			continue
		}
		r := &recovery{startedAt: now, evidence: map[kcrid.Incarnation][]Usage{}}
		h.recoveries[name] = r
		h.refund(name, r)
	}
	for name := range h.recoveries {
		if state := h.ledger.Holder(name); state == nil || len(state.Grants) == 0 {
			delete(h.recoveries, name)
			delete(h.fencing, name)
		}
	}
}

// refund sends the Refund record, which closes the grants of the holder, once every
// open sidecar has answered.
func (h *Home) refund(holder kcrid.Incarnation, r *recovery) {
	state := h.ledger.Holder(holder)
	if state == nil {
		return
	}
	for s := range state.OpenServers {
		if _, ok := r.evidence[s]; !ok {
			return
		}
	}
	sum := map[kcrid.Plan]kcrid.Tokens{}
	for _, used := range r.evidence {
		for _, u := range used {
			sum[u.Plan] += u.Tokens
		}
	}
	msg := &kcrentry.Refund{Holder: string(holder), Fence: uint64(state.Fenced)}
	for _, p := range sortedKeys(state.Grants) {
		msg.Used = append(msg.Used, &kcrentry.Used{Plan: string(p), Tokens: int64(sum[p] + state.Grants[p].ClosedSpent)})
	}
	r.refundSent = true
	h.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Refund{Refund: msg}})
}
