package kcrrouter

import (
	"cmp"
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

// This file reads the response of an attempt from its sidecar. Invariants: frames of
// other attempts are dropped; if the connection breaks, only the same run is read
// again, so that the caller never gets bytes of two runs.

const (
	headTimeout  = 30 * time.Second
	frameTimeout = 60 * time.Second
	maxResumes   = 5 // tries to resume a run each time that the connection breaks
	resumeDelay  = 200 * time.Millisecond
)

// Range of the status of a response.
const (
	minStatus = 200
	maxStatus = 599
)

// response is the response of one attempt. It is open once its head has arrived.
type response struct {
	router         *Router
	req            *request
	choice         kcrroute.Choice        // where the attempt is sent
	call           *kcrlink.Stream        // to the sidecar; nil if it could not be opened
	frameFilter    *kcranswer.FrameFilter // checks the attempt and the order of frames
	head           *kcrwire.Head
	attempt        uint32 // number of the attempt; each resume increments it
	skipBytes      uint64 // bytes still to be skipped after a resume, since the caller has them
	forwardedBytes uint64 // bytes that were forwarded to the caller
}

// start opens a call to the sidecar and sends it the request. With a run number the
// sidecar resumes that run; with 0 it joins the current run of the request or starts
// one.
func (resp *response) start(ctx context.Context, intentOffset kcrid.Offset, run uint64) (err error) {
	req := resp.req
	alone, _ := resp.router.crashSuspects.status(req.contentHash)
	resp.call, err = resp.router.pool.Open(ctx, resp.choice.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Start{Start: &kcrwire.Start{
		Team: string(req.planConfig.Plan.Team), Plan: string(req.planConfig.Plan.Name), Key: string(req.key), Attempt: resp.attempt,
		Service: string(req.service.Name), Model: string(req.model), Method: req.method, Path: req.path, Type: req.contentType,
		Body: req.body, Stream: req.streaming, Once: req.atMostOnce, Made: req.keyGenerated, Worst: int64(req.maxTotalTokens),
		Rank: int32(req.planConfig.Allowance.Priority), Seen: uint64(intentOffset), Content: uint64(req.contentHash), Id: req.id, Run: run,
		Apart: alone,
	}}})
	resp.frameFilter = kcranswer.NewFrameFilter(kcranswer.DefaultFrameFilterRules(), kcranswer.Attempt(resp.attempt))
	return err
}

// readHead reads the head of the response, and applies the load report in it.
func (resp *response) readHead() error {
	timeout := headTimeout
	if resp.req.atMostOnce {
		timeout = atMostOnceTimeout
	}
	frame, err := resp.readFrame(timeout)
	if err != nil {
		return err
	}
	if frame.GetHead() == nil {
		return fmt.Errorf("first frame of a response: expected a head, got %T", frame.GetKind())
	}
	if status := frame.GetHead().GetStatus(); status < minStatus || status > maxStatus {
		return fmt.Errorf("head of a response: expected a status of %d to %d, got %d", minStatus, maxStatus, status)
	}
	resp.head = frame.GetHead()
	resp.router.applyLoadReport(resp.choice.VM, resp.req.service.Name, resp.head.GetLoad())
	return nil
}

// readFrame reads the next frame of the attempt. It returns a refusal of the sidecar
// as a *kcrerror.Refusal.
func (resp *response) readFrame(timeout time.Duration) (*kcrwire.Frame, error) {
	for {
		if err := resp.call.SetRecvDeadline(time.Now().Add(timeout)); err != nil {
			return nil, err
		}
		var frame kcrwire.Frame
		if err := resp.call.Recv(&frame); err != nil {
			return nil, err
		}
		if refusal := frame.GetRefusal(); refusal != nil {
			resp.router.applyLoadReport(resp.choice.VM, resp.req.service.Name, refusal.GetLoad())
			if kcrerror.Code(refusal.GetCode()) == kcrerror.UpstreamCrashed {
				resp.router.crashSuspects.add(resp.req.contentHash)
			}
			return nil, &kcrerror.Refusal{
				Code: kcrerror.Code(refusal.GetCode()), Text: refusal.GetText(), MayHaveRun: refusal.GetRan(),
				RetryAfterSeconds: refusal.GetAfter(), Server: refusal.GetServer(),
			}
		}
		step, err := resp.frameFilter.Accept(kcranswer.Frame{
			Attempt: kcranswer.Attempt(frame.GetAttempt()), Seq: frame.GetSeq(), Data: frame.GetData(),
			End: frame.GetEnd() != nil, Bytes: frame.GetEnd().GetBytes(),
		})
		switch step {
		case kcranswer.Discard:
			continue
		case kcranswer.Broken:
			return nil, err
		default:
			return &frame, nil
		}
	}
}

// next returns the next data of the response, and io.EOF once the response is
// complete. If the connection breaks, it resumes the same run at the same sidecar.
func (resp *response) next(ctx context.Context) ([]byte, error) {
	for {
		frame, err := resp.readFrame(frameTimeout)
		var refusal *kcrerror.Refusal
		if err != nil && !errors.As(err, &refusal) {
			if err = resp.resume(ctx, err); err == nil {
				continue
			}
		}
		if err != nil {
			return nil, err
		}
		if frame.GetEnd() != nil {
			resp.router.crashSuspects.remove(resp.req.contentHash)
			return nil, io.EOF
		}
		if data := resp.newData(frame.GetData()); len(data) > 0 {
			return data, nil
		}
	}
}

// newData returns the part of data that the caller does not have yet, and counts it
// as forwarded.
func (resp *response) newData(data []byte) []byte {
	skipped := min(resp.skipBytes, uint64(len(data)))
	resp.skipBytes -= skipped
	data = data[skipped:]
	resp.forwardedBytes += uint64(len(data))
	return data
}

// resume reads the same run again from its start, after reading it failed with cause.
// The bytes that were forwarded are skipped. It returns cause if the run cannot be
// resumed. A request that must run at most once is never sent again, and a response
// without a run number comes from a service whose runs cannot be resumed.
func (resp *response) resume(ctx context.Context, cause error) error {
	if resp.req.atMostOnce || resp.head.GetRun() == 0 {
		return cause
	}
	run, server := resp.head.GetRun(), resp.head.GetServer()
	for range maxResumes {
		time.Sleep(resumeDelay)
		if resp.call != nil {
			_ = resp.call.Close()
		}
		resp.attempt++
		resp.skipBytes = resp.forwardedBytes
		err := resp.start(ctx, 0, run)
		if err == nil {
			err = resp.readHead()
		}
		resp.router.decisions.Add(resp.req.id, "resume", "addr", resp.choice.Addr, "passed", resp.forwardedBytes, "cause", cause.Error(), "err", err)
		if err == nil && resp.head.GetServer() == server && resp.head.GetRun() == run {
			return nil
		}
		var refusal *kcrerror.Refusal
		if errors.As(err, &refusal) {
			return err
		}
	}
	return cause
}

// cancel tells the sidecar that the caller has disconnected.
func (resp *response) cancel() {
	_ = resp.call.Send(&kcrwire.Request{Kind: &kcrwire.Request_Cancel{Cancel: &kcrwire.Cancel{}}})
}

// close closes the connection to the sidecar and ends the attempt in the table of
// upstreams. An attempt that joins a known run was not counted there and has no VM.
func (resp *response) close() {
	if resp.call != nil {
		_ = resp.call.Close()
	}
	if resp.choice.VM != "" {
		resp.router.upstreamTable.Finish(resp.choice.VM)
	}
}

// readAll reads the data of the response up to its end. It gives up a response that is too large, or
// the largest of several that are too large together.
func (resp *response) readAll(ctx context.Context) (body []byte, err error) {
	call := resp.call
	share := resp.router.answers.Open(func() { _ = call.SetRecvDeadline(time.Unix(1, 0)) })
	defer share.Close()
	for {
		data, err := resp.next(ctx)
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, cmp.Or(share.Err(), err)
		}
		if err := share.Keep(len(data)); err != nil {
			return nil, err
		}
		body = append(body, data...)
	}
}
