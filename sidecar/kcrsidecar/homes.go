package kcrsidecar

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrwire"
)

// This file hosts homes: of the buckets for which this sidecar is first in rank, and of
// those for which another sidecar has asked it. A home holds grants of the budgets of
// one bucket and gives reservations from them. Invariant: a process has at most one home
// of a bucket that no other process has fenced.

const (
	homeTickInterval = kcrclock.Second
	// reserveTimeout bounds how long a home waits for the log before it answers.
	reserveTimeout      = 800 * kcrclock.Millisecond
	reservePollInterval = 5 * time.Millisecond
	// maxLogLag is the age of the last known end of the stream above which a home does
	// not wait for the log.
	maxLogLag = 6 * kcrclock.Second
)

// hostedHome is a home in this process with the follower of its stream.
type hostedHome struct {
	bucket           kcrid.Bucket
	home             *kcrbudget.Home
	follower         *kcrdaemon.Follower
	lastContact      map[kcrid.Incarnation]kcrclock.Time // time of the last message from each sidecar
	unreachableSince map[kcrid.Incarnation]kcrclock.Time // time of the first failed probe of each other holder
	openRequested    map[kcrid.VM]bool                   // VMs for whose sidecar openSidecars has asked the ledger
	checking         bool                                // a check runs; it alone uses unreachableSince and openRequested
	lastCheck        kcrclock.Time
}

// homeSet holds the homes in this process by bucket. It is safe for concurrent use.
type homeSet struct {
	sidecar    *Sidecar
	log        kcrlog.Log
	statements *statementWriter
	background conc.WaitGroup

	mu         sync.Mutex
	byBucket   map[kcrid.Bucket]*hostedHome
	lastSerial int // serial number of the newest home of this process
	closed     bool
	lastTick   kcrclock.Time
}

// newHomeSet returns a set without homes.
func newHomeSet(sidecar *Sidecar, log kcrlog.Log) *homeSet {
	return &homeSet{sidecar: sidecar, log: log, byBucket: map[kcrid.Bucket]*hostedHome{}, statements: newStatementWriter(sidecar.incarnation+"/bill", log, sidecar.config.Logger)}
}

// holderName returns the incarnation of a home, under which it holds grants. It starts
// with the incarnation of its process; the serial number distinguishes later homes of
// the same bucket.
func holderName(server kcrid.Incarnation, bucket kcrid.Bucket, serial int) kcrid.Incarnation {
	return kcrid.Incarnation(fmt.Sprintf("%s/%d/%d", server, bucket, serial))
}

// splitIncarnation returns the VM and the incarnation of the process that an
// incarnation of a home or of a process names.
func splitIncarnation(incarnation kcrid.Incarnation) (kcrid.VM, kcrid.Incarnation) {
	parts := strings.SplitN(string(incarnation), "/", 3)
	if len(parts) < 2 {
		return kcrid.VM(incarnation), incarnation
	}
	return kcrid.VM(parts[0]), kcrid.Incarnation(parts[0] + "/" + parts[1])
}

// getOrStart returns the home of a bucket, and starts one if there is none or if another
// process has fenced the present one. After close it starts none and may return nil.
func (h *homeSet) getOrStart(bucket kcrid.Bucket) *hostedHome {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.byBucket[bucket]
	if h.closed || (old != nil && !old.home.Fenced()) {
		return old
	}
	if old != nil {
		h.sidecar.config.Logger.Warn("home deposed", "home", old.home.Self())
		h.background.Go(old.follower.Close)
	}
	h.lastSerial++
	hosted := h.start(bucket)
	h.byBucket[bucket] = hosted
	return hosted
}

// start starts a home and the follower of its stream. The caller holds the lock.
func (h *homeSet) start(bucket kcrid.Bucket) *hostedHome {
	home := kcrbudget.NewHome(kcrbudget.HomeConfig{
		Self:        holderName(h.sidecar.incarnation, bucket, h.lastSerial),
		Rules:       kcrbudget.DefaultHomeRules(),
		LedgerRules: kcrbudget.DefaultLedgerRules(),
		Policy:      h.sidecar.config.EscrowPolicy,
	})
	h.sidecar.config.Logger.Info("home started", "home", home.Self(), "bucket", bucket)
	hosted := &hostedHome{
		bucket: bucket, home: home, lastContact: map[kcrid.Incarnation]kcrclock.Time{}, unreachableSince: map[kcrid.Incarnation]kcrclock.Time{},
		openRequested: map[kcrid.VM]bool{},
	}
	hosted.follower = kcrdaemon.NewFollower(h.log, kcrid.BudgetStream(bucket), kcrdaemon.StateMachine{
		Apply: func(offset kcrid.Offset, entry *kcrentry.Entry) {
			effect := home.Apply(h.sidecar.clock.Now(), offset, entry)
			h.sidecar.config.Logger.Debug("ledger", "bucket", bucket, "offset", offset, "kind", effect.Kind.String(), "plan", effect.Plan, "tokens", effect.Tokens, "unmet", effect.Unmet)
		},
		Offset:           home.At,
		Restore:          home.Restore,
		Snapshot:         home.Snapshot,
		Batch:            home.Batch,
		MarkReady:        home.MarkReady,
		IsSnapshotWriter: func() bool { return true },
	}, h.sidecar.config.Logger, h.sidecar.config.Settings.SnapshotInterval.Std())
	return hosted
}

// all returns the homes in no particular order.
func (h *homeSet) all() (list []*hostedHome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, hosted := range h.byBucket {
		list = append(list, hosted)
	}
	return list
}

// reserve answers a request for a reservation and returns the incarnation of the home.
// If the grants of the home do not cover the request, it waits up to reserveTimeout for
// the log.
func (h *homeSet) reserve(ctx context.Context, req kcrbudget.ReserveRequest) (kcrbudget.ReserveResult, kcrid.Incarnation) {
	if h.sidecar.stopping.Load() {
		return kcrbudget.ReserveResult{Outcome: kcrbudget.NotHolder}, ""
	}
	hosted := h.getOrStart(kcrid.BucketOf(req.Plan, h.sidecar.config.Settings.Buckets))
	if hosted == nil {
		return kcrbudget.ReserveResult{Outcome: kcrbudget.NotHolder}, ""
	}
	start := h.sidecar.clock.Now()
	for {
		now := h.sidecar.clock.Now()
		req.NoPending = now.Sub(start) >= reserveTimeout || ctx.Err() != nil || hosted.follower.Lag() > maxLogLag
		h.ensureTopUps(hosted.home, req.Plan)
		result := hosted.home.Reserve(now, req)
		hosted.follower.Wake()
		if result.Outcome != kcrbudget.Pending {
			h.recordContact(hosted, req.Server, now)
			h.sidecar.metrics.reserves.WithLabelValues(result.Outcome.String()).Inc()
			return result, hosted.home.Self()
		}
		time.Sleep(reservePollInterval)
	}
}

// recordRun records a run of this process at its own home of the plan's bucket, which
// the other sidecars ask, and returns a function that ends the record.
func (h *homeSet) recordRun(req kcrbudget.ReserveRequest) (kcrbudget.ReserveResult, func(kcrbudget.RunOutcome)) {
	hosted := h.getOrStart(kcrid.BucketOf(req.Plan, h.sidecar.config.Settings.Buckets))
	if hosted == nil {
		return kcrbudget.ReserveResult{Outcome: kcrbudget.Granted}, func(kcrbudget.RunOutcome) {}
	}
	result := hosted.home.RecordCall(req)
	return result, func(o kcrbudget.RunOutcome) { hosted.home.EndRecordedCall(h.sidecar.clock.Now(), req.Call, o) }
}

// ensureTopUps asks for all published top-ups of a plan to be on the ledger.
func (h *homeSet) ensureTopUps(home *kcrbudget.Home, plan kcrid.Plan) {
	config, ok := h.sidecar.configState.PlanConfig(plan)
	if !ok {
		return
	}
	for _, topUp := range config.Plan.TopUps {
		home.Credit(plan, topUp.Name, topUp.Tokens)
	}
}

// recordContact records the time of a message from a sidecar.
func (h *homeSet) recordContact(hosted *hostedHome, server kcrid.Incarnation, now kcrclock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	hosted.lastContact[server] = now
}

// settle applies the report of a sidecar to a home of this process. It returns false if
// the holder is not here.
func (h *homeSet) settle(holder, server kcrid.Incarnation, report kcrbudget.SettlementReport) (*kcrwire.Settled, bool) {
	for _, hosted := range h.all() {
		if hosted.home.Self() != holder {
			continue
		}
		now := h.sidecar.clock.Now()
		h.recordContact(hosted, server, now)
		receipt := hosted.home.Settle(now, server, report)
		settled := &kcrwire.Settled{Taken: receipt.Acknowledged, Last: receipt.LastID}
		for _, settlement := range report.Settlements {
			if h.statements.enqueue(hosted.bucket, server, settlement) {
				settled.Durable = append(settled.Durable, settlement.ID)
			}
		}
		return settled, true
	}
	return nil, false
}

// tick runs the periodic work of the homes, at most once per homeTickInterval.
func (h *homeSet) tick(now kcrclock.Time) {
	h.mu.Lock()
	due := now.Sub(h.lastTick) >= homeTickInterval
	if due {
		h.lastTick = now
	}
	h.mu.Unlock()
	if !due {
		return
	}
	h.startFirstRanked()
	for _, hosted := range h.all() {
		if hosted.home.Fenced() {
			h.getOrStart(hosted.bucket)
			continue
		}
		hosted.home.Tick(now)
		h.closeSilentSidecars(hosted, now)
		h.startCheck(hosted, now)
	}
}

// startFirstRanked starts the homes of the buckets for which this sidecar is first in
// rank, even if no sidecar asks for them: one home must write the snapshots of each
// bucket and recover its dead holders.
func (h *homeSet) startFirstRanked() {
	if h.sidecar.stopping.Load() || len(h.sidecar.vmList.VMs()) == 0 {
		return
	}
	for bucket := range kcrid.Bucket(h.sidecar.config.Settings.Buckets) {
		if h.sidecar.isFirstHome(bucket) {
			h.getOrStart(bucket)
		}
	}
}

// retire closes the grants of all homes for a planned stop, and waits until the log has
// the entries of the homes and all statement lines, or until the context ends.
func (h *homeSet) retire(ctx context.Context) {
	for _, hosted := range h.all() {
		for hosted.home.Retire() > 0 && ctx.Err() == nil {
			time.Sleep(reservePollInterval)
		}
	}
	for _, hosted := range h.all() {
		hosted.follower.Wake()
		for hosted.home.Unconfirmed() > 0 && ctx.Err() == nil {
			time.Sleep(reservePollInterval)
		}
	}
	h.statements.drain(ctx)
}

// close stops all homes and their background work.
func (h *homeSet) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	for _, hosted := range h.all() {
		h.background.Go(hosted.follower.Close)
	}
	h.background.Go(h.statements.close)
	h.background.Wait()
}
