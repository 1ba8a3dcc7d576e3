package kcrsidecar

import (
	"context"
	"errors"

	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/link/kcrwire"
)

// This file passes on calls to plain services that may be repeated.

// repeatable passes on a call to a plain service that may be repeated.
func (s *Sidecar) repeatable(ctx context.Context, r *kcrwire.Start, out *frames) error {
	if s.config.Rules.Refuses(s.leaving()) {
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
