package kcrsidecar

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrplatform"
	"kingcuprun.example/link/kcrwire"
)

// This file finds the home of a bucket among the sidecars and asks it for reservations.
// Sidecars are ranked as homes by rendezvous hashing over the VM list. Correctness does
// not depend on two sidecars having the same ranking.

const (
	// maxHomesAsked is how many sidecars are asked as homes of a bucket, best first.
	maxHomesAsked = 3
	// probeInterval is the time between probes of a home that did not answer.
	probeInterval = time.Second
)

// homeRanking caches the order of the sidecars as homes of each bucket for the current
// VM list. It also holds the sidecars that did not answer a request and have not
// answered a probe since.
type homeRanking struct {
	mu           sync.Mutex
	byBucket     map[kcrid.Bucket][]kcrplatform.VM
	unresponsive map[kcrid.VM]kcrplatform.VM
}

// recordResponse records whether a home answered. A home that did not is skipped from
// then on, so that only the first requests wait for it.
func (r *homeRanking) recordResponse(vm kcrplatform.VM, answered bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if answered {
		delete(r.unresponsive, vm.Name)
		return
	}
	r.unresponsive[vm.Name] = vm
}

// filterResponsive returns the homes that are not skipped, or all if none is left.
func (r *homeRanking) filterResponsive(order []kcrplatform.VM) (answering []kcrplatform.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range order {
		if _, unresponsive := r.unresponsive[vm.Name]; !unresponsive {
			answering = append(answering, vm)
		}
	}
	if len(answering) == 0 {
		return order
	}
	return answering
}

// listUnresponsive returns the homes that are skipped.
func (r *homeRanking) listUnresponsive() (vms []kcrplatform.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range r.unresponsive {
		vms = append(vms, vm)
	}
	return vms
}

// probeHomes probes the homes that are skipped, so that no request has to wait for one
// to find out that it answers again.
func (s *Sidecar) probeHomes(context.Context) {
	for _, vm := range s.ranking.listUnresponsive() {
		if _, err := s.fetchLoad(vm); err == nil {
			s.ranking.recordResponse(vm, true)
		}
	}
}

// reset clears the ranking; it is called when the VM list changes.
func (r *homeRanking) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byBucket = map[kcrid.Bucket][]kcrplatform.VM{}
	r.unresponsive = map[kcrid.VM]kcrplatform.VM{}
}

// homesOf returns the sidecars that are asked as homes of a bucket, best first. A
// sidecar does not ask itself unless there is no other candidate: if it dies, another VM
// must know what it served.
func (s *Sidecar) homesOf(bucket kcrid.Bucket) []kcrplatform.VM {
	s.ranking.mu.Lock()
	defer s.ranking.mu.Unlock()
	if order, ok := s.ranking.byBucket[bucket]; ok {
		return order
	}
	var vms []kcrplatform.VM
	for _, vm := range s.vmList.VMs() {
		if s.isHomeCandidate(vm) && vm.State != kcrplatform.StateLeaving {
			vms = append(vms, vm)
		}
	}
	if len(vms) == 0 {
		vms = append(vms, s.ownVM())
	}
	sort.Slice(vms, func(i, j int) bool { return weight(bucket, vms[i].Name) > weight(bucket, vms[j].Name) })
	vms = vms[:min(maxHomesAsked, len(vms))]
	s.ranking.byBucket[bucket] = vms
	return vms
}

// weight returns the rendezvous weight of a VM as a home of a bucket; the highest wins.
func weight(b kcrid.Bucket, vm kcrid.VM) uint64 {
	return kcrid.RendezvousWeight(fmt.Sprint(b), string(vm))
}

// isFirstHome reports whether the other sidecars ask this one first as the home of a
// bucket.
func (s *Sidecar) isFirstHome(bucket kcrid.Bucket) bool {
	best, self := s.homesOf(bucket)[0].Name, s.config.UpstreamSettings.VM
	return best == self || weight(bucket, self) > weight(bucket, best)
}

// isAlone reports whether no other sidecar can be a home of a bucket.
func (s *Sidecar) isAlone(b kcrid.Bucket) bool {
	return s.homesOf(b)[0].Name == s.config.UpstreamSettings.VM
}

// isHomeCandidate reports whether the sidecar of a VM may be a home for runs at this
// upstream: it is another VM of the region.
func (s *Sidecar) isHomeCandidate(vm kcrplatform.VM) bool {
	return vm.Region == s.config.Settings.Region && vm.Name != s.config.UpstreamSettings.VM
}

// ownVM returns this sidecar in the form of an entry of the VM list.
func (s *Sidecar) ownVM() kcrplatform.VM {
	config := s.config
	return kcrplatform.VM{Name: config.UpstreamSettings.VM, Addr: config.UpstreamSettings.Listen, Zone: config.UpstreamSettings.Zone, Region: config.Settings.Region, Service: config.UpstreamSettings.Service}
}

// reservation identifies tokens of a plan that a home has reserved for one run at this
// sidecar.
type reservation struct {
	holder kcrid.Incarnation
	addr   string // of the home
	id     uint64
}

// requestReservation asks the home of a plan for a reservation. If the home does not
// answer or has lost its grants, it asks the next in rank.
func (s *Sidecar) requestReservation(ctx context.Context, req kcrbudget.ReserveRequest) (reserved reservation, result kcrbudget.ReserveResult) {
	result.Outcome = kcrbudget.BudgetUnknown
	order := s.homesOf(kcrid.BucketOf(req.Plan, s.config.Settings.Buckets))
	for _, vm := range s.ranking.filterResponsive(order) {
		holder, got, err := s.askHome(ctx, vm, req)
		s.ranking.recordResponse(vm, err == nil)
		if err != nil || got.Outcome == kcrbudget.NotHolder {
			continue
		}
		result = got
		return reservation{holder: holder, addr: vm.Addr, id: got.ID}, result
	}
	return reserved, result
}

// askHome asks the sidecar of one VM, which may be this one, for a reservation. Its
// timeout leaves 300 ms for the network.
func (s *Sidecar) askHome(ctx context.Context, vm kcrplatform.VM, req kcrbudget.ReserveRequest) (kcrid.Incarnation, kcrbudget.ReserveResult, error) {
	if vm.Name == s.config.UpstreamSettings.VM {
		result, holder := s.homes.reserve(ctx, req)
		return holder, result, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout.Std()+300*time.Millisecond)
	defer cancel()
	reply, err := s.pool.Call(ctx, vm.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Reserve{Reserve: &kcrwire.Reserve{
		Team: string(req.Call.Team), Key: string(req.Call.Key), Plan: string(req.Plan), Server: string(req.Server),
		Addr: req.Addr, Worst: int64(req.WorstCase), Rerun: req.AllowRerun,
	}}})
	if err != nil {
		return "", kcrbudget.ReserveResult{}, err
	}
	reserved := reply.GetReserved()
	result := kcrbudget.ReserveResult{Outcome: kcrbudget.ParseReserveOutcome(reserved.GetCode()), ID: reserved.GetId(), Server: kcrid.Incarnation(reserved.GetServer()), Addr: reserved.GetAddr()}
	return kcrid.Incarnation(reserved.GetHolder()), result, nil
}
