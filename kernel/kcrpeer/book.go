// Package kcrpeer keeps what routers tell each other on a stream of their own:
// that they live, where they take calls, and which requests crash upstreams.
package kcrpeer

import (
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the fold of that stream. Only new records matter: what
// retention has passed is not missed.

// Timing of a book.
const (
	// helloTime is the time between two records of an address.
	helloTime = 5 * kcrclock.Second
	// quietTime is how long a peer may be silent before it no longer counts.
	quietTime = 6 * kcrclock.Second
	// nearTime is how long a peer is asked after it was last heard of; an outage
	// of the log silences all of them.
	nearTime = 30 * kcrclock.Second
)

// Book is one router's view of its peers. It is safe for concurrent use.
type Book struct {
	self kcrid.Incarnation
	addr string

	mu      sync.Mutex
	at      kcrid.Offset
	ready   bool
	helloAt kcrclock.Time
	outbox  *kcrlog.Outbox
	peers   map[kcrid.Incarnation]peer
}

// peer is a router that was heard of.
type peer struct {
	addr  string
	heard kcrclock.Time
}

// New returns an empty book of a router that takes calls at an address.
func New(self kcrid.Incarnation, addr string) *Book {
	return &Book{self: self, addr: addr, outbox: kcrlog.NewOutbox(self), peers: map[kcrid.Incarnation]peer{}}
}

// Apply takes in one record. A record that was there before the stream was read
// to its end names a peer, but not one that lives.
func (b *Book) Apply(now kcrclock.Time, off kcrid.Offset, e *kcrentry.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.at = max(b.at, off)
	writer := kcrid.Incarnation(e.GetWriter())
	if writer == b.self {
		b.outbox.Confirm(e.GetSeq())
		return
	}
	hello := e.GetHello()
	if hello == nil {
		return
	}
	if len(b.peers) >= maxPeers {
		clear(b.peers) // those that live are heard of again soon
	}
	p := peer{addr: hello.GetAddr()}
	if b.ready {
		p.heard = now
	}
	b.peers[writer] = p
}

// maxPeers bounds how many peers are remembered; a restart makes a new one.
const maxPeers = 4096

// At returns the offset of the last record applied.
func (b *Book) At() kcrid.Offset {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.at
}

// Ready tells that the stream was read to its end.
func (b *Book) Ready() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ready = true
}

// Tick tells the peers of this router when that is due.
func (b *Book) Tick(now kcrclock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.ready || b.addr == "" || b.helloAt != 0 && now.Sub(b.helloAt) < helloTime {
		return
	}
	b.helloAt = max(now, 1)
	b.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Hello{Hello: &kcrentry.Hello{Addr: b.addr}}})
}

// Post puts a record for the peers on the stream.
func (b *Book) Post(e *kcrentry.Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outbox.Put(e)
}

// Batch returns the records that are not known to be on the stream.
func (b *Book) Batch(limit int) ([][]byte, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outbox.Batch(limit)
}

// Unsent tells whether there are such records.
func (b *Book) Unsent() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outbox.Len() > 0
}

// Routers returns how many routers, this one included, were heard of lately.
func (b *Book) Routers(now kcrclock.Time) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 1
	for _, p := range b.peers {
		if p.heard > 0 && now.Sub(p.heard) < quietTime {
			n++
		}
	}
	return n
}

// Near returns the addresses of peers that were heard of not too long ago.
func (b *Book) Near(now kcrclock.Time) (out []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.heard > 0 && now.Sub(p.heard) < nearTime {
			out = append(out, p.addr)
		}
	}
	return out
}

// Leads tells whether this router, of all that were heard of lately, is the one
// to do something that one of them has to do.
func (b *Book) Leads(now kcrclock.Time, item string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := kcrid.Ranked(item, string(b.self))
	for name, p := range b.peers {
		if p.heard > 0 && now.Sub(p.heard) < quietTime && kcrid.Ranked(item, string(name)) > own {
			return false
		}
	}
	return true
}
