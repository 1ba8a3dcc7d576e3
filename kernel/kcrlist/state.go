package kcrlist

import (
	"encoding/json"
	"sort"
	"sync"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the fold of the configuration stream. Invariants: a
// version is in force only if it named the version that it replaces; versions
// only grow; a refused publication leaves no trace; two processes that have
// applied the same records hold the same state.

// Verdict says what the fold made of a record.
type Verdict struct {
	Accepted bool
	Reason   string // why it was refused, "" otherwise
}

// maxSuspects bounds how many suspect contents are remembered.
const maxSuspects = 4096

// suspicion is what is known of a content that ran while an upstream crashed.
type suspicion struct {
	Content kcrid.Content `json:"content"`
	Banned  bool          `json:"banned"`
}

// Rules are the decisions of the fold that a test can take out.
type Rules struct {
	Replaces func(current, base kcrid.Offset) bool
	Newer    func(current, snapshot kcrid.Offset) bool
}

// DefaultRules returns the rules that hold in production.
func DefaultRules() Rules {
	return Rules{
		Replaces: func(current, base kcrid.Offset) bool { return current == base },
		Newer:    func(current, snapshot kcrid.Offset) bool { return snapshot > current },
	}
}

// State is the configuration in force. Its methods are safe for concurrent use.
type State struct {
	rules Rules

	mu       sync.RWMutex
	at       kcrid.Offset
	version  kcrid.Offset
	items    map[kcrid.Plan]Item
	dropped  map[kcrid.Plan]Item
	keys     map[string]kcrid.Plan
	leaving  map[kcrid.VM]bool
	suspects []suspicion
}

// NewState returns an empty state, as of offset 0.
func NewState(rules Rules) *State {
	return &State{
		rules:   rules,
		items:   map[kcrid.Plan]Item{},
		dropped: map[kcrid.Plan]Item{},
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

// Version returns the offset of the publication in force, 0 before the first.
func (s *State) Version() kcrid.Offset {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.version
}

// Apply folds one record. A record at or below At is ignored.
func (s *State) Apply(off kcrid.Offset, e *kcrentry.Entry) (v Verdict) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if off <= s.at {
		return Verdict{Reason: "applied before"}
	}
	s.at = off
	switch k := e.GetKind().(type) {
	case *kcrentry.Entry_Publish:
		return s.publish(off, k.Publish)
	case *kcrentry.Entry_Leave:
		s.leaving[kcrid.VM(k.Leave.GetVm())] = true
		return Verdict{Accepted: true}
	case *kcrentry.Entry_Suspect:
		s.suspect(k.Suspect)
		return Verdict{Accepted: true}
	default:
		return Verdict{Reason: "not a configuration record"}
	}
}

func (s *State) publish(off kcrid.Offset, p *kcrentry.Publish) Verdict {
	if !s.rules.Replaces(s.version, kcrid.Offset(p.GetBase())) {
		return Verdict{Reason: "it replaces another version than the one in force"}
	}
	change, err := DecodeChange(p.GetChange())
	if err != nil {
		return Verdict{Reason: err.Error()}
	}
	if err := s.Check(change); err != nil {
		return Verdict{Reason: err.Error()}
	}
	s.version = off
	for _, name := range change.Drop {
		s.drop(name)
	}
	for _, item := range change.Set {
		s.set(item)
	}
	return Verdict{Accepted: true}
}

func (s *State) drop(name kcrid.Plan) {
	item, ok := s.items[name]
	if !ok {
		return
	}
	for _, key := range item.Plan.Keys {
		delete(s.keys, key)
	}
	s.dropped[name] = Item{Plan: Plan{Name: name, Team: item.Plan.Team, Topups: item.Plan.Topups}}
	delete(s.items, name)
}

func (s *State) set(item Item) {
	for _, key := range s.items[item.Plan.Name].Plan.Keys {
		if s.keys[key] == item.Plan.Name {
			delete(s.keys, key)
		}
	}
	for _, key := range item.Plan.Keys {
		s.keys[key] = item.Plan.Name
	}
	s.items[item.Plan.Name] = item
	delete(s.dropped, item.Plan.Name)
}

// suspect records a crash. An empty server clears the content. A content that
// crashed an upstream while it ran alone is banned.
func (s *State) suspect(r *kcrentry.Suspect) {
	content := kcrid.Content(r.GetContent())
	i := s.find(content)
	if i < 0 && r.GetServer() == "" {
		return
	}
	if i < 0 {
		s.suspects = append(s.suspects, suspicion{Content: content})
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

func (s *State) find(c kcrid.Content) int {
	for i := range s.suspects {
		if s.suspects[i].Content == c {
			return i
		}
	}
	return -1
}

// Suspected tells whether a content must run apart from others, and whether
// it must not run at all.
func (s *State) Suspected(c kcrid.Content) (apart, banned bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	i := s.find(c)
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

// ByKey returns the item of the plan that an API key belongs to.
func (s *State) ByKey(key string) (Item, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	item, ok := s.items[s.keys[Digest(key)]]
	return item, ok
}

// Items returns a copy of the items by plan.
func (s *State) Items() map[kcrid.Plan]Item {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := make(map[kcrid.Plan]Item, len(s.items))
	for name, item := range s.items {
		out[name] = item
	}
	return out
}

// image is the snapshot form of a state.
type image struct {
	At       kcrid.Offset `json:"at"`
	Version  kcrid.Offset `json:"version"`
	Items    []Item       `json:"items"`
	Dropped  []Item       `json:"dropped,omitempty"`
	Leaving  []kcrid.VM   `json:"leaving,omitempty"`
	Suspects []suspicion  `json:"suspects,omitempty"`
}

// Snapshot returns the state as of At. Equal states give equal bytes.
func (s *State) Snapshot() (at kcrid.Offset, data []byte, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	img := image{At: s.at, Version: s.version, Items: sorted(s.items), Dropped: sorted(s.dropped), Suspects: s.suspects}
	for vm := range s.leaving {
		img.Leaving = append(img.Leaving, vm)
	}
	sort.Slice(img.Leaving, func(i, j int) bool { return img.Leaving[i] < img.Leaving[j] })
	data, err = json.Marshal(img)
	return s.at, data, err
}

func sorted(items map[kcrid.Plan]Item) (out []Item) {
	for _, item := range items {
		out = append(out, item)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Plan.Name < out[j].Plan.Name })
	return out
}

// Restore loads a snapshot if it is newer than the state, and tells whether
// it did. An older one changes nothing.
func (s *State) Restore(data []byte) (newer bool, err error) {
	var img image
	if err := json.Unmarshal(data, &img); err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.rules.Newer(s.at, img.At) {
		return false, nil
	}
	fresh := NewState(s.rules)
	for _, item := range img.Items {
		fresh.set(item)
	}
	for _, item := range img.Dropped {
		fresh.dropped[item.Plan.Name] = item
	}
	for _, vm := range img.Leaving {
		fresh.leaving[vm] = true
	}
	s.at, s.version = img.At, img.Version
	s.items, s.dropped, s.keys = fresh.items, fresh.dropped, fresh.keys
	s.leaving, s.suspects = fresh.leaving, img.Suspects
	return true, nil
}

// Item returns the item of a plan.
func (s *State) Item(p kcrid.Plan) (Item, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	item, ok := s.items[p]
	return item, ok
}
