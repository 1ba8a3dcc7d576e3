package kcrproof

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file explores all schedules, up to a length, of a home that lends to a
// router around one stream: appends that arrive, late or twice or not at all,
// loans and returns that get lost, requests, kills and losses of power, limits
// that rise and fall. It drives the kernel's own wallets. A schedule is a list of
// moves; a state is reached by playing its schedule from the start, and states
// that were seen with as many moves left are not explored again.

// EscrowRules are the decisions that a mutant takes out.
type EscrowRules struct {
	Ledger kcrbudget.LedgerRules
	Wallet kcrbudget.WalletRules
	// Steady tells what the clock of a machine shows after a time.
	Steady func(kcrclock.Time) kcrclock.Time
}

// DefaultEscrowRules returns the rules that hold in production.
func DefaultEscrowRules() EscrowRules {
	return EscrowRules{
		Ledger: kcrbudget.DefaultLedgerRules(), Wallet: kcrbudget.DefaultWalletRules(),
		Steady: func(t kcrclock.Time) kcrclock.Time { return t },
	}
}

// EscrowMutants returns the mutants.
func EscrowMutants() []Mutant[EscrowRules] {
	return []Mutant[EscrowRules]{
		{"a claim gets what it asks for", func(r *EscrowRules) {
			r.Ledger.Grant = func(_, want kcrid.Tokens) kcrid.Tokens { return want }
		}},
		{"tokens need not fit", func(r *EscrowRules) {
			r.Wallet.Fits = func(_, _ kcrid.Tokens) bool { return true }
		}},
		{"a wallet exceeds its bound", func(r *EscrowRules) {
			r.Wallet.Within = func(_, _ kcrid.Tokens) bool { return true }
		}},
		{"a heir trusts a bound from before a loss of power", func(r *EscrowRules) {
			r.Wallet.Same = func(kcrbudget.Boot, kcrbudget.Bound) bool { return true }
		}},
		{"the machine's clock stands still", func(r *EscrowRules) {
			r.Steady = func(kcrclock.Time) kcrclock.Time { return 1 }
		}},
	}
}

// Sizes of the case that is explored, in tokens.
const (
	escrowPlan    = kcrid.Plan("plan")
	escrowLimit   = 100
	escrowRequest = 45
	escrowHold    = 90 // that the home wants to have
	escrowRoom    = 10 // that a bound allows at once
	escrowRate    = 50 // tokens a second that it allows besides
	// escrowStep is the time that the move to wait takes.
	escrowStep = 400 * kcrclock.Millisecond
	// escrowUptime is what the steady clock of a machine shows at first, and
	// escrowRestart after a loss of power.
	escrowUptime  = 10 * kcrclock.Second
	escrowRestart = 10050 * kcrclock.Millisecond
)

// move is a step of a schedule.
type move int

// The moves. A write that is lost is none, since the wallet keeps its records
// until it reads them; a round is what a process does when nothing fails.
const (
	homeRound move = iota
	homeReads
	homeWrites
	homeWriteLate
	homeWriteDoubled
	lateArrives
	homeLends
	homeLoanLost
	routerRound
	routerClaims
	routerServes
	routerReturns
	routerReturnLost
	requestEnds
	timePasses
	homeKilled
	homeLosesPower
	routerKilled
	limitRises
	limitFalls
	moves
)

// moveNames are the names of the moves in schedules.
var moveNames = [moves]string{
	"home works", "home reads", "home writes", "home's write is late", "home's write is doubled", "a late write arrives",
	"home lends", "a loan is lost", "router works", "router claims", "router serves", "router returns", "a return is lost",
	"a request ends", "time passes", "home is killed", "home loses power", "router is killed", "limit rises", "limit falls",
}

// rare are the moves that a schedule may hold so many times at most.
var rare = map[move]int{
	homeWriteLate: 1, homeWriteDoubled: 1, homeLoanLost: 1, routerReturnLost: 1, homeKilled: 1, homeLosesPower: 1,
	routerKilled: 1, limitRises: 1, limitFalls: 1, timePasses: 2,
}

// machine is a place where a wallet runs.
type machine struct {
	vm      kcrid.VM
	borrows bool
	began   kcrclock.Time // of the machine, on its time of day
	boot    kcrclock.Time // what its steady clock showed at the start of the schedule
	wallet  *kcrbudget.Wallet
	read    int
}

// escrowWorld is the state that a schedule leads to.
type escrowWorld struct {
	rules   EscrowRules
	now     kcrclock.Time
	stream  [][]byte
	late    [][][]byte
	home    *machine
	router  *machine
	starts  int
	runs    int // of the router that have not ended
	version uint64
	limit   kcrid.Tokens
	most    kcrid.Tokens
	spent   kcrid.Tokens
}

// escrowPolicy holds a fixed amount, so that states repeat.
func escrowPolicy(hold kcrid.Tokens) kcrbudget.Policy {
	return kcrbudget.Policy{
		Target: func(kcrbudget.View) kcrid.Tokens { return hold },
		Spare:  func(v kcrbudget.View, unmet kcrid.Tokens) kcrid.Tokens { return max(0, min(unmet, v.Free)) },
		Bound:  func(v kcrbudget.View) (room, rate kcrid.Tokens) { return escrowRoom + v.Worst, escrowRate },
	}
}

func newEscrowWorld(rules EscrowRules) *escrowWorld {
	w := &escrowWorld{rules: rules, now: 1, limit: escrowLimit, most: escrowLimit, version: 1}
	w.home = &machine{vm: "home", boot: kcrclock.Time(escrowUptime)}
	w.router = &machine{vm: "router", borrows: true, boot: kcrclock.Time(escrowUptime)}
	w.start(w.home)
	w.start(w.router)
	w.round(w.home) // the limit is there
	w.round(w.home) // and the first grant
	return w
}

// start starts a process on a machine.
func (w *escrowWorld) start(m *machine) {
	w.starts++
	hold := kcrid.Tokens(escrowHold)
	if m.borrows {
		hold = 0
	}
	m.read = 0
	m.wallet = kcrbudget.NewWallet(kcrbudget.WalletConfig{
		Self: kcrid.IncarnationOf(m.vm, fmt.Sprint(w.starts)), Borrows: m.borrows, LedgerRules: w.rules.Ledger, Rules: w.rules.Wallet,
		Policy: escrowPolicy(hold),
		Boot: kcrbudget.Boot{
			Machine: 1, Began: m.began, Now: func() kcrclock.Time { return w.rules.Steady(m.boot + w.now) },
		},
	})
}

// takeIn lets a process read the stream to its end and do what is due.
func (w *escrowWorld) takeIn(m *machine) {
	for ; m.read < len(w.stream); m.read++ {
		if e, err := kcrlog.Decode(w.stream[m.read]); err == nil {
			m.wallet.Apply(w.now, kcrid.Offset(m.read+1), e)
		}
	}
	m.wallet.Ready()
	m.wallet.Limit(escrowPlan, w.version, w.limit)
	m.wallet.Tick(w.now)
}

// append puts what a process has to say on the stream so many times.
func (w *escrowWorld) append(m *machine, times int) {
	records, _ := m.wallet.Batch(batchOfAll)
	for range times {
		w.stream = append(w.stream, records...)
	}
}

// batchOfAll is more than a wallet ever has to say here.
const batchOfAll = 100

// round lets a process read, write, and read what it wrote.
func (w *escrowWorld) round(m *machine) {
	w.takeIn(m)
	w.append(m, 1)
	w.takeIn(m)
}

// lend makes a loan to the router.
func (w *escrowWorld) lend(lost bool) {
	loan := w.home.wallet.Lend(w.now, escrowPlan, escrowRequest, escrowRequest)
	if !lost {
		w.router.wallet.Borrow(escrowPlan, loan.Tokens)
	}
}

// giveBack returns all that the router has borrowed and not spent.
func (w *escrowWorld) giveBack(lost bool) {
	for _, a := range w.router.wallet.Excess(true) {
		if !lost {
			w.home.wallet.Returned(a.Plan, a.Tokens)
		}
	}
}

// write appends what the home has to say, in one of the ways that fail.
func (w *escrowWorld) write(m move) {
	switch m {
	case homeWrites:
		w.append(w.home, 1)
	case homeWriteDoubled:
		w.append(w.home, 2)
	case homeWriteLate:
		records, _ := w.home.wallet.Batch(batchOfAll)
		w.late = append(w.late, records)
	case lateArrives:
		if len(w.late) > 0 {
			w.stream = append(w.stream, w.late[0]...)
			w.late = w.late[1:]
		}
	}
}

// restart starts a process anew; where the machine lost its power, its steady
// clock begins at another value.
func (w *escrowWorld) restart(m *machine, power bool) {
	if power {
		m.boot, m.began = kcrclock.Time(escrowRestart)-w.now, m.began+1000
	}
	w.start(m)
}

// change sets what is prepaid.
func (w *escrowWorld) change(by kcrid.Tokens) {
	w.version++
	w.limit += by
	w.most = max(w.most, w.limit)
}

// serve lets the router serve a request as large as its worst case. It counts
// from then on, whatever becomes of the router.
func (w *escrowWorld) serve() {
	if w.router.wallet.Reserve(w.now, escrowPlan, escrowRequest) == kcrbudget.Granted {
		w.spent += escrowRequest
		w.runs++
	}
}

// play makes one move.
func (w *escrowWorld) play(m move) {
	switch m {
	case homeRound:
		w.round(w.home)
	case homeReads:
		w.takeIn(w.home)
	case homeWrites, homeWriteLate, homeWriteDoubled, lateArrives:
		w.write(m)
	case homeLends, homeLoanLost:
		w.lend(m == homeLoanLost)
	case routerRound, routerClaims, routerServes, routerReturns, routerReturnLost, requestEnds:
		w.route(m)
	default:
		w.happen(m)
	}
}

// route makes a move of the router.
func (w *escrowWorld) route(m move) {
	switch m {
	case routerRound:
		w.round(w.router)
	case routerClaims:
		w.router.wallet.Claim(w.now, escrowPlan, escrowRequest)
	case routerServes:
		w.serve()
	case routerReturns, routerReturnLost:
		w.giveBack(m == routerReturnLost)
	case requestEnds:
		if w.runs > 0 {
			w.runs--
			w.router.wallet.Settle(escrowPlan, escrowRequest, escrowRequest)
		}
	}
}

// happen makes a move that no process decides on.
func (w *escrowWorld) happen(m move) {
	switch m {
	case timePasses:
		w.now = w.now.Add(escrowStep)
	case homeKilled, homeLosesPower:
		w.restart(w.home, m == homeLosesPower)
	case routerKilled:
		w.runs = 0
		w.restart(w.router, false)
	case limitRises:
		w.change(escrowRequest)
	case limitFalls:
		w.change(-escrowRequest)
	}
}

// check returns the violation of the state: tokens that were spent, or that
// living processes may spend without asking anybody, beyond what was ever
// prepaid.
func (w *escrowWorld) check() error {
	held := kcrid.Tokens(0)
	for _, m := range []*machine{w.home, w.router} {
		held += max(0, m.wallet.Holding(escrowPlan).Free)
	}
	if w.spent+held > w.most {
		return fmt.Errorf("expected at most %d tokens, got %d spent and %d to spend", w.most, w.spent, held)
	}
	return nil
}

// print hashes the state.
func (w *escrowWorld) print() uint64 {
	h := xxhash.New()
	// A hash takes everything, so no write to it fails.
	_, _ = fmt.Fprint(h, w.now, len(w.stream), len(w.late), w.runs, w.version, w.limit, w.most, w.spent)
	for _, r := range w.stream {
		_, _ = h.Write(r)
	}
	for _, records := range w.late {
		for _, r := range records {
			_, _ = h.Write(r)
		}
	}
	for _, m := range []*machine{w.home, w.router} {
		_, _ = fmt.Fprint(h, m.read, m.began, m.boot, m.wallet.Fingerprint())
	}
	return h.Sum64()
}

// explorer walks through the schedules.
type explorer struct {
	rules EscrowRules
	seen  map[uint64]int // state to the moves that were left there
	used  [moves]int
}

// walk explores what follows a schedule, and returns the first schedule that
// leads to a violation.
func (x *explorer) walk(path []move, left int) error {
	w := newEscrowWorld(x.rules)
	for _, m := range path {
		w.play(m)
	}
	if err := w.check(); err != nil {
		return fmt.Errorf("after %v: %w", names(path), err)
	}
	print := w.print() ^ x.left()
	if before, ok := x.seen[print]; ok && before >= left {
		return nil
	}
	x.seen[print] = left
	if left == 0 {
		return nil
	}
	for m := range moves {
		if most, ok := rare[m]; ok && x.used[m] >= most {
			continue
		}
		x.used[m]++
		err := x.walk(append(path, m), left-1)
		x.used[m]--
		if err != nil {
			return err
		}
	}
	return nil
}

// left hashes which of the rare moves are left: a state with more of them leads
// further.
func (x *explorer) left() uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprint(h, x.counts()) // a hash takes everything
	return h.Sum64()
}

// counts returns how often the rare moves were made, in their order.
func (x *explorer) counts() (out [moves]int) {
	for m := range rare {
		out[m] = x.used[m]
	}
	return out
}

func names(path []move) (out []string) {
	for _, m := range path {
		out = append(out, moveNames[m])
	}
	return out
}

// Escrow explores all schedules of a length and returns the first violation.
// States is how many different ones there were.
func Escrow(rules EscrowRules, length int) (states int, err error) {
	x := &explorer{rules: rules, seen: map[uint64]int{}}
	err = x.walk(nil, length)
	return len(x.seen), err
}

// Lengths of the schedules that are explored: with few seeds, and with many.
const (
	shortSchedules = 4
	longSchedules  = 6
	manySeeds      = 1000
)

// proveEscrow explores the schedules, and lets each mutant break one. Seeds only
// choose how long the schedules are; with few, the mutants play schedules that
// were found before.
func proveEscrow(seeds int) Row {
	length, mutant := shortSchedules, replayEscrow
	if seeds >= manySeeds {
		length, mutant = longSchedules, breakEscrow
	}
	row := Row{
		Name:   "a home that lends and a router never spend past what is prepaid, in all schedules of so many moves",
		Faults: "late, lost and doubled appends, lost loans and returns, kills, loss of power, limits that rise and fall",
		Seeds:  fmt.Sprintf("none: all of %d moves", length),
	}
	states, err := Escrow(DefaultEscrowRules(), length)
	if err != nil {
		row.Err = err
		return row
	}
	if _, err := replayEscrow(Mutant[EscrowRules]{Change: func(*EscrowRules) {}}); err != nil {
		row.Err = err
		return row
	}
	row.Note = fmt.Sprintf("%d states; breaks when", states)
	for _, m := range EscrowMutants() {
		found, err := mutant(m)
		if err == nil {
			row.Err = fmt.Errorf("mutant %q: expected a violation, got none", m.Name)
			return row
		}
		row.Note += fmt.Sprintf(" %s (%d moves),", m.Name, found)
	}
	return row
}

// breakEscrow returns the length of the shortest schedule that a mutant breaks.
func breakEscrow(m Mutant[EscrowRules]) (length int, err error) {
	rules := DefaultEscrowRules()
	m.Change(&rules)
	for length = 1; length <= longSchedules; length++ {
		if _, err = Escrow(rules, length); err != nil {
			return length, err
		}
	}
	return 0, nil
}

// brokenBy are schedules that break the mutants, in their order.
var brokenBy = [][]move{
	{homeLends, homeRound, homeLends, homeRound},
	{routerServes, routerServes, routerServes},
	{homeLends, homeKilled, homeRound},
	{timePasses, timePasses, homeLends, homeLosesPower, homeRound},
	{timePasses, timePasses, homeLends, homeKilled, homeRound},
}

// replayEscrow plays the known schedules with a mutant until one breaks.
func replayEscrow(m Mutant[EscrowRules]) (length int, err error) {
	rules := DefaultEscrowRules()
	m.Change(&rules)
	for _, path := range brokenBy {
		w := newEscrowWorld(rules)
		for i, step := range path {
			w.play(step)
			if err := w.check(); err != nil {
				return i + 1, err
			}
		}
	}
	return 0, nil
}
