package kcrcrash

import (
	"slices"
	"strconv"
	"strings"
	"sync"

	"kingcuprun.example/kernel/kcrid"
)

// This file finds parts of prompts that crash each upstream that begins to answer a
// request which has them, whatever else the request has.
//
// The level of a part counts crashes in sequence: a crash raises the level that the part
// had when the lost run was sent by one. Upstreams that fail at the same moment, for
// another reason, therefore raise it only once, however many run requests with the part,
// and the same holds for requests that reach an upstream just after its crash. An upstream
// raises the level of a part only once. A part whose level reaches the limit is banned. If
// several parts of a run would reach it, only the last of them does, since fewer requests
// have it.
//
// A complete answer to a request with the part proves the part harmless: it has no level
// any more, whatever other processes report.

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

// String returns the IDs of the parts.
func (r Run) String() string {
	ids := make([]string, len(r.levels))
	for i, sent := range r.levels {
		ids[i] = strconv.FormatUint(uint64(sent.Part), 16)
	}
	return strings.Join(ids, ",")
}

// maxParts bounds the parts that have a level; beyond it, the oldest that is not banned is
// forgotten, or the oldest of all if all are.
const maxParts = 8192

// PartSuspects holds the levels of parts. It is safe for concurrent use.
type PartSuspects struct {
	limit int // level from which a part is banned

	mu     sync.Mutex
	raised map[Part][]kcrid.Incarnation // for each level, the upstream whose crash raised the part to it, "" if unknown
	parts  []Part                       // keys of raised, oldest first
	proven provenSet[Part]
}

// NewPartSuspects returns suspects without any part. A part is banned from level limit on.
func NewPartSuspects(limit int) *PartSuspects {
	return &PartSuspects{limit: limit, raised: map[Part][]kcrid.Incarnation{}, proven: newProvenSet[Part]()}
}

// Sent records that a request with these parts is sent to an upstream.
func (s *PartSuspects) Sent(parts []Part) Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	run := Run{levels: make([]PartLevel, len(parts))}
	for i, part := range parts {
		run.levels[i] = PartLevel{Part: part, Level: len(s.raised[part])}
	}
	return run
}

// Crashed records that the upstream of a run crashed before the run had produced any
// output. It returns the parts whose level has risen.
func (s *PartSuspects) Crashed(run Run, upstream kcrid.Incarnation) (raised []PartLevel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	maxLevel := s.limit
	for _, sent := range slices.Backward(run.levels) {
		current := s.raised[sent.Part]
		risen := PartLevel{sent.Part, min(sent.Level+1, len(current)+1, maxLevel), upstream}
		if slices.Contains(current, upstream) || !s.raise(risen) {
			continue
		}
		raised = append(raised, risen)
		if risen.Level == s.limit {
			maxLevel = s.limit - 1
		}
	}
	return raised
}

// Raise raises the level of a part to at least the given one. It reports whether the part is
// proven harmless here although one more crash would ban it elsewhere, so that others must
// be told to clear it.
func (s *PartSuspects) Raise(p PartLevel) (mustClear bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.raise(p) && s.proven.has(p.Part) && p.Level >= s.limit-1
}

// raise raises the level of a part, and reports whether it was lower.
func (s *PartSuspects) raise(p PartLevel) bool {
	if s.proven.has(p.Part) {
		return false
	}
	current, known := s.raised[p.Part]
	if len(current) >= p.Level {
		return false
	}
	if !known {
		s.parts = append(s.parts, p.Part)
	}
	raised := make([]kcrid.Incarnation, p.Level)
	copy(raised, current)
	raised[p.Level-1] = p.Upstream
	s.raised[p.Part] = raised
	if len(s.raised) > maxParts {
		var forgotten Part
		forgotten, s.parts = forgetOldest(s.parts, s.isBanned)
		delete(s.raised, forgotten)
	}
	return true
}

func (s *PartSuspects) isBanned(part Part) bool { return len(s.raised[part]) >= s.limit }

// Retract undoes what the crash of an upstream has raised, as it turned out to be none. It returns
// the parts whose level has fallen.
func (s *PartSuspects) Retract(upstream kcrid.Incarnation) (lowered []Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return retract(s.parts, s.raised, upstream, s.forget)
}

// forget removes the level of a part.
func (s *PartSuspects) forget(part Part) {
	if _, known := s.raised[part]; !known {
		return
	}
	delete(s.raised, part)
	i := slices.Index(s.parts, part)
	s.parts = slices.Delete(s.parts, i, i+1)
}

// Served records that a request with these parts was answered completely. It returns the
// parts that other processes must clear too, since one more crash would have banned them.
func (s *PartSuspects) Served(parts []Part) (cleared []PartLevel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		if s.clear(part) >= s.limit-1 {
			cleared = append(cleared, PartLevel{Part: part})
		}
	}
	return cleared
}

// Clear records that a part is harmless, as another process has proved.
func (s *PartSuspects) Clear(part Part) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clear(part)
}

// clear records that a part is harmless and returns the level that it had.
func (s *PartSuspects) clear(part Part) (level int) {
	level = len(s.raised[part])
	s.proven.add(part)
	s.forget(part)
	return level
}

// FindBanned returns the first of these parts that is banned.
func (s *PartSuspects) FindBanned(parts []Part) (part Part, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(parts, s.isBanned)
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
		if s.isBanned(part) {
			banned = append(banned, s.level(part))
		}
	}
	return banned
}

// Newest returns the newest parts that have a level, at most count of them, oldest first.
func (s *PartSuspects) Newest(count int) (levels []PartLevel) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range s.parts[max(0, len(s.parts)-count):] {
		levels = append(levels, s.level(part))
	}
	return levels
}

// level returns the level of a part that has one.
func (s *PartSuspects) level(part Part) PartLevel {
	raised := s.raised[part]
	return PartLevel{part, len(raised), raised[len(raised)-1]}
}
