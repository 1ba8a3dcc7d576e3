package kcrlist

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"

	"kingcuprun.example/kernel/kcrid"
)

// This file defines Change, the difference between two versions of the lists,
// and validates a change against the current state. A published record holds
// only the difference: sending whole lists to every process 1,300 times a day
// would exceed the bandwidth budget of the control traffic.

// Change turns one version of the lists into the next. Set holds the configurations that
// are added or replaced, Drop the plans that are removed.
type Change struct {
	Set  []PlanConfig `json:"set,omitempty"`
	Drop []kcrid.Plan `json:"drop,omitempty"`
}

// Diff returns the change that turns old into next, sorted by plan name.
func Diff(old, next map[kcrid.Plan]PlanConfig) (c Change) {
	for name, config := range next {
		if !reflect.DeepEqual(old[name], config) {
			c.Set = append(c.Set, config)
		}
	}
	for name := range old {
		if _, ok := next[name]; !ok {
			c.Drop = append(c.Drop, name)
		}
	}
	sort.Slice(c.Set, func(i, j int) bool { return c.Set[i].Plan.Name < c.Set[j].Plan.Name })
	sort.Slice(c.Drop, func(i, j int) bool { return c.Drop[i] < c.Drop[j] })
	return c
}

// Encode returns the JSON form in which a change is published.
func (c Change) Encode() ([]byte, error) { return json.Marshal(c) }

// DecodeChange parses a published change.
func DecodeChange(data []byte) (c Change, err error) {
	err = json.Unmarshal(data, &c)
	return c, err
}

// ValidateChange returns an error if the change must not be applied to the state: each
// plan has a name and a team, a top-up that was published can be neither
// changed nor removed, and an API key belongs to at most one plan. ValidateChange takes
// no lock: Apply calls it with the lock held, other callers must not share the
// state.
func (s *State) ValidateChange(c Change) error {
	for _, config := range c.Set {
		if err := s.validateConfig(config); err != nil {
			return err
		}
	}
	return s.validateKeys(c)
}

// validateConfig validates the top-ups of a configuration against those published before,
// also before its plan was dropped.
func (s *State) validateConfig(config PlanConfig) error {
	if config.Plan.Name == "" || config.Plan.Team == "" {
		return fmt.Errorf("plan %q: expected a name and a team, got team %q", config.Plan.Name, config.Plan.Team)
	}
	amounts := map[string]kcrid.Tokens{}
	for _, t := range config.Plan.TopUps {
		if t.Tokens <= 0 {
			return fmt.Errorf("plan %s: top-up %s: expected a positive amount, got %d", config.Plan.Name, t.Name, t.Tokens)
		}
		amounts[t.Name] = t.Tokens
	}
	old, ok := s.configs[config.Plan.Name]
	if !ok {
		old = s.dropped[config.Plan.Name]
	}
	for _, t := range old.Plan.TopUps {
		if amounts[t.Name] != t.Tokens {
			return fmt.Errorf("plan %s: top-up %s: expected %d as published, got %d", config.Plan.Name, t.Name, t.Tokens, amounts[t.Name])
		}
	}
	return nil
}

// validateKeys returns an error if an API key in the change belongs to another
// plan. A key may move between plans that the same change sets or drops.
func (s *State) validateKeys(c Change) error {
	changed := map[kcrid.Plan]bool{}
	for _, name := range c.Drop {
		changed[name] = true
	}
	for _, config := range c.Set {
		changed[config.Plan.Name] = true
	}
	newOwners := map[string]kcrid.Plan{}
	for _, config := range c.Set {
		for _, key := range config.Plan.Keys {
			owner, ok := s.keys[key]
			if ok && !changed[owner] {
				return fmt.Errorf("plan %s: expected a key of its own, got one of plan %s", config.Plan.Name, owner)
			}
			if owner, ok := newOwners[key]; ok && owner != config.Plan.Name {
				return fmt.Errorf("plan %s: expected a key of its own, got one of plan %s", config.Plan.Name, owner)
			}
			newOwners[key] = config.Plan.Name
		}
	}
	return nil
}
