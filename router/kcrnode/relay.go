package kcrnode

import (
	"encoding/json"
	"sync"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrfleet"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrdaemon"
)

// This file connects a router to the relays of a large fleet; see package kcrfleet. The
// relays are the first routers in rank for the stream. Invariant: a router that is a
// relay, or that does not rely on relays, reads all entries.

// relay is the part of a node that tells other routers of upstreams, or hears of them.
type relay struct {
	node  *Node
	start func() *kcrdaemon.Follower

	followMu sync.Mutex          // guards follower, which only tick sets, and closed
	follower *kcrdaemon.Follower // nil until the fleet is large
	closed   bool

	mu            sync.Mutex
	at            kcrid.Offset // offset of the last record applied
	era           uint64       // of the stream, 0 before its first page
	ready         bool         // the stream was read to its end
	outbox        *kcrlog.Outbox
	watch         kcrfleet.RelayWatch
	log           *kcrfleet.RelayLog // nil while this router is no relay
	toldAt        kcrclock.Time      // last message of this router
	storeReadAt   kcrclock.Time      // when this router last read the entries itself, 0 for never
	relies        bool               // this router relies on relays
	maxDirectRead int                // see kcrfleet.MaxDirectReads
}

// Timing of relays.
const (
	// relayReadPause is the time between two reads of their stream.
	relayReadPause = 200 * time.Millisecond
	// maxStoreReadAge is the age up to which what a router has read from the store itself
	// counts as current. It is longer than the store holds a read.
	maxStoreReadAge = kcrclock.Second
)

func newRelay(n *Node, c Config) *relay {
	r := &relay{node: n, outbox: kcrlog.NewOutbox(c.Self), maxDirectRead: c.MaxDirectReads}
	if r.maxDirectRead == 0 {
		r.maxDirectRead = kcrfleet.MaxDirectReads
	}
	r.start = func() *kcrdaemon.Follower {
		return kcrdaemon.NewFollower(c.Log, kcrid.FleetStream, kcrdaemon.StateMachine{
			Apply: r.apply, Offset: r.offset, Batch: r.batch, MarkReady: r.markReady, BeginEra: r.beginEra, AllowsGaps: true,
			ReadDelay: func() time.Duration { return relayReadPause },
		}, c.Logger, c.SnapshotInterval.Std())
	}
	return r
}

func (r *relay) offset() kcrid.Offset {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.at
}

func (r *relay) batch(limit int) ([][]byte, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outbox.Batch(limit)
}

// beginEra makes the stream be read again when the log has come back from an older copy.
func (r *relay) beginEra(era uint64) (again bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	again = r.era != 0 && r.era != era
	if r.era = era; again {
		r.at, r.ready = 0, false
	}
	return again
}

// markReady puts what the last page brought into effect.
func (r *relay) markReady() {
	r.mu.Lock()
	r.ready = true
	r.mu.Unlock()
	r.node.EntriesApplied()
}

// apply applies one record of the stream. Records from before this router has reached the
// end of the stream are of unknown age, but what they tell is not newer than the entries.
func (r *relay) apply(off kcrid.Offset, e *kcrentry.Entry) {
	now := r.node.clock.Now()
	own, ready := r.recordApplied(off, e)
	k := e.GetRelay()
	if own || !ready || k == nil {
		return
	}
	var members, removed []kcrfleet.Member
	if err := decodeMembers(k.GetMembers(), &members); err != nil {
		r.node.logger.Warn("members of a relay ignored", "offset", uint64(off), "err", err.Error())
		return
	}
	if err := decodeMembers(k.GetRemoved(), &removed); err != nil {
		r.node.logger.Warn("removals of a relay ignored", "offset", uint64(off), "err", err.Error())
		return
	}
	for _, m := range members {
		r.node.ApplyEntry(m)
	}
	for _, m := range removed {
		if r.node.fleet.RemoveStarted(m.ID, m.Born) {
			r.node.logger.Info("upstream entry removed", "id", string(m.ID), "gone", true, "relay", e.GetWriter())
			r.node.entriesChanged.Store(true)
		}
	}
	equal := r.node.fleet.Digest() == k.GetDigest()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watch.Hear(now, equal)
	if r.relies {
		r.node.recordCurrent()
	}
}

// recordApplied records that a record was applied. It reports whether the record is this
// router's, and whether the end of the stream was reached before.
func (r *relay) recordApplied(off kcrid.Offset, e *kcrentry.Entry) (own, ready bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at = max(r.at, off)
	if own = kcrid.Incarnation(e.GetWriter()) == r.node.self; own {
		r.outbox.Confirm(e.GetSeq())
	}
	return own, r.ready
}

// decodeMembers decodes a JSON array, or nothing.
func decodeMembers(data []byte, members *[]kcrfleet.Member) error {
	if len(data) == 0 {
		return nil
	}
	return json.Unmarshal(data, members)
}

// recordStoreRead records that this router has read the entries itself.
func (r *relay) recordStoreRead(now kcrclock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeReadAt = now
}

// follow follows the stream once the fleet is large, and reports whether it does.
func (r *relay) follow() bool {
	r.followMu.Lock()
	defer r.followMu.Unlock()
	routers, upstreams := r.node.knownRouters(), r.node.fleet.Len()
	if r.follower == nil && !r.closed && routers*upstreams > r.maxDirectRead {
		r.follower = r.start()
		r.node.logger.Info("the fleet is large: a few routers read all entries and tell the others", "routers", routers, "upstreams", upstreams)
	}
	return r.follower != nil
}

// tick decides whether this router is a relay, tells what has changed if it is one, and
// decides whether it relies on relays.
func (r *relay) tick(now kcrclock.Time) {
	if !r.follow() {
		return
	}
	isRelay := r.node.peers.Rank(now, string(kcrid.FleetStream)) < kcrfleet.RelayCount
	r.mu.Lock()
	readsStore := r.storeReadAt > 0 && now.Sub(r.storeReadAt) <= maxStoreReadAge
	tells := isRelay && readsStore && r.ready
	if !tells {
		r.log = nil
	}
	relied := r.relies
	// A router begins to rely on relays only while it is up to date itself.
	r.relies = !isRelay && r.watch.Reliable(now) && (relied || readsStore)
	changed := r.relies != relied
	due := tells && now.Sub(r.toldAt) >= kcrfleet.RelayInterval
	r.mu.Unlock()
	if changed {
		r.node.logger.Info("source of entries", "relays", !relied)
	}
	if due {
		r.tell(now)
	}
}

// tell enqueues messages for the other routers.
func (r *relay) tell(now kcrclock.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.log == nil {
		r.log = &kcrfleet.RelayLog{}
	}
	r.toldAt = now
	for _, message := range r.log.Messages(r.node.fleet) {
		k := &kcrentry.Relay{Digest: message.Digest}
		var err error
		if k.Members, err = encodeMembers(message.Members); err != nil {
			r.node.logger.Error("members not told", "err", err.Error())
			continue
		}
		if k.Removed, err = encodeMembers(message.Removed); err != nil {
			r.node.logger.Error("removals not told", "err", err.Error())
			continue
		}
		r.outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Relay{Relay: k}})
	}
	r.follower.Wake()
}

// encodeMembers encodes members as a JSON array, or as nothing if there are none.
func encodeMembers(members []kcrfleet.Member) ([]byte, error) {
	if len(members) == 0 {
		return nil, nil
	}
	return json.Marshal(members)
}

// reliesOnRelays reports whether this router need not read the entries itself.
func (r *relay) reliesOnRelays() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.relies
}

// close stops the following of the stream.
func (r *relay) close() {
	r.followMu.Lock()
	defer r.followMu.Unlock()
	r.closed = true
	if r.follower != nil {
		r.follower.Close()
	}
}
