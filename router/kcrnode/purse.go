package kcrnode

import (
	"sync"
	"time"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrdaemon"
)

// This file drives the wallets, one for each bucket of the budgets. A wallet
// borrows from the home of its bucket what the next moments need, and claims
// escrow of its own where no home answers. Requests wait for either.

// bucket is a wallet, with the follower of its stream while this router is alone.
type bucket struct {
	number kcrid.Bucket
	wallet *kcrbudget.Wallet
	start  func() *kcrdaemon.Follower

	mu       sync.Mutex
	follower *kcrdaemon.Follower // nil while homes answer
	asking   map[kcrid.Plan]bool
	dry      map[kcrid.Plan]refusal
	rest     map[kcrid.Plan]kcrclock.Time // until then nothing is borrowed ahead
	asked    kcrclock.Time                // when a home was last asked
	failing  kcrclock.Time                // since when no home answers, 0 while one does
	failed   kcrclock.Time                // when none answered last
}

// refusal is the last word of a home on a plan that is used up.
type refusal struct {
	need kcrid.Tokens
	at   kcrclock.Time
}

// Timing of loans.
const (
	// lendTime is how long a home has to answer before the next is asked, and
	// callTime how long its answer still counts.
	lendTime = 250 * time.Millisecond
	callTime = time.Second
	// dryTime is how long a home's word counts that a budget does not cover a
	// request.
	dryTime = 100 * kcrclock.Millisecond
	// restTime is how long nothing is borrowed ahead of requests after a home
	// gave little.
	restTime = 400 * kcrclock.Millisecond
	// aloneTime is how long no home answered when a router begins to hold
	// escrow of its own.
	aloneTime = 500 * kcrclock.Millisecond
	// detachTime is how long homes have to answer before a router stops to follow
	// a stream of budgets.
	detachTime = 10 * kcrclock.Second
	// touchTime is how long a bucket may go without a call before a router makes
	// one, so that somebody carries its state forward.
	touchTime = 2 * kcrclock.Second
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

// newBucket returns the wallet of a bucket. Its stream is followed only while
// this router is alone: what a router has to know of budgets, the homes tell it.
func (n *Node) newBucket(c Config, i int) *bucket {
	b := &bucket{number: kcrid.Bucket(i), asking: map[kcrid.Plan]bool{}, dry: map[kcrid.Plan]refusal{}, rest: map[kcrid.Plan]kcrclock.Time{}}
	w := kcrbudget.NewWallet(kcrbudget.WalletConfig{
		Self: c.Self, Borrows: true, Boot: c.Boot, LedgerRules: kcrbudget.DefaultLedgerRules(),
		Policy: kcrbudget.WhenAlone(func() bool { return n.alone(b) }, n.routers, c.Escrow), Rules: kcrbudget.DefaultWalletRules(),
	})
	b.wallet = w
	b.start = func() *kcrdaemon.Follower {
		return kcrdaemon.NewFollower(c.Log, kcrid.BudgetStream(b.number), kcrdaemon.Fold{
			Apply: func(off kcrid.Offset, e *kcrentry.Entry) {
				kcrbudget.LogEffect(n.logger, w.Apply(n.clock.Now(), off, e), off)
				n.escrow.Raise()
			},
			At: w.At, Restore: w.Restore, Snapshot: w.Snapshot, Batch: w.Batch, Ready: w.Ready,
			Carries: func() bool { return w.Carries(n.clock.Now()) },
		}, c.Logger, c.Snap.Std())
	}
	return b
}

// attach follows the stream of the bucket, if that is not done yet.
func (b *bucket) attach() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.follower == nil {
		b.follower = b.start()
	}
}

// kick tells the follower, if there is one, that the wallet has something to say.
func (b *bucket) kick() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.follower != nil {
		b.follower.Kick()
	}
}

// close stops following.
func (b *bucket) close() {
	b.mu.Lock()
	f := b.follower
	b.follower = nil
	b.mu.Unlock()
	if f != nil {
		f.Close()
	}
}

// detach stops following once homes have answered for a time and have all that
// this router held.
func (n *Node) detach(b *bucket) {
	b.mu.Lock()
	done := b.follower != nil && b.failing == 0 && n.clock.Now().Sub(b.failed) > detachTime
	b.mu.Unlock()
	if done && !n.alone(b) && b.wallet.Empty() {
		b.wallet.Unready()
		b.close()
	}
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
func (b *bucket) begin(now kcrclock.Time, plan kcrid.Plan) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.asking[plan] {
		return false
	}
	b.asking[plan] = true
	b.asked = now
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

// unanswered notes that no home answered.
func (b *bucket) unanswered(now kcrclock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failed = now
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
