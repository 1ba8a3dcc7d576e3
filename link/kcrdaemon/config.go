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

// This file defines how a process learns the configuration: from the log, and
// while the log is down from its peers. The highest offset wins, so a version
// that was in force never comes back.

const (
	peerInterval = 2 * time.Second
	peerTimeout  = time.Second
	staleAfter   = 7 * kcrclock.Second // without the end of the stream
)

// Config keeps the configuration in force.
type Config struct {
	State    *kcrlist.State
	Follower *Follower
	pool     *kcrlink.Pool
	peers    func() []string
	logger   *slog.Logger
	cancel   context.CancelFunc
	wait     conc.WaitGroup
}

// ConfigOptions are the parts of a Config. Batch may be nil; Changed is called
// after each record.
type ConfigOptions struct {
	State   *kcrlist.State
	Log     kcrlog.Log
	Pool    *kcrlink.Pool
	Peers   func() []string
	Logger  *slog.Logger
	Batch   func(int) ([][]byte, uint64)
	Changed func(*kcrentry.Entry)
	Carries func() bool
	Every   time.Duration // between snapshots
}

// NewConfig starts to keep a state up to date with the configuration stream.
func NewConfig(o ConfigOptions) *Config {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Config{State: o.State, pool: o.Pool, peers: o.Peers, logger: o.Logger, cancel: cancel}
	c.Follower = NewFollower(o.Log, kcrid.ConfigStream, Fold{
		Apply: func(off kcrid.Offset, e *kcrentry.Entry) {
			v := o.State.Apply(off, e)
			c.logVerdict(off, e, v)
			o.Changed(e)
		},
		At:       o.State.At,
		Restore:  o.State.Restore,
		Snapshot: o.State.Snapshot,
		Batch:    o.Batch,
		Carries:  o.Carries,
	}, o.Logger, o.Every)
	c.wait.Go(func() { c.learn(ctx) })
	return c
}

func (c *Config) logVerdict(off kcrid.Offset, e *kcrentry.Entry, v kcrlist.Verdict) {
	if e.GetPublish() != nil {
		c.logger.Info("configuration", "offset", off, "accepted", v.Accepted, "reason", v.Reason)
	}
}

// Close stops following.
func (c *Config) Close() {
	c.cancel()
	c.Follower.Close()
	c.wait.Wait()
}

// learn asks peers while the log does not answer.
func (c *Config) learn(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		Pause(ctx, peerInterval)
		peers := c.peers()
		if c.Follower.Lag() < staleAfter || len(peers) == 0 {
			continue
		}
		c.ask(ctx, peers[i%len(peers)])
	}
}

func (c *Config) ask(ctx context.Context, addr string) {
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

// Listed answers a peer that asks for the configuration. A peer that is up to
// date gets no state.
func (c *Config) Listed(req *kcrwire.Lists) (*kcrwire.Reply, error) {
	out := &kcrwire.Listed{At: uint64(c.State.At())}
	if c.State.At() > kcrid.Offset(req.GetAt()) {
		_, state, err := c.State.Snapshot()
		if err != nil {
			return nil, err
		}
		out.State = state
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Listed{Listed: out}}, nil
}
