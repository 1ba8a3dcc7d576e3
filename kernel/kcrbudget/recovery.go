package kcrbudget

import (
	"sort"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the recovery of grants whose holder is dead, frozen or cut
// off. A fence on the stream ends the holder's authority; then each sidecar
// that the ledger shows as open to it is told to refuse it and says what it
// served; what no sidecar served goes back. Invariants: a refund is written
// only with the evidence of every open sidecar; without it the grant stays out
// of use. A wrong suspicion costs availability, never tokens.

// recovery gathers the evidence on one fenced holder.
type recovery struct {
	since kcrclock.Time
	got   map[kcrid.Incarnation][]Usage
	put   bool
}

// Order asks for the evidence of a sidecar on a holder.
type Order struct {
	Holder kcrid.Incarnation
	Server kcrid.Incarnation
}

// Others returns the other holders of the bucket that have grants.
func (h *Home) Others() []kcrid.Incarnation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ledger.Others(h.self)
}

// Suspect starts the recovery of a holder and tells whether it did. Calling it
// again does nothing.
func (h *Home) Suspect(holder kcrid.Incarnation) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := h.ledger.Holder(holder)
	if !h.ready || h.deposed() || state == nil || state.Fenced != 0 || h.fencing[holder] {
		return false
	}
	h.fencing[holder] = true
	h.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Fence{Fence: &kcrentry.Fence{Holder: string(holder)}}})
	return true
}

// Orders returns the evidence that is still missing, sorted.
func (h *Home) Orders() (out []Order) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for holder, r := range h.recovery {
		if r.put {
			continue
		}
		for s := range h.ledger.Holder(holder).Open {
			if _, ok := r.got[s]; !ok {
				out = append(out, Order{Holder: holder, Server: s})
			}
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].Holder != out[j].Holder {
			return out[i].Holder < out[j].Holder
		}
		return out[i].Server < out[j].Server
	})
	return out
}

// Evidence takes in what a sidecar said. While runs go on under the holder,
// evidence is asked for again for a time, since it becomes exact at their end.
func (h *Home) Evidence(now kcrclock.Time, o Order, ev Evidence) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.recovery[o.Holder]
	if r == nil || r.put {
		return
	}
	if ev.Running > 0 && now.Sub(r.since) < settleWait {
		return
	}
	r.got[o.Server] = ev.Used
	h.refund(o.Holder, r)
}

func (h *Home) tickRecovery(now kcrclock.Time) {
	for _, name := range h.ledger.Others(h.self) {
		state := h.ledger.Holder(name)
		if state.Fenced == 0 || h.recovery[name] != nil {
			continue
		}
		r := &recovery{since: now, got: map[kcrid.Incarnation][]Usage{}}
		h.recovery[name] = r
		h.refund(name, r)
	}
	for name := range h.recovery {
		if state := h.ledger.Holder(name); state == nil || len(state.Grants) == 0 {
			delete(h.recovery, name)
			delete(h.fencing, name)
		}
	}
}

// refund writes the refund once every open sidecar has answered.
func (h *Home) refund(holder kcrid.Incarnation, r *recovery) {
	state := h.ledger.Holder(holder)
	if state == nil {
		return
	}
	for s := range state.Open {
		if _, ok := r.got[s]; !ok {
			return
		}
	}
	sum := map[kcrid.Plan]kcrid.Tokens{}
	for _, used := range r.got {
		for _, u := range used {
			sum[u.Plan] += u.Tokens
		}
	}
	msg := &kcrentry.Refund{Holder: string(holder), Fence: uint64(state.Fenced)}
	for p, g := range state.Grants {
		msg.Used = append(msg.Used, &kcrentry.Used{Plan: string(p), Tokens: int64(sum[p] + g.Gone)})
	}
	r.put = true
	h.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Refund{Refund: msg}})
}
