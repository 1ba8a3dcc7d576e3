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

// This file reports finished and active runs to the homes that granted their
// reservations. The cost of a finished run is a settlement. Each settlement is kept
// here and at the home until it is on the statement, which is on the log, so it
// survives the failure of either process.

const (
	settleInterval = 200 * time.Millisecond
	// settleRetryInterval is the time until a settlement that is not on the log is sent
	// again.
	settleRetryInterval = 2 * kcrclock.Second
	// settleFallbackDelay is the age at which this sidecar writes a settlement to the log
	// itself because its home does not answer.
	settleFallbackDelay = 30 * kcrclock.Second
	// heartbeatInterval is the time between reports to a home that has nothing to be
	// told but that runs go on. Homes close sidecars that are silent.
	heartbeatInterval = 2 * kcrclock.Second
	// drainTimeout bounds how long a planned stop waits for the homes.
	drainTimeout = 3 * kcrclock.Second
)

// pendingSettlement is a settlement that is not known to be on the log.
type pendingSettlement struct {
	settlement  kcrbudget.Settlement
	queuedAt    kcrclock.Time
	nextSend    kcrclock.Time
	acked       bool          // the home has received it
	ackedSignal chan struct{} // closed when acked is set
}

// holderAccount holds the reservations of one holder and the settlements to settle with it.
type holderAccount struct {
	addr       string                        // of the holder
	pending    map[uint64]*pendingSettlement // by reservation
	active     map[uint64]bool               // reservations whose run has not ended
	lastIssued uint64                        // newest reservation that the holder has granted
	lastReport kcrclock.Time
}

// settler sends reports to holders. It is safe for concurrent use.
type settler struct {
	sidecar    *Sidecar
	statements *statementWriter
	wake       chan struct{}
	cancel     context.CancelFunc
	background conc.WaitGroup

	mu       sync.Mutex
	accounts map[kcrid.Incarnation]*holderAccount
}

// newSettler starts a settler that sends reports in the background.
func newSettler(sidecar *Sidecar, log kcrlog.Log) *settler {
	ctx, cancel := context.WithCancel(context.Background())
	s := &settler{
		sidecar: sidecar, cancel: cancel, wake: make(chan struct{}, 1), accounts: map[kcrid.Incarnation]*holderAccount{},
		statements: newStatementWriter(sidecar.incarnation+"/settle", log, sidecar.config.Logger),
	}
	s.background.Go(func() { kcrdaemon.RunEveryOrOn(ctx, settleInterval, s.wake, s.flush) })
	return s
}

// accountOf returns the account of the holder of a reservation, and creates it if
// needed. The caller holds the lock.
func (s *settler) accountOf(r reservation) *holderAccount {
	account, ok := s.accounts[r.holder]
	if !ok {
		account = &holderAccount{pending: map[uint64]*pendingSettlement{}, active: map[uint64]bool{}}
		s.accounts[r.holder] = account
	}
	account.addr = r.addr
	return account
}

// addActive records a reservation whose run is about to begin. It must be called before
// the run begins at the meter, so that a report never omits a run that has begun.
func (s *settler) addActive(r reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.accountOf(r).active[r.id] = true
}

// removeActive removes a reservation whose run could not begin.
func (s *settler) removeActive(r reservation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.accountOf(r).active, r.id)
}

// enqueue queues the settlement of a finished run. The returned channel is closed
// when the home has received the settlement, so that it survives a failure of this sidecar.
func (s *settler) enqueue(r reservation, settlement kcrbudget.Settlement) (acked <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	settlement.ID = r.id
	account := s.accountOf(r)
	delete(account.active, r.id)
	now := s.sidecar.clock.Now()
	pending := &pendingSettlement{settlement: settlement, queuedAt: now, nextSend: now, ackedSignal: make(chan struct{})}
	account.pending[r.id] = pending
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return pending.ackedSignal
}

// isUnacked reports whether a reservation was used and its home has not received the
// settlement.
func (s *settler) isUnacked(r reservation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	account := s.accounts[r.holder]
	return account != nil && account.pending[r.id] != nil && !account.pending[r.id].acked
}

// dueHolders returns the holders to which a report is due: a settlement has to be sent, or
// runs go on and the last report is older than heartbeatInterval.
func (s *settler) dueHolders(now kcrclock.Time) (holders []kcrid.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for holder, account := range s.accounts {
		due := len(account.active) > 0 && now.Sub(account.lastReport) > heartbeatInterval
		for _, pending := range account.pending {
			due = due || pending.nextSend <= now
		}
		if due {
			holders = append(holders, holder)
		}
	}
	return holders
}

// takeReport returns the report for one holder and its address. From then on the meter
// begins no reservation up to the report's floor that is not in the report, so the
// holder may take back all others.
func (s *settler) takeReport(now kcrclock.Time, holder kcrid.Incarnation) (addr string, report kcrbudget.SettlementReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	account := s.accounts[holder]
	account.lastReport = now
	report.BarredUpTo = account.lastIssued
	s.sidecar.meter.BarUpTo(holder, report.BarredUpTo)
	for id := range account.active {
		report.Held = append(report.Held, id)
	}
	for _, pending := range account.pending {
		pending.nextSend = now.Add(settleRetryInterval)
		report.Settlements = append(report.Settlements, pending.settlement)
	}
	return account.addr, report
}

// flush sends the reports that are due. Lines of a holder that does not answer are
// written to the log from here once they are overdue.
func (s *settler) flush(ctx context.Context) {
	now := s.sidecar.clock.Now()
	for _, holder := range s.dueHolders(now) {
		addr, report := s.takeReport(now, holder)
		settled, err := s.sendReport(ctx, holder, addr, report)
		if err != nil {
			s.writeOverdue(now, holder)
			continue
		}
		s.applyReceipt(holder, settled)
	}
}

// sendReport delivers a report to its holder, which may be in this process.
func (s *settler) sendReport(ctx context.Context, holder kcrid.Incarnation, addr string, report kcrbudget.SettlementReport) (*kcrwire.Settled, error) {
	if settled, ok := s.sidecar.homes.settle(holder, s.sidecar.incarnation, report); ok {
		return settled, nil
	}
	message := &kcrwire.Settle{Server: string(s.sidecar.incarnation), Holder: string(holder), Held: report.Held, Floor: report.BarredUpTo}
	for _, settlement := range report.Settlements {
		message.Lines = append(message.Lines, &kcrwire.Line{
			Id: settlement.ID, Team: string(settlement.Call.Team), Key: string(settlement.Call.Key),
			Plan: string(settlement.Plan), Tokens: int64(settlement.Tokens), State: string(settlement.Outcome),
		})
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	reply, err := s.sidecar.pool.Call(ctx, addr, &kcrwire.Request{Kind: &kcrwire.Request_Settle{Settle: message}})
	if err != nil {
		return nil, err
	}
	return reply.GetSettled(), nil
}

// applyReceipt marks the settlements that the home has received and forgets those that are
// on the log.
func (s *settler) applyReceipt(holder kcrid.Incarnation, receipt *kcrwire.Settled) {
	s.mu.Lock()
	defer s.mu.Unlock()
	account := s.accounts[holder]
	account.lastIssued = max(account.lastIssued, receipt.GetLast())
	for _, id := range receipt.GetTaken() {
		if pending := account.pending[id]; pending != nil && !pending.acked {
			pending.acked = true
			close(pending.ackedSignal)
		}
	}
	for _, id := range receipt.GetDurable() {
		delete(account.pending, id)
	}
}

// writeOverdue writes settlements that are older than settleFallbackDelay to the statement
// from here. If the home writes them too, they count once.
func (s *settler) writeOverdue(now kcrclock.Time, holder kcrid.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	account := s.accounts[holder]
	for id, pending := range account.pending {
		if now.Sub(pending.queuedAt) > settleFallbackDelay && s.statements.enqueue(s.bucketOf(pending.settlement.Plan), s.sidecar.incarnation, pending.settlement) {
			delete(account.pending, id)
		}
	}
	if len(account.pending)+len(account.active) == 0 {
		delete(s.accounts, holder)
	}
}

// bucketOf returns the bucket of a plan.
func (s *settler) bucketOf(plan kcrid.Plan) kcrid.Bucket {
	return kcrid.BucketOf(plan, s.sidecar.config.Settings.Buckets)
}

// countUnacked returns the number of settlements that no home has received.
func (s *settler) countUnacked() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, account := range s.accounts {
		for _, pending := range account.pending {
			if !pending.acked {
				n++
			}
		}
	}
	return n
}

// drain waits until the homes have received every settlement, at most for drainTimeout, and
// then writes every settlement to the log, until the context ends. The homes write the same
// settlements, which count once.
func (s *settler) drain(ctx context.Context) {
	for start := s.sidecar.clock.Now(); s.countUnacked() > 0 && ctx.Err() == nil; {
		if s.sidecar.clock.Now().Sub(start) > drainTimeout {
			break
		}
		time.Sleep(settleInterval)
	}
	s.mu.Lock()
	for _, account := range s.accounts {
		for _, pending := range account.pending {
			s.statements.enqueue(s.bucketOf(pending.settlement.Plan), s.sidecar.incarnation, pending.settlement)
		}
	}
	s.mu.Unlock()
	s.statements.drain(ctx)
}

// close stops the background work.
func (s *settler) close() {
	s.cancel()
	s.background.Wait()
	s.statements.close()
}
