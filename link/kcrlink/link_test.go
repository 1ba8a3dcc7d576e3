package kcrlink

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protodelim"

	"kingcuprun.example/link/kcrwire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestCall checks the errors of calls: a call that the peer ends without a reply may
// have taken effect, so its error must not wrap ErrNotSent, unlike that of a call that
// was not sent.
func TestCall(t *testing.T) {
	t.Parallel()
	server, err := Listen("127.0.0.1:0", func(_ context.Context, req *kcrwire.Request, stream *Stream) {
		if req.GetLoad() == nil {
			return
		}
		_ = stream.Send(&kcrwire.Reply{Kind: &kcrwire.Reply_Loaded{Loaded: &kcrwire.Loaded{Server: "s"}}})
	})
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	pool := NewPool()
	defer pool.Close()
	reply, err := pool.Call(context.Background(), server.Addr(), &kcrwire.Request{Kind: &kcrwire.Request_Load{Load: &kcrwire.Load{}}})
	if err != nil || reply.GetLoaded().GetServer() != "s" {
		t.Errorf("expected the reply of s, got %v (%v)", reply, err)
	}
	_, err = pool.Call(context.Background(), server.Addr(), &kcrwire.Request{})
	if err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("expected an error that does not wrap ErrUnsent, got %v", err)
	}
	pool.SimulatePartition(func(string) bool { return true })
	if _, err = pool.Call(context.Background(), server.Addr(), &kcrwire.Request{}); !errors.Is(err, ErrNotSent) {
		t.Errorf("expected ErrUnsent, got %v", err)
	}
}

// TestShutdown checks that a planned stop breaks off no call: each call gets its reply or
// an error that proves that it was not served, and no other.
func TestShutdown(t *testing.T) {
	t.Parallel()
	var served, replied, rejected atomic.Int64
	server, err := Listen("127.0.0.1:0", func(_ context.Context, _ *kcrwire.Request, stream *Stream) {
		served.Add(1)
		time.Sleep(3 * time.Millisecond)
		_ = stream.Send(&kcrwire.Reply{Kind: &kcrwire.Reply_Loaded{Loaded: &kcrwire.Loaded{}}})
	})
	if err != nil {
		t.Fatal(err)
	}
	var callers conc.WaitGroup
	for range 8 {
		callers.Go(func() {
			pool := NewPool()
			defer pool.Close()
			for rejected.Load() < 200 {
				_, err := pool.Call(t.Context(), server.Addr(), &kcrwire.Request{Kind: &kcrwire.Request_Load{Load: &kcrwire.Load{}}})
				switch {
				case err == nil:
					replied.Add(1)
				case errors.Is(err, ErrNotSent):
					rejected.Add(1)
				default:
					t.Errorf("expected a reply or ErrNotSent, got %v", err)
					rejected.Add(1)
				}
			}
		})
	}
	time.Sleep(50 * time.Millisecond)
	server.Shutdown(t.Context())
	callers.Wait()
	if served.Load() != replied.Load() || replied.Load() == 0 {
		t.Errorf("expected a reply to each call that was served, got %d replies to %d", replied.Load(), served.Load())
	}
}

// FuzzMessage checks that no input makes the reading of a message panic.
func FuzzMessage(f *testing.F) {
	var buf bytes.Buffer
	for _, m := range []*kcrwire.Request{
		{Kind: &kcrwire.Request_Start{Start: &kcrwire.Start{Team: "t", Key: "k", Method: "POST", Path: "/"}}},
		{Kind: &kcrwire.Request_Settle{Settle: &kcrwire.Settle{Lines: []*kcrwire.Line{{Id: 1}}}}},
	} {
		buf.Reset()
		if _, err := protodelim.MarshalTo(&buf, m); err != nil {
			f.Fatal(err)
		}
		f.Add(append([]byte(nil), buf.Bytes()...))
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		var req kcrwire.Request
		var frame kcrwire.Frame
		stream := &Stream{reader: bufio.NewReader(bytes.NewReader(data))}
		_ = stream.Recv(&req)
		stream = &Stream{reader: bufio.NewReader(bytes.NewReader(data))}
		_ = stream.Recv(&frame)
	})
}
