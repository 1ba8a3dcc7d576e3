package kcrsidecar

import (
	"context"
	"fmt"
	"time"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrplatform"
	"kingcuprun.example/link/kcrwire"
)

// This file watches over what a home depends on: sidecars that hold its
// reservations, and other holders of its bucket, whose grants it recovers.

const (
	silence      = 10 * kcrclock.Second
	deadAfter    = 10 * kcrclock.Second
	lookInterval = 2 * kcrclock.Second
	evidenceTime = 500 * time.Millisecond
	meetMost     = 16
)

// dropSilent closes the sidecars that have not been heard for long while they
// hold reservations.
func (h *homes) dropSilent(bh *bucketHome, now kcrclock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for server, at := range bh.heard {
		if now.Sub(at) <= silence {
			continue
		}
		delete(bh.heard, server)
		if bh.home.Outstanding(server) > 0 && server != h.s.incarnation {
			h.s.config.Logger.Warn("sidecar lost", "server", server, "home", bh.home.Self())
			bh.home.Lose(now, server)
		}
	}
}

// look checks on the other holders of a bucket in the background.
func (h *homes) look(bh *bucketHome, now kcrclock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if bh.busy || h.closed || now.Sub(bh.looked) < lookInterval {
		return
	}
	bh.looked = now
	bh.busy = true
	h.wait.Go(func() {
		h.checkHolders(bh)
		h.collect(bh)
		h.meet(bh)
		h.mu.Lock()
		bh.busy = false
		h.mu.Unlock()
	})
}

// meet opens sidecars of the region ahead of need, a few at a time.
func (h *homes) meet(bh *bucketHome) {
	var servers []kcrid.Incarnation
	tries := 0
	for _, vm := range h.s.fleet.VMs() {
		if !h.s.mayHold(vm) || bh.met[vm.Name] || tries == meetMost {
			continue
		}
		tries++
		loaded, err := h.s.loadOf(vm)
		if err != nil {
			continue
		}
		bh.met[vm.Name] = true
		servers = append(servers, kcrid.Incarnation(loaded.GetServer()))
	}
	bh.home.Open(servers)
}

// loadOf asks a sidecar for its state.
func (s *Sidecar) loadOf(vm kcrplatform.VM) (*kcrwire.Loaded, error) {
	if vm.Name == s.config.Self.VM {
		return s.currentLoad(), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), evidenceTime)
	defer cancel()
	reply, err := s.pool.Call(ctx, vm.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Load{Load: &kcrwire.Load{}}})
	if err != nil {
		return nil, err
	}
	return reply.GetLoaded(), nil
}

func (h *homes) checkHolders(bh *bucketHome) {
	for _, holder := range bh.home.Others() {
		now := h.s.clock.Now()
		alive, superseded := h.alive(holder)
		switch {
		case superseded:
			bh.home.Suspect(holder)
		case alive:
			delete(bh.missing, holder)
		case bh.missing[holder] == 0:
			bh.missing[holder] = now
		case now.Sub(bh.missing[holder]) > deadAfter && bh.home.Suspect(holder):
			h.s.config.Logger.Warn("holder suspected", "holder", holder, "by", bh.home.Self())
		}
	}
}

// alive asks the process of a holder. Superseded means that its VM answers
// with another incarnation, or that this process held it before.
func (h *homes) alive(holder kcrid.Incarnation) (alive, superseded bool) {
	vm, process := vmOf(holder)
	if process == h.s.incarnation {
		return false, true
	}
	entry, ok := h.s.fleet.Find(vm)
	if !ok {
		return false, false
	}
	loaded, err := h.s.loadOf(entry)
	if err != nil {
		return false, false
	}
	same := loaded.GetServer() == string(process)
	return same, !same
}

// collect asks sidecars for the evidence that a recovery needs.
func (h *homes) collect(bh *bucketHome) {
	for _, o := range bh.home.Orders() {
		ev, err := h.evidence(o)
		if err != nil {
			h.s.config.Logger.Debug("evidence missing", "holder", o.Holder, "server", o.Server, "err", err)
			continue
		}
		h.s.config.Logger.Info("evidence", "holder", o.Holder, "server", o.Server, "plans", len(ev.Used), "running", ev.Running)
		bh.home.Evidence(h.s.clock.Now(), o, ev)
	}
}

func (h *homes) evidence(o kcrbudget.Order) (ev kcrbudget.Evidence, err error) {
	if o.Server == h.s.incarnation {
		return h.s.meter.Fence(o.Holder), nil
	}
	vm, _ := vmOf(o.Server)
	entry, ok := h.s.fleet.Find(vm)
	if !ok {
		return ev, fmt.Errorf("VM %s is not listed", vm)
	}
	ctx, cancel := context.WithTimeout(context.Background(), evidenceTime)
	defer cancel()
	reply, err := h.s.pool.Call(ctx, entry.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Collect{Collect: &kcrwire.Collect{Holder: string(o.Holder)}}})
	if err != nil {
		return ev, err
	}
	got := reply.GetEvidence()
	if got.GetServer() != string(o.Server) {
		return ev, fmt.Errorf("expected evidence of %s, got it of %s", o.Server, got.GetServer())
	}
	ev.Running = int(got.GetRunning())
	for _, u := range got.GetUses() {
		ev.Used = append(ev.Used, kcrbudget.Usage{Plan: kcrid.Plan(u.GetPlan()), Tokens: kcrid.Tokens(u.GetTokens())})
	}
	return ev, nil
}
