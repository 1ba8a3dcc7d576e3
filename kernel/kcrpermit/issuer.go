// Package kcrpermit shares the rate of requests that an upstream accepts between routers,
// by a permit for each request.
package kcrpermit

import (
	"math"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the issuer of permits, a token bucket for each upstream. One process
// issues the permits of an upstream, so that its rate follows the demand of the routers and
// needs no count of them. Invariants: within any time t an issuer issues at most rate * t +
// burst permits; unless it is the sole issuer of an upstream, it issues at startShare of the rate
// for startPeriod after it begins, since another process may still do so. An issuer that starts
// again has no permits at first.

const (
	// burst is the number of permits that may be taken at once.
	burst = 2
	// startPeriod is longer than routers disagree on the issuer of an upstream.
	startPeriod = 4 * kcrclock.Second
	startShare  = 0.5
	// Validity is the time after a permit was asked for in which it may be used.
	Validity = 200 * kcrclock.Millisecond
	// minRate is the least rate, in requests per second: a request now and then shows when an
	// upstream takes more.
	minRate = 0.2
	// maxBuckets is the number of buckets from which those that are full are forgotten.
	maxBuckets = 4096
)

// bucket is the state of one upstream.
type bucket struct {
	openedAt kcrclock.Time
	permits  float64 // as of filledAt
	filledAt kcrclock.Time
}

// Issuer issues permits. It is safe for concurrent use.
type Issuer struct {
	mu      sync.Mutex
	buckets map[kcrid.Incarnation]*bucket
}

// New returns an issuer that has issued no permit.
func New() *Issuer { return &Issuer{buckets: map[kcrid.Incarnation]*bucket{}} }

// RateWithin returns the highest rate at which the requests that are sent with permits stay
// within ceiling in any window of that length, while one process takes over from another.
func RateWithin(ceiling float64, window kcrclock.Duration) float64 {
	return max(0, ceiling-burst) / ((1 + startShare) * (window + Validity).Seconds())
}

// Take takes a permit for one request to an upstream that accepts rate requests per second; sole
// tells that no other process issues permits for it. If there is none, it returns the time until
// there will be one.
func (i *Issuer) Take(now kcrclock.Time, upstream kcrid.Incarnation, rate float64, sole bool) (granted bool, wait kcrclock.Duration) {
	i.mu.Lock()
	defer i.mu.Unlock()
	b := i.buckets[upstream]
	if b == nil {
		i.forgetFull(now)
		b = &bucket{openedAt: now, filledAt: now}
		i.buckets[upstream] = b
	}
	rate = max(rate, minRate)
	if !sole && now.Sub(b.openedAt) < startPeriod {
		rate *= startShare
	}
	b.permits = min(burst, b.permits+rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = max(b.filledAt, now)
	if b.permits >= 1 {
		b.permits--
		return true, 0
	}
	return false, max(1, kcrclock.Duration(math.Ceil((1-b.permits)/rate*float64(kcrclock.Second))))
}

// forgetFull makes room for another bucket by forgetting those that are full at the least rate.
func (i *Issuer) forgetFull(now kcrclock.Time) {
	if len(i.buckets) < maxBuckets {
		return
	}
	for upstream, b := range i.buckets {
		if now.Sub(b.filledAt).Seconds()*minRate >= burst {
			delete(i.buckets, upstream)
		}
	}
}
