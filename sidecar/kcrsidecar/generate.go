package kcrsidecar

import (
	"context"

	"kingcuprun.example/kernel/kcranswer"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrwire"
)

// This file answers generations. A call has one run here at a time, and any
// number of readers.

// Texts of refusals.
const (
	leavingText = "the upstream is leaving"
	silentText  = "the upstream does not answer"
)

// generate joins the run of a call, or starts it, and sends its answer.
func (s *Sidecar) generate(ctx context.Context, r *kcrwire.Start, out *frames) error {
	call := kcrid.Call{Team: kcrid.Team(r.GetTeam()), Key: kcrid.Key(r.GetKey())}
	content := kcrid.Content(r.GetContent())
	runCtx, cancel := context.WithCancel(context.Background())
	w, fresh := s.tapes.join(call, content, r.GetRun(), cancel)
	if !fresh {
		cancel()
	}
	switch {
	case w == nil:
		return &kcrerror.Refusal{Code: kcrerror.Broken, Text: "the run to resume is gone", Ran: true}
	case w.content != content:
		s.tapes.leave(w, false)
		return &kcrerror.Refusal{Code: kcrerror.KeyReused, Text: "the key belongs to another request"}
	case fresh:
		s.launch(runCtx, cancel, r, w)
	default:
		s.journal.Add(r.GetId(), "rejoined", "team", r.GetTeam(), "key", r.GetKey())
	}
	return s.follow(ctx, &reader{w: w, out: out})
}

// launch starts the run of a call, unless it must not start here.
func (s *Sidecar) launch(ctx context.Context, cancel func(), r *kcrwire.Start, w *work) {
	if err := s.admit(r, w); err != nil {
		cancel()
		w.tape.End(0, err)
		s.tapes.finish(w, false)
		return
	}
	s.active.Add(1)
	s.wait.Go(func() {
		defer s.active.Done()
		defer cancel()
		s.run(ctx, r, w)
	})
}

// admit refuses what must not start here.
func (s *Sidecar) admit(r *kcrwire.Start, w *work) error {
	if s.config.Rules.Refuses(s.leaving()) {
		return &kcrerror.Refusal{Code: kcrerror.Leaving, Text: leavingText, After: 1}
	}
	if _, banned := s.state.Suspected(w.content); s.config.Rules.Bans(banned) {
		return &kcrerror.Refusal{Code: kcrerror.Harmful, Text: "requests of this content crash their upstream"}
	}
	if r.GetWorst() <= 0 {
		return &kcrerror.Refusal{Code: kcrerror.BadRequest, Text: "expected a positive token bound"}
	}
	return nil
}

// reader is one reader of a run, and how far it has got.
type reader struct {
	w      *work
	out    *frames
	part   int
	headed bool
}

// follow sends the tape to a reader until its end, or until the reader leaves.
func (s *Sidecar) follow(ctx context.Context, rd *reader) error {
	gone := s.watch(rd.out)
	for {
		v := rd.w.tape.From(rd.part)
		if err := s.forward(rd, v); err != nil {
			s.tapes.leave(rd.w, false)
			return nil
		}
		if len(v.Parts) > 0 {
			continue
		}
		if v.Ended {
			s.tapes.leave(rd.w, false)
			return rd.finish(v)
		}
		select {
		case <-v.Wake:
		case left := <-gone:
			s.tapes.leave(rd.w, left)
			return nil
		case <-ctx.Done():
			s.tapes.leave(rd.w, false)
			return ctx.Err()
		}
	}
}

// forward sends what the reader does not have yet.
func (s *Sidecar) forward(rd *reader, v kcranswer.View) error {
	if v.Status != 0 && !rd.headed {
		rd.headed = true
		if err := rd.out.head(v.Status, v.Kind, rd.w.number, s.load()); err != nil {
			return err
		}
	}
	for _, p := range v.Parts {
		if err := rd.out.data(p); err != nil {
			return err
		}
		rd.part++
	}
	return nil
}

func (rd *reader) finish(v kcranswer.View) error {
	if v.Err != nil {
		return v.Err
	}
	return rd.out.end(v.Tokens)
}

// watch tells when the reader sends a cancel (true) or is cut off (false).
func (s *Sidecar) watch(out *frames) <-chan bool {
	gone := make(chan bool, 1)
	s.wait.Go(func() {
		var req kcrwire.Request
		err := out.st.Recv(&req)
		gone <- err == nil && req.GetCancel() != nil
	})
	return gone
}
