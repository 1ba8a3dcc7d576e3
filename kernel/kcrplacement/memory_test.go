package kcrplacement

import (
	"testing"

	"pgregory.net/rapid"

	"kingcuprun.example/kernel/kcrid"
)

// TestCachedPartsFitRoom checks that as a part is noted, it and the others of its generation fill half
// of the room that requests leave at most, or it is alone, and that it has been noted, however long
// parts are and however many requests run.
func TestCachedPartsFitRoom(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 1000
		m := newMemory()
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "parts")) {
			m.running = kcrid.Tokens(rapid.IntRange(0, capacity+200).Draw(t, "running"))
			m.record(PromptPart{ID: id, Tokens: kcrid.Tokens(rapid.IntRange(1, capacity).Draw(t, "tokens"))}, capacity)
			if sum := m.recent.tokens; len(m.recent.parts) > 1 && 2*sum > capacity-m.running {
				t.Fatalf("expected parts of half of %d tokens at most, got %d parts of %d", capacity-m.running, len(m.recent.parts), sum)
			}
			if !m.has(id) {
				t.Fatalf("expected part %d to be noted", id)
			}
			if sum := len(m.recent.parts) + len(m.previous.parts); sum > maxCachedParts {
				t.Fatalf("expected %d parts at most, got %d", maxCachedParts, sum)
			}
		}
	})
}
