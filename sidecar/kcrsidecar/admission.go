package kcrsidecar

import (
	"context"
	"sync"

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the queue in which requests wait for the concurrency limiter
// to admit them. Calls of the limiter and changes of the waiters happen under one
// lock, so a ticket that starts or expires finds its waiter.

// admissionQueue blocks requests until the limiter admits or refuses them.
type admissionQueue struct {
	clock   kcrclock.Clock
	limiter *kcradmission.Limiter

	mu sync.Mutex
	// waiters receive true when their run may start, false when it has expired.
	waiters map[kcradmission.Ticket]chan bool
}

// newAdmissionQueue returns a queue without waiters.
func newAdmissionQueue(clock kcrclock.Clock, limiter *kcradmission.Limiter) *admissionQueue {
	return &admissionQueue{clock: clock, limiter: limiter, waiters: map[kcradmission.Ticket]chan bool{}}
}

// maxQueueTime is how long a request may wait for its start.
const maxQueueTime = 1200 * kcrclock.Millisecond

// acquire waits until the request may run. After success the caller must call release.
// The lowest rank goes first, as package kcradmission orders them. An isolated run starts only while nothing
// else runs, so it may wait longer than maxQueueTime.
func (q *admissionQueue) acquire(ctx context.Context, rank int32, team kcrid.Team, isolated bool) (ticket kcradmission.Ticket, err error) {
	now := q.clock.Now()
	wake := make(chan bool, 1)
	q.mu.Lock()
	maxWait := maxQueueTime
	if isolated {
		maxWait = 20 * kcrclock.Second
	}
	ticket, decision, retryAfter := q.limiter.Submit(now, kcradmission.Request{Rank: int(rank), Team: team, Exclusive: isolated, Latest: now.Add(maxWait)})
	if decision == kcradmission.Queued {
		q.waiters[ticket] = wake
	}
	q.mu.Unlock()
	if decision == kcradmission.Refused {
		return 0, overloadedRefusal(retryAfter)
	}
	if decision == kcradmission.Admitted {
		return ticket, nil
	}
	select {
	case admitted := <-wake:
		if !admitted {
			return 0, overloadedRefusal(kcrclock.Second)
		}
		return ticket, nil
	case <-ctx.Done():
		q.cancelWait(ticket)
		return 0, ctx.Err()
	}
}

// overloadedRefusal refuses a request that cannot start in time.
func overloadedRefusal(retryAfter kcrclock.Duration) error {
	return &kcrerror.Refusal{
		Code: kcrerror.Overloaded, Text: "the upstream has no capacity in time",
		RetryAfterSeconds: int64(max(1, retryAfter.Seconds())),
	}
}

// cancelWait removes a request whose caller has left. If the request was admitted
// meanwhile, its place is released.
func (q *admissionQueue) cancelWait(ticket kcradmission.Ticket) {
	q.mu.Lock()
	_, queued := q.waiters[ticket]
	delete(q.waiters, ticket)
	q.limiter.Cancel(ticket)
	q.mu.Unlock()
	if !queued {
		q.release(ticket)
	}
}

// release ends a run and starts the requests that may run now.
func (q *admissionQueue) release(ticket kcradmission.Ticket) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notifyAll(q.limiter.Release(q.clock.Now(), ticket))
}

// wakeDue starts the requests that may run now and refuses those whose deadline
// has passed. It is called periodically.
func (q *admissionQueue) wakeDue(now kcrclock.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.notifyAll(q.limiter.Release(now, 0))
}

// notifyAll wakes the waiters of tickets. The caller holds the lock.
func (q *admissionQueue) notifyAll(started, expired []kcradmission.Ticket) {
	for _, ticket := range started {
		q.notify(ticket, true)
	}
	for _, ticket := range expired {
		q.notify(ticket, false)
	}
}

// notify wakes the waiter of a ticket, if there is one. The caller holds the lock.
func (q *admissionQueue) notify(ticket kcradmission.Ticket, admitted bool) {
	if waiter := q.waiters[ticket]; waiter != nil {
		waiter <- admitted
		delete(q.waiters, ticket)
	}
}
