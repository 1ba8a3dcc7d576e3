package kcrdaemon

import (
	"context"
	"sync"
	"time"
)

// This file defines Activity, a counter of the operations in progress, so that a
// graceful shutdown can wait until they have ended. sync.WaitGroup does not fit: it
// allows no Add from zero while Wait runs, and no context ends its Wait.

// activityPollInterval is the time between two checks whether operations are in
// progress.
const activityPollInterval = 10 * time.Millisecond

// Activity counts the operations in progress. It is safe for concurrent use, also
// while Wait runs.
type Activity struct {
	mu    sync.Mutex
	count int
}

// Add adds n to the number of operations in progress.
func (a *Activity) Add(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count += n
}

// Done reports the end of one operation.
func (a *Activity) Done() { a.Add(-1) }

// Wait returns when no operation is in progress or the context is done.
func (a *Activity) Wait(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		n := a.count
		a.mu.Unlock()
		if n == 0 {
			return
		}
		Sleep(ctx, activityPollInterval)
	}
}
