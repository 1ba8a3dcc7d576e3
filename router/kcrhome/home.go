// Package kcrhome runs the homes of budgets for routers that have no sidecars:
// a process beside an upstream holds escrow of a bucket and lends it to routers
// as they need it. A router that dies then loses only what it had at hand, and a
// router that can't reach the log still has somebody to borrow from.
//
// Any process may be the home of any bucket at any time. Routers agree on one by
// rendezvous hashing, which keeps escrow together; nothing depends on it.
package kcrhome

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrwire"
)

// Config is what a Host is made of.
type Config struct {
	Self    kcrid.Incarnation
	Listen  string
	Log     kcrlog.Log
	Clock   kcrclock.Clock
	Boot    kcrbudget.Boot
	Logger  *slog.Logger
	Escrow  kcrbudget.Policy
	Buckets int
	Snap    kcrclock.Duration
}

// Host holds the homes that routers have asked for. It is safe for concurrent
// use.
type Host struct {
	config  Config
	started kcrclock.Time // on the machine's clock
	server  *kcrlink.Server
	cancel  context.CancelFunc
	wait    conc.WaitGroup

	mu      sync.Mutex
	homes   map[kcrid.Bucket]*home
	serial  int
	stopped bool
}

// home is a wallet that lends, with the follower of its stream.
type home struct {
	wallet   *kcrbudget.Wallet
	follower *kcrdaemon.Follower
	changed  *kcrdaemon.Signal
	askedAt  kcrclock.Time // under the lock of the host
}

// Timing of a host.
const (
	// tick is the time between looks at what is due; claims gather meanwhile.
	tick = 200 * time.Millisecond
	// idleTime is how long nobody has to ask before a home gives its escrow back.
	idleTime = 4 * kcrclock.Second
	// lendWait is how long a loan waits for the log.
	lendWait = 60 * kcrclock.Millisecond
	// flushPoll is the time between looks whether escrow is back on the ledger,
	// flushTime the longest time of waiting for it.
	flushPoll = 10 * time.Millisecond
	flushTime = 2 * time.Second
)

// New starts a host.
func New(c Config) (h *Host, err error) {
	defer kcrerror.Annotate(&err, "home")
	h = &Host{config: c, started: c.Boot.Now(), homes: map[kcrid.Bucket]*home{}}
	if h.server, err = kcrlink.Listen(c.Listen, h.call); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.wait.Go(func() { kcrdaemon.Every(ctx, tick, func(context.Context) { h.tick() }) })
	return h, nil
}

// Addr returns the address for routers.
func (h *Host) Addr() string { return h.server.Addr() }

// call answers a call of a router.
func (h *Host) call(_ context.Context, req *kcrwire.Request, s *kcrlink.Stream) {
	reply := &kcrwire.Reply{Error: "expected lend"}
	if lend := req.GetLend(); lend != nil {
		reply = h.lend(lend)
	}
	if err := s.Send(reply); err != nil {
		h.config.Logger.Info("router not answered", "err", err.Error())
	}
}

// home returns the home of a bucket, and starts it if there is none.
func (h *Host) home(b kcrid.Bucket) *home {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.stopped {
		return nil
	}
	ho := h.homes[b]
	if ho == nil {
		h.serial++
		ho = h.open(b)
		h.homes[b] = ho
	}
	ho.askedAt = h.config.Clock.Now()
	return ho
}

func (h *Host) open(b kcrid.Bucket) *home {
	c := h.config
	self := kcrid.Incarnation(fmt.Sprintf("%s.%d", c.Self, h.serial))
	w := kcrbudget.NewWallet(kcrbudget.WalletConfig{
		Self: self, Boot: c.Boot, Started: h.started, LedgerRules: kcrbudget.DefaultLedgerRules(), Policy: c.Escrow, Rules: kcrbudget.DefaultWalletRules(),
	})
	ho := &home{wallet: w, changed: kcrdaemon.NewSignal()}
	ho.follower = kcrdaemon.NewFollower(c.Log, kcrid.BudgetStream(b), kcrdaemon.Fold{
		Apply: func(off kcrid.Offset, e *kcrentry.Entry) {
			kcrbudget.LogEffect(c.Logger, w.Apply(c.Clock.Now(), off, e), off)
			ho.changed.Raise()
		},
		At: w.At, Restore: w.Restore, Snapshot: w.Snapshot, Batch: w.Batch,
		Ready: func() {
			w.Ready()
			ho.changed.Raise()
		},
		Carries: func() bool { return w.Carries(c.Clock.Now()) },
	}, c.Logger, c.Snap.Std())
	c.Logger.Info("home opened", "bucket", b, "home", string(self))
	return ho
}

// lend answers a router that needs escrow, or gives some back.
func (h *Host) lend(req *kcrwire.Lend) *kcrwire.Reply {
	if got := int(req.GetBuckets()); got != h.config.Buckets {
		// An error would make the router claim escrow of its own, on its ledger.
		h.config.Logger.Error("loan refused: other buckets", "expected", h.config.Buckets, "got", got)
		return &kcrwire.Reply{Kind: &kcrwire.Reply_Lent{Lent: &kcrwire.Lent{Code: kcrbudget.Unknowable.String()}}}
	}
	p := kcrid.Plan(req.GetPlan())
	ho := h.home(kcrid.BucketOf(p, uint32(h.config.Buckets)))
	if ho == nil {
		return &kcrwire.Reply{Error: "the home stops"}
	}
	if v := req.GetVersion(); v > 0 {
		ho.wallet.Limit(p, v, kcrid.Tokens(req.GetPrepaid()))
	}
	out := &kcrwire.Lent{}
	if back := kcrid.Tokens(req.GetBack()); back > 0 {
		ho.wallet.Returned(p, back)
		out.Code = kcrbudget.Granted.String()
	} else {
		loan := h.waitLend(ho, p, kcrid.Tokens(req.GetNeed()), kcrid.Tokens(req.GetTokens()))
		out.Tokens, out.Code, out.Left = int64(loan.Tokens), loan.Code.String(), int64(loan.Left)
	}
	return &kcrwire.Reply{Kind: &kcrwire.Reply_Lent{Lent: out}}
}

// waitLend lends, and waits for the log where escrow may come from there.
func (h *Host) waitLend(ho *home, p kcrid.Plan, need, want kcrid.Tokens) kcrbudget.Loan {
	start := h.config.Clock.Now()
	for {
		changed := ho.changed.Wait()
		now := h.config.Clock.Now()
		loan := ho.wallet.Lend(now, p, need, want)
		left := lendWait - now.Sub(start)
		if loan.Code == kcrbudget.Granted || loan.Code == kcrbudget.UsedUp || left <= 0 {
			return loan
		}
		ho.follower.Kick()
		select {
		case <-changed:
		case <-time.After(left.Std()):
		}
	}
}

// tick drives the homes, and closes those that nobody asks.
func (h *Host) tick() {
	now := h.config.Clock.Now()
	h.mu.Lock()
	var idle []*home
	for b, ho := range h.homes {
		if now.Sub(ho.askedAt) > idleTime {
			idle = append(idle, ho)
			delete(h.homes, b)
			h.config.Logger.Info("home closed", "bucket", b)
			continue
		}
		ho.wallet.Tick(now)
		if ho.wallet.Unsent() {
			ho.follower.Kick()
		}
	}
	h.mu.Unlock()
	for _, ho := range idle {
		h.wait.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), flushTime)
			defer cancel()
			h.close(ctx, ho)
		})
	}
}

// close gives the escrow of a home back.
func (h *Host) close(ctx context.Context, ho *home) {
	ho.wallet.Retire(h.config.Clock.Now())
	ho.follower.Kick()
	for ho.wallet.Unsent() && ctx.Err() == nil {
		kcrdaemon.Pause(ctx, flushPoll)
	}
	ho.follower.Close()
	ho.follower.Carry(ctx) // nobody may follow the stream for long
}

// Stop is a planned stop: it gives all escrow back, as far as the context
// allows.
func (h *Host) Stop(ctx context.Context) {
	h.mu.Lock()
	h.stopped = true
	homes := h.homes
	h.homes = map[kcrid.Bucket]*home{}
	h.mu.Unlock()
	h.cancel()
	for _, ho := range homes {
		h.wait.Go(func() { h.close(ctx, ho) })
	}
	h.wait.Wait()
	h.server.Close()
}
