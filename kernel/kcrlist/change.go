package kcrlist

import (
	"encoding/json"
	"fmt"
	"reflect"
	"sort"

	"kingcuprun.example/kernel/kcrid"
)

// This file defines the change from one version of the lists to the next.
// A published record holds only what changed, since whole lists 1,300 times a
// day to every process would not fit the control budget.

// Change turns one version of the lists into the next.
type Change struct {
	Set  []Item       `json:"set,omitempty"`
	Drop []kcrid.Plan `json:"drop,omitempty"`
}

// Diff returns the change from old to next, ordered by plan.
func Diff(old, next map[kcrid.Plan]Item) (c Change) {
	for name, item := range next {
		if !reflect.DeepEqual(old[name], item) {
			c.Set = append(c.Set, item)
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

// Encode returns the form of the change that is published.
func (c Change) Encode() ([]byte, error) { return json.Marshal(c) }

// DecodeChange reads a published change.
func DecodeChange(data []byte) (c Change, err error) {
	err = json.Unmarshal(data, &c)
	return c, err
}

// Check reports why the change must not follow the state: a top-up that was
// published stays as it is, and an API key belongs to one plan.
func (s *State) Check(c Change) error {
	for _, item := range c.Set {
		if err := s.checkItem(item); err != nil {
			return err
		}
	}
	return s.checkKeys(c)
}

func (s *State) checkItem(item Item) error {
	if item.Plan.Name == "" || item.Plan.Team == "" {
		return fmt.Errorf("plan %q: expected a name and a team, got team %q", item.Plan.Name, item.Plan.Team)
	}
	has := map[string]kcrid.Tokens{}
	for _, t := range item.Plan.Topups {
		if t.Tokens <= 0 {
			return fmt.Errorf("plan %s: top-up %s: expected a positive amount, got %d", item.Plan.Name, t.Name, t.Tokens)
		}
		has[t.Name] = t.Tokens
	}
	old, ok := s.items[item.Plan.Name]
	if !ok {
		old = s.dropped[item.Plan.Name]
	}
	for _, t := range old.Plan.Topups {
		if has[t.Name] != t.Tokens {
			return fmt.Errorf("plan %s: top-up %s: expected %d as published, got %d", item.Plan.Name, t.Name, t.Tokens, has[t.Name])
		}
	}
	return nil
}

func (s *State) checkKeys(c Change) error {
	touched := map[kcrid.Plan]bool{}
	for _, name := range c.Drop {
		touched[name] = true
	}
	for _, item := range c.Set {
		touched[item.Plan.Name] = true
	}
	taken := map[string]kcrid.Plan{}
	for _, item := range c.Set {
		for _, key := range item.Plan.Keys {
			other, ok := s.keys[key]
			if ok && !touched[other] {
				return fmt.Errorf("plan %s: expected a key of its own, got one of plan %s", item.Plan.Name, other)
			}
			if other, ok := taken[key]; ok && other != item.Plan.Name {
				return fmt.Errorf("plan %s: expected a key of its own, got one of plan %s", item.Plan.Name, other)
			}
			taken[key] = item.Plan.Name
		}
	}
	return nil
}
