package kcrdaemon

import (
	"context"
	"sync"
	"time"
)

// This file counts what a process is busy with, so that a planned stop can
// wait for its end.

const activityPoll = 10 * time.Millisecond

// Activity counts work under way. It is safe for concurrent use, also while
// Wait runs.
type Activity struct {
	mu sync.Mutex
	n  int
}

// Add changes the count.
func (a *Activity) Add(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.n += n
}

// Done ends one piece of work.
func (a *Activity) Done() { a.Add(-1) }

// Wait returns when nothing is under way, or when the context ends.
func (a *Activity) Wait(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		n := a.n
		a.mu.Unlock()
		if n == 0 {
			return
		}
		Pause(ctx, activityPoll)
	}
}
