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

// This file answers the calls of routers and of other sidecars.

func (s *Sidecar) serve(ctx context.Context, req *kcrwire.Request, st *kcrlink.Stream) {
	if start := req.GetStart(); start != nil {
		s.start(ctx, start, st)
		return
	}
	reply, err := s.answer(ctx, req)
	if err != nil {
		reply = &kcrwire.Reply{Error: err.Error()}
	}
	if err := st.Send(reply); err != nil {
		s.config.Logger.Debug("reply not sent", "err", err)
	}
}

func (s *Sidecar) answer(ctx context.Context, req *kcrwire.Request) (*kcrwire.Reply, error) {
	switch k := req.GetKind().(type) {
	case *kcrwire.Request_Reserve:
		return s.answerReserve(ctx, k.Reserve)
	case *kcrwire.Request_Settle:
		return s.answerSettle(k.Settle)
	case *kcrwire.Request_Collect:
		return s.answerCollect(k.Collect), nil
	case *kcrwire.Request_Load:
		return &kcrwire.Reply{Kind: &kcrwire.Reply_Loaded{Loaded: s.load()}}, nil
	case *kcrwire.Request_Lists:
		return s.lists.Listed(k.Lists)
	case *kcrwire.Request_Bar:
		return s.answerBar(ctx, k.Bar)
	default:
		return nil, errors.New("expected a known request")
	}
}

func (s *Sidecar) answerReserve(ctx context.Context, r *kcrwire.Reserve) (*kcrwire.Reply, error) {
	if r.GetKey() == "" || r.GetPlan() == "" || r.GetServer() == "" || r.GetWorst() <= 0 || r.GetWorst() > kcrlist.MaxTokens {
		return nil, errors.New("reserve: expected a key, a plan, a server and a positive amount")
	}
	ans, holder := s.homes.reserve(ctx, kcrbudget.Ask{
		Call: kcrid.Call{Team: kcrid.Team(r.GetTeam()), Key: kcrid.Key(r.GetKey())},
		Plan: kcrid.Plan(r.GetPlan()), Server: kcrid.Incarnation(r.GetServer()), Addr: r.GetAddr(),
		Worst: kcrid.Tokens(r.GetWorst()), Rerun: r.GetRerun(),
	})
	out := &kcrwire.Reserved{Code: ans.Code.String(), Holder: string(holder), Id: ans.ID}
	if ans.Code == kcrbudget.Running {
		out.Server, out.Addr = string(ans.Server), ans.Addr
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Reserved{Reserved: out}}, nil
}

func (s *Sidecar) answerSettle(r *kcrwire.Settle) (*kcrwire.Reply, error) {
	report := kcrbudget.Report{Held: r.GetHeld(), Floor: r.GetFloor()}
	for _, l := range r.GetLines() {
		report.Lines = append(report.Lines, kcrbudget.Line{
			ID: l.GetId(), Call: kcrid.Call{Team: kcrid.Team(l.GetTeam()), Key: kcrid.Key(l.GetKey())},
			Plan: kcrid.Plan(l.GetPlan()), Tokens: kcrid.Tokens(l.GetTokens()), State: kcrbudget.State(l.GetState()),
		})
	}
	out, ok := s.homes.settle(kcrid.Incarnation(r.GetHolder()), kcrid.Incarnation(r.GetServer()), report)
	if !ok {
		return nil, errors.New("settle: no such holder here")
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Settled{Settled: out}}, nil
}

func (s *Sidecar) answerCollect(r *kcrwire.Collect) *kcrwire.Reply {
	ev := s.meter.Fence(kcrid.Incarnation(r.GetHolder()))
	out := &kcrwire.Evidence{Server: string(s.self), Running: int64(ev.Running)}
	for _, u := range ev.Used {
		out.Uses = append(out.Uses, &kcrwire.Use{Plan: string(u.Plan), Tokens: int64(u.Tokens)})
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Evidence{Evidence: out}}
}

// load describes the upstream at this moment.
func (s *Sidecar) load() *kcrwire.Loaded {
	runs, limit, queue := s.admission.limiter.Load()
	out := &kcrwire.Loaded{
		Server: string(s.self), Inflight: int64(runs), Limit: int64(limit), Queue: int64(queue),
		Leaving: s.leaving(), Ready: true, Version: uint64(s.state.At()),
	}
	if s.desk != nil {
		out.Seen = uint64(s.desk.At())
	}
	return out
}

// start runs a request and sends its answer in frames.
func (s *Sidecar) start(ctx context.Context, r *kcrwire.Start, st *kcrlink.Stream) {
	s.active.Add(1)
	defer s.active.Done()
	out := &frames{st: st, attempt: r.GetAttempt()}
	if err := checkStart(r); err != nil {
		out.refuse(err, s.load())
		return
	}
	var err error
	switch {
	case s.service.Kind == kcrsettings.Engine:
		err = s.serveGeneration(ctx, r, out)
	case r.GetOnce():
		err = s.once(ctx, r, out)
	default:
		err = s.serveRepeatable(ctx, r, out)
	}
	if err != nil {
		out.refuse(err, s.load())
		s.journal.Add(r.GetId(), "refused", "err", err.Error())
	}
}

func checkStart(r *kcrwire.Start) error {
	if r.GetTeam() == "" || r.GetKey() == "" || r.GetMethod() == "" || r.GetPath() == "" || r.GetPath()[0] != '/' {
		return &kcrerror.Refusal{Code: kcrerror.BadRequest, Text: "expected a team, a key, a method and a path"}
	}
	return nil
}

// frames sends the parts of an answer in order.
type frames struct {
	st      *kcrlink.Stream
	attempt uint32
	seq     uint64
	bytes   uint64
}

func (f *frames) send(frame *kcrwire.Frame) error {
	frame.Attempt, frame.Seq = f.attempt, f.seq
	f.seq++
	return f.st.Send(frame)
}

func (f *frames) head(status int, kind string, run uint64, load *kcrwire.Loaded) error {
	return f.send(&kcrwire.Frame{Kind: &kcrwire.Frame_Head{Head: &kcrwire.Head{
		Status: int32(status), Type: kind, Server: load.GetServer(), Load: load, Run: run,
	}}})
}

func (f *frames) data(data []byte) error {
	f.bytes += uint64(len(data))
	return f.send(&kcrwire.Frame{Kind: &kcrwire.Frame_Data{Data: data}})
}

func (f *frames) end(tokens kcrid.Tokens) error {
	return f.send(&kcrwire.Frame{Kind: &kcrwire.Frame_End{End: &kcrwire.End{Bytes: f.bytes, Tokens: int64(tokens)}}})
}

// refuse ends the answer with an error. An error that is no refusal says
// nothing about whether the request ran.
func (f *frames) refuse(err error, load *kcrwire.Loaded) {
	var r *kcrerror.Refusal
	if !errors.As(err, &r) {
		r = &kcrerror.Refusal{Code: kcrerror.Unconfirmed, Text: err.Error(), Ran: true}
	}
	_ = f.send(&kcrwire.Frame{Kind: &kcrwire.Frame_Refusal{Refusal: &kcrwire.Refusal{
		Code: string(r.Code), Text: r.Text, Ran: r.Ran, After: r.After, Server: r.Server, Load: load,
	}}})
}
