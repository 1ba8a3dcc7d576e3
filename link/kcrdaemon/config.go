package kcrdaemon

import (
	"context"
	"log/slog"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrwire"
)

// This file defines how a process receives the configuration: from the log or, while
// the log is unavailable, from its peers. The state as of the highest offset wins, so
// a version that was replaced never comes into force again.

const (
	// peerInterval is the time between two requests to peers.
	peerInterval = 2 * time.Second
	peerTimeout  = time.Second
	// staleAfter is the lag behind the stream after which peers are asked.
	staleAfter = 7 * kcrclock.Second
)

// ConfigFollower keeps a configuration state up to date. Close stops it.
type ConfigFollower struct {
	State    *kcrlist.State
	Follower *Follower // follows the configuration stream
	pool     *kcrlink.Pool
	peers    func() []string // addresses of the peers
	logger   *slog.Logger
	cancel   context.CancelFunc
	wg       conc.WaitGroup
}

// ConfigOptions are the parameters of NewConfigFollower.
type ConfigOptions struct {
	State            *kcrlist.State
	Log              kcrlog.Log
	Pool             *kcrlink.Pool
	Peers            func() []string // addresses of the peers to ask while the log is unavailable
	Logger           *slog.Logger
	Batch            func(int) ([][]byte, uint64) // records to append; may be nil, see StateMachine.Batch
	OnChange         func(*kcrentry.Entry)        // called after a record was applied
	IsSnapshotWriter func() bool                  // whether this process writes the snapshots
	SnapshotInterval time.Duration                // time between two snapshots
}

// NewConfigFollower starts a follower that applies the configuration stream to a state, and
// a goroutine that asks peers while the stream cannot be read.
func NewConfigFollower(o ConfigOptions) *ConfigFollower {
	ctx, cancel := context.WithCancel(context.Background())
	c := &ConfigFollower{State: o.State, pool: o.Pool, peers: o.Peers, logger: o.Logger, cancel: cancel}
	c.Follower = NewFollower(o.Log, kcrid.ConfigStream, StateMachine{
		Apply: func(off kcrid.Offset, e *kcrentry.Entry) {
			verdict := o.State.Apply(off, e)
			c.logVerdict(off, e, verdict)
			o.OnChange(e)
		},
		Offset:           o.State.At,
		Restore:          o.State.Restore,
		Snapshot:         o.State.Snapshot,
		Batch:            o.Batch,
		IsSnapshotWriter: o.IsSnapshotWriter,
	}, o.Logger, o.SnapshotInterval)
	c.wg.Go(func() { c.askPeersWhileStale(ctx) })
	return c
}

// logVerdict logs whether a publication was accepted.
func (c *ConfigFollower) logVerdict(off kcrid.Offset, e *kcrentry.Entry, verdict kcrlist.Verdict) {
	if e.GetPublish() != nil {
		c.logger.Info("configuration", "offset", off, "accepted", verdict.Accepted, "reason", verdict.Reason)
	}
}

// Close stops the follower and the requests to peers, and waits until both have ended.
func (c *ConfigFollower) Close() {
	c.cancel()
	c.Follower.Close()
	c.wg.Wait()
}

// askPeersWhileStale asks the peers in turn while the follower lags behind by at least
// staleAfter.
func (c *ConfigFollower) askPeersWhileStale(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		Sleep(ctx, peerInterval)
		peers := c.peers()
		if c.Follower.Lag() < staleAfter || len(peers) == 0 {
			continue
		}
		c.restoreFromPeer(ctx, peers[i%len(peers)])
	}
}

// restoreFromPeer requests the configuration of a peer and restores the state from it
// if it is newer.
func (c *ConfigFollower) restoreFromPeer(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := c.pool.Call(ctx, addr, &kcrwire.Request{Kind: &kcrwire.Request_Lists{Lists: &kcrwire.Lists{At: uint64(c.State.At())}}})
	if err != nil || len(reply.GetListed().GetState()) == 0 {
		return
	}
	newer, err := c.State.Restore(reply.GetListed().GetState())
	if err != nil {
		c.logger.Warn("configuration of a peer refused", "peer", addr, "err", err)
		return
	}
	if newer {
		c.logger.Info("configuration learned from a peer", "peer", addr, "at", c.State.At())
	}
}

// HandleLists returns the reply to a peer that asks for the configuration. The reply holds
// no state if the peer is up to date.
func (c *ConfigFollower) HandleLists(req *kcrwire.Lists) (*kcrwire.Reply, error) {
	listed := &kcrwire.Listed{At: uint64(c.State.At())}
	if c.State.At() > kcrid.Offset(req.GetAt()) {
		_, state, err := c.State.Snapshot()
		if err != nil {
			return nil, err
		}
		listed.State = state
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Listed{Listed: listed}}, nil
}
