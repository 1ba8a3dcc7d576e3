package kcrmeasure

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
	"google.golang.org/protobuf/proto"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrintent"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/kernel/kcrroute"
	"kingcuprun.example/link/kcrwire"
)

// This file measures how memory, processor time and bytes grow with the number of
// budgets, upstreams, changes and requests. The capacity page is calculated from these
// slopes.

// slopeSidecar is the sidecar of all reservations.
const slopeSidecar = kcrid.Incarnation("server")

// point is a measurement at one size.
type point struct {
	size  float64
	value float64
}

// printFit fits a line to points, and prints them with the line and the largest
// residual.
func printFit(w io.Writer, title, unit string, points []point) error {
	xs, ys := make([]float64, len(points)), make([]float64, len(points))
	var labels []string
	for i, p := range points {
		xs[i], ys[i] = p.size, p.value
		labels = append(labels, fmt.Sprintf("%.0f: %.4g", p.size, p.value))
	}
	alpha, beta := stat.LinearRegression(xs, ys, nil, false)
	largestResidual := 0.0
	for i := range xs {
		if r := ys[i] - alpha - beta*xs[i]; r*r > largestResidual*largestResidual {
			largestResidual = r
		}
	}
	_, err := fmt.Fprintf(w, "%-52s %-6s | %-52s | %.4g + %.4g n | residual %.3g\n", title, unit, strings.Join(labels, "  "), alpha, beta, largestResidual)
	return err
}

// heapBytes returns the heap bytes in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapGrowth returns by how many bytes the heap grows when a value is built.
func heapGrowth(build func() any) float64 {
	before := heapBytes()
	v := build()
	after := heapBytes()
	runtime.KeepAlive(v)
	return max(0, after-before)
}

// nanosecondsPerCall returns the mean duration of n calls.
func nanosecondsPerCall(n int, call func(i int)) float64 {
	start := time.Now()
	for i := range n {
		call(i)
	}
	return float64(time.Since(start).Nanoseconds()) / float64(n)
}

// newFundedHome returns a home with one open sidecar and the given number of plans,
// each of which has tokens and a first reservation.
func newFundedHome(plans int) *kcrbudget.Home {
	h := kcrbudget.NewHome(kcrbudget.HomeConfig{
		Self: "home", Rules: kcrbudget.DefaultHomeRules(), LedgerRules: kcrbudget.DefaultLedgerRules(),
		Policy: kcrbudget.DemandPolicy(kcrbudget.DefaultDemandHorizon),
	})
	h.MarkReady()
	h.Open([]kcrid.Incarnation{slopeSidecar})
	for i := range plans {
		h.Credit(planName(i), "first", 1<<40)
	}
	off := kcrid.Offset(0)
	applyPendingRecords(h, &off)
	for i := range plans {
		h.Reserve(0, kcrbudget.ReserveRequest{Call: callOf(-i - 1), Plan: planName(i), Server: slopeSidecar, WorstCase: 1000})
	}
	applyPendingRecords(h, &off)
	return h
}

// callOf returns a call whose key ends in a number.
func callOf(i int) kcrid.CallID {
	return kcrid.CallID{Team: "team", Key: kcrid.IdempotencyKey(fmt.Sprint("key-", i))}
}

// applyPendingRecords applies the pending records of a home to the same home, as if they
// had been appended to the log and read back.
func applyPendingRecords(h *kcrbudget.Home, off *kcrid.Offset) {
	for {
		records, _ := h.Batch(4096)
		if len(records) == 0 {
			return
		}
		for _, data := range records {
			e, err := kcrlog.DecodeEntry(data)
			if err != nil {
				panic(err)
			}
			*off++
			h.Apply(0, *off, e)
		}
	}
}

// newListState returns the state of the lists with the given number of plans.
func newListState(plans int) *kcrlist.State {
	s := kcrlist.NewState(kcrlist.DefaultRules())
	var c kcrlist.Change
	for i := range plans {
		name := planName(i)
		c.Set = append(c.Set, kcrlist.PlanConfig{
			Plan:      kcrlist.Plan{Name: name, Team: kcrid.Team(fmt.Sprint("team-", i%360)), Keys: []string{kcrlist.APIKeyDigest(string(name))}, TopUps: []kcrlist.TopUp{{Name: "first", Tokens: 1000}}},
			Allowance: kcrlist.Allowance{Plan: name, Models: []kcrid.Model{"model-1", "model-2"}, Priority: 1, MaxAnswerTokens: 4096},
		})
	}
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	s.Apply(1, &kcrentry.Entry{Kind: &kcrentry.Entry_Publish{Publish: &kcrentry.Publish{Change: data}}})
	return s
}

// newRouteTable returns a routing table with the given number of upstreams, in 6 zones
// and of 27 services.
func newRouteTable(upstreams int) *kcrroute.Table {
	t := kcrroute.New(kcrroute.Location{Zone: zoneName(0), Region: routeRegion}, kcrroute.LeastCost, rand.IntN)
	var ups []kcrroute.Upstream
	for i := range upstreams {
		ups = append(ups, kcrroute.Upstream{
			VM: kcrid.VM(fmt.Sprint("vm-", i)), Addr: "10.0.0.1:1000", Zone: zoneName(i % 6), Region: routeRegion,
			Service: kcrid.Service(fmt.Sprint("service-", i%27)),
		})
	}
	t.Update(ups)
	return t
}

// PrintSlopeTable prints the table of slopes and the sizes of records and messages.
func PrintSlopeTable(w io.Writer) error {
	for _, f := range []func(io.Writer) error{homeSlopes, listSlopes, routeSlopes, requestSlopes, printSizes} {
		if err := f(w); err != nil {
			return err
		}
	}
	return nil
}

// homeSlopes prints how the costs of a home grow with the number of budgets.
func homeSlopes(w io.Writer) error {
	var memory, reserve, tick, snapshotSize []point
	for _, n := range []int{100, 1000, 5000} {
		memory = append(memory, point{float64(n), heapGrowth(func() any { return newFundedHome(n) })})
		h := newFundedHome(n)
		id := uint64(n)
		reserve = append(reserve, point{float64(n), nanosecondsPerCall(20000, func(i int) {
			result := h.Reserve(0, kcrbudget.ReserveRequest{Call: callOf(i), Plan: planName(i % n), Server: slopeSidecar, WorstCase: 100})
			id = result.ID
			h.Settle(0, slopeSidecar, kcrbudget.SettlementReport{Settlements: []kcrbudget.Settlement{{ID: id, Call: callOf(i), Plan: planName(i % n), Tokens: 50, Outcome: kcrbudget.Complete}}})
		})})
		tick = append(tick, point{float64(n), nanosecondsPerCall(20, func(i int) { h.Tick(kcrclock.Time(i) * 1000) })})
		_, data, err := h.Snapshot()
		if err != nil {
			return err
		}
		snapshotSize = append(snapshotSize, point{float64(n), float64(len(data))})
	}
	if err := printFit(w, "home: memory against budgets", "B", memory); err != nil {
		return err
	}
	if err := printFit(w, "home: a reservation and its settlement", "ns", reserve); err != nil {
		return err
	}
	if err := printFit(w, "home: a tick (once a second)", "ns", tick); err != nil {
		return err
	}
	return printFit(w, "home: snapshot against budgets", "B", snapshotSize)
}

// listSlopes prints how the costs of the lists grow with the number of plans.
func listSlopes(w io.Writer) error {
	var memory, snapshotSize, lookup []point
	for _, n := range []int{1000, 5000, 19000} {
		memory = append(memory, point{float64(n), heapGrowth(func() any { return newListState(n) })})
		s := newListState(n)
		_, data, err := s.Snapshot()
		if err != nil {
			return err
		}
		snapshotSize = append(snapshotSize, point{float64(n), float64(len(data))})
		lookup = append(lookup, point{float64(n), nanosecondsPerCall(20000, func(i int) { s.PlanByAPIKey(string(planName(i % n))) })})
	}
	if err := printFit(w, "lists: memory against plans", "B", memory); err != nil {
		return err
	}
	if err := printFit(w, "lists: snapshot against plans", "B", snapshotSize); err != nil {
		return err
	}
	return printFit(w, "lists: an API key looked up", "ns", lookup)
}

// routeSlopes prints how the costs of a routing table grow with the number of upstreams.
func routeSlopes(w io.Writer) error {
	var memory, choice []point
	for _, n := range []int{54, 216, 600} {
		memory = append(memory, point{float64(n), heapGrowth(func() any { return newRouteTable(n) })})
		t := newRouteTable(n)
		choice = append(choice, point{float64(n), nanosecondsPerCall(5000, func(i int) {
			c := t.Choose(0, kcrroute.Request{Service: kcrid.Service(fmt.Sprint("service-", i%27)), PrefixHash: kcrid.ContentHash(i)})
			t.Finish(c.VM)
		})})
	}
	if err := printFit(w, "router: memory of the table against upstreams", "B", memory); err != nil {
		return err
	}
	return printFit(w, "router: a choice among 1/27 of the upstreams", "ns", choice)
}

// requestSlopes prints how memory grows with remembered calls, intents and metered plans.
func requestSlopes(w io.Writer) error {
	var calls, intents, meter []point
	for _, n := range []int{1000, 10000, 50000} {
		calls = append(calls, point{float64(n), heapGrowth(func() any { return newHomeWithCalls(n) })})
		intents = append(intents, point{float64(n), heapGrowth(func() any { return newCallTableWithCalls(n) })})
		meter = append(meter, point{float64(n), heapGrowth(func() any { return newMeterWithPlans(n) })})
	}
	if err := printFit(w, "home: memory against calls remembered for 10 min", "B", calls); err != nil {
		return err
	}
	if err := printFit(w, "sidecar: intents remembered", "B", intents); err != nil {
		return err
	}
	return printFit(w, "sidecar: meter against plans served", "B", meter)
}

// newHomeWithCalls returns a home that remembers settled calls.
func newHomeWithCalls(calls int) *kcrbudget.Home {
	h := newFundedHome(1)
	for i := range calls {
		result := h.Reserve(0, kcrbudget.ReserveRequest{Call: callOf(i), Plan: planName(0), Server: slopeSidecar, WorstCase: 1})
		h.Settle(0, slopeSidecar, kcrbudget.SettlementReport{Settlements: []kcrbudget.Settlement{{ID: result.ID, Call: callOf(i), Plan: planName(0), Outcome: kcrbudget.Complete}}})
	}
	return h
}

// newCallTableWithCalls returns a call table with one intent for each call.
func newCallTableWithCalls(calls int) *kcrintent.CallTable {
	t := kcrintent.NewCallTable(kcrintent.DefaultRules(), kcrintent.MaxCalls)
	for i := range calls {
		c := callOf(i)
		t.Apply(kcrid.Offset(i+1), &kcrentry.Entry{Writer: "desk", Seq: uint64(i + 1), Kind: &kcrentry.Entry_Intent{Intent: &kcrentry.Intent{Team: string(c.Team), Key: string(c.Key)}}})
	}
	return t
}

// newMeterWithPlans returns a meter that has served one request of each plan.
func newMeterWithPlans(plans int) *kcrbudget.Meter {
	m := kcrbudget.NewMeter(kcrbudget.DefaultMeterRules())
	for i := range plans {
		if err := m.Begin("holder", uint64(i+1), planName(i), 1); err != nil {
			panic(err)
		}
		m.End("holder", uint64(i+1))
		m.BarUpTo("holder", uint64(i+1))
	}
	return m
}

// Names of typical length for the sizes of records and messages.
const (
	exampleVM     = "assistant-llm-117/ABCDEFGHIJ"
	exampleHolder = "assistant-llm-117/ABCDEFGHIJ/201/3"
	exampleKey    = "req-ABCDEFGHIJKLMNOP"
	examplePlan   = "plan-12345"
	exampleTeam   = "team-123"
)

// printSizes prints the encoded sizes of records and messages.
func printSizes(w io.Writer) error {
	entry := func(e *kcrentry.Entry) int {
		e.Writer, e.Seq = exampleHolder, 100_000
		return proto.Size(e)
	}
	change, err := kcrlist.Change{Set: []kcrlist.PlanConfig{{
		Plan:      kcrlist.Plan{Name: examplePlan, Team: exampleTeam, Keys: []string{kcrlist.APIKeyDigest("x")}, TopUps: []kcrlist.TopUp{{Name: "2026-12", Tokens: 1 << 30}, {Name: "2027-01", Tokens: 1 << 30}}},
		Allowance: kcrlist.Allowance{Plan: examplePlan, Models: []kcrid.Model{"model-1", "model-2"}, Priority: 1, MaxAnswerTokens: 4096},
	}}}.Encode()
	if err != nil {
		return err
	}
	rows := []struct {
		name string
		size int
	}{
		{"record: a claim", entry(&kcrentry.Entry{Kind: &kcrentry.Entry_Claim{Claim: &kcrentry.Claim{Plan: examplePlan, Tokens: 1 << 30}}})},
		{"record: a mark", entry(&kcrentry.Entry{Kind: &kcrentry.Entry_Mark{Mark: &kcrentry.Mark{Plan: examplePlan, Back: 1 << 20, Spent: 1 << 30}}})},
		{"record: a bill", entry(&kcrentry.Entry{Kind: &kcrentry.Entry_Bill{Bill: &kcrentry.Bill{Team: exampleTeam, Plan: examplePlan, Key: exampleKey, Tokens: 400, Server: exampleVM, State: string(kcrbudget.Complete)}}})},
		{"record: an intent", entry(&kcrentry.Entry{Kind: &kcrentry.Entry_Intent{Intent: &kcrentry.Intent{Team: exampleTeam, Key: exampleKey, Seen: 1 << 20, Digest: 1 << 60}}})},
		{"record: an answer kept, 200 bytes", entry(&kcrentry.Entry{Kind: &kcrentry.Entry_Done{Done: &kcrentry.Done{Team: exampleTeam, Key: exampleKey, Status: 200, Type: "application/json", Body: make([]byte, 200)}}})},
		{"record: a change of one plan", entry(&kcrentry.Entry{Kind: &kcrentry.Entry_Publish{Publish: &kcrentry.Publish{Base: 1 << 20, Change: change}}})},
		{"record: an open sidecar", entry(&kcrentry.Entry{Kind: &kcrentry.Entry_Open{Open: &kcrentry.Open{Servers: []string{exampleVM}}}})},
		{"message: reserve and its answer", proto.Size(&kcrwire.Request{Kind: &kcrwire.Request_Reserve{Reserve: &kcrwire.Reserve{Team: exampleTeam, Plan: examplePlan, Key: exampleKey, Server: exampleVM, Addr: "10.0.0.1:21000", Worst: 2000}}}) +
			proto.Size(&kcrwire.Reply{Kind: &kcrwire.Reply_Reserved{Reserved: &kcrwire.Reserved{Code: "granted", Holder: exampleHolder, Id: 100_000}}})},
		{"message: settle of one line and its answer", proto.Size(&kcrwire.Request{Kind: &kcrwire.Request_Settle{Settle: &kcrwire.Settle{Server: exampleVM, Holder: exampleHolder, Floor: 100_000, Held: []uint64{100_000, 100_001}, Lines: []*kcrwire.Line{{Id: 100_000, Team: exampleTeam, Plan: examplePlan, Key: exampleKey, Tokens: 400, State: string(kcrbudget.Complete)}}}}}) +
			proto.Size(&kcrwire.Reply{Kind: &kcrwire.Reply_Settled{Settled: &kcrwire.Settled{Taken: []uint64{100_000}, Durable: []uint64{100_000}, Last: 100_002}}})},
		{"message: load and its answer", proto.Size(&kcrwire.Request{Kind: &kcrwire.Request_Load{Load: &kcrwire.Load{}}}) +
			proto.Size(&kcrwire.Reply{Kind: &kcrwire.Reply_Loaded{Loaded: &kcrwire.Loaded{Server: exampleVM, Inflight: 20, Limit: 30, Ready: true, Version: 100_000, Seen: 100_000}}})},
	}
	for _, r := range rows {
		if _, err := fmt.Fprintf(w, "%-52s %d B\n", r.name, r.size); err != nil {
			return err
		}
	}
	return nil
}
