package kcrplacement

import (
	"math"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrload"
)

// This file defines what a router tells of its load at upstreams, and what it makes of the load
// that others have told. Invariants: what others have told counts the less the older it is,
// measured by how long requests last, and never beyond its lifetime; then the router goes by its
// own load only. The older it is, the closer all upstreams of a service are taken to be, so that
// routers that read the same digest don't all go where it shows least.

// firstTimeWeight is the weight of the newest time to a first event.
const firstTimeWeight = 0.05

// othersLoad is what other routers had at one upstream at the time of a digest.
type othersLoad struct {
	load kcrload.Load
	mean *meanLoad // of that digest, nil if the upstream came after the last one
}

// meanLoad is the mean over the upstreams of a service at the time of a digest.
type meanLoad struct {
	asked            kcrclock.Time // when the digest was asked for
	at               kcrclock.Time // of the load in it
	until            kcrclock.Time // end of its lifetime
	running, waiting float64
	unread, memory   float64
}

// Others is an estimate of what other routers have at an upstream.
type Others struct {
	Running, Waiting float64
	Unread, Memory   float64 // tokens, see kcrload.Load
}

// OwnLoads returns the load that this router puts on upstreams, without those that have none.
func (t *Table) OwnLoads() (loads []kcrload.Server) {
	for _, s := range t.allServices() {
		s.mu.Lock()
		for _, u := range s.upstreams {
			if u.inflight > 0 {
				loads = append(loads, kcrload.Server{Key: u.key, Load: kcrload.Load{Running: u.inflight, Waiting: u.engine.awaited, Unread: u.backlog, Memory: u.memory.running}})
			}
		}
		s.mu.Unlock()
	}
	return loads
}

// RecordLoads records a digest of what other routers have at upstreams, which was asked for at a
// time. It counts for lifetime from then on. One that was asked for earlier than the last is
// ignored.
func (t *Table) RecordLoads(asked kcrclock.Time, lifetime kcrclock.Duration, d kcrload.Digest) {
	loads := make(map[kcrload.Key]kcrload.Load, len(d.Servers))
	for _, s := range d.Servers {
		loads[s.Key] = s.Load
	}
	for _, s := range t.allServices() {
		s.recordLoads(meanLoad{asked: asked, at: asked.Add(-d.Age), until: asked.Add(lifetime)}, loads)
	}
}

// recordLoads records what others have at the upstreams of the service.
func (s *service) recordLoads(mean meanLoad, loads map[kcrload.Key]kcrload.Load) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.others != nil && mean.asked < s.others.asked {
		return
	}
	for _, u := range s.upstreams {
		l := loads[u.key]
		u.others = othersLoad{load: l, mean: &mean}
		share := 1 / float64(len(s.upstreams))
		mean.running += share * float64(l.Running)
		mean.waiting += share * float64(l.Waiting)
		mean.unread += share * float64(l.Unread)
		mean.memory += share * float64(l.Memory)
	}
	s.others = &mean
}

// estimateOthers estimates what other routers have at an upstream now, the mean if nothing was told
// of it. A digest must be known.
func (s *service) estimateOthers(now kcrclock.Time, u *upstream) Others {
	mean, l := s.others, u.others.load
	age := float64(now.Sub(mean.at))
	begun, ended := stillThere(age, s.firstTime), stillThere(age, s.line.runTime)
	if u.others.mean != mean {
		begun, ended = 0, 0
	}
	return Others{
		Running: blend(ended, float64(l.Running), mean.running),
		Waiting: blend(begun, float64(l.Waiting), mean.waiting),
		Unread:  blend(begun, float64(l.Unread), mean.unread),
		Memory:  blend(ended, float64(l.Memory), mean.memory),
	}
}

const (
	// crowdedFrom is the utilization by all routers from which an upstream counts as crowded: the
	// rest of its slots or memory may be taken before the next digest.
	crowdedFrom = 0.8
	// calmWaiting is the mean number of requests that wait at an upstream at which calm is a half.
	calmWaiting = 2.0
	// An upstream is overrun if overrunExcess more requests wait there than overrunRatio times the
	// mean of its service.
	overrunExcess = 4.0
	overrunRatio  = 3.0
)

// knowsOthers reports whether a digest counts now.
func (s *service) knowsOthers(now kcrclock.Time) bool { return s.others != nil && now < s.others.until }

// othersCost returns what the load of other routers adds to the cost of an upstream.
func (s *service) othersCost(now kcrclock.Time, u *upstream, w *Weights) float64 {
	if !s.knowsOthers(now) {
		return 0
	}
	others := s.estimateOthers(now, u)
	utilization := (float64(u.inflight) + others.Running) / float64(max(1, u.Slots))
	utilization = max(utilization, u.memory.fill(others.Memory, u.Capacity))
	crowding := max(0, utilization-crowdedFrom) / (1 - crowdedFrom)
	return w.FullUpstream*crowding + w.BacklogToken*others.Unread*u.engine.slow()*s.calm()
}

// calm returns 1 while few requests wait at the upstreams of the service, and near 0 while many do:
// then a prompt that is read again elsewhere keeps more requests waiting than it saves. A digest
// must be known.
func (s *service) calm() float64 {
	ratio := s.others.waiting / calmWaiting
	return 1 / (1 + ratio*ratio)
}

// isOverrun reports whether far more requests wait at an upstream than at others, so that it is
// slow or got a crowd. While many wait at all of them, none is.
func (s *service) isOverrun(now kcrclock.Time, u *upstream) bool {
	if !s.knowsOthers(now) {
		return false
	}
	return s.estimateOthers(now, u).Waiting+float64(u.engine.awaited) > overrunExcess+overrunRatio*s.others.waiting
}

// stillThere returns the part of the requests that have not ended after a time, if they take
// length ms in the mean.
func stillThere(ms, length float64) float64 {
	if length <= 0 {
		return 0
	}
	return math.Exp(-ms / length)
}

// blend returns told with a weight, and mean with the rest.
func blend(weight, told, mean float64) float64 { return weight*told + (1-weight)*mean }

// learnFirstTime adds the time to the first event of a request to the average of its service.
func (c *Choice) learnFirstTime(now kcrclock.Time) {
	if c.firstAt != 0 {
		return
	}
	sample, s := float64(now.Sub(c.started)), c.service
	if s.firstTime == 0 {
		s.firstTime = sample
	}
	s.firstTime += firstTimeWeight * (sample - s.firstTime)
}

// allServices returns the services.
func (t *Table) allServices() (list []*service) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for _, s := range t.services {
		list = append(list, s)
	}
	return list
}
