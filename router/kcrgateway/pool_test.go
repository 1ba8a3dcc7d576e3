package kcrgateway

import (
	"net"
	"testing"
)

// TestDialEndsByDeadline checks that a connection is given up once its request has no time left.
func TestDialEndsByDeadline(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	p := newPool(4)
	if _, err := p.dial("u", listener.Addr().String(), 1); err == nil {
		t.Error("expected no connection without time")
	}
	if open := p.open.Load(); open != 0 {
		t.Errorf("expected nothing open, got %d", open)
	}
}
