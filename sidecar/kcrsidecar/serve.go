package kcrsidecar

import (
	"context"
	"errors"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrsettings"
	"kingcuprun.example/link/kcrwire"
)

// This file serves the calls of routers and of other sidecars: requests to run,
// which are answered in frames, and all others, which get one reply.

// serveCall serves one call of a peer.
func (s *Sidecar) serveCall(ctx context.Context, req *kcrwire.Request, stream *kcrlink.Stream) {
	if start := req.GetStart(); start != nil {
		s.serveStart(ctx, start, stream)
		return
	}
	reply, err := s.answerRequest(ctx, req)
	if err != nil {
		reply = &kcrwire.Reply{Error: err.Error()}
	}
	if err := stream.Send(reply); err != nil {
		s.config.Logger.Debug("reply not sent", "err", err)
	}
}

// answerRequest returns the reply to a request other than Start.
func (s *Sidecar) answerRequest(ctx context.Context, req *kcrwire.Request) (*kcrwire.Reply, error) {
	switch message := req.GetKind().(type) {
	case *kcrwire.Request_Reserve:
		return s.answerReserve(ctx, message.Reserve)
	case *kcrwire.Request_Settle:
		return s.answerSettle(message.Settle)
	case *kcrwire.Request_Collect:
		return s.answerCollect(message.Collect), nil
	case *kcrwire.Request_Load:
		return &kcrwire.Reply{Kind: &kcrwire.Reply_Loaded{Loaded: s.currentLoad()}}, nil
	case *kcrwire.Request_Lists:
		return s.configFollower.HandleLists(message.Lists)
	case *kcrwire.Request_Bar:
		return s.answerBar(ctx, message.Bar)
	default:
		return nil, errors.New("expected a known request")
	}
}

// answerReserve reserves tokens at the home of a plan in this process.
func (s *Sidecar) answerReserve(ctx context.Context, req *kcrwire.Reserve) (*kcrwire.Reply, error) {
	if req.GetKey() == "" || req.GetPlan() == "" || req.GetServer() == "" || req.GetWorst() <= 0 || req.GetWorst() > kcrlist.MaxTopUpTokens {
		return nil, errors.New("reserve: expected a key, a plan, a server and a positive amount")
	}
	result, holder := s.homes.reserve(ctx, kcrbudget.ReserveRequest{
		Call: kcrid.CallID{Team: kcrid.Team(req.GetTeam()), Key: kcrid.IdempotencyKey(req.GetKey())},
		Plan: kcrid.Plan(req.GetPlan()), Server: kcrid.Incarnation(req.GetServer()), Addr: req.GetAddr(),
		WorstCase: kcrid.Tokens(req.GetWorst()), AllowRerun: req.GetRerun(),
	})
	reserved := &kcrwire.Reserved{Code: result.Outcome.String(), Holder: string(holder), Id: result.ID}
	if result.Outcome == kcrbudget.Running {
		reserved.Server, reserved.Addr = string(result.Server), result.Addr
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Reserved{Reserved: reserved}}, nil
}

// answerSettle takes the report of another sidecar for a home in this process.
func (s *Sidecar) answerSettle(req *kcrwire.Settle) (*kcrwire.Reply, error) {
	report := kcrbudget.SettlementReport{Held: req.GetHeld(), BarredUpTo: req.GetFloor()}
	for _, line := range req.GetLines() {
		report.Settlements = append(report.Settlements, kcrbudget.Settlement{
			ID: line.GetId(), Call: kcrid.CallID{Team: kcrid.Team(line.GetTeam()), Key: kcrid.IdempotencyKey(line.GetKey())},
			Plan: kcrid.Plan(line.GetPlan()), Tokens: kcrid.Tokens(line.GetTokens()), Outcome: kcrbudget.RunOutcome(line.GetState()),
		})
	}
	settled, ok := s.homes.settle(kcrid.Incarnation(req.GetHolder()), kcrid.Incarnation(req.GetServer()), report)
	if !ok {
		return nil, errors.New("settle: no such holder here")
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Settled{Settled: settled}}, nil
}

// answerCollect refuses further runs under a holder and returns what was served
// under it, which its successors need to recover its grants.
func (s *Sidecar) answerCollect(req *kcrwire.Collect) *kcrwire.Reply {
	evidence := s.meter.Fence(kcrid.Incarnation(req.GetHolder()))
	message := &kcrwire.Evidence{Server: string(s.incarnation), Running: int64(evidence.Running)}
	for _, use := range evidence.Used {
		message.Uses = append(message.Uses, &kcrwire.Use{Plan: string(use.Plan), Tokens: int64(use.Tokens)})
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Evidence{Evidence: message}}
}

// currentLoad returns the current load and state of the upstream.
func (s *Sidecar) currentLoad() *kcrwire.Loaded {
	runs, limit, queued := s.admission.limiter.Load()
	loaded := &kcrwire.Loaded{
		Server: string(s.incarnation), Inflight: int64(runs), Limit: int64(limit), Queue: int64(queued),
		Leaving: s.leaving(), Ready: true, Version: uint64(s.configState.At()),
	}
	if s.intents != nil {
		loaded.Seen = uint64(s.intents.At())
	}
	return loaded
}

// serveStart runs a request and sends its answer in frames.
func (s *Sidecar) serveStart(ctx context.Context, req *kcrwire.Start, stream *kcrlink.Stream) {
	s.active.Add(1)
	defer s.active.Done()
	frames := &frameWriter{stream: stream, attempt: req.GetAttempt()}
	if err := validateStart(req); err != nil {
		frames.refuse(err, s.currentLoad())
		return
	}
	var err error
	switch {
	case s.service.Kind == kcrsettings.KindEngine:
		err = s.serveGeneration(ctx, req, frames)
	case req.GetOnce():
		err = s.serveOnce(ctx, req, frames)
	default:
		err = s.serveRepeatable(ctx, req, frames)
	}
	if err != nil {
		frames.refuse(err, s.currentLoad())
		s.decisions.Add(req.GetId(), "refused", "err", err.Error())
	}
}

// validateStart checks the fields that every request needs.
func validateStart(req *kcrwire.Start) error {
	if req.GetTeam() == "" || req.GetKey() == "" || req.GetMethod() == "" || req.GetPath() == "" || req.GetPath()[0] != '/' {
		return &kcrerror.Refusal{Code: kcrerror.BadRequest, Text: "expected a team, a key, a method and a path"}
	}
	return nil
}

// frameWriter sends the frames of one answer in order.
type frameWriter struct {
	stream    *kcrlink.Stream
	attempt   uint32
	seq       uint64 // sequence number of the next frame
	sentBytes uint64 // bytes of the body sent so far
}

// send numbers a frame and sends it.
func (f *frameWriter) send(frame *kcrwire.Frame) error {
	frame.Attempt, frame.Seq = f.attempt, f.seq
	f.seq++
	return f.stream.Send(frame)
}

// head opens the answer. Run is the number of the run, 0 if it cannot be resumed.
func (f *frameWriter) head(status int, contentType string, run uint64, load *kcrwire.Loaded) error {
	return f.send(&kcrwire.Frame{Kind: &kcrwire.Frame_Head{Head: &kcrwire.Head{
		Status: int32(status), Type: contentType, Server: load.GetServer(), Load: load, Run: run,
	}}})
}

// data sends a part of the body.
func (f *frameWriter) data(data []byte) error {
	f.sentBytes += uint64(len(data))
	return f.send(&kcrwire.Frame{Kind: &kcrwire.Frame_Data{Data: data}})
}

// end closes a complete answer.
func (f *frameWriter) end(tokens kcrid.Tokens) error {
	return f.send(&kcrwire.Frame{Kind: &kcrwire.Frame_End{End: &kcrwire.End{Bytes: f.sentBytes, Tokens: int64(tokens)}}})
}

// refuse ends the answer with an error. An error other than a refusal does not tell
// whether the request ran, so it is reported as unconfirmed.
func (f *frameWriter) refuse(err error, load *kcrwire.Loaded) {
	var refusal *kcrerror.Refusal
	if !errors.As(err, &refusal) {
		refusal = &kcrerror.Refusal{Code: kcrerror.OutcomeUnknown, Text: err.Error(), MayHaveRun: true}
	}
	_ = f.send(&kcrwire.Frame{Kind: &kcrwire.Frame_Refusal{Refusal: &kcrwire.Refusal{
		Code: string(refusal.Code), Text: refusal.Text, Ran: refusal.MayHaveRun, After: refusal.RetryAfterSeconds, Server: refusal.Server, Load: load,
	}}})
}
