// Package kcrsidecar is the process beside each upstream: the last gate before
// it. It meters tokens, is a home of budgets, keeps answers for retries, runs
// non-idempotent calls at most once, and refuses new work when it is leaving.
package kcrsidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrintent"
	"kingcuprun.example/kernel/kcrlimit"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrplatform"
	"kingcuprun.example/link/kcrsettings"
)

// Config is what a Sidecar is made of.
type Config struct {
	kcrdaemon.Parts
	Self   kcrsettings.Upstream
	Server kcrid.Incarnation
	Escrow kcrbudget.Policy
	Rules  Rules
}

// Rules are the decisions of a sidecar that a test can take out.
type Rules struct {
	// Refuses tells whether new work is refused.
	Refuses func(leaving bool) bool
	// Bans tells whether a content is refused.
	Bans func(banned bool) bool
}

// DefaultRules returns the rules that hold in production.
func DefaultRules() Rules {
	return Rules{
		Refuses: func(leaving bool) bool { return leaving },
		Bans:    func(banned bool) bool { return banned },
	}
}

// Sidecar is a running sidecar.
type Sidecar struct {
	config    Config
	self      kcrid.Incarnation
	service   kcrsettings.Service
	clock     kcrclock.Clock
	journal   *kcrdaemon.Journal
	state     *kcrlist.State
	lists     *kcrdaemon.Config
	fleet     *kcrdaemon.Fleet
	pool      *kcrlink.Pool
	upstream  *upstreamClient
	meter     *kcrbudget.Meter
	admission *admissionQueue
	runs      *runTable
	homes     *homes
	ranking   ranking
	settler   *settler
	desk      *kcrintent.Desk
	intents   *kcrdaemon.Follower
	crashes   *crashDetector
	server    *kcrlink.Server
	admin     *kcrdaemon.Admin
	metrics   *metrics
	stopping  atomic.Bool
	active    kcrdaemon.Activity
	cancel    context.CancelFunc
	wait      conc.WaitGroup
}

const (
	tickInterval = 100 * time.Millisecond
	// handoverTime bounds how long a planned stop waits for the log once all
	// requests are finished. What is not handed over is recovered by others.
	handoverTime = 30 * time.Second
)

// New starts a sidecar.
func New(c Config) (s *Sidecar, err error) {
	service, _ := c.Settings.Service(c.Self.Service)
	s = &Sidecar{
		config:    c,
		self:      c.Server,
		service:   service,
		clock:     c.Clock,
		journal:   kcrdaemon.NewJournal(c.Logger),
		state:     kcrlist.NewState(kcrlist.DefaultRules()),
		pool:      c.Pool,
		upstream:  newUpstreamClient(c.Self.Upstream),
		meter:     kcrbudget.NewMeter(kcrbudget.DefaultMeterRules()),
		admission: newAdmissionQueue(c.Clock, kcrlimit.New(limits(service))),
		runs:      newRunTable(c.Clock),
		metrics:   newMetrics(c.Metrics),
	}
	s.crashes = newCrashDetector(kcrlog.NewOutbox(c.Server), string(c.Server))
	s.ranking.reset()
	s.fleet = kcrdaemon.NewFleet(c.VMs, kcrdaemon.Listed(c.Settings), c.Logger, func([]kcrplatform.VM) { s.ranking.reset() })
	log := c.Platform.Log()
	s.lists = kcrdaemon.NewConfig(kcrdaemon.ConfigOptions{
		State: s.state, Log: log, Pool: s.pool, Peers: s.peers, Logger: c.Logger,
		Batch: s.crashes.batch, Changed: s.crashes.confirm,
		Carries: func() bool { return s.carries(kcrid.ConfigStream, "") }, Every: c.Settings.Snap.Std(),
	})
	s.homes = newHomes(s, log)
	s.settler = newSettler(s, log)
	if service.Kind == kcrsettings.Plain {
		s.followIntents(log)
	}
	if s.server, err = kcrlink.Listen(c.Self.Listen, s.serve); err != nil {
		return nil, err
	}
	if s.admin, err = kcrdaemon.NewAdmin(c.Self.Admin, c.Metrics, s.health, s.journal.Find); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.wait.Go(func() { kcrdaemon.Every(ctx, tickInterval, s.tick) })
	s.wait.Go(func() { kcrdaemon.Every(ctx, probeInterval, s.probe) })
	return s, nil
}

// limits returns the bounds of the limiter for a service.
func limits(service kcrsettings.Service) kcrlimit.Config {
	c := kcrlimit.DefaultConfig()
	c.Start = float64(service.Slots)
	c.High = max(c.High, c.Start)
	return c
}

func (s *Sidecar) followIntents(log kcrlog.Log) {
	s.desk = kcrintent.NewDesk(s.self, kcrintent.DefaultRules(), kcrintent.Memory)
	d := s.desk
	s.intents = kcrdaemon.NewFollower(log, kcrid.IntentStream(s.service.Name), kcrdaemon.Fold{
		Apply:    func(off kcrid.Offset, e *kcrentry.Entry) { d.Apply(s.clock.Now(), off, e) },
		At:       d.At,
		Restore:  d.Restore,
		Snapshot: d.Snapshot,
		Batch:    d.Batch,
		Ready:    d.Ready,
		Carries:  func() bool { return s.carries(kcrid.IntentStream(s.service.Name), s.service.Name) },
	}, s.config.Logger, s.config.Settings.Snap.Std())
}

// carries tells whether this sidecar writes the snapshots of a stream that all
// sidecars follow, or all of one service. Two that both think so do no harm.
func (s *Sidecar) carries(stream kcrid.Stream, service kcrid.Service) bool {
	own := kcrid.Ranked(string(stream), string(s.config.Self.VM))
	for _, vm := range s.fleet.VMs() {
		same := service == "" || vm.Service == service
		if same && vm.State != kcrplatform.StateLeaving && kcrid.Ranked(string(stream), string(vm.Name)) > own {
			return false
		}
	}
	return true
}

func (s *Sidecar) tick(context.Context) {
	now := s.clock.Now()
	s.admission.wakeDue(now)
	s.runs.expire(now)
	s.homes.tick(now)
}

// peers returns the addresses of the other sidecars.
func (s *Sidecar) peers() (out []string) {
	for _, vm := range s.fleet.VMs() {
		if vm.Name != s.config.Self.VM {
			out = append(out, vm.Addr)
		}
	}
	return out
}

// leaving tells whether the upstream must get no new work: the operator's mark
// on the log, the VM list, or a planned stop says so, whichever comes first.
func (s *Sidecar) leaving() bool {
	if s.stopping.Load() || s.state.Leaving(s.config.Self.VM) {
		return true
	}
	vm, ok := s.fleet.Find(s.config.Self.VM)
	return ok && vm.State == kcrplatform.StateLeaving
}

func (s *Sidecar) health() kcrdaemon.Health {
	switch {
	case s.leaving():
		return kcrdaemon.Leaving
	case s.state.At() == 0:
		return kcrdaemon.Starting
	default:
		return kcrdaemon.Ready
	}
}

// Stop ends the sidecar without cutting off a request: it refuses new work,
// finishes what runs, settles, closes its grants, and goes.
func (s *Sidecar) Stop(ctx context.Context) {
	s.stopping.Store(true)
	s.config.Logger.Info("stopping")
	s.active.Wait(ctx)
	ctx, cancel := context.WithTimeout(ctx, handoverTime)
	defer cancel()
	s.settler.drain(ctx)
	s.homes.retire(ctx)
	s.close()
}

// close ends all parts at once: each may have to wait for a read of the log.
func (s *Sidecar) close() {
	s.cancel()
	s.admin.Close()
	var parts conc.WaitGroup
	parts.Go(s.server.Close)
	parts.Go(s.settler.close)
	parts.Go(s.homes.close)
	parts.Go(s.lists.Close)
	parts.Go(s.fleet.Close)
	if s.intents != nil {
		parts.Go(s.intents.Close)
	}
	parts.Wait()
	s.pool.Close()
	s.wait.Wait()
}

// Kill ends the sidecar at once, as a crash would: nothing is settled, and no
// grant is closed.
func (s *Sidecar) Kill() {
	s.stopping.Store(true)
	s.close()
}
