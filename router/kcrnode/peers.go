package kcrnode

import (
	"context"
	"encoding/json"
	"time"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrfleet"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrwire"
)

// This file serves the other routers and asks them: for the configuration while the store does not tell it, and for the members where the
// store was never heard of. Of configurations only a higher version counts,
// whoever tells it; members that the store has told stay as they are.

// belief is what a router tells one that knows nothing yet.
type belief struct {
	Config  json.RawMessage   `json:"config"`
	Members []kcrfleet.Member `json:"members"`
}

// Timing of learning from peers.
const (
	// learnFirst is how long the store has to answer at the start.
	learnFirst = 400 * time.Millisecond
	learnPause = 500 * time.Millisecond
	learnTime  = 300 * time.Millisecond
)

// call answers a call of another router.
func (n *Node) call(_ context.Context, req *kcrwire.Request, s *kcrlink.Stream) {
	var reply *kcrwire.Reply
	switch k := req.GetKind().(type) {
	case *kcrwire.Request_Lists:
		reply = n.listed(k.Lists)
	default:
		reply = &kcrwire.Reply{Error: "expected lists"}
	}
	if err := s.Send(reply); err != nil {
		n.logger.Info("peer not answered", "err", err.Error())
	}
}

// listed tells what this router believes, if it is newer than what the peer has.
func (n *Node) listed(req *kcrwire.Lists) *kcrwire.Reply {
	out := &kcrwire.Listed{}
	if r := n.rules.Rules(); r != nil && r.Version > req.GetAt() {
		state, err := json.Marshal(belief{Config: r.Source, Members: n.fleet.Members()})
		if err != nil {
			return &kcrwire.Reply{Error: err.Error()}
		}
		out.At, out.State = r.Version, state
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Listed{Listed: out}}
}

// learn asks peers, one after the other, while the store does not tell the
// configuration.
func (n *Node) learn(ctx context.Context, seeds []string) {
	kcrdaemon.Pause(ctx, learnFirst)
	for i := 0; ctx.Err() == nil; i++ {
		peers := n.peers(seeds)
		if n.blind.Load() && len(peers) > 0 {
			n.learnFrom(ctx, peers[i%len(peers)])
		}
		kcrdaemon.Pause(ctx, learnPause/time.Duration(max(1, len(peers))))
	}
}

// peers returns the addresses of other routers: those that were heard of on the
// log, else those of the settings.
func (n *Node) peers(seeds []string) (out []string) {
	if out = n.book.Near(n.clock.Now()); len(out) == 0 {
		return seeds
	}
	return out
}

// follow starts to follow what routers tell each other.
func (n *Node) follow(c Config) {
	n.told = kcrdaemon.NewFollower(c.Log, kcrid.PeerStream, kcrdaemon.Fold{
		Apply: func(off kcrid.Offset, e *kcrentry.Entry) {
			n.book.Apply(n.clock.Now(), off, e)
			if s := e.GetSuspect(); s != nil {
				n.harm.Crashed(kcrid.Content(s.GetContent()), kcrid.VM(s.GetServer()))
			}
		},
		At: n.book.At, Batch: n.book.Batch, Ready: n.book.Ready, Skips: true,
		Pause: func() time.Duration { return peerPause },
	}, c.Logger, c.Snap.Std())
}

// peerPause is the time between two reads of what routers tell each other.
const peerPause = 300 * time.Millisecond

// version returns that of the configuration in force, 0 before the first.
func (n *Node) version() uint64 {
	if r := n.rules.Rules(); r != nil {
		return r.Version
	}
	return 0
}

func (n *Node) learnFrom(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, learnTime)
	defer cancel()
	reply, err := n.pool.Call(ctx, addr, &kcrwire.Request{Kind: &kcrwire.Request_Lists{Lists: &kcrwire.Lists{At: n.version()}}})
	if err != nil || len(reply.GetListed().GetState()) == 0 {
		return
	}
	var b belief
	if err := json.Unmarshal(reply.GetListed().GetState(), &b); err != nil {
		n.logger.Warn("belief of a peer ignored", "peer", addr, "err", err.Error())
		return
	}
	if n.fleet.Borrow(b.Members) {
		n.logger.Info("members learned from a peer", "peer", addr, "members", len(b.Members))
	}
	if err := n.Apply(b.Config); err != nil {
		n.logger.Warn("configuration of a peer ignored", "peer", addr, "err", err.Error())
		return
	}
	n.logger.Info("configuration learned from a peer", "peer", addr, "version", reply.GetListed().GetAt())
}

// Control returns the address for other routers, "" if there is none.
func (n *Node) Control() string {
	if n.server == nil {
		return ""
	}
	return n.server.Addr()
}
