package kcrsidecar

import (
	"context"
	"errors"
	"time"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrwire"
)

// This file takes one run from the limiter to the settlement: a place at the
// upstream, a reservation of the worst case, the upstream itself, and what it cost.

// keptTime bounds how long the end of an answer waits for its home.
const keptTime = 500 * time.Millisecond

// settleTries is how often a run waits for the settlement of the one before.
const settleTries = 5

// run takes a call from the limiter to the settlement.
func (s *Sidecar) run(ctx context.Context, r *kcrwire.Start, w *callRun) {
	whole := false
	defer func() { s.runs.finish(w, whole) }()
	suspect, _ := s.state.Suspected(w.content)
	apart := suspect || r.GetApart() || s.crashes.suspected(w.content)
	t, err := s.admission.acquire(ctx, r.GetRank(), apart)
	if err != nil {
		s.finish(r, w, "refused", 0, notRun(err))
		return
	}
	defer s.admission.release(t)
	done, err := s.note(r, w)
	if err != nil {
		s.finish(r, w, "refused", 0, err)
		return
	}
	defer func() { done(ending(whole)) }()
	g, err := s.fund(ctx, r, w)
	if err != nil {
		s.finish(r, w, "refused", 0, err)
		return
	}
	whole = s.engine(ctx, r, w, g, apart)
}

func ending(whole bool) kcrbudget.State {
	if whole {
		return kcrbudget.Whole
	}
	return kcrbudget.Void
}

// note makes sure that a copy of the call which asks this sidecar as a home
// finds the run.
func (s *Sidecar) note(r *kcrwire.Start, w *callRun) (done func(kcrbudget.State), err error) {
	plan := kcrid.Plan(r.GetPlan())
	if bucket := kcrid.BucketOf(plan, s.config.Settings.Buckets); s.alone(bucket) || !s.first(bucket) {
		return func(kcrbudget.State) {}, nil
	}
	ans, done := s.homes.note(kcrbudget.Ask{Call: w.call, Plan: plan, Server: s.self, Addr: s.config.Self.Listen})
	if ans.Code == kcrbudget.Running && ans.Server != s.self {
		return nil, budgetRefusal(ans)
	}
	return done, nil
}

// notRun makes a refusal of an error that came before the upstream.
func notRun(err error) error {
	var r *kcrerror.Refusal
	if errors.As(err, &r) {
		return err
	}
	return &kcrerror.Refusal{Code: kcrerror.Overloaded, Text: "the caller left before the start", After: 1}
}

func (s *Sidecar) finish(r *kcrwire.Start, w *callRun, outcome string, tokens kcrid.Tokens, err error) {
	w.tape.End(tokens, err)
	s.metrics.runs.WithLabelValues(outcome).Inc()
	s.journal.Add(r.GetId(), "run ended", "outcome", outcome, "plan", r.GetPlan(), "tokens", tokens)
}

// fund gets a reservation of the worst case.
func (s *Sidecar) fund(ctx context.Context, r *kcrwire.Start, w *callRun) (g grant, err error) {
	ask := kcrbudget.Ask{
		Call: w.call, Plan: kcrid.Plan(r.GetPlan()), Server: s.self, Addr: s.config.Self.Listen,
		Worst: kcrid.Tokens(r.GetWorst()),
	}
	g, ans := s.reserve(ctx, ask)
	ask.Rerun = ans.Code == kcrbudget.Running && ans.Server == s.self
	for i := 0; i < settleTries && (s.settler.owes(g) || ask.Rerun && ans.Code == kcrbudget.Running); i++ {
		time.Sleep(settleTick)
		g, ans = s.reserve(ctx, ask)
	}
	s.journal.Add(r.GetId(), "reservation", "plan", r.GetPlan(), "worst", r.GetWorst(), "code", ans.Code.String(), "holder", g.holder)
	if err := budgetRefusal(ans); err != nil {
		return g, err
	}
	s.settler.hold(g)
	if err := s.meter.Begin(g.holder, g.id, ask.Plan, ask.Worst); err != nil {
		s.settler.drop(g)
		return g, &kcrerror.Refusal{Code: kcrerror.Unknowable, Text: err.Error(), After: 1}
	}
	return g, nil
}

func budgetRefusal(ans kcrbudget.Answer) error {
	switch ans.Code {
	case kcrbudget.Granted:
		return nil
	case kcrbudget.Running:
		return &kcrerror.Refusal{Code: kcrerror.Elsewhere, Text: "the request has run at another upstream", Ran: true, Server: ans.Addr}
	case kcrbudget.UsedUp:
		return &kcrerror.Refusal{Code: kcrerror.UsedUp, Text: "the prepaid budget does not cover the request"}
	default:
		return &kcrerror.Refusal{Code: kcrerror.Unknowable, Text: "the budget cannot be known now", After: 2}
	}
}

// engine passes the request to the upstream and meters what comes back.
func (s *Sidecar) engine(ctx context.Context, r *kcrwire.Start, w *callRun, g grant, apart bool) (whole bool) {
	s.crashes.begin(w.content)
	defer s.crashes.end(w.content)
	p := &pass{s: s, ctx: ctx, w: w, g: g, count: tokenCounter{stream: r.GetStream()}, began: s.clock.Now()}
	err := s.upstream.send(upstreamRequest{
		method: r.GetMethod(), path: r.GetPath(), contentType: r.GetType(), idempotencyKey: r.GetKey(), body: r.GetBody(), rank: r.GetRank(),
	}, answerHandler{head: p.head, data: p.data})
	tokens, complete := p.count.finish()
	tokens = max(tokens, p.used)
	if err := s.meter.Use(g.holder, g.id, tokens-p.used); err == nil {
		p.used = tokens
	}
	served := s.meter.End(g.holder, g.id)
	s.metrics.tokens.Add(float64(served))
	state, outcome, refusal := s.judge(err, p, complete)
	if state == kcrbudget.Broken && outcome == "crashed" {
		s.crashes.reportCrash(w.content, apart)
		s.lists.Follower.Kick()
	}
	if state == kcrbudget.Whole && apart {
		s.crashes.reportCleared(w.content)
	}
	kept := s.settler.put(g, kcrbudget.Line{Call: w.call, Plan: kcrid.Plan(r.GetPlan()), Tokens: served, State: state})
	if state == kcrbudget.Whole {
		s.awaitKept(r, kept)
	}
	s.finish(r, w, outcome, served, refusal)
	return state == kcrbudget.Whole
}

// awaitKept waits until the home knows what an answer cost, before the caller
// gets its end: then it is billed although this sidecar dies. Where the home
// does not answer, the line has one keeper only.
func (s *Sidecar) awaitKept(r *kcrwire.Start, kept <-chan struct{}) {
	t := time.NewTimer(keptTime)
	defer t.Stop()
	select {
	case <-kept:
	case <-t.C:
		s.journal.Add(r.GetId(), "line not kept by the home", "plan", r.GetPlan())
	}
}

// judge says how a run ended.
func (s *Sidecar) judge(err error, p *pass, complete bool) (state kcrbudget.State, outcome string, refusal error) {
	switch {
	case errors.Is(err, errUnsent):
		return kcrbudget.Void, "unsent", &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: unreachableText, After: 1}
	case p.rejected:
		s.admission.limiter.Rejected(s.clock.Now())
		return kcrbudget.Void, "rejected", overloadedRefusal(kcrclock.Second)
	case p.failed != 0 && err == nil:
		return kcrbudget.Whole, "failed", nil
	case p.ctx.Err() != nil:
		return kcrbudget.Broken, "cancelled", &kcrerror.Refusal{Code: kcrerror.Broken, Text: "the caller left", Ran: true}
	case p.over:
		return kcrbudget.Broken, "over", &kcrerror.Refusal{Code: kcrerror.Broken, Text: "the upstream exceeded the bound of the request", Ran: true}
	case err != nil || !complete:
		return kcrbudget.Broken, "crashed", &kcrerror.Refusal{Code: kcrerror.Crashed, Text: "the upstream broke the answer off", Ran: true}
	default:
		return kcrbudget.Whole, "whole", nil
	}
}

// pass meters an answer on its way to the tape.
type pass struct {
	s        *Sidecar
	ctx      context.Context
	w        *callRun
	g        grant
	count    tokenCounter
	used     kcrid.Tokens
	began    kcrclock.Time
	last     kcrclock.Time
	rejected bool
	failed   int
	over     bool
}

func (p *pass) head(status int, kind string) {
	p.rejected = status == 429 || status == 503
	if p.rejected {
		return
	}
	if status >= 400 {
		p.failed = status
	}
	p.w.tape.Head(status, kind)
}

func (p *pass) data(data []byte) bool {
	if p.rejected {
		return true
	}
	if p.ctx.Err() != nil {
		return false
	}
	p.time()
	fresh := p.count.add(data)
	if fresh > 0 && p.s.meter.Use(p.g.holder, p.g.id, fresh) != nil {
		p.over = true
		return false
	}
	p.used += fresh
	p.w.tape.Add(data)
	return true
}

// time tells the limiter what the upstream shows.
func (p *pass) time() {
	now := p.s.clock.Now()
	if p.last == 0 {
		p.s.admission.limiter.First(now, now.Sub(p.began))
	} else {
		p.s.admission.limiter.Gap(now, now.Sub(p.last))
	}
	p.last = now
}
