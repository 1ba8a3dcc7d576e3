package kcrproof

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file explores all schedules, up to a length, of a home and a router that
// borrows from it, with one shared stream. Appends arrive, late or twice or not at
// all; loans and returned tokens get lost; there are requests, kills, losses of
// power, and limits that rise and fall. Both processes run the wallets of the
// kernel. A schedule is a list of moves. A state is reached by applying its schedule
// from the start, and a state that was visited with as many moves left is not
// explored again. Invariant in every state: the tokens spent, plus those that live
// processes may spend without asking, never exceed the highest limit so far.

// EscrowRules holds the safeguards that the escrow proof checks. A mutant replaces
// one of them.
type EscrowRules struct {
	Ledger kcrbudget.LedgerRules
	Wallet kcrbudget.WalletRules
	// MonotonicClock returns what a machine's monotonic clock shows, given the
	// correct value.
	MonotonicClock func(kcrclock.Time) kcrclock.Time
}

// DefaultEscrowRules returns the rules that production uses.
func DefaultEscrowRules() EscrowRules {
	return EscrowRules{
		Ledger: kcrbudget.DefaultLedgerRules(), Wallet: kcrbudget.DefaultWalletRules(),
		MonotonicClock: func(t kcrclock.Time) kcrclock.Time { return t },
	}
}

// EscrowMutants returns the mutants of the escrow proof.
func EscrowMutants() []Mutant[EscrowRules] {
	return []Mutant[EscrowRules]{
		{"a claim gets what it asks for", func(r *EscrowRules) {
			r.Ledger.GrantSize = func(_, want kcrid.Tokens) kcrid.Tokens { return want }
		}},
		{"tokens need not fit", func(r *EscrowRules) {
			r.Wallet.Fits = func(_, _ kcrid.Tokens) bool { return true }
		}},
		{"a wallet exceeds its bound", func(r *EscrowRules) {
			r.Wallet.WithinBounds = func(_, _ kcrid.Tokens) bool { return true }
		}},
		{"a heir trusts a bound from before a loss of power", func(r *EscrowRules) {
			r.Wallet.SameBoot = func(kcrbudget.BootClock, kcrbudget.Bound) bool { return true }
		}},
		{"the machine's clock stands still", func(r *EscrowRules) {
			r.MonotonicClock = func(kcrclock.Time) kcrclock.Time { return 1 }
		}},
		{"a wallet spends before its bound grows", func(r *EscrowRules) {
			r.Wallet.AllowedAfter = func(b kcrbudget.Bound, d kcrclock.Duration) kcrid.Tokens {
				b.Delay = 0
				return b.AllowedAfter(d)
			}
		}},
	}
}

// Sizes of the explored case, in tokens unless the type says otherwise.
const (
	escrowPlan    = kcrid.Plan("plan")
	escrowLimit   = 100
	escrowRequest = 45
	escrowTarget  = 90 // free tokens that the home aims to hold
	escrowRoom    = 10 // tokens that a spending bound allows at once
	escrowRate    = 90 // tokens per second that a bound allows in addition after escrowDelay
	escrowDelay   = 300 * kcrclock.Millisecond
	// escrowWait is the duration of the move timePasses.
	escrowWait = 400 * kcrclock.Millisecond
	// uptimeAtStart is what the monotonic clock of a machine shows at the start, and
	// uptimeAfterPowerLoss what it shows after a loss of power.
	uptimeAtStart        = 10 * kcrclock.Second
	uptimeAfterPowerLoss = 10050 * kcrclock.Millisecond
)

// move is one step of a schedule.
type move int

// The moves. A lost write needs no move of its own, since the wallet keeps its
// records until it reads them back. In a round a process reads, writes, and reads
// its own writes, without a failure.
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
	moveCount
)

// moveNames holds the names of the moves in printed schedules.
var moveNames = [moveCount]string{
	"home works", "home reads", "home writes", "home's write is late", "home's write is doubled", "a late write arrives",
	"home lends", "a loan is lost", "router works", "router claims", "router serves", "router returns", "a return is lost",
	"a request ends", "time passes", "home is killed", "home loses power", "router is killed", "limit rises", "limit falls",
}

// maxOccurrences limits how often a schedule may contain a move. A move that is not
// listed has no limit.
var maxOccurrences = map[move]int{
	homeWriteLate: 1, homeWriteDoubled: 1, homeLoanLost: 1, routerReturnLost: 1, homeKilled: 1, homeLosesPower: 1,
	routerKilled: 1, limitRises: 1, limitFalls: 1, timePasses: 2,
}

// machine is a machine on which one process with a wallet runs. Cursor is the number
// of stream records that the process has read.
type machine struct {
	vm          kcrid.VM
	self        kcrid.Incarnation // holder name of the process
	isBorrower  bool
	bootedAt    kcrclock.Time // time of day at which the machine booted
	clockOffset kcrclock.Time // monotonic clock of the machine minus the time of the schedule
	wallet      *kcrbudget.Wallet
	cursor      int
}

// escrowState is the state that a schedule leads to.
type escrowState struct {
	rules        EscrowRules
	policy       func(isBorrower bool) kcrbudget.Policy
	now          kcrclock.Time
	stream       [][]byte
	lateAppends  [][][]byte
	home         *machine
	router       *machine
	processCount int
	routerRuns   int // requests that the router is serving
	limitVersion uint64
	limit        kcrid.Tokens
	highestLimit kcrid.Tokens
	spent        kcrid.Tokens
}

// escrowPolicy returns a policy that aims to hold a fixed number of tokens, so that
// schedules lead to the same states.
func escrowPolicy(target kcrid.Tokens) kcrbudget.Policy {
	return kcrbudget.Policy{
		Target:          func(kcrbudget.PlanView) kcrid.Tokens { return target },
		ReturnForOthers: func(v kcrbudget.PlanView, unmet kcrid.Tokens) kcrid.Tokens { return max(0, min(unmet, v.Free)) },
		Bound: func(v kcrbudget.PlanView) kcrbudget.BoundTerms {
			return kcrbudget.BoundTerms{Room: escrowRoom + v.WorstCase, Rate: escrowRate, Delay: escrowDelay}
		},
	}
}

// roleEscrowPolicy returns the policy of a home, or of a router that borrows.
func roleEscrowPolicy(isBorrower bool) kcrbudget.Policy {
	if isBorrower {
		return escrowPolicy(0)
	}
	return escrowPolicy(escrowTarget)
}

// newEscrowState returns the start of every schedule: both processes run, the limit is
// on the stream, and the home holds a grant.
func newEscrowState(rules EscrowRules) *escrowState {
	s := &escrowState{rules: rules, policy: roleEscrowPolicy, now: 1, limit: escrowLimit, highestLimit: escrowLimit, limitVersion: 1}
	s.home = &machine{vm: "home", clockOffset: kcrclock.Time(uptimeAtStart)}
	s.router = &machine{vm: "router", isBorrower: true, clockOffset: kcrclock.Time(uptimeAtStart)}
	s.startProcess(s.home)
	s.startProcess(s.router)
	s.workRound(s.home) // appends the limit
	s.workRound(s.home) // appends the first claim, which grants tokens
	return s
}

// startProcess starts a new process on a machine. It has read nothing of the stream.
func (s *escrowState) startProcess(m *machine) {
	s.processCount++
	m.cursor = 0
	m.self = kcrid.IncarnationOf(m.vm, fmt.Sprint(s.processCount))
	m.wallet = kcrbudget.NewWallet(kcrbudget.WalletConfig{
		Self: m.self, Borrower: m.isBorrower, LedgerRules: s.rules.Ledger, Rules: s.rules.Wallet,
		Policy: s.policy(m.isBorrower),
		BootClock: kcrbudget.BootClock{
			BootID: 1, BootedAt: m.bootedAt, Now: func() kcrclock.Time { return s.rules.MonotonicClock(m.clockOffset + s.now) },
		},
	})
}

// readStream makes a process read the stream to its end and do its periodic work.
func (s *escrowState) readStream(m *machine) {
	for ; m.cursor < len(s.stream); m.cursor++ {
		if e, err := kcrlog.DecodeEntry(s.stream[m.cursor]); err == nil {
			m.wallet.Apply(s.now, kcrid.Offset(m.cursor+1), e)
		}
	}
	m.wallet.MarkReady()
	m.wallet.SetLimit(escrowPlan, s.limitVersion, s.limit)
	m.wallet.Tick(s.now)
}

// appendPending appends the pending records of a process to the stream the given
// number of times.
func (s *escrowState) appendPending(m *machine, times int) {
	records, _ := m.wallet.Batch(maxBatch)
	for range times {
		s.stream = append(s.stream, records...)
	}
}

// maxBatch is more than the number of records that a wallet ever has pending here.
const maxBatch = 100

// workRound makes a process read, write, and read what it wrote.
func (s *escrowState) workRound(m *machine) {
	s.readStream(m)
	s.appendPending(m, 1)
	s.readStream(m)
}

// lend makes the home lend tokens to the router. A lost loan does not arrive.
func (s *escrowState) lend(lost bool) {
	loan := s.home.wallet.Lend(s.now, escrowPlan, escrowRequest, escrowRequest)
	if !lost {
		s.router.wallet.AddBorrowed(escrowPlan, loan.Tokens)
	}
}

// returnTokens makes the router return all tokens that it borrowed and has not spent.
// A lost return does not arrive.
func (s *escrowState) returnTokens(lost bool) {
	for _, a := range s.router.wallet.TakeExcess(true) {
		if !lost {
			s.home.wallet.AddReturned(a.Plan, a.Tokens)
		}
	}
}

// appendFromHome appends the pending records of the home once, twice, or late, or
// completes a late append.
func (s *escrowState) appendFromHome(m move) {
	switch m {
	case homeWrites:
		s.appendPending(s.home, 1)
	case homeWriteDoubled:
		s.appendPending(s.home, 2)
	case homeWriteLate:
		records, _ := s.home.wallet.Batch(maxBatch)
		s.lateAppends = append(s.lateAppends, records)
	case lateArrives:
		if len(s.lateAppends) > 0 {
			s.stream = append(s.stream, s.lateAppends[0]...)
			s.lateAppends = s.lateAppends[1:]
		}
	}
}

// restart starts a new process on a machine. If the machine lost power, its monotonic
// clock continues from another value.
func (s *escrowState) restart(m *machine, powerLost bool) {
	if powerLost {
		m.clockOffset, m.bootedAt = kcrclock.Time(uptimeAfterPowerLoss)-s.now, m.bootedAt+1000
	}
	s.startProcess(m)
}

// changeLimit adds tokens to the prepaid limit or, if negative, takes them away.
func (s *escrowState) changeLimit(by kcrid.Tokens) {
	s.limitVersion++
	s.limit += by
	s.highestLimit = max(s.highestLimit, s.limit)
}

// serveRequest makes the router serve a request that uses its worst case. The tokens
// count as spent at once, whether or not the router survives.
func (s *escrowState) serveRequest() {
	if s.router.wallet.Reserve(s.now, escrowPlan, escrowRequest) == kcrbudget.Granted {
		s.spent += escrowRequest
		s.routerRuns++
	}
}

// apply makes one move.
func (s *escrowState) apply(m move) {
	switch m {
	case homeRound:
		s.workRound(s.home)
	case homeReads:
		s.readStream(s.home)
	case homeWrites, homeWriteLate, homeWriteDoubled, lateArrives:
		s.appendFromHome(m)
	case homeLends, homeLoanLost:
		s.lend(m == homeLoanLost)
	case routerRound, routerClaims, routerServes, routerReturns, routerReturnLost, requestEnds:
		s.applyRouterMove(m)
	default:
		s.applyExternalMove(m)
	}
}

// applyRouterMove makes a move of the router.
func (s *escrowState) applyRouterMove(m move) {
	switch m {
	case routerRound:
		s.workRound(s.router)
	case routerClaims:
		s.router.wallet.Claim(s.now, escrowPlan, escrowRequest)
	case routerServes:
		s.serveRequest()
	case routerReturns, routerReturnLost:
		s.returnTokens(m == routerReturnLost)
	case requestEnds:
		if s.routerRuns > 0 {
			s.routerRuns--
			s.router.wallet.Settle(escrowPlan, escrowRequest, escrowRequest)
		}
	}
}

// applyExternalMove makes a move that no process decides on: time, faults, and changes
// of the limit.
func (s *escrowState) applyExternalMove(m move) {
	switch m {
	case timePasses:
		s.now = s.now.Add(escrowWait)
	case homeKilled, homeLosesPower:
		s.restart(s.home, m == homeLosesPower)
	case routerKilled:
		s.routerRuns = 0
		s.restart(s.router, false)
	case limitRises:
		s.changeLimit(escrowRequest)
	case limitFalls:
		s.changeLimit(-escrowRequest)
	}
}

// check returns an error if the tokens spent, plus those that live processes may
// spend without asking, exceed the highest limit so far.
func (s *escrowState) check() error {
	held := kcrid.Tokens(0)
	for _, m := range []*machine{s.home, s.router} {
		held += max(0, m.wallet.Holding(escrowPlan).Free)
	}
	if s.spent+held > s.highestLimit {
		return fmt.Errorf("expected at most %d tokens, got %d spent and %d to spend", s.highestLimit, s.spent, held)
	}
	return nil
}

// hash returns a hash of the state.
func (s *escrowState) hash() uint64 {
	h := xxhash.New()
	// Writing to a hash never fails.
	_, _ = fmt.Fprint(h, s.now, len(s.stream), len(s.lateAppends), s.routerRuns, s.limitVersion, s.limit, s.highestLimit, s.spent)
	for _, r := range s.stream {
		_, _ = h.Write(r)
	}
	for _, records := range s.lateAppends {
		for _, r := range records {
			_, _ = h.Write(r)
		}
	}
	for _, m := range []*machine{s.home, s.router} {
		_, _ = fmt.Fprint(h, m.cursor, m.bootedAt, m.clockOffset, m.wallet.Fingerprint())
	}
	return h.Sum64()
}

// explorer explores schedules depth first. Visited maps the key of a state to the
// moves that were left when it was explored; occurrences counts each move in the
// current schedule.
type explorer struct {
	rules       EscrowRules
	moves       []move
	visited     map[uint64]int // state to moves left
	occurrences [moveCount]int
}

// explore explores all continuations of a schedule, and returns an error that names
// the first schedule that leads to a violation.
func (x *explorer) explore(schedule []move, movesLeft int) error {
	s := newEscrowState(x.rules)
	for _, m := range schedule {
		s.apply(m)
	}
	if err := s.check(); err != nil {
		return fmt.Errorf("after %v: %w", scheduleNames(schedule), err)
	}
	key := s.hash() ^ x.hashOccurrences()
	if before, ok := x.visited[key]; ok && before >= movesLeft {
		return nil
	}
	x.visited[key] = movesLeft
	if movesLeft == 0 {
		return nil
	}
	for _, m := range x.moves {
		if limit, ok := maxOccurrences[m]; ok && x.occurrences[m] >= limit {
			continue
		}
		x.occurrences[m]++
		err := x.explore(append(schedule, m), movesLeft-1)
		x.occurrences[m]--
		if err != nil {
			return err
		}
	}
	return nil
}

// hashOccurrences returns a hash of how often the limited moves were made. It is part
// of the key of a state: with more of these moves left, a state has more
// continuations.
func (x *explorer) hashOccurrences() uint64 {
	h := xxhash.New()
	_, _ = fmt.Fprint(h, x.limitedOccurrences()) // writing to a hash never fails
	return h.Sum64()
}

// limitedOccurrences returns how often each limited move was made; other moves count 0.
func (x *explorer) limitedOccurrences() (counts [moveCount]int) {
	for m := range maxOccurrences {
		counts[m] = x.occurrences[m]
	}
	return counts
}

// scheduleNames returns the names of the moves of a schedule.
func scheduleNames(schedule []move) (names []string) {
	for _, m := range schedule {
		names = append(names, moveNames[m])
	}
	return names
}

// ExploreEscrow explores all schedules up to a length and returns the first violation.
// States is the number of different states.
func ExploreEscrow(rules EscrowRules, length int) (states int, err error) {
	var all []move
	for m := range moveCount {
		all = append(all, m)
	}
	return explore(rules, all, length)
}

// repeatMoves are the moves that bring a record to the stream again after the home has gone on, and
// end the home.
var repeatMoves = []move{homeRound, homeReads, homeWriteLate, lateArrives, homeLends, homeKilled}

// repeatScheduleMoves is the length up to which all schedules of repeatMoves are explored. A repeat
// that a wallet takes for news of a bound costs tokens after 13 moves: the home has lent within one
// bound, claims with a second one, writes it late and again, and asks for a third; the late write
// arrives, the home reads it, lends within the third, and is killed; its successor settles and claims.
const repeatScheduleMoves = 13

// ExploreRepeats explores all schedules of repeatMoves.
func ExploreRepeats(rules EscrowRules) (states int, err error) {
	return explore(rules, repeatMoves, repeatScheduleMoves)
}

func explore(rules EscrowRules, moves []move, length int) (states int, err error) {
	x := &explorer{rules: rules, moves: moves, visited: map[uint64]int{}}
	err = x.explore(nil, length)
	return len(x.visited), err
}

// Lengths of the explored schedules, in moves: long ones are explored if there are at
// least longScheduleSeeds seeds.
const (
	shortScheduleMoves = 4
	longScheduleMoves  = 6
	longScheduleSeeds  = 1000
)

// proveEscrow explores the schedules, and checks that each mutant violates one. Seeds
// only select the length of the schedules; with few seeds, the mutants replay
// schedules that are known to violate the invariant.
func proveEscrow(seeds int) Row {
	length, findLength := shortScheduleMoves, replayViolations
	if seeds >= longScheduleSeeds {
		length, findLength = longScheduleMoves, shortestViolation
	}
	row := Row{
		Invariant: "a home that lends and a router never spend past what is prepaid, in all schedules of so many moves",
		Faults:    "late, lost and doubled appends, lost loans and returns, kills, loss of power, limits that rise and fall",
		Seeds:     fmt.Sprintf("none: all of %d moves", length),
	}
	states, err := ExploreEscrow(DefaultEscrowRules(), length)
	if err != nil {
		row.Err = err
		return row
	}
	repeatStates, err := ExploreRepeats(DefaultEscrowRules())
	if err != nil {
		row.Err = err
		return row
	}
	if _, err := replayViolations(Mutant[EscrowRules]{Change: func(*EscrowRules) {}}); err != nil {
		row.Err = err
		return row
	}
	row.Note = fmt.Sprintf("%d states, and %d with %d moves around repeats; breaks when", states, repeatStates, repeatScheduleMoves)
	for _, m := range EscrowMutants() {
		moves, err := findLength(m)
		if err == nil {
			row.Err = fmt.Errorf("mutant %q: expected a violation, got none", m.Name)
			return row
		}
		row.Note += fmt.Sprintf(" %s (%d moves),", m.Name, moves)
	}
	return row
}

// shortestViolation returns the length of the shortest schedule in which a mutant
// violates the invariant. A nil error means that there is none.
func shortestViolation(m Mutant[EscrowRules]) (length int, err error) {
	rules := DefaultEscrowRules()
	m.Change(&rules)
	for length = 1; length <= longScheduleMoves; length++ {
		if _, err = ExploreEscrow(rules, length); err != nil {
			return length, err
		}
	}
	return 0, nil
}

// violatingSchedules holds, for each mutant in the order of EscrowMutants, a schedule
// in which it violates the invariant.
var violatingSchedules = [][]move{
	{homeLends, homeRound, homeLends, homeRound},
	{routerServes, routerServes, routerServes},
	{homeLends, homeKilled, homeRound},
	{timePasses, timePasses, homeLends, homeLosesPower, homeRound},
	{timePasses, timePasses, homeLends, homeKilled, homeRound},
	{timePasses, homeLends, homeKilled, homeRound},
}

// replayViolations applies the known schedules with the rules of a mutant, and returns
// the number of moves up to the first violation. A nil error means that there is none.
func replayViolations(m Mutant[EscrowRules]) (length int, err error) {
	rules := DefaultEscrowRules()
	m.Change(&rules)
	for _, schedule := range violatingSchedules {
		s := newEscrowState(rules)
		for i, next := range schedule {
			s.apply(next)
			if err := s.check(); err != nil {
				return i + 1, err
			}
		}
	}
	return 0, nil
}
