// Package kcrclock defines the time type of kingcuprun: whole milliseconds.
//
// Decisions never read a clock. Every call that depends on time takes a Time,
// and the caller chooses the epoch; only differences matter.
package kcrclock

import "time"

// Time is a moment, in milliseconds since an epoch that the caller chooses.
type Time int64

// Duration is a length of time in milliseconds.
type Duration int64

// Common lengths of time.
const (
	Millisecond Duration = 1
	Second      Duration = 1000
	Minute      Duration = 60 * Second
	Hour        Duration = 60 * Minute
)

// Add returns the moment d after t.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the length of time from u to t.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// Seconds returns d in seconds.
func (d Duration) Seconds() float64 { return float64(d) / float64(Second) }

// Std returns d as a duration of the standard library.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// Clock tells the time. Now must be safe for concurrent use.
type Clock struct {
	Now func() Time
}

// New returns a clock that reads now.
func New(now func() Time) Clock { return Clock{Now: now} }

// Monotonic returns a clock that starts at zero and ignores steps of the
// machine's wall clock.
func Monotonic() Clock {
	start := time.Now()
	return New(func() Time { return Time(time.Since(start).Milliseconds()) })
}
