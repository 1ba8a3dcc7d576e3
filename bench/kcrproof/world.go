// Package kcrproof checks the invariants of kingcuprun under generated faults.
//
// It drives the kernel's decisions in one goroutine under a clock of its own,
// with small fakes for the log and for messages; every choice comes from one
// source, so a seed gives the same run each time. Each invariant is also
// checked against mutants, from which one safeguard is taken out, to show that
// the check can fail.
package kcrproof

import (
	"fmt"
	"slices"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the world of the budget proof: two regions with homes and
// sidecars, one bucket, and a log. Checked at every step: for each plan, the
// tokens served so far never exceed the top-ups that are on the log so far.
// Checked at the end: each whole request is billed once.

// Pick returns a number from 0 to n-1.
type Pick func(n int) int

// BudgetRules are the safeguards of a run; a mutant replaces one.
type BudgetRules struct {
	Ledger kcrbudget.LedgerRules
	Home   kcrbudget.HomeRules
	Meter  kcrbudget.MeterRules
}

// DefaultBudgetRules returns the rules that hold in production.
func DefaultBudgetRules() BudgetRules {
	return BudgetRules{
		Ledger: kcrbudget.DefaultLedgerRules(),
		Home:   kcrbudget.DefaultHomeRules(),
		Meter:  kcrbudget.DefaultMeterRules(),
	}
}

const (
	worldPlans   = 2
	worldRegions = 2
	worldServers = 2 // a region
	topupTokens  = 500
	worstTokens  = 40
	mailMost     = 400
	homesMost    = 6
	healLog      = 80  // steps
	healHome     = 250 // steps
)

// homeNode is a home with its view of the log.
type homeNode struct {
	home   *kcrbudget.Home
	region int
	cursor int
	dead   bool
	frozen bool
	cut    bool // from the log
	skew   kcrclock.Duration

	replaced bool
}

// serverNode is a sidecar.
type serverNode struct {
	name   kcrid.Incarnation
	region int
	meter  *kcrbudget.Meter
	dead   bool
	asks   map[int]bool
	runs   []*worldRun
	owed   []*owedLine
	floors map[kcrid.Incarnation]uint64
}

// worldRun is a request that an upstream serves.
type worldRun struct {
	holder kcrid.Incarnation
	home   *homeNode
	id     uint64
	call   kcrid.Call
	plan   kcrid.Plan
	left   kcrid.Tokens // that the engine is going to produce
}

// owedLine is a settlement that the home has not taken.
type owedLine struct {
	home *homeNode
	line kcrbudget.Line
}

// world is one run of the proof.
type world struct {
	pick    Pick
	rules   BudgetRules
	now     kcrclock.Time
	log     []*kcrentry.Entry
	bills   *kcrbudget.Statement
	billSeq uint64
	down    bool // the log
	homes   []*homeNode
	servers []*serverNode
	mail    mailbox
	served  map[kcrid.Plan]kcrid.Tokens
	prepaid map[kcrid.Plan]kcrid.Tokens
	named   map[string]bool
	topups  []*kcrentry.Credit
	whole   map[kcrid.Call]kcrid.Tokens
	serial  int
	calls   int

	deadServers []kcrid.Incarnation
	deadHomes   map[kcrid.Incarnation]bool
	broken      error
}

// Budget runs one schedule of so many steps and returns the first violation.
// Served is the number of tokens served, to show that the run did something.
func Budget(rules BudgetRules, pick Pick, steps int) (served int, err error) {
	w := &world{
		pick: pick, mail: mailbox{pick: pick}, rules: rules, bills: kcrbudget.NewStatement(planName(0)),
		served: map[kcrid.Plan]kcrid.Tokens{}, prepaid: map[kcrid.Plan]kcrid.Tokens{},
		named: map[string]bool{}, whole: map[kcrid.Call]kcrid.Tokens{},
		deadHomes: map[kcrid.Incarnation]bool{},
	}
	for region := range worldRegions {
		w.addHome(region)
		for range worldServers {
			w.addServer(region)
		}
	}
	for i := range worldPlans {
		w.topup(planName(i))
	}
	for i := 0; i < steps && w.broken == nil; i++ {
		w.step(actions)
	}
	for i := 0; i < steps/2 && w.broken == nil; i++ {
		w.step(calm)
	}
	for _, t := range w.served {
		served += int(t)
	}
	if w.broken == nil {
		w.checkBills()
	}
	return served, w.broken
}

func planName(i int) kcrid.Plan { return kcrid.Plan(fmt.Sprintf("plan-%d", i)) }

func (w *world) addHome(region int) {
	w.serial++
	name := kcrid.Incarnation(fmt.Sprintf("home-%d-%d", region, w.serial))
	w.homes = append(w.homes, &homeNode{region: region, home: kcrbudget.NewHome(kcrbudget.Config{
		Self: name, Rules: w.rules.Home, LedgerRules: w.rules.Ledger, Policy: kcrbudget.ByDemand(kcrclock.Minute),
	})})
}

func (w *world) addServer(region int) {
	w.serial++
	w.servers = append(w.servers, &serverNode{
		name: kcrid.Incarnation(fmt.Sprintf("server-%d-%d", region, w.serial)), region: region,
		meter: kcrbudget.NewMeter(w.rules.Meter), asks: map[int]bool{},
		floors: map[kcrid.Incarnation]uint64{},
	})
}

func (w *world) topup(p kcrid.Plan) {
	w.topups = append(w.topups, &kcrentry.Credit{Plan: string(p), Name: fmt.Sprintf("t%d", len(w.topups)), Tokens: topupTokens})
}

// action is one kind of step with its weight.
type action struct {
	weight int
	do     func(*world)
}

// calm lists the steps without faults. A run ends with them, so that tokens
// which a fault made available twice get spent.
var calm = []action{
	{2400, (*world).deliver},
	{1200, (*world).readLog},
	{1000, (*world).appendLog},
	{800, (*world).request},
	{1600, (*world).progress},
	{320, (*world).resend},
	{240, (*world).tick},
	{160, (*world).creditAgain},
	{240, (*world).collect},
	{120, (*world).reap},
	{120, (*world).advance},
}

// actions lists all steps. Faults are rarer than work.
var actions = append([]action{
	{8, (*world).suspect},
	{4, (*world).toggleLog},
	{8, (*world).toggleHome},
	{2, (*world).killHome},
	{2, (*world).killServer},
	{4, (*world).loseServer},
	{1, (*world).moreTokens},
	{4, (*world).stepClock},
	{1, (*world).retire},
}, calm...)

// step takes one step out of a list.
func (w *world) step(list []action) {
	w.heal()
	total := 0
	for _, a := range list {
		total += a.weight
	}
	n := w.pick(total)
	for _, a := range list {
		if n -= a.weight; n < 0 {
			a.do(w)
			return
		}
	}
}

// heal ends faults after a time, so that a run is not spent in one outage.
func (w *world) heal() {
	if w.down && w.pick(healLog) == 0 {
		w.down = false
	}
	for _, h := range w.homes {
		if (h.frozen || h.cut) && w.pick(healHome) == 0 {
			h.frozen, h.cut = false, false
		}
	}
}

// post puts a message under way. It may be lost, come twice, or come late.
func (w *world) post(f func()) {
	switch w.pick(12) {
	case 0:
		return
	case 1:
		w.mail.put(f)
	}
	w.mail.put(f)
}

func (w *world) deliver() { w.mail.deliver() }

func (w *world) anyHome() *homeNode { return w.homes[w.pick(len(w.homes))] }

func (w *world) anyServer() *serverNode { return w.servers[w.pick(len(w.servers))] }

func (h *homeNode) acts() bool { return !h.dead && !h.frozen }

// readLog lets a home read some records.
func (w *world) readLog() {
	h := w.anyHome()
	if !h.acts() || h.cut || w.down {
		return
	}
	for n := w.pick(8) + 1; n > 0 && h.cursor < len(w.log); n-- {
		h.home.Apply(w.at(h), kcrid.Offset(h.cursor+1), w.log[h.cursor])
		h.cursor++
	}
	if h.cursor == len(w.log) {
		h.home.Ready()
	}
}

func (w *world) at(h *homeNode) kcrclock.Time { return w.now.Add(h.skew) }

// appendLog lets a home write. The append may fail, take effect without an
// answer, or take effect late.
func (w *world) appendLog() {
	h := w.anyHome()
	if !h.acts() || h.cut || w.down {
		return
	}
	records, _ := h.home.Batch(w.pick(4) + 1)
	switch w.pick(6) {
	case 0:
		return
	case 1:
		w.mail.put(func() { w.land(records) })
	default:
		w.land(records)
	}
}

func (w *world) land(records [][]byte) {
	batch, err := entries(records)
	if err != nil {
		w.broken = err
	}
	for _, e := range batch {
		w.log = append(w.log, e)
		if c := e.GetCredit(); c != nil && !w.named[c.GetPlan()+c.GetName()] {
			w.named[c.GetPlan()+c.GetName()] = true
			w.prepaid[kcrid.Plan(c.GetPlan())] += kcrid.Tokens(c.GetTokens())
		}
	}
}

// request lets a caller's request reach a sidecar, which asks a home. Some
// requests come again under the same key.
func (w *world) request() {
	s := w.anyServer()
	h := w.homeFor(s)
	if w.calls == 0 || w.pick(6) > 0 {
		w.calls++
	}
	n := w.calls - w.pick(min(w.calls, 4))
	ask := kcrbudget.Ask{
		Call: kcrid.Call{Team: team, Key: kcrid.Key(fmt.Sprint(n))}, Plan: planName(n % worldPlans),
		Server: s.name, Worst: worstTokens >> w.pick(4), Last: true, Rerun: w.pick(8) == 0,
	}
	w.serial++
	id := w.serial
	s.asks[id] = true
	w.post(func() { w.asked(h, s, id, ask) })
}

// homeFor returns the newest home of the sidecar's region, or now and then any.
func (w *world) homeFor(s *serverNode) *homeNode {
	if w.pick(8) == 0 {
		return w.anyHome()
	}
	for i := len(w.homes) - 1; i >= 0; i-- {
		if w.homes[i].region == s.region {
			return w.homes[i]
		}
	}
	return w.anyHome()
}

func (w *world) asked(h *homeNode, s *serverNode, id int, ask kcrbudget.Ask) {
	if h.dead {
		return
	}
	if h.frozen {
		w.post(func() { w.asked(h, s, id, ask) })
		return
	}
	ans := h.home.Reserve(w.at(h), ask)
	w.post(func() { w.answered(h, s, id, ask, ans) })
}

func (w *world) answered(h *homeNode, s *serverNode, id int, ask kcrbudget.Ask, ans kcrbudget.Answer) {
	if s.dead || !s.asks[id] {
		return
	}
	delete(s.asks, id)
	if ans.Code != kcrbudget.Granted {
		return
	}
	if s.meter.Begin(h.home.Self(), ans.ID, ask.Plan, ask.Worst) != nil {
		return
	}
	s.runs = append(s.runs, &worldRun{
		holder: h.home.Self(), home: h, id: ans.ID, call: ask.Call, plan: ask.Plan,
		left: kcrid.Tokens(w.pick(int(ask.Worst+ask.Worst/4)) + 1),
	})
}

// progress lets an upstream produce tokens.
func (w *world) progress() {
	s := w.anyServer()
	if s.dead || len(s.runs) == 0 {
		return
	}
	i := w.pick(len(s.runs))
	r := s.runs[i]
	n := min(r.left, kcrid.Tokens(w.pick(16)+1))
	over := s.meter.Use(r.holder, r.id, n) != nil
	if !over {
		r.left -= n
		w.served[r.plan] += n
		w.check(r.plan)
	}
	if over || r.left == 0 || w.pick(20) == 0 {
		w.endRun(s, i)
	}
}

func (w *world) endRun(s *serverNode, i int) {
	r := s.runs[i]
	s.runs = append(s.runs[:i], s.runs[i+1:]...)
	used := s.meter.End(r.holder, r.id)
	line := kcrbudget.Line{ID: r.id, Call: r.call, Plan: r.plan, Tokens: used, State: kcrbudget.Broken}
	if r.left == 0 {
		line.State = kcrbudget.Whole
		if _, ok := w.whole[r.call]; !ok {
			w.whole[r.call] = used
		}
	}
	s.owed = append(s.owed, &owedLine{home: r.home, line: line})
	w.bill(s, line)
}

// bill writes the line for both of its keepers, as after a lost answer.
func (w *world) bill(s *serverNode, l kcrbudget.Line) {
	for range w.pick(2) + 1 {
		w.billSeq++
		w.bills.Apply(&kcrentry.Entry{Writer: string(s.name), Seq: w.billSeq, Kind: &kcrentry.Entry_Bill{Bill: &kcrentry.Bill{
			Team: string(l.Call.Team), Plan: string(l.Plan), Key: string(l.Call.Key),
			Tokens: int64(l.Tokens), Server: string(s.name), State: string(l.State),
		}}})
	}
}

// resend lets a sidecar send what it owes to a home, until the home takes it.
func (w *world) resend() {
	s, h := w.anyServer(), w.anyHome()
	holder := h.home.Self()
	report := kcrbudget.Report{Floor: s.floors[holder]}
	s.meter.Bar(holder, report.Floor)
	for _, r := range s.runs {
		if r.home == h {
			report.Held = append(report.Held, r.id)
		}
	}
	for _, o := range s.owed {
		if o.home == h {
			report.Lines = append(report.Lines, o.line)
		}
	}
	w.post(func() {
		if !h.acts() {
			return
		}
		receipt := h.home.Settle(w.at(h), s.name, report)
		w.post(func() { s.took(h, receipt) })
	})
}

// took forgets what a home has taken.
func (s *serverNode) took(h *homeNode, r kcrbudget.Receipt) {
	s.floors[h.home.Self()] = max(s.floors[h.home.Self()], r.Last)
	s.owed = slices.DeleteFunc(s.owed, func(o *owedLine) bool {
		return o.home == h && slices.Contains(r.Taken, o.line.ID)
	})
}

// tick drives a home. One that was deposed is replaced, as a sidecar does.
func (w *world) tick() {
	h := w.anyHome()
	if !h.acts() {
		return
	}
	h.home.Tick(w.at(h))
	if h.home.Deposed() && !h.replaced {
		h.replaced = true
		w.addHome(h.region)
	}
	if len(w.homes) > homesMost {
		w.homes[0].dead = true
		w.deadHomes[w.homes[0].home.Self()] = true
		w.homes = w.homes[1:]
	}
}

// creditAgain lets a home see the top-ups of the lists, old ones included.
func (w *world) creditAgain() {
	if h := w.anyHome(); h.acts() {
		t := w.topups[w.pick(len(w.topups))]
		h.home.Credit(kcrid.Plan(t.GetPlan()), t.GetName(), kcrid.Tokens(t.GetTokens()))
	}
}

// suspect lets a home fence another, rightly or wrongly.
func (w *world) suspect() {
	h := w.anyHome()
	others := h.home.Others()
	if h.acts() && len(others) > 0 {
		h.home.Suspect(others[w.pick(len(others))])
	}
}

func (w *world) collect() {
	h := w.anyHome()
	if !h.acts() {
		return
	}
	for _, o := range h.home.Orders() {
		for _, s := range w.servers {
			if s.name == o.Server {
				w.post(func() { w.collected(h, s, o) })
			}
		}
	}
}

func (w *world) collected(h *homeNode, s *serverNode, o kcrbudget.Order) {
	if s.dead {
		return
	}
	ev := s.meter.Fence(o.Holder)
	w.post(func() {
		if h.acts() {
			h.home.Evidence(w.at(h), o, ev)
		}
	})
}

func (w *world) advance() { w.now = w.now.Add(kcrclock.Duration(w.pick(30_000))) }

func (w *world) toggleLog() { w.down = !w.down }

func (w *world) toggleHome() {
	h := w.anyHome()
	switch {
	case h.frozen:
		h.frozen = false
	case h.cut:
		h.cut = false
	case w.pick(2) == 0:
		h.frozen = true
	default:
		h.cut = true
	}
}

func (w *world) killHome() {
	h := w.anyHome()
	h.dead = true
	w.replaceHome(h)
}

// replaceHome starts a new home; the old one may still get messages.
func (w *world) replaceHome(old *homeNode) {
	w.deadHomes[old.home.Self()] = true
	w.homes = slices.DeleteFunc(w.homes, func(h *homeNode) bool { return h == old })
	w.addHome(old.region)
}

func (w *world) killServer() {
	s := w.anyServer()
	s.dead = true
	w.deadServers = append(w.deadServers, s.name)
	w.servers = slices.DeleteFunc(w.servers, func(o *serverNode) bool { return o == s })
	w.addServer(s.region)
}

// loseServer lets a home close a sidecar, rightly or wrongly.
func (w *world) loseServer() {
	if h := w.anyHome(); h.acts() {
		h.home.Lose(w.at(h), w.anyServer().name)
	}
}

// reap lets a home find out about what is dead: sidecars, which it closes, and
// holders, whose grants it recovers.
func (w *world) reap() {
	h := w.anyHome()
	if !h.acts() {
		return
	}
	if len(w.deadServers) > 0 {
		h.home.Lose(w.at(h), w.deadServers[w.pick(len(w.deadServers))])
	}
	for _, o := range h.home.Others() {
		if w.deadHomes[o] {
			h.home.Suspect(o)
		}
	}
}

func (w *world) moreTokens() {
	w.topup(planName(w.pick(worldPlans)))
}

func (w *world) stepClock() {
	w.anyHome().skew = kcrclock.Duration(w.pick(7_200_000) - 3_600_000)
}

func (w *world) retire() {
	h := w.anyHome()
	if !h.acts() || h.home.Retire() > 0 {
		return
	}
	for _, o := range w.homes {
		if o != h && o.region == h.region {
			return
		}
	}
	w.addHome(h.region)
}

func (w *world) check(p kcrid.Plan) {
	if w.served[p] > w.prepaid[p] {
		w.broken = fmt.Errorf("%s: served %d tokens of %d prepaid at record %d", p, w.served[p], w.prepaid[p], len(w.log))
	}
}

func (w *world) checkBills() {
	billed := map[kcrid.Call]int{}
	for _, it := range w.bills.Items() {
		billed[it.Call]++
		if whole, ok := w.whole[it.Call]; ok && (it.State != kcrbudget.Whole || it.Tokens != whole) {
			w.broken = fmt.Errorf("call %s: expected a bill of %d, got %d (%s)", it.Call.Key, whole, it.Tokens, it.State)
		}
	}
	for call := range w.whole {
		if planOf(call) == planName(0) && billed[call] != 1 {
			w.broken = fmt.Errorf("call %s: expected one bill, got %d", call.Key, billed[call])
		}
	}
}

func planOf(c kcrid.Call) kcrid.Plan {
	var n int
	_, _ = fmt.Sscan(string(c.Key), &n)
	return planName(n % worldPlans)
}
