// Package kcrmeasure compares the policies of kingcuprun with simpler ones under the
// same load and faults. It also measures how memory, processor time and bytes grow
// with the load; the capacity page is calculated from these slopes.
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

// This file measures budget schemes: overspending and false refusals in two regions,
// in a simulation with a clock of its own. Requests arrive at random times. A refusal
// is false if the budget still covered the request, given the full knowledge of every
// budget and of the length of every answer.

// Timing and sizes of the simulation, in tokens unless the name or the type says
// otherwise. A waiting request tries again to reserve tokens for at most maxReserveTime.
const (
	simulationStep   = 100 * kcrclock.Millisecond
	maxReserveTime   = 800 * kcrclock.Millisecond
	msPerToken       = 20
	promptTokens     = 200
	meanAnswerTokens = 250
	maxAnswerTokens  = 1024
	budgetDuration   = 2 * kcrclock.Hour
	regionCount      = 2
)

// deployment is the size of a simulated deployment.
type deployment struct {
	name              string
	sidecarsPerRegion int
	planCount         int
	requestsPerSecond float64
}

// deployments returns the deployments in the order of the table.
func deployments() []deployment {
	return []deployment{
		{name: "welkomkring", sidecarsPerRegion: 9, planCount: 10, requestsPerSecond: 20},
		{name: "turnos", sidecarsPerRegion: 9, planCount: 10, requestsPerSecond: 8},
	}
}

// scenario is a load with its faults: one row per scheme in the table.
type scenario struct {
	name string
	// regionBCut reports whether region B is cut off from the log, and logDown
	// whether the log is unavailable.
	regionBCut, logDown func(now kcrclock.Time) bool
	// capacityFactor scales the number of requests that can run at once.
	capacityFactor func(now kcrclock.Time) float64
	// minHours and maxHours are the range of how long a budget lasts at the mean load.
	minHours, maxHours float64
	killAt             kcrclock.Time // when the home of region A is killed, 0 for never
	topupAt            kcrclock.Time // when each budget gets 10% more, 0 for never
}

// between returns a function that reports whether a time is in a range. The range
// includes its start.
func between(from, to kcrclock.Duration) func(kcrclock.Time) bool {
	return func(now kcrclock.Time) bool { return now >= kcrclock.Time(from) && now < kcrclock.Time(to) }
}

// scenarios returns the scenarios in the order of the table.
func scenarios() []scenario {
	never := func(kcrclock.Time) bool { return false }
	full := func(kcrclock.Time) float64 { return 1 }
	half := func(now kcrclock.Time) float64 {
		if now > kcrclock.Time(kcrclock.Hour) {
			return 0.5
		}
		return 1
	}
	base := scenario{regionBCut: never, logDown: never, capacityFactor: full, minHours: 12, maxHours: 72}
	with := func(name string, change func(*scenario)) scenario {
		s := base
		s.name = name
		change(&s)
		return s
	}
	const mid = kcrclock.Time(kcrclock.Hour)
	return []scenario{
		with("calm", func(*scenario) {}),
		with("partition 10 min", func(s *scenario) {
			s.regionBCut = between(kcrclock.Hour, 70*kcrclock.Minute)
			s.topupAt = mid.Add(5 * kcrclock.Minute)
		}),
		with("log down 1 h", func(s *scenario) { s.logDown = between(30*kcrclock.Minute, 90*kcrclock.Minute) }),
		with("capacity halved", func(s *scenario) { s.capacityFactor = half }),
		with("home killed", func(s *scenario) { s.killAt = mid }),
		with("near the end", func(s *scenario) { s.minHours, s.maxHours = 0.5, 2 }),
		with("near the end, log down", func(s *scenario) {
			s.minHours, s.maxHours = 0.5, 2
			s.logDown = between(30*kcrclock.Minute, 90*kcrclock.Minute)
		}),
	}
}

// scheme is a way to enforce budgets. Reserve returns whether a request may run
// and, if granted, a function that settles it with the tokens used. LogLoad returns
// the number of appends to the log and their bytes.
type scheme struct {
	reserve func(now kcrclock.Time, r *budgetRequest) (settle func(used kcrid.Tokens), outcome reserveOutcome)
	tick    func(now kcrclock.Time)
	credit  func(plan int, tokens kcrid.Tokens)
	kill    func(now kcrclock.Time)
	logLoad func() (appends, bytes int)
}

// reserveOutcome is the outcome of a reservation. A pending request tries again.
type reserveOutcome int

const (
	granted reserveOutcome = iota + 1
	refused
	pending
)

// budgetRequest is a request that reserves tokens. Actual is the number of tokens that
// it will use; noPending is set when it can't wait any longer.
type budgetRequest struct {
	id        int
	plan      int
	region    int
	sidecar   int
	worstCase kcrid.Tokens
	actual    kcrid.Tokens
	arrivedAt kcrclock.Time
	noPending bool
}

// runningRequest is a granted request that has not ended.
type runningRequest struct {
	request *budgetRequest
	endsAt  kcrclock.Time
	settle  func(kcrid.Tokens)
}

// BudgetTally is the result of one scenario with one scheme.
type BudgetTally struct {
	Requests             int
	Served               int
	FalseRefusals        int
	EarlyFalseRefusals   int // false refusals while more than 2% of the budget was available
	FalselyRefusedTokens kcrid.Tokens
	Overspend            kcrid.Tokens
	AppendsPerSecond     float64
	BytesPerSecond       float64
}

// budgetSim is the simulation of one scenario with one scheme. The slices have one
// element per plan, but for running and waiting.
type budgetSim struct {
	deployment        deployment
	scenario          scenario
	scheme            scheme
	random            *rand.Rand
	prepaid           []kcrid.Tokens
	spent             []kcrid.Tokens // tokens of finished requests
	committed         []kcrid.Tokens // tokens that running requests will use
	planWeights       []float64
	regionAShare      []float64
	running           []runningRequest
	waiting           []*budgetRequest
	tally             BudgetTally
	lastID            int
	meanRequestTokens float64
}

// newBudgetSim returns a simulation whose random choices are determined by the seed. The plans
// get shares of the load that fall with their number, and budgets that last for a random
// time within the range of the scenario.
func newBudgetSim(d deployment, sc scenario, s scheme, seed uint64) *budgetSim {
	b := &budgetSim{deployment: d, scenario: sc, scheme: s, random: rand.New(rand.NewPCG(seed, seed)), meanRequestTokens: meanAnswerTokens + promptTokens}
	sum := 0.0
	for i := range d.planCount {
		w := 1 / float64(i+1)
		b.planWeights = append(b.planWeights, w)
		sum += w
	}
	for i := range d.planCount {
		b.planWeights[i] /= sum
		b.regionAShare = append(b.regionAShare, b.random.Float64())
		hours := sc.minHours + (sc.maxHours-sc.minHours)*b.random.Float64()
		tokens := kcrid.Tokens(b.planWeights[i] * d.requestsPerSecond * b.meanRequestTokens * hours * 3600)
		b.prepaid = append(b.prepaid, tokens)
		s.credit(i, tokens)
	}
	b.spent = make([]kcrid.Tokens, d.planCount)
	b.committed = make([]kcrid.Tokens, d.planCount)
	return b
}

// run simulates the whole duration and returns the result.
func (b *budgetSim) run() BudgetTally {
	for now := kcrclock.Time(0); now < kcrclock.Time(budgetDuration); now = now.Add(simulationStep) {
		b.applyEvents(now)
		b.scheme.tick(now)
		b.finishRequests(now)
		b.addArrivals(now)
		b.reserveWaiting(now)
	}
	appends, bytes := b.scheme.logLoad()
	b.tally.AppendsPerSecond = float64(appends) / budgetDuration.Seconds()
	b.tally.BytesPerSecond = float64(bytes) / budgetDuration.Seconds()
	return b.tally
}

// applyEvents kills the home and tops up the budgets at the times of the scenario.
func (b *budgetSim) applyEvents(now kcrclock.Time) {
	if b.scenario.killAt != 0 && now == b.scenario.killAt {
		b.scheme.kill(now)
	}
	if b.scenario.topupAt != 0 && now == b.scenario.topupAt {
		for i := range b.prepaid {
			extra := b.prepaid[i] / 10
			b.prepaid[i] += extra
			b.scheme.credit(i, extra)
		}
	}
}

// finishRequests settles the requests that have ended and counts tokens spent beyond the
// budget.
func (b *budgetSim) finishRequests(now kcrclock.Time) {
	kept := b.running[:0]
	for _, r := range b.running {
		if r.endsAt > now {
			kept = append(kept, r)
			continue
		}
		r.settle(r.request.actual)
		b.committed[r.request.plan] -= r.request.actual
		b.spent[r.request.plan] += r.request.actual
		over := b.spent[r.request.plan] - b.prepaid[r.request.plan]
		b.tally.Overspend += max(0, min(over, r.request.actual))
	}
	b.running = kept
}

// addArrivals adds the requests that arrive in one simulation step. Their number is
// random and has the mean of the deployment's rate.
func (b *budgetSim) addArrivals(now kcrclock.Time) {
	for expected := b.deployment.requestsPerSecond * simulationStep.Seconds(); b.random.Float64() < expected; expected-- {
		b.waiting = append(b.waiting, b.newRequest(now))
	}
}

// newRequest returns a request of a random plan, region, sidecar and answer length.
func (b *budgetSim) newRequest(now kcrclock.Time) *budgetRequest {
	b.lastID++
	plan, x := 0, b.random.Float64()
	for x > b.planWeights[plan] && plan < b.deployment.planCount-1 {
		x -= b.planWeights[plan]
		plan++
	}
	region := 0
	if b.random.Float64() > b.regionAShare[plan] {
		region = 1
	}
	answer := min(maxAnswerTokens, kcrid.Tokens(b.random.ExpFloat64()*meanAnswerTokens)+1)
	b.tally.Requests++
	return &budgetRequest{
		id: b.lastID, plan: plan, region: region, sidecar: b.random.IntN(b.deployment.sidecarsPerRegion),
		worstCase: promptTokens + maxAnswerTokens, actual: promptTokens + answer, arrivedAt: now,
	}
}

// maxRunning returns the number of requests that can run at once.
func (b *budgetSim) maxRunning(now kcrclock.Time) int {
	return int(2 * b.deployment.requestsPerSecond * meanAnswerTokens * msPerToken / 1000 * b.scenario.capacityFactor(now))
}

// reserveWaiting reserves tokens for each waiting request. A request that finds no
// free capacity is dropped.
func (b *budgetSim) reserveWaiting(now kcrclock.Time) {
	kept := b.waiting[:0]
	for _, request := range b.waiting {
		if len(b.running) >= b.maxRunning(now) {
			continue
		}
		request.noPending = now.Sub(request.arrivedAt) >= maxReserveTime
		settle, outcome := b.scheme.reserve(now, request)
		switch outcome {
		case granted:
			b.tally.Served++
			b.committed[request.plan] += request.actual
			length := kcrclock.Duration(request.actual * msPerToken)
			b.running = append(b.running, runningRequest{request: request, endsAt: now.Add(length), settle: settle})
		case pending:
			kept = append(kept, request)
		case refused:
			b.countRefusal(request)
		}
	}
	b.waiting = kept
}

// countRefusal counts a refusal if it was false.
func (b *budgetSim) countRefusal(request *budgetRequest) {
	available := b.prepaid[request.plan] - b.spent[request.plan] - b.committed[request.plan]
	if available < request.actual {
		return
	}
	b.tally.FalseRefusals++
	b.tally.FalselyRefusedTokens += request.actual
	if float64(available) > math.Max(0.02*float64(b.prepaid[request.plan]), float64(request.worstCase)) {
		b.tally.EarlyFalseRefusals++
	}
}

// PrintBudgetTable prints the table of budgets.
func PrintBudgetTable(w io.Writer) error {
	_, err := fmt.Fprintf(w, "%-12s %-24s %-12s %9s %9s %9s %8s %9s %11s %9s %9s\n",
		"deployment", "cell", "policy", "requests", "served", "false", "false %", "early", "overspend", "appends/s", "log B/s")
	if err != nil {
		return err
	}
	rows := stream.New().WithMaxGoroutines(maxParallelScenarios)
	for _, d := range deployments() {
		for _, sc := range scenarios() {
			for _, s := range schemes() {
				rows.Go(func() stream.Callback {
					t := newBudgetSim(d, sc, s.newScheme(d, sc), 1).run()
					return func() { err = errors.Join(err, t.print(w, d.name, sc.name, s.name)) }
				})
			}
		}
	}
	rows.Wait()
	return err
}

// maxParallelScenarios limits how many simulations run at the same time.
const maxParallelScenarios = 4

// print prints the row of a result.
func (t BudgetTally) print(w io.Writer, deploymentName, scenarioName, policy string) error {
	_, err := fmt.Fprintf(w, "%-12s %-24s %-12s %9d %9d %9d %8.3f %9d %11d %9.2f %9.0f\n", deploymentName, scenarioName, policy,
		t.Requests, t.Served, t.FalseRefusals, 100*float64(t.FalseRefusals)/float64(t.Requests), t.EarlyFalseRefusals, t.Overspend, t.AppendsPerSecond, t.BytesPerSecond)
	return err
}

// planName returns the name of the plan with a number.
func planName(i int) kcrid.Plan { return kcrid.Plan(fmt.Sprintf("plan-%d", i)) }

// namedScheme is a scheme under its name in the table. NewScheme returns it for one run.
type namedScheme struct {
	name      string
	newScheme func(deployment, scenario) scheme
}

// schemes returns the schemes in the order of the table.
func schemes() []namedScheme {
	return []namedScheme{
		{"demand", func(d deployment, s scenario) scheme {
			return escrow(s, kcrbudget.DemandPolicy(kcrbudget.DefaultDemandHorizon))
		}},
		{"split", staticSplit},
		{"takes all", func(_ deployment, s scenario) scheme { return escrow(s, claimAll()) }},
		{"per request", perRequest},
		{"lagged", lagged},
	}
}

// claimAll returns a policy with which the first home claims the whole budget and keeps
// it.
func claimAll() kcrbudget.Policy {
	return kcrbudget.Policy{
		Target:          func(v kcrbudget.PlanView) kcrid.Tokens { return v.Available + v.Free },
		ReturnForOthers: func(kcrbudget.PlanView, kcrid.Tokens) kcrid.Tokens { return 0 },
	}
}
