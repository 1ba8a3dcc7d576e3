package kcrsidecar

import (
	"context"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrlimit"
)

// This file lets requests wait at the limiter.

// gate wakes the requests that the limiter admits.
type gate struct {
	clock   kcrclock.Clock
	limiter *kcrlimit.Limiter

	mu      sync.Mutex
	waiters map[kcrlimit.Ticket]chan bool
}

func newGate(c kcrclock.Clock, l *kcrlimit.Limiter) *gate {
	return &gate{clock: c, limiter: l, waiters: map[kcrlimit.Ticket]chan bool{}}
}

// queueTime is how long a request may wait for its start.
const queueTime = 1200 * kcrclock.Millisecond

// enter waits until the request may run. Leave must be called after success.
func (g *gate) enter(ctx context.Context, rank int32, apart bool) (t kcrlimit.Ticket, err error) {
	now := g.clock.Now()
	wake := make(chan bool, 1)
	g.mu.Lock()
	limit := queueTime
	if apart {
		limit = 20 * kcrclock.Second
	}
	t, v, after := g.limiter.Offer(now, kcrlimit.Offer{Rank: int(rank), Apart: apart, Deadline: now.Add(limit)})
	if v == kcrlimit.Queued {
		g.waiters[t] = wake
	}
	g.mu.Unlock()
	if v == kcrlimit.Refused {
		return 0, overloaded(after)
	}
	if v == kcrlimit.Admitted {
		return t, nil
	}
	select {
	case ok := <-wake:
		if !ok {
			return 0, overloaded(kcrclock.Second)
		}
		return t, nil
	case <-ctx.Done():
		g.withdraw(t)
		return 0, ctx.Err()
	}
}

func overloaded(after kcrclock.Duration) error {
	return &kcrerror.Refusal{
		Code: kcrerror.Overloaded, Text: "the upstream has no capacity in time",
		After: int64(max(1, after.Seconds())),
	}
}

func (g *gate) withdraw(t kcrlimit.Ticket) {
	g.mu.Lock()
	_, queued := g.waiters[t]
	delete(g.waiters, t)
	g.limiter.Withdraw(t)
	g.mu.Unlock()
	if !queued {
		g.leave(t)
	}
}

func (g *gate) leave(t kcrlimit.Ticket) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.limiter.Release(g.clock.Now(), t))
}

func (g *gate) tick(now kcrclock.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.wake(g.limiter.Release(now, 0))
}

func (g *gate) wake(started, expired []kcrlimit.Ticket) {
	for _, t := range started {
		g.notify(t, true)
	}
	for _, t := range expired {
		g.notify(t, false)
	}
}

func (g *gate) notify(t kcrlimit.Ticket, ok bool) {
	if w := g.waiters[t]; w != nil {
		w <- ok
		delete(g.waiters, t)
	}
}
