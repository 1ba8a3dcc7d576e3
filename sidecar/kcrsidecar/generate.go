package kcrsidecar

import (
	"context"
	"errors"
	"time"

	"kingcuprun.example/kernel/kcranswer"
	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrwire"
)

// This file runs generations. A call has one run here at a time, and any
// number of readers. The order of a run: a place at the limiter, a reservation
// of the worst case, the upstream, the settlement.

// Texts of refusals.
const (
	leavingText = "the upstream is leaving"
	silentText  = "the upstream does not answer"
)

// keptTime bounds how long the end of an answer waits for its home.
const keptTime = 500 * time.Millisecond

// settleTries is how often a run waits for the settlement of the one before.
const settleTries = 5

// generate joins the run of a call, or starts it, and sends its answer.
func (s *Sidecar) generate(ctx context.Context, r *kcrwire.Start, out *frames) error {
	call := kcrid.Call{Team: kcrid.Team(r.GetTeam()), Key: kcrid.Key(r.GetKey())}
	content := kcrid.Content(r.GetContent())
	runCtx, cancel := context.WithCancel(context.Background())
	w, fresh := s.tapes.join(call, content, r.GetRun(), cancel)
	if w == nil {
		cancel()
		return &kcrerror.Refusal{Code: kcrerror.Broken, Text: "the run to resume is gone", Ran: true}
	}
	if w.content != content {
		cancel()
		s.tapes.leave(w, false)
		return &kcrerror.Refusal{Code: kcrerror.KeyReused, Text: "the key belongs to another request"}
	}
	if fresh {
		if err := s.admit(r, w); err != nil {
			cancel()
			s.tapes.leave(w, false)
			w.tape.End(0, err)
			s.tapes.finish(w, false)
			return err
		}
		s.active.Add(1)
		s.wait.Go(func() {
			defer s.active.Done()
			defer cancel()
			s.run(runCtx, r, w)
		})
	} else {
		cancel()
		s.journal.Add(r.GetId(), "rejoined", "team", r.GetTeam(), "key", r.GetKey())
	}
	return s.follow(ctx, w, out)
}

// admit refuses what must not start here.
func (s *Sidecar) admit(r *kcrwire.Start, w *work) error {
	if s.leaving() {
		return &kcrerror.Refusal{Code: kcrerror.Leaving, Text: leavingText, After: 1}
	}
	if _, banned := s.state.Suspected(w.content); banned {
		return &kcrerror.Refusal{Code: kcrerror.Harmful, Text: "requests of this content crash their upstream"}
	}
	if r.GetWorst() <= 0 {
		return &kcrerror.Refusal{Code: kcrerror.BadRequest, Text: "expected a positive token bound"}
	}
	return nil
}

// follow sends the tape to a reader until its end, or until the reader leaves.
func (s *Sidecar) follow(ctx context.Context, w *work, out *frames) error {
	gone := watch(out)
	part, headed := 0, false
	for {
		v := w.tape.From(part)
		if err := s.forward(w, v, &part, &headed, out); err != nil {
			s.tapes.leave(w, false)
			return nil
		}
		if v.Ended && len(v.Parts) == 0 {
			s.tapes.leave(w, false)
			return finishFrames(v, out)
		}
		if len(v.Parts) > 0 {
			continue
		}
		select {
		case <-v.Wake:
		case left := <-gone:
			s.tapes.leave(w, left)
			return nil
		case <-ctx.Done():
			s.tapes.leave(w, false)
			return ctx.Err()
		}
	}
}

func (s *Sidecar) forward(w *work, v kcranswer.View, part *int, headed *bool, out *frames) error {
	if v.Status != 0 && !*headed {
		*headed = true
		if err := out.head(v.Status, v.Kind, w.number, s.load()); err != nil {
			return err
		}
	}
	for _, p := range v.Parts {
		if err := out.data(p); err != nil {
			return err
		}
		*part++
	}
	return nil
}

func finishFrames(v kcranswer.View, out *frames) error {
	if v.Err != nil {
		return v.Err
	}
	return out.end(v.Tokens)
}

// watch tells when the reader sends a cancel (true) or is cut off (false).
func watch(out *frames) <-chan bool {
	gone := make(chan bool, 1)
	go func() {
		var req kcrwire.Request
		err := out.st.Recv(&req)
		gone <- err == nil && req.GetCancel() != nil
	}()
	return gone
}

// run takes a call from the limiter to the settlement.
func (s *Sidecar) run(ctx context.Context, r *kcrwire.Start, w *work) {
	whole := false
	defer func() { s.tapes.finish(w, whole) }()
	suspect, _ := s.state.Suspected(w.content)
	apart := suspect || r.GetApart() || s.crashes.suspected(w.content)
	t, err := s.gate.enter(ctx, r.GetRank(), apart)
	if err != nil {
		s.finish(r, w, "refused", 0, notRun(err))
		return
	}
	defer s.gate.leave(t)
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
func (s *Sidecar) note(r *kcrwire.Start, w *work) (done func(kcrbudget.State), err error) {
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

func (s *Sidecar) finish(r *kcrwire.Start, w *work, outcome string, tokens kcrid.Tokens, err error) {
	w.tape.End(tokens, err)
	s.metrics.runs.WithLabelValues(outcome).Inc()
	s.journal.Add(r.GetId(), "run ended", "outcome", outcome, "plan", r.GetPlan(), "tokens", tokens)
}

// fund gets a reservation of the worst case.
func (s *Sidecar) fund(ctx context.Context, r *kcrwire.Start, w *work) (g grant, err error) {
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
func (s *Sidecar) engine(ctx context.Context, r *kcrwire.Start, w *work, g grant, apart bool) (whole bool) {
	s.crashes.begin(w.content)
	defer s.crashes.end(w.content)
	p := &pass{s: s, ctx: ctx, w: w, g: g, count: counter{stream: r.GetStream()}, began: s.clock.Now()}
	err := s.upstream.send(request{
		method: r.GetMethod(), path: r.GetPath(), kind: r.GetType(), key: r.GetKey(), body: r.GetBody(), rank: r.GetRank(),
	}, sink{head: p.head, data: p.data})
	tokens, complete := p.count.finish()
	tokens = max(tokens, p.used)
	if err := s.meter.Use(g.holder, g.id, tokens-p.used); err == nil {
		p.used = tokens
	}
	served := s.meter.End(g.holder, g.id)
	s.metrics.tokens.Add(float64(served))
	state, outcome, refusal := s.judge(err, p, complete)
	if state == kcrbudget.Broken && outcome == "crashed" {
		s.crashes.crashed(w.content, apart)
		s.lists.Follower.Kick()
	}
	if state == kcrbudget.Whole && apart {
		s.crashes.cleared(w.content)
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
		return kcrbudget.Void, "unsent", &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: silentText, After: 1}
	case p.rejected:
		s.gate.limiter.Rejected(s.clock.Now())
		return kcrbudget.Void, "rejected", overloaded(kcrclock.Second)
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
	w        *work
	g        grant
	count    counter
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
		p.s.gate.limiter.First(now, now.Sub(p.began))
	} else {
		p.s.gate.limiter.Gap(now, now.Sub(p.last))
	}
	p.last = now
}

// repeatable passes on a call to a plain service that may be repeated.
func (s *Sidecar) repeatable(ctx context.Context, r *kcrwire.Start, out *frames) error {
	if s.leaving() {
		return &kcrerror.Refusal{Code: kcrerror.Leaving, Text: leavingText, After: 1}
	}
	t, err := s.gate.enter(ctx, r.GetRank(), false)
	if err != nil {
		return notRun(err)
	}
	defer s.gate.leave(t)
	return s.plain(r, out)
}

func (s *Sidecar) plain(r *kcrwire.Start, out *frames) (err error) {
	err = s.upstream.send(toRequest(r), sink{
		head: func(status int, kind string) { err = out.head(status, kind, 0, s.load()) },
		data: func(data []byte) bool { return out.data(data) == nil },
	})
	switch {
	case errors.Is(err, errUnsent):
		return &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: silentText, After: 1}
	case err != nil:
		return &kcrerror.Refusal{Code: kcrerror.Broken, Text: err.Error(), Ran: true}
	}
	return out.end(0)
}

func toRequest(r *kcrwire.Start) request {
	return request{
		method: r.GetMethod(), path: r.GetPath(), kind: r.GetType(), key: r.GetKey(), body: r.GetBody(), rank: r.GetRank(),
	}
}
