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

// This file defines the calls that move escrow between this router and the homes:
// loans for waiting requests, loans ahead of requests (prefetching), and returns of
// escrow that is not needed. A loan has two amounts: need is what a waiting request
// lacks, want is need plus the expected demand; worstCase is the most that the request
// may use. Invariant: a plan has at most one loan in progress, apart from overdue
// calls, whose answers still count. Node.transfers counts each loan and return from before
// its tokens leave one wallet until they are in the other, or lost.

// borrow starts a loan in the background, unless one for the plan is in progress or
// borrowing has ended. It asks the homes of the bucket for the tokens that a request of
// worstCase tokens lacks, or for those of the expected demand if worstCase is 0. If no
// home answers, it claims escrow from the ledger for this router.
func (n *Node) borrow(b *bucket, plan kcrid.Plan, worstCase kcrid.Tokens) {
	n.transfers.Add(1) // before borrowingEnded is read, so that Stop waits for the loan
	if n.borrowingEnded.Load() || !b.beginLoan(n.clock.Now(), plan) {
		n.transfers.Done()
		return
	}
	n.loans.Inc()
	n.wg.Go(func() {
		defer n.transfers.Done()
		defer b.endLoan(plan)
		now := n.clock.Now()
		need, want := b.wallet.Shortfall(now, plan, worstCase)
		for _, addr := range n.homes.candidates(now, b.number) {
			if n.borrowFrom(addr, b, plan, need, want, worstCase) || n.borrowingEnded.Load() {
				return
			}
		}
		b.recordNoAnswer(now)
		b.follow()
		n.publishBucketLimits(b)
		if worstCase > 0 {
			n.claim(b, plan, worstCase)
		}
	})
}

// claim asks the ledger for the tokens that a request lacks. Requests that wait are woken
// when the ledger answers.
func (n *Node) claim(b *bucket, plan kcrid.Plan, worstCase kcrid.Tokens) {
	now := n.clock.Now()
	outcome := b.wallet.Claim(now, plan, worstCase)
	b.wakeFollower()
	if outcome == kcrbudget.BudgetExhausted {
		b.recordExhausted(now, plan, worstCase)
		n.escrowChanged.Broadcast()
	}
}

// borrowFrom asks one home and reports whether it answered within
// homeAnswerTimeout, or a longer time if homes take that long. An answer that comes later still
// counts: a router that is slow itself must not treat its homes as dead, nor lose the tokens that
// they lend.
func (n *Node) borrowFrom(addr string, b *bucket, plan kcrid.Plan, need, want, worstCase kcrid.Tokens) bool {
	answered, asked := make(chan bool, 1), n.clock.Now()
	n.transfers.Add(1)
	n.wg.Go(func() {
		defer n.transfers.Done()
		loan, err := n.callHome(addr, n.loanRequest(plan, need, want))
		if err == nil && loan.Outcome == kcrbudget.NotHolder {
			err = errHomeStops
		}
		if err != nil {
			n.recordLoanFailure(addr, plan, need, err)
		} else {
			n.loanCalls.RecordAnswer(n.clock.Now().Sub(asked).Std())
			n.receiveLoan(addr, b, plan, asked, loan, need, want, worstCase)
		}
		answered <- err == nil
	})
	select {
	case ok := <-answered:
		return ok
	case <-time.After(n.loanCalls.Timeout(homeAnswerTimeout)):
		n.loanCalls.RecordTimeout()
		n.homes.recordSlow(n.clock.Now(), addr)
		return false
	}
}

// errHomeStops is the error of a call to a home that takes part in no loans any more.
var errHomeStops = errors.New("the home stops")

// recordLoanFailure logs that a call for a loan failed, and makes the directory
// skip the home for a time.
func (n *Node) recordLoanFailure(addr string, plan kcrid.Plan, need kcrid.Tokens, err error) {
	lost := n.homes.recordFailure(n.clock.Now(), addr, errors.Is(err, syscall.ECONNREFUSED))
	n.logger.Warn("call for a loan failed", "plan", string(plan), "home", addr, "need", int64(need), "err", err.Error())
	if lost {
		n.logger.Warn("no home answers: this router holds escrow of its own", "failures", maxFailures)
	}
}

// receiveLoan adds a loan, asked for at a time, to the wallet and wakes the requests that wait for escrow.
func (n *Node) receiveLoan(addr string, b *bucket, plan kcrid.Plan, asked kcrclock.Time, loan kcrbudget.Loan, need, want, worstCase kcrid.Tokens) {
	now := n.clock.Now()
	if n.homes.recordAnswer(addr) {
		n.logger.Info("homes answer again", "home", addr)
	}
	b.recordLoan(now, plan, worstCase, loan, 2*loan.Tokens < want)
	if loan.Tokens > 0 {
		b.wallet.AddBorrowed(plan, loan.Tokens)
	}
	if n.borrowingEnded.Load() {
		n.returnExcess(b)
	}
	b.wallet.SetUnspent(now, plan, loan.Unspent)
	b.wallet.NoteUsed(plan, loan.Era, loan.Used)
	n.logger.Info("escrow", "what", "borrowed", "plan", string(plan), "holder", addr, "tokens", int64(loan.Tokens),
		"need", int64(need), "wanted", int64(want), "left", int64(loan.Unspent), "code", loan.Outcome.String(), "ms", int64(now.Sub(asked)))
	if loan.Tokens > 0 || loan.Outcome == kcrbudget.BudgetExhausted {
		n.escrowChanged.Broadcast()
	}
}

// callHome sends one request to a home and returns the loan in the reply. The home
// checks that it uses the same number of buckets.
func (n *Node) callHome(addr string, req *kcrwire.Lend) (loan kcrbudget.Loan, err error) {
	req.Buckets = uint32(len(n.buckets))
	ctx, cancel := context.WithTimeout(context.Background(), homeCallTimeout)
	defer cancel()
	reply, err := n.pool.Call(ctx, addr, &kcrwire.Request{Kind: &kcrwire.Request_Lend{Lend: req}})
	if err != nil {
		return loan, err
	}
	lent := reply.GetLent()
	return kcrbudget.Loan{
		Tokens: kcrid.Tokens(lent.GetTokens()), Outcome: kcrbudget.ParseReserveOutcome(lent.GetCode()), Unspent: kcrid.Tokens(lent.GetLeft()),
		Used: kcrid.Tokens(lent.GetUsed()), Era: lent.GetEra(),
	}, nil
}

// rebalance borrows the expected demand of the plans that are short of escrow, and
// returns the borrowed escrow that exceeds it.
func (n *Node) rebalance(b *bucket) {
	now := n.clock.Now()
	for _, plan := range b.wallet.PlansToBorrow(now) {
		if b.mayPrefetch(now, plan) {
			n.borrow(b, plan, 0)
		}
	}
	n.returnExcess(b)
	n.keepHomeOpen(now, b)
}

// returnExcess returns, in the background, the borrowed escrow that exceeds the expected
// demand, or all that is unused once borrowing has ended.
func (n *Node) returnExcess(b *bucket) {
	n.transfers.Add(1)
	defer n.transfers.Done()
	for _, excess := range b.wallet.TakeExcess(n.borrowingEnded.Load()) {
		n.transfers.Add(1)
		n.wg.Go(func() {
			defer n.transfers.Done()
			n.returnEscrow(b, excess)
		})
	}
}

// keepHomeOpen calls the home of a bucket that has no traffic. A bucket without an
// open home gets no new snapshots, and its snapshots would expire from the log
// before its records do. One router does this for each bucket.
func (n *Node) keepHomeOpen(now kcrclock.Time, b *bucket) {
	b.mu.Lock()
	due := now.Sub(b.lastLoanAt) > maxLoanInterval
	b.mu.Unlock()
	r := n.rules.Rules()
	if !due || r == nil || !n.peers.OwnsItem(now, string(kcrid.BudgetStream(b.number))) {
		return
	}
	for i := range r.Teams {
		if t := &r.Teams[i]; t.Prepaid >= 0 && n.bucketOf(t.Name) == b {
			n.borrow(b, kcrid.Plan(t.Name), 0)
			return
		}
	}
}

// returnEscrow gives borrowed tokens to a home, which need not be the one that lent
// them. Tokens in transit when the connection fails are lost. If no home took them, the
// wallet keeps the tokens.
func (n *Node) returnEscrow(b *bucket, excess kcrbudget.Amount) {
	for _, addr := range n.homes.candidates(n.clock.Now(), b.number) {
		taken, err := n.callHome(addr, &kcrwire.Lend{Plan: string(excess.Plan), Back: int64(excess.Tokens)})
		if err == nil && taken.Outcome != kcrbudget.Granted {
			n.logger.Info("return of escrow refused", "plan", string(excess.Plan), "holder", addr, "code", taken.Outcome.String())
			continue
		}
		if err == nil {
			n.logger.Info("escrow", "what", "returned", "plan", string(excess.Plan), "holder", addr, "tokens", int64(excess.Tokens))
			return
		}
		if !errors.Is(err, kcrlink.ErrNotSent) {
			n.logger.Warn("return of escrow failed, its tokens are lost", "plan", string(excess.Plan), "holder", addr, "tokens", int64(excess.Tokens), "err", err.Error())
			return
		}
	}
	b.wallet.AddBorrowed(excess.Plan, excess.Tokens)
}

// loanRequest returns the request for a loan of need to want tokens. It includes
// the prepaid amount of the plan, which the home writes to the ledger, and the used tokens
// that a home has told.
func (n *Node) loanRequest(plan kcrid.Plan, need, want kcrid.Tokens) *kcrwire.Lend {
	req := &kcrwire.Lend{Plan: string(plan), Need: int64(need), Tokens: int64(want)}
	era, used := n.bucketOf(kcrid.Team(plan)).wallet.NotedUsed(plan)
	req.Used, req.Era = int64(used), era
	if r := n.rules.Rules(); r != nil {
		if t := r.TeamByName(kcrid.Team(plan)); t != nil && t.Prepaid >= 0 {
			req.Version, req.Prepaid = r.Version, int64(t.Prepaid)
		}
	}
	return req
}
