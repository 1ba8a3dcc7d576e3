// Package kcrmeasure measures the policies of kingcuprun against simpler ones
// under the same load and faults, and the slopes from which the capacity page
// is worked out.
package kcrmeasure

import (
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"

	"github.com/sourcegraph/conc/stream"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file measures budgets: overspend and false refusals in two regions.
// Requests arrive at random; an observer who knows every budget and every
// answer in advance says which refusals were false.

// Timing and sizes of the measurement.
const (
	stepTime     = 100 * kcrclock.Millisecond
	askTime      = 800 * kcrclock.Millisecond
	tokenTime    = 20 // ms a token
	promptTokens = 200
	answerMean   = 250
	answerMost   = 1024
	budgetTime   = 2 * kcrclock.Hour
	regions      = 2
)

// deployment is the size of a budget measurement.
type deployment struct {
	name    string
	servers int // a region
	plans   int
	rate    float64 // requests a second
}

func deployments() []deployment {
	return []deployment{
		{name: "welkomkring", servers: 9, plans: 10, rate: 20},
		{name: "turnos", servers: 9, plans: 10, rate: 8},
	}
}

// cell is a kind of trouble.
type cell struct {
	name string
	// cutB tells whether region B is cut from the log, and down whether the
	// log is down.
	cutB, down func(now kcrclock.Time) bool
	// slots scales the capacity.
	slots func(now kcrclock.Time) float64
	// hours is the range of how long budgets last.
	low, high float64
	kill      kcrclock.Time // of the home in region A, 0 for never
	topup     kcrclock.Time // of every budget, 0 for never
}

func between(from, to kcrclock.Duration) func(kcrclock.Time) bool {
	return func(now kcrclock.Time) bool { return now >= kcrclock.Time(from) && now < kcrclock.Time(to) }
}

func cells() []cell {
	never := func(kcrclock.Time) bool { return false }
	full := func(kcrclock.Time) float64 { return 1 }
	half := func(now kcrclock.Time) float64 {
		if now > kcrclock.Time(kcrclock.Hour) {
			return 0.5
		}
		return 1
	}
	base := cell{cutB: never, down: never, slots: full, low: 12, high: 72}
	with := func(name string, change func(*cell)) cell {
		c := base
		c.name = name
		change(&c)
		return c
	}
	const mid = kcrclock.Time(kcrclock.Hour)
	return []cell{
		with("calm", func(*cell) {}),
		with("partition 10 min", func(c *cell) {
			c.cutB = between(kcrclock.Hour, 70*kcrclock.Minute)
			c.topup = mid.Add(5 * kcrclock.Minute)
		}),
		with("log down 1 h", func(c *cell) { c.down = between(30*kcrclock.Minute, 90*kcrclock.Minute) }),
		with("capacity halved", func(c *cell) { c.slots = half }),
		with("home killed", func(c *cell) { c.kill = mid }),
		with("near the end", func(c *cell) { c.low, c.high = 0.5, 2 }),
		with("near the end, log down", func(c *cell) {
			c.low, c.high = 0.5, 2
			c.down = between(30*kcrclock.Minute, 90*kcrclock.Minute)
		}),
	}
}

// scheme is a way to keep budgets. Reserve returns a settlement and whether
// the request may run; later means that it should ask again.
type scheme struct {
	reserve func(now kcrclock.Time, r *ask) (settle func(used kcrid.Tokens), verdict verdict)
	tick    func(now kcrclock.Time)
	credit  func(plan int, tokens kcrid.Tokens)
	kill    func(now kcrclock.Time)
	control func() (appends, bytes int)
}

type verdict int

const (
	granted verdict = iota + 1
	refused
	later
)

// ask is a request that wants to run.
type ask struct {
	id     int
	plan   int
	region int
	server int
	worst  kcrid.Tokens
	actual kcrid.Tokens
	since  kcrclock.Time
	last   bool
}

// running is a request that was granted.
type running struct {
	ask    *ask
	ends   kcrclock.Time
	settle func(kcrid.Tokens)
}

// Tally is the outcome of one cell.
type Tally struct {
	Requests    int
	Served      int
	False       int
	FalseEarly  int // of them, while more than 2% of the budget was left
	FalseTokens kcrid.Tokens
	Overspend   kcrid.Tokens
	Appends     float64 // a second
	Bytes       float64 // a second
}

// budgetRun is one cell with one scheme.
type budgetRun struct {
	d       deployment
	c       cell
	s       scheme
	random  *rand.Rand
	prepaid []kcrid.Tokens
	spent   []kcrid.Tokens // finished
	held    []kcrid.Tokens // what running requests will spend
	weights []float64
	shareA  []float64
	runs    []running
	waiting []*ask
	tally   Tally
	nextID  int
	mean    float64
}

func newBudgetRun(d deployment, c cell, s scheme, seed uint64) *budgetRun {
	b := &budgetRun{d: d, c: c, s: s, random: rand.New(rand.NewPCG(seed, seed)), mean: answerMean + promptTokens}
	sum := 0.0
	for i := range d.plans {
		w := 1 / float64(i+1)
		b.weights = append(b.weights, w)
		sum += w
	}
	for i := range d.plans {
		b.weights[i] /= sum
		b.shareA = append(b.shareA, b.random.Float64())
		hours := c.low + (c.high-c.low)*b.random.Float64()
		tokens := kcrid.Tokens(b.weights[i] * d.rate * b.mean * hours * 3600)
		b.prepaid = append(b.prepaid, tokens)
		s.credit(i, tokens)
	}
	b.spent = make([]kcrid.Tokens, d.plans)
	b.held = make([]kcrid.Tokens, d.plans)
	return b
}

func (b *budgetRun) run() Tally {
	for now := kcrclock.Time(0); now < kcrclock.Time(budgetTime); now = now.Add(stepTime) {
		b.events(now)
		b.s.tick(now)
		b.finish(now)
		b.arrive(now)
		b.try(now)
	}
	appends, bytes := b.s.control()
	b.tally.Appends = float64(appends) / budgetTime.Seconds()
	b.tally.Bytes = float64(bytes) / budgetTime.Seconds()
	return b.tally
}

func (b *budgetRun) events(now kcrclock.Time) {
	if b.c.kill != 0 && now == b.c.kill {
		b.s.kill(now)
	}
	if b.c.topup != 0 && now == b.c.topup {
		for i := range b.prepaid {
			extra := b.prepaid[i] / 10
			b.prepaid[i] += extra
			b.s.credit(i, extra)
		}
	}
}

func (b *budgetRun) finish(now kcrclock.Time) {
	kept := b.runs[:0]
	for _, r := range b.runs {
		if r.ends > now {
			kept = append(kept, r)
			continue
		}
		r.settle(r.ask.actual)
		b.held[r.ask.plan] -= r.ask.actual
		b.spent[r.ask.plan] += r.ask.actual
		over := b.spent[r.ask.plan] - b.prepaid[r.ask.plan]
		b.tally.Overspend += max(0, min(over, r.ask.actual))
	}
	b.runs = kept
}

// arrive lets requests come in, at random times.
func (b *budgetRun) arrive(now kcrclock.Time) {
	for left := b.d.rate * stepTime.Seconds(); b.random.Float64() < left; left-- {
		b.waiting = append(b.waiting, b.newAsk(now))
	}
}

func (b *budgetRun) newAsk(now kcrclock.Time) *ask {
	b.nextID++
	plan, x := 0, b.random.Float64()
	for x > b.weights[plan] && plan < b.d.plans-1 {
		x -= b.weights[plan]
		plan++
	}
	region := 0
	if b.random.Float64() > b.shareA[plan] {
		region = 1
	}
	answer := min(answerMost, kcrid.Tokens(b.random.ExpFloat64()*answerMean)+1)
	b.tally.Requests++
	return &ask{
		id: b.nextID, plan: plan, region: region, server: b.random.IntN(b.d.servers),
		worst: promptTokens + answerMost, actual: promptTokens + answer, since: now,
	}
}

// slots is the number of requests that can run at once.
func (b *budgetRun) slots(now kcrclock.Time) int {
	return int(2 * b.d.rate * answerMean * tokenTime / 1000 * b.c.slots(now))
}

func (b *budgetRun) try(now kcrclock.Time) {
	kept := b.waiting[:0]
	for _, a := range b.waiting {
		if len(b.runs) >= b.slots(now) {
			continue
		}
		a.last = now.Sub(a.since) >= askTime
		settle, v := b.s.reserve(now, a)
		switch v {
		case granted:
			b.tally.Served++
			b.held[a.plan] += a.actual
			length := kcrclock.Duration(a.actual * tokenTime)
			b.runs = append(b.runs, running{ask: a, ends: now.Add(length), settle: settle})
		case later:
			kept = append(kept, a)
		case refused:
			b.judge(a)
		}
	}
	b.waiting = kept
}

// judge says whether a refusal was false.
func (b *budgetRun) judge(a *ask) {
	left := b.prepaid[a.plan] - b.spent[a.plan] - b.held[a.plan]
	if left < a.actual {
		return
	}
	b.tally.False++
	b.tally.FalseTokens += a.actual
	if float64(left) > math.Max(0.02*float64(b.prepaid[a.plan]), float64(a.worst)) {
		b.tally.FalseEarly++
	}
}

// Budget prints the table of budgets.
func Budget(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%-12s %-24s %-12s %9s %9s %9s %8s %9s %11s %9s %9s\n",
		"deployment", "cell", "policy", "requests", "served", "false", "false %", "early", "overspend", "appends/s", "log B/s")
	if err != nil {
		return err
	}
	rows := stream.New().WithMaxGoroutines(parallel)
	for _, d := range deployments() {
		for _, c := range cells() {
			for _, s := range schemes() {
				rows.Go(func() stream.Callback {
					t := newBudgetRun(d, c, s.make(d, c), 1).run()
					return func() { err = errors.Join(err, t.print(w, d.name, c.name, s.name)) }
				})
			}
		}
	}
	rows.Wait()
	return err
}

// parallel is how many cells are measured at once.
const parallel = 4

func (t Tally) print(w io.Writer, deployment, cell, policy string) error {
	_, err := fmt.Fprintf(w, "%-12s %-24s %-12s %9d %9d %9d %8.3f %9d %11d %9.2f %9.0f\n", deployment, cell, policy,
		t.Requests, t.Served, t.False, 100*float64(t.False)/float64(t.Requests), t.FalseEarly, t.Overspend, t.Appends, t.Bytes)
	return err
}

func planName(i int) kcrid.Plan { return kcrid.Plan(fmt.Sprintf("plan-%d", i)) }

// named makes a scheme for a cell.
type named struct {
	name string
	make func(deployment, cell) scheme
}

func schemes() []named {
	return []named{
		{"demand", func(d deployment, c cell) scheme { return escrow(c, kcrbudget.ByDemand(kcrbudget.DefaultHorizon)) }},
		{"split", staticSplit},
		{"takes all", func(_ deployment, c cell) scheme { return escrow(c, takesAll()) }},
		{"per request", perRequest},
		{"lagged", lagged},
	}
}

// takesAll lets the first home take the whole budget and keep it.
func takesAll() kcrbudget.Policy {
	return kcrbudget.Policy{
		Target: func(v kcrbudget.View) kcrid.Tokens { return v.Available + v.Free },
		Spare:  func(kcrbudget.View, kcrid.Tokens) kcrid.Tokens { return 0 },
	}
}
