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

// This file reads the answer of an attempt. Frames that belong to another attempt
// are dropped; where the link broke, the same run is read again.

const (
	headTime    = 30 * time.Second
	frameTime   = 60 * time.Second
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

// all reads an answer to its end.
func (a *answer) all(ctx context.Context) (body []byte, err error) {
	for {
		data, err := a.next(ctx)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
		body = append(body, data...)
	}
}
