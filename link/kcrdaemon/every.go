package kcrdaemon

import (
	"context"
	"time"
)

// This file defines loops and waits that end with a context.

// Every calls f once per interval until the context is done.
func Every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	EveryOrWhen(ctx, interval, nil, f)
}

// EveryOrWhen calls f once per interval, and whenever wake receives a value, until
// the context is done. A nil wake never receives one.
func EveryOrWhen(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-wake:
		}
		f(ctx)
	}
}

// Pause waits for the duration d or until the context is done.
func Pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
