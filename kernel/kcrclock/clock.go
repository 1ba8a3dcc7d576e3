// Package kcrclock defines the time and duration types of kingcuprun, both in
// whole milliseconds.
//
// The logic of the kernel packages never reads a clock. Each function that depends
// on the time takes a Time as an argument. The caller chooses the epoch, so only
// differences between times have a meaning.
package kcrclock

import "time"

// Time is an instant, in milliseconds since an epoch that the caller chooses.
type Time int64

// Duration is the elapsed time between two instants, in milliseconds.
type Duration int64

// Common durations.
const (
	Millisecond Duration = 1
	Second      Duration = 1000
	Minute      Duration = 60 * Second
	Hour        Duration = 60 * Minute
)

// Add returns the instant t+d.
func (t Time) Add(d Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) Duration { return Duration(t - u) }

// Seconds returns d in seconds.
func (d Duration) Seconds() float64 { return float64(d) / float64(Second) }

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// Clock provides the current time. Now must be safe for concurrent use.
type Clock struct {
	Now func() Time
}

// New returns a clock that calls now.
func New(now func() Time) Clock { return Clock{Now: now} }

// Monotonic returns a clock that starts at zero and is not affected by changes of
// the machine's wall clock.
func Monotonic() Clock {
	start := time.Now()
	return New(func() Time { return Time(time.Since(start).Milliseconds()) })
}
