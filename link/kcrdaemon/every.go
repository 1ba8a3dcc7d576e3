package kcrdaemon

import (
	"context"
	"time"
)

// Every calls f at an interval until the context ends.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			f(ctx)
		}
	}
}
