package kcrsidecar

import (
	"context"
	"errors"

	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrwire"
)

// This file forwards idempotent calls to plain services. They are neither metered
// nor recorded on the log: a caller may repeat them.

// serveRepeatable forwards an idempotent call once the limiter admits it.
func (s *Sidecar) serveRepeatable(ctx context.Context, req *kcrwire.Start, frames *frameWriter) error {
	if s.config.Rules.RefusesNewWork(s.leaving()) {
		return &kcrerror.Refusal{Code: kcrerror.Leaving, Text: leavingText, RetryAfterSeconds: 1}
	}
	ticket, err := s.admission.acquire(ctx, req.GetRank(), kcrid.Team(req.GetTeam()), false)
	if err != nil {
		return notRunRefusal(err)
	}
	defer s.admission.release(ticket)
	return s.forwardPlain(req, frames)
}

// forwardPlain sends a call to the upstream and streams the answer to the router.
func (s *Sidecar) forwardPlain(req *kcrwire.Start, frames *frameWriter) (err error) {
	err = s.upstream.send(newUpstreamRequest(req), answerHandler{
		head: func(status int, kind string) { err = frames.head(status, kind, 0, s.currentLoad()) },
		data: frames.data,
	})
	switch {
	case errors.Is(err, errNotSent):
		return &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: unreachableText, RetryAfterSeconds: 1}
	case err != nil:
		s.decisions.Add(req.GetId(), "answer not whole", "err", err.Error())
		return &kcrerror.Refusal{Code: kcrerror.AnswerBroken, Text: brokenAnswerText(err), MayHaveRun: true}
	}
	return frames.end(0)
}

// newUpstreamRequest returns the request to the upstream for a Start message.
func newUpstreamRequest(req *kcrwire.Start) upstreamRequest {
	return upstreamRequest{
		method: req.GetMethod(), path: req.GetPath(), contentType: req.GetType(), idempotencyKey: req.GetKey(), body: req.GetBody(), priority: req.GetRank(),
	}
}
