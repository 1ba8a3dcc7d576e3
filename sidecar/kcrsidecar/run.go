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

// This file executes one run of a generation call: it waits for the limiter,
// reserves the worst-case number of tokens at the plan's home, sends the request to
// the upstream, meters the answer, and queues the settlement. Tokens of a stream
// are charged to the meter before they are given to the caller.

// homeAckTimeout bounds how long the end of an answer waits until its home has
// received the settlement.
const homeAckTimeout = 500 * time.Millisecond

// maxReserveRetries is how often a run asks again for its reservation, at intervals
// of settleInterval, while the previous run of the same call is not settled, or while
// its home has not taken back a reservation that this sidecar has barred.
const maxReserveRetries = 5

// runEnd is the end of a run: its label in logs and metrics, the tokens that it used, and
// the error for the caller, nil if the answer is complete.
type runEnd struct {
	label    string
	tokens   kcrid.Tokens
	err      error
	complete bool
}

// refusedRun is the end of a run that was not sent to the upstream.
func refusedRun(err error) runEnd { return runEnd{label: "refused", err: err} }

// executeRun executes a run from the limiter to the settlement. Its answer ends last: a
// router that reads the end may try the call elsewhere at once, and must find neither this
// run nor a record of it any more.
func (s *Sidecar) executeRun(ctx context.Context, req *kcrwire.Start, run *callRun) {
	end := s.performRun(ctx, req, run)
	s.runs.finish(run, end.complete)
	s.recordEnd(req, run, end)
}

// performRun executes a run and returns its end.
func (s *Sidecar) performRun(ctx context.Context, req *kcrwire.Start, run *callRun) (end runEnd) {
	suspect, _ := s.configState.SuspectStatus(run.content)
	isolated := suspect || req.GetApart() || s.crashes.suspected(run.content)
	ticket, err := s.admission.acquire(ctx, req.GetRank(), kcrid.Team(req.GetTeam()), isolated)
	if err != nil {
		return refusedRun(notRunRefusal(err))
	}
	defer s.admission.release(ticket)
	endRecord, err := s.recordAtHome(req, run)
	if err != nil {
		return refusedRun(err)
	}
	defer func() { endRecord(runOutcome(end.complete)) }()
	reserved, err := s.reserveWorstCase(ctx, req, run)
	if err != nil {
		return refusedRun(err)
	}
	return s.callEngine(ctx, req, run, reserved, isolated)
}

// runOutcome returns the outcome with which the record of a run ends.
func runOutcome(complete bool) kcrbudget.RunOutcome {
	if complete {
		return kcrbudget.Complete
	}
	return kcrbudget.NotRun
}

// recordAtHome records a run at this sidecar's own home of the bucket, so that a copy
// of the call at another sidecar finds the run when it asks this home. That is needed
// only where other sidecars ask this one first. EndRecord ends the record.
func (s *Sidecar) recordAtHome(req *kcrwire.Start, run *callRun) (endRecord func(kcrbudget.RunOutcome), err error) {
	plan := kcrid.Plan(req.GetPlan())
	if bucket := kcrid.BucketOf(plan, s.config.Settings.Buckets); s.isAlone(bucket) || !s.isFirstHome(bucket) {
		return func(kcrbudget.RunOutcome) {}, nil
	}
	result, endRecord := s.homes.recordRun(kcrbudget.ReserveRequest{Call: run.call, Plan: plan, Server: s.incarnation, Addr: s.config.UpstreamSettings.Listen})
	if result.Outcome == kcrbudget.Running && result.Server != s.incarnation {
		return nil, budgetRefusal(result)
	}
	return endRecord, nil
}

// notRunRefusal returns the refusal for an error that occurred before the request
// was sent to the upstream. An error that is no refusal means that the caller left.
func notRunRefusal(err error) error {
	var refusal *kcrerror.Refusal
	if errors.As(err, &refusal) {
		return err
	}
	return &kcrerror.Refusal{Code: kcrerror.Overloaded, Text: "the caller left before the start", RetryAfterSeconds: 1}
}

// recordEnd ends the answer of a run, and counts and logs its end.
func (s *Sidecar) recordEnd(req *kcrwire.Start, run *callRun, end runEnd) {
	s.metrics.runs.WithLabelValues(end.label).Inc()
	s.decisions.Add(req.GetId(), "run ended", "outcome", end.label, "plan", req.GetPlan(), "tokens", end.tokens)
	run.answer.End(end.tokens, end.err)
}

// reserveWorstCase gets a reservation for the most tokens that the run may use and
// begins the run at the meter. While the home still knows an earlier run of the call
// at this sidecar, or its reservation is not settled, it asks again. It also asks again if
// a report barred the reservation while its answer was on the way.
func (s *Sidecar) reserveWorstCase(ctx context.Context, req *kcrwire.Start, run *callRun) (reserved reservation, err error) {
	reserveReq := kcrbudget.ReserveRequest{
		Call: run.call, Plan: kcrid.Plan(req.GetPlan()), Server: s.incarnation, Addr: s.config.UpstreamSettings.Listen,
		WorstCase: kcrid.Tokens(req.GetWorst()),
	}
	for retries := 0; ; retries++ {
		var result kcrbudget.ReserveResult
		reserved, result = s.requestReservation(ctx, reserveReq)
		if retries == 0 {
			reserveReq.AllowRerun = result.Outcome == kcrbudget.Running && result.Server == s.incarnation
		}
		unsettled := s.settler.isUnacked(reserved) || reserveReq.AllowRerun && result.Outcome == kcrbudget.Running
		if !unsettled || retries == maxReserveRetries {
			s.decisions.Add(req.GetId(), "reservation", "plan", req.GetPlan(), "worst", req.GetWorst(), "code", result.Outcome.String(), "holder", reserved.holder)
			if err = budgetRefusal(result); err == nil {
				err = s.beginRun(reserved, reserveReq)
			}
			if !errors.Is(err, kcrbudget.ErrReservationUsed) || retries == maxReserveRetries {
				return reserved, startRefusal(err)
			}
		}
		time.Sleep(settleInterval)
	}
}

// beginRun begins a run under a reservation at the meter.
func (s *Sidecar) beginRun(reserved reservation, req kcrbudget.ReserveRequest) error {
	s.settler.addActive(reserved)
	err := s.meter.Begin(reserved.holder, reserved.id, req.Plan, req.WorstCase)
	if err != nil {
		s.settler.removeActive(reserved)
	}
	return err
}

// startRefusal returns the refusal for an error of the meter. Other errors are refusals
// already.
func startRefusal(err error) error {
	if errors.Is(err, kcrbudget.ErrReservationUsed) || errors.Is(err, kcrbudget.ErrHolderFenced) {
		return &kcrerror.Refusal{Code: kcrerror.BudgetUnknown, Text: err.Error(), RetryAfterSeconds: 1}
	}
	return err
}

// budgetRefusal returns the refusal for the result of a home, nil if it granted the
// reservation.
func budgetRefusal(result kcrbudget.ReserveResult) error {
	switch result.Outcome {
	case kcrbudget.Granted:
		return nil
	case kcrbudget.Running:
		return &kcrerror.Refusal{Code: kcrerror.RunningElsewhere, Text: "the request has run at another upstream", MayHaveRun: true, Server: result.Addr}
	case kcrbudget.BudgetExhausted:
		return &kcrerror.Refusal{Code: kcrerror.BudgetExhausted, Text: "the prepaid budget does not cover the request"}
	default:
		return &kcrerror.Refusal{Code: kcrerror.BudgetUnknown, Text: "the budget cannot be known now", RetryAfterSeconds: 2}
	}
}

// callEngine sends the request to the upstream, meters the answer, queues the
// settlement, and returns the end of the run.
func (s *Sidecar) callEngine(ctx context.Context, req *kcrwire.Start, run *callRun, reserved reservation, isolated bool) runEnd {
	s.crashes.begin(run.content)
	defer s.crashes.end(run.content)
	metered := &meteredAnswer{sidecar: s, ctx: ctx, run: run, reservation: reserved, counter: tokenCounter{stream: req.GetStream()}, startedAt: s.clock.Now()}
	err := s.upstream.send(upstreamRequest{
		method: req.GetMethod(), path: req.GetPath(), contentType: req.GetType(), idempotencyKey: req.GetKey(), body: req.GetBody(), priority: req.GetRank(),
	}, answerHandler{head: metered.head, data: metered.data, keeps: true})
	if isTooLarge(err) {
		run.answer.Discard()
	}
	tokens, ended := metered.counter.finish(run.answer.Body)
	tokens = max(tokens, metered.charged)
	if err := s.meter.Use(reserved.holder, reserved.id, tokens-metered.charged); err == nil {
		metered.charged = tokens
	}
	served := s.meter.End(reserved.holder, reserved.id)
	s.metrics.tokens.Add(float64(served))
	outcome, label, refusal := s.classifyOutcome(err, metered, ended)
	if outcome == kcrbudget.Broken && label == "crashed" {
		s.crashes.reportCrash(run.content, isolated)
		s.configFollower.Follower.Wake()
	}
	if outcome == kcrbudget.Complete && isolated {
		s.crashes.reportCleared(run.content)
	}
	acked := s.settler.enqueue(reserved, kcrbudget.Settlement{Call: run.call, Plan: kcrid.Plan(req.GetPlan()), Tokens: served, Outcome: outcome})
	if outcome == kcrbudget.Complete {
		s.awaitHomeAck(req, acked)
	}
	return runEnd{label: label, tokens: served, err: refusal, complete: outcome == kcrbudget.Complete}
}

// awaitHomeAck waits until the home has received the settlement of a complete answer,
// before the caller gets the end of the answer: then the answer is billed even if
// this sidecar dies. If the home does not acknowledge it in time, the settlement
// line exists at this sidecar only.
func (s *Sidecar) awaitHomeAck(req *kcrwire.Start, acked <-chan struct{}) {
	timer := time.NewTimer(homeAckTimeout)
	defer timer.Stop()
	select {
	case <-acked:
	case <-timer.C:
		s.decisions.Add(req.GetId(), "settlement not acknowledged by the home in time", "plan", req.GetPlan())
	}
}

// classifyOutcome determines how a run ended: its outcome for the settlement, its
// label for logs and metrics, and the error for the caller. It tells the limiter
// when the upstream refused the run for want of capacity.
func (s *Sidecar) classifyOutcome(err error, metered *meteredAnswer, ended bool) (outcome kcrbudget.RunOutcome, label string, refusal error) {
	switch {
	case errors.Is(err, errNotSent):
		return kcrbudget.NotRun, "unsent", &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: unreachableText, RetryAfterSeconds: 1}
	case metered.rejected:
		s.admission.limiter.RecordRejection(s.clock.Now())
		return kcrbudget.NotRun, "rejected", overloadedRefusal(kcrclock.Second)
	case metered.errorStatus != 0 && err == nil:
		return kcrbudget.Complete, "failed", nil
	case metered.ctx.Err() != nil:
		return kcrbudget.Broken, "cancelled", &kcrerror.Refusal{Code: kcrerror.AnswerBroken, Text: "the caller left", MayHaveRun: true}
	case metered.overBound:
		return kcrbudget.Broken, "over", &kcrerror.Refusal{Code: kcrerror.AnswerBroken, Text: "the upstream exceeded the bound of the request", MayHaveRun: true}
	case isMalformed(err), isTooLarge(err):
		return kcrbudget.Broken, "malformed", &kcrerror.Refusal{Code: kcrerror.AnswerBroken, Text: brokenAnswerText(err), MayHaveRun: true}
	case err != nil || !ended:
		return kcrbudget.Broken, "crashed", &kcrerror.Refusal{Code: kcrerror.UpstreamCrashed, Text: "the upstream broke the answer off", MayHaveRun: true}
	default:
		return kcrbudget.Complete, "whole", nil
	}
}

// meteredAnswer meters the answer of a run and appends it to the answer buffer of the run.
type meteredAnswer struct {
	sidecar     *Sidecar
	ctx         context.Context
	run         *callRun
	reservation reservation
	counter     tokenCounter
	charged     kcrid.Tokens // tokens charged to the meter
	startedAt   kcrclock.Time
	lastDataAt  kcrclock.Time // 0 before the first part
	rejected    bool          // the upstream has no capacity
	errorStatus int           // status of 400 or more, otherwise 0
	overBound   bool          // the reservation does not cover the answer
}

// head takes the status of the answer. The statuses 429 and 503 mean that the
// upstream has no capacity. Then the answer is not given to the caller, since the
// run may be tried elsewhere.
func (a *meteredAnswer) head(status int, contentType string) {
	a.rejected = status == 429 || status == 503
	if a.rejected {
		return
	}
	if status >= 400 {
		a.errorStatus = status
	}
	a.run.answer.Head(status, contentType)
}

// data charges the tokens of the next part and appends the part to the answer buffer. It
// returns an error if the caller has left, if the reservation does not cover the part, or if
// an event does not end.
func (a *meteredAnswer) data(data []byte) error {
	if a.rejected {
		return nil
	}
	if err := a.ctx.Err(); err != nil {
		return err
	}
	a.reportTiming()
	added := a.counter.add(data)
	if a.counter.isTooLarge() {
		return errEventTooLarge
	}
	if added > 0 {
		if err := a.sidecar.meter.Use(a.reservation.holder, a.reservation.id, added); err != nil {
			a.overBound = true
			return err
		}
	}
	a.charged += added
	a.run.answer.Add(data)
	return nil
}

// reportTiming reports to the limiter the time to the first part, or the time since
// the previous part.
func (a *meteredAnswer) reportTiming() {
	now := a.sidecar.clock.Now()
	if a.lastDataAt == 0 {
		a.sidecar.admission.limiter.RecordFirstToken(now, now.Sub(a.startedAt))
	} else {
		a.sidecar.admission.limiter.RecordTokenGap(now, now.Sub(a.lastDataAt))
	}
	a.lastDataAt = now
}
