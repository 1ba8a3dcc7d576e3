package kcrsidecar

import (
	"context"

	"kingcuprun.example/kernel/kcranswer"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrwire"
)

// This file serves generation calls: it starts or joins the run of a call and
// streams its answer to the router. A call has at most one run here at a time, and
// a run has any number of readers.

// Texts of refusals that are given in several places.
const (
	leavingText     = "the upstream is leaving"
	unreachableText = "the upstream does not answer"
)

// serveGeneration joins the run of a call, or starts one, and streams its answer.
// The run has a context of its own, since it outlives the connection.
func (s *Sidecar) serveGeneration(ctx context.Context, req *kcrwire.Start, frames *frameWriter) error {
	call := kcrid.CallID{Team: kcrid.Team(req.GetTeam()), Key: kcrid.IdempotencyKey(req.GetKey())}
	content := kcrid.ContentHash(req.GetContent())
	runCtx, cancel := context.WithCancel(context.Background())
	run, created := s.runs.join(call, content, req.GetRun(), cancel)
	if !created {
		cancel()
	}
	switch {
	case run == nil:
		return &kcrerror.Refusal{Code: kcrerror.AnswerBroken, Text: "the run to resume is gone", MayHaveRun: true}
	case run.content != content:
		s.runs.removeReader(run, false)
		return &kcrerror.Refusal{Code: kcrerror.KeyReused, Text: "the key belongs to another request"}
	case created:
		s.startRun(runCtx, cancel, req, run)
	default:
		s.decisions.Add(req.GetId(), "rejoined", "team", req.GetTeam(), "key", req.GetKey())
	}
	return s.streamAnswer(ctx, &answerReader{run: run, frames: frames})
}

// startRun starts a run in the background, unless it must not start here.
func (s *Sidecar) startRun(ctx context.Context, cancel func(), req *kcrwire.Start, run *callRun) {
	if err := s.checkStartAllowed(req, run); err != nil {
		cancel()
		run.answer.End(0, err)
		s.runs.finish(run, false)
		return
	}
	s.active.Add(1)
	s.background.Go(func() {
		defer s.active.Done()
		defer cancel()
		s.executeRun(ctx, req, run)
	})
}

// checkStartAllowed returns the refusal of a run that must not start here: the
// upstream is leaving, the content is banned, or the request has no token bound.
func (s *Sidecar) checkStartAllowed(req *kcrwire.Start, run *callRun) error {
	if s.config.Rules.RefusesNewWork(s.leaving()) {
		return &kcrerror.Refusal{Code: kcrerror.Leaving, Text: leavingText, RetryAfterSeconds: 1}
	}
	if _, banned := s.configState.SuspectStatus(run.content); s.config.Rules.RefusesBannedContent(banned) {
		return &kcrerror.Refusal{Code: kcrerror.CrashesUpstreams, Text: "requests of this content crash their upstream"}
	}
	if req.GetWorst() <= 0 {
		return &kcrerror.Refusal{Code: kcrerror.BadRequest, Text: "expected a positive token bound"}
	}
	return nil
}

// answerReader sends the answer of a run to one caller and tracks what was sent.
type answerReader struct {
	run      *callRun
	frames   *frameWriter
	nextPart int // index of the first part that was not sent
	headSent bool
}

// streamAnswer sends the answer to a reader until it ends or the reader leaves.
func (s *Sidecar) streamAnswer(ctx context.Context, reader *answerReader) error {
	callerGone := s.watchCaller(reader.frames)
	for {
		view := reader.run.answer.ViewFrom(reader.nextPart)
		if err := s.sendNewParts(reader, view); err != nil {
			s.runs.removeReader(reader.run, false)
			return nil
		}
		if len(view.Parts) > 0 {
			continue
		}
		if view.Ended {
			s.runs.removeReader(reader.run, false)
			return reader.sendEnd(view)
		}
		select {
		case <-view.Changed:
		case cancelled := <-callerGone:
			s.runs.removeReader(reader.run, cancelled)
			return nil
		case <-ctx.Done():
			s.runs.removeReader(reader.run, false)
			return ctx.Err()
		}
	}
}

// sendNewParts sends the head and the parts that the reader does not have yet.
func (s *Sidecar) sendNewParts(reader *answerReader, view kcranswer.View) error {
	if view.Status != 0 && !reader.headSent {
		reader.headSent = true
		if err := reader.frames.head(view.Status, view.ContentType, reader.run.number, s.currentLoad()); err != nil {
			return err
		}
	}
	for _, part := range view.Parts {
		if err := reader.frames.data(part); err != nil {
			return err
		}
		reader.nextPart++
	}
	return nil
}

// sendEnd sends the end of the answer, or returns the error that ended the run.
func (r *answerReader) sendEnd(view kcranswer.View) error {
	if view.Err != nil {
		return view.Err
	}
	return r.frames.end(view.Tokens)
}

// watchCaller returns a channel that receives true when the router reports that
// the caller has left, and false when the connection breaks.
func (s *Sidecar) watchCaller(frames *frameWriter) <-chan bool {
	callerGone := make(chan bool, 1)
	s.background.Go(func() {
		var req kcrwire.Request
		err := frames.stream.Recv(&req)
		callerGone <- err == nil && req.GetCancel() != nil
	})
	return callerGone
}
