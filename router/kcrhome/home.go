// Package kcrhome runs the homes of budget buckets, for routers that have no
// sidecars. Escrow is an amount of prepaid tokens that a process has taken out of a
// team's budget and may spend without asking again. The home of a bucket holds escrow
// of the bucket and lends it to routers as they need it. It runs in a process beside
// an upstream. A router that crashes then loses only what it has borrowed, and a router
// that can't reach the log can still borrow.
//
// Any such process may run the home of any bucket at any time. Routers choose the same
// one by rendezvous hashing, which keeps the escrow of a bucket in one place;
// correctness doesn't depend on the choice.
package kcrhome

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/kernel/kcrmemory"
	"kingcuprun.example/kernel/kcrorigin"
	"kingcuprun.example/kernel/kcrpermit"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrwire"
)

// This file defines the host, which opens a home for a bucket when a router first
// asks for a loan from it, and closes homes that are idle. It also issues the permits for
// upstreams with a rate limit: for the one beside it, and for others that have no process
// beside them; and it remembers for routers which version of an upstream began a stream. Invariants: each home that is opened has a holder name of its own on the
// ledger; a host lends only to routers that use the same number of buckets.

// Config contains the settings and dependencies of a Host.
type Config struct {
	Self             kcrid.Incarnation
	ListenAddr       string // address for routers
	Log              kcrlog.Log
	Clock            kcrclock.Clock
	BootClock        kcrbudget.BootClock // clock since the boot of the machine
	Logger           *slog.Logger
	EscrowPolicy     kcrbudget.Policy  // how much escrow a home holds
	BucketCount      int               // number of budget buckets, the same in all processes
	SnapshotInterval kcrclock.Duration // time between snapshots of a stream
	Machine          kcrmemory.Machine // what the process may use
}

// Host runs the homes of the buckets that routers borrow from. It is safe for
// concurrent use.
type Host struct {
	config    Config
	startedAt kcrclock.Time     // on the clock of Config.BootClock
	permits   *kcrpermit.Issuer // for upstreams with a rate limit
	origins   *kcrorigin.Register
	collector *collectorDesk
	pool      *kcrlink.Pool // to other hosts
	server    *kcrlink.Server
	lossLines kcrdaemon.LineLimit
	lackLines kcrdaemon.LineLimit
	cancel    context.CancelFunc
	wg        conc.WaitGroup

	mu      sync.Mutex
	homes   map[kcrid.Bucket]*bucketHome
	opened  int // homes opened so far
	stopped bool
}

// bucketHome is the home of one bucket: a wallet that lends, and the follower of the
// bucket's budget stream.
type bucketHome struct {
	wallet        *kcrbudget.Wallet
	follower      *kcrdaemon.Follower
	changed       *kcrdaemon.Signal // broadcast when records were applied to the wallet
	lastRequestAt kcrclock.Time     // protected by Host.mu
}

// Timing of a host.
const (
	// tickInterval is the time between two runs of the periodic work. Claims of
	// escrow accumulate in between.
	tickInterval = 200 * time.Millisecond
	// idleTimeout is how long a home gets no request before it returns its escrow and
	// is closed.
	idleTimeout = 4 * kcrclock.Second
	// maxLendWait is how long a loan waits for the log.
	maxLendWait = 60 * kcrclock.Millisecond
	// flushPollInterval is the time between two checks whether the escrow of a closed
	// home is back on the ledger.
	flushPollInterval = 10 * time.Millisecond
	// flushTimeout is how long the close of an idle home waits for that.
	flushTimeout = 2 * time.Second
)

// New starts a host. It opens no home until a router asks for a loan.
func New(c Config) (h *Host, err error) {
	defer kcrerror.Annotate(&err, "home")
	h = &Host{config: c, startedAt: c.BootClock.Now(), permits: kcrpermit.New(), origins: kcrorigin.New(), collector: newCollectorDesk(), pool: kcrlink.NewPool(), homes: map[kcrid.Bucket]*bucketHome{}}
	if h.server, err = kcrlink.ListenWithin(c.ListenAddr, kcrmemory.New(c.Machine.Home()), h.noteLostSession, h.handleRequest); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.wg.Go(func() { kcrdaemon.RunEvery(ctx, tickInterval, func(context.Context) { h.tick() }) })
	return h, nil
}

// noteLostSession records that a session of another process lost its place.
func (h *Host) noteLostSession(peer net.Addr, why string) {
	if h.lossLines.Allow(h.config.Clock.Now()) {
		h.config.Logger.Warn("session lost", "peer", peer.String(), "why", why)
	}
}

// Addr returns the address for routers.
func (h *Host) Addr() string { return h.server.Addr() }

// handleRequest answers a request of a router.
func (h *Host) handleRequest(_ context.Context, req *kcrwire.Request, s *kcrlink.Stream) {
	reply := &kcrwire.Reply{Error: "expected lend, permit, origin or share"}
	switch k := req.GetKind().(type) {
	case *kcrwire.Request_Lend:
		reply = h.handleLend(k.Lend)
	case *kcrwire.Request_Permit:
		reply = h.handlePermit(k.Permit)
	case *kcrwire.Request_Origin:
		reply = h.handleOrigin(k.Origin)
	case *kcrwire.Request_Share:
		reply = h.handleShare(k.Share)
	}
	if err := s.Send(reply); err != nil {
		h.config.Logger.Info("reply to a router not sent", "err", err.Error())
	}
}

// handleOrigin notes, or tells, which version began a stream.
func (h *Host) handleOrigin(req *kcrwire.Origin) *kcrwire.Reply {
	h.origins.Note(h.config.Clock.Now(), req.GetAttempt(), req.GetVersion())
	version, _ := h.origins.Find(req.GetAttempt())
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Origin{Origin: &kcrwire.Origin{Attempt: req.GetAttempt(), Version: version}}}
}

// handlePermit answers a router that has a request for an upstream with a rate limit.
func (h *Host) handlePermit(req *kcrwire.Permit) *kcrwire.Reply {
	granted, wait := h.permits.Take(h.config.Clock.Now(), kcrid.Incarnation(req.GetServer()), req.GetRate(), req.GetSole())
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Permitted{Permitted: &kcrwire.Permitted{Granted: granted, After: int64(wait)}}}
}

// homeOf returns the home of a bucket, and opens it if there is none. It returns nil
// if the host is stopping.
func (h *Host) homeOf(bucket kcrid.Bucket) *bucketHome {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	home := h.homes[bucket]
	if home == nil {
		h.opened++
		home = h.open(bucket)
		h.homes[bucket] = home
	}
	home.lastRequestAt = h.config.Clock.Now()
	return home
}

// open returns a new home of a bucket. Its holder name ends with a serial number, so
// that no two homes share a name.
func (h *Host) open(bucket kcrid.Bucket) *bucketHome {
	c := h.config
	self := kcrid.Incarnation(fmt.Sprintf("%s.%d", c.Self, h.opened))
	w := kcrbudget.NewWallet(kcrbudget.WalletConfig{
		Self: self, BootClock: c.BootClock, ProcessStart: h.startedAt, LedgerRules: kcrbudget.DefaultLedgerRules(), Policy: c.EscrowPolicy, Rules: kcrbudget.DefaultWalletRules(),
	})
	home := &bucketHome{wallet: w, changed: kcrdaemon.NewSignal()}
	home.follower = kcrdaemon.NewFollower(c.Log, kcrid.BudgetStream(bucket), kcrdaemon.StateMachine{
		Apply: func(off kcrid.Offset, e *kcrentry.Entry) {
			kcrbudget.LogEffect(c.Logger, self, w.Apply(c.Clock.Now(), off, e), off)
			home.changed.Broadcast()
		},
		Offset: w.At, Snapshot: w.Snapshot, Batch: w.Batch,
		Restore:  func(state []byte) (bool, error) { return w.Restore(c.Clock.Now(), state) },
		BeginEra: func(era uint64) bool { return w.BeginEra(c.Clock.Now(), era) },
		MarkReady: func() {
			w.MarkReady()
			home.changed.Broadcast()
		},
		IsSnapshotWriter: func() bool { return w.IsSnapshotWriter(c.Clock.Now()) },
	}, c.Logger, c.SnapshotInterval.Std())
	c.Logger.Info("home opened", "bucket", bucket, "home", string(self))
	return home
}

// handleLend answers a router that borrows or returns escrow.
func (h *Host) handleLend(req *kcrwire.Lend) *kcrwire.Reply {
	if got := int(req.GetBuckets()); got != h.config.BucketCount {
		// An error would make the router claim escrow itself. It assigns plans to other
		// buckets, so it would do that on a second ledger for the plan.
		h.config.Logger.Error("loan refused: other buckets", "expected", h.config.BucketCount, "got", got)
		return &kcrwire.Reply{Kind: &kcrwire.Reply_Lent{Lent: &kcrwire.Lent{Code: kcrbudget.BudgetUnknown.String()}}}
	}
	plan := kcrid.Plan(req.GetPlan())
	home := h.homeOf(kcrid.BucketOf(plan, uint32(h.config.BucketCount)))
	if home == nil {
		return &kcrwire.Reply{Kind: &kcrwire.Reply_Lent{Lent: &kcrwire.Lent{Code: kcrbudget.NotHolder.String()}}}
	}
	if v := req.GetVersion(); v > 0 {
		home.wallet.SetLimit(plan, v, kcrid.Tokens(req.GetPrepaid()))
	}
	if used := kcrid.Tokens(req.GetUsed()); used > 0 {
		home.wallet.NoteUsed(plan, req.GetEra(), used)
	}
	lent := &kcrwire.Lent{}
	if back := kcrid.Tokens(req.GetBack()); back > 0 {
		home.wallet.AddReturned(plan, back)
		lent.Code = kcrbudget.Granted.String()
	} else {
		loan := h.lendOrWait(home, plan, kcrid.Tokens(req.GetNeed()), kcrid.Tokens(req.GetTokens()))
		lent.Tokens, lent.Code, lent.Left = int64(loan.Tokens), loan.Outcome.String(), int64(loan.Unspent)
		lent.Used, lent.Era = int64(loan.Used), loan.Era
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Lent{Lent: lent}}
}

// lendOrWait lends between need and want tokens, or none. If the wallet lacks escrow
// that may still arrive from the ledger, it waits for it up to maxLendWait.
func (h *Host) lendOrWait(home *bucketHome, plan kcrid.Plan, need, want kcrid.Tokens) kcrbudget.Loan {
	start := h.config.Clock.Now()
	home.wallet.AddWaiting(plan, need)
	defer home.wallet.AddWaiting(plan, -need)
	for {
		changed := home.changed.Wait()
		now := h.config.Clock.Now()
		loan := home.wallet.Lend(now, plan, need, want)
		remaining := maxLendWait - now.Sub(start)
		if loan.Outcome == kcrbudget.Granted || loan.Outcome == kcrbudget.BudgetExhausted || remaining <= 0 {
			h.notePending(home, plan, now, need, loan)
			return loan
		}
		home.follower.Wake()
		select {
		case <-changed:
		case <-time.After(remaining.Std()):
		}
	}
}

// notePending logs what a loan waits for that is not made for now.
func (h *Host) notePending(home *bucketHome, plan kcrid.Plan, now kcrclock.Time, need kcrid.Tokens, loan kcrbudget.Loan) {
	if loan.Outcome != kcrbudget.Pending || !h.lackLines.Allow(now) {
		return
	}
	holding := home.wallet.Holding(plan)
	h.config.Logger.Info("loan pending", "plan", string(plan), "need", int64(need), "lacks", loan.Lacks.String(), "free", int64(holding.Free),
		"left", int64(loan.Unspent), "confirm", int64(home.wallet.ConfirmTime(now)))
}

// tick runs the periodic work of the homes, and closes those that are idle.
func (h *Host) tick() {
	now := h.config.Clock.Now()
	h.mu.Lock()
	var idle []*bucketHome
	for bucket, home := range h.homes {
		if now.Sub(home.lastRequestAt) > idleTimeout {
			idle = append(idle, home)
			delete(h.homes, bucket)
			h.config.Logger.Info("home closed", "bucket", bucket)
			continue
		}
		home.wallet.Tick(now)
		if home.wallet.HasUnconfirmed() {
			home.follower.Wake()
		}
	}
	h.mu.Unlock()
	for _, home := range idle {
		h.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), flushTimeout)
			defer cancel()
			h.close(ctx, home)
		})
	}
}

// close returns the escrow of a home to the ledger, waits for that until ctx ends, and
// writes a last snapshot.
func (h *Host) close(ctx context.Context, home *bucketHome) {
	home.wallet.Retire(h.config.Clock.Now())
	home.follower.Wake()
	for home.wallet.HasUnconfirmed() && ctx.Err() == nil {
		kcrdaemon.Sleep(ctx, flushPollInterval)
	}
	home.follower.Close()
	home.follower.WriteSnapshot(ctx) // no other process may follow the stream for a long time
}

// Stop is a planned stop: it answers the requests that have arrived and rejects others,
// so that routers ask another home. Then it closes all homes, and returns their escrow to
// the ledger as far as ctx allows.
func (h *Host) Stop(ctx context.Context) {
	serving, cancel := context.WithTimeout(ctx, 2*maxLendWait.Std())
	h.server.Shutdown(serving)
	cancel()
	h.mu.Lock()
	h.stopped = true
	homes := h.homes
	h.homes = map[kcrid.Bucket]*bucketHome{}
	h.mu.Unlock()
	h.cancel()
	for _, home := range homes {
		h.wg.Go(func() { h.close(ctx, home) })
	}
	h.wg.Wait()
	h.pool.Close()
}

// Kill ends the host as a crash of its process would: no escrow is returned. It exists for
// tests.
func (h *Host) Kill() {
	h.cancel()
	h.server.Close()
	h.pool.Close()
	h.mu.Lock()
	h.stopped = true
	homes := h.homes
	h.homes = map[kcrid.Bucket]*bucketHome{}
	h.mu.Unlock()
	for _, home := range homes {
		home.follower.Close()
	}
}
