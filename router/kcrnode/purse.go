package kcrnode

import (
	"context"
	"sync"
	"time"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrwire"
)

// This file drives the wallets, one for each bucket of the budgets, and lets
// requests wait for escrow.

// bucket is a wallet with the follower of its stream.
type bucket struct {
	wallet   *kcrbudget.Wallet
	follower *kcrdaemon.Follower

	mu     sync.Mutex
	asking map[kcrid.Plan]kcrclock.Time // when others were last asked to lend
}

// signal wakes all who wait. It is safe for concurrent use.
type signal struct {
	mu sync.Mutex
	c  chan struct{}
}

func newSignal() *signal { return &signal{c: make(chan struct{})} }

// wait returns a channel that is closed at the next call of raise.
func (s *signal) wait() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.c
}

func (s *signal) raise() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.c)
	s.c = make(chan struct{})
}

func (n *Node) bucketOf(team kcrid.Team) *bucket {
	return n.buckets[kcrid.BucketOf(kcrid.Plan(team), uint32(len(n.buckets)))]
}

// Reserve takes tokens out of a team's budget, and waits for escrow where it
// may come.
func (n *Node) Reserve(team kcrid.Team, worst kcrid.Tokens, wait kcrclock.Duration, gone <-chan struct{}) kcrbudget.Code {
	b := n.bucketOf(team)
	start := n.clock.Now()
	var timer *time.Timer
	for {
		changed := n.escrow.wait()
		code := b.wallet.Reserve(n.clock.Now(), kcrid.Plan(team), worst)
		left := wait - n.clock.Now().Sub(start)
		waits := code == kcrbudget.Pending || code == kcrbudget.Unknowable // at the start
		if !waits || left <= 0 {
			return code
		}
		b.follower.Kick()
		if code == kcrbudget.Pending {
			n.borrow(b, kcrid.Plan(team), worst)
		}
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

// limit tells the wallets what is prepaid.
func (n *Node) limit(r *kcrrule.Rules) {
	for i := range r.Teams {
		if t := &r.Teams[i]; t.Prepaid >= 0 {
			n.bucketOf(t.Name).wallet.Limit(kcrid.Plan(t.Name), r.Version, t.Prepaid)
		}
	}
}

// newBucket starts to follow the stream of a bucket.
func (n *Node) newBucket(c Config, i int) *bucket {
	w := kcrbudget.NewWallet(kcrbudget.WalletConfig{
		Self: c.Self, Addr: c.Control, Boot: c.Boot, LedgerRules: kcrbudget.DefaultLedgerRules(), Policy: c.Escrow, Fits: kcrbudget.Fits,
	})
	b := &bucket{wallet: w, asking: map[kcrid.Plan]kcrclock.Time{}}
	b.follower = kcrdaemon.NewFollower(c.Log, kcrid.BudgetStream(kcrid.Bucket(i)), kcrdaemon.Fold{
		Apply: func(off kcrid.Offset, e *kcrentry.Entry) {
			n.note(w.Apply(n.clock.Now(), off, e), off)
			if s := e.GetSuspect(); s != nil {
				n.harm.Crashed(kcrid.Content(s.GetContent()), kcrid.VM(s.GetServer()))
			}
			n.escrow.raise()
		},
		At: w.At, Restore: w.Restore, Snapshot: w.Snapshot, Batch: w.Batch, Ready: w.Ready,
		Carries: func() bool { return w.Carries(n.clock.Now()) },
	}, c.Logger, c.Snap.Std())
	return b
}

// note logs what a record did to the ledger, but for reports of spending.
func (n *Node) note(eff kcrbudget.Effect, off kcrid.Offset) {
	if eff.Kind == kcrbudget.Ignored || eff.Kind == kcrbudget.Marked && eff.Tokens == 0 {
		return
	}
	n.logger.Info("escrow", "what", eff.Kind.String(), "plan", string(eff.Plan), "holder", string(eff.Writer),
		"tokens", int64(eff.Tokens), "unmet", int64(eff.Unmet), "offset", uint64(off))
}

// Timing of loans.
const (
	// lendTime bounds a call for a loan.
	lendTime = 100 * time.Millisecond
	// lendPause is the time between two rounds of asking for a plan.
	lendPause = 100 * kcrclock.Millisecond
)

// borrow asks the other holders for escrow of a plan, one after the other until
// one lends.
func (n *Node) borrow(b *bucket, plan kcrid.Plan, worst kcrid.Tokens) {
	now := n.clock.Now()
	b.mu.Lock()
	last, asked := b.asking[plan]
	if asked && now.Sub(last) < lendPause {
		b.mu.Unlock()
		return
	}
	b.asking[plan] = now
	b.mu.Unlock()
	want := b.wallet.Short(plan, worst)
	n.wait.Go(func() {
		for _, peer := range b.wallet.Near(now) {
			if got := n.ask(peer, plan, want); got > 0 {
				b.wallet.Borrow(plan, got)
				n.escrow.raise()
				n.logger.Info("escrow", "what", "borrowed", "plan", string(plan), "holder", string(peer.Holder), "tokens", int64(got), "wanted", int64(want))
				return
			}
		}
	})
}

// ask asks one holder for a loan.
func (n *Node) ask(peer kcrbudget.Peer, plan kcrid.Plan, want kcrid.Tokens) kcrid.Tokens {
	ctx, cancel := context.WithTimeout(context.Background(), lendTime)
	defer cancel()
	reply, err := n.pool.Call(ctx, peer.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Lend{Lend: &kcrwire.Lend{
		Plan: string(plan), Tokens: int64(want),
	}}})
	if err != nil {
		n.logger.Info("no loan", "plan", string(plan), "holder", string(peer.Holder), "err", err.Error())
		return 0
	}
	return kcrid.Tokens(reply.GetLent().GetTokens())
}

// lend answers another holder.
func (n *Node) lend(req *kcrwire.Lend) *kcrwire.Reply {
	plan := kcrid.Plan(req.GetPlan())
	give := n.bucketOf(kcrid.Team(plan)).wallet.Lend(n.clock.Now(), plan, kcrid.Tokens(req.GetTokens()))
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Lent{Lent: &kcrwire.Lent{Tokens: int64(give)}}}
}
