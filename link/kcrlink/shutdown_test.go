package kcrlink

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sourcegraph/conc"

	"kingcuprun.example/link/kcrwire"
)

func TestShutdownRejectsCallsOnNewSessions(t *testing.T) {
	t.Parallel()
	for round := range 50 {
		shutDownAmongNewSessions(t, round)
	}
}

// shutDownAmongNewSessions stops a server while callers open sessions, each for one call.
func shutDownAmongNewSessions(t *testing.T, round int) {
	t.Helper()
	var served, replied atomic.Int64
	server, err := Listen("127.0.0.3:0", func(_ context.Context, _ *kcrwire.Request, stream *Stream) {
		served.Add(1)
		time.Sleep(3 * time.Millisecond)
		_ = stream.Send(&kcrwire.Reply{Kind: &kcrwire.Reply_Loaded{Loaded: &kcrwire.Loaded{}}})
	})
	if err != nil {
		t.Fatal(err)
	}
	var callers conc.WaitGroup
	for i := range 12 {
		callers.Go(func() {
			for start := time.Now(); time.Since(start) < time.Duration(i)*20*time.Microsecond; {
			}
			pool := NewPool()
			defer pool.Close()
			_, err := pool.Call(t.Context(), server.Addr(), &kcrwire.Request{Kind: &kcrwire.Request_Load{Load: &kcrwire.Load{}}})
			switch {
			case err == nil:
				replied.Add(1)
			case !errors.Is(err, ErrNotSent):
				t.Errorf("round %d: expected a reply or ErrNotSent, got %v", round, err)
			}
		})
	}
	time.Sleep(50 * time.Microsecond)
	server.Shutdown(t.Context())
	callers.Wait()
	if served.Load() != replied.Load() {
		t.Errorf("round %d: expected a reply to each call that was served, got %d replies to %d", round, replied.Load(), served.Load())
	}
}

func TestStoppedSessionAcceptsWaitingCalls(t *testing.T) {
	t.Parallel()
	const callCount = 200
	serverEnd, clientEnd := net.Pipe()
	server, err := yamux.Server(serverEnd, sessionConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = server.Close() }()
	client, err := yamux.Client(clientEnd, sessionConfig())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	for range callCount {
		if _, err := client.Open(); err != nil {
			t.Fatal(err)
		}
	}
	rejectCalls(server)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	accepted := 0
	for err == nil {
		if _, err = acceptCall(ctx, server); err == nil {
			accepted++
		}
	}
	if accepted != callCount || !errors.Is(err, context.Canceled) {
		t.Errorf("expected %d calls and context.Canceled, got %d and %v", callCount, accepted, err)
	}
}
