package kcrbudget_test

import (
	"fmt"
	"math"
	"testing"

	"google.golang.org/protobuf/proto"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
)

// This file plays the load of a team whose callers come through one router, and of routers
// that share the end of a budget: routers with queues and loans before one home, without a
// network. Time advances in steps of a millisecond.

// crowd is a home and the routers that borrow from it.
type crowd struct {
	now     kcrclock.Time
	home    *kcrbudget.Wallet
	stream  [][]byte
	applied int
	routers []*crowdRouter
	answers kcrclock.Duration // how long a loan takes, half of it to the home
	served  kcrid.Tokens
}

type crowdRouter struct {
	wallet  *kcrbudget.Wallet
	queue   *kcrbudget.Queue
	desk    *kcrbudget.LoanDesk
	waiting []crowdRequest
	loans   []crowdLoan

	served, refused int
}

type crowdRequest struct {
	*kcrbudget.Waiting
	tokens kcrid.Tokens
	until  kcrclock.Time
}

type crowdLoan struct {
	size            kcrbudget.LoanSize
	askedAt, giveUp kcrclock.Time
	loan            kcrbudget.Loan
	answered        bool
}

// newCrowd returns a home of a plan with prepaid tokens, and routers.
func newCrowd(prepaid kcrid.Tokens, routers int, answers kcrclock.Duration) *crowd {
	c := &crowd{now: 1, answers: answers}
	wallet := func(name string, borrower bool) *kcrbudget.Wallet {
		policy := kcrbudget.OutagePolicy(kcrbudget.ShortOutageConfig())
		if borrower {
			policy = kcrbudget.NoLenderPolicy(func() bool { return false }, func() int { return routers }, policy)
		}
		return kcrbudget.NewWallet(kcrbudget.WalletConfig{
			Self: kcrid.IncarnationOf(kcrid.VM(name), "1"), Borrower: borrower, BootClock: kcrbudget.BootClock{Now: func() kcrclock.Time { return c.now }, BootID: 1},
			LedgerRules: kcrbudget.DefaultLedgerRules(), Policy: policy, Rules: kcrbudget.DefaultWalletRules(),
		})
	}
	c.home = wallet("home", false)
	c.home.MarkReady()
	c.home.SetLimit(plan, 1, prepaid)
	for i := range routers {
		c.routers = append(c.routers, &crowdRouter{wallet: wallet(fmt.Sprint("router-", i), true), queue: kcrbudget.NewQueue(), desk: kcrbudget.NewLoanDesk()})
	}
	return c
}

// arrive adds a request that waits for 400 ms at most.
func (c *crowd) arrive(r *crowdRouter, tokens kcrid.Tokens) {
	r.waiting = append(r.waiting, crowdRequest{r.queue.Join(plan, tokens, kcrbudget.Order{Deadline: c.now}), tokens, c.now + 400})
}

// step advances time by a millisecond.
func (c *crowd) step() {
	c.now++
	if c.now%10 == 0 {
		records, _ := c.home.Batch(math.MaxInt)
		c.stream = append(c.stream, records...)
		for ; c.applied < len(c.stream); c.applied++ {
			e := &kcrentry.Entry{}
			if proto.Unmarshal(c.stream[c.applied], e) == nil {
				c.home.Apply(c.now, kcrid.Offset(c.applied+1), e)
			}
		}
	}
	if c.now%200 == 0 {
		c.home.Tick(c.now)
	}
	for _, r := range c.routers {
		c.stepRouter(r)
	}
}

func (c *crowd) stepRouter(r *crowdRouter) {
	kept := r.loans[:0]
	for _, l := range r.loans {
		c.ask(&l)
		if !l.answered || c.now.Sub(l.giveUp) < c.answers/2 {
			kept = append(kept, l)
			continue
		}
		r.desk.End(plan, l.size)
		r.wallet.AddBorrowed(plan, l.loan.Tokens)
		r.wallet.SetUnspent(c.now, plan, l.loan.Unspent)
	}
	r.loans = kept
	r.queue.Grant(c.now, plan, func(tokens kcrid.Tokens) bool {
		granted := r.wallet.Reserve(c.now, plan, tokens) == kcrbudget.Granted
		if granted {
			r.wallet.Settle(plan, tokens, tokens)
			c.served += tokens
			r.served++
		}
		return granted
	})
	still := r.waiting[:0]
	for _, request := range r.waiting {
		switch granted, _ := r.queue.State(request.Waiting); {
		case granted:
		case c.now < request.until:
			still = append(still, request)
		default:
			r.queue.Leave(plan, request.Waiting)
			r.refused++
		}
	}
	r.waiting = still
	if demand := r.queue.Demand(plan); demand.Count > 0 {
		r.wallet.SetLoanDelay(c.answers)
		if size, ok := r.desk.Begin(c.now, plan, r.wallet.LoanSize(c.now, plan, demand)); ok {
			c.home.AddWaiting(plan, size.Need)
			r.loans = append(r.loans, crowdLoan{size: size, askedAt: c.now})
		}
	}
}

// ask asks the home for a loan, until it has lent or has waited for 60 ms.
func (c *crowd) ask(l *crowdLoan) {
	arrived := l.askedAt.Add(c.answers / 2)
	if l.answered || c.now < arrived {
		return
	}
	last := c.now.Sub(arrived) >= 60
	l.loan = c.home.LendWaiting(c.now, plan, l.size, last)
	if l.loan.Outcome == kcrbudget.Granted || l.loan.Outcome == kcrbudget.BudgetExhausted || last {
		l.answered, l.giveUp = true, c.now
		c.home.AddWaiting(plan, -l.size.Need)
	}
}

// TestCrowdAtOneRouter plays 200 requests a second of one team at one router, beside a few at
// four others, with a budget that covers all, before a home that answers at once or late. At
// most 1 in 100 may be refused once the first second is over.
func TestCrowdAtOneRouter(t *testing.T) {
	t.Parallel()
	for _, answers := range []kcrclock.Duration{2, 200, 300} {
		c := newCrowd(100_000_000, 5, answers)
		for c.now < 10_000 {
			if c.now == 1000 {
				for _, r := range c.routers {
					r.served, r.refused = 0, 0
				}
			}
			if c.now%5 == 0 {
				c.arrive(c.routers[0], 1000+kcrid.Tokens(c.now*7919%4000))
			}
			if c.now%200 == 0 {
				c.arrive(c.routers[1+c.now/200%4], 2000)
			}
			c.step()
		}
		for i, r := range c.routers {
			if 100*r.refused > r.served {
				t.Errorf("loans of %d ms, router %d: expected at most 1 in 100 refused, got %d, and %d served", answers, i, r.refused, r.served)
			}
		}
	}
}

// TestEndOfBudgetIsShared plays the last 100,000 tokens of a team, which five routers ask for
// at once, each for more than its part. No token is served twice, each router serves some of
// its requests, and less than the largest request is left.
func TestEndOfBudgetIsShared(t *testing.T) {
	t.Parallel()
	const prepaid, size = 100_000, 2000
	c := newCrowd(prepaid, 5, 4)
	for c.now < 4000 {
		for range 20 {
			for _, r := range c.routers {
				if c.now == 1000 {
					c.arrive(r, size)
				}
			}
		}
		c.step()
	}
	for i, r := range c.routers {
		if r.served < 5 {
			t.Errorf("router %d: expected a part of 10 requests, at least 5, got %d", i, r.served)
		}
	}
	if c.served > prepaid || c.served < prepaid-5*size {
		t.Errorf("expected at most %d tokens to be served and less than a request left at each router, got %d", prepaid, c.served)
	}
}

// TestQueueOrder checks that requests get escrow by rank, then by deadline, that one that does
// not fit is passed over, and that a full queue gives up the last in order.
func TestQueueOrder(t *testing.T) {
	t.Parallel()
	q := kcrbudget.NewQueue()
	low := q.Join(plan, 100, kcrbudget.Order{TeamRank: 2, Deadline: 1})
	late := q.Join(plan, 100, kcrbudget.Order{Deadline: 9})
	large := q.Join(plan, 900, kcrbudget.Order{Deadline: 3})
	soon := q.Join(plan, 100, kcrbudget.Order{Deadline: 5})
	free := kcrid.Tokens(200)
	q.Grant(1, plan, func(tokens kcrid.Tokens) bool {
		if tokens > free {
			return false
		}
		free -= tokens
		return true
	})
	for _, w := range []struct {
		*kcrbudget.Waiting
		granted bool
	}{{low, false}, {late, true}, {large, false}, {soon, true}} {
		if granted, _ := q.State(w.Waiting); granted != w.granted {
			t.Errorf("%+v: expected granted %t, got %t", w.Waiting, w.granted, granted)
		}
	}
	for range 600 {
		q.Join(plan, 1, kcrbudget.Order{TeamRank: 1})
	}
	if _, waits := q.State(low); waits {
		t.Error("expected the last in order to be removed from a full queue")
	}
}
