package kcrbudget_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// rules are the safety checks that a mutant replaces, and the function that
// derives the machine's clock from the time.
type rules struct {
	ledger    kcrbudget.LedgerRules
	wallet    kcrbudget.WalletRules
	bootClock func(kcrclock.Time) kcrclock.Time
}

// defaultRules returns the production rules and an exact clock.
func defaultRules() rules {
	return rules{ledger: kcrbudget.DefaultLedgerRules(), wallet: kcrbudget.DefaultWalletRules(), bootClock: func(t kcrclock.Time) kcrclock.Time { return t }}
}

// longOutages returns a configuration with a long horizon, so that the schedules
// spend much and a fault has many chances to overspend.
func longOutages() kcrbudget.OutageConfig {
	return kcrbudget.OutageConfig{Horizon: 9 * kcrclock.Second, MaxShare: 0.8, InitialShare: 0.05, InitialRoom: 0.05, BoundHorizon: 600 * kcrclock.Millisecond, BoundGrowth: 1.7, MinBoundGrowth: 0.004, SlowHorizon: 18 * kcrclock.Second, MaxSlowShare: 0.9}
}

// run is a request that has not ended.
type run struct{ worstCase, used kcrid.Tokens }

// router is a process with a wallet on a machine.
type router struct {
	vm           int
	wallet       *kcrbudget.Wallet
	applied      int // number of stream records that were read
	dead         bool
	disconnected bool
	runs         []run
}

// fleet is a set of routers that share a stream. Appends that were not answered
// may arrive later, or twice.
type fleet struct {
	rules        rules
	now          kcrclock.Time
	bootedAt     kcrclock.Time // boot time of the machines that start from now on
	era          uint64        // of the stream
	stream       [][]byte
	delayed      [][][]byte
	routers      []*router
	incarnations int
	limit        kcrid.Tokens
	maxLimit     kcrid.Tokens // the highest limit so far
	version      uint64
	spent        kcrid.Tokens
}

const plan = kcrid.Plan("team")

// newFleet returns a fleet of one router per VM and a budget of limit tokens.
func newFleet(r rules, vms int, limit kcrid.Tokens) *fleet {
	f := &fleet{rules: r, now: 1, limit: limit, maxLimit: limit, version: 1}
	for vm := range vms {
		f.routers = append(f.routers, f.start(vm))
	}
	return f
}

// start starts a router on a VM.
func (f *fleet) start(vm int) *router {
	f.incarnations++
	return &router{vm: vm, wallet: kcrbudget.NewWallet(kcrbudget.WalletConfig{
		Self:        kcrid.IncarnationOf(kcrid.VM(fmt.Sprintf("vm-%d", vm)), fmt.Sprint(f.incarnations)),
		BootClock:   kcrbudget.BootClock{Now: func() kcrclock.Time { return f.rules.bootClock(f.now + 1000) }, BootID: uint64(vm + 1), BootedAt: f.bootedAt},
		LedgerRules: f.rules.ledger, Policy: kcrbudget.OutagePolicy(longOutages()), Rules: f.rules.wallet,
	})}
}

// read applies the rest of the stream to a router and runs its periodic work.
func (f *fleet) read(r *router) {
	if r.dead || r.disconnected {
		return
	}
	if r.wallet.BeginEra(f.now, f.era) {
		r.applied = 0
	}
	for ; r.applied < len(f.stream); r.applied++ {
		e := &kcrentry.Entry{}
		if proto.Unmarshal(f.stream[r.applied], e) == nil {
			r.wallet.Apply(f.now, kcrid.Offset(r.applied+1), e)
		}
	}
	r.wallet.MarkReady()
	r.wallet.SetLimit(plan, f.version, f.limit)
	r.wallet.Tick(f.now)
}

// write appends the records of a router. A lost append does not reach the stream;
// a delayed one reaches it later. The router sends both again.
func (f *fleet) write(r *router, lost, delayed bool) {
	if r.dead || r.disconnected {
		return
	}
	records, _ := r.wallet.Batch(4)
	switch {
	case len(records) == 0 || lost:
	case delayed:
		f.delayed = append(f.delayed, records)
	default:
		f.stream = append(f.stream, records...)
	}
}

// serve reserves worstCase tokens for a request. How many it will use is known
// only to the test.
func (f *fleet) serve(r *router, worstCase, used kcrid.Tokens) {
	if !r.dead && r.wallet.Reserve(f.now, plan, worstCase) == kcrbudget.Granted {
		r.runs = append(r.runs, run{worstCase, used})
		f.spent += used // counted at once: the tokens are spent even if the router dies
	}
}

// end settles the oldest run of a router.
func (f *fleet) end(r *router) {
	if r.dead || len(r.runs) == 0 {
		return
	}
	r.wallet.Settle(plan, r.runs[0].worstCase, r.runs[0].used)
	r.runs = r.runs[1:]
}

// lend lends escrow to another router. The answer may be lost.
func (f *fleet) lend(lender, borrower *router, want kcrid.Tokens, lost bool) {
	if lender == borrower || lender.dead || borrower.dead {
		return
	}
	need := want / 2
	if loan := lender.wallet.Lend(f.now, plan, need, want); !lost {
		borrower.wallet.AddBorrowed(plan, loan.Tokens)
	}
}

// returnExcess returns what a router has borrowed and does not need.
func (f *fleet) returnExcess(borrower, lender *router, all, lost bool) {
	if borrower == lender || borrower.dead || lender.dead {
		return
	}
	for _, a := range borrower.wallet.TakeExcess(all) {
		if !lost {
			lender.wallet.AddReturned(a.Plan, a.Tokens)
		}
	}
}

// step makes one random move. The faults are killed and disconnected routers,
// lost, delayed and duplicate appends, changed limits, and loans whose answer is
// lost.
func (f *fleet) step(draw func(n int) int) {
	f.now += kcrclock.Time(draw(100))
	r := f.routers[draw(len(f.routers))]
	switch draw(20) {
	case 0, 1, 2:
		f.read(r)
	case 3, 4, 5:
		f.write(r, draw(6) == 0, draw(6) == 0)
	case 6, 7, 8, 9, 10, 11:
		worstCase := kcrid.Tokens(1 + draw(200))
		f.serve(r, worstCase, worstCase)
	case 12, 13, 14:
		f.end(r)
	case 15:
		other := f.routers[draw(len(f.routers))]
		f.lend(r, other, kcrid.Tokens(draw(300)), draw(4) == 0)
		f.returnExcess(other, f.routers[draw(len(f.routers))], draw(2) == 0, draw(4) == 0)
	case 16:
		r.disconnected = draw(4) == 0
	case 17:
		if len(f.delayed) > 0 {
			f.stream = append(f.stream, f.delayed[0]...)
			f.delayed = f.delayed[1:]
		}
	case 18:
		f.replace(r, draw(8) == 0)
	case 19:
		f.raiseLimit(draw)
	}
}

// raiseLimit raises the limit in one of ten calls.
func (f *fleet) raiseLimit(draw func(n int) int) {
	if draw(10) != 0 {
		return
	}
	f.version++
	f.limit += kcrid.Tokens(draw(400))
	f.maxLimit = max(f.maxLimit, f.limit)
}

// replace kills a router and starts another one on the same machine.
func (f *fleet) replace(old *router, enabled bool) {
	if !enabled {
		return
	}
	old.dead = true
	for i, r := range f.routers {
		if r == old {
			f.routers[i] = f.start(old.vm)
		}
	}
}

// held returns what the current routers may spend without another claim or loan.
func (f *fleet) held() (sum kcrid.Tokens) {
	for _, r := range f.routers {
		sum += max(0, r.wallet.Holding(plan).Free)
	}
	return sum
}

// runSteps makes random moves and checks after each that the spent tokens and
// those that routers may still spend do not exceed the highest limit.
func (f *fleet) runSteps(draw func(n int) int, steps int) error {
	for i := range steps {
		f.step(draw)
		if held := f.held(); f.spent+held > f.maxLimit {
			return fmt.Errorf("step %d: expected at most %d tokens, got %d spent and %d to spend", i, f.maxLimit, f.spent, held)
		}
	}
	return nil
}

// newDraw returns a deterministic random function that draws from [0, n).
func newDraw(seed uint64) func(n int) int {
	state := seed*2862933555777941757 + 3037000493
	return func(n int) int {
		state = state*6364136223846793005 + 1442695040888963407
		return int((state >> 33) % uint64(n))
	}
}

// TestWalletsNeverOverspend runs random schedules with faults: the spent tokens
// and those that routers may still spend must not exceed the highest limit. Half of
// the budget must be served, so that the check is not passed by refusing requests.
func TestWalletsNeverOverspend(t *testing.T) {
	t.Parallel()
	spent, limits := kcrid.Tokens(0), kcrid.Tokens(0)
	for seed := range uint64(300) {
		f := newFleet(defaultRules(), 3, smallLimit)
		if err := f.runSteps(newDraw(seed), steps); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		spent += f.spent
		limits += f.maxLimit
	}
	if 2*spent < limits {
		t.Fatalf("expected half of %d tokens to be served under these faults, got %d", limits, spent)
	}
}

// The limit is small and the steps are many, so that budgets run out in most
// schedules.
const (
	smallLimit = 3000
	steps      = 2000
)

// TestWalletsNeverOverspendGenerated is TestWalletsNeverOverspend with schedules
// that rapid generates and shrinks.
func TestWalletsNeverOverspendGenerated(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(defaultRules(), rapid.IntRange(1, 4).Draw(t, "vms"), 3000)
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "d") }
		if err := f.runSteps(draw, 200); err != nil {
			t.Fatal(err)
		}
	})
}

// TestWalletMutants replaces each safety check: some seed must overspend. Late
// claims of dead holders and old limits can only make tokens unavailable in these
// schedules; they have tests of their own below.
func TestWalletMutants(t *testing.T) {
	t.Parallel()
	mutants := map[string]func(*rules){
		"claims get what they ask for": func(r *rules) {
			r.ledger.GrantSize = func(_, want kcrid.Tokens) kcrid.Tokens { return want }
		},
		"anybody inherits": func(r *rules) {
			r.ledger.IsSuccessor = func(_, _ kcrid.Incarnation) bool { return true }
			r.bootClock = func(kcrclock.Time) kcrclock.Time { return 1 }
		},
		"the machine's clock stands still": func(r *rules) { r.bootClock = func(kcrclock.Time) kcrclock.Time { return 1 } },
		"reservations need not fit":        func(r *rules) { r.wallet.Fits = func(_, _ kcrid.Tokens) bool { return true } },
	}
	for name, mutate := range mutants {
		broken := false
		for seed := uint64(0); seed < 600 && !broken; seed++ {
			r := defaultRules()
			mutate(&r)
			broken = newFleet(r, 3, smallLimit).runSteps(newDraw(seed), steps) != nil
		}
		if !broken {
			t.Errorf("mutant %q: expected some seed to overspend, none did", name)
		}
	}
}

// records decodes the records that a wallet wants to append.
func records(t *testing.T, w *kcrbudget.Wallet) (entries []*kcrentry.Entry) {
	t.Helper()
	data, _ := w.Batch(100)
	for _, d := range data {
		e, err := kcrlog.DecodeEntry(d)
		if err != nil {
			t.Fatal(err)
		}
		entries = append(entries, e)
	}
	return entries
}

// TestSuccessorReclaimsUnspentGrant checks that the next process on a machine
// makes available what its predecessor's bounds prove to be unspent.
func TestSuccessorReclaimsUnspentGrant(t *testing.T) {
	t.Parallel()
	f := newFleet(defaultRules(), 1, 200000)
	r := f.routers[0]
	exchangeRecords := func(r *router) {
		for range 6 {
			f.read(r)
			f.write(r, false, false)
			f.now += 60
		}
	}
	exchangeRecords(r)
	for range 40 { // until the demand rate is known
		f.serve(r, 100, 100)
		f.end(r)
		f.now += 50
		f.read(r)
		f.write(r, false, false)
	}
	exchangeRecords(r)
	held := r.wallet.Holding(plan)
	if held.Free < 1000 {
		t.Fatalf("expected escrow before the kill, got %+v", held)
	}
	f.replace(r, true)
	f.now += 500
	successor := f.routers[0]
	f.read(successor)
	if len(records(t, successor.wallet)) == 0 {
		t.Fatal("expected the successor to close the old grants, got no record")
	}
	exchangeRecords(successor)
	lost := 200000 - f.spent - successor.wallet.Holding(plan).Available - successor.wallet.Holding(plan).Free
	if lost > held.Free/4 {
		t.Fatalf("expected most of %d tokens back, lost %d", held.Free, lost)
	}
}

// TestRestartedMachineInheritsNothing guards against inheriting grants by the reading
// of a clock that was reset: after a power loss the monotonic clock of a machine
// starts at zero, and the machine may keep its boot id.
func TestRestartedMachineInheritsNothing(t *testing.T) {
	t.Parallel()
	for _, bootedAt := range []kcrclock.Time{0, 60, -60, 5000} {
		f := newFleet(defaultRules(), 1, 200000)
		exchangeRecords := func(r *router) {
			for range 6 {
				f.read(r)
				f.write(r, false, false)
				f.now += 60
			}
		}
		f.read(f.routers[0])
		f.write(f.routers[0], false, false)
		f.read(f.routers[0])
		f.serve(f.routers[0], 100, 100) // claims
		exchangeRecords(f.routers[0])
		f.bootedAt = bootedAt
		f.replace(f.routers[0], true)
		f.now += 500
		f.read(f.routers[0])
		inherits := 0
		for _, e := range records(t, f.routers[0].wallet) {
			if e.GetInherit() != nil {
				inherits++
			}
		}
		if want := bootedAt == 0; (inherits > 0) != want {
			t.Errorf("boot times %d ms apart: expected inheritance %v, got %d records", bootedAt, want, inherits)
		}
	}
}

// TestAnotherMachineInheritsNothing guards against a process on another VM that
// closes the grants of a living holder, and against late claims of a holder whose
// grants were inherited.
func TestAnotherMachineInheritsNothing(t *testing.T) {
	t.Parallel()
	l := kcrbudget.NewLedger(kcrbudget.DefaultLedgerRules())
	apply := func(off kcrid.Offset, writer string, e *kcrentry.Entry) kcrbudget.Effect {
		e.Writer, e.Seq = writer, uint64(off)
		return l.Apply(off, e)
	}
	apply(1, "a/1", &kcrentry.Entry{Kind: &kcrentry.Entry_Limit{Limit: &kcrentry.Limit{Plan: "p", Version: 2, Tokens: 1000}}})
	apply(2, "a/1", &kcrentry.Entry{Kind: &kcrentry.Entry_Claim{Claim: &kcrentry.Claim{Plan: "p", Tokens: 600}}})
	inherit := func() *kcrentry.Entry {
		return &kcrentry.Entry{Kind: &kcrentry.Entry_Inherit{Inherit: &kcrentry.Inherit{
			Holder: "a/1", Used: []*kcrentry.Used{{Plan: "p", Tokens: 10}},
		}}}
	}
	if eff := apply(3, "b/1", inherit()); eff.Kind != kcrbudget.Ignored {
		t.Fatalf("another machine: expected the record to be ignored, got %v", eff.Kind)
	}
	if eff := apply(4, "a/2", inherit()); eff.Kind != kcrbudget.Inherited {
		t.Fatalf("the same machine: expected the grants to be inherited, got %v", eff.Kind)
	}
	if got := l.Account("p").Available(); got != 990 {
		t.Fatalf("expected 990 tokens available, got %d", got)
	}
	late := apply(5, "a/1", &kcrentry.Entry{Kind: &kcrentry.Entry_Claim{Claim: &kcrentry.Claim{Plan: "p", Tokens: 100}}})
	if late.Kind != kcrbudget.Ignored {
		t.Fatalf("a late claim of the closed holder: expected it to be ignored, got %v", late.Kind)
	}
}

// TestOldLimitChangesNothing guards against a late record that replaces a limit by
// one of an older version.
func TestOldLimitChangesNothing(t *testing.T) {
	t.Parallel()
	l := kcrbudget.NewLedger(kcrbudget.DefaultLedgerRules())
	limit := func(off kcrid.Offset, version uint64, tokens int64) {
		l.Apply(off, &kcrentry.Entry{Writer: "a/1", Seq: uint64(off), Kind: &kcrentry.Entry_Limit{
			Limit: &kcrentry.Limit{Plan: "p", Version: version, Tokens: tokens},
		}})
	}
	limit(1, 7, 500)
	limit(2, 5, 900)
	if got := l.Account("p").Prepaid; got != 500 {
		t.Fatalf("expected 500 tokens prepaid, got %d", got)
	}
	limit(3, 9, 300)
	if got := l.Account("p").Prepaid; got != 300 {
		t.Fatalf("expected 300 tokens prepaid, got %d", got)
	}
}

// TestClaimGrantedAfterRetireIsReturned guards against losing escrow that is
// granted after the wallet has retired: it must be returned too.
func TestClaimGrantedAfterRetireIsReturned(t *testing.T) {
	t.Parallel()
	f := newFleet(defaultRules(), 1, 200000)
	r := f.routers[0]
	f.read(r)
	f.write(r, false, false) // sends the limit
	f.read(r)
	if outcome := r.wallet.Reserve(f.now, plan, 100); outcome != kcrbudget.Pending {
		t.Fatalf("expected a claim to be pending, got %v", outcome)
	}
	f.write(r, false, false)
	r.wallet.Retire(f.now)
	for range 3 {
		f.read(r)
		f.write(r, false, false)
	}
	f.read(r)
	if got := r.wallet.Holding(plan); got.Available != 200000 {
		t.Fatalf("expected all of 200000 tokens available after the stop, got %+v", got)
	}
}

// TestBorrowersWithoutLenderShareInitialGrant guards against routers that find no
// home and together take the whole budget before they know their demand.
func TestBorrowersWithoutLenderShareInitialGrant(t *testing.T) {
	t.Parallel()
	noLender, unspent := true, kcrid.Tokens(100000)
	p := kcrbudget.NoLenderPolicy(func() bool { return noLender }, func() int { return 30 }, kcrbudget.OutagePolicy(kcrbudget.ShortOutageConfig()))
	taken := kcrid.Tokens(0)
	for range 30 {
		taken += p.Target(kcrbudget.PlanView{RateUnknown: true, Available: unspent - taken, Prepaid: unspent})
	}
	if taken == 0 || taken > unspent/20 {
		t.Errorf("expected 30 routers without demand to take at most a twentieth of %d tokens, got %d", unspent, taken)
	}
	if got := p.Target(kcrbudget.PlanView{SpendRate: 1000, DemandShare: 1, Available: unspent, Prepaid: unspent}); got != 2000 {
		t.Errorf("expected two seconds of a known demand, got %d", got)
	}
	noLender = false
	if got := p.Target(kcrbudget.PlanView{RateUnknown: true, Available: unspent, Prepaid: unspent}); got != 0 {
		t.Errorf("with a home: expected nothing to be held, got %d", got)
	}
}
