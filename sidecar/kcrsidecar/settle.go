package kcrsidecar

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrwire"
)

// This file brings finished runs to the homes and onto the statement. Each
// line is kept here and at the home until it is on the log, so it outlives
// either of the two.

const (
	settleTick   = 200 * time.Millisecond
	settleRetry  = 2 * kcrclock.Second
	settleGiveUp = 30 * kcrclock.Second
	signOfLife   = 2 * kcrclock.Second
	drainTime    = 3 * kcrclock.Second
)

// owed is a line that is not known to be on the log.
type owed struct {
	line  kcrbudget.Line
	at    kcrclock.Time
	next  kcrclock.Time
	taken bool
	kept  chan struct{} // closed when the home has taken it
}

// account is what this sidecar has with one holder.
type account struct {
	addr  string
	owed  map[uint64]*owed
	held  map[uint64]bool // reservations whose run goes on
	floor uint64          // newest reservation that the holder has given
	told  kcrclock.Time
}

// settler sends settlements.
type settler struct {
	s      *Sidecar
	bills  *billbox
	wake   chan struct{}
	cancel context.CancelFunc
	wait   conc.WaitGroup

	mu       sync.Mutex
	accounts map[kcrid.Incarnation]*account
}

func newSettler(s *Sidecar, log kcrlog.Log) *settler {
	ctx, cancel := context.WithCancel(context.Background())
	st := &settler{
		s: s, cancel: cancel, wake: make(chan struct{}, 1), accounts: map[kcrid.Incarnation]*account{},
		bills: newBillbox(s.incarnation+"/settle", log, s.config.Logger),
	}
	st.wait.Go(func() { kcrdaemon.EveryOrWhen(ctx, settleTick, st.wake, st.flush) })
	return st
}

func (st *settler) account(g reservation) *account {
	a, ok := st.accounts[g.holder]
	if !ok {
		a = &account{owed: map[uint64]*owed{}, held: map[uint64]bool{}}
		st.accounts[g.holder] = a
	}
	a.addr = g.addr
	return a
}

// hold notes a reservation whose run goes on. It must be called before the run
// begins at the meter.
func (st *settler) hold(g reservation) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.account(g).held[g.id] = true
}

// drop forgets a reservation whose run could not begin.
func (st *settler) drop(g reservation) {
	st.mu.Lock()
	defer st.mu.Unlock()
	delete(st.account(g).held, g.id)
}

// put queues the settlement of a run. The channel is closed when the home has
// it too, so that the line outlives this sidecar.
func (st *settler) put(g reservation, l kcrbudget.Line) (kept <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	l.ID = g.id
	a := st.account(g)
	delete(a.held, g.id)
	now := st.s.clock.Now()
	o := &owed{line: l, at: now, next: now, kept: make(chan struct{})}
	a.owed[g.id] = o
	select {
	case st.wake <- struct{}{}:
	default:
	}
	return o.kept
}

// owes tells whether a reservation was used and is not settled yet.
func (st *settler) owes(g reservation) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	a := st.accounts[g.holder]
	return a != nil && a.owed[g.id] != nil && !a.owed[g.id].taken
}

// due returns the holders that have something to be told.
func (st *settler) due(now kcrclock.Time) (out []kcrid.Incarnation) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for holder, a := range st.accounts {
		due := len(a.held) > 0 && now.Sub(a.told) > signOfLife
		for _, o := range a.owed {
			due = due || o.next <= now
		}
		if due {
			out = append(out, holder)
		}
	}
	return out
}

// report takes stock for one holder. From then on no reservation up to the
// floor begins here that is not in the report.
func (st *settler) report(now kcrclock.Time, holder kcrid.Incarnation) (addr string, r kcrbudget.Report) {
	st.mu.Lock()
	defer st.mu.Unlock()
	a := st.accounts[holder]
	a.told = now
	r.Floor = a.floor
	st.s.meter.Bar(holder, r.Floor)
	for id := range a.held {
		r.Held = append(r.Held, id)
	}
	for _, o := range a.owed {
		o.next = now.Add(settleRetry)
		r.Lines = append(r.Lines, o.line)
	}
	return a.addr, r
}

func (st *settler) flush(ctx context.Context) {
	now := st.s.clock.Now()
	for _, holder := range st.due(now) {
		addr, report := st.report(now, holder)
		settled, err := st.deliver(ctx, holder, addr, report)
		if err != nil {
			st.giveUp(now, holder)
			continue
		}
		st.taken(holder, settled)
	}
}

func (st *settler) deliver(ctx context.Context, holder kcrid.Incarnation, addr string, r kcrbudget.Report) (*kcrwire.Settled, error) {
	if settled, ok := st.s.homes.settle(holder, st.s.incarnation, r); ok {
		return settled, nil
	}
	msg := &kcrwire.Settle{Server: string(st.s.incarnation), Holder: string(holder), Held: r.Held, Floor: r.Floor}
	for _, l := range r.Lines {
		msg.Lines = append(msg.Lines, &kcrwire.Line{
			Id: l.ID, Team: string(l.Call.Team), Key: string(l.Call.Key),
			Plan: string(l.Plan), Tokens: int64(l.Tokens), State: string(l.State),
		})
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := st.s.pool.Call(ctx, addr, &kcrwire.Request{Kind: &kcrwire.Request_Settle{Settle: msg}})
	if err != nil {
		return nil, err
	}
	return reply.GetSettled(), nil
}

func (st *settler) taken(holder kcrid.Incarnation, r *kcrwire.Settled) {
	st.mu.Lock()
	defer st.mu.Unlock()
	a := st.accounts[holder]
	a.floor = max(a.floor, r.GetLast())
	for _, id := range r.GetTaken() {
		if o := a.owed[id]; o != nil && !o.taken {
			o.taken = true
			close(o.kept)
		}
	}
	for _, id := range r.GetDurable() {
		delete(a.owed, id)
	}
}

// giveUp writes lines that are owed for long to the statement from here.
func (st *settler) giveUp(now kcrclock.Time, holder kcrid.Incarnation) {
	st.mu.Lock()
	defer st.mu.Unlock()
	a := st.accounts[holder]
	for id, o := range a.owed {
		if now.Sub(o.at) > settleGiveUp && st.bills.put(st.bucket(o.line.Plan), st.s.incarnation, o.line) {
			delete(a.owed, id)
		}
	}
	if len(a.owed)+len(a.held) == 0 {
		delete(st.accounts, holder)
	}
}

func (st *settler) bucket(p kcrid.Plan) kcrid.Bucket {
	return kcrid.BucketOf(p, st.s.config.Settings.Buckets)
}

// untaken returns the number of lines that no home has taken.
func (st *settler) untaken() (n int) {
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, a := range st.accounts {
		for _, o := range a.owed {
			if !o.taken {
				n++
			}
		}
	}
	return n
}

// drain brings every line to its home, as far as homes answer, and to the log,
// until the context ends. The homes will write the same lines, which count once.
func (st *settler) drain(ctx context.Context) {
	for start := st.s.clock.Now(); st.untaken() > 0 && ctx.Err() == nil; {
		if st.s.clock.Now().Sub(start) > drainTime {
			break
		}
		time.Sleep(settleTick)
	}
	st.mu.Lock()
	for _, a := range st.accounts {
		for _, o := range a.owed {
			st.bills.put(st.bucket(o.line.Plan), st.s.incarnation, o.line)
		}
	}
	st.mu.Unlock()
	st.bills.drain(ctx)
}

func (st *settler) close() {
	st.cancel()
	st.wait.Wait()
	st.bills.close()
}
