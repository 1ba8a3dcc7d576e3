package kcrnode

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"strconv"
	"time"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrfleet"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrwire"
)

// This file defines the exchange of state between routers. A router asks its peers
// for the configuration and the orders for zones while the store does not provide them, and for
// the members if the store has never answered; with a configuration it gets the crashes. Invariants: a configuration is applied only if its
// version is higher, whatever its source; members that came from the store are not
// replaced by those of a peer.

// peerState is the state that a router sends to a peer with an older configuration.
type peerState struct {
	Config  json.RawMessage   `json:"config"`
	Members []kcrfleet.Member `json:"members"`
	Crashes crashState        `json:"crashes"`
}

// Timing of requests to peers.
const (
	// initialFetchDelay is how long the store has to answer after the start before
	// a peer is asked.
	initialFetchDelay = 400 * time.Millisecond
	// fetchInterval is the time in which each peer is asked once.
	fetchInterval = 500 * time.Millisecond
	// doubtedFetches is how many peers are asked for a newer configuration after the start, and
	// when the store has come back from an older copy.
	doubtedFetches = 3
	// fetchTimeout bounds one request to a peer, until the reply begins. It grows to as much as
	// longestFetchTimeout while requests take longer.
	fetchTimeout        = 300 * time.Millisecond
	longestFetchTimeout = 2400 * time.Millisecond
)

// handlePeerRequest answers a request of another router.
func (n *Node) handlePeerRequest(_ context.Context, req *kcrwire.Request, s *kcrlink.Stream) {
	var reply *kcrwire.Reply
	switch k := req.GetKind().(type) {
	case *kcrwire.Request_Lists:
		reply = n.handleLists(k.Lists)
	case *kcrwire.Request_Origin:
		version, _ := n.origins.register.Find(k.Origin.GetAttempt())
		reply = &kcrwire.Reply{Kind: &kcrwire.Reply_Origin{Origin: &kcrwire.Origin{Attempt: k.Origin.GetAttempt(), Version: version}}}
	default:
		reply = &kcrwire.Reply{Error: "expected lists or origin"}
	}
	if err := s.Send(reply); err != nil {
		n.logger.Info("reply to a peer not sent", "err", err.Error())
	}
}

// handleLists returns the orders for zones that this router knows, and the configuration and the
// members if its configuration is newer than that of the peer.
func (n *Node) handleLists(req *kcrwire.Lists) *kcrwire.Reply {
	zones, err := n.encodeZones()
	if err != nil {
		return &kcrwire.Reply{Error: err.Error()}
	}
	listed := &kcrwire.Listed{Zones: zones}
	if r := n.rules.Rules(); r != nil && r.Version > req.GetAt() {
		state, err := json.Marshal(peerState{Config: r.Source, Members: n.fleet.Members(), Crashes: n.crashState()})
		if err != nil {
			return &kcrwire.Reply{Error: err.Error()}
		}
		listed.At, listed.State = r.Version, state
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Listed{Listed: listed}}
}

// fetchFromPeers asks the peers, one after the other, while the store does not
// provide the configuration, and a few of them while it may provide an older one.
func (n *Node) fetchFromPeers(ctx context.Context, configuredPeers []string) {
	kcrdaemon.Sleep(ctx, initialFetchDelay)
	for i := 0; ctx.Err() == nil; i++ {
		addrs := n.peerAddrs(configuredPeers)
		if len(addrs) > 0 && (n.configUnavailable.Load() || n.configDoubts.Load() > 0) {
			n.configDoubts.Store(max(0, n.configDoubts.Load()-1))
			n.fetchFromPeer(ctx, addrs[i%len(addrs)])
		}
		kcrdaemon.Sleep(ctx, fetchInterval/time.Duration(max(1, len(addrs))))
	}
}

// peerAddrs returns the addresses of the routers that have recently written to the
// peer stream or, if there are none, those from the settings.
func (n *Node) peerAddrs(configuredPeers []string) (addrs []string) {
	if addrs = n.peers.RecentAddrs(n.clock.Now()); len(addrs) == 0 {
		return configuredPeers
	}
	return addrs
}

// followPeers starts to follow the stream on which routers announce their addresses
// and the requests that crashed an upstream.
func (n *Node) followPeers(c Config) {
	n.peerFollower = kcrdaemon.NewFollower(c.Log, kcrid.PeerStream, kcrdaemon.StateMachine{
		Apply: func(off kcrid.Offset, e *kcrentry.Entry) {
			if joined := n.peers.Apply(n.clock.Now(), off, e); joined {
				n.tellBans()
			}
			n.applyParts(e)
			n.applySuspect(e)
			n.applyLeaving(e)
		},
		Offset: n.peers.At, Batch: n.peers.Batch, AllowsGaps: true,
		BeginEra: func(era uint64) (again bool) {
			if again = n.peers.BeginEra(era); again {
				n.bansLost.Store(true)
			}
			return again
		},
		MarkReady: func() {
			n.peers.MarkReady()
			n.markLearned()
			if n.bansLost.Swap(false) {
				n.tellBans()
			}
		},
		ReadDelay: func() time.Duration { return peerReadInterval },
		Snapshot:  n.snapshotCrashes, Restore: n.restoreCrashes, IsSnapshotWriter: n.writesCrashes,
	}, c.Logger, c.SnapshotInterval.Std())
}

// reportLeaving tells the other routers that an upstream leaves.
func (n *Node) reportLeaving(upstream kcrid.Incarnation) {
	n.peers.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Leave{Leave: &kcrentry.Leave{Vm: string(upstream)}}})
	n.peerFollower.Wake()
}

// applyLeaving applies that an upstream has told another router that it leaves.
func (n *Node) applyLeaving(e *kcrentry.Entry) {
	if e.GetLeave() == nil || kcrid.Incarnation(e.GetWriter()) == n.self {
		return
	}
	upstream := kcrid.Incarnation(e.GetLeave().GetVm())
	born, err := strconv.ParseInt(upstream.Run(), 10, 64)
	if err != nil {
		n.logger.Warn("leaving ignored: expected the start of an upstream", "id", string(upstream), "by", e.GetWriter())
		return
	}
	n.table.RecordLeaving(upstream.VM(), born)
	n.logger.Info("upstream leaves", "id", string(upstream.VM()), "born", born, "by", e.GetWriter())
}

// peerReadInterval is the time between two reads of the peer stream.
const peerReadInterval = 300 * time.Millisecond

// configVersion returns the version of the configuration in force, 0 if there is
// none yet.
func (n *Node) configVersion() uint64 {
	if r := n.rules.Rules(); r != nil {
		return r.Version
	}
	return 0
}

// fetchFromPeer asks one peer for its state and applies what is newer.
func (n *Node) fetchFromPeer(ctx context.Context, addr string) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, n.fetches.Timeout(fetchTimeout))
	defer cancel()
	reply, err := n.pool.Call(ctx, addr, &kcrwire.Request{Kind: &kcrwire.Request_Lists{Lists: &kcrwire.Lists{At: n.configVersion()}}})
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		n.fetches.RecordTimeout()
	}
	if err != nil {
		n.logger.Info("configuration not learned from a peer", "peer", addr, "err", err.Error(), "ms", time.Since(began).Milliseconds())
		return
	}
	n.fetches.RecordAnswer(time.Since(began))
	n.mergeZones(reply.GetListed().GetZones(), addr)
	if len(reply.GetListed().GetState()) == 0 {
		return
	}
	var state peerState
	if err := json.Unmarshal(reply.GetListed().GetState(), &state); err != nil {
		n.logger.Warn("state of a peer ignored", "peer", addr, "err", err.Error())
		return
	}
	n.addCrashes(state.Crashes)
	n.markLearned()
	if n.fleet.AdoptFromPeer(state.Members) {
		n.logger.Info("members learned from a peer", "peer", addr, "members", len(state.Members))
	}
	if err := n.ApplyConfig(state.Config, addr); err != nil {
		n.logger.Warn("configuration of a peer ignored", "peer", addr, "err", err.Error())
		return
	}
	n.logger.Info("configuration learned from a peer", "peer", addr, "version", reply.GetListed().GetAt())
}

// ControlAddr returns the address for other routers, "" if there is none.
func (n *Node) ControlAddr() string {
	if n.server == nil {
		return ""
	}
	return n.server.Addr()
}
