package kcrnode

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrorigin"
	"kingcuprun.example/link/kcrwire"
)

// This file tells other processes which version of an upstream began a stream, and finds it for
// a stream that a caller takes up. The router that began it knows it, and so do a few processes
// beside upstreams of that version, which outlive the router; they are of use for as long as
// upstreams of the version are. Invariant: a version is told only once the caller is about to
// get the first event from it, so that it never changes.

const (
	// originTimeout bounds a call about the version of a stream.
	originTimeout = 150 * time.Millisecond
	// originHolders is how many processes are told of a stream, and originAsked how many of
	// each version are asked: their lists of upstreams may differ for a moment.
	originHolders = 2
	originAsked   = 3
	// maxAskedPeers bounds the routers that are asked for a version.
	maxAskedPeers = 32
	// maxTelling bounds the streams that are being told.
	maxTelling = 512
)

// originDesk is what a router knows about the versions of streams. It is safe for concurrent
// use.
type originDesk struct {
	register *kcrorigin.Register
	telling  atomic.Int64 // streams that are being told

	mu      sync.Mutex
	homes   map[string][]string // addresses of the processes beside upstreams, by their version
	leaving map[string][]string // the same of upstreams that take no new requests
}

func newOriginDesk() *originDesk { return &originDesk{register: kcrorigin.New()} }

// update replaces the processes beside upstreams, and those beside upstreams that take no new
// requests.
func (d *originDesk) update(homes, leaving map[string][]string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.homes, d.leaving = homes, leaving
}

// holders returns the processes beside upstreams of a version that are told of a stream, in
// order.
func (d *originDesk) holders(version, attempt string) []string {
	d.mu.Lock()
	homes := d.homes[version]
	d.mu.Unlock()
	return rankFor(attempt, homes)
}

// asked returns the processes that may know the version of a stream.
func (d *originDesk) asked(attempt string) (addrs []string) {
	d.mu.Lock()
	groups := []map[string][]string{d.homes, d.leaving}
	d.mu.Unlock()
	for _, byVersion := range groups {
		for _, homes := range byVersion {
			ranked := rankFor(attempt, homes)
			addrs = append(addrs, ranked[:min(len(ranked), originAsked)]...)
		}
	}
	return addrs
}

// rankFor returns addresses in the order of preference for an item, by rendezvous hashing.
func rankFor(item string, addrs []string) []string {
	ranked := slices.Clone(addrs)
	slices.SortFunc(ranked, func(x, y string) int {
		return cmp.Compare(kcrid.RendezvousWeight(item, y), kcrid.RendezvousWeight(item, x))
	})
	return ranked
}

// NoteOrigin records the version that begins the stream of a caller's attempt, and tells other
// processes in the background.
func (n *Node) NoteOrigin(attempt, version string) {
	if version == "" {
		return
	}
	n.origins.register.Note(n.clock.Now(), attempt, version)
	holders := n.origins.holders(version, attempt)
	if len(holders) == 0 {
		return
	}
	if n.origins.telling.Add(1) > maxTelling {
		n.origins.telling.Add(-1)
		n.logger.Warn("version of a stream not told: too many at once", "req", attempt, "version", version)
		return
	}
	n.wg.Go(func() {
		defer n.origins.telling.Add(-1)
		told := 0
		for _, addr := range holders[:min(len(holders), originHolders+1)] {
			ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
			_, err := n.askOrigin(ctx, addr, &kcrwire.Origin{Attempt: attempt, Version: version})
			cancel()
			if err != nil {
				n.logger.Info("version of a stream not told", "req", attempt, "version", version, "home", addr, "err", err.Error())
				continue
			}
			if told++; told == originHolders {
				return
			}
		}
	})
}

// FindOrigin returns the version that began the stream of a caller's attempt.
func (n *Node) FindOrigin(attempt string) (version string, known bool) {
	if version, known = n.origins.register.Find(attempt); known {
		return version, true
	}
	for _, ask := range []func() []string{
		func() []string { return n.origins.asked(attempt) },
		func() []string {
			addrs := n.peers.RecentAddrs(n.clock.Now())
			return addrs[:min(len(addrs), maxAskedPeers)]
		},
	} {
		if version = n.askForOrigin(attempt, ask()); version != "" {
			n.origins.register.Note(n.clock.Now(), attempt, version)
			return version, true
		}
	}
	n.logger.Info("version of a stream not known", "req", attempt)
	return "", false
}

// askForOrigin asks processes at once for the version of a stream, and returns the first that
// is told, "" for none.
func (n *Node) askForOrigin(attempt string, addrs []string) (version string) {
	ctx, cancel := context.WithTimeout(context.Background(), originTimeout)
	defer cancel()
	answers := make(chan string, len(addrs))
	for _, addr := range addrs {
		n.wg.Go(func() {
			found, err := n.askOrigin(ctx, addr, &kcrwire.Origin{Attempt: attempt})
			if err != nil && ctx.Err() == nil {
				n.logger.Info("version of a stream not learned", "req", attempt, "addr", addr, "err", err.Error())
			}
			answers <- found
		})
	}
	for range addrs {
		select {
		case version = <-answers:
		case <-ctx.Done():
			return ""
		}
		if version != "" {
			return version
		}
	}
	return ""
}

// askOrigin tells one process of a stream, or asks it.
func (n *Node) askOrigin(ctx context.Context, addr string, origin *kcrwire.Origin) (version string, err error) {
	reply, err := n.pool.Call(ctx, addr, &kcrwire.Request{Kind: &kcrwire.Request_Origin{Origin: origin}})
	return reply.GetOrigin().GetVersion(), err
}
