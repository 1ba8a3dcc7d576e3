package kcrdaemon

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// offsetState is a state that is the offset of the last record applied.
type offsetState struct {
	at       kcrid.Offset
	applied  []kcrid.Offset
	readyAt  kcrid.Offset // its offset when it last counted as up to date
	gaps     bool
	snapshot kcrid.Offset // of the snapshot on the log, 0 if there is none
	kept     *kcrlog.Page
}

// follower returns a follower of the state that reads nothing by itself.
func (s *offsetState) follower() *Follower {
	log := kcrlog.Log{Read: func(_ context.Context, _ kcrid.Stream, from kcrid.Offset, _ kcrclock.Duration) (p kcrlog.Page, err error) {
		p.FirstOffset, p.NextOffset = 1, 2
		data, err := proto.Marshal(&kcrentry.Entry{Kind: &kcrentry.Entry_Snap{Snap: &kcrentry.Snap{At: uint64(s.snapshot), Parts: 1, State: []byte{byte(s.snapshot)}}}})
		if s.snapshot > 0 && from == 1 {
			p.Records = []kcrlog.Record{{Offset: 1, Data: data}}
		}
		return p, err
	}}
	if s.kept != nil {
		log.Kept = func(context.Context, kcrid.Stream) (kcrlog.Page, bool, error) { return *s.kept, true, nil }
	}
	return &Follower{log: log, stream: "s", logger: slog.New(slog.NewTextHandler(io.Discard, nil)), clock: kcrclock.Monotonic(), machine: StateMachine{
		Apply: func(off kcrid.Offset, _ *kcrentry.Entry) {
			s.at = off
			s.applied = append(s.applied, off)
		},
		Offset:    func() kcrid.Offset { return s.at },
		MarkReady: func() { s.readyAt = s.at },
		Restore: func(state []byte) (bool, error) {
			s.at = max(s.at, kcrid.Offset(state[0]))
			return true, nil
		},
		AllowsGaps: s.gaps,
	}}
}

// page returns a page with the records from first to last of a log that holds those from oldest up to end.
func page(oldest, end, first, last kcrid.Offset) (p kcrlog.Page) {
	p.FirstOffset, p.NextOffset = oldest, end
	for off := first; off <= last; off++ {
		p.Records = append(p.Records, kcrlog.Record{Offset: off, Data: []byte{0x10, byte(off)}})
	}
	return p
}

// TestStanding checks where a state continues, and when it counts as up to date.
func TestStanding(t *testing.T) {
	t.Parallel()
	kept := page(1, 9, 4, 8)
	for name, c := range map[string]struct {
		state   offsetState
		next    kcrid.Offset
		from    kcrid.Offset
		page    kcrlog.Page
		ok      bool
		at      kcrid.Offset
		readyAt kcrid.Offset
	}{
		"records follow":                          {offsetState{at: 2}, 3, 3, page(1, 5, 3, 4), true, 4, 4},
		"a part of them":                          {offsetState{at: 2}, 3, 3, page(1, 9, 3, 4), true, 4, 0},
		"empty log":                               {offsetState{}, 1, 1, page(1, 1, 1, 0), true, 0, 0},
		"a page from before others were read":     {offsetState{at: 6}, 7, 3, page(1, 5, 3, 4), true, 6, 0},
		"log shorter than the state":              {offsetState{at: 6}, 7, 7, page(1, 5, 1, 0), false, 6, 0},
		"log that is gone":                        {offsetState{at: 6}, 7, 7, page(1, 1, 1, 0), false, 6, 0},
		"deleted records, gaps allowed":           {offsetState{gaps: true}, 1, 1, page(5, 9, 5, 6), true, 6, 0},
		"the same to the end":                     {offsetState{gaps: true}, 1, 1, page(5, 9, 5, 8), true, 8, 8},
		"deleted records, no snapshot":            {offsetState{}, 1, 1, page(5, 9, 5, 8), false, 0, 0},
		"deleted records, snapshot in the middle": {offsetState{snapshot: 6}, 1, 1, page(5, 9, 5, 8), true, 8, 8},
		"deleted records, snapshot too old":       {offsetState{snapshot: 3}, 1, 1, page(5, 9, 5, 8), false, 0, 0},
		"snapshot from beyond the end":            {offsetState{snapshot: 20}, 1, 1, page(5, 9, 5, 8), false, 0, 0},
		"kept records after an old snapshot":      {offsetState{snapshot: 3, kept: &kept}, 1, 1, page(7, 9, 7, 8), true, 8, 8},
		"kept records, all others deleted":        {offsetState{snapshot: 3, kept: &kept}, 1, 1, page(9, 9, 1, 0), true, 8, 8},
		"kept records, more since":                {offsetState{snapshot: 3, kept: &kept}, 1, 1, page(7, 12, 7, 8), true, 8, 0},
	} {
		f := c.state.follower()
		s := &c.state
		f.next = c.next
		if ok := f.applyPage(t.Context(), c.from, c.page); ok != c.ok || s.at != c.at || s.readyAt != c.readyAt {
			t.Errorf("%s: expected %v at %d, up to date at %d, got %v at %d, %d", name, c.ok, c.at, c.readyAt, ok, s.at, s.readyAt)
		}
	}
}
