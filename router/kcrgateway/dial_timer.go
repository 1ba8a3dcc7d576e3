package kcrgateway

import (
	"errors"
	"net"
	"sync"
	"time"
)

// This file defines how long the gateway waits for a connection to an upstream. Invariant: the
// time grows only if upstreams at different addresses don't answer one after the other, which
// shows that the router's own link is slow; another upstream would then answer no sooner.

// Limits of the time for a connection. It is dialFactor times the smoothed time that
// connections take; dialWeight is the weight of the newest one.
const (
	minDialTimeout = 200 * time.Millisecond
	maxDialTimeout = 800 * time.Millisecond
	dialFactor     = 2
	dialWeight     = 0.25
)

// dialTimer measures how long connections take. It is safe for concurrent use.
type dialTimer struct {
	mu        sync.Mutex
	mean      time.Duration
	unreached string // address that did not answer, since the last connection
}

// timeout returns how long a connection may take.
func (t *dialTimer) timeout() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(minDialTimeout, min(dialFactor*t.mean, maxDialTimeout))
}

// record records the end of an attempt to connect. One that timed out counts as if it had taken
// dialFactor times as long, if the one before to another address has timed out as well.
func (t *dialTimer) record(addr string, took time.Duration, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var netErr net.Error
	switch {
	case err == nil:
		t.unreached = ""
	case !errors.As(err, &netErr) || !netErr.Timeout():
		return
	case t.unreached == "" || t.unreached == addr:
		t.unreached = addr
		return
	default:
		t.unreached = addr
		took *= dialFactor
	}
	t.mean += time.Duration(dialWeight * float64(took-t.mean))
}
