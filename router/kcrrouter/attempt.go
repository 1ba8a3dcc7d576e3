package kcrrouter

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"kingcuprun.example/kernel/kcranswer"
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
	headTime    = 30 * time.Second
	frameTime   = 60 * time.Second
	onceTime    = 15 * time.Second
	resumeTries = 5
	resumePause = 200 * time.Millisecond
)

// answer is an open answer whose head has arrived.
type answer struct {
	r       *Router
	q       *query
	choice  kcrroute.Choice
	stream  *kcrlink.Stream
	splice  *kcranswer.Splice
	head    *kcrwire.Head
	attempt uint32
	skip    uint64 // bytes that the caller already has
	passed  uint64
	maybe   bool // an attempt may have run
}

// open makes attempts until one has a head. The error is a Refusal.
func (r *Router) open(ctx context.Context, q *query) (a *answer, err error) {
	r.retries.Request()
	s := &search{r: r, q: q, tried: map[kcrid.VM]bool{}, seen: r.seen(q.service.Name)}
	for s.attempt = 1; s.attempt <= maxAttempts; s.attempt++ {
		if a, err = s.try(ctx); err == nil {
			return a, nil
		}
		if errors.Is(err, errNoCandidate) && s.last != nil {
			err = s.last
			break
		}
		s.last = err
		if !s.again(err) {
			break
		}
	}
	return nil, r.final(ctx, q, s, err)
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
	a = &answer{r: s.r, q: s.q, choice: c, attempt: s.attempt, maybe: s.maybe}
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
	if errors.Is(err, errNoCandidate) {
		return false
	}
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

// send opens the call. A resumed run is named; 0 starts or joins any.
func (a *answer) send(ctx context.Context, seen kcrid.Offset, run uint64) (err error) {
	q := a.q
	apart, _ := a.r.suspects.of(q.content)
	a.stream, err = a.r.pool.Open(ctx, a.choice.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Start{Start: &kcrwire.Start{
		Team: string(q.item.Plan.Team), Plan: string(q.item.Plan.Name), Key: string(q.key), Attempt: a.attempt,
		Service: string(q.service.Name), Model: string(q.model), Method: q.method, Path: q.path, Type: q.kind,
		Body: q.body, Stream: q.stream, Once: q.once, Made: q.made, Worst: int64(q.worst),
		Rank: int32(q.item.Use.Rank), Seen: uint64(seen), Content: uint64(q.content), Id: q.id, Run: run,
		Apart: apart,
	}}})
	a.splice = kcranswer.NewSplice(kcranswer.DefaultSpliceRules(), kcranswer.Attempt(a.attempt))
	return err
}

// await reads the head.
func (a *answer) await() error {
	limit := headTime
	if a.q.once {
		limit = onceTime
	}
	frame, err := a.recv(limit)
	if err != nil {
		return err
	}
	if frame.GetHead() == nil {
		return fmt.Errorf("expected a head, got %T", frame.GetKind())
	}
	a.head = frame.GetHead()
	a.r.loaded(a.choice.VM, a.q.service.Name, a.head.GetLoad())
	return nil
}

// recv reads the next frame of the attempt. A refusal comes as its error.
func (a *answer) recv(limit time.Duration) (*kcrwire.Frame, error) {
	for {
		if err := a.stream.Until(time.Now().Add(limit)); err != nil {
			return nil, err
		}
		var f kcrwire.Frame
		if err := a.stream.Recv(&f); err != nil {
			return nil, err
		}
		if refusal := f.GetRefusal(); refusal != nil {
			a.r.loaded(a.choice.VM, a.q.service.Name, refusal.GetLoad())
			if kcrerror.Code(refusal.GetCode()) == kcrerror.Crashed {
				a.r.suspects.add(a.q.content)
			}
			return nil, &kcrerror.Refusal{
				Code: kcrerror.Code(refusal.GetCode()), Text: refusal.GetText(), Ran: refusal.GetRan(),
				After: refusal.GetAfter(), Server: refusal.GetServer(),
			}
		}
		step, err := a.splice.Take(kcranswer.Frame{
			Attempt: kcranswer.Attempt(f.GetAttempt()), Seq: f.GetSeq(), Data: f.GetData(),
			End: f.GetEnd() != nil, Bytes: f.GetEnd().GetBytes(),
		})
		switch step {
		case kcranswer.Skip:
			continue
		case kcranswer.Gap:
			return nil, err
		default:
			return &f, nil
		}
	}
}

// next returns the next data of the answer, and io.EOF when it is whole. Where
// the link broke, the same run is resumed at the same sidecar.
func (a *answer) next(ctx context.Context) ([]byte, error) {
	for {
		f, err := a.recv(frameTime)
		var refusal *kcrerror.Refusal
		if err != nil && !errors.As(err, &refusal) {
			if err = a.resume(ctx, err); err == nil {
				continue
			}
		}
		if err != nil {
			return nil, err
		}
		if f.GetEnd() != nil {
			a.r.suspects.clear(a.q.content)
			return nil, io.EOF
		}
		if data := a.fresh(f.GetData()); len(data) > 0 {
			return data, nil
		}
	}
}

// fresh cuts off what the caller already has.
func (a *answer) fresh(data []byte) []byte {
	cut := min(a.skip, uint64(len(data)))
	a.skip -= cut
	data = data[cut:]
	a.passed += uint64(len(data))
	return data
}

// resume reads the same run again, from the start, and skips what was passed.
func (a *answer) resume(ctx context.Context, cause error) error {
	if a.q.once || a.head.GetRun() == 0 {
		return cause
	}
	run, server := a.head.GetRun(), a.head.GetServer()
	for range resumeTries {
		time.Sleep(resumePause)
		if a.stream != nil {
			_ = a.stream.Close()
		}
		a.attempt++
		a.skip = a.passed
		err := a.send(ctx, 0, run)
		if err == nil {
			err = a.await()
		}
		a.r.journal.Add(a.q.id, "resume", "addr", a.choice.Addr, "passed", a.passed, "cause", cause.Error(), "err", err)
		if err == nil && a.head.GetServer() == server && a.head.GetRun() == run {
			return nil
		}
		var refusal *kcrerror.Refusal
		if errors.As(err, &refusal) {
			return err
		}
	}
	return cause
}

// cancel tells the sidecar that the caller has left.
func (a *answer) cancel() {
	_ = a.stream.Send(&kcrwire.Request{Kind: &kcrwire.Request_Cancel{Cancel: &kcrwire.Cancel{}}})
}

// close ends the attempt.
func (a *answer) close() {
	if a.stream != nil {
		_ = a.stream.Close()
	}
	if a.choice.VM != "" {
		a.r.table.Finish(a.choice.VM)
	}
}
