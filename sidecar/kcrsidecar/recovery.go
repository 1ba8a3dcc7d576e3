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

// This file monitors the processes on which a home depends: the sidecars that hold its
// reservations, and the other holders of grants of its bucket. The grants of a holder
// that has died are recovered from the evidence of the sidecars about what was served
// under it.

const (
	// sidecarTimeout is the silence after which a sidecar counts as lost.
	sidecarTimeout = 10 * kcrclock.Second
	// holderTimeout is how long a holder must not answer before it is recovered.
	holderTimeout   = 10 * kcrclock.Second
	checkInterval   = 2 * kcrclock.Second
	peerCallTimeout = 500 * time.Millisecond
	// maxOpensPerCheck bounds the sidecars that openSidecars asks in one check.
	maxOpensPerCheck = 16
)

// closeSilentSidecars closes the sidecars that hold reservations and have sent no message
// for sidecarTimeout. What they had reserved counts as spent.
func (h *homeSet) closeSilentSidecars(hosted *hostedHome, now kcrclock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for server, contactAt := range hosted.lastContact {
		if now.Sub(contactAt) <= sidecarTimeout {
			continue
		}
		delete(hosted.lastContact, server)
		if hosted.home.OutstandingAt(server) > 0 && server != h.sidecar.incarnation {
			h.sidecar.config.Logger.Warn("sidecar lost", "server", server, "home", hosted.home.Self())
			hosted.home.CloseServer(now, server)
		}
	}
}

// startCheck checks the other holders of a bucket in the background, unless a check is
// running or the last one is recent.
func (h *homeSet) startCheck(hosted *hostedHome, now kcrclock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if hosted.checking || h.closed || now.Sub(hosted.lastCheck) < checkInterval {
		return
	}
	hosted.lastCheck = now
	hosted.checking = true
	h.background.Go(func() {
		h.checkHolders(hosted)
		h.collectEvidence(hosted)
		h.openSidecars(hosted)
		h.mu.Lock()
		hosted.checking = false
		h.mu.Unlock()
	})
}

// openSidecars asks the ledger to open the sidecars of the region before they ask for
// reservations, a few in each check. An open sidecar can get reservations while the log
// is down.
func (h *homeSet) openSidecars(hosted *hostedHome) {
	var servers []kcrid.Incarnation
	asked := 0
	for _, vm := range h.sidecar.vmList.VMs() {
		if !h.sidecar.isHomeCandidate(vm) || hosted.openRequested[vm.Name] || asked == maxOpensPerCheck {
			continue
		}
		asked++
		loaded, err := h.sidecar.fetchLoad(vm)
		if err != nil {
			continue
		}
		hosted.openRequested[vm.Name] = true
		servers = append(servers, kcrid.Incarnation(loaded.GetServer()))
	}
	hosted.home.Open(servers)
}

// fetchLoad asks a sidecar for its load and state.
func (s *Sidecar) fetchLoad(vm kcrplatform.VM) (*kcrwire.Loaded, error) {
	if vm.Name == s.config.UpstreamSettings.VM {
		return s.currentLoad(), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	reply, err := s.pool.Call(ctx, vm.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Load{Load: &kcrwire.Load{}}})
	if err != nil {
		return nil, err
	}
	return reply.GetLoaded(), nil
}

// checkHolders probes the other holders of a bucket, and starts the recovery of those
// that were superseded or have not answered for holderTimeout.
func (h *homeSet) checkHolders(hosted *hostedHome) {
	for _, holder := range hosted.home.OtherHolders() {
		now := h.sidecar.clock.Now()
		alive, superseded := h.probeHolder(holder)
		switch {
		case superseded:
			hosted.home.StartRecovery(holder)
		case alive:
			delete(hosted.unreachableSince, holder)
		case hosted.unreachableSince[holder] == 0:
			hosted.unreachableSince[holder] = now
		case now.Sub(hosted.unreachableSince[holder]) > holderTimeout && hosted.home.StartRecovery(holder):
			h.sidecar.config.Logger.Warn("holder does not answer, recovery started", "holder", holder, "by", hosted.home.Self())
		}
	}
}

// probeHolder asks the process of a holder for its state. Superseded means that the VM
// answers with another incarnation, so the holder's process has ended, or that the
// holder is an earlier home of this process.
func (h *homeSet) probeHolder(holder kcrid.Incarnation) (alive, superseded bool) {
	vm, server := splitIncarnation(holder)
	if server == h.sidecar.incarnation {
		return false, true
	}
	listed, ok := h.sidecar.vmList.Find(vm)
	if !ok {
		return false, false
	}
	loaded, err := h.sidecar.fetchLoad(listed)
	if err != nil {
		return false, false
	}
	same := loaded.GetServer() == string(server)
	return same, !same
}

// collectEvidence asks sidecars for the evidence that recoveries still need.
func (h *homeSet) collectEvidence(hosted *hostedHome) {
	for _, request := range hosted.home.MissingEvidence() {
		evidence, err := h.fetchEvidence(request)
		if err != nil {
			h.sidecar.config.Logger.Debug("cannot fetch evidence", "holder", request.Holder, "server", request.Server, "err", err)
			continue
		}
		h.sidecar.config.Logger.Info("evidence", "holder", request.Holder, "server", request.Server, "plans", len(evidence.Used), "running", evidence.Running)
		hosted.home.AddEvidence(h.sidecar.clock.Now(), request, evidence)
	}
}

// fetchEvidence fences a holder at a sidecar, which may be this one, and returns what was
// served there under the holder.
func (h *homeSet) fetchEvidence(request kcrbudget.EvidenceRequest) (evidence kcrbudget.Evidence, err error) {
	if request.Server == h.sidecar.incarnation {
		return h.sidecar.meter.Fence(request.Holder), nil
	}
	vm, _ := splitIncarnation(request.Server)
	listed, ok := h.sidecar.vmList.Find(vm)
	if !ok {
		return evidence, fmt.Errorf("VM %q is not on the VM list", vm)
	}
	ctx, cancel := context.WithTimeout(context.Background(), peerCallTimeout)
	defer cancel()
	reply, err := h.sidecar.pool.Call(ctx, listed.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Collect{Collect: &kcrwire.Collect{Holder: string(request.Holder)}}})
	if err != nil {
		return evidence, err
	}
	got := reply.GetEvidence()
	if got.GetServer() != string(request.Server) {
		return evidence, fmt.Errorf("expected evidence from %q, got it from %q", request.Server, got.GetServer())
	}
	evidence.Running = int(got.GetRunning())
	for _, use := range got.GetUses() {
		evidence.Used = append(evidence.Used, kcrbudget.Usage{Plan: kcrid.Plan(use.GetPlan()), Tokens: kcrid.Tokens(use.GetTokens())})
	}
	return evidence, nil
}
