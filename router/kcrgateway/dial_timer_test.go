package kcrgateway

import (
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// TestDialTimeFollowsSlowLink checks that the time for a connection grows if upstream after
// upstream does not answer, and neither for one that is dead nor once connections succeed again.
func TestDialTimeFollowsSlowLink(t *testing.T) {
	t.Parallel()
	dead, slow := &dialTimer{}, &dialTimer{}
	for range 20 {
		dead.record("a", minDialTimeout, os.ErrDeadlineExceeded)
		dead.record("b", time.Millisecond, nil)
		dead.record("a", minDialTimeout, os.ErrDeadlineExceeded)
		slow.record("a", slow.timeout(), os.ErrDeadlineExceeded)
		slow.record("b", slow.timeout(), os.ErrDeadlineExceeded)
	}
	if got := dead.timeout(); got != minDialTimeout {
		t.Errorf("one dead upstream: expected %s, got %s", minDialTimeout, got)
	}
	if got := slow.timeout(); got != maxDialTimeout {
		t.Errorf("a slow link: expected %s, got %s", maxDialTimeout, got)
	}
	for range 20 {
		slow.record("b", time.Millisecond, nil)
	}
	if got := slow.timeout(); got != minDialTimeout {
		t.Errorf("a link that is fast again: expected %s, got %s", minDialTimeout, got)
	}
}

// TestDialEndsByDeadline checks that a connection is given up once its request has no time left, and
// that this shows nothing of the link.
func TestDialEndsByDeadline(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	p := newPool(4, func(r io.Reader) io.Reader { return r })
	for range 4 {
		if _, err := p.dial("u", listener.Addr().String(), 1); err == nil {
			t.Fatal("expected no connection without time")
		}
	}
	if open, timeout := p.open.Load(), p.dialTimer.timeout(); open != 0 || timeout != minDialTimeout {
		t.Errorf("expected nothing open and %s for the next, got %d and %s", minDialTimeout, open, timeout)
	}
}
