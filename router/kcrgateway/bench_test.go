package kcrgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrharm"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplace"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrhttp"
	"kingcuprun.example/router/kcrgateway"
)

// These benchmarks give the time and the memory of a plain request and of a
// streamed event through a gateway, with caller and upstream in the process. The
// ones without a log show what the log lines cost.

// benchEvents is the number of events of a stream.
const benchEvents = 50

func BenchmarkPlain(b *testing.B)       { benchmark(b, "/once/1", 1, io.Discard) }
func BenchmarkPlainNoLog(b *testing.B)  { benchmark(b, "/once/1", 1, nil) }
func BenchmarkStream(b *testing.B)      { benchmark(b, "/stream/1", benchEvents, io.Discard) }
func BenchmarkStreamNoLog(b *testing.B) { benchmark(b, "/stream/1", benchEvents, nil) }

func benchmark(b *testing.B, path string, per int, out io.Writer) {
	b.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = l.Close() })
	go benchUpstream(l)
	g := benchGateway(b, l.Addr().String(), out)
	conn, err := net.Dial("tcp", g.Addr())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	br := bufio.NewReader(conn)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_, out := text(path, "", "body")
		if _, err := io.WriteString(conn, out); err != nil {
			b.Fatal(err)
		}
		if _, _, err := readAnswer(br); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*per), "ns/event")
}

func benchUpstream(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for {
				req, err := readRequest(r)
				if err != nil {
					return
				}
				if req.head.Target == "/once/1" {
					reply(conn, req.id(), "200 OK", "", "fine")
					continue
				}
				stream(conn, req.id(), 1, benchEvents)
				_, _ = io.WriteString(conn, kcrhttp.LastChunk)
			}
		}()
	}
}

func benchGateway(b *testing.B, upstream string, out io.Writer) *kcrgateway.Gateway {
	b.Helper()
	logger := slog.New(slog.DiscardHandler)
	if out != nil {
		log := kcrdaemon.NewBoundedLog(out)
		b.Cleanup(log.Close)
		logger = log.Logger(slog.LevelInfo)
	}
	clock := kcrclock.Monotonic()
	rules := kcrrule.NewState(kcrrule.Newer)
	var routes []kcrrule.Route
	for prefix, kind := range map[string]kcrrule.Kind{"/once/": kcrrule.Once, "/stream/": kcrrule.Stream} {
		routes = append(routes, kcrrule.Route{Host: host, Prefix: prefix, Kind: kind, Shares: []kcrrule.Share{{Service: "s", Weight: 1}}, Timeout: 5000, Aim: 500, Pause: 500, Attempts: 1})
	}
	rules.Apply(kcrrule.New(1, kcrrule.Limits{Header: 8 << 10, Body: 1 << 20, HeaderTime: 1000, IdleTime: 5000},
		[]kcrrule.Service{{Name: "s", KV: 100000, Stride: 7}}, []kcrrule.Team{{Name: "team", Keys: []string{"key"}, Rank: -1, Prepaid: 1000}}, routes))
	table := kcrplace.New("z", kcrplace.DefaultWeights())
	var ups []kcrplace.Upstream
	for i := range 18 {
		ups = append(ups, kcrplace.Upstream{ID: kcrid.VM(fmt.Sprintf("e-%d", i)), Service: "s", Addr: upstream, Zone: "z", Slots: 48})
	}
	table.Update(0, ups)
	p := &purse{code: kcrbudget.Granted}
	g, err := kcrgateway.New(kcrgateway.Config{
		Listen: "127.0.0.1:0", Dialect: names(), Clock: clock, Logger: logger, Metrics: prometheus.NewRegistry(), Rules: rules, Table: table,
		Harm: kcrharm.New(3), Purse: kcrgateway.Purse{Reserve: p.reserve, Settle: p.settle},
		Retries: kcrgateway.RetryLimits{Window: 10000, Ratio: 0.2, Slack: 50}, Routers: func() int { return 1 }, Crashed: func(kcrid.Content, kcrid.VM) {},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(g.Close)
	return g
}
