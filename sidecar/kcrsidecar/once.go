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

// This file runs non-idempotent calls. A call is claimed on the log of its service
// before it is sent to the upstream, and it is never sent twice. A refusal says that
// the call did not run only if the call is barred on the log, so that no sidecar will
// run it, or if nobody else can know its key, since the router generated it.

const (
	// claimTimeout bounds the wait until the log has confirmed a claim or a bar.
	claimTimeout = 2 * kcrclock.Second
	// finishTimeout bounds the wait for a run of the call that has started before.
	finishTimeout      = 5 * kcrclock.Second
	intentPollInterval = 2 * time.Millisecond
	// maxRecordedBody is the largest answer that is recorded on the log, in bytes. A
	// larger one is recorded as lost.
	maxRecordedBody = 64 << 10
)

// serveOnce claims a call and runs it if its claim is the first. Otherwise it waits
// for the run that has the claim and answers from the record. A leaving sidecar
// refuses calls that it does not know.
func (s *Sidecar) serveOnce(ctx context.Context, req *kcrwire.Start, frames *frameWriter) error {
	call := kcrid.CallID{Team: kcrid.Team(req.GetTeam()), Key: kcrid.IdempotencyKey(req.GetKey())}
	digest := xxhash.Sum64(append([]byte(req.GetMethod()+" "+req.GetPath()+"\n"), req.GetBody()...))
	if current, _ := s.intents.Progress(call); current == kcrintent.Unresolved && s.config.Rules.RefusesNewWork(s.leaving()) {
		return &kcrerror.Refusal{Code: kcrerror.Leaving, Text: leavingText, RetryAfterSeconds: 1}
	}
	ticket, err := s.admission.acquire(ctx, req.GetRank(), kcrid.Team(req.GetTeam()), false)
	if err != nil {
		return notRunRefusal(err)
	}
	defer s.admission.release(ticket)
	s.intents.Claim(call, kcrid.Offset(req.GetSeen()), digest)
	progress, record := s.awaitProgress(ctx, call, claimTimeout, isUnclaimed)
	s.decisions.Add(req.GetId(), "intent", "team", req.GetTeam(), "key", req.GetKey(), "progress", progress.String())
	if progress == kcrintent.OwnClaim && s.intents.TryStart(call) {
		return s.runOnce(req, call, frames)
	}
	if isUnfinished(progress) {
		progress, record = s.awaitProgress(ctx, call, finishTimeout, isUnfinished)
	}
	return s.answerWithoutRunning(req, call, digest, progress, record, frames)
}

// isUnclaimed reports that the log has not yet decided who may run the call.
func isUnclaimed(p kcrintent.Progress) bool { return p == kcrintent.Unresolved }

// isUnfinished reports that the call is claimed and its outcome is not recorded.
func isUnfinished(p kcrintent.Progress) bool {
	return p == kcrintent.OwnClaim || p == kcrintent.OtherClaim
}

// awaitProgress waits while pending holds for the progress of a call, at most until
// the timeout, and returns the progress and the record of the call.
func (s *Sidecar) awaitProgress(ctx context.Context, call kcrid.CallID, timeout kcrclock.Duration, pending func(kcrintent.Progress) bool) (progress kcrintent.Progress, record kcrintent.CallState) {
	start := s.clock.Now()
	s.intentFollower.Wake()
	for {
		progress, record = s.intents.Progress(call)
		if !pending(progress) || ctx.Err() != nil || s.clock.Now().Sub(start) > timeout {
			return progress, record
		}
		time.Sleep(intentPollInterval)
	}
}

// answerWithoutRunning answers a call that this request does not run.
func (s *Sidecar) answerWithoutRunning(req *kcrwire.Start, call kcrid.CallID, digest uint64, progress kcrintent.Progress, record kcrintent.CallState, frames *frameWriter) error {
	switch progress {
	case kcrintent.Refused:
		return barredRefusal()
	case kcrintent.Forgotten:
		return &kcrerror.Refusal{Code: kcrerror.OutcomeUnknown, Text: "the request is too old to be known", MayHaveRun: true}
	case kcrintent.Finished:
		return s.replayRecorded(digest, record, frames)
	case kcrintent.Unresolved:
		return s.withdrawClaim(req, call)
	default:
		return &kcrerror.Refusal{Code: kcrerror.OutcomeUnknown, Text: "the request was started before; ask again with the same key", MayHaveRun: true, RetryAfterSeconds: 2}
	}
}

// barredRefusal refuses a call that is barred on the log: it will never run.
func barredRefusal() error {
	return &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: "the request did not run and its key is closed; use a new key"}
}

// withdrawClaim refuses a call whose claim the log did not confirm in time. The claim
// is withdrawn, so this sidecar will not run the call. If the router generated the
// key, nobody else can know it, and the call never runs.
func (s *Sidecar) withdrawClaim(req *kcrwire.Start, call kcrid.CallID) error {
	withdrawn := s.intents.Abandon(call)
	s.intents.Bar(call)
	if withdrawn && req.GetMade() {
		return &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: "the request could not be recorded and did not run", RetryAfterSeconds: 5}
	}
	return &kcrerror.Refusal{Code: kcrerror.OutcomeUnknown, Text: "the request could not be recorded; ask again with the same key", MayHaveRun: true, RetryAfterSeconds: 5}
}

// replayRecorded answers with the recorded answer of a call. The digest must show
// that the request is the same.
func (s *Sidecar) replayRecorded(digest uint64, record kcrintent.CallState, frames *frameWriter) error {
	if record.Digest != digest {
		return &kcrerror.Refusal{Code: kcrerror.KeyReused, Text: "the key belongs to another request", MayHaveRun: true}
	}
	if record.AnswerLost {
		return &kcrerror.Refusal{Code: kcrerror.AlreadyRun, Text: "the request was sent once and its answer is lost", MayHaveRun: true}
	}
	if err := frames.head(record.Status, record.ContentType, 0, s.currentLoad()); err != nil {
		return err
	}
	if err := frames.data(record.Body); err != nil {
		return err
	}
	return frames.end(0)
}

// runOnce sends a call to the upstream. The outcome is recorded on the log even if
// the caller has left.
func (s *Sidecar) runOnce(req *kcrwire.Start, call kcrid.CallID, frames *frameWriter) error {
	var body []byte
	var status int
	var contentType string
	err := s.upstream.send(newUpstreamRequest(req), answerHandler{
		head:  func(answerStatus int, answerType string) { status, contentType = answerStatus, answerType },
		data:  func(data []byte) error { body = append(body, data...); return nil },
		keeps: true,
	})
	if errors.Is(err, errNotSent) {
		return s.barNotSent(call)
	}
	lost := err != nil || len(body) > maxRecordedBody
	if lost {
		s.intents.Finish(call, status, contentType, nil, true)
	} else {
		s.intents.Finish(call, status, contentType, body, false)
	}
	s.intentFollower.Wake()
	if err != nil {
		return &kcrerror.Refusal{Code: kcrerror.OutcomeUnknown, Text: "the upstream got the request and its answer is lost", MayHaveRun: true}
	}
	if err := frames.head(status, contentType, 0, s.currentLoad()); err != nil {
		return nil
	}
	if err := frames.data(body); err != nil {
		return nil
	}
	return frames.end(0)
}

// barNotSent bars a call that provably did not reach the upstream, and refuses it as
// not run if the log confirms the bar in time.
func (s *Sidecar) barNotSent(call kcrid.CallID) error {
	s.intents.UndoStart(call)
	s.intents.Bar(call)
	progress, _ := s.awaitProgress(context.Background(), call, claimTimeout, isUnfinished)
	if progress == kcrintent.Refused {
		return barredRefusal()
	}
	return &kcrerror.Refusal{Code: kcrerror.OutcomeUnknown, Text: unreachableText, MayHaveRun: true, RetryAfterSeconds: 2}
}

// answerBar bars a call that a router has given up, so that no sidecar will run it.
// The reply tells whether the bar took effect.
func (s *Sidecar) answerBar(ctx context.Context, req *kcrwire.Bar) (*kcrwire.Reply, error) {
	if s.intents == nil {
		return nil, errors.New("bar: expected a service with non-idempotent calls")
	}
	call := kcrid.CallID{Team: kcrid.Team(req.GetTeam()), Key: kcrid.IdempotencyKey(req.GetKey())}
	s.intents.Bar(call)
	progress, _ := s.awaitProgress(ctx, call, claimTimeout, isUnclaimed)
	if isUnfinished(progress) {
		progress, _ = s.awaitProgress(ctx, call, claimTimeout, isUnfinished)
	}
	code := "unknown"
	if progress == kcrintent.Refused {
		code = "barred"
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Barred{Barred: &kcrwire.Barred{Code: code}}}, nil
}
