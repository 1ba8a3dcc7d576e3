package kcrdaemon

import (
	"context"
	"time"
)

// Every calls f at an interval until the context ends.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	EveryOrWhen(ctx, interval, nil, f)
}

// EveryOrWhen calls f at an interval, and whenever wake gets a value, until the
// context ends.
func EveryOrWhen(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-wake:
		}
		f(ctx)
	}
}

// Pause waits for a time, or until the context ends.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
