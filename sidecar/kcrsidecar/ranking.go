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

// This file finds the home of a bucket from outside and asks it for
// reservations. Homes are ranked by rendezvous hashing over the VM list; nothing
// depends on two sidecars ranking them alike.

const (
	homesTried = 3
	// probeInterval is the time between questions to a home that is silent.
	probeInterval = time.Second
)

// ranking is the order of the sidecars as homes, by bucket, for one VM list,
// and which of them did not answer and have not answered a probe since.
type ranking struct {
	mu       sync.Mutex
	byBucket map[kcrid.Bucket][]kcrplatform.VM
	silent   map[kcrid.VM]kcrplatform.VM
}

// heard notes whether a home answered. One that did not is passed over, so
// that only the first requests wait for it.
func (r *ranking) heard(vm kcrplatform.VM, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		delete(r.silent, vm.Name)
		return
	}
	r.silent[vm.Name] = vm
}

// answering returns the homes that are not passed over, or all if none is left.
func (r *ranking) answering(order []kcrplatform.VM) (out []kcrplatform.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range order {
		if _, silent := r.silent[vm.Name]; !silent {
			out = append(out, vm)
		}
	}
	if len(out) == 0 {
		return order
	}
	return out
}

// quiet returns the homes that are passed over.
func (r *ranking) quiet() (out []kcrplatform.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range r.silent {
		out = append(out, vm)
	}
	return out
}

// probe asks silent homes, so that no request has to.
func (s *Sidecar) probeHomes(context.Context) {
	for _, vm := range s.ranking.quiet() {
		if _, err := s.loadOf(vm); err == nil {
			s.ranking.heard(vm, true)
		}
	}
}

// reset forgets the order when the VM list changes.
func (r *ranking) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byBucket = map[kcrid.Bucket][]kcrplatform.VM{}
	r.silent = map[kcrid.VM]kcrplatform.VM{}
}

// ranked returns the sidecars that are asked as homes of a bucket, best first.
// A sidecar is no home for its own runs unless it is alone: what it served must
// be known to another VM if it dies.
func (s *Sidecar) ranked(b kcrid.Bucket) []kcrplatform.VM {
	s.ranking.mu.Lock()
	defer s.ranking.mu.Unlock()
	if order, ok := s.ranking.byBucket[b]; ok {
		return order
	}
	var out []kcrplatform.VM
	for _, vm := range s.fleet.VMs() {
		if s.mayHold(vm) && vm.State != kcrplatform.StateLeaving {
			out = append(out, vm)
		}
	}
	if len(out) == 0 {
		out = append(out, s.ownEntry())
	}
	sort.Slice(out, func(i, j int) bool { return rank(b, out[i].Name) > rank(b, out[j].Name) })
	out = out[:min(homesTried, len(out))]
	s.ranking.byBucket[b] = out
	return out
}

// rank weighs a VM as the home of a bucket.
func rank(b kcrid.Bucket, vm kcrid.VM) uint64 { return kcrid.Ranked(fmt.Sprint(b), string(vm)) }

// first tells whether this sidecar is where others look for the calls of a
// bucket.
func (s *Sidecar) first(b kcrid.Bucket) bool {
	best, self := s.ranked(b)[0].Name, s.config.Self.VM
	return best == self || rank(b, self) > rank(b, best)
}

// alone tells whether there is no other sidecar to be a home.
func (s *Sidecar) alone(b kcrid.Bucket) bool { return s.ranked(b)[0].Name == s.config.Self.VM }

// mayHold tells whether a VM may be a home for runs here.
func (s *Sidecar) mayHold(vm kcrplatform.VM) bool {
	return vm.Region == s.config.Settings.Region && vm.Name != s.config.Self.VM
}

func (s *Sidecar) ownEntry() kcrplatform.VM {
	c := s.config
	return kcrplatform.VM{Name: c.Self.VM, Addr: c.Self.Listen, Zone: c.Self.Zone, Region: c.Settings.Region, Service: c.Self.Service}
}

// grant is a reservation that this sidecar holds.
type reservation struct {
	holder kcrid.Incarnation
	addr   string
	id     uint64
}

// reserve asks the home of a plan for a reservation; where that cannot be
// reached, the next in rank.
func (s *Sidecar) reserve(ctx context.Context, a kcrbudget.Ask) (g reservation, ans kcrbudget.Answer) {
	ans.Code = kcrbudget.Unknowable
	order := s.ranked(kcrid.BucketOf(a.Plan, s.config.Settings.Buckets))
	for _, vm := range s.ranking.answering(order) {
		holder, got, err := s.ask(ctx, vm, a)
		s.ranking.heard(vm, err == nil)
		if err != nil || got.Code == kcrbudget.Deposed {
			continue
		}
		ans = got
		return reservation{holder: holder, addr: vm.Addr, id: got.ID}, ans
	}
	return g, ans
}

func (s *Sidecar) ask(ctx context.Context, vm kcrplatform.VM, a kcrbudget.Ask) (kcrid.Incarnation, kcrbudget.Answer, error) {
	if vm.Name == s.config.Self.VM {
		ans, holder := s.homes.reserve(ctx, a)
		return holder, ans, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveWait.Std()+300*time.Millisecond)
	defer cancel()
	reply, err := s.pool.Call(ctx, vm.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Reserve{Reserve: &kcrwire.Reserve{
		Team: string(a.Call.Team), Key: string(a.Call.Key), Plan: string(a.Plan), Server: string(a.Server),
		Addr: a.Addr, Worst: int64(a.Worst), Rerun: a.Rerun,
	}}})
	if err != nil {
		return "", kcrbudget.Answer{}, err
	}
	r := reply.GetReserved()
	ans := kcrbudget.Answer{Code: kcrbudget.ParseCode(r.GetCode()), ID: r.GetId(), Server: kcrid.Incarnation(r.GetServer()), Addr: r.GetAddr()}
	return kcrid.Incarnation(r.GetHolder()), ans, nil
}
