package kcrnode

import (
	"context"
	"errors"
	"syscall"
	"time"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrwire"
)

// This file makes the calls for loans: for requests that wait, ahead of requests,
// and for what is not needed to go back.

// borrow asks the home of a bucket for what a request lacks, or for the next
// moments if worst is 0. Where no home answers, it claims escrow for this router.
func (n *Node) borrow(b *bucket, plan kcrid.Plan, worst kcrid.Tokens) {
	if !b.begin(n.clock.Now(), plan) {
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
		b.unanswered(now)
		b.attach()
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
	b.kick()
	if code == kcrbudget.UsedUp {
		b.usedUp(now, plan, worst)
	}
}

// borrowFrom asks one home, and tells whether it answered soon. An answer that
// comes later counts too: a router that is slow itself must not take its homes for
// dead, nor lose what they lend.
func (n *Node) borrowFrom(addr string, b *bucket, plan kcrid.Plan, need, want, worst kcrid.Tokens) bool {
	done := make(chan bool, 1)
	n.wait.Go(func() {
		loan, err := n.ask(addr, n.lend(plan, need, want))
		if err != nil {
			n.unlent(addr, plan, need, err)
		} else {
			n.lent(addr, b, plan, loan, need, want, worst)
		}
		done <- err == nil
	})
	select {
	case ok := <-done:
		return ok
	case <-time.After(lendTime):
		n.homes.late(n.clock.Now(), addr)
		return false
	}
}

// unlent notes that a home did not answer.
func (n *Node) unlent(addr string, plan kcrid.Plan, need kcrid.Tokens, err error) {
	now := n.clock.Now()
	if errors.Is(err, syscall.ECONNREFUSED) {
		n.homes.refused(now, addr)
	} else {
		n.homes.silent(now, addr)
	}
	n.logger.Warn("no loan", "plan", string(plan), "home", addr, "need", int64(need), "err", err.Error())
}

// lent takes in a loan.
func (n *Node) lent(addr string, b *bucket, plan kcrid.Plan, loan kcrbudget.Loan, need, want, worst kcrid.Tokens) {
	now := n.clock.Now()
	n.homes.answered(addr)
	b.answered(now, plan, worst, loan, 2*loan.Tokens < want)
	if loan.Tokens > 0 {
		b.wallet.Borrow(plan, loan.Tokens)
	}
	b.wallet.Left(now, plan, loan.Left)
	n.logger.Info("escrow", "what", "borrowed", "plan", string(plan), "holder", addr, "tokens", int64(loan.Tokens),
		"need", int64(need), "wanted", int64(want), "left", int64(loan.Left), "code", loan.Code.String())
	n.escrow.Raise()
}

// ask makes one call to a home.
func (n *Node) ask(addr string, req *kcrwire.Lend) (loan kcrbudget.Loan, err error) {
	req.Buckets = uint32(len(n.buckets))
	ctx, cancel := context.WithTimeout(context.Background(), callTime)
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
	n.touch(now, b)
}

// touch makes a call to the home of a bucket that nobody uses: without a home, its
// records would outlive its snapshots. One router does that for each bucket.
func (n *Node) touch(now kcrclock.Time, b *bucket) {
	b.mu.Lock()
	due := now.Sub(b.asked) > touchTime
	b.mu.Unlock()
	r := n.rules.Rules()
	if !due || r == nil || !n.book.Leads(now, string(kcrid.BudgetStream(b.number))) {
		return
	}
	for i := range r.Teams {
		if t := &r.Teams[i]; t.Prepaid >= 0 && n.bucketOf(t.Name) == b {
			n.borrow(b, kcrid.Plan(t.Name), 0)
			return
		}
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
