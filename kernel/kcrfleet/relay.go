package kcrfleet

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines how a large fleet learns of upstreams. Each upstream writes its entry
// anew about once a second, so that the bytes that all routers read grow with the product
// of routers and upstreams. Above a size a few routers, the relays, read all entries, and
// tell the others what has changed, with a digest of the whole list. Invariants: a router
// relies on relays only while one of them was heard a moment ago, and the digest of one
// equalled its own a moment ago; otherwise it reads the entries itself.

// Sizes and times of relaying.
const (
	// RelayCount is the number of relays.
	RelayCount = 3
	// MaxDirectReads is the number of routers times that of upstreams up to which all
	// routers read all entries.
	MaxDirectReads = 20000
	// RelayInterval is the time between two messages of a relay.
	RelayInterval = 300 * kcrclock.Millisecond
	// maxRelaySilence is the time after the last message from which relays count as lost.
	maxRelaySilence = kcrclock.Second
	// maxDigestAge is the time after the last equal digest from which relays are not
	// relied on. Digests differ for a moment whenever the list changes.
	maxDigestAge = 3 * kcrclock.Second
	// minRelayTime is how long relays must be heard before a router relies on them.
	minRelayTime = 2 * kcrclock.Second
	// maxRelayMembers is the maximum number of members in one message.
	maxRelayMembers = 400
)

// RelayMessage is what a relay tells. Members have changed, Removed are gone.
type RelayMessage struct {
	Members []Member
	Removed []Member
	Digest  uint64
}

// digest returns a hash of a member, without what each new entry changes. That of a list
// is the exclusive or of its members'.
func (m Member) digest() uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprintf(h, "%+v", m.relayed()) // never fails
	return h.Sum64()
}

// relayed returns the member without what each new entry changes: of the time for which it is
// cold, only whether it is.
func (m Member) relayed() Member {
	m.Sequence, m.Cold = 0, min(m.Cold, 1)
	return m
}

// RelayLog is what a relay has told. It is not safe for concurrent use.
type RelayLog struct {
	told   map[kcrid.VM]Member // nil before the first call of Messages
	digest uint64              // of the list that was told
}

// Messages returns the messages that tell how the list has changed since the last call,
// at least one. The first call tells no change.
func (l *RelayLog) Messages(f *Fleet) (messages []RelayMessage) {
	members, digest := f.listed()
	message := RelayMessage{Digest: digest}
	if l.told != nil && digest == l.digest {
		return []RelayMessage{message}
	}
	l.digest = digest
	listed := make(map[kcrid.VM]Member, len(members))
	for _, m := range members {
		listed[m.ID] = m.relayed()
		if told, ok := l.told[m.ID]; l.told == nil || ok && told == m.relayed() {
			continue
		}
		message.Members = append(message.Members, m)
		if len(message.Members) == maxRelayMembers {
			messages = append(messages, message)
			message = RelayMessage{Digest: message.Digest}
		}
	}
	for id, m := range l.told {
		if _, ok := listed[id]; !ok {
			message.Removed = append(message.Removed, m)
		}
	}
	l.told = listed
	return append(messages, message)
}

// RelayWatch tells whether a router may rely on relays. It is not safe for concurrent use.
type RelayWatch struct {
	heardSince kcrclock.Time // first message since the last silence
	heardAt    kcrclock.Time // last message
	equalAt    kcrclock.Time // last message with the digest of this router
}

// Hear records a message; equal tells whether its digest is that of the router's list
// after the message was applied.
func (w *RelayWatch) Hear(now kcrclock.Time, equal bool) {
	if w.heardAt == 0 || now.Sub(w.heardAt) > maxRelaySilence {
		w.heardSince = now
	}
	w.heardAt = now
	if equal {
		w.equalAt = now
	}
}

// Reliable reports whether the router may rely on relays now.
func (w *RelayWatch) Reliable(now kcrclock.Time) bool {
	return w.heardAt > 0 && now.Sub(w.heardAt) <= maxRelaySilence && now.Sub(w.heardSince) >= minRelayTime &&
		w.equalAt > 0 && now.Sub(w.equalAt) <= maxDigestAge
}
