package kcrsidecar

import (
	"context"
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrintent"
	"kingcuprun.example/link/kcrwire"
)

// This file runs non-idempotent calls. A call is claimed on the log before it
// goes to the upstream, and is never sent twice. A refusal says "not run" only
// once the call is barred, or where nobody else can know its key.

const (
	claimWait  = 2 * kcrclock.Second
	finishWait = 5 * kcrclock.Second
	intentPoll = 2 * time.Millisecond
	keptBody   = 64 << 10
)

func (s *Sidecar) once(ctx context.Context, r *kcrwire.Start, out *frames) error {
	call := kcrid.Call{Team: kcrid.Team(r.GetTeam()), Key: kcrid.Key(r.GetKey())}
	digest := xxhash.Sum64(append([]byte(r.GetMethod()+" "+r.GetPath()+"\n"), r.GetBody()...))
	if p, _ := s.desk.Ask(call); p == kcrintent.Waiting && s.config.Rules.Refuses(s.leaving()) {
		return &kcrerror.Refusal{Code: kcrerror.Leaving, Text: leavingText, After: 1}
	}
	t, err := s.admission.acquire(ctx, r.GetRank(), false)
	if err != nil {
		return notRunRefusal(err)
	}
	defer s.admission.release(t)
	s.desk.Claim(call, kcrid.Offset(r.GetSeen()), digest)
	progress, entry := s.await(ctx, call, claimWait, unclaimedYet)
	s.journal.Add(r.GetId(), "intent", "team", r.GetTeam(), "key", r.GetKey(), "progress", progress.String())
	if progress == kcrintent.Mine && s.desk.Run(call) {
		return s.runOnce(r, call, out)
	}
	if unfinished(progress) {
		progress, entry = s.await(ctx, call, finishWait, unfinished)
	}
	return s.report(r, call, digest, progress, entry, out)
}

func unclaimedYet(p kcrintent.Progress) bool { return p == kcrintent.Waiting }

func unfinished(p kcrintent.Progress) bool { return p == kcrintent.Mine || p == kcrintent.Elsewhere }

// await waits while a call is at a stage.
func (s *Sidecar) await(ctx context.Context, c kcrid.Call, limit kcrclock.Duration, stage func(kcrintent.Progress) bool) (p kcrintent.Progress, e kcrintent.Call) {
	start := s.clock.Now()
	s.intents.Kick()
	for {
		p, e = s.desk.Ask(c)
		if !stage(p) || ctx.Err() != nil || s.clock.Now().Sub(start) > limit {
			return p, e
		}
		time.Sleep(intentPoll)
	}
}

// report answers a call that this request does not run.
func (s *Sidecar) report(r *kcrwire.Start, call kcrid.Call, digest uint64, p kcrintent.Progress, e kcrintent.Call, out *frames) error {
	switch p {
	case kcrintent.Refused:
		return barred()
	case kcrintent.Expired:
		return &kcrerror.Refusal{Code: kcrerror.Unconfirmed, Text: "the request is too old to be known", Ran: true}
	case kcrintent.Finished:
		return s.kept(digest, e, out)
	case kcrintent.Waiting:
		return s.unclaimed(r, call)
	default:
		return &kcrerror.Refusal{Code: kcrerror.Unconfirmed, Text: "the request was started before; ask again with the same key", Ran: true, After: 2}
	}
}

func barred() error {
	return &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: "the request did not run and its key is closed; use a new key"}
}

// unclaimed answers where the log did not confirm the claim in time. The call
// is withdrawn here; if nobody else can know its key, it never runs.
func (s *Sidecar) unclaimed(r *kcrwire.Start, call kcrid.Call) error {
	gone := s.desk.Abandon(call)
	s.desk.Bar(call)
	if gone && r.GetMade() {
		return &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: "the request could not be recorded and did not run", After: 5}
	}
	return &kcrerror.Refusal{Code: kcrerror.Unconfirmed, Text: "the request could not be recorded; ask again with the same key", Ran: true, After: 5}
}

// kept answers from the book.
func (s *Sidecar) kept(digest uint64, e kcrintent.Call, out *frames) error {
	if e.Digest != digest {
		return &kcrerror.Refusal{Code: kcrerror.KeyReused, Text: "the key belongs to another request", Ran: true}
	}
	if e.Lost {
		return &kcrerror.Refusal{Code: kcrerror.AlreadyRun, Text: "the request was sent once and its answer is lost", Ran: true}
	}
	if err := out.head(e.Status, e.Type, 0, s.load()); err != nil {
		return err
	}
	if err := out.data(e.Body); err != nil {
		return err
	}
	return out.end(0)
}

// runOnce sends the call. What happens is recorded whether or not the caller
// still listens.
func (s *Sidecar) runOnce(r *kcrwire.Start, call kcrid.Call, out *frames) error {
	var body []byte
	var status int
	var kind string
	err := s.upstream.send(newUpstreamRequest(r), answerHandler{
		head: func(st int, k string) { status, kind = st, k },
		data: func(data []byte) bool { body = append(body, data...); return len(body) <= maxAnswerBytes },
	})
	if errors.Is(err, errUnsent) {
		return s.closeUnsent(call)
	}
	lost := err != nil || len(body) > keptBody
	if lost {
		s.desk.Finish(call, status, kind, nil, true)
	} else {
		s.desk.Finish(call, status, kind, body, false)
	}
	s.intents.Kick()
	if err != nil {
		return &kcrerror.Refusal{Code: kcrerror.Unconfirmed, Text: "the upstream got the request and its answer is lost", Ran: true}
	}
	if err := out.head(status, kind, 0, s.load()); err != nil {
		return nil
	}
	if err := out.data(body); err != nil {
		return nil
	}
	return out.end(0)
}

// closeUnsent bars a call that provably did not reach the upstream.
func (s *Sidecar) closeUnsent(call kcrid.Call) error {
	s.desk.Release(call)
	s.desk.Bar(call)
	p, _ := s.await(context.Background(), call, claimWait, unfinished)
	if p == kcrintent.Refused {
		return barred()
	}
	return &kcrerror.Refusal{Code: kcrerror.Unconfirmed, Text: unreachableText, Ran: true, After: 2}
}

// answerBar makes a call not runnable, for a router that gives it up.
func (s *Sidecar) answerBar(ctx context.Context, r *kcrwire.Bar) (*kcrwire.Reply, error) {
	if s.desk == nil {
		return nil, errors.New("bar: expected a service with non-idempotent calls")
	}
	call := kcrid.Call{Team: kcrid.Team(r.GetTeam()), Key: kcrid.Key(r.GetKey())}
	s.desk.Bar(call)
	p, _ := s.await(ctx, call, claimWait, unclaimedYet)
	if unfinished(p) {
		p, _ = s.await(ctx, call, claimWait, unfinished)
	}
	code := "unknown"
	if p == kcrintent.Refused {
		code = "barred"
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Barred{Barred: &kcrwire.Barred{Code: code}}}, nil
}
