package kcrsidecar

import (
	"sync"

	"kingcuprun.example/kernel/kcranswer"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file keeps the runs of generation calls together with their answers. A
// retry of a call joins the existing run instead of starting another; a call has
// at most one run here at a time.

const (
	runRetention = 2 * kcrclock.Minute
	maxKeptRuns  = 4096
)

// callRun is one run of a call at the upstream. It continues while it has readers,
// and also after its router has died, since the caller may retry at another one.
type callRun struct {
	number     uint64 // distinguishes the runs of one call
	call       kcrid.CallID
	content    kcrid.ContentHash
	answer     *kcranswer.AnswerBuffer // the answer so far
	cancel     func()                  // ends the run at the upstream
	readers    int                     // callers that receive the answer now
	finishedAt kcrclock.Time
	finished   bool
}

// runTable holds the runs by call.
type runTable struct {
	clock kcrclock.Clock

	mu         sync.Mutex
	lastNumber uint64 // number of the newest run
	byCall     map[kcrid.CallID]*callRun
}

// newRunTable returns an empty table.
func newRunTable(clock kcrclock.Clock) *runTable {
	return &runTable{clock: clock, byCall: map[kcrid.CallID]*callRun{}}
}

// join returns the run of a call and counts a reader. Created reports that the run
// is new and that the caller must start it. If resumeNumber is not 0, only the run
// of that number is joined: the result is nil if it no longer exists.
func (t *runTable) join(call kcrid.CallID, content kcrid.ContentHash, resumeNumber uint64, cancel func()) (run *callRun, created bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run, ok := t.byCall[call]
	if resumeNumber != 0 && (!ok || run.number != resumeNumber) {
		return nil, false
	}
	if !ok {
		t.lastNumber++
		run = &callRun{number: t.lastNumber, call: call, content: content, answer: kcranswer.NewAnswerBuffer(), cancel: cancel}
		t.byCall[call] = run
	}
	run.readers++
	return run, !ok
}

// removeReader removes a reader. Cancelled means that the caller itself has left,
// not only its connection: a run without other readers is then cancelled.
func (t *runTable) removeReader(run *callRun, cancelled bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.readers--
	if cancelled && run.readers == 0 && !run.finished {
		run.cancel()
	}
}

// finish ends a run. Only a complete answer is kept for later retries.
func (t *runTable) finish(run *callRun, complete bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	run.finished, run.finishedAt = true, t.clock.Now()
	if !complete && t.byCall[run.call] == run {
		delete(t.byCall, run.call)
	}
}

// expire deletes finished runs without readers that are older than runRetention,
// or of any age while the table holds more than maxKeptRuns.
func (t *runTable) expire(now kcrclock.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for call, run := range t.byCall {
		expired := now.Sub(run.finishedAt) > runRetention || len(t.byCall) > maxKeptRuns
		if run.finished && run.readers == 0 && expired {
			delete(t.byCall, call)
		}
	}
}
