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

// This file runs the homes of the buckets for which this sidecar is first in
// rank, or that it was asked for.

const (
	homeTick    = kcrclock.Second
	reserveWait = 800 * kcrclock.Millisecond
	reservePoll = 5 * time.Millisecond
	// staleLog is the age at which a home does not wait for the log.
	staleLog = 6 * kcrclock.Second
)

// bucketHome is one home with its follower.
type bucketHome struct {
	bucket   kcrid.Bucket
	home     *kcrbudget.Home
	follower *kcrdaemon.Follower
	heard    map[kcrid.Incarnation]kcrclock.Time // last sign of life of servers
	missing  map[kcrid.Incarnation]kcrclock.Time // holders that do not answer, since
	met      map[kcrid.VM]bool                   // VMs whose sidecar was opened ahead of need
	busy     bool
	looked   kcrclock.Time
}

// homes holds the homes by bucket.
type homes struct {
	s     *Sidecar
	log   kcrlog.Log
	bills *statementWriter
	wait  conc.WaitGroup

	mu     sync.Mutex
	byNum  map[kcrid.Bucket]*bucketHome
	serial int
	closed bool
	tickAt kcrclock.Time
}

func newHomes(s *Sidecar, log kcrlog.Log) *homes {
	return &homes{s: s, log: log, byNum: map[kcrid.Bucket]*bucketHome{}, bills: newStatementWriter(s.incarnation+"/bill", log, s.config.Logger)}
}

// holderName makes the incarnation of a home from that of its process.
func holderName(s kcrid.Incarnation, b kcrid.Bucket, serial int) kcrid.Incarnation {
	return kcrid.Incarnation(fmt.Sprintf("%s/%d/%d", s, b, serial))
}

// vmOf returns the VM and the process incarnation in a holder's name.
func vmOf(holder kcrid.Incarnation) (kcrid.VM, kcrid.Incarnation) {
	parts := strings.SplitN(string(holder), "/", 3)
	if len(parts) < 2 {
		return kcrid.VM(holder), holder
	}
	return kcrid.VM(parts[0]), kcrid.Incarnation(parts[0] + "/" + parts[1])
}

// get returns the home of a bucket, and starts one if there is none or if the
// one that was has been deposed.
func (h *homes) get(b kcrid.Bucket) *bucketHome {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.byNum[b]
	if h.closed || (old != nil && !old.home.Deposed()) {
		return old
	}
	if old != nil {
		h.s.config.Logger.Warn("home deposed", "home", old.home.Self())
		h.wait.Go(old.follower.Close)
	}
	h.serial++
	bh := h.start(b)
	h.byNum[b] = bh
	return bh
}

func (h *homes) start(b kcrid.Bucket) *bucketHome {
	home := kcrbudget.NewHome(kcrbudget.Config{
		Self:        holderName(h.s.incarnation, b, h.serial),
		Rules:       kcrbudget.DefaultHomeRules(),
		LedgerRules: kcrbudget.DefaultLedgerRules(),
		Policy:      h.s.config.Escrow,
	})
	h.s.config.Logger.Info("home started", "home", home.Self(), "bucket", b)
	bh := &bucketHome{
		bucket: b, home: home, heard: map[kcrid.Incarnation]kcrclock.Time{}, missing: map[kcrid.Incarnation]kcrclock.Time{},
		met: map[kcrid.VM]bool{},
	}
	bh.follower = kcrdaemon.NewFollower(h.log, kcrid.BudgetStream(b), kcrdaemon.Fold{
		Apply: func(off kcrid.Offset, e *kcrentry.Entry) {
			eff := home.Apply(h.s.clock.Now(), off, e)
			h.s.config.Logger.Debug("ledger", "bucket", b, "offset", off, "kind", eff.Kind.String(), "plan", eff.Plan, "tokens", eff.Tokens, "unmet", eff.Unmet)
		},
		At:       home.At,
		Restore:  home.Restore,
		Snapshot: home.Snapshot,
		Batch:    home.Batch,
		Ready:    home.Ready,
		Carries:  func() bool { return true },
	}, h.s.config.Logger, h.s.config.Settings.Snap.Std())
	return bh
}

func (h *homes) all() (out []*bucketHome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, bh := range h.byNum {
		out = append(out, bh)
	}
	return out
}

// reserve answers a request for a reservation. It waits a short time for the
// log where the grant does not cover the request.
func (h *homes) reserve(ctx context.Context, a kcrbudget.Ask) (kcrbudget.Answer, kcrid.Incarnation) {
	if h.s.stopping.Load() {
		return kcrbudget.Answer{Code: kcrbudget.Deposed}, ""
	}
	bh := h.get(kcrid.BucketOf(a.Plan, h.s.config.Settings.Buckets))
	if bh == nil {
		return kcrbudget.Answer{Code: kcrbudget.Deposed}, ""
	}
	start := h.s.clock.Now()
	for {
		now := h.s.clock.Now()
		a.Last = now.Sub(start) >= reserveWait || ctx.Err() != nil || bh.follower.Lag() > staleLog
		h.credit(bh.home, a.Plan)
		ans := bh.home.Reserve(now, a)
		bh.follower.Kick()
		if ans.Code != kcrbudget.Pending {
			h.hear(bh, a.Server, now)
			h.s.metrics.reserves.WithLabelValues(ans.Code.String()).Inc()
			return ans, bh.home.Self()
		}
		time.Sleep(reservePoll)
	}
}

// note records a run of this process at its own home of the plan's bucket,
// which is where others look for it, and returns how to end the record.
func (h *homes) note(a kcrbudget.Ask) (kcrbudget.Answer, func(kcrbudget.State)) {
	bh := h.get(kcrid.BucketOf(a.Plan, h.s.config.Settings.Buckets))
	if bh == nil {
		return kcrbudget.Answer{Code: kcrbudget.Granted}, func(kcrbudget.State) {}
	}
	ans := bh.home.Note(a)
	return ans, func(st kcrbudget.State) { bh.home.Noted(h.s.clock.Now(), a.Call, st) }
}

// credit sees to it that the plan's top-ups of the lists are on the ledger.
func (h *homes) credit(home *kcrbudget.Home, p kcrid.Plan) {
	item, ok := h.s.configState.Item(p)
	if !ok {
		return
	}
	for _, t := range item.Plan.Topups {
		home.Credit(p, t.Name, t.Tokens)
	}
}

func (h *homes) hear(bh *bucketHome, server kcrid.Incarnation, now kcrclock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	bh.heard[server] = now
}

// settle takes settlements for a holder of this process.
func (h *homes) settle(holder, from kcrid.Incarnation, r kcrbudget.Report) (*kcrwire.Settled, bool) {
	for _, bh := range h.all() {
		if bh.home.Self() != holder {
			continue
		}
		now := h.s.clock.Now()
		h.hear(bh, from, now)
		receipt := bh.home.Settle(now, from, r)
		out := &kcrwire.Settled{Taken: receipt.Taken, Last: receipt.Last}
		for _, l := range r.Lines {
			if h.bills.enqueue(bh.bucket, from, l) {
				out.Durable = append(out.Durable, l.ID)
			}
		}
		return out, true
	}
	return nil, false
}

// tick drives the homes.
func (h *homes) tick(now kcrclock.Time) {
	h.mu.Lock()
	due := now.Sub(h.tickAt) >= homeTick
	if due {
		h.tickAt = now
	}
	h.mu.Unlock()
	if !due {
		return
	}
	h.takeOffice()
	for _, bh := range h.all() {
		if bh.home.Deposed() {
			h.get(bh.bucket)
			continue
		}
		bh.home.Tick(now)
		h.dropSilent(bh, now)
		h.look(bh, now)
	}
}

// takeOffice starts the homes of the buckets for which this sidecar is first in
// rank, whether or not anybody asks: somebody has to carry their state forward
// and to recover their dead holders.
func (h *homes) takeOffice() {
	if h.s.stopping.Load() || len(h.s.fleet.VMs()) == 0 {
		return
	}
	for b := range kcrid.Bucket(h.s.config.Settings.Buckets) {
		if h.s.first(b) {
			h.get(b)
		}
	}
}

// retire closes the grants of all homes for a planned stop.
func (h *homes) retire(ctx context.Context) {
	for _, bh := range h.all() {
		for bh.home.Retire() > 0 && ctx.Err() == nil {
			time.Sleep(reservePoll)
		}
	}
	for _, bh := range h.all() {
		bh.follower.Kick()
		for bh.home.Waiting() > 0 && ctx.Err() == nil {
			time.Sleep(reservePoll)
		}
	}
	h.bills.drain(ctx)
}

func (h *homes) close() {
	h.mu.Lock()
	h.closed = true
	h.mu.Unlock()
	for _, bh := range h.all() {
		h.wait.Go(bh.follower.Close)
	}
	h.wait.Go(h.bills.close)
	h.wait.Wait()
}
