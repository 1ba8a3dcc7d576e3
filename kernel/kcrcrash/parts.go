package kcrcrash

import (
	"slices"
	"sync"

	"kingcuprun.example/kernel/kcrid"
)

// This file finds parts of prompts that crash each upstream that begins to answer a
// request which has them, whatever else the request has.
//
// The level of a part counts crashes in sequence: a crash raises the level that the part
// had when the lost run was sent by one. Upstreams that fail at the same moment, for
// another reason, therefore raise it only once, however many run requests with the part,
// and the same holds for requests that reach an upstream just after its crash. A complete
// answer to a request with the part proves the part harmless and clears its level. A part
// whose level reaches the limit is banned.
//
// Invariant: levels only depend on the set of crashes between two complete answers, not on
// the order in which a process learns of them, so that processes that tell each other their
// levels agree.

// Part identifies a part of a prompt.
type Part uint64

// PartLevel is the level of a part; 0 tells that the part was cleared.
type PartLevel struct {
	Part     Part
	Level    int
	Upstream kcrid.Incarnation // whose crash raised it to this level
}

// Run is a run of a request with the levels that its parts had when it was sent.
type Run struct{ levels []PartLevel }

// maxParts bounds the parts that have a level; beyond it, the oldest that is not banned is
// forgotten, or the oldest of all if all are.
const maxParts = 8192

// PartSuspects holds the levels of parts. It is safe for concurrent use.
type PartSuspects struct {
	limit int // level from which a part is banned

	mu     sync.Mutex
	levels map[Part]PartLevel
	parts  []Part // keys of levels, oldest first
}

// NewPartSuspects returns suspects without any part. A part is banned from level limit on.
func NewPartSuspects(limit int) *PartSuspects {
	return &PartSuspects{limit: limit, levels: map[Part]PartLevel{}}
}

// Sent records that a request with these parts is sent to an upstream.
func (s *PartSuspects) Sent(parts []Part) Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Run{levels: make([]PartLevel, len(parts))}
	for i, part := range parts {
		run.levels[i] = PartLevel{Part: part, Level: s.levels[part].Level}
	}
	return run
}

// Crashed records that the upstream of a run crashed before the run had produced any
// output. It returns the parts whose level has risen.
func (s *PartSuspects) Crashed(run Run, upstream kcrid.Incarnation) (raised []PartLevel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sent := range run.levels {
		risen := PartLevel{sent.Part, sent.Level + 1, upstream}
		if s.levels[sent.Part].Upstream != upstream && s.raise(risen) {
			raised = append(raised, risen)
		}
	}
	return raised
}

// Raise raises the level of a part to at least the given one, and reports whether it was
// lower.
func (s *PartSuspects) Raise(p PartLevel) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.raise(p)
}

func (s *PartSuspects) raise(p PartLevel) bool {
	current, known := s.levels[p.Part]
	if current.Level >= p.Level {
		return false
	}
	if !known {
		s.parts = append(s.parts, p.Part)
	}
	s.levels[p.Part] = p
	if len(s.levels) > maxParts {
		s.forgetOldest()
	}
	return true
}

// forgetOldest forgets one part.
func (s *PartSuspects) forgetOldest() {
	i := slices.IndexFunc(s.parts, func(part Part) bool { return s.levels[part].Level < s.limit })
	i = max(i, 0)
	delete(s.levels, s.parts[i])
	s.parts = slices.Delete(s.parts, i, i+1)
}

// Served records that a request with these parts was answered completely, and clears their
// levels. It returns the parts that other processes must clear too, since one more crash
// would have banned them.
func (s *PartSuspects) Served(parts []Part) (cleared []PartLevel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.levels) == 0 {
		return nil
	}
	for _, part := range parts {
		if s.clear(part) >= s.limit-1 {
			cleared = append(cleared, PartLevel{Part: part})
		}
	}
	return cleared
}

// Clear clears the level of a part.
func (s *PartSuspects) Clear(part Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clear(part)
}

// clear clears the level of a part and returns what it was.
func (s *PartSuspects) clear(part Part) (level int) {
	current, known := s.levels[part]
	if known {
		delete(s.levels, part)
		i := slices.Index(s.parts, part)
		s.parts = slices.Delete(s.parts, i, i+1)
	}
	return current.Level
}

// FindBanned returns the first of these parts that is banned.
func (s *PartSuspects) FindBanned(parts []Part) (part Part, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(parts, func(part Part) bool { return s.levels[part].Level >= s.limit })
	if i < 0 {
		return 0, false
	}
	return parts[i], true
}

// Banned returns all parts that are banned, oldest first.
func (s *PartSuspects) Banned() (banned []PartLevel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range s.parts {
		if current := s.levels[part]; current.Level >= s.limit {
			banned = append(banned, current)
		}
	}
	return banned
}
