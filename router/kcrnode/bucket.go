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

// This file defines the budget buckets of a router. Escrow is an amount of prepaid
// tokens that a process has taken out of a team's budget and may spend without
// asking again. Each bucket has a wallet, which holds the escrow of this router for
// the teams that hash to the bucket. The wallet borrows the expected demand from
// the home of its bucket, and claims escrow of its own from the ledger while no
// home answers. A request waits until its wallet has enough escrow from either.

// bucket is a wallet and, while this router holds escrow of its own, the follower
// of the bucket's budget stream.
type bucket struct {
	number      kcrid.Bucket
	wallet      *kcrbudget.Wallet
	newFollower func() *kcrdaemon.Follower

	mu              sync.Mutex
	follower        *kcrdaemon.Follower // nil while homes answer
	loans           map[kcrid.Plan]bool // plans with a loan in progress
	refusals        map[kcrid.Plan]refusal
	prefetchAfter   map[kcrid.Plan]kcrclock.Time // nothing is prefetched before this time
	lastLoanAt      kcrclock.Time                // start of the last loan
	unansweredSince kcrclock.Time                // first loan that no home answered, 0 after an answer
	unansweredAt    kcrclock.Time                // last loan that no home answered
}

// refusal records that the budget of a plan did not cover an amount of tokens.
type refusal struct {
	need kcrid.Tokens
	at   kcrclock.Time
}

// Timing of loans.
const (
	// budgetReadPause is the time between two reads of a budget stream for each router
	// that may write to it while there are no homes, up to maxBudgetReadPause.
	budgetReadPause    = 1500 * time.Microsecond
	maxBudgetReadPause = 50 * time.Millisecond
	// borrowInterval is how often a request that waits for escrow tries to borrow again
	// while nothing changes.
	borrowInterval = 20 * time.Millisecond
	// homeAnswerTimeout is how long a home has to answer before the next is asked.
	homeAnswerTimeout = 250 * time.Millisecond
	// homeCallTimeout is how long the answer of a home still counts.
	homeCallTimeout = time.Second
	// refusalLifetime is how long a refusal is applied to further requests without
	// asking a home again.
	refusalLifetime = 100 * kcrclock.Millisecond
	// prefetchPause is how long nothing is prefetched after a home lent less than
	// half of what was wanted.
	prefetchPause = 400 * kcrclock.Millisecond
	// noHomeDelay is how long no home has to answer before a router begins to hold
	// escrow of its own.
	noHomeDelay = 500 * kcrclock.Millisecond
	// unfollowDelay is how long homes have to answer before a router stops
	// following a budget stream.
	unfollowDelay = 10 * kcrclock.Second
	// maxLoanInterval is how long a bucket may go without a loan before a router
	// starts one to keep a home open, which writes the snapshots of the bucket.
	maxLoanInterval = 2 * kcrclock.Second
)

// bucketOf returns the bucket that the budget of a team belongs to.
func (n *Node) bucketOf(team kcrid.Team) *bucket {
	return n.buckets[kcrid.BucketOf(kcrid.Plan(team), uint32(len(n.buckets)))]
}

// Reserve takes the worst case of a request, in tokens, out of a team's budget. If
// escrow is missing but may still arrive, it waits for it up to the result of longestWait, which
// it calls only then, or until callerLeft is closed.
func (n *Node) Reserve(team kcrid.Team, worstCase kcrid.Tokens, longestWait func() kcrclock.Duration, callerLeft <-chan struct{}) kcrbudget.ReserveOutcome {
	b, plan := n.bucketOf(team), kcrid.Plan(team)
	var timer *time.Timer // of the wait, nil before it begins
	var waitEnds kcrclock.Time
	for {
		changed := n.escrowChanged.Wait()
		now := n.clock.Now()
		outcome := b.wallet.Reserve(now, plan, worstCase)
		switch {
		case outcome == kcrbudget.Granted || outcome == kcrbudget.BudgetExhausted:
			return outcome
		case b.refusedRecently(now, plan, worstCase):
			return kcrbudget.BudgetExhausted
		}
		if timer == nil {
			wait := longestWait()
			timer, waitEnds = time.NewTimer(wait.Std()), now.Add(wait)
			defer timer.Stop()
			b.wallet.AddUnserved(plan, worstCase)
			defer b.wallet.AddUnserved(plan, -worstCase)
		}
		if now >= waitEnds {
			return outcome
		}
		n.borrow(b, plan, worstCase)
		select {
		case <-changed:
		case <-time.After(borrowInterval):
		case <-callerLeft:
			return outcome
		case <-timer.C:
			return outcome
		}
	}
}

// Settle ends a reservation of worstCase tokens, of which used were spent.
func (n *Node) Settle(team kcrid.Team, worstCase, used kcrid.Tokens) {
	n.bucketOf(team).wallet.Settle(kcrid.Plan(team), worstCase, used)
}

// publishBucketLimits makes the wallet of a bucket write the prepaid amounts of its
// plans to the ledger. While there are homes, the homes do that instead.
func (n *Node) publishBucketLimits(b *bucket) {
	r := n.rules.Rules()
	if r == nil {
		return
	}
	for i := range r.Teams {
		if t := &r.Teams[i]; t.Prepaid >= 0 && n.bucketOf(t.Name) == b {
			b.wallet.SetLimit(kcrid.Plan(t.Name), r.Version, t.Prepaid)
		}
	}
}

// newBucket returns a bucket with an empty wallet. The budget stream is followed
// only while there is no home: otherwise the homes tell the router all that it has
// to know about budgets.
func (n *Node) newBucket(c Config, i int) *bucket {
	b := &bucket{number: kcrid.Bucket(i), loans: map[kcrid.Plan]bool{}, refusals: map[kcrid.Plan]refusal{}, prefetchAfter: map[kcrid.Plan]kcrclock.Time{}}
	w := kcrbudget.NewWallet(kcrbudget.WalletConfig{
		Self: c.Self, Borrower: true, BootClock: c.BootClock, LedgerRules: kcrbudget.DefaultLedgerRules(),
		Policy: kcrbudget.NoLenderPolicy(func() bool { return n.lacksHome(b) }, n.escrowSharers, c.EscrowPolicy), Rules: kcrbudget.DefaultWalletRules(),
	})
	b.wallet = w
	b.newFollower = func() *kcrdaemon.Follower {
		return kcrdaemon.NewFollower(c.Log, kcrid.BudgetStream(b.number), kcrdaemon.StateMachine{
			Apply: func(off kcrid.Offset, e *kcrentry.Entry) {
				kcrbudget.LogEffect(n.logger, c.Self, w.Apply(n.clock.Now(), off, e), off)
				n.escrowChanged.Broadcast()
			},
			Offset: w.At, Snapshot: w.Snapshot, Batch: w.Batch, MarkReady: w.MarkReady,
			Restore:          func(state []byte) (bool, error) { return w.Restore(n.clock.Now(), state) },
			BeginEra:         func(era uint64) bool { return w.BeginEra(n.clock.Now(), era) },
			IsSnapshotWriter: func() bool { return w.IsSnapshotWriter(n.clock.Now()) },
			ReadDelay:        n.budgetReadPause,
		}, c.Logger, c.SnapshotInterval.Std())
	}
	return b
}

// budgetReadPause returns the time between two reads of a budget stream: the more routers
// write to it, the longer.
func (n *Node) budgetReadPause() time.Duration {
	return min(budgetReadPause*time.Duration(n.escrowSharers()), maxBudgetReadPause)
}

// follow starts to follow the budget stream, unless it is followed already.
func (b *bucket) follow() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.follower == nil {
		b.follower = b.newFollower()
	}
}

// wakeFollower makes the follower, if there is one, append the pending records of
// the wallet now.
func (b *bucket) wakeFollower() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.follower != nil {
		b.follower.Wake()
	}
}

// unfollow stops following the budget stream.
func (b *bucket) unfollow() {
	b.mu.Lock()
	f := b.follower
	b.follower = nil
	b.mu.Unlock()
	if f != nil {
		f.Close()
	}
}

// unfollowIfUnused stops following the budget stream once homes have answered for
// unfollowDelay and this router holds no escrow of its own any more.
func (n *Node) unfollowIfUnused(b *bucket) {
	b.mu.Lock()
	due := b.follower != nil && b.unansweredSince == 0 && n.clock.Now().Sub(b.unansweredAt) > unfollowDelay
	b.mu.Unlock()
	if due && !n.lacksHome(b) && b.wallet.HoldsNothing() {
		b.wallet.MarkNotReady()
		b.unfollow()
	}
}

// refusedRecently reports whether an amount of at most worstCase tokens was refused
// within refusalLifetime.
func (b *bucket) refusedRecently(now kcrclock.Time, plan kcrid.Plan, worstCase kcrid.Tokens) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	r, ok := b.refusals[plan]
	return ok && worstCase >= r.need && now.Sub(r.at) < refusalLifetime
}

// mayPrefetch reports whether escrow may be borrowed ahead of requests.
func (b *bucket) mayPrefetch(now kcrclock.Time, plan kcrid.Plan) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now >= b.prefetchAfter[plan]
}

// beginLoan marks a loan as in progress. It returns false if one for the plan is in
// progress already.
func (b *bucket) beginLoan(now kcrclock.Time, plan kcrid.Plan) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.loans[plan] {
		return false
	}
	b.loans[plan] = true
	b.lastLoanAt = now
	return true
}

// endLoan marks the loan of a plan as ended.
func (b *bucket) endLoan(plan kcrid.Plan) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.loans, plan)
}

// recordLoan records the answer of a home to a request that needs need tokens.
// pausePrefetch is set if the home lent little.
func (b *bucket) recordLoan(now kcrclock.Time, plan kcrid.Plan, need kcrid.Tokens, loan kcrbudget.Loan, pausePrefetch bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unansweredSince = 0
	if pausePrefetch {
		b.prefetchAfter[plan] = now.Add(prefetchPause)
	}
	if loan.Outcome == kcrbudget.BudgetExhausted {
		b.refusals[plan] = refusal{need: need, at: now}
		return
	}
	delete(b.refusals, plan)
}

// recordExhausted records that the budget on the ledger does not cover a request.
func (b *bucket) recordExhausted(now kcrclock.Time, plan kcrid.Plan, need kcrid.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refusals[plan] = refusal{need: need, at: now}
}

// recordNoAnswer records that no home answered a loan.
func (b *bucket) recordNoAnswer(now kcrclock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unansweredAt = now
	if b.unansweredSince == 0 {
		b.unansweredSince = now
	}
}

// unansweredFor returns how long no home has answered, 0 if the last loan was
// answered.
func (b *bucket) unansweredFor(now kcrclock.Time) kcrclock.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unansweredSince == 0 {
		return 0
	}
	return now.Sub(b.unansweredSince)
}

// lacksHome reports whether no home is known, or none has answered for noHomeDelay.
// This router then holds escrow of its own.
func (n *Node) lacksHome(b *bucket) bool {
	return n.homes.knownEmpty() || b.unansweredFor(n.clock.Now()) > noHomeDelay
}
