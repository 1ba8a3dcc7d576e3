package kcrbudget

import (
	"errors"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrid"
)

// This file defines the meter of a sidecar, which counts the tokens served under
// the reservations of each holder. Invariants: no run begins under a fenced
// holder; a run serves at most its reservation; the evidence returned for a
// fenced holder never grows afterwards.

// Errors returned by Meter.
var (
	ErrHolderFenced        = errors.New("the holder of the reservation is fenced")
	ErrReservationUsed     = errors.New("the reservation was used before")
	ErrReservationExceeded = errors.New("the reservation is spent")
)

// Evidence is what a sidecar served under one holder's reservations. Used
// counts the whole reservation of each run that has not ended; Running is the
// number of these runs.
type Evidence struct {
	Used    []Usage
	Running int
}

// Usage is a number of tokens spent from one plan.
type Usage struct {
	Plan   kcrid.Plan
	Tokens kcrid.Tokens
}

// MeterRules are the safety checks of a Meter. Tests replace them one by one to
// show that each is needed.
type MeterRules struct {
	// RefusesFenced reports whether a new run is refused.
	RefusesFenced func(fenced bool) bool
	// Exceeds reports whether a run would serve more than its reservation.
	Exceeds func(used, worstCase kcrid.Tokens) bool
	// IsBarred reports whether reservation id may no longer begin, given that all
	// reservations up to barredUpTo are barred.
	IsBarred func(barredUpTo, id uint64) bool
}

// DefaultMeterRules returns the production rules.
func DefaultMeterRules() MeterRules {
	return MeterRules{
		RefusesFenced: func(fenced bool) bool { return fenced },
		Exceeds:       func(used, worstCase kcrid.Tokens) bool { return used > worstCase },
		IsBarred:      func(barredUpTo, id uint64) bool { return id <= barredUpTo },
	}
}

// meterShards is the number of independently locked parts of a Meter.
const meterShards = 16

// Meter counts the tokens that a sidecar serves, by holder. It is safe for
// concurrent use.
type Meter struct {
	rules  MeterRules
	shards [meterShards]meterShard
}

// meterShard holds the usage of the holders whose names hash to it.
type meterShard struct {
	mu      sync.Mutex
	holders map[kcrid.Incarnation]*holderUsage
}

// holderUsage is what was served under the reservations of one holder.
type holderUsage struct {
	fenced      bool
	endedTokens map[kcrid.Plan]kcrid.Tokens // served by runs that have ended
	runs        map[uint64]*run             // running, by reservation
	endedRuns   map[uint64]bool             // reservations above barredUpTo whose runs have ended
	barredUpTo  uint64                      // no reservation up to this one may begin
}

// run is a request that is served under a reservation.
type run struct {
	plan      kcrid.Plan
	worstCase kcrid.Tokens
	used      kcrid.Tokens
}

// NewMeter returns an empty meter.
func NewMeter(rules MeterRules) *Meter {
	m := &Meter{rules: rules}
	for i := range m.shards {
		m.shards[i].holders = map[kcrid.Incarnation]*holderUsage{}
	}
	return m
}

// lock locks the shard of a holder. It returns the holder's usage and the
// function that unlocks the shard.
func (m *Meter) lock(holder kcrid.Incarnation) (*holderUsage, func()) {
	sh := &m.shards[xxhash.Sum64String(string(holder))%meterShards]
	sh.mu.Lock()
	usage, ok := sh.holders[holder]
	if !ok {
		usage = &holderUsage{endedTokens: map[kcrid.Plan]kcrid.Tokens{}, runs: map[uint64]*run{}, endedRuns: map[uint64]bool{}}
		sh.holders[holder] = usage
	}
	return usage, sh.mu.Unlock
}

// Begin starts a run under a reservation. It returns ErrHolderFenced if the holder is
// fenced, and ErrReservationUsed if the reservation was used before or is barred.
func (m *Meter) Begin(holder kcrid.Incarnation, id uint64, plan kcrid.Plan, worstCase kcrid.Tokens) error {
	usage, unlock := m.lock(holder)
	defer unlock()
	if m.rules.RefusesFenced(usage.fenced) {
		return ErrHolderFenced
	}
	if usage.runs[id] != nil || usage.endedRuns[id] || m.rules.IsBarred(usage.barredUpTo, id) {
		return ErrReservationUsed
	}
	usage.runs[id] = &run{plan: plan, worstCase: worstCase}
	return nil
}

// Use counts tokens before they are served. On ErrReservationExceeded they must not be
// served, since the run would exceed its reservation.
func (m *Meter) Use(holder kcrid.Incarnation, id uint64, tokens kcrid.Tokens) error {
	usage, unlock := m.lock(holder)
	defer unlock()
	r := usage.runs[id]
	if r == nil || m.rules.Exceeds(r.used+tokens, r.worstCase) {
		return ErrReservationExceeded
	}
	r.used += tokens
	return nil
}

// End ends a run and returns the number of tokens that it served.
func (m *Meter) End(holder kcrid.Incarnation, id uint64) kcrid.Tokens {
	usage, unlock := m.lock(holder)
	defer unlock()
	r := usage.runs[id]
	if r == nil {
		return 0
	}
	delete(usage.runs, id)
	usage.endedRuns[id] = true
	usage.endedTokens[r.plan] += r.used
	return r.used
}

// BarUpTo prevents all reservations up to last from beginning, so that the holder
// can take back those that this sidecar does not hold.
func (m *Meter) BarUpTo(holder kcrid.Incarnation, last uint64) {
	usage, unlock := m.lock(holder)
	defer unlock()
	usage.barredUpTo = max(usage.barredUpTo, last)
	for id := range usage.endedRuns {
		if id <= usage.barredUpTo {
			delete(usage.endedRuns, id)
		}
	}
}

// Fence refuses further runs under a holder's reservations and returns the
// evidence of what was served.
func (m *Meter) Fence(holder kcrid.Incarnation) (ev Evidence) {
	usage, unlock := m.lock(holder)
	defer unlock()
	usage.fenced = true
	sum := make(map[kcrid.Plan]kcrid.Tokens, len(usage.endedTokens))
	for p, t := range usage.endedTokens {
		sum[p] = t
	}
	for _, r := range usage.runs {
		sum[r.plan] += r.worstCase
	}
	for p, t := range sum {
		ev.Used = append(ev.Used, Usage{Plan: p, Tokens: t})
	}
	sort.Slice(ev.Used, func(i, j int) bool { return ev.Used[i].Plan < ev.Used[j].Plan })
	ev.Running = len(usage.runs)
	return ev
}
