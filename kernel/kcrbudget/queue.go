package kcrbudget

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the queue of the requests that wait for escrow at a router. Invariants: a
// request joins the queue before it reserves, so none overtakes another that fits as well;
// requests are granted by rank, then by deadline, then in the order of their arrival; one that
// does not fit is passed over, so that it keeps no escrow from others; the queue of a plan is
// bounded, and gives up the last in order when it is full.

// Order is the place of a request among those that wait for the escrow of a plan. Lower ranks
// come first.
type Order struct {
	TeamRank  int // priority of the team
	RouteRank int // priority of the route
	Deadline  kcrclock.Time
}

// compare returns a negative number if o comes before other.
func (o Order) compare(other Order) int {
	return cmp.Or(cmp.Compare(o.TeamRank, other.TeamRank), cmp.Compare(o.RouteRank, other.RouteRank), cmp.Compare(o.Deadline, other.Deadline))
}

// Limits of a queue, for each plan.
const (
	// maxWaiting is the largest number of requests that wait.
	maxWaiting = 512
	// grantWindow is the time over which granted tokens are counted to pace returns.
	grantWindow = kcrclock.Second
	// minReturn and maxReturn bound the time that a refused request is asked to stay away.
	minReturn = 150 * kcrclock.Millisecond
	maxReturn = 4 * kcrclock.Second
)

// Waiting is a request that waits for escrow.
type Waiting struct {
	tokens  kcrid.Tokens
	order   Order
	granted bool
	removed bool // because the queue was full
}

// Queue holds the requests that wait for the escrow of the plans of one bucket. It is safe for
// concurrent use. Its lock may be held while a wallet is called, never the other way round.
type Queue struct {
	mu    sync.Mutex
	plans map[kcrid.Plan]*planQueue
}

// planQueue is the queue of one plan.
type planQueue struct {
	waiting     []*Waiting // in the order in which they are granted
	windowStart kcrclock.Time
	granted     kcrid.Tokens  // since windowStart
	rate        float64       // tokens granted per second in the window before, 0 if unknown
	returnAt    kcrclock.Time // when the next refused request may return
}

// NewQueue returns an empty queue.
func NewQueue() *Queue { return &Queue{plans: map[kcrid.Plan]*planQueue{}} }

// plan returns the queue of a plan, and creates it if needed.
func (q *Queue) plan(p kcrid.Plan) *planQueue {
	if q.plans[p] == nil {
		q.plans[p] = &planQueue{}
	}
	return q.plans[p]
}

// Join adds a request. If the queue is full, the last in order is removed, which may be the new
// one.
func (q *Queue) Join(p kcrid.Plan, tokens kcrid.Tokens, order Order) *Waiting {
	q.mu.Lock()
	defer q.mu.Unlock()
	pq := q.plan(p)
	w := &Waiting{tokens: tokens, order: order}
	at := len(pq.waiting)
	for at > 0 && order.compare(pq.waiting[at-1].order) < 0 {
		at--
	}
	pq.waiting = slices.Insert(pq.waiting, at, w)
	if last := len(pq.waiting) - 1; last >= maxWaiting {
		pq.waiting[last].removed = true
		pq.waiting = pq.waiting[:last]
	}
	return w
}

// Grant offers escrow to the requests of a plan in order. reserve reports whether the tokens of
// a request are reserved for it; it is not asked for more than it refused before. Grant returns
// how many requests got theirs.
func (q *Queue) Grant(now kcrclock.Time, p kcrid.Plan, reserve func(kcrid.Tokens) bool) (count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	pq := q.plan(p)
	kept := pq.waiting[:0]
	refused := kcrid.Tokens(math.MaxInt64)
	for _, w := range pq.waiting {
		if w.granted = w.tokens < refused && reserve(w.tokens); !w.granted {
			refused = min(refused, w.tokens)
			kept = append(kept, w)
			continue
		}
		count++
		pq.noteGranted(now, w.tokens)
	}
	clear(pq.waiting[len(kept):])
	pq.waiting = kept
	return count
}

// State reports whether a request was granted its tokens, and whether it still waits for them.
func (q *Queue) State(w *Waiting) (granted, waits bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return w.granted, !w.granted && !w.removed
}

// Leave removes a request that waits no more. It reports whether the request was granted its
// tokens before; the caller then has to settle them.
func (q *Queue) Leave(p kcrid.Plan, w *Waiting) (granted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	pq := q.plan(p)
	if i := slices.Index(pq.waiting, w); i >= 0 {
		pq.waiting = slices.Delete(pq.waiting, i, i+1)
	}
	return w.granted
}

// Demand is what the requests of a plan that wait need together.
type Demand struct {
	Count int
	Total kcrid.Tokens
	Least kcrid.Tokens // of the smallest request
}

// Demand returns the demand of the requests of a plan.
func (q *Queue) Demand(p kcrid.Plan) (d Demand) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i, w := range q.plan(p).waiting {
		d.Count++
		d.Total += w.tokens
		if i == 0 || w.tokens < d.Least {
			d.Least = w.tokens
		}
	}
	return d
}

// Len returns the number of requests of all plans that wait.
func (q *Queue) Len() (count int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, pq := range q.plans {
		count += len(pq.waiting)
	}
	return count
}

// ReturnAfter returns when a refused request may come back: the requests of a plan are told to
// return at the pace at which tokens were granted, those that were refused first at first.
func (q *Queue) ReturnAfter(now kcrclock.Time, p kcrid.Plan, tokens kcrid.Tokens) kcrclock.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	pq := q.plan(p)
	pq.roll(now)
	at := max(pq.returnAt, now.Add(minReturn))
	turn := maxReturn
	if pq.rate > 0 {
		turn = min(maxReturn, kcrclock.Duration(float64(tokens)/pq.rate*float64(kcrclock.Second)))
	}
	pq.returnAt = min(at.Add(turn), now.Add(maxReturn))
	return at.Sub(now)
}

// noteGranted counts granted tokens.
func (pq *planQueue) noteGranted(now kcrclock.Time, tokens kcrid.Tokens) {
	pq.roll(now)
	pq.granted += tokens
}

// roll begins a new window once the current one has ended.
func (pq *planQueue) roll(now kcrclock.Time) {
	elapsed := now.Sub(pq.windowStart)
	if elapsed < grantWindow {
		return
	}
	pq.rate = float64(pq.granted) / elapsed.Seconds()
	pq.windowStart, pq.granted = now, 0
}
