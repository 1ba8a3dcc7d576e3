package kcrplacement

import "kingcuprun.example/kernel/kcrid"

// This file defines what a router knows of the memory of an engine, which running requests and
// cached parts of prompts share. Invariants: as a part is noted, those of its generation fill at most
// half of the room that the requests of this router leave, or it is alone there: the request that
// brought it holds a part that does not fit beside it. Requests that start later make no part
// forgotten until one is noted. The least recently used parts are forgotten first, in two
// generations, of at most maxCachedParts together.

// maxCachedParts bounds the parts remembered of an engine.
const maxCachedParts = 4096

// memory is the memory of an engine, as far as this router fills it.
type memory struct {
	running  kcrid.Tokens // of this router's requests: their prompts and the most that they generate
	recent   generation   // used since the last change of generations
	previous generation   // used in the generation before
}

// generation is a set of parts of prompts with their lengths.
type generation struct {
	parts  map[uint64]kcrid.Tokens
	tokens kcrid.Tokens
}

func newGeneration() generation { return generation{parts: map[uint64]kcrid.Tokens{}} }

func newMemory() memory { return memory{recent: newGeneration(), previous: newGeneration()} }

// has reports whether a part is assumed to be cached.
func (m *memory) has(id uint64) bool {
	if _, ok := m.recent.parts[id]; ok {
		return true
	}
	_, ok := m.previous.parts[id]
	return ok
}

// record notes that a part will be cached by an engine with the given capacity, 0 if that isn't
// known.
func (m *memory) record(p PromptPart, capacity kcrid.Tokens) {
	if _, ok := m.recent.parts[p.ID]; ok {
		return
	}
	if m.isHalfFull(p.Tokens, capacity) {
		m.turn()
	}
	m.recent.parts[p.ID] = p.Tokens
	m.recent.tokens += p.Tokens
}

// isHalfFull reports whether the parts used recently would fill more than half of the room for
// parts with one more.
func (m *memory) isHalfFull(tokens, capacity kcrid.Tokens) bool {
	return len(m.recent.parts) >= maxCachedParts/2 || capacity > 0 && 2*(m.recent.tokens+tokens) > capacity-m.running
}

// turn forgets the parts of the previous generation and begins another.
func (m *memory) turn() {
	clear(m.previous.parts)
	m.recent, m.previous = generation{parts: m.previous.parts}, m.recent
}

// forget forgets all parts.
func (m *memory) forget() {
	m.turn()
	m.turn()
}

// fill returns the share of an engine's memory that the requests of this router and a number of
// tokens of others take, up to 1.
func (m *memory) fill(others float64, capacity kcrid.Tokens) float64 {
	if capacity <= 0 {
		return 0
	}
	return min(1, (float64(m.running)+others)/float64(capacity))
}

// fits reports whether an engine can hold the request at its longest.
func (u *upstream) fits(req *Request) bool {
	return u.Capacity <= 0 || req.PromptTokens+req.OutputTokens <= u.Capacity
}
