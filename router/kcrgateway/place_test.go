package kcrgateway

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrmemory"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrhttp"
)

// Guards against a connection that loses its place, and ends without a response although a request
// has come on it that a busy process has not read yet.
func TestUnreadRequestGetsResponseWhenItsPlaceIsLost(t *testing.T) {
	t.Parallel()
	now := kcrclock.Time(0)
	g := &Gateway{
		clock: kcrclock.New(func() kcrclock.Time { return now }), logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		headerNames: HeaderNames{RetryAfter: "Retry-After"}, rules: &kcrrule.ActiveRules{}, memory: kcrmemory.New(kcrmemory.Limits{Connections: 1, Heads: 1}),
	}
	g.metrics = newMetrics(prometheus.NewRegistry(), g.memory)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = client.Close() }()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	p := g.openPlace(conn)
	if _, err := fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	now = 1000
	_, losers := g.memory.Open(now, func(kcrmemory.Stage) {})
	if len(losers) != 1 {
		t.Fatalf("expected the connection to lose its place, got %d losers", len(losers))
	}
	kcrmemory.EndAll(losers)
	c := &callerConn{conn: conn, place: p, sent: func(int) {}, br: bufio.NewReaderSize(conn, callerBufSize)}
	if g.serveRequest(c) {
		t.Error("expected the connection to end")
	}
	_ = conn.Close()
	head, err := kcrhttp.ReadResponse(bufio.NewReader(client), maxResponseHeader)
	if err != nil {
		t.Fatalf("expected a response, got %v", err)
	}
	if head.Status != statusUnavailable || !head.Has(g.headerNames.RetryAfter) {
		t.Errorf("expected 503 with a time to come back, got %d", head.Status)
	}
}
