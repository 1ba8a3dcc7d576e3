package kcrsidecar

import (
	"sync"

	"kingcuprun.example/kernel/kcranswer"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file keeps the answers of runs, so that a retry of a call rejoins its
// run here instead of starting another.

const (
	tapeMemory = 2 * kcrclock.Minute
	tapeMost   = 4096
)

// work is one run of a call. The run goes on while anybody reads it, and after
// a router died, since its caller may come back.
type work struct {
	number  uint64 // tells runs of the same call apart
	call    kcrid.Call
	content kcrid.Content
	tape    *kcranswer.Tape
	cancel  func()
	readers int
	ended   kcrclock.Time
	over    bool
}

// tapes holds the runs by call.
type tapes struct {
	clock kcrclock.Clock

	mu    sync.Mutex
	runs  uint64
	works map[kcrid.Call]*work
}

func newTapes(c kcrclock.Clock) *tapes {
	return &tapes{clock: c, works: map[kcrid.Call]*work{}}
}

// join returns the run of a call and counts a reader; fresh tells whether the
// caller has to start it. A resumed run, if set, is never started: w is nil
// where it is gone.
func (t *tapes) join(c kcrid.Call, content kcrid.Content, resumed uint64, cancel func()) (w *work, fresh bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.works[c]
	if resumed != 0 && (!ok || w.number != resumed) {
		return nil, false
	}
	if !ok {
		t.runs++
		w = &work{number: t.runs, call: c, content: content, tape: kcranswer.NewTape(), cancel: cancel}
		t.works[c] = w
	}
	w.readers++
	return w, !ok
}

// leave ends a reader. Gone means that the caller itself has left: a run that
// nobody reads is cancelled then.
func (t *tapes) leave(w *work, gone bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.readers--
	if gone && w.readers == 0 && !w.over {
		w.cancel()
	}
}

// finish ends a run. Only a whole answer is kept for later retries.
func (t *tapes) finish(w *work, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.over, w.ended = true, t.clock.Now()
	if !whole && t.works[w.call] == w {
		delete(t.works, w.call)
	}
}

func (t *tapes) expire(now kcrclock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, w := range t.works {
		old := now.Sub(w.ended) > tapeMemory || len(t.works) > tapeMost
		if w.over && w.readers == 0 && old {
			delete(t.works, c)
		}
	}
}
