package kcrproof

import (
	"fmt"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file defines the simulation of the wallets proof: homes, a router that borrows from them,
// and one stream that is slow. Schedules are random and long. Each append may reach the stream at
// once, later, twice or not at all, in any order with others; a process reads a part of the stream
// and may skip records that a snapshot covers. Processes are killed, stopped as planned, and lose
// power. Invariants after every step: the tokens spent, plus those that live processes may spend
// without asking and those that the ledger shows as available, never exceed the highest limit so
// far; and a successor that starts at that moment settles the grant of no process at less than the
// process has drawn.

// Sizes of the simulation, in tokens where a name says so.
const (
	walletsLimit       = 1000
	walletsTarget      = 500
	walletsRequest     = 60
	walletsLongRequest = 300
	walletsRoom        = 20
	walletsRate        = 60 // per second
	maxWalletHomes     = 3
	maxLateAppends     = 12
	maxWalletSnapshots = 4
	// A loss of power takes a machine bootTime, and changes what its monotonic clock shows by
	// at most maxClockChange.
	bootTime       = kcrclock.Time(kcrclock.Second)
	maxClockChange = int(3 * kcrclock.Second)
)

// WalletMutants returns the mutants of the wallets proof: those of the escrow proof, and others that
// only long schedules find.
func WalletMutants() []Mutant[EscrowRules] {
	return append(EscrowMutants(),
		Mutant[EscrowRules]{"a wallet drops the bound that the ledger shows", func(r *EscrowRules) {
			r.Wallet.ShowsBound = func(_, _ uint64) bool { return false }
		}},
		Mutant[EscrowRules]{"a repeated record counts again", func(r *EscrowRules) {
			r.Ledger.IsDuplicate = func(bool) bool { return false }
		}},
	)
}

// walletNode is a machine with a process, and what the process has drawn from its grant if all its
// requests use their worst case. Runs holds the worst cases of the requests that it serves.
type walletNode struct {
	machine
	drawn kcrid.Tokens
	runs  []kcrid.Tokens
}

// walletFleet is the state of a schedule. Observer is the ledger of the whole stream.
type walletFleet struct {
	escrowState
	pick      Pick
	homes     []*walletNode
	borrower  *walletNode
	observer  *kcrbudget.Ledger
	snapshots [][]byte
}

// CheckWallets runs one schedule. Work is the number of tokens spent.
func CheckWallets(rules EscrowRules, pick Pick, steps int) (work int, err error) {
	f := &walletFleet{pick: pick, observer: kcrbudget.NewLedger(rules.Ledger)}
	f.escrowState = escrowState{rules: rules, now: 1, limit: walletsLimit, highestLimit: walletsLimit, limitVersion: 1}
	f.policy = walletsPolicy
	for i := range 1 + pick(maxWalletHomes) {
		f.homes = append(f.homes, f.addNode(kcrid.VM(fmt.Sprintf("home-%d", i)), false))
	}
	f.borrower = f.addNode("router", true)
	for i := range steps {
		f.step()
		if err := f.check(); err != nil {
			return int(f.spent), fmt.Errorf("step %d: %w", i, err)
		}
	}
	return int(f.spent), nil
}

// walletsPolicy returns a policy whose bounds leave little room, so that they bind often.
func walletsPolicy(isBorrower bool) kcrbudget.Policy {
	p := escrowPolicy(walletsTarget)
	if isBorrower {
		p = escrowPolicy(0)
	}
	p.Bound = func(v kcrbudget.PlanView) kcrbudget.BoundTerms {
		return kcrbudget.BoundTerms{Room: walletsRoom + v.WorstCase, Rate: walletsRate, Delay: escrowDelay}
	}
	return p
}

func (f *walletFleet) addNode(vm kcrid.VM, isBorrower bool) *walletNode {
	n := &walletNode{machine: machine{vm: vm, isBorrower: isBorrower, clockOffset: kcrclock.Time(uptimeAtStart)}}
	f.startProcess(&n.machine)
	return n
}

// nodes returns all machines.
func (f *walletFleet) nodes() []*walletNode {
	return append(f.homes[:len(f.homes):len(f.homes)], f.borrower)
}

// step makes one random move.
func (f *walletFleet) step() {
	f.now = f.now.Add(kcrclock.Duration(f.pick(80)))
	home := f.homes[f.pick(len(f.homes))]
	node := f.nodes()[f.pick(len(f.homes)+1)]
	switch f.pick(24) {
	case 0, 1, 2, 3:
		f.readSome(node)
	case 4, 5, 6, 7, 8:
		f.appendSome(node)
	case 9, 10, 11:
		f.arriveLate()
	case 12, 13, 14, 15:
		f.lendTo(home, f.pick(8) == 0)
	case 16, 17, 18:
		f.serve()
	case 19:
		f.endRun()
	case 20:
		f.returnTo(home)
	case 21:
		f.skipBySnapshot(node)
	case 22:
		f.endProcess(node)
	case 23:
		f.changeWorld(node)
	}
}

// readSome makes a process read a part of the records that it has not read, and do its periodic
// work at the end of the stream.
func (f *walletFleet) readSome(n *walletNode) {
	for left := 1 + f.pick(6); left > 0 && n.cursor < len(f.stream); left-- {
		if e, err := kcrlog.DecodeEntry(f.stream[n.cursor]); err == nil {
			n.wallet.Apply(f.now, kcrid.Offset(n.cursor+1), e)
		}
		n.cursor++
	}
	if n.cursor == len(f.stream) {
		n.wallet.MarkReady()
		n.wallet.SetLimit(escrowPlan, f.limitVersion, f.limit)
		n.wallet.Tick(f.now)
	}
}

// appendSome sends the oldest records of a process: they arrive at once, at once and again later, later,
// or never.
func (f *walletFleet) appendSome(n *walletNode) {
	records, _ := n.wallet.Batch(1 + f.pick(4))
	if len(records) == 0 {
		return
	}
	outcome := f.pick(6)
	if outcome <= 2 {
		f.arrive(records)
	}
	if outcome >= 2 && outcome <= 4 && len(f.lateAppends) < maxLateAppends {
		f.lateAppends = append(f.lateAppends, records)
	}
}

// arrive adds records to the stream.
func (f *walletFleet) arrive(records [][]byte) {
	for _, data := range records {
		f.stream = append(f.stream, data)
		if e, err := kcrlog.DecodeEntry(data); err == nil {
			f.observer.Apply(kcrid.Offset(len(f.stream)), e)
		}
	}
}

// arriveLate completes one of the late appends.
func (f *walletFleet) arriveLate() {
	if len(f.lateAppends) == 0 {
		return
	}
	i := f.pick(len(f.lateAppends))
	f.arrive(f.lateAppends[i])
	f.lateAppends = append(f.lateAppends[:i:i], f.lateAppends[i+1:]...)
}

// lendTo makes a home lend to the router. The loan may be lost.
func (f *walletFleet) lendTo(home *walletNode, lost bool) {
	need := kcrid.Tokens(1 + f.pick(walletsRequest))
	if f.pick(4) == 0 {
		need = walletsLongRequest
	}
	loan := home.wallet.Lend(f.now, escrowPlan, need, need)
	home.drawn += loan.Tokens
	if !lost {
		f.borrower.wallet.AddBorrowed(escrowPlan, loan.Tokens)
		f.borrower.drawn -= loan.Tokens
	}
}

// returnTo makes the router return what it has borrowed and not spent. The message may be lost.
func (f *walletFleet) returnTo(home *walletNode) {
	for _, a := range f.borrower.wallet.TakeExcess(true) {
		f.borrower.drawn += a.Tokens
		if f.pick(4) > 0 {
			home.wallet.AddReturned(a.Plan, a.Tokens)
			home.drawn -= a.Tokens
		}
	}
}

// serve makes the router serve a request, or claim tokens of its own for it.
func (f *walletFleet) serve() {
	worstCase := kcrid.Tokens(1 + f.pick(walletsRequest))
	switch f.borrower.wallet.Reserve(f.now, escrowPlan, worstCase) {
	case kcrbudget.Granted:
		f.spent += worstCase // counted at once: the request may use all
		f.borrower.drawn += worstCase
		f.borrower.runs = append(f.borrower.runs, worstCase)
	case kcrbudget.Pending:
		if f.pick(8) == 0 {
			f.borrower.wallet.Claim(f.now, escrowPlan, worstCase)
		}
	default:
	}
}

// endRun ends the oldest request of the router.
func (f *walletFleet) endRun() {
	if r := f.borrower; len(r.runs) > 0 {
		r.wallet.Settle(escrowPlan, r.runs[0], r.runs[0])
		r.runs = r.runs[1:]
	}
}

// skipBySnapshot takes a snapshot of the ledger, or makes a process continue from one.
func (f *walletFleet) skipBySnapshot(n *walletNode) {
	if len(f.snapshots) == 0 || f.pick(2) == 0 {
		if _, data, err := f.observer.Snapshot(); err == nil && len(f.snapshots) < maxWalletSnapshots {
			f.snapshots = append(f.snapshots, data)
		}
		return
	}
	i := f.pick(len(f.snapshots))
	if newer, err := n.wallet.Restore(f.now, f.snapshots[i]); newer && err == nil {
		n.cursor = int(n.wallet.At())
	}
	f.snapshots = append(f.snapshots[:i:i], f.snapshots[i+1:]...)
}

// endProcess now and then kills a process, takes its machine's power, or stops it as planned, and
// starts another one.
func (f *walletFleet) endProcess(n *walletNode) {
	switch f.pick(10) {
	case 0, 1:
		f.restartNode(n, false)
	case 2:
		f.restartNode(n, true)
	case 3:
		n.wallet.Retire(f.now)
		f.appendSome(n)
		f.restartNode(n, false)
	}
}

// restartNode starts another process on a machine. If the machine lost power, its monotonic clock
// continues from another value.
func (f *walletFleet) restartNode(n *walletNode, powerLost bool) {
	if powerLost {
		n.clockOffset += kcrclock.Time(f.pick(2*maxClockChange) - maxClockChange)
		n.bootedAt += bootTime
	}
	f.startProcess(&n.machine)
	n.drawn, n.runs = 0, nil
}

// changeWorld lets time pass or changes the limit.
func (f *walletFleet) changeWorld(*walletNode) {
	switch f.pick(8) {
	case 0, 1:
		f.now = f.now.Add(kcrclock.Duration(f.pick(3000)))
	case 2:
		f.changeLimit(kcrid.Tokens(f.pick(walletsRequest)))
	case 3:
		f.changeLimit(-kcrid.Tokens(f.pick(walletsRequest)))
	}
}

// check returns an error if an invariant is violated.
func (f *walletFleet) check() error {
	held := kcrid.Tokens(0)
	for _, n := range f.nodes() {
		held += max(0, n.wallet.Holding(escrowPlan).Free)
		if err := f.checkProof(n); err != nil {
			return err
		}
	}
	if available := f.observer.Account(escrowPlan).Available(); f.spent+held+max(0, available) > f.highestLimit {
		return fmt.Errorf("expected at most %d tokens, got %d spent, %d to spend and %d available", f.highestLimit, f.spent, held, available)
	}
	return nil
}

// checkProof returns an error if the successor of a process would settle its grant at less than the
// process has drawn.
func (f *walletFleet) checkProof(n *walletNode) error {
	g := f.observer.Grant(n.self, escrowPlan)
	if g.Amount == 0 || g.Bound.MadeAt == 0 {
		return nil
	}
	settled := max(g.Spent, min(g.Amount, g.Bound.AllowedAfter((n.clockOffset+f.now).Sub(g.Bound.MadeAt))))
	if settled < n.drawn {
		return fmt.Errorf("%s: expected a successor to settle at least %d tokens, got %d", n.self, n.drawn, settled)
	}
	return nil
}
