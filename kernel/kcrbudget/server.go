package kcrbudget

import (
	"slices"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines what a home knows of the sidecars that it gives reservations
// to: which of them the ledger shows as open, and what they settle.

// server is a sidecar that reservations may go to.
type server struct {
	asked   bool
	closing bool                        // a Close is on its way to the ledger
	used    map[kcrid.Plan]kcrid.Tokens // settled and reserved
	open    map[uint64]kcrid.Call       // reservations that are not settled
}

func newServer() *server {
	return &server{used: map[kcrid.Plan]kcrid.Tokens{}, open: map[uint64]kcrid.Call{}}
}

// Open asks the ledger to show sidecars as open, so that they can get
// reservations while the log is down. Known ones are left out.
func (h *Home) Open(servers []kcrid.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ready || h.deposed() || h.retired {
		return
	}
	msg := &kcrentry.Open{}
	for _, s := range servers {
		if h.servers[s] == nil {
			h.servers[s] = newServer()
			h.servers[s].asked = true
			msg.Servers = append(msg.Servers, string(s))
		}
	}
	if len(msg.Servers) > 0 {
		h.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Open{Open: msg}})
	}
}

// opened tells whether the ledger shows the sidecar as open, and asks for it
// once if not. While a Close is on its way, the ledger shows as open what a
// recovery may soon not ask any more.
func (h *Home) opened(s kcrid.Incarnation) bool {
	sv, ok := h.servers[s]
	if !ok {
		sv = newServer()
		h.servers[s] = sv
	}
	if h.rules.Closing(sv.closing) {
		return false
	}
	if !sv.asked {
		sv.asked = true
		h.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Open{Open: &kcrentry.Open{Servers: []string{string(s)}}}})
	}
	own := h.ledger.Holder(h.self)
	return own != nil && own.Open[s]
}

// Report is what a sidecar tells a home from time to time. Held are the
// reservations that it still uses; it has barred all others up to Floor.
type Report struct {
	Lines []Line
	Held  []uint64
	Floor uint64
}

// Receipt answers a report. Last is the newest reservation of the home.
type Receipt struct {
	Taken []uint64
	Last  uint64
}

// Settle takes the report of a sidecar. A line that was settled before is
// taken again without effect. Reservations whose grant never reached the
// sidecar are taken back.
func (h *Home) Settle(now kcrclock.Time, from kcrid.Incarnation, r Report) (out Receipt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, l := range r.Lines {
		h.settle(now, from, l)
		out.Taken = append(out.Taken, l.ID)
	}
	h.takeBack(now, from, r)
	out.Last = h.nextID
	return out
}

// takeBack voids the reservations that a sidecar does not hold and cannot
// begin any more.
func (h *Home) takeBack(now kcrclock.Time, from kcrid.Incarnation, r Report) {
	sv := h.servers[from]
	if sv == nil {
		return
	}
	for id, key := range sv.open {
		if id <= r.Floor && !slices.Contains(r.Held, id) {
			h.settle(now, from, Line{ID: id, Call: key, State: Void})
		}
	}
}

func (h *Home) settle(now kcrclock.Time, from kcrid.Incarnation, l Line) {
	c := h.calls[l.Call]
	if c == nil || c.done || c.server != from || l.ID != c.id || c.id == 0 {
		return
	}
	used := max(0, min(l.Tokens, c.worst))
	pu := h.purse(c.plan)
	pu.reserved -= c.worst
	pu.spent += used
	pu.sinceRate += used
	if sv := h.servers[from]; sv != nil {
		sv.used[c.plan] -= c.worst - used
		delete(sv.open, c.id)
	}
	if l.State == Void {
		delete(h.calls, l.Call)
		return
	}
	if l.State == Broken {
		delete(h.calls, l.Call)
		return
	}
	c.done, c.doneAt = true, now
	h.ended = append(h.ended, l.Call)
}

// Lose closes a sidecar that is gone: what it had reserved counts as spent,
// and a recovery of this home will not need its evidence.
func (h *Home) Lose(now kcrclock.Time, s kcrid.Incarnation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	sv, ok := h.servers[s]
	if !ok || sv.closing || h.deposed() {
		return
	}
	for key, c := range h.calls {
		if c.server == s {
			h.loseCall(key, c)
		}
	}
	msg := &kcrentry.Close{Server: string(s)}
	for p, t := range sv.used {
		if t > 0 {
			msg.Used = append(msg.Used, &kcrentry.Used{Plan: string(p), Tokens: int64(t)})
		}
	}
	h.servers[s] = newServer()
	h.servers[s].closing = true
	h.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Close{Close: msg}})
}

func (h *Home) loseCall(key kcrid.Call, c *call) {
	if !c.done {
		pu := h.purse(c.plan)
		pu.reserved -= c.worst
		pu.spent += c.worst
	}
	delete(h.calls, key)
}

// Outstanding returns how many reservations a sidecar holds.
func (h *Home) Outstanding(s kcrid.Incarnation) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sv := h.servers[s]; sv != nil {
		return len(sv.open)
	}
	return 0
}
