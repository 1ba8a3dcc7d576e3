package kcradmission

import (
	"math"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines the meter of places. Invariant: a rate is never 0, so that each wait has an
// estimate.

const (
	// meterWindow is the time constant with which places of the past lose their weight.
	meterWindow = 2 * kcrclock.Second
	// meterStart is the time until which a rate is assumed to be startRate at least.
	meterStart = 500 * kcrclock.Millisecond
	startRate  = 50.0 // places per second
	minRate    = 0.2  // places per second
)

// meter measures a rate of places over a time that passes only while requests wait.
type meter struct {
	count float64       // places, weighted by their age, as of at
	at    kcrclock.Time // last place
}

// add counts a place.
func (m *meter) add(now kcrclock.Time) {
	m.count = m.weighted(now) + 1
	m.at = now
}

// weighted returns the places weighted by their age.
func (m *meter) weighted(now kcrclock.Time) float64 {
	return m.count * math.Exp(-now.Sub(m.at).Seconds()/meterWindow.Seconds())
}

// rate returns the places per second.
func (m *meter) rate(now kcrclock.Time) float64 {
	observed := meterWindow.Seconds() * (1 - math.Exp(-kcrclock.Duration(now).Seconds()/meterWindow.Seconds()))
	rate := m.weighted(now) / max(observed, meterStart.Seconds())
	if kcrclock.Duration(now) < meterStart {
		return max(rate, startRate)
	}
	return max(rate, minRate)
}
