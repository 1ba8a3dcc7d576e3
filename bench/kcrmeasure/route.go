package kcrmeasure

import (
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc/stream"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlimit"
	"kingcuprun.example/kernel/kcrroute"
)

// This file measures routing: the tables of several routers and the limiters
// of the sidecars, in front of engines that batch, cache prefixes, slow down
// as they fill, and report their load late.

// Sizes of the measurement.
const (
	routeRegion  = kcrid.Region("region")
	routeRouters = 3
	routeZones   = 3
	routeEngines = 18
	routeTime    = 3 * kcrclock.Minute
	routeWarm    = 30 * kcrclock.Second
	routeCool    = 20 * kcrclock.Second
	routeStep    = 10 * kcrclock.Millisecond
	routeSlots   = 24 // requests that an engine runs without slowing down
	routePrompts = 60 // prefixes in use
	routeCache   = 6  // prefixes that an engine keeps
	prefillHot   = 60 * kcrclock.Millisecond
	prefillCold  = 400 * kcrclock.Millisecond
	tokenGap     = 20 // ms
	meanAnswer   = 150
	firstAim     = 1900 * kcrclock.Millisecond
	gapAim       = 58 // ms
	routeTries   = 3
	routeQueue   = 1200 * kcrclock.Millisecond
)

// routeCell is a kind of trouble.
type routeCell struct {
	name  string
	load  float64 // part of the capacity
	lag   kcrclock.Duration
	slow  func(engine int, now kcrclock.Time) float64 // factor on every time
	slots func(engine int, now kcrclock.Time) int
	lost  func(engine int, now kcrclock.Time) bool
	storm bool // callers retry at once
}

func routeCells() []routeCell {
	base := routeCell{
		load: 0.6, lag: 500 * kcrclock.Millisecond,
		slow:  func(int, kcrclock.Time) float64 { return 1 },
		slots: func(int, kcrclock.Time) int { return routeSlots },
		lost:  func(int, kcrclock.Time) bool { return false },
	}
	with := func(name string, change func(*routeCell)) routeCell {
		c := base
		c.name = name
		change(&c)
		return c
	}
	mid := kcrclock.Time(routeTime / 2)
	return []routeCell{
		with("calm", func(*routeCell) {}),
		with("one slow upstream", func(c *routeCell) {
			c.slow = func(e int, _ kcrclock.Time) float64 {
				if e == 0 {
					return 4
				}
				return 1
			}
		}),
		with("capacity halved", func(c *routeCell) {
			c.slots = func(_ int, now kcrclock.Time) int {
				if now > mid {
					return routeSlots / 2
				}
				return routeSlots
			}
		}),
		with("load report 5 s late", func(c *routeCell) { c.lag = 5 * kcrclock.Second }),
		with("zone lost", func(c *routeCell) {
			c.lost = func(e int, now kcrclock.Time) bool { return now > mid && e%routeZones == 0 }
		}),
		with("at capacity", func(c *routeCell) { c.load = 1 }),
		with("twice the capacity", func(c *routeCell) { c.load = 2 }),
		with("retry storm", func(c *routeCell) { c.load, c.storm = 1.3, true }),
	}
}

// job is a request on its way.
type job struct {
	router  int
	prefix  kcrid.Content
	since   kcrclock.Time
	tokens  int
	tried   map[kcrid.VM]bool
	tries   int
	engine  int
	vm      kcrid.VM
	ticket  kcrlimit.Ticket
	started kcrclock.Time
	first   kcrclock.Time
	done    float64 // tokens
	late    int     // gaps above the aim
	again   int     // times that the caller sent it again
}

// engineSim is an engine behind its limiter.
type engineSim struct {
	limiter *kcrlimit.Limiter
	runs    []*job
	queued  map[kcrlimit.Ticket]*job
	cache   []kcrid.Content
	served  int
}

// RouteTally is the outcome of one cell.
type RouteTally struct {
	Requests int
	Good     int // within both aims
	Refused  int
	False    int // refused while an engine that could be reached had room
	Retries  int
	First    *hdrhistogram.Histogram // ms
	Spread   float64                 // busiest upstream over the mean
}

type routeRun struct {
	c       routeCell
	random  *rand.Rand
	tables  [routeRouters]*kcrroute.Table
	retries [routeRouters]*kcrroute.RetryBudget
	engines []*engineSim
	reports []func(now kcrclock.Time) bool
	pending []*job
	tally   RouteTally
	now     kcrclock.Time
}

func newRouteRun(c routeCell, policy func() kcrroute.Policy, seed uint64) *routeRun {
	r := &routeRun{c: c, random: rand.New(rand.NewPCG(seed, seed)), tally: RouteTally{First: hdrhistogram.New(1, 120_000, 3)}}
	var ups []kcrroute.Upstream
	for i := range routeEngines {
		config := kcrlimit.DefaultConfig()
		r.engines = append(r.engines, &engineSim{limiter: kcrlimit.New(config), queued: map[kcrlimit.Ticket]*job{}})
		ups = append(ups, kcrroute.Upstream{
			VM: engineName(i), Addr: "addr", Zone: zoneName(i % routeZones), Region: routeRegion, Service: "model",
		})
	}
	for i := range routeRouters {
		r.tables[i] = kcrroute.New(kcrroute.Home{Zone: zoneName(i % routeZones), Region: routeRegion}, policy(), r.random.IntN)
		r.tables[i].Update(ups)
		r.retries[i] = kcrroute.NewRetryBudget()
	}
	return r
}

func engineName(i int) kcrid.VM { return kcrid.VM(fmt.Sprintf("engine-%02d", i)) }

func zoneName(i int) kcrid.Zone { return kcrid.Zone(fmt.Sprintf("zone-%d", i)) }

// rate is the number of requests a second at full capacity.
func fullRate() float64 {
	perRun := (float64(prefillHot+prefillCold)/2 + meanAnswer*tokenGap) / 1000
	return routeEngines * routeSlots / perRun
}

func (r *routeRun) run() RouteTally {
	for r.now = 0; r.now < kcrclock.Time(routeTime); r.now = r.now.Add(routeStep) {
		r.deliverReports()
		for left := fullRate() * r.c.load * routeStep.Seconds(); r.random.Float64() < left; left-- {
			r.arrive()
		}
		pending := r.pending
		r.pending = nil
		for _, j := range pending {
			r.try(j)
		}
		for i := range r.engines {
			r.step(i)
		}
	}
	r.spread()
	return r.tally
}

// warm tells whether a request counts: not at the start, nor so late that it
// could not end.
func (r *routeRun) warm(j *job) bool {
	return j.since >= kcrclock.Time(routeWarm) && j.since < kcrclock.Time(routeTime-routeCool)
}

func (r *routeRun) arrive() {
	p := int(r.random.ExpFloat64() * routePrompts / 4)
	j := &job{
		router: r.random.IntN(routeRouters), prefix: kcrid.Content(p%routePrompts + 1), since: r.now,
		tokens: int(r.random.ExpFloat64()*meanAnswer) + 1, tried: map[kcrid.VM]bool{},
	}
	if r.warm(j) {
		r.tally.Requests++
	}
	r.retries[j.router].Request()
	r.pending = append(r.pending, j)
}

// try sends a request to the upstream that its router chooses.
func (r *routeRun) try(j *job) {
	t := r.tables[j.router]
	c := t.Choose(r.now, kcrroute.Need{Service: "model", Prefix: j.prefix, Tried: j.tried})
	if c.VM == "" {
		r.refuse(j)
		return
	}
	j.vm = c.VM
	_, _ = fmt.Sscanf(string(c.VM), "engine-%02d", &j.engine)
	e := r.engines[j.engine]
	if r.c.lost(j.engine, r.now) {
		t.Finish(c.VM)
		t.Down(r.now, c.VM)
		j.tried[j.vm] = true
		r.pending = append(r.pending, j)
		return
	}
	ticket, verdict, _ := e.limiter.Offer(r.now, kcrlimit.Offer{Rank: 1, Deadline: r.now.Add(routeQueue)})
	j.ticket = ticket
	switch verdict {
	case kcrlimit.Admitted:
		r.start(e, j)
	case kcrlimit.Queued:
		e.queued[ticket] = j
	default:
		r.report(j)
		t.Finish(c.VM)
		t.Refused(r.now, c.VM)
		r.again(j)
	}
}

// again retries a request elsewhere, if it may.
func (r *routeRun) again(j *job) {
	j.tried[j.vm] = true
	j.tries++
	if j.tries >= routeTries || !r.retries[j.router].Retry() {
		r.refuse(j)
		return
	}
	if r.warm(j) {
		r.tally.Retries++
	}
	r.pending = append(r.pending, j)
}

func (r *routeRun) refuse(j *job) {
	if r.c.storm && j.again < 5 {
		next := &job{router: j.router, prefix: j.prefix, since: j.since, tokens: j.tokens, tried: map[kcrid.VM]bool{}, again: j.again + 1}
		r.retries[j.router].Request()
		r.pending = append(r.pending, next)
		return
	}
	if !r.warm(j) {
		return
	}
	r.tally.Refused++
	for i, e := range r.engines {
		if !r.c.lost(i, r.now) && len(e.runs)+len(e.queued) < r.c.slots(i, r.now) {
			r.tally.False++
			return
		}
	}
}

// report carries the load of an upstream to a router, late.
func (r *routeRun) report(j *job) {
	e, vm, t := r.engines[j.engine], j.vm, r.tables[j.router]
	runs, limit, queue := e.limiter.Load()
	at, due := r.now, r.now.Add(r.c.lag)
	r.reports = append(r.reports, func(now kcrclock.Time) bool {
		if now < due {
			return false
		}
		t.Report(vm, kcrroute.Report{At: at, Inflight: runs, Limit: limit, Queue: queue, Ready: true})
		return true
	})
}

func (r *routeRun) deliverReports() {
	kept := r.reports[:0]
	for _, f := range r.reports {
		if !f(r.now) {
			kept = append(kept, f)
		}
	}
	r.reports = kept
}

func (r *routeRun) start(e *engineSim, j *job) {
	j.started = r.now
	prefill := prefillCold
	for i, p := range e.cache {
		if p == j.prefix {
			prefill = prefillHot
			e.cache = append(e.cache[:i], e.cache[i+1:]...)
			break
		}
	}
	e.cache = append(e.cache, j.prefix)
	if len(e.cache) > routeCache {
		e.cache = e.cache[1:]
	}
	factor := r.c.slow(j.engine, r.now) * r.crowd(e, j.engine)
	j.first = r.now.Add(kcrclock.Duration(float64(prefill) * factor))
	e.runs = append(e.runs, j)
	r.report(j)
}

// crowd is how much slower an engine is for running more than its slots.
func (r *routeRun) crowd(e *engineSim, i int) float64 {
	return max(1, float64(len(e.runs))/float64(r.c.slots(i, r.now)))
}

// step lets an engine work.
func (r *routeRun) step(i int) {
	e := r.engines[i]
	gap := tokenGap * r.c.slow(i, r.now) * r.crowd(e, i)
	kept := e.runs[:0]
	var over []*job
	for _, j := range e.runs {
		if r.c.lost(i, r.now) {
			over = append(over, j)
			continue
		}
		if r.advance(e, j, gap) {
			over = append(over, j)
			continue
		}
		kept = append(kept, j)
	}
	e.runs = kept
	for _, j := range over {
		r.end(e, j)
	}
	r.wake(e, 0)
}

// advance adds tokens to a run and tells whether it is finished.
func (r *routeRun) advance(e *engineSim, j *job, gap float64) bool {
	if r.now < j.first {
		return false
	}
	if j.done == 0 {
		e.limiter.First(r.now, j.first.Sub(j.started))
	}
	j.done += float64(routeStep) / gap
	if gap > gapAim {
		j.late++
	}
	e.limiter.Gap(r.now, kcrclock.Duration(gap))
	return j.done >= float64(j.tokens)
}

func (r *routeRun) end(e *engineSim, j *job) {
	r.tables[j.router].Finish(j.vm)
	r.wake(e, j.ticket)
	e.served++
	if !r.warm(j) || j.done < float64(j.tokens) {
		return
	}
	first := j.first.Sub(j.since)
	_ = r.tally.First.RecordValue(int64(first) + 1)
	steps := j.done * tokenGap / float64(routeStep)
	if first <= firstAim && float64(j.late) <= 0.05*steps {
		r.tally.Good++
	}
}

// wake ends a run at the limiter and starts what may start now.
func (r *routeRun) wake(e *engineSim, t kcrlimit.Ticket) {
	started, expired := e.limiter.Release(r.now, t)
	for _, t := range started {
		if j := e.queued[t]; j != nil {
			delete(e.queued, t)
			r.start(e, j)
		}
	}
	for _, t := range expired {
		if j := e.queued[t]; j != nil {
			delete(e.queued, t)
			r.tables[j.router].Finish(j.vm)
			r.tables[j.router].Refused(r.now, j.vm)
			r.again(j)
		}
	}
}

func (r *routeRun) spread() {
	var served []int
	sum := 0
	for _, e := range r.engines {
		served = append(served, e.served)
		sum += e.served
	}
	sort.Ints(served)
	r.tally.Spread = float64(served[len(served)-1]) * routeEngines / float64(max(1, sum))
}

type namedPolicy struct {
	name string
	make func() kcrroute.Policy
}

func policies() []namedPolicy {
	return []namedPolicy{
		{"cost", func() kcrroute.Policy { return kcrroute.ByCost }},
		{"turn", kcrroute.RoundRobin},
		{"report", func() kcrroute.Policy { return kcrroute.LeastReported }},
		{"two", func() kcrroute.Policy { return kcrroute.TwoChoices }},
	}
}

// Route prints the table of routing.
func Route(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%-22s %-8s %8s %8s %7s %8s %7s %8s %7s %7s %7s %7s\n",
		"cell", "policy", "requests", "good", "good %", "refused", "false", "retries", "p50", "p95", "p99", "spread")
	if err != nil {
		return err
	}
	rows := stream.New().WithMaxGoroutines(parallel)
	for _, c := range routeCells() {
		for _, p := range policies() {
			rows.Go(func() stream.Callback {
				t := newRouteRun(c, p.make, 1).run()
				return func() { err = errors.Join(err, t.print(w, c.name, p.name)) }
			})
		}
	}
	rows.Wait()
	return err
}

func (t RouteTally) print(w io.Writer, cell, policy string) error {
	_, err := fmt.Fprintf(w, "%-22s %-8s %8d %8d %7.2f %8d %7d %8.4f %7d %7d %7d %7.2f\n", cell, policy, t.Requests, t.Good,
		100*float64(t.Good)/float64(max(1, t.Requests)), t.Refused, t.False, float64(t.Retries)/float64(max(1, t.Requests)),
		t.First.ValueAtQuantile(50), t.First.ValueAtQuantile(95), t.First.ValueAtQuantile(99), t.Spread)
	return err
}
