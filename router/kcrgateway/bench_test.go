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
	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrhttp"
	"kingcuprun.example/router/kcrgateway"
)

// These benchmarks measure the time and the allocations of a plain request and of a
// streamed event through a gateway. The caller and the upstream run in the same
// process, so the figures include them. The difference to the variants without a
// log is the cost of the log lines.

// benchEvents is the number of events of a benchmark's stream.
const benchEvents = 50

func BenchmarkPlain(b *testing.B)       { benchmark(b, "/once/1", 1, io.Discard) }
func BenchmarkPlainNoLog(b *testing.B)  { benchmark(b, "/once/1", 1, nil) }
func BenchmarkStream(b *testing.B)      { benchmark(b, "/stream/1", benchEvents, io.Discard) }
func BenchmarkStreamNoLog(b *testing.B) { benchmark(b, "/stream/1", benchEvents, nil) }

// benchmark sends b.N requests one after another. The log is discarded before it is
// formatted if logOutput is nil.
func benchmark(b *testing.B, path string, eventsPerRequest int, logOutput io.Writer) {
	b.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	go benchUpstream(listener)
	gateway := benchGateway(b, listener.Addr().String(), logOutput)
	conn, err := net.Dial("tcp", gateway.Addr())
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_, rawRequest := newRequest(path, "", "body")
		if _, err := io.WriteString(conn, rawRequest); err != nil {
			b.Fatal(err)
		}
		if _, _, err := readResponse(reader); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*eventsPerRequest), "ns/event")
}

func benchUpstream(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			for {
				req, err := readRequest(reader)
				if err != nil {
					return
				}
				if req.head.Target == "/once/1" {
					respond(conn, req.id(), "200 OK", "", "fine")
					continue
				}
				writeStream(conn, req.id(), 1, benchEvents)
				_, _ = io.WriteString(conn, kcrhttp.LastChunk)
			}
		}()
	}
}

func benchGateway(b *testing.B, upstreamAddr string, logOutput io.Writer) *kcrgateway.Gateway {
	b.Helper()
	logger := slog.New(slog.DiscardHandler)
	if logOutput != nil {
		log := kcrdaemon.NewBoundedLog(logOutput)
		b.Cleanup(log.Close)
		logger = log.Logger(slog.LevelInfo)
	}
	clock := kcrclock.Monotonic()
	rules := kcrrule.NewActiveRules(kcrrule.Newer)
	var routes []kcrrule.Route
	for prefix, kind := range map[string]kcrrule.RouteKind{"/once/": kcrrule.AtMostOnce, "/stream/": kcrrule.Stream} {
		routes = append(routes, kcrrule.Route{Host: host, Prefix: prefix, Kind: kind, TrafficShares: []kcrrule.TrafficShare{{Service: "s", Weight: 1}}, Timeout: 5000, LatencyTarget: 500, EventGapTarget: 500, MaxRuns: 1})
	}
	rules.Apply(kcrrule.New(1, kcrrule.Limits{MaxHeaderBytes: 8 << 10, MaxBodyBytes: 1 << 20, HeaderTimeout: 1000, IdleTimeout: 5000},
		[]kcrrule.Service{{Name: "s", KVCapacity: 100000, MaxEventTokens: 7}}, []kcrrule.Team{{Name: "team", Keys: []string{"key"}, Priority: -1, Prepaid: 1000}}, routes))
	table := kcrplacement.New("z", kcrplacement.DefaultWeights())
	var upstreams []kcrplacement.Upstream
	for i := range 18 {
		upstreams = append(upstreams, kcrplacement.Upstream{ID: kcrid.VM(fmt.Sprintf("e-%d", i)), Service: "s", Addr: upstreamAddr, Zone: "z", Slots: 48})
	}
	table.Update(0, upstreams)
	budget := &fakeBudget{outcome: kcrbudget.Granted}
	g, err := kcrgateway.New(kcrgateway.Config{
		ListenAddr: "127.0.0.1:0", HeaderNames: headerNames(), Clock: clock, Logger: logger, Metrics: prometheus.NewRegistry(), Rules: rules, Upstreams: table,
		Crashes: kcrcrash.New(3), PartSuspects: kcrcrash.NewPartSuspects(3), Budget: kcrgateway.TeamBudget{Reserve: budget.reserve, Settle: budget.settle, ReturnAfter: returnSoon, StoreIsLost: budget.storeIsLost.Load},
		Retries: kcrgateway.RetryLimits{Window: 10000, RetryRatio: 0.2, ExtraRetries: 50, FirstStart: true}, RouterCount: func() int { return 1 }, TakePermit: func(kcrid.Incarnation, kcrplacement.RateLimit) (bool, kcrclock.Duration) { return true, 0 }, AwaitCrashes: func() {}, NoteOrigin: func(string, string) {}, FindOrigin: func(string) (string, bool) { return "", false },
		IsEmptied: func(kcrid.Zone) bool { return false }, OnlyEmptied: func(kcrid.Service, string) bool { return false },
		OnLeaving: func(kcrid.Incarnation) {}, OnCrash: func(kcrcrash.Crash) {}, OnContentCleared: func(kcrid.ContentHash) {},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(g.Close)
	return g
}
