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

// This file makes attempts: each goes to one sidecar, and another follows only
// where the last one provably did not run, or where the call may run again.

const (
	maxAttempts = 4
	onceTime    = 15 * time.Second
)

// open makes attempts until one has a head. The error is a Refusal.
func (r *Router) open(ctx context.Context, q *query) (a *answer, err error) {
	r.retries.Request()
	s := &search{r: r, q: q, tried: map[kcrid.VM]bool{}, seen: r.seen(q.service.Name)}
	for s.attempt = 1; s.attempt <= maxAttempts; s.attempt++ {
		if a, err = s.try(ctx); err == nil {
			return a, nil
		}
		if errors.Is(err, errNoCandidate) {
			err = s.reason(err)
			break
		}
		s.last = err
		if !s.again(err) {
			break
		}
	}
	return nil, r.final(ctx, q, s, err)
}

// reason returns why the attempts before failed, or err if there were none.
func (s *search) reason(err error) error {
	if s.last != nil {
		return s.last
	}
	return err
}

// search is the state of the attempts for one request.
type search struct {
	r       *Router
	q       *query
	attempt uint32
	tried   map[kcrid.VM]bool
	target  string // sidecar that has the answer
	seen    kcrid.Offset
	maybe   bool
	last    error // of the attempt before
}

// place chooses where the next attempt goes.
func (s *search) place() (c kcrroute.Choice, err error) {
	if s.target != "" {
		c = kcrroute.Choice{Addr: s.target, Why: "rejoin"}
		s.target = ""
	} else {
		c = s.r.table.Choose(s.r.clock.Now(), kcrroute.Need{Service: s.q.service.Name, Prefix: s.q.prefix, Tried: s.tried})
	}
	s.r.journal.Add(s.q.id, "route", "attempt", s.attempt, "team", s.q.item.Plan.Team, "plan", s.q.item.Plan.Name,
		"service", s.q.service.Name, "vm", c.VM, "addr", c.Addr, "why", c.Why, "passed", c.Passed)
	if c.Addr == "" {
		return c, errNoCandidate
	}
	return c, nil
}

// try makes one attempt.
func (s *search) try(ctx context.Context) (a *answer, err error) {
	if _, banned := s.r.suspects.of(s.q.content); banned {
		return nil, &kcrerror.Refusal{Code: kcrerror.Harmful, Text: "requests of this content crash their upstream"}
	}
	c, err := s.place()
	if err != nil {
		return nil, err
	}
	a = &answer{r: s.r, q: s.q, choice: c, attempt: s.attempt}
	if err = a.send(ctx, s.seen, 0); err == nil {
		err = a.await()
	}
	if err == nil {
		return a, nil
	}
	a.close()
	s.learn(c, err)
	return nil, err
}

// learn takes in why an attempt failed.
func (s *search) learn(c kcrroute.Choice, err error) {
	now := s.r.clock.Now()
	s.tried[c.VM] = true
	var refusal *kcrerror.Refusal
	switch {
	case errors.As(err, &refusal):
		s.maybe = s.maybe || refusal.Ran && refusal.Code != kcrerror.Elsewhere
		s.target = refusal.Server
		if refusal.Code == kcrerror.Overloaded {
			s.r.table.Refused(now, c.VM)
		}
		if refusal.Code == kcrerror.Leaving {
			s.r.table.Left(c.VM)
		}
		if refusal.Code == kcrerror.NoUpstream {
			s.r.table.Down(now, c.VM)
		}
	case errors.Is(err, kcrlink.ErrUnsent):
		s.r.table.Down(now, c.VM)
	default:
		s.maybe = true
		s.r.table.Down(now, c.VM)
	}
	s.r.journal.Add(s.q.id, "attempt failed", "attempt", s.attempt, "vm", c.VM, "err", err.Error())
}

// again tells whether another attempt may and should follow. One that reached
// nobody added no load, so the next costs nothing of the retry budget.
func (s *search) again(err error) bool {
	if s.q.once && s.maybe {
		return false
	}
	var refusal *kcrerror.Refusal
	if errors.As(err, &refusal) {
		switch refusal.Code {
		case kcrerror.Leaving, kcrerror.Elsewhere:
			return true
		case kcrerror.Overloaded, kcrerror.NoUpstream, kcrerror.Unknowable, kcrerror.Broken, kcrerror.Crashed:
			return s.r.retries.Retry()
		default:
			return false
		}
	}
	return errors.Is(err, kcrlink.ErrUnsent) || s.r.retries.Retry()
}

// errNoCandidate is the router's own refusal, where no attempt can be made.
var errNoCandidate = &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: "no upstream can take the request", After: 1}

// final turns the last error into what the caller is told. "Not run" is said
// only where it is proved.
func (r *Router) final(ctx context.Context, q *query, s *search, err error) error {
	var refusal *kcrerror.Refusal
	if !errors.As(err, &refusal) {
		refusal = &kcrerror.Refusal{Code: kcrerror.NoUpstream, Text: "the upstream cannot be reached", After: 1}
	}
	out := *refusal
	if out.Code == kcrerror.Elsewhere {
		out = kcrerror.Refusal{Code: kcrerror.Unconfirmed, Text: "the request has run and its answer cannot be reached", Ran: true, After: 5}
	}
	out.Ran = out.Ran || s.maybe
	if q.once && (out.Ran || !q.made) && out.Code != kcrerror.KeyReused && out.Code != kcrerror.AlreadyRun {
		out.Ran = !r.bar(ctx, q)
	}
	if !q.once && !q.made && !settled(out.Code) {
		out.Ran = true
	}
	return &out
}

// settled tells whether every copy of a request gets the same refusal.
func settled(c kcrerror.Code) bool {
	return c == kcrerror.BadRequest || c == kcrerror.TooLarge
}

// bar makes a non-idempotent call not runnable and tells whether that worked.
func (r *Router) bar(ctx context.Context, q *query) bool {
	if q.item.Plan.Team == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, onceTime)
	defer cancel()
	for _, u := range r.table.Upstreams() {
		if u.Service != q.service.Name {
			continue
		}
		reply, err := r.pool.Call(ctx, u.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Bar{Bar: &kcrwire.Bar{
			Team: string(q.item.Plan.Team), Key: string(q.key),
		}}})
		if err != nil {
			continue
		}
		code := reply.GetBarred().GetCode()
		r.journal.Add(q.id, "bar", "vm", u.VM, "code", code)
		return code == "barred"
	}
	return false
}
