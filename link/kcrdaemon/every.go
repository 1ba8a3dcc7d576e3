package kcrdaemon

import (
	"context"
	"time"
)

// This file defines loops and waits that end with a context.

// RunEvery calls f once per interval until the context is done.
func RunEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
	RunEveryOrOn(ctx, interval, nil, f)
}

// RunEveryOrOn calls f once per interval, and whenever wake receives a value, until
// the context is done. A nil wake never receives one.
func RunEveryOrOn(ctx context.Context, interval time.Duration, wake <-chan struct{}, f func(context.Context)) {
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

// Sleep waits for the duration d or until the context is done.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
