// Package kcrpeer lets routers discover each other through a shared stream of the
// log. The stream carries Hello records, which tell that a router is alive and at
// which address it accepts calls, and reports of requests that crash upstreams.
package kcrpeer

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines Registry, the set of known peers, computed from the records of
// that stream. Only recent Hello records matter, so those that the log has deleted
// after their retention time are not needed. Invariant: a peer counts as alive
// only after a Hello record of it was applied after MarkReady was called.

const (
	// helloInterval is the time between two Hello records of a router.
	helloInterval = 5 * kcrclock.Second
	// aliveTimeout is the time after its last Hello record from which a peer no
	// longer counts as alive.
	aliveTimeout = 6 * kcrclock.Second
	// rankTimeout is the time after its last Hello record from which a peer is no longer
	// ranked. It is longer than aliveTimeout, so that one late record moves no duties.
	rankTimeout = 11 * kcrclock.Second
	// addressTimeout is the time after its last Hello record from which a peer is
	// no longer asked. It is longer than aliveTimeout, since no Hello record of any
	// peer arrives during an outage of the log.
	addressTimeout = 30 * kcrclock.Second
	// memberTimeout is the time after the last Hello record from a VM from which its
	// router no longer counts as one that shares a limit. It is longer than routers
	// may be cut off from the log while they serve.
	memberTimeout = 2 * kcrclock.Minute
)

// Registry is what one router knows about its peers. It is safe for concurrent use.
type Registry struct {
	self kcrid.Incarnation
	addr string // where this router accepts calls of its peers, empty if it does not

	mu         sync.Mutex
	at         kcrid.Offset   // offset of the last record applied
	ready      bool           // the stream was read to its end
	era        uint64         // of the stream, 0 before its first page
	ownHelloAt kcrclock.Time  // time of the last own Hello record, 0 before the first
	outbox     *kcrlog.Outbox // records that the log has not confirmed
	peers      map[kcrid.Incarnation]peer
	seenAt     map[kcrid.VM]kcrclock.Time // when the last Hello record from a VM was applied, whatever its age
}

// peer is another router that has written a Hello record.
type peer struct {
	addr        string
	lastHelloAt kcrclock.Time // 0 until a Hello record is applied after MarkReady
}

// New returns an empty registry of the router self, which accepts calls of its peers
// at addr. With an empty addr the router never writes a Hello record.
func New(self kcrid.Incarnation, addr string) *Registry {
	return &Registry{self: self, addr: addr, outbox: kcrlog.NewOutbox(self), peers: map[kcrid.Incarnation]peer{}, seenAt: map[kcrid.VM]kcrclock.Time{}}
}

// Apply applies one record of the stream. A Hello record that is applied before
// MarkReady is of unknown age: it makes a peer known, but not alive. Apply reports whether
// the record is the first one of a peer, applied after MarkReady.
func (r *Registry) Apply(now kcrclock.Time, off kcrid.Offset, e *kcrentry.Entry) (joined bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at = max(r.at, off)
	writer := kcrid.Incarnation(e.GetWriter())
	if writer == r.self {
		r.outbox.Confirm(e.GetSeq())
		return false
	}
	hello := e.GetHello()
	if hello == nil {
		return false
	}
	_, known := r.peers[writer]
	if len(r.peers) >= maxPeers {
		clear(r.peers) // peers that are alive soon write another Hello record
	}
	if writer.VM() != r.self.VM() {
		r.seenAt[writer.VM()] = now
	}
	p := peer{addr: hello.GetAddr(), lastHelloAt: r.peers[writer].lastHelloAt}
	if r.ready {
		p.lastHelloAt = now
	}
	r.peers[writer] = p
	return r.ready && !known
}

// maxPeers is the maximum number of known peers. It is needed since each restart
// of a router makes a new peer.
const maxPeers = 4096

// At returns the offset of the last record applied.
func (r *Registry) At() kcrid.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

// BeginEra tells the registry in which era the stream is; see kcrlog.Page. In a new one, its
// records are read again, and it reports true; this router writes another Hello record, since the
// last one may be lost.
func (r *Registry) BeginEra(era uint64) (again bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	again = r.era != 0 && r.era != era
	if r.era = era; again {
		r.at, r.ready, r.ownHelloAt = 0, false, 0
	}
	return again
}

// MarkReady tells the registry that the stream was read to its end.
func (r *Registry) MarkReady() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ready = true
}

// Ready reports whether MarkReady was called.
func (r *Registry) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ready
}

// Tick queues a Hello record of this router if one is due.
func (r *Registry) Tick(now kcrclock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready || r.addr == "" || r.ownHelloAt != 0 && now.Sub(r.ownHelloAt) < helloInterval {
		return
	}
	r.ownHelloAt = max(now, 1)
	r.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Hello{Hello: &kcrentry.Hello{Addr: r.addr}}})
}

// Enqueue queues a record to be appended to the stream.
func (r *Registry) Enqueue(e *kcrentry.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outbox.Enqueue(e)
}

// Batch returns the queued records that the log has not confirmed, at most limit,
// and the sequence of the last one; see kcrlog.Outbox.Batch.
func (r *Registry) Batch(limit int) ([][]byte, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outbox.Batch(limit)
}

// HasUnconfirmed tells whether there are queued records that the log has not confirmed.
func (r *Registry) HasUnconfirmed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outbox.Len() > 0
}

// LiveRouters returns the number of routers that are alive, this one included.
func (r *Registry) LiveRouters(now kcrclock.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 1
	for _, p := range r.peers {
		if p.lastHelloAt > 0 && now.Sub(p.lastHelloAt) < aliveTimeout {
			count++
		}
	}
	return count
}

// KnownRouters returns how many routers may be serving, this one included: those that
// have written a Hello record within memberTimeout, counted by VM. Unlike LiveRouters it
// includes routers that are cut off from the log. It returns 0 until the stream was read
// to its end.
func (r *Registry) KnownRouters(now kcrclock.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.ready {
		return 0
	}
	count := 1
	for vm, at := range r.seenAt {
		if now.Sub(at) < memberTimeout {
			count++
			continue
		}
		delete(r.seenAt, vm)
	}
	return count
}

// RecentAddrs returns the addresses of the peers whose last Hello record was applied less
// than addressTimeout ago, in no particular order.
func (r *Registry) RecentAddrs(now kcrclock.Time) (addrs []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if p.lastHelloAt > 0 && now.Sub(p.lastHelloAt) < addressTimeout {
			addrs = append(addrs, p.addr)
		}
	}
	return addrs
}

// OwnsItem tells whether this router is the one among those alive that is responsible
// for an item; see Rank.
func (r *Registry) OwnsItem(now kcrclock.Time, item string) bool { return r.Rank(now, item) == 0 }

// Rank returns the place of this router, from 0, in the order of responsibility for an
// item, by rendezvous hashing among the peers that have written a Hello record within
// rankTimeout. Routers whose sets of such peers differ may disagree.
func (r *Registry) Rank(now kcrclock.Time, item string) (rank int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ownWeight := kcrid.RendezvousWeight(item, string(r.self))
	for name, p := range r.peers {
		if p.lastHelloAt > 0 && now.Sub(p.lastHelloAt) < rankTimeout && kcrid.RendezvousWeight(item, string(name)) > ownWeight {
			rank++
		}
	}
	return rank
}
