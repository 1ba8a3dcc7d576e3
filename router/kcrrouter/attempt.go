package kcrrouter

import (
	"context"
	"errors"
	"time"

	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrroute"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrwire"
)

// This file makes the attempts at a request, one after another, each at one sidecar.
// Invariants: another attempt follows only if the earlier ones certainly did not run
// the request, or if it may run more than once; a refusal says "not run" only if
// that is certain.

const (
	maxAttempts = 4
	// atMostOnceTimeout bounds the wait for the response head of a request that
	// must run at most once, and the time to bar it.
	atMostOnceTimeout = 15 * time.Second
)

// openResponse makes attempts until one returns a response head. Its error is a
// *kcrerror.Refusal.
func (r *Router) openResponse(ctx context.Context, req *request) (resp *response, err error) {
	r.retryBucket.RecordRequest()
	s := &attemptState{router: r, req: req, tried: map[kcrid.VM]bool{}, intentOffset: r.intentOffset(req.service.Name)}
	for s.attempt = 1; s.attempt <= maxAttempts; s.attempt++ {
		if resp, err = s.makeAttempt(ctx); err == nil {
			return resp, nil
		}
		if errors.Is(err, errNoCandidate) {
			err = s.lastErrOr(err)
			break
		}
		s.lastErr = err
		if !s.shouldRetry(err) {
			break
		}
	}
	return nil, r.finalRefusal(ctx, req, s, err)
}

// lastErrOr returns the error of the last attempt, or err if there was none.
func (s *attemptState) lastErrOr(err error) error {
	if s.lastErr != nil {
		return s.lastErr
	}
	return err
}

// attemptState is the state of the attempts at one request.
type attemptState struct {
	router  *Router
	req     *request
	attempt uint32            // number of the attempt, from 1
	tried   map[kcrid.VM]bool // VMs of the earlier attempts
	runAddr string            // address of the sidecar that has the run, if a refusal named it
	// intentOffset is the offset of the service's intent stream that was known before
	// the first attempt. Sidecars ignore the claim of a request that must run at most
	// once if they have forgotten a call with a later offset, since that call may have
	// been the same request.
	intentOffset kcrid.Offset
	mayHaveRun   bool  // an earlier attempt may have run the request
	lastErr      error // of the last attempt
}

// chooseUpstream returns the upstream of the next attempt: the one that has the run,
// if it is known, or one that the table chooses.
func (s *attemptState) chooseUpstream() (choice kcrroute.Choice, err error) {
	if s.runAddr != "" {
		choice = kcrroute.Choice{Addr: s.runAddr, Reason: "rejoin"}
		s.runAddr = ""
	} else {
		choice = s.router.upstreamTable.Choose(s.router.clock.Now(), kcrroute.Request{Service: s.req.service.Name, PrefixHash: s.req.prefixHash, Tried: s.tried})
	}
	s.router.decisions.Add(s.req.id, "route", "attempt", s.attempt, "team", s.req.planConfig.Plan.Team, "plan", s.req.planConfig.Plan.Name,
		"service", s.req.service.Name, "vm", choice.VM, "addr", choice.Addr, "why", choice.Reason, "passed", choice.Skipped)
	if choice.Addr == "" {
		return choice, errNoCandidate
	}
	return choice, nil
}

// makeAttempt makes one attempt. It returns once the response head has arrived.
func (s *attemptState) makeAttempt(ctx context.Context) (resp *response, err error) {
	if _, banned := s.router.crashSuspects.status(s.req.contentHash); banned {
		return nil, &kcrerror.Refusal{Code: kcrerror.CrashesUpstreams, Text: "requests of this content crash their upstream"}
	}
	choice, err := s.chooseUpstream()
	if err != nil {
		return nil, err
	}
	resp = &response{router: s.router, req: s.req, choice: choice, attempt: s.attempt}
	if err = resp.start(ctx, s.intentOffset, 0); err == nil {
		err = resp.readHead()
	}
	if err == nil {
		return resp, nil
	}
	resp.close()
	s.recordFailure(choice, err)
	return nil, err
}

// recordFailure updates the state and the table of upstreams after a failed attempt. A
// refusal with code RunningElsewhere does not set mayHaveRun, since the next attempt
// joins the run that the refusal names.
func (s *attemptState) recordFailure(choice kcrroute.Choice, err error) {
	now := s.router.clock.Now()
	s.tried[choice.VM] = true
	var refusal *kcrerror.Refusal
	switch {
	case errors.As(err, &refusal):
		s.mayHaveRun = s.mayHaveRun || refusal.MayHaveRun && refusal.Code != kcrerror.RunningElsewhere
		s.runAddr = refusal.Server
		if refusal.Code == kcrerror.Overloaded {
			s.router.upstreamTable.RecordRefusal(now, choice.VM)
		}
		if refusal.Code == kcrerror.Leaving {
			s.router.upstreamTable.MarkLeaving(choice.VM)
		}
		if refusal.Code == kcrerror.NoUpstream {
			s.router.upstreamTable.MarkUnreachable(now, choice.VM)
		}
	case errors.Is(err, kcrlink.ErrNotSent):
		s.router.upstreamTable.MarkUnreachable(now, choice.VM)
	default:
		s.mayHaveRun = true
		s.router.upstreamTable.MarkUnreachable(now, choice.VM)
	}
	s.router.decisions.Add(s.req.id, "attempt failed", "attempt", s.attempt, "vm", choice.VM, "err", err.Error())
}

// shouldRetry tells whether another attempt may and should follow one that failed
// with err. The retry bucket does not count a retry after an attempt that reached no
// upstream, since such an attempt adds no load.
func (s *attemptState) shouldRetry(err error) bool {
	if s.req.atMostOnce && s.mayHaveRun {
		return false
	}
	var refusal *kcrerror.Refusal
	if errors.As(err, &refusal) {
		switch refusal.Code {
		case kcrerror.Leaving, kcrerror.RunningElsewhere:
			return true
		case kcrerror.Overloaded, kcrerror.NoUpstream, kcrerror.BudgetUnknown, kcrerror.AnswerBroken, kcrerror.UpstreamCrashed:
			return s.router.retryBucket.TryRetry()
		default:
			return false
		}
	}
	return errors.Is(err, kcrlink.ErrNotSent) || s.router.retryBucket.TryRetry()
}

// errNoCandidate is the refusal if the table has no upstream for an attempt.
var errNoCandidate = &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: "no upstream can take the request", RetryAfterSeconds: 1}

// finalRefusal returns the refusal for the caller after the last attempt failed with
// err. Its MayHaveRun is false only if it is certain that the request did not run and will
// not run. To make that certain, it bars a request that must run at most once.
func (r *Router) finalRefusal(ctx context.Context, req *request, s *attemptState, err error) error {
	var refusal *kcrerror.Refusal
	if !errors.As(err, &refusal) {
		refusal = &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: "the upstream cannot be reached", RetryAfterSeconds: 1}
	}
	final := *refusal
	if final.Code == kcrerror.RunningElsewhere {
		final = kcrerror.Refusal{Code: kcrerror.OutcomeUnknown, Text: "the request has run and its answer cannot be reached", MayHaveRun: true, RetryAfterSeconds: 5}
	}
	final.MayHaveRun = final.MayHaveRun || s.mayHaveRun
	if req.atMostOnce && (final.MayHaveRun || !req.keyGenerated) && final.Code != kcrerror.KeyReused && final.Code != kcrerror.AlreadyRun {
		final.MayHaveRun = !r.barRequest(ctx, req)
	}
	if !req.atMostOnce && !req.keyGenerated && !dependsOnRequestOnly(final.Code) {
		final.MayHaveRun = true
	}
	return &final
}

// dependsOnRequestOnly tells whether a code depends on the request alone, so that
// every copy of the request gets the same refusal.
func dependsOnRequestOnly(c kcrerror.Code) bool {
	return c == kcrerror.BadRequest || c == kcrerror.TooLarge
}

// barRequest asks the first sidecar of the service that answers to bar a request
// that must run at most once. It returns whether the request is barred, that is, did
// not run and will not run.
func (r *Router) barRequest(ctx context.Context, req *request) bool {
	if req.planConfig.Plan.Team == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, atMostOnceTimeout)
	defer cancel()
	for _, upstream := range r.upstreamTable.Upstreams() {
		if upstream.Service != req.service.Name {
			continue
		}
		reply, err := r.pool.Call(ctx, upstream.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Bar{Bar: &kcrwire.Bar{
			Team: string(req.planConfig.Plan.Team), Key: string(req.key),
		}}})
		if err != nil {
			continue
		}
		code := reply.GetBarred().GetCode()
		r.decisions.Add(req.id, "bar", "vm", upstream.VM, "code", code)
		return code == "barred"
	}
	return false
}
