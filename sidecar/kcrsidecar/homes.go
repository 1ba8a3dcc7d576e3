package kcrsidecar

import (
	"context"
	"fmt"
	"sort"
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
	"kingcuprun.example/link/kcrplatform"
	"kingcuprun.example/link/kcrwire"
)

// This file runs the homes of the buckets that this sidecar was asked for, and
// finds the home of a bucket from outside.

const (
	homeTick     = kcrclock.Second
	reserveWait  = 800 * kcrclock.Millisecond
	reservePoll  = 5 * time.Millisecond
	silence      = 10 * kcrclock.Second
	deadAfter    = 10 * kcrclock.Second
	evidenceTime = 500 * time.Millisecond
	homesTried   = 3
	lookInterval = 2 * kcrclock.Second
	// staleLog is the age at which a home does not wait for the log.
	staleLog = 6 * kcrclock.Second
	// probeInterval is the time between questions to a home that is silent.
	probeInterval = time.Second
	meetMost      = 16
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
	bills *billbox
	wait  conc.WaitGroup

	mu     sync.Mutex
	byNum  map[kcrid.Bucket]*bucketHome
	serial int
	closed bool
	tickAt kcrclock.Time
}

func newHomes(s *Sidecar, log kcrlog.Log) *homes {
	return &homes{s: s, log: log, byNum: map[kcrid.Bucket]*bucketHome{}, bills: newBillbox(s.self+"/bill", log, s.config.Logger)}
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
		Self:        holderName(h.s.self, b, h.serial),
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
			h.s.config.Logger.Debug("ledger", "bucket", b, "offset", off, "kind", eff.Kind, "plan", eff.Plan, "tokens", eff.Tokens, "unmet", eff.Unmet)
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
	item, ok := h.s.state.Item(p)
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
			if h.bills.put(bh.bucket, from, l) {
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

// dropSilent closes the sidecars that have not been heard for long while they
// hold reservations.
func (h *homes) dropSilent(bh *bucketHome, now kcrclock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for server, at := range bh.heard {
		if now.Sub(at) <= silence {
			continue
		}
		delete(bh.heard, server)
		if bh.home.Outstanding(server) > 0 && server != h.s.self {
			h.s.config.Logger.Warn("sidecar lost", "server", server, "home", bh.home.Self())
			bh.home.Lose(now, server)
		}
	}
}

// look checks on the other holders of a bucket in the background.
func (h *homes) look(bh *bucketHome, now kcrclock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if bh.busy || h.closed || now.Sub(bh.looked) < lookInterval {
		return
	}
	bh.looked = now
	bh.busy = true
	h.wait.Go(func() {
		h.checkHolders(bh)
		h.collect(bh)
		h.meet(bh)
		h.mu.Lock()
		bh.busy = false
		h.mu.Unlock()
	})
}

// meet opens sidecars of the region ahead of need, a few at a time.
func (h *homes) meet(bh *bucketHome) {
	var servers []kcrid.Incarnation
	tries := 0
	for _, vm := range h.s.fleet.VMs() {
		if !h.s.mayHold(vm) || bh.met[vm.Name] || tries == meetMost {
			continue
		}
		tries++
		loaded, err := h.s.loadOf(vm)
		if err != nil {
			continue
		}
		bh.met[vm.Name] = true
		servers = append(servers, kcrid.Incarnation(loaded.GetServer()))
	}
	bh.home.Open(servers)
}

// loadOf asks a sidecar for its state.
func (s *Sidecar) loadOf(vm kcrplatform.VM) (*kcrwire.Loaded, error) {
	if vm.Name == s.config.Self.VM {
		return s.load(), nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), evidenceTime)
	defer cancel()
	reply, err := s.pool.Call(ctx, vm.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Load{Load: &kcrwire.Load{}}})
	if err != nil {
		return nil, err
	}
	return reply.GetLoaded(), nil
}

func (h *homes) checkHolders(bh *bucketHome) {
	for _, holder := range bh.home.Others() {
		now := h.s.clock.Now()
		alive, superseded := h.alive(holder)
		switch {
		case superseded:
			bh.home.Suspect(holder)
		case alive:
			delete(bh.missing, holder)
		case bh.missing[holder] == 0:
			bh.missing[holder] = now
		case now.Sub(bh.missing[holder]) > deadAfter && bh.home.Suspect(holder):
			h.s.config.Logger.Warn("holder suspected", "holder", holder, "by", bh.home.Self())
		}
	}
}

// alive asks the process of a holder. Superseded means that its VM answers
// with another incarnation, or that this process held it before.
func (h *homes) alive(holder kcrid.Incarnation) (alive, superseded bool) {
	vm, process := vmOf(holder)
	if process == h.s.self {
		return false, true
	}
	entry, ok := h.s.fleet.Find(vm)
	if !ok {
		return false, false
	}
	loaded, err := h.s.loadOf(entry)
	if err != nil {
		return false, false
	}
	same := loaded.GetServer() == string(process)
	return same, !same
}

// collect asks sidecars for the evidence that a recovery needs.
func (h *homes) collect(bh *bucketHome) {
	for _, o := range bh.home.Orders() {
		ev, err := h.evidence(o)
		if err != nil {
			h.s.config.Logger.Debug("evidence missing", "holder", o.Holder, "server", o.Server, "err", err)
			continue
		}
		h.s.config.Logger.Info("evidence", "holder", o.Holder, "server", o.Server, "plans", len(ev.Used), "running", ev.Running)
		bh.home.Evidence(h.s.clock.Now(), o, ev)
	}
}

func (h *homes) evidence(o kcrbudget.Order) (ev kcrbudget.Evidence, err error) {
	if o.Server == h.s.self {
		return h.s.meter.Fence(o.Holder), nil
	}
	vm, _ := vmOf(o.Server)
	entry, ok := h.s.fleet.Find(vm)
	if !ok {
		return ev, fmt.Errorf("VM %s is not listed", vm)
	}
	ctx, cancel := context.WithTimeout(context.Background(), evidenceTime)
	defer cancel()
	reply, err := h.s.pool.Call(ctx, entry.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Collect{Collect: &kcrwire.Collect{Holder: string(o.Holder)}}})
	if err != nil {
		return ev, err
	}
	got := reply.GetEvidence()
	if got.GetServer() != string(o.Server) {
		return ev, fmt.Errorf("expected evidence of %s, got it of %s", o.Server, got.GetServer())
	}
	ev.Running = int(got.GetRunning())
	for _, u := range got.GetUses() {
		ev.Used = append(ev.Used, kcrbudget.Usage{Plan: kcrid.Plan(u.GetPlan()), Tokens: kcrid.Tokens(u.GetTokens())})
	}
	return ev, nil
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

// ranking is the order of the sidecars as homes, by bucket, for one VM list,
// and which of them did not answer and have not answered a probe since.
type ranking struct {
	mu       sync.Mutex
	byBucket map[kcrid.Bucket][]kcrplatform.VM
	silent   map[kcrid.VM]kcrplatform.VM
}

// heard notes whether a home answered. One that did not is passed over, so
// that only the first requests wait for it.
func (r *ranking) heard(vm kcrplatform.VM, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ok {
		delete(r.silent, vm.Name)
		return
	}
	r.silent[vm.Name] = vm
}

// answering returns the homes that are not passed over, or all if none is left.
func (r *ranking) answering(order []kcrplatform.VM) (out []kcrplatform.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range order {
		if _, silent := r.silent[vm.Name]; !silent {
			out = append(out, vm)
		}
	}
	if len(out) == 0 {
		return order
	}
	return out
}

// quiet returns the homes that are passed over.
func (r *ranking) quiet() (out []kcrplatform.VM) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range r.silent {
		out = append(out, vm)
	}
	return out
}

// probe asks silent homes, so that no request has to.
func (s *Sidecar) probe(ctx context.Context) {
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		for _, vm := range s.ranking.quiet() {
			if _, err := s.loadOf(vm); err == nil {
				s.ranking.heard(vm, true)
			}
		}
	}
}

// reset forgets the order when the VM list changes.
func (r *ranking) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byBucket = map[kcrid.Bucket][]kcrplatform.VM{}
	r.silent = map[kcrid.VM]kcrplatform.VM{}
}

// ranked returns the sidecars that are asked as homes of a bucket, best first.
// A sidecar is no home for its own runs unless it is alone: what it served must
// be known to another VM if it dies.
func (s *Sidecar) ranked(b kcrid.Bucket) []kcrplatform.VM {
	s.ranking.mu.Lock()
	defer s.ranking.mu.Unlock()
	if order, ok := s.ranking.byBucket[b]; ok {
		return order
	}
	var out []kcrplatform.VM
	for _, vm := range s.fleet.VMs() {
		if s.mayHold(vm) && vm.State != kcrplatform.StateLeaving {
			out = append(out, vm)
		}
	}
	if len(out) == 0 {
		out = append(out, s.ownEntry())
	}
	item := fmt.Sprint(b)
	sort.Slice(out, func(i, j int) bool {
		return kcrid.Ranked(item, string(out[i].Name)) > kcrid.Ranked(item, string(out[j].Name))
	})
	out = out[:min(homesTried, len(out))]
	s.ranking.byBucket[b] = out
	return out
}

// first tells whether this sidecar is where others look for the calls of a
// bucket.
func (s *Sidecar) first(b kcrid.Bucket) bool {
	order := s.ranked(b)
	item := fmt.Sprint(b)
	own := kcrid.Ranked(item, string(s.config.Self.VM))
	return order[0].Name == s.config.Self.VM || own > kcrid.Ranked(item, string(order[0].Name))
}

// alone tells whether there is no other sidecar to be a home.
func (s *Sidecar) alone(b kcrid.Bucket) bool { return s.ranked(b)[0].Name == s.config.Self.VM }

// mayHold tells whether a VM may be a home for runs here.
func (s *Sidecar) mayHold(vm kcrplatform.VM) bool {
	return vm.Region == s.config.Settings.Region && vm.Name != s.config.Self.VM
}

func (s *Sidecar) ownEntry() kcrplatform.VM {
	c := s.config
	return kcrplatform.VM{Name: c.Self.VM, Addr: c.Self.Listen, Zone: c.Self.Zone, Region: c.Settings.Region, Service: c.Self.Service}
}

// grant is a reservation that this sidecar holds.
type grant struct {
	holder kcrid.Incarnation
	addr   string
	id     uint64
}

// reserve asks the home of a plan for a reservation; where that cannot be
// reached, the next in rank.
func (s *Sidecar) reserve(ctx context.Context, a kcrbudget.Ask) (g grant, ans kcrbudget.Answer) {
	ans.Code = kcrbudget.Unknowable
	order := s.ranked(kcrid.BucketOf(a.Plan, s.config.Settings.Buckets))
	for _, vm := range s.ranking.answering(order) {
		holder, got, err := s.ask(ctx, vm, a)
		s.ranking.heard(vm, err == nil)
		if err != nil || got.Code == kcrbudget.Deposed {
			continue
		}
		ans = got
		return grant{holder: holder, addr: vm.Addr, id: got.ID}, ans
	}
	return g, ans
}

func (s *Sidecar) ask(ctx context.Context, vm kcrplatform.VM, a kcrbudget.Ask) (kcrid.Incarnation, kcrbudget.Answer, error) {
	if vm.Name == s.config.Self.VM {
		ans, holder := s.homes.reserve(ctx, a)
		return holder, ans, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveWait.Std()+300*time.Millisecond)
	defer cancel()
	reply, err := s.pool.Call(ctx, vm.Addr, &kcrwire.Request{Kind: &kcrwire.Request_Reserve{Reserve: &kcrwire.Reserve{
		Team: string(a.Call.Team), Key: string(a.Call.Key), Plan: string(a.Plan), Server: string(a.Server),
		Addr: a.Addr, Worst: int64(a.Worst), Rerun: a.Rerun,
	}}})
	if err != nil {
		return "", kcrbudget.Answer{}, err
	}
	r := reply.GetReserved()
	ans := kcrbudget.Answer{Code: kcrbudget.ParseCode(r.GetCode()), ID: r.GetId(), Server: kcrid.Incarnation(r.GetServer()), Addr: r.GetAddr()}
	return kcrid.Incarnation(r.GetHolder()), ans, nil
}
