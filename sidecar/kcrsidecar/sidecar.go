// Package kcrsidecar implements the process that runs beside each upstream and through
// which all its requests pass. A sidecar limits the load of the upstream, meters
// tokens, keeps answers for retries, runs non-idempotent calls at most once, and
// refuses new work when it is leaving. It also hosts homes of budgets: a home reserves
// tokens of the plans in one bucket for the runs of other sidecars.
//
// This file defines the Sidecar: its parts, its start, and its planned stop.
package kcrsidecar

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrintent"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrdaemon"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrplatform"
	"kingcuprun.example/link/kcrsettings"
)

// Config holds the settings and shared parts of a Sidecar. Self is the entry of its
// upstream in the settings; Incarnation names this run of the process; EscrowPolicy
// decides the size of the grants of its homes.
type Config struct {
	kcrdaemon.Dependencies
	UpstreamSettings kcrsettings.Upstream
	Incarnation      kcrid.Incarnation
	EscrowPolicy     kcrbudget.Policy
	Rules            Rules
}

// Rules are the decisions of a sidecar that a test can replace, to show that the test
// fails for a sidecar without them.
type Rules struct {
	// RefusesNewWork reports whether new work is refused, given that the upstream is
	// leaving or not.
	RefusesNewWork func(leaving bool) bool
	// RefusesBannedContent reports whether a request is refused, given that its content
	// is banned or not.
	RefusesBannedContent func(banned bool) bool
}

// DefaultRules returns the rules for production.
func DefaultRules() Rules {
	return Rules{
		RefusesNewWork:       func(leaving bool) bool { return leaving },
		RefusesBannedContent: func(banned bool) bool { return banned },
	}
}

// Sidecar is a running sidecar process. Stop or Kill ends it.
type Sidecar struct {
	config         Config
	incarnation    kcrid.Incarnation // names this run of the process
	service        kcrsettings.Service
	clock          kcrclock.Clock
	decisions      *kcrdaemon.DecisionLog
	configState    *kcrlist.State            // the configuration in force
	configFollower *kcrdaemon.ConfigFollower // keeps configState up to date
	vmList         *kcrdaemon.VMListCache
	pool           *kcrlink.Pool
	upstream       *upstreamClient
	meter          *kcrbudget.Meter
	admission      *admissionQueue
	runs           *runTable
	homes          *homeSet
	ranking        homeRanking // order of the sidecars as homes of each bucket
	settler        *settler
	intents        *kcrintent.Claimer  // nil for engines, which run no non-idempotent calls
	intentFollower *kcrdaemon.Follower // nil for engines
	crashes        *crashDetector
	server         *kcrlink.Server // serves routers and other sidecars
	admin          *kcrdaemon.Admin
	metrics        *metrics
	stopping       atomic.Bool
	active         kcrdaemon.Activity // calls and runs that a planned stop waits for
	cancel         context.CancelFunc
	background     conc.WaitGroup // goroutines that close waits for
}

const (
	tickInterval = 100 * time.Millisecond
	// handoverTimeout bounds how long a planned stop waits for the log once all
	// requests are finished. Grants that are not closed by then are recovered by the
	// homes of other sidecars.
	handoverTimeout = 30 * time.Second
)

// New starts a sidecar. It serves calls and writes to the log from then on.
func New(config Config) (s *Sidecar, err error) {
	service, _ := config.Settings.Service(config.UpstreamSettings.Service)
	s = &Sidecar{
		config:      config,
		incarnation: config.Incarnation,
		service:     service,
		clock:       config.Clock,
		decisions:   kcrdaemon.NewDecisionLog(config.Logger),
		configState: kcrlist.NewState(kcrlist.DefaultRules()),
		pool:        config.Pool,
		upstream:    newUpstreamClient(config.UpstreamSettings.Upstream),
		meter:       kcrbudget.NewMeter(kcrbudget.DefaultMeterRules()),
		admission:   newAdmissionQueue(config.Clock, kcradmission.NewLimiter(limiterConfig(service))),
		runs:        newRunTable(config.Clock),
		metrics:     newMetrics(config.Metrics),
	}
	s.crashes = newCrashDetector(kcrlog.NewOutbox(config.Incarnation), string(config.Incarnation))
	s.ranking.reset()
	s.vmList = kcrdaemon.NewVMListCache(config.VMListClient, kcrdaemon.VMsFromSettings(config.Settings), config.Logger, func([]kcrplatform.VM) { s.ranking.reset() })
	log := config.LogClient.Log()
	s.configFollower = kcrdaemon.NewConfigFollower(kcrdaemon.ConfigOptions{
		State: s.configState, Log: log, Pool: s.pool, Peers: s.peerAddrs, Logger: config.Logger,
		Batch: s.crashes.batch, OnChange: s.crashes.confirm,
		IsSnapshotWriter: func() bool { return s.writesSnapshots(kcrid.ConfigStream, "") }, SnapshotInterval: config.Settings.SnapshotInterval.Std(),
	})
	s.homes = newHomeSet(s, log)
	s.settler = newSettler(s, log)
	if service.Kind == kcrsettings.KindPlain {
		s.followIntents(log)
	}
	if s.server, err = kcrlink.Listen(config.UpstreamSettings.Listen, s.serveCall); err != nil {
		return nil, err
	}
	if s.admin, err = kcrdaemon.NewAdmin(config.UpstreamSettings.Admin, config.Metrics, s.health, s.decisions.Decisions); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	s.background.Go(func() { kcrdaemon.RunEvery(ctx, tickInterval, s.tick) })
	s.background.Go(func() { kcrdaemon.RunEvery(ctx, probeInterval, s.probeHomes) })
	return s, nil
}

// limiterConfig returns the bounds of the concurrency limiter for a service.
func limiterConfig(service kcrsettings.Service) kcradmission.LimiterConfig {
	config := kcradmission.DefaultLimiterConfig()
	config.InitialLimit = float64(service.InitialConcurrency)
	config.MaxLimit = max(config.MaxLimit, config.InitialLimit)
	return config
}

// followIntents starts to follow the intents of the service, which decide who runs a
// non-idempotent call.
func (s *Sidecar) followIntents(log kcrlog.Log) {
	s.intents = kcrintent.NewClaimer(s.incarnation, kcrintent.DefaultRules(), kcrintent.MaxCalls)
	intents := s.intents
	s.intentFollower = kcrdaemon.NewFollower(log, kcrid.IntentStream(s.service.Name), kcrdaemon.StateMachine{
		Apply:            func(offset kcrid.Offset, entry *kcrentry.Entry) { intents.Apply(s.clock.Now(), offset, entry) },
		Offset:           intents.At,
		Restore:          intents.Restore,
		Snapshot:         intents.Snapshot,
		Batch:            intents.Batch,
		MarkReady:        intents.MarkReady,
		IsSnapshotWriter: func() bool { return s.writesSnapshots(kcrid.IntentStream(s.service.Name), s.service.Name) },
	}, s.config.Logger, s.config.Settings.SnapshotInterval.Std())
}

// writesSnapshots reports whether this sidecar writes the snapshots of a stream, which
// all sidecars follow, or all of one service if it is set. The choice is by rendezvous
// hashing over the VM list. It is harmless if two sidecars both write them.
func (s *Sidecar) writesSnapshots(stream kcrid.Stream, service kcrid.Service) bool {
	ownWeight := kcrid.RendezvousWeight(string(stream), string(s.config.UpstreamSettings.VM))
	for _, vm := range s.vmList.VMs() {
		sameService := service == "" || vm.Service == service
		if sameService && vm.State != kcrplatform.StateLeaving && kcrid.RendezvousWeight(string(stream), string(vm.Name)) > ownWeight {
			return false
		}
	}
	return true
}

// tick runs the periodic work.
func (s *Sidecar) tick(context.Context) {
	now := s.clock.Now()
	s.admission.wakeDue(now)
	s.runs.expire(now)
	s.homes.tick(now)
}

// peerAddrs returns the addresses of the other sidecars.
func (s *Sidecar) peerAddrs() (addrs []string) {
	for _, vm := range s.vmList.VMs() {
		if vm.Name != s.config.UpstreamSettings.VM {
			addrs = append(addrs, vm.Addr)
		}
	}
	return addrs
}

// leaving reports whether the upstream must get no new work, because of a planned
// stop, the operator's mark on the log, or the VM list, whichever comes first.
func (s *Sidecar) leaving() bool {
	if s.stopping.Load() || s.configState.Leaving(s.config.UpstreamSettings.VM) {
		return true
	}
	vm, ok := s.vmList.Find(s.config.UpstreamSettings.VM)
	return ok && vm.State == kcrplatform.StateLeaving
}

// health returns the state for the health check. A sidecar is not ready before it has
// a configuration.
func (s *Sidecar) health() kcrdaemon.Health {
	switch {
	case s.leaving():
		return kcrdaemon.Leaving
	case s.configState.At() == 0:
		return kcrdaemon.Starting
	default:
		return kcrdaemon.Ready
	}
}

// Stop ends the sidecar without cutting off a request: it refuses new work, waits for
// the running requests, settles them, closes the grants of its homes, and ends. The
// context bounds the wait.
func (s *Sidecar) Stop(ctx context.Context) {
	s.stopping.Store(true)
	s.config.Logger.Info("stopping")
	s.active.Wait(ctx)
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	s.settler.drain(ctx)
	s.homes.retire(ctx)
	s.server.Shutdown(ctx)
	s.close()
}

// close ends all parts concurrently, since each may have to wait for a read of the
// log to return.
func (s *Sidecar) close() {
	s.cancel()
	s.admin.Close()
	var parts conc.WaitGroup
	parts.Go(s.server.Close)
	parts.Go(s.settler.close)
	parts.Go(s.homes.close)
	parts.Go(s.configFollower.Close)
	parts.Go(s.vmList.Close)
	if s.intentFollower != nil {
		parts.Go(s.intentFollower.Close)
	}
	parts.Wait()
	s.pool.Close()
	s.background.Wait()
}

// Kill ends the sidecar at once, as a crash does: nothing is settled, and no grant is
// closed. It is used in tests.
func (s *Sidecar) Kill() {
	s.stopping.Store(true)
	s.close()
}
