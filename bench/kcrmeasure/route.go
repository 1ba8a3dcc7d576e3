package kcrmeasure

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/stream"

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrroute"
)

// This file measures routing policies in a simulation with a clock of its own. It runs
// the routing tables of several routers and the limiters of the sidecars, in front of
// simulated engines that batch requests, cache prefixes, slow down under load, and
// report their load late.

// Sizes of the simulation. Targets are those for the time to the first token and for
// the time between tokens.
const (
	routeRegion        = kcrid.Region("region")
	routerCount        = 3
	zoneCount          = 3
	engineCount        = 18
	routeDuration      = 3 * kcrclock.Minute
	warmupTime         = 30 * kcrclock.Second
	cooldownTime       = 20 * kcrclock.Second
	routeStep          = 10 * kcrclock.Millisecond
	engineSlots        = 24 // requests that an engine runs without slowing down
	prefixCount        = 60 // prefixes in use
	cachedPrefixes     = 6  // prefixes that an engine caches
	prefillCached      = 60 * kcrclock.Millisecond
	prefillUncached    = 400 * kcrclock.Millisecond
	msPerTokenUnloaded = 20
	routeMeanTokens    = 150
	firstTokenTarget   = 1900 * kcrclock.Millisecond
	tokenGapTargetMS   = 58
	maxAttempts        = 3
	maxQueueTime       = 1200 * kcrclock.Millisecond
)

// routeScenario is a load with its faults: one row per policy in the table.
type routeScenario struct {
	name          string
	load          float64 // fraction of the capacity
	loadReportLag kcrclock.Duration
	slowdown      func(engine int, now kcrclock.Time) float64 // factor on all durations of an engine
	slots         func(engine int, now kcrclock.Time) int
	unreachable   func(engine int, now kcrclock.Time) bool
	callersRetry  bool // callers send refused requests again at once
}

// routeScenarios returns the scenarios in the order of the table.
func routeScenarios() []routeScenario {
	base := routeScenario{
		load: 0.6, loadReportLag: 500 * kcrclock.Millisecond,
		slowdown:    func(int, kcrclock.Time) float64 { return 1 },
		slots:       func(int, kcrclock.Time) int { return engineSlots },
		unreachable: func(int, kcrclock.Time) bool { return false },
	}
	with := func(name string, change func(*routeScenario)) routeScenario {
		s := base
		s.name = name
		change(&s)
		return s
	}
	mid := kcrclock.Time(routeDuration / 2)
	return []routeScenario{
		with("calm", func(*routeScenario) {}),
		with("one slow upstream", func(s *routeScenario) {
			s.slowdown = func(e int, _ kcrclock.Time) float64 {
				if e == 0 {
					return 4
				}
				return 1
			}
		}),
		with("capacity halved", func(s *routeScenario) {
			s.slots = func(_ int, now kcrclock.Time) int {
				if now > mid {
					return engineSlots / 2
				}
				return engineSlots
			}
		}),
		with("load report 5 s late", func(s *routeScenario) { s.loadReportLag = 5 * kcrclock.Second }),
		with("zone lost", func(s *routeScenario) {
			s.unreachable = func(e int, now kcrclock.Time) bool { return now > mid && e%zoneCount == 0 }
		}),
		with("at capacity", func(s *routeScenario) { s.load = 1 }),
		with("twice the capacity", func(s *routeScenario) { s.load = 2 }),
		with("retry storm", func(s *routeScenario) { s.load, s.callersRetry = 1.3, true }),
	}
}

// routeRequest is a request from its arrival to its end.
type routeRequest struct {
	router       int
	prefix       kcrid.ContentHash
	arrivedAt    kcrclock.Time
	tokens       int
	tried        map[kcrid.VM]bool
	attempts     int
	engine       int
	vm           kcrid.VM
	ticket       kcradmission.Ticket
	startedAt    kcrclock.Time
	firstTokenAt kcrclock.Time
	generated    float64 // tokens so far
	lateSteps    int     // simulation steps with a gap above the target
	resends      int     // how often the caller has sent it again
}

// simulatedEngine is an engine with the limiter of its sidecar.
type simulatedEngine struct {
	limiter *kcradmission.Limiter
	running []*routeRequest
	queued  map[kcradmission.Ticket]*routeRequest
	cache   []kcrid.ContentHash
	served  int
}

// RouteTally is the result of one scenario with one policy.
type RouteTally struct {
	Requests      int
	WithinTargets int // answered within both targets
	Refused       int
	FalseRefusals int // refused while a reachable engine had a free slot
	Retries       int
	FirstToken    *hdrhistogram.Histogram // ms
	Spread        float64                 // requests of the busiest engine over the mean
}

// routeSim is the simulation of one scenario with one policy. LoadReports holds
// the load reports that have not arrived; each returns true once it was delivered.
type routeSim struct {
	scenario      routeScenario
	random        *rand.Rand
	routingTables [routerCount]*kcrroute.Table
	retryBuckets  [routerCount]*kcrroute.RetryBucket
	engines       []*simulatedEngine
	loadReports   []func(now kcrclock.Time) bool
	pending       []*routeRequest
	tally         RouteTally
	now           kcrclock.Time
}

// newRouteSim returns a simulation whose random choices are determined by the seed. The function
// policy is called once for each router.
func newRouteSim(sc routeScenario, policy func() kcrroute.Policy, seed uint64) *routeSim {
	r := &routeSim{scenario: sc, random: rand.New(rand.NewPCG(seed, seed)), tally: RouteTally{FirstToken: hdrhistogram.New(1, 120_000, 3)}}
	var ups []kcrroute.Upstream
	for i := range engineCount {
		config := kcradmission.DefaultLimiterConfig()
		r.engines = append(r.engines, &simulatedEngine{limiter: kcradmission.NewLimiter(config), queued: map[kcradmission.Ticket]*routeRequest{}})
		ups = append(ups, kcrroute.Upstream{
			VM: engineName(i), Addr: "addr", Zone: zoneName(i % zoneCount), Region: routeRegion, Service: "model",
		})
	}
	for i := range routerCount {
		r.routingTables[i] = kcrroute.New(kcrroute.Location{Zone: zoneName(i % zoneCount), Region: routeRegion}, policy(), r.random.IntN)
		r.routingTables[i].Update(ups)
		r.retryBuckets[i] = kcrroute.NewRetryBucket()
	}
	return r
}

// engineName returns the VM of the engine with a number.
func engineName(i int) kcrid.VM { return kcrid.VM(fmt.Sprintf("engine-%02d", i)) }

// zoneName returns the name of the zone with a number.
func zoneName(i int) kcrid.Zone { return kcrid.Zone(fmt.Sprintf("zone-%d", i)) }

// capacity returns the number of requests per second at full capacity.
func capacity() float64 {
	secondsPerRequest := (float64(prefillCached+prefillUncached)/2 + routeMeanTokens*msPerTokenUnloaded) / 1000
	return engineCount * engineSlots / secondsPerRequest
}

// run simulates the whole duration and returns the result.
func (r *routeSim) run() RouteTally {
	for r.now = 0; r.now < kcrclock.Time(routeDuration); r.now = r.now.Add(routeStep) {
		r.deliverLoadReports()
		for expected := capacity() * r.scenario.load * routeStep.Seconds(); r.random.Float64() < expected; expected-- {
			r.addRequest()
		}
		pending := r.pending
		r.pending = nil
		for _, request := range pending {
			r.sendToUpstream(request)
		}
		for i := range r.engines {
			r.stepEngine(i)
		}
	}
	r.computeSpread()
	return r.tally
}

// counts reports whether a request counts in the result. Those that arrive during the
// warm-up don't, nor those that arrive too late to end.
func (r *routeSim) counts(request *routeRequest) bool {
	return request.arrivedAt >= kcrclock.Time(warmupTime) && request.arrivedAt < kcrclock.Time(routeDuration-cooldownTime)
}

// addRequest adds a request at a random router with a random prefix and length. Some
// prefixes are more frequent than others.
func (r *routeSim) addRequest() {
	prefix := int(r.random.ExpFloat64() * prefixCount / 4)
	request := &routeRequest{
		router: r.random.IntN(routerCount), prefix: kcrid.ContentHash(prefix%prefixCount + 1), arrivedAt: r.now,
		tokens: int(r.random.ExpFloat64()*routeMeanTokens) + 1, tried: map[kcrid.VM]bool{},
	}
	if r.counts(request) {
		r.tally.Requests++
	}
	r.retryBuckets[request.router].RecordRequest()
	r.pending = append(r.pending, request)
}

// sendToUpstream sends a request to the upstream that its router chooses.
func (r *routeSim) sendToUpstream(request *routeRequest) {
	table := r.routingTables[request.router]
	choice := table.Choose(r.now, kcrroute.Request{Service: "model", PrefixHash: request.prefix, Tried: request.tried})
	if choice.VM == "" {
		r.refuse(request)
		return
	}
	request.vm = choice.VM
	_, _ = fmt.Sscanf(string(choice.VM), "engine-%02d", &request.engine)
	engine := r.engines[request.engine]
	if r.scenario.unreachable(request.engine, r.now) {
		table.Finish(choice.VM)
		table.MarkUnreachable(r.now, choice.VM)
		request.tried[request.vm] = true
		r.pending = append(r.pending, request)
		return
	}
	ticket, decision, _ := engine.limiter.Submit(r.now, kcradmission.Request{Rank: 1, Latest: r.now.Add(maxQueueTime)})
	request.ticket = ticket
	switch decision {
	case kcradmission.Admitted:
		r.start(engine, request)
	case kcradmission.Queued:
		engine.queued[ticket] = request
	default:
		r.sendLoadReport(request)
		table.Finish(choice.VM)
		table.RecordRefusal(r.now, choice.VM)
		r.retry(request)
	}
}

// retry queues a request for another attempt at another upstream, if the number of
// attempts and the router's retry bucket allow it.
func (r *routeSim) retry(request *routeRequest) {
	request.tried[request.vm] = true
	request.attempts++
	if request.attempts >= maxAttempts || !r.retryBuckets[request.router].TryRetry() {
		r.refuse(request)
		return
	}
	if r.counts(request) {
		r.tally.Retries++
	}
	r.pending = append(r.pending, request)
}

// refuse ends a request with a refusal. In a retry storm, its caller sends it again, up
// to 5 times.
func (r *routeSim) refuse(request *routeRequest) {
	if r.scenario.callersRetry && request.resends < 5 {
		next := &routeRequest{router: request.router, prefix: request.prefix, arrivedAt: request.arrivedAt, tokens: request.tokens, tried: map[kcrid.VM]bool{}, resends: request.resends + 1}
		r.retryBuckets[request.router].RecordRequest()
		r.pending = append(r.pending, next)
		return
	}
	if !r.counts(request) {
		return
	}
	r.tally.Refused++
	for i, e := range r.engines {
		if !r.scenario.unreachable(i, r.now) && len(e.running)+len(e.queued) < r.scenario.slots(i, r.now) {
			r.tally.FalseRefusals++
			return
		}
	}
}

// sendLoadReport reports the load of an upstream to a router. The report arrives after
// the lag of the scenario.
func (r *routeSim) sendLoadReport(request *routeRequest) {
	e, vm, t := r.engines[request.engine], request.vm, r.routingTables[request.router]
	runs, limit, queue := e.limiter.Load()
	at, due := r.now, r.now.Add(r.scenario.loadReportLag)
	r.loadReports = append(r.loadReports, func(now kcrclock.Time) bool {
		if now < due {
			return false
		}
		t.RecordLoad(vm, kcrroute.LoadReport{ReceivedAt: at, Inflight: runs, Limit: limit, Queued: queue, Ready: true})
		return true
	})
}

// deliverLoadReports delivers the load reports that are due.
func (r *routeSim) deliverLoadReports() {
	kept := r.loadReports[:0]
	for _, f := range r.loadReports {
		if !f(r.now) {
			kept = append(kept, f)
		}
	}
	r.loadReports = kept
}

// start runs a request at an engine, with a short prefill if its prefix is cached.
func (r *routeSim) start(e *simulatedEngine, request *routeRequest) {
	request.startedAt = r.now
	prefill := prefillUncached
	for i, p := range e.cache {
		if p == request.prefix {
			prefill = prefillCached
			e.cache = append(e.cache[:i], e.cache[i+1:]...)
			break
		}
	}
	e.cache = append(e.cache, request.prefix)
	if len(e.cache) > cachedPrefixes {
		e.cache = e.cache[1:]
	}
	factor := r.scenario.slowdown(request.engine, r.now) * r.overload(e, request.engine)
	request.firstTokenAt = r.now.Add(kcrclock.Duration(float64(prefill) * factor))
	e.running = append(e.running, request)
	r.sendLoadReport(request)
}

// overload returns the factor by which an engine is slower because it runs more
// requests than it has slots.
func (r *routeSim) overload(e *simulatedEngine, i int) float64 {
	return max(1, float64(len(e.running))/float64(r.scenario.slots(i, r.now)))
}

// stepEngine simulates one step of an engine.
func (r *routeSim) stepEngine(i int) {
	e := r.engines[i]
	gap := msPerTokenUnloaded * r.scenario.slowdown(i, r.now) * r.overload(e, i)
	kept := e.running[:0]
	var ended []*routeRequest
	for _, request := range e.running {
		if r.scenario.unreachable(i, r.now) {
			ended = append(ended, request)
			continue
		}
		if r.generateTokens(e, request, gap) {
			ended = append(ended, request)
			continue
		}
		kept = append(kept, request)
	}
	e.running = kept
	for _, request := range ended {
		r.end(e, request)
	}
	r.release(e, 0)
}

// generateTokens adds the tokens of one step to a request and reports whether it is
// finished.
func (r *routeSim) generateTokens(e *simulatedEngine, request *routeRequest, gap float64) bool {
	if r.now < request.firstTokenAt {
		return false
	}
	if request.generated == 0 {
		e.limiter.RecordFirstToken(r.now, request.firstTokenAt.Sub(request.startedAt))
	}
	request.generated += float64(routeStep) / gap
	if gap > tokenGapTargetMS {
		request.lateSteps++
	}
	e.limiter.RecordTokenGap(r.now, kcrclock.Duration(gap))
	return request.generated >= float64(request.tokens)
}

// end ends a request and, if it was answered, records its latency.
func (r *routeSim) end(e *simulatedEngine, request *routeRequest) {
	r.routingTables[request.router].Finish(request.vm)
	r.release(e, request.ticket)
	e.served++
	if !r.counts(request) || request.generated < float64(request.tokens) {
		return
	}
	first := request.firstTokenAt.Sub(request.arrivedAt)
	_ = r.tally.FirstToken.RecordValue(int64(first) + 1)
	steps := request.generated * msPerTokenUnloaded / float64(routeStep)
	if first <= firstTokenTarget && float64(request.lateSteps) <= 0.05*steps {
		r.tally.WithinTargets++
	}
}

// release ends a request at the limiter, starts the queued requests that it admits now,
// and retries those that expired in the queue.
func (r *routeSim) release(e *simulatedEngine, t kcradmission.Ticket) {
	started, expired := e.limiter.Release(r.now, t)
	for _, t := range started {
		if request := e.queued[t]; request != nil {
			delete(e.queued, t)
			r.start(e, request)
		}
	}
	for _, t := range expired {
		if request := e.queued[t]; request != nil {
			delete(e.queued, t)
			r.routingTables[request.router].Finish(request.vm)
			r.routingTables[request.router].RecordRefusal(r.now, request.vm)
			r.retry(request)
		}
	}
}

// computeSpread compares the busiest engine with the mean.
func (r *routeSim) computeSpread() {
	var served []int
	sum := 0
	for _, e := range r.engines {
		served = append(served, e.served)
		sum += e.served
	}
	sort.Ints(served)
	r.tally.Spread = float64(served[len(served)-1]) * engineCount / float64(max(1, sum))
}

// namedPolicy is a routing policy under its name in the table. NewPolicy returns a
// policy for one router.
type namedPolicy struct {
	name      string
	newPolicy func() kcrroute.Policy
}

// policies returns the routing policies in the order of the table.
func policies() []namedPolicy {
	return []namedPolicy{
		{"cost", func() kcrroute.Policy { return kcrroute.LeastCost }},
		{"turn", kcrroute.RoundRobin},
		{"report", func() kcrroute.Policy { return kcrroute.LeastReported }},
		{"two", func() kcrroute.Policy { return kcrroute.TwoChoices }},
	}
}

// PrintRouteTable prints the table of routing policies.
func PrintRouteTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%-22s %-8s %8s %8s %7s %8s %7s %8s %7s %7s %7s %7s\n",
		"cell", "policy", "requests", "good", "good %", "refused", "false", "retries", "p50", "p95", "p99", "spread")
	if err != nil {
		return err
	}
	rows := stream.New().WithMaxGoroutines(maxParallelScenarios)
	for _, sc := range routeScenarios() {
		for _, p := range policies() {
			rows.Go(func() stream.Callback {
				t := newRouteSim(sc, p.newPolicy, 1).run()
				return func() { err = errors.Join(err, t.print(w, sc.name, p.name)) }
			})
		}
	}
	rows.Wait()
	return err
}

// print prints the row of a result.
func (t RouteTally) print(w io.Writer, scenarioName, policy string) error {
	_, err := fmt.Fprintf(w, "%-22s %-8s %8d %8d %7.2f %8d %7d %8.4f %7d %7d %7d %7.2f\n", scenarioName, policy, t.Requests, t.WithinTargets,
		100*float64(t.WithinTargets)/float64(max(1, t.Requests)), t.Refused, t.FalseRefusals, float64(t.Retries)/float64(max(1, t.Requests)),
		t.FirstToken.ValueAtQuantile(50), t.FirstToken.ValueAtQuantile(95), t.FirstToken.ValueAtQuantile(99), t.Spread)
	return err
}
