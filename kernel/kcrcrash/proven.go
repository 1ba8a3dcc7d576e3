package kcrcrash

import (
	"slices"

	"kingcuprun.example/kernel/kcrid"
)

// maxProven bounds each of the two generations of a provenSet.
const maxProven = 16384

// provenSet is a bounded set of keys that are proven harmless. When the recent generation
// is full, it replaces the one before it, so that a key is forgotten only if it was not added
// again for a whole generation.
type provenSet[K comparable] struct {
	recent, before map[K]struct{}
}

func newProvenSet[K comparable]() provenSet[K] { return provenSet[K]{recent: map[K]struct{}{}} }

func (s *provenSet[K]) has(key K) bool {
	_, recently := s.recent[key]
	_, before := s.before[key]
	return recently || before
}

func (s *provenSet[K]) add(key K) {
	if _, ok := s.recent[key]; ok {
		return
	}
	if len(s.recent) >= maxProven {
		s.before, s.recent = s.recent, map[K]struct{}{}
	}
	s.recent[key] = struct{}{}
}

// forgetOldest removes one of keys, which are ordered from the oldest: the first that is not
// banned, or the first of all if all are. It returns that key and the others.
func forgetOldest[K comparable](keys []K, banned func(K) bool) (forgotten K, kept []K) {
	i := max(0, slices.IndexFunc(keys, func(key K) bool { return !banned(key) }))
	return keys[i], slices.Delete(keys, i, i+1)
}

// retract removes an upstream from those that each of keys has crashed, and calls forget for keys
// that have crashed no other. It returns the keys that had crashed it.
func retract[K comparable](keys []K, crashed map[K][]kcrid.Incarnation, upstream kcrid.Incarnation, forget func(K)) (changed []K) {
	for _, key := range slices.Clone(keys) {
		i := slices.Index(crashed[key], upstream)
		if i < 0 {
			continue
		}
		changed = append(changed, key)
		if len(crashed[key]) == 1 {
			forget(key)
			continue
		}
		crashed[key] = slices.Delete(crashed[key], i, i+1)
	}
	return changed
}
