package kcrgateway

import (
	"context"
	"io"
	"time"

	"kingcuprun.example/link/kcrdaemon"
)

// This file measures what callers and upstreams send. Invariant: while that fills the router's
// link, the router is not ready, and each response ends the connection of its caller, so that
// callers come back through other routers. Requests are served as before.

// inflowCheckInterval is the interval at which a change is logged.
const inflowCheckInterval = 250 * time.Millisecond

// countedReader counts what comes in.
type countedReader struct {
	reader  io.Reader
	gateway *Gateway
}

// Read reads, and counts what it has read.
func (r countedReader) Read(data []byte) (n int, err error) {
	n, err = r.reader.Read(data)
	r.gateway.inflow.Received(r.gateway.clock.Now(), n)
	return n, err
}

// counted returns a reader that counts what comes in.
func (g *Gateway) counted(r io.Reader) io.Reader { return countedReader{reader: r, gateway: g} }

// LinkIsFull reports whether what comes in fills the link of this machine.
func (g *Gateway) LinkIsFull() bool { return g.inflow.IsFull(g.clock.Now()) }

// watchInflow logs and measures whether the link is full, until the context ends.
func (g *Gateway) watchInflow(ctx context.Context) {
	wasFull := false
	kcrdaemon.RunEvery(ctx, inflowCheckInterval, func(context.Context) {
		full := g.LinkIsFull()
		if full == wasFull {
			return
		}
		if wasFull = full; full {
			g.metrics.linkFull.Set(1)
			g.logger.Warn("the link is full: this router is not ready", "active", g.ActiveRequests())
			return
		}
		g.metrics.linkFull.Set(0)
		g.logger.Info("the link is not full any more", "active", g.ActiveRequests())
	})
}
