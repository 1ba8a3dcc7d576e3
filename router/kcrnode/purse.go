package kcrnode

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrwire"
)

// This file drives the wallets, one for each bucket of the budgets. A wallet
// borrows from the home of its bucket what the next moments need, and claims
// escrow of its own where no home answers. Requests wait for either.

// bucket is a wallet with the follower of its stream.
type bucket struct {
	number   kcrid.Bucket
	wallet   *kcrbudget.Wallet
	follower *kcrdaemon.Follower

	mu      sync.Mutex
	asking  map[kcrid.Plan]bool
	dry     map[kcrid.Plan]refusal
	rest    map[kcrid.Plan]kcrclock.Time // until then nothing is borrowed ahead
	failing kcrclock.Time                // since when no home answers, 0 while one does
}

// refusal is the last word of a home on a plan that is used up.
type refusal struct {
	need kcrid.Tokens
	at   kcrclock.Time
}

// Timing of loans.
const (
	// lendTime bounds a call for a loan.
	lendTime = 100 * time.Millisecond
	// dryTime is how long a home's word counts that a budget does not cover a
	// request.
	dryTime = 100 * kcrclock.Millisecond
	// restTime is how long nothing is borrowed ahead of requests after a home
	// gave little.
	restTime = 400 * kcrclock.Millisecond
	// aloneTime is how long no home answered when a router begins to hold
	// escrow of its own.
	aloneTime = 500 * kcrclock.Millisecond
	// followPause is the time between two reads of a stream of budgets: what a
	// router has to know in time, the homes tell it.
	followPause = 300 * time.Millisecond
)

func (n *Node) bucketOf(team kcrid.Team) *bucket {
	return n.buckets[kcrid.BucketOf(kcrid.Plan(team), uint32(len(n.buckets)))]
}

// Reserve takes tokens out of a team's budget, and waits for escrow where it
// may come.
func (n *Node) Reserve(team kcrid.Team, worst kcrid.Tokens, wait kcrclock.Duration, gone <-chan struct{}) kcrbudget.Code {
	b, plan := n.bucketOf(team), kcrid.Plan(team)
	start := n.clock.Now()
	var timer *time.Timer
	for {
		changed := n.escrow.Wait()
		now := n.clock.Now()
		code := b.wallet.Reserve(now, plan, worst)
		left := wait - now.Sub(start)
		switch {
		case code == kcrbudget.Granted || code == kcrbudget.UsedUp:
			return code
		case b.isDry(now, plan, worst):
			return kcrbudget.UsedUp
		case left <= 0:
			return code
		}
		n.borrow(b, plan, worst)
		if timer == nil {
			timer = time.NewTimer(left.Std())
			defer timer.Stop()
		}
		select {
		case <-changed:
		case <-gone:
			return code
		case <-timer.C:
			return code
		}
	}
}

// Settle ends a reservation.
func (n *Node) Settle(team kcrid.Team, worst, used kcrid.Tokens) {
	n.bucketOf(team).wallet.Settle(kcrid.Plan(team), worst, used)
}

// limit tells the wallet of a bucket what is prepaid; where there are homes, it is
// they who tell the ledger.
func (n *Node) limit(b *bucket) {
	r := n.rules.Rules()
	if r == nil {
		return
	}
	for i := range r.Teams {
		if t := &r.Teams[i]; t.Prepaid >= 0 && n.bucketOf(t.Name) == b {
			b.wallet.Limit(kcrid.Plan(t.Name), r.Version, t.Prepaid)
		}
	}
}

// lend returns the call for a loan, which tells the home what is prepaid.
func (n *Node) lend(plan kcrid.Plan, need, want kcrid.Tokens) *kcrwire.Lend {
	out := &kcrwire.Lend{Plan: string(plan), Need: int64(need), Tokens: int64(want)}
	if r := n.rules.Rules(); r != nil {
		if t := r.TeamNamed(kcrid.Team(plan)); t != nil && t.Prepaid >= 0 {
			out.Version, out.Prepaid = r.Version, int64(t.Prepaid)
		}
	}
	return out
}

// newBucket starts to follow the stream of a bucket.
func (n *Node) newBucket(c Config, i int) *bucket {
	b := &bucket{number: kcrid.Bucket(i), asking: map[kcrid.Plan]bool{}, dry: map[kcrid.Plan]refusal{}, rest: map[kcrid.Plan]kcrclock.Time{}}
	w := kcrbudget.NewWallet(kcrbudget.WalletConfig{
		Self: c.Self, Addr: c.Control, Borrows: true, Boot: c.Boot, LedgerRules: kcrbudget.DefaultLedgerRules(),
		Policy: kcrbudget.WhenAlone(func() bool { return n.alone(b) }, c.Escrow), Rules: kcrbudget.DefaultWalletRules(),
	})
	b.wallet = w
	b.follower = kcrdaemon.NewFollower(c.Log, kcrid.BudgetStream(b.number), kcrdaemon.Fold{
		Apply: func(off kcrid.Offset, e *kcrentry.Entry) {
			kcrbudget.LogEffect(n.logger, w.Apply(n.clock.Now(), off, e), off)
			if s := e.GetSuspect(); s != nil {
				n.harm.Crashed(kcrid.Content(s.GetContent()), kcrid.VM(s.GetServer()))
			}
			n.escrow.Raise()
		},
		At: w.At, Restore: w.Restore, Snapshot: w.Snapshot, Batch: w.Batch, Ready: w.Ready,
		Carries: func() bool { return w.Carries(n.clock.Now()) },
		Pause:   func() time.Duration { return n.followPause(b) },
	}, c.Logger, c.Snap.Std())
	return b
}

// isDry tells whether a home said a moment ago that the budget does not cover
// as much.
func (b *bucket) isDry(now kcrclock.Time, plan kcrid.Plan, worst kcrid.Tokens) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.dry[plan]
	return ok && worst >= r.need && now.Sub(r.at) < dryTime
}

// ahead tells whether it is worth while to borrow before requests come.
func (b *bucket) ahead(now kcrclock.Time, plan kcrid.Plan) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now >= b.rest[plan]
}

// begin tells whether nobody asks for a plan yet, and takes that on.
func (b *bucket) begin(plan kcrid.Plan) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.asking[plan] {
		return false
	}
	b.asking[plan] = true
	return true
}

func (b *bucket) end(plan kcrid.Plan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.asking, plan)
}

// answered notes what a home said.
func (b *bucket) answered(now kcrclock.Time, plan kcrid.Plan, need kcrid.Tokens, loan kcrbudget.Loan, little bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failing = 0
	if little {
		b.rest[plan] = now.Add(restTime)
	}
	if loan.Code == kcrbudget.UsedUp {
		b.dry[plan] = refusal{need: need, at: now}
		return
	}
	delete(b.dry, plan)
}

// usedUp notes that the ledger does not cover a request.
func (b *bucket) usedUp(now kcrclock.Time, plan kcrid.Plan, need kcrid.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.dry[plan] = refusal{need: need, at: now}
}

// failed notes that no home answered.
func (b *bucket) failed(now kcrclock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failing == 0 {
		b.failing = now
	}
}

// failingFor returns how long no home has answered.
func (b *bucket) failingFor(now kcrclock.Time) kcrclock.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failing == 0 {
		return 0
	}
	return now.Sub(b.failing)
}

// alone tells whether there is no home to borrow from, or none has answered for
// a time: then this router holds escrow of its own.
func (n *Node) alone(b *bucket) bool {
	return n.homes.none() || b.failingFor(n.clock.Now()) > aloneTime
}

// followPause returns the time between two reads of a stream of budgets.
func (n *Node) followPause(b *bucket) time.Duration {
	if n.homes.some() && !n.alone(b) {
		return followPause
	}
	return 0
}

// borrow asks the home of a bucket for what a request lacks, or for the next
// moments if worst is 0. Where no home answers, it claims escrow for this router.
func (n *Node) borrow(b *bucket, plan kcrid.Plan, worst kcrid.Tokens) {
	if !b.begin(plan) {
		return
	}
	n.wait.Go(func() {
		defer n.escrow.Raise()
		defer b.end(plan)
		now := n.clock.Now()
		need, want := b.wallet.Short(now, plan, worst)
		for _, addr := range n.homes.ranked(now, b.number) {
			if n.borrowFrom(addr, b, plan, need, want, worst) {
				return
			}
		}
		b.failed(now)
		n.limit(b)
		if worst > 0 {
			n.claim(b, plan, worst)
		}
	})
}

// claim asks the ledger for what a request lacks.
func (n *Node) claim(b *bucket, plan kcrid.Plan, worst kcrid.Tokens) {
	now := n.clock.Now()
	code := b.wallet.Claim(now, plan, worst)
	b.follower.Kick()
	if code == kcrbudget.UsedUp {
		b.usedUp(now, plan, worst)
	}
}

// borrowFrom asks one home, and tells whether it answered.
func (n *Node) borrowFrom(addr string, b *bucket, plan kcrid.Plan, need, want, worst kcrid.Tokens) bool {
	loan, err := n.ask(addr, n.lend(plan, need, want))
	now := n.clock.Now()
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			n.homes.refused(now, addr)
		} else {
			n.homes.silent(now, addr)
		}
		n.logger.Warn("no loan", "plan", string(plan), "home", addr, "need", int64(need), "err", err.Error())
		return false
	}
	n.homes.answered(addr)
	b.answered(now, plan, worst, loan, 2*loan.Tokens < want)
	if loan.Tokens > 0 {
		b.wallet.Borrow(plan, loan.Tokens)
	}
	b.wallet.Left(now, plan, loan.Left)
	n.logger.Info("escrow", "what", "borrowed", "plan", string(plan), "holder", addr, "tokens", int64(loan.Tokens),
		"need", int64(need), "wanted", int64(want), "left", int64(loan.Left), "code", loan.Code.String())
	return true
}

// ask makes one call to a home.
func (n *Node) ask(addr string, req *kcrwire.Lend) (loan kcrbudget.Loan, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), lendTime)
	defer cancel()
	reply, err := n.pool.Call(ctx, addr, &kcrwire.Request{Kind: &kcrwire.Request_Lend{Lend: req}})
	if err != nil {
		return loan, err
	}
	lent := reply.GetLent()
	return kcrbudget.Loan{
		Tokens: kcrid.Tokens(lent.GetTokens()), Code: kcrbudget.ParseCode(lent.GetCode()), Left: kcrid.Tokens(lent.GetLeft()),
	}, nil
}

// tend borrows for the next moments, and gives back what they don't need.
func (n *Node) tend(b *bucket) {
	now := n.clock.Now()
	for _, plan := range b.wallet.Low(now) {
		if b.ahead(now, plan) {
			n.borrow(b, plan, 0)
		}
	}
	for _, a := range b.wallet.Excess(false) {
		n.wait.Go(func() { n.giveBack(b, a) })
	}
}

// giveBack returns what was borrowed to a home, not always the one that lent
// it. What is on its way when the connection fails is lost.
func (n *Node) giveBack(b *bucket, a kcrbudget.Amount) {
	for _, addr := range n.homes.ranked(n.clock.Now(), b.number) {
		_, err := n.ask(addr, &kcrwire.Lend{Plan: string(a.Plan), Back: int64(a.Tokens)})
		if err == nil {
			n.logger.Info("escrow", "what", "returned", "plan", string(a.Plan), "holder", addr, "tokens", int64(a.Tokens))
			return
		}
		if !errors.Is(err, kcrlink.ErrUnsent) {
			n.logger.Warn("escrow lost on its way back", "plan", string(a.Plan), "holder", addr, "tokens", int64(a.Tokens), "err", err.Error())
			return
		}
	}
	b.wallet.Borrow(a.Plan, a.Tokens)
}
