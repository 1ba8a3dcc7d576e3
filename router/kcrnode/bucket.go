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
	queue       *kcrbudget.Queue // requests that wait for escrow
	loans       *kcrbudget.LoanDesk
	newFollower func() *kcrdaemon.Follower

	mu              sync.Mutex
	follower        *kcrdaemon.Follower // nil while homes answer
	refusals        map[kcrid.Plan]refusal
	prefetchAfter   map[kcrid.Plan]kcrclock.Time // nothing is prefetched before this time
	borrowAfter     map[kcrid.Plan]kcrclock.Time // nothing is borrowed before this time
	lastLoanAt      kcrclock.Time                // start of the last loan
	unansweredSince kcrclock.Time                // first loan that no home answered, 0 after an answer
	unansweredAt    kcrclock.Time                // last loan that no home answered
}

// refusal records that the budget of a plan does not cover an amount of tokens.
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
	// minAnswerTimeout is how long a home has at least to answer before the next is asked.
	minAnswerTimeout = 250 * kcrclock.Millisecond
	// homeCallTimeout is how long the answer of a home still counts.
	homeCallTimeout = time.Second
	// askAgainPause is the time before a home is asked for the answer to a call that failed,
	// maxAsksAgain how often that is done.
	askAgainPause = 200 * time.Millisecond
	maxAsksAgain  = 4
	// exhaustedPause is the time between two loans of a plan of which no home can lend enough
	// for any request.
	exhaustedPause = 50 * kcrclock.Millisecond
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
// escrow is missing but may still arrive, it waits for it up to maxWait, or until
// callerLeft is closed. Requests that wait get theirs in the given order.
func (n *Node) Reserve(team kcrid.Team, worstCase kcrid.Tokens, order kcrbudget.Order, maxWait kcrclock.Duration, callerLeft <-chan struct{}) kcrbudget.ReserveOutcome {
	b, plan := n.bucketOf(team), kcrid.Plan(team)
	waiting := b.queue.Join(plan, worstCase, order)
	outcome := n.awaitEscrow(b, plan, worstCase, waiting, maxWait, callerLeft)
	if b.queue.Leave(plan, waiting) {
		return kcrbudget.Granted
	}
	if outcome != kcrbudget.BudgetExhausted {
		n.escrowPending.Inc()
	}
	return outcome
}

// awaitEscrow grants escrow to the requests of a plan that wait, and borrows, until the given
// one has its tokens or cannot get them in time.
func (n *Node) awaitEscrow(b *bucket, plan kcrid.Plan, worstCase kcrid.Tokens, waiting *kcrbudget.Waiting, maxWait kcrclock.Duration, callerLeft <-chan struct{}) (outcome kcrbudget.ReserveOutcome) {
	start := n.clock.Now()
	var timer *time.Timer
	for {
		changed := n.escrowChanged.Wait()
		now := n.clock.Now()
		outcome = n.grantWaiting(now, b, plan)
		granted, waits := b.queue.State(waiting)
		remaining := maxWait - now.Sub(start)
		switch {
		case granted:
			return kcrbudget.Granted
		case b.refusedRecently(now, plan, worstCase):
			return kcrbudget.BudgetExhausted
		case remaining <= 0 || !waits:
			return outcome
		}
		n.borrow(b, plan)
		if timer == nil {
			timer = time.NewTimer(remaining.Std())
			defer timer.Stop()
		}
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

// grantWaiting grants escrow to the requests of a plan that wait, in order, and returns the
// outcome of the last one that got none.
func (n *Node) grantWaiting(now kcrclock.Time, b *bucket, plan kcrid.Plan) (outcome kcrbudget.ReserveOutcome) {
	outcome = kcrbudget.Pending
	granted := b.queue.Grant(now, plan, func(tokens kcrid.Tokens) bool {
		o := b.wallet.Reserve(now, plan, tokens)
		if o != kcrbudget.Granted {
			outcome = o
		}
		return o == kcrbudget.Granted
	})
	if granted > 1 {
		n.escrowChanged.Broadcast()
	}
	return outcome
}

// ReturnAfter returns when a request that waited for escrow in vain may come back.
func (n *Node) ReturnAfter(team kcrid.Team, worstCase kcrid.Tokens) kcrclock.Duration {
	return n.bucketOf(team).queue.ReturnAfter(n.clock.Now(), kcrid.Plan(team), worstCase)
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
	b := &bucket{number: kcrid.Bucket(i), queue: kcrbudget.NewQueue(), loans: kcrbudget.NewLoanDesk(), refusals: map[kcrid.Plan]refusal{}, prefetchAfter: map[kcrid.Plan]kcrclock.Time{}, borrowAfter: map[kcrid.Plan]kcrclock.Time{}}
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

// mayBorrow reports whether a home may lend something for a plan.
func (b *bucket) mayBorrow(now kcrclock.Time, plan kcrid.Plan) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return now >= b.borrowAfter[plan]
}

// recordLoanStart records when the last loan began.
func (b *bucket) recordLoanStart(now kcrclock.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastLoanAt = now
}

// recordLoan records the answer of a home to a loan. It refuses requests that what this router
// holds, what its requests are expected to leave, and what homes may still lend do not cover.
// Nothing is prefetched for a time if the home lent little of the wanted tokens.
func (b *bucket) recordLoan(now kcrclock.Time, plan kcrid.Plan, loan kcrbudget.Loan, wanted kcrid.Tokens) {
	inFlight := max(0, b.loans.InFlight(plan)-wanted) // of other loans
	covered := max(0, b.wallet.Holding(plan).Free) + b.wallet.Returning(plan) + inFlight + loan.Tokens + loan.Reach
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unansweredSince = 0
	if 2*loan.Tokens < wanted {
		b.prefetchAfter[plan] = now.Add(prefetchPause)
	}
	if loan.Outcome != kcrbudget.Granted && loan.Outcome != kcrbudget.Pending && loan.Outcome != kcrbudget.BudgetExhausted {
		delete(b.refusals, plan)
		return
	}
	if loan.Outcome == kcrbudget.BudgetExhausted {
		b.borrowAfter[plan] = now.Add(exhaustedPause)
	}
	b.refusals[plan] = refusal{need: covered + 1, at: now}
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
