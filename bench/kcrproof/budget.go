// Package kcrproof checks the invariants of kingcuprun under generated faults.
//
// It runs the decision code of the kernel in one goroutine with a simulated
// clock and small fakes for the log and the messages. Every random choice comes
// from one source, which the seed determines, so that a schedule can be repeated.
// Each check is also made against mutants, which are rule sets with one safeguard
// removed, to show that the check can fail.
package kcrproof

import (
	"fmt"
	"slices"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the simulation of the budget proof: two regions with homes
// and sidecars, one bucket, and a log. A home is the process that reserves tokens
// of a bucket for sidecars; a sidecar serves requests within its reservations.
// Invariant after every step: for each plan, the tokens served so far never
// exceed the top-ups on the log so far. Invariant at the end: each request that
// was answered in full is billed once.

// Pick returns a number from 0 to n-1. It is the only source of choices in a
// simulation.
type Pick func(n int) int

// BudgetRules holds the safeguards that the budget proof checks. A mutant
// replaces one of them.
type BudgetRules struct {
	Ledger kcrbudget.LedgerRules
	Home   kcrbudget.HomeRules
	Meter  kcrbudget.MeterRules
}

// DefaultBudgetRules returns the rules that production uses.
func DefaultBudgetRules() BudgetRules {
	return BudgetRules{
		Ledger: kcrbudget.DefaultLedgerRules(),
		Home:   kcrbudget.DefaultHomeRules(),
		Meter:  kcrbudget.DefaultMeterRules(),
	}
}

// Sizes of the simulation, in tokens where a name says so. A fault ends in each
// step with a probability of 1 in meanLogOutageSteps or 1 in meanNodeFaultSteps.
const (
	planCount          = 2
	regionCount        = 2
	sidecarsPerRegion  = 2
	topupTokens        = 500
	maxWorstCaseTokens = 40
	maxQueuedMessages  = 400
	maxHomes           = 6
	meanLogOutageSteps = 80
	meanNodeFaultSteps = 250
)

// homeNode is a home and the faults that it suffers. Cursor is the number of log
// records it has read; a frozen home does nothing; skew is the error of its clock.
// Replaced is set once a new home was started because this one was fenced.
type homeNode struct {
	home       *kcrbudget.Home
	region     int
	cursor     int
	killed     bool
	frozen     bool
	cutFromLog bool
	skew       kcrclock.Duration

	replaced bool
}

// sidecarNode is a sidecar. PendingReserves holds the numbers of its reserve
// requests that have no result yet. BarredUpTo holds, for each home, the newest
// reservation that the home named in a receipt; the sidecar begins none of the
// reservations up to it any more.
type sidecarNode struct {
	name               kcrid.Incarnation
	region             int
	meter              *kcrbudget.Meter
	killed             bool
	pendingReserves    map[int]bool
	runs               []*runningRequest
	pendingSettlements []*pendingSettlement
	barredUpTo         map[kcrid.Incarnation]uint64
}

// runningRequest is a request that an upstream serves under a reservation.
type runningRequest struct {
	holder      kcrid.Incarnation
	home        *homeNode
	reservation uint64
	call        kcrid.CallID
	plan        kcrid.Plan
	remaining   kcrid.Tokens // tokens that the upstream has yet to produce
}

// pendingSettlement is a settlement that its home has not acknowledged.
type pendingSettlement struct {
	home       *homeNode
	settlement kcrbudget.Settlement
}

// budgetSim is the simulation of the budget proof. Served and prepaid count tokens
// by plan; completeAnswers holds the tokens of each call that was answered in full.
// Serial numbers the homes, sidecars and reserve requests.
type budgetSim struct {
	pick            Pick
	rules           BudgetRules
	now             kcrclock.Time
	log             []*kcrentry.Entry
	statement       *kcrbudget.Statement
	billSeq         uint64
	logDown         bool
	homes           []*homeNode
	sidecars        []*sidecarNode
	queue           messageQueue
	served          map[kcrid.Plan]kcrid.Tokens
	prepaid         map[kcrid.Plan]kcrid.Tokens
	knownTopups     map[string]bool
	topups          []*kcrentry.Credit
	completeAnswers map[kcrid.CallID]kcrid.Tokens
	serial          int
	callCount       int

	killedSidecars []kcrid.Incarnation
	killedHomes    map[kcrid.Incarnation]bool
	violation      error
}

// CheckBudget runs the given number of steps, then half as many without faults,
// and returns the first violation. Served is the number of tokens served, which
// shows that the simulation did some work.
func CheckBudget(rules BudgetRules, pick Pick, steps int) (served int, err error) {
	sim := &budgetSim{
		pick: pick, queue: messageQueue{pick: pick}, rules: rules, statement: kcrbudget.NewStatement(planName(0)),
		served: map[kcrid.Plan]kcrid.Tokens{}, prepaid: map[kcrid.Plan]kcrid.Tokens{},
		knownTopups: map[string]bool{}, completeAnswers: map[kcrid.CallID]kcrid.Tokens{},
		killedHomes: map[kcrid.Incarnation]bool{},
	}
	for region := range regionCount {
		sim.addHome(region)
		for range sidecarsPerRegion {
			sim.addSidecar(region)
		}
	}
	for i := range planCount {
		sim.addTopup(planName(i))
	}
	for i := 0; i < steps && sim.violation == nil; i++ {
		sim.step(allActions)
	}
	for i := 0; i < steps/2 && sim.violation == nil; i++ {
		sim.step(faultFreeActions)
	}
	for _, t := range sim.served {
		served += int(t)
	}
	if sim.violation == nil {
		sim.checkBills()
	}
	return served, sim.violation
}

// planName returns the name of the plan with a number.
func planName(i int) kcrid.Plan { return kcrid.Plan(fmt.Sprintf("plan-%d", i)) }

// addHome starts a new home in a region. It has read nothing of the log.
func (sim *budgetSim) addHome(region int) {
	sim.serial++
	name := kcrid.Incarnation(fmt.Sprintf("home-%d-%d", region, sim.serial))
	sim.homes = append(sim.homes, &homeNode{region: region, home: kcrbudget.NewHome(kcrbudget.HomeConfig{
		Self: name, Rules: sim.rules.Home, LedgerRules: sim.rules.Ledger, Policy: kcrbudget.DemandPolicy(kcrclock.Minute),
	})})
}

// addSidecar starts a new sidecar in a region.
func (sim *budgetSim) addSidecar(region int) {
	sim.serial++
	sim.sidecars = append(sim.sidecars, &sidecarNode{
		name: kcrid.Incarnation(fmt.Sprintf("server-%d-%d", region, sim.serial)), region: region,
		meter: kcrbudget.NewMeter(sim.rules.Meter), pendingReserves: map[int]bool{},
		barredUpTo: map[kcrid.Incarnation]uint64{},
	})
}

// addTopup adds a top-up to the lists. Homes learn of it from repeatCredit.
func (sim *budgetSim) addTopup(p kcrid.Plan) {
	sim.topups = append(sim.topups, &kcrentry.Credit{Plan: string(p), Name: fmt.Sprintf("t%d", len(sim.topups)), Tokens: topupTokens})
}

// action is one kind of step. It is chosen with a probability in proportion to its
// weight.
type action struct {
	weight int
	apply  func(*budgetSim)
}

// faultFreeActions lists the steps without faults. A simulation ends with them, so
// that tokens which a fault made available twice get spent.
var faultFreeActions = []action{
	{2400, (*budgetSim).deliver},
	{1200, (*budgetSim).readLog},
	{1000, (*budgetSim).appendLog},
	{800, (*budgetSim).sendRequest},
	{1600, (*budgetSim).produceTokens},
	{320, (*budgetSim).sendReport},
	{240, (*budgetSim).tickHome},
	{160, (*budgetSim).repeatCredit},
	{240, (*budgetSim).collectEvidence},
	{120, (*budgetSim).reportKilled},
	{120, (*budgetSim).advanceClock},
}

// allActions lists all steps. Faults have lower weights than work.
var allActions = append([]action{
	{8, (*budgetSim).suspectHome},
	{4, (*budgetSim).toggleLog},
	{8, (*budgetSim).toggleHome},
	{2, (*budgetSim).killHome},
	{2, (*budgetSim).killSidecar},
	{4, (*budgetSim).closeSidecar},
	{1, (*budgetSim).topupAnyPlan},
	{4, (*budgetSim).skewClock},
	{1, (*budgetSim).retireHome},
}, faultFreeActions...)

// step runs one random action of a list.
func (sim *budgetSim) step(list []action) {
	sim.endFaults()
	total := 0
	for _, a := range list {
		total += a.weight
	}
	n := sim.pick(total)
	for _, a := range list {
		if n -= a.weight; n < 0 {
			a.apply(sim)
			return
		}
	}
}

// endFaults ends faults at random, so that a simulation is not spent in one outage.
func (sim *budgetSim) endFaults() {
	if sim.logDown && sim.pick(meanLogOutageSteps) == 0 {
		sim.logDown = false
	}
	for _, h := range sim.homes {
		if (h.frozen || h.cutFromLog) && sim.pick(meanNodeFaultSteps) == 0 {
			h.frozen, h.cutFromLog = false, false
		}
	}
}

// send queues the delivery of a message, which may be lost, duplicated or late.
func (sim *budgetSim) send(f func()) {
	switch sim.pick(12) {
	case 0:
		return
	case 1:
		sim.queue.enqueue(f)
	}
	sim.queue.enqueue(f)
}

func (sim *budgetSim) deliver() { sim.queue.deliver() }

func (sim *budgetSim) randomHome() *homeNode { return sim.homes[sim.pick(len(sim.homes))] }

func (sim *budgetSim) randomSidecar() *sidecarNode { return sim.sidecars[sim.pick(len(sim.sidecars))] }

func (h *homeNode) canAct() bool { return !h.killed && !h.frozen }

// readLog makes a home read the next few records.
func (sim *budgetSim) readLog() {
	h := sim.randomHome()
	if !h.canAct() || h.cutFromLog || sim.logDown {
		return
	}
	for n := sim.pick(8) + 1; n > 0 && h.cursor < len(sim.log); n-- {
		h.home.Apply(sim.homeTime(h), kcrid.Offset(h.cursor+1), sim.log[h.cursor])
		h.cursor++
	}
	if h.cursor == len(sim.log) {
		h.home.MarkReady()
	}
}

// homeTime returns what the clock of a home shows.
func (sim *budgetSim) homeTime(h *homeNode) kcrclock.Time { return sim.now.Add(h.skew) }

// appendLog makes a home append its pending records. The append may fail, take
// effect although its response is lost, or take effect late.
func (sim *budgetSim) appendLog() {
	h := sim.randomHome()
	if !h.canAct() || h.cutFromLog || sim.logDown {
		return
	}
	records, _ := h.home.Batch(sim.pick(4) + 1)
	switch sim.pick(6) {
	case 0:
		return
	case 1:
		sim.queue.enqueue(func() { sim.appendRecords(records) })
	default:
		sim.appendRecords(records)
	}
}

// appendRecords appends a batch to the log and counts each new top-up as prepaid.
func (sim *budgetSim) appendRecords(records [][]byte) {
	batch, err := decodeRecords(records)
	if err != nil {
		sim.violation = err
	}
	for _, e := range batch {
		sim.log = append(sim.log, e)
		if c := e.GetCredit(); c != nil && !sim.knownTopups[c.GetPlan()+c.GetName()] {
			sim.knownTopups[c.GetPlan()+c.GetName()] = true
			sim.prepaid[kcrid.Plan(c.GetPlan())] += kcrid.Tokens(c.GetTokens())
		}
	}
}

// sendRequest delivers a caller's request to a sidecar, which asks a home for a
// reservation. Some requests are repeated under the same key.
func (sim *budgetSim) sendRequest() {
	s := sim.randomSidecar()
	h := sim.chooseHome(s)
	if sim.callCount == 0 || sim.pick(6) > 0 {
		sim.callCount++
	}
	n := sim.callCount - sim.pick(min(sim.callCount, 4))
	request := kcrbudget.ReserveRequest{
		Call: kcrid.CallID{Team: team, Key: kcrid.IdempotencyKey(fmt.Sprint(n))}, Plan: planName(n % planCount),
		Server: s.name, WorstCase: maxWorstCaseTokens >> sim.pick(4), NoPending: true, AllowRerun: sim.pick(8) == 0,
	}
	sim.serial++
	id := sim.serial
	s.pendingReserves[id] = true
	sim.send(func() { sim.handleReserve(h, s, id, request) })
}

// chooseHome returns the newest home of the sidecar's region, or sometimes a
// random one.
func (sim *budgetSim) chooseHome(s *sidecarNode) *homeNode {
	if sim.pick(8) == 0 {
		return sim.randomHome()
	}
	for i := len(sim.homes) - 1; i >= 0; i-- {
		if sim.homes[i].region == s.region {
			return sim.homes[i]
		}
	}
	return sim.randomHome()
}

// handleReserve delivers a reserve request to a home, which sends the result. A frozen
// home gets the request again later.
func (sim *budgetSim) handleReserve(h *homeNode, s *sidecarNode, id int, request kcrbudget.ReserveRequest) {
	if h.killed {
		return
	}
	if h.frozen {
		sim.send(func() { sim.handleReserve(h, s, id, request) })
		return
	}
	result := h.home.Reserve(sim.homeTime(h), request)
	sim.send(func() { sim.handleResult(h, s, id, request, result) })
}

// handleResult delivers the result of a reserve request. Only the first result counts; if
// it is a grant, the caller's request begins.
func (sim *budgetSim) handleResult(h *homeNode, s *sidecarNode, id int, request kcrbudget.ReserveRequest, result kcrbudget.ReserveResult) {
	if s.killed || !s.pendingReserves[id] {
		return
	}
	delete(s.pendingReserves, id)
	if result.Outcome != kcrbudget.Granted {
		return
	}
	if s.meter.Begin(h.home.Self(), result.ID, request.Plan, request.WorstCase) != nil {
		return
	}
	s.runs = append(s.runs, &runningRequest{
		holder: h.home.Self(), home: h, reservation: result.ID, call: request.Call, plan: request.Plan,
		remaining: kcrid.Tokens(sim.pick(int(request.WorstCase+request.WorstCase/4)) + 1),
	})
}

// produceTokens makes an upstream produce some tokens for one request. The request
// ends when it is finished, when the meter refuses it, or at random.
func (sim *budgetSim) produceTokens() {
	s := sim.randomSidecar()
	if s.killed || len(s.runs) == 0 {
		return
	}
	i := sim.pick(len(s.runs))
	r := s.runs[i]
	n := min(r.remaining, kcrid.Tokens(sim.pick(16)+1))
	over := s.meter.Use(r.holder, r.reservation, n) != nil
	if !over {
		r.remaining -= n
		sim.served[r.plan] += n
		sim.checkSpending(r.plan)
	}
	if over || r.remaining == 0 || sim.pick(20) == 0 {
		sim.endRun(s, i)
	}
}

// endRun ends the request with index i, queues its settlement for the home, and appends
// its bill.
func (sim *budgetSim) endRun(s *sidecarNode, i int) {
	r := s.runs[i]
	s.runs = append(s.runs[:i], s.runs[i+1:]...)
	used := s.meter.End(r.holder, r.reservation)
	settlement := kcrbudget.Settlement{ID: r.reservation, Call: r.call, Plan: r.plan, Tokens: used, Outcome: kcrbudget.Broken}
	if r.remaining == 0 {
		settlement.Outcome = kcrbudget.Complete
		if _, ok := sim.completeAnswers[r.call]; !ok {
			sim.completeAnswers[r.call] = used
		}
	}
	s.pendingSettlements = append(s.pendingSettlements, &pendingSettlement{home: r.home, settlement: settlement})
	sim.appendBill(s, settlement)
}

// appendBill appends the bill of a request once or twice: two processes keep the
// bill, and after a lost response both append it.
func (sim *budgetSim) appendBill(s *sidecarNode, settlement kcrbudget.Settlement) {
	for range sim.pick(2) + 1 {
		sim.billSeq++
		sim.statement.Apply(&kcrentry.Entry{Writer: string(s.name), Seq: sim.billSeq, Kind: &kcrentry.Entry_Bill{Bill: &kcrentry.Bill{
			Team: string(settlement.Call.Team), Plan: string(settlement.Plan), Key: string(settlement.Call.Key),
			Tokens: int64(settlement.Tokens), Server: string(s.name), State: string(settlement.Outcome),
		}}})
	}
}

// sendReport sends a random home the pending settlements of a sidecar that belong to it.
// A settlement is sent again until the home has acknowledged it.
func (sim *budgetSim) sendReport() {
	s, h := sim.randomSidecar(), sim.randomHome()
	holder := h.home.Self()
	report := kcrbudget.SettlementReport{BarredUpTo: s.barredUpTo[holder]}
	s.meter.BarUpTo(holder, report.BarredUpTo)
	for _, r := range s.runs {
		if r.home == h {
			report.Held = append(report.Held, r.reservation)
		}
	}
	for _, pending := range s.pendingSettlements {
		if pending.home == h {
			report.Settlements = append(report.Settlements, pending.settlement)
		}
	}
	sim.send(func() {
		if !h.canAct() {
			return
		}
		receipt := h.home.Settle(sim.homeTime(h), s.name, report)
		sim.send(func() { s.applyReceipt(h, receipt) })
	})
}

// applyReceipt removes the settlements that a home has acknowledged.
func (s *sidecarNode) applyReceipt(h *homeNode, r kcrbudget.SettlementReceipt) {
	s.barredUpTo[h.home.Self()] = max(s.barredUpTo[h.home.Self()], r.LastID)
	s.pendingSettlements = slices.DeleteFunc(s.pendingSettlements, func(pending *pendingSettlement) bool {
		return pending.home == h && slices.Contains(r.Acknowledged, pending.settlement.ID)
	})
}

// tickHome runs the periodic work of a home. A fenced home is replaced, as
// its sidecar does in production.
func (sim *budgetSim) tickHome() {
	h := sim.randomHome()
	if !h.canAct() {
		return
	}
	h.home.Tick(sim.homeTime(h))
	if h.home.Fenced() && !h.replaced {
		h.replaced = true
		sim.addHome(h.region)
	}
	if len(sim.homes) > maxHomes {
		sim.homes[0].killed = true
		sim.killedHomes[sim.homes[0].home.Self()] = true
		sim.homes = sim.homes[1:]
	}
}

// repeatCredit makes a home see a top-up of the lists, which may be an old one.
func (sim *budgetSim) repeatCredit() {
	if h := sim.randomHome(); h.canAct() {
		t := sim.topups[sim.pick(len(sim.topups))]
		h.home.Credit(kcrid.Plan(t.GetPlan()), t.GetName(), kcrid.Tokens(t.GetTokens()))
	}
}

// suspectHome makes a home suspect another one, rightly or wrongly, and recover its
// grants.
func (sim *budgetSim) suspectHome() {
	h := sim.randomHome()
	others := h.home.OtherHolders()
	if h.canAct() && len(others) > 0 {
		h.home.StartRecovery(others[sim.pick(len(others))])
	}
}

// collectEvidence sends the evidence requests of a home that recovers grants to the
// sidecars.
func (sim *budgetSim) collectEvidence() {
	h := sim.randomHome()
	if !h.canAct() {
		return
	}
	for _, missing := range h.home.MissingEvidence() {
		for _, s := range sim.sidecars {
			if s.name == missing.Server {
				sim.send(func() { sim.fenceHolder(h, s, missing) })
			}
		}
	}
}

// fenceHolder makes a sidecar fence a holder and sends the evidence to the home.
func (sim *budgetSim) fenceHolder(h *homeNode, s *sidecarNode, request kcrbudget.EvidenceRequest) {
	if s.killed {
		return
	}
	evidence := s.meter.Fence(request.Holder)
	sim.send(func() {
		if h.canAct() {
			h.home.AddEvidence(sim.homeTime(h), request, evidence)
		}
	})
}

func (sim *budgetSim) advanceClock() { sim.now = sim.now.Add(kcrclock.Duration(sim.pick(30_000))) }

func (sim *budgetSim) toggleLog() { sim.logDown = !sim.logDown }

// toggleHome ends the fault of a random home or, if it has none, freezes it or cuts it from
// the log.
func (sim *budgetSim) toggleHome() {
	h := sim.randomHome()
	switch {
	case h.frozen:
		h.frozen = false
	case h.cutFromLog:
		h.cutFromLog = false
	case sim.pick(2) == 0:
		h.frozen = true
	default:
		h.cutFromLog = true
	}
}

// killHome kills a random home and starts another in its region.
func (sim *budgetSim) killHome() {
	h := sim.randomHome()
	h.killed = true
	sim.replaceHome(h)
}

// replaceHome starts a new home in the region of an old one. Messages to the old
// home may still be in the queue.
func (sim *budgetSim) replaceHome(old *homeNode) {
	sim.killedHomes[old.home.Self()] = true
	sim.homes = slices.DeleteFunc(sim.homes, func(h *homeNode) bool { return h == old })
	sim.addHome(old.region)
}

// killSidecar kills a random sidecar and starts another in its region.
func (sim *budgetSim) killSidecar() {
	s := sim.randomSidecar()
	s.killed = true
	sim.killedSidecars = append(sim.killedSidecars, s.name)
	sim.sidecars = slices.DeleteFunc(sim.sidecars, func(o *sidecarNode) bool { return o == s })
	sim.addSidecar(s.region)
}

// closeSidecar makes a home declare a sidecar lost, rightly or wrongly.
func (sim *budgetSim) closeSidecar() {
	if h := sim.randomHome(); h.canAct() {
		h.home.CloseServer(sim.homeTime(h), sim.randomSidecar().name)
	}
}

// reportKilled tells a home about killed processes: it closes the sidecars, and
// recovers the grants of the holders.
func (sim *budgetSim) reportKilled() {
	h := sim.randomHome()
	if !h.canAct() {
		return
	}
	if len(sim.killedSidecars) > 0 {
		h.home.CloseServer(sim.homeTime(h), sim.killedSidecars[sim.pick(len(sim.killedSidecars))])
	}
	for _, o := range h.home.OtherHolders() {
		if sim.killedHomes[o] {
			h.home.StartRecovery(o)
		}
	}
}

// topupAnyPlan adds a top-up of a random plan to the lists.
func (sim *budgetSim) topupAnyPlan() {
	sim.addTopup(planName(sim.pick(planCount)))
}

// skewClock sets the clock of a random home wrong by up to an hour.
func (sim *budgetSim) skewClock() {
	sim.randomHome().skew = kcrclock.Duration(sim.pick(7_200_000) - 3_600_000)
}

// retireHome makes a home retire. Once it has retired, a region without another home
// gets a new one.
func (sim *budgetSim) retireHome() {
	h := sim.randomHome()
	if !h.canAct() || h.home.Retire() > 0 {
		return
	}
	for _, o := range sim.homes {
		if o != h && o.region == h.region {
			return
		}
	}
	sim.addHome(h.region)
}

// checkSpending records a violation if a plan has spent more than its top-ups.
func (sim *budgetSim) checkSpending(p kcrid.Plan) {
	if sim.served[p] > sim.prepaid[p] {
		sim.violation = fmt.Errorf("%s: served %d tokens of %d prepaid at record %d", p, sim.served[p], sim.prepaid[p], len(sim.log))
	}
}

// checkBills records a violation if the statement of the first plan lacks a complete
// answer, bills it twice, or bills other tokens than were used.
func (sim *budgetSim) checkBills() {
	billed := map[kcrid.CallID]int{}
	for _, bill := range sim.statement.Items() {
		billed[bill.Call]++
		if tokens, ok := sim.completeAnswers[bill.Call]; ok && (bill.Outcome != kcrbudget.Complete || bill.Tokens != tokens) {
			sim.violation = fmt.Errorf("call %s: expected a bill of %d, got %d (%s)", bill.Call.Key, tokens, bill.Tokens, bill.Outcome)
		}
	}
	for call := range sim.completeAnswers {
		if planOf(call) == planName(0) && billed[call] != 1 {
			sim.violation = fmt.Errorf("call %s: expected one bill, got %d", call.Key, billed[call])
		}
	}
}

// planOf returns the plan of a call, which its key determines.
func planOf(c kcrid.CallID) kcrid.Plan {
	var n int
	_, _ = fmt.Sscan(string(c.Key), &n)
	return planName(n % planCount)
}
