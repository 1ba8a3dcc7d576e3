package kcrbudget

import (
	"errors"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrid"
)

// This file defines the meter of a sidecar: what was served under each holder.
// Invariants: no run begins under a fenced holder; a run serves at most its
// reservation; the evidence given for a fenced holder never grows afterwards.

// Errors of a meter.
var (
	ErrFenced   = errors.New("the holder of the reservation is fenced")
	ErrRepeated = errors.New("the reservation was used before")
	ErrSpent    = errors.New("the reservation is spent")
)

// Evidence is what a sidecar served under a holder. Runs that have not ended
// count with their whole reservation.
type Evidence struct {
	Used    []Usage
	Running int
}

// Usage is the spending of one plan.
type Usage struct {
	Plan   kcrid.Plan
	Tokens kcrid.Tokens
}

// MeterRules are the decisions of a meter that a test can take out.
type MeterRules struct {
	Refuses func(fenced bool) bool
	Exceeds func(used, worst kcrid.Tokens) bool
	Barred  func(floor, id uint64) bool
}

// DefaultMeterRules returns the rules that hold in production.
func DefaultMeterRules() MeterRules {
	return MeterRules{
		Refuses: func(fenced bool) bool { return fenced },
		Exceeds: func(used, worst kcrid.Tokens) bool { return used > worst },
		Barred:  func(floor, id uint64) bool { return id <= floor },
	}
}

const meterShards = 16

// Meter counts tokens by holder. It is safe for concurrent use.
type Meter struct {
	rules  MeterRules
	shards [meterShards]meterShard
}

type meterShard struct {
	mu      sync.Mutex
	holders map[kcrid.Incarnation]*served
}

type served struct {
	fenced bool
	done   map[kcrid.Plan]kcrid.Tokens
	runs   map[uint64]*run
	ended  map[uint64]bool
	floor  uint64
}

type run struct {
	plan  kcrid.Plan
	worst kcrid.Tokens
	used  kcrid.Tokens
}

// NewMeter returns a meter that has served nothing.
func NewMeter(rules MeterRules) *Meter {
	m := &Meter{rules: rules}
	for i := range m.shards {
		m.shards[i].holders = map[kcrid.Incarnation]*served{}
	}
	return m
}

func (m *Meter) lock(holder kcrid.Incarnation) (*served, func()) {
	sh := &m.shards[xxhash.Sum64String(string(holder))%meterShards]
	sh.mu.Lock()
	s, ok := sh.holders[holder]
	if !ok {
		s = &served{done: map[kcrid.Plan]kcrid.Tokens{}, runs: map[uint64]*run{}, ended: map[uint64]bool{}}
		sh.holders[holder] = s
	}
	return s, sh.mu.Unlock
}

// Begin starts a run under a reservation.
func (m *Meter) Begin(holder kcrid.Incarnation, id uint64, plan kcrid.Plan, worst kcrid.Tokens) error {
	s, unlock := m.lock(holder)
	defer unlock()
	if m.rules.Refuses(s.fenced) {
		return ErrFenced
	}
	if s.runs[id] != nil || s.ended[id] || m.rules.Barred(s.floor, id) {
		return ErrRepeated
	}
	s.runs[id] = &run{plan: plan, worst: worst}
	return nil
}

// Use counts served tokens. ErrSpent means that they must not be served.
func (m *Meter) Use(holder kcrid.Incarnation, id uint64, tokens kcrid.Tokens) error {
	s, unlock := m.lock(holder)
	defer unlock()
	r := s.runs[id]
	if r == nil || m.rules.Exceeds(r.used+tokens, r.worst) {
		return ErrSpent
	}
	r.used += tokens
	return nil
}

// End closes a run and returns what it served.
func (m *Meter) End(holder kcrid.Incarnation, id uint64) kcrid.Tokens {
	s, unlock := m.lock(holder)
	defer unlock()
	r := s.runs[id]
	if r == nil {
		return 0
	}
	delete(s.runs, id)
	s.ended[id] = true
	s.done[r.plan] += r.used
	return r.used
}

// Bar makes sure that no reservation up to floor begins from now on, so that
// the holder may take back those that this sidecar does not hold.
func (m *Meter) Bar(holder kcrid.Incarnation, floor uint64) {
	s, unlock := m.lock(holder)
	defer unlock()
	s.floor = max(s.floor, floor)
	for id := range s.ended {
		if id <= s.floor {
			delete(s.ended, id)
		}
	}
}

// Fence refuses further runs under a holder and returns the evidence.
func (m *Meter) Fence(holder kcrid.Incarnation) (ev Evidence) {
	s, unlock := m.lock(holder)
	defer unlock()
	s.fenced = true
	sum := make(map[kcrid.Plan]kcrid.Tokens, len(s.done))
	for p, t := range s.done {
		sum[p] = t
	}
	for _, r := range s.runs {
		sum[r.plan] += r.worst
	}
	for p, t := range sum {
		ev.Used = append(ev.Used, Usage{Plan: p, Tokens: t})
	}
	sort.Slice(ev.Used, func(i, j int) bool { return ev.Used[i].Plan < ev.Used[j].Plan })
	ev.Running = len(s.runs)
	return ev
}
