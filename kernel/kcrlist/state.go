package kcrlist

import (
	"encoding/json"
	"sort"
	"sync"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines State, the configuration that results from applying the
// records of the configuration stream in order. Invariants: a version takes
// effect only if it names the current version as the one that it replaces;
// versions only grow; a refused publication changes nothing but the offset; two
// processes that have applied the same records hold the same state.

// Verdict tells whether State.Apply accepted a record.
type Verdict struct {
	Accepted bool
	Reason   string // why the record was refused; empty if it was accepted
}

// maxSuspects is the maximum number of suspected contents that are kept; the
// oldest is removed first.
const maxSuspects = 4096

// suspectedContent is a request content that ran while an upstream crashed.
type suspectedContent struct {
	Content kcrid.ContentHash `json:"content"`
	Banned  bool              `json:"banned"`
}

// Rules holds decisions of State as functions, so that a test can replace one
// and check that the invariants then fail.
type Rules struct {
	// BaseMatches tells whether a publication based on version base may replace
	// the current version.
	BaseMatches func(current, base kcrid.Offset) bool
	// SnapshotNewer tells whether a snapshot as of an offset may replace the state as
	// of the current offset.
	SnapshotNewer func(current, snapshot kcrid.Offset) bool
}

// DefaultRules returns the rules that production uses.
func DefaultRules() Rules {
	return Rules{
		BaseMatches:   func(current, base kcrid.Offset) bool { return current == base },
		SnapshotNewer: func(current, snapshot kcrid.Offset) bool { return snapshot > current },
	}
}

// State is the current configuration. Its methods are safe for concurrent use.
type State struct {
	rules Rules

	mu       sync.RWMutex
	at       kcrid.Offset              // offset of the last record applied
	version  kcrid.Offset              // offset of the last accepted publication
	configs  map[kcrid.Plan]PlanConfig // configurations of the current plans
	dropped  map[kcrid.Plan]PlanConfig // name, team and top-ups of dropped plans
	keys     map[string]kcrid.Plan     // plan of each API key digest
	leaving  map[kcrid.VM]bool         // VMs that an operator marked as leaving
	suspects []suspectedContent        // oldest first
}

// NewState returns an empty state at offset 0.
func NewState(rules Rules) *State {
	return &State{
		rules:   rules,
		configs: map[kcrid.Plan]PlanConfig{},
		dropped: map[kcrid.Plan]PlanConfig{},
		keys:    map[string]kcrid.Plan{},
		leaving: map[kcrid.VM]bool{},
	}
}

// At returns the offset of the last record applied.
func (s *State) At() kcrid.Offset {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.at
}

// Version returns the offset of the last accepted publication, 0 if there is
// none.
func (s *State) Version() kcrid.Offset {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// Apply applies the record at an offset. It ignores a record at or below At.
func (s *State) Apply(off kcrid.Offset, e *kcrentry.Entry) (v Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if off <= s.at {
		return Verdict{Reason: "the record was applied before"}
	}
	s.at = off
	switch k := e.GetKind().(type) {
	case *kcrentry.Entry_Publish:
		return s.applyPublish(off, k.Publish)
	case *kcrentry.Entry_Leave:
		s.leaving[kcrid.VM(k.Leave.GetVm())] = true
		return Verdict{Accepted: true}
	case *kcrentry.Entry_Suspect:
		s.applySuspect(k.Suspect)
		return Verdict{Accepted: true}
	default:
		return Verdict{Reason: "not a configuration record"}
	}
}

// applyPublish applies a change if it is based on the current version and ValidateChange
// accepts it.
func (s *State) applyPublish(off kcrid.Offset, p *kcrentry.Publish) Verdict {
	if !s.rules.BaseMatches(s.version, kcrid.Offset(p.GetBase())) {
		return Verdict{Reason: "the base of the publication is not the current version"}
	}
	change, err := DecodeChange(p.GetChange())
	if err != nil {
		return Verdict{Reason: err.Error()}
	}
	if err := s.ValidateChange(change); err != nil {
		return Verdict{Reason: err.Error()}
	}
	s.version = off
	for _, name := range change.Drop {
		s.dropPlan(name)
	}
	for _, config := range change.Set {
		s.setConfig(config)
	}
	return Verdict{Accepted: true}
}

// dropPlan removes a plan and its API keys. Its top-ups are kept, so that they
// cannot change if the plan is set again.
func (s *State) dropPlan(name kcrid.Plan) {
	config, ok := s.configs[name]
	if !ok {
		return
	}
	for _, key := range config.Plan.Keys {
		delete(s.keys, key)
	}
	s.dropped[name] = PlanConfig{Plan: Plan{Name: name, Team: config.Plan.Team, TopUps: config.Plan.TopUps}}
	delete(s.configs, name)
}

// setConfig adds or replaces a configuration and updates the index of API keys.
func (s *State) setConfig(config PlanConfig) {
	for _, key := range s.configs[config.Plan.Name].Plan.Keys {
		if s.keys[key] == config.Plan.Name {
			delete(s.keys, key)
		}
	}
	for _, key := range config.Plan.Keys {
		s.keys[key] = config.Plan.Name
	}
	s.configs[config.Plan.Name] = config
	delete(s.dropped, config.Plan.Name)
}

// applySuspect records that an upstream crashed while it ran a content. The
// content is banned if it ran alone. A record without a server removes the
// suspicion unless the content is banned.
func (s *State) applySuspect(r *kcrentry.Suspect) {
	content := kcrid.ContentHash(r.GetContent())
	i := s.suspectIndex(content)
	if i < 0 && r.GetServer() == "" {
		return
	}
	if i < 0 {
		s.suspects = append(s.suspects, suspectedContent{Content: content})
		i = len(s.suspects) - 1
	}
	if r.GetServer() == "" && !s.suspects[i].Banned {
		s.suspects = append(s.suspects[:i], s.suspects[i+1:]...)
		return
	}
	s.suspects[i].Banned = s.suspects[i].Banned || r.GetAlone()
	if len(s.suspects) > maxSuspects {
		s.suspects = s.suspects[1:]
	}
}

// suspectIndex returns the index of a content in suspects, or -1.
func (s *State) suspectIndex(c kcrid.ContentHash) int {
	for i := range s.suspects {
		if s.suspects[i].Content == c {
			return i
		}
	}
	return -1
}

// SuspectStatus tells whether a content must run exclusively, beside no other request,
// since an upstream crashed while it ran, and whether it is banned from running at all.
func (s *State) SuspectStatus(c kcrid.ContentHash) (exclusive, banned bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	i := s.suspectIndex(c)
	if i < 0 {
		return false, false
	}
	return true, s.suspects[i].Banned
}

// Leaving tells whether an operator marked a VM as leaving.
func (s *State) Leaving(vm kcrid.VM) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.leaving[vm]
}

// PlanByAPIKey returns the configuration of the plan that an API key, in clear text,
// belongs to.
func (s *State) PlanByAPIKey(key string) (PlanConfig, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	config, ok := s.configs[s.keys[APIKeyDigest(key)]]
	return config, ok
}

// PlanConfigs returns a copy of the current configurations, keyed by plan.
func (s *State) PlanConfigs() map[kcrid.Plan]PlanConfig {
	s.mu.RLock()
	defer s.mu.RUnlock()
	configs := make(map[kcrid.Plan]PlanConfig, len(s.configs))
	for name, config := range s.configs {
		configs[name] = config
	}
	return configs
}

// stateSnapshot is the JSON form of a state.
type stateSnapshot struct {
	At       kcrid.Offset       `json:"at"`
	Version  kcrid.Offset       `json:"version"`
	Items    []PlanConfig       `json:"items"`
	Dropped  []PlanConfig       `json:"dropped,omitempty"`
	Leaving  []kcrid.VM         `json:"leaving,omitempty"`
	Suspects []suspectedContent `json:"suspects,omitempty"`
}

// Snapshot returns the encoded state and the offset of the last record in it.
// Equal states give equal bytes.
func (s *State) Snapshot() (at kcrid.Offset, data []byte, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	snapshot := stateSnapshot{At: s.at, Version: s.version, Items: sortedByPlan(s.configs), Dropped: sortedByPlan(s.dropped), Suspects: s.suspects}
	for vm := range s.leaving {
		snapshot.Leaving = append(snapshot.Leaving, vm)
	}
	sort.Slice(snapshot.Leaving, func(i, j int) bool { return snapshot.Leaving[i] < snapshot.Leaving[j] })
	data, err = json.Marshal(snapshot)
	return s.at, data, err
}

// sortedByPlan returns the configurations sorted by plan name.
func sortedByPlan(byPlan map[kcrid.Plan]PlanConfig) (configs []PlanConfig) {
	for _, config := range byPlan {
		configs = append(configs, config)
	}
	sort.Slice(configs, func(i, j int) bool { return configs[i].Plan.Name < configs[j].Plan.Name })
	return configs
}

// Restore replaces the state by a snapshot if the snapshot is newer, and tells
// whether it did. An older snapshot changes nothing.
func (s *State) Restore(data []byte) (newer bool, err error) {
	var snapshot stateSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.rules.SnapshotNewer(s.at, snapshot.At) {
		return false, nil
	}
	restored := NewState(s.rules)
	for _, config := range snapshot.Items {
		restored.setConfig(config)
	}
	for _, config := range snapshot.Dropped {
		restored.dropped[config.Plan.Name] = config
	}
	for _, vm := range snapshot.Leaving {
		restored.leaving[vm] = true
	}
	s.at, s.version = snapshot.At, snapshot.Version
	s.configs, s.dropped, s.keys = restored.configs, restored.dropped, restored.keys
	s.leaving, s.suspects = restored.leaving, snapshot.Suspects
	return true, nil
}

// PlanConfig returns the configuration of a plan.
func (s *State) PlanConfig(p kcrid.Plan) (PlanConfig, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	config, ok := s.configs[p]
	return config, ok
}
