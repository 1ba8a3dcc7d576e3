package kcrdaemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrplatform"
	"kingcuprun.example/link/kcrsettings"
)

// This file defines the fleet: the last VM list that a process has seen. It
// lags, and it may be missing for long; nothing that must hold depends on it.

const fleetInterval = 2 * time.Second

// Fleet polls the VM list. It is safe for concurrent use.
type Fleet struct {
	client *kcrplatform.Client
	logger *slog.Logger
	update func([]kcrplatform.VM)
	cancel context.CancelFunc
	wait   conc.WaitGroup

	mu      sync.RWMutex
	version uint64
	vms     []kcrplatform.VM
}

// Listed returns the VMs of the settings in the form of a VM list.
func Listed(s *kcrsettings.Settings) (out []kcrplatform.VM) {
	for _, u := range s.Upstreams {
		out = append(out, kcrplatform.VM{Name: u.VM, Addr: u.Listen, Zone: u.Zone, Region: s.Region, Service: u.Service, State: "live"})
	}
	return out
}

// NewFleet starts to poll; update is called with each new list. Until the VM
// list answers for the first time, the VMs of the settings count.
func NewFleet(client *kcrplatform.Client, initial []kcrplatform.VM, logger *slog.Logger, update func([]kcrplatform.VM)) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{client: client, logger: logger, update: update, cancel: cancel, vms: initial}
	update(initial)
	f.poll(ctx)
	f.wait.Go(func() {
		for ctx.Err() == nil {
			Pause(ctx, fleetInterval)
			f.poll(ctx)
		}
	})
	return f
}

// Close stops polling.
func (f *Fleet) Close() {
	f.cancel()
	f.wait.Wait()
}

func (f *Fleet) poll(ctx context.Context) {
	f.mu.RLock()
	version := f.version
	f.mu.RUnlock()
	list, err := f.client.VMs(ctx, version)
	if err != nil {
		f.logger.Debug("VM list not read", "err", err)
		return
	}
	if list.Version == version {
		return
	}
	f.mu.Lock()
	f.version, f.vms = list.Version, list.VMs
	f.mu.Unlock()
	f.update(list.VMs)
}

// VMs returns the last list. The caller must not change it.
func (f *Fleet) VMs() []kcrplatform.VM {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.vms
}

// Find returns the entry of a VM.
func (f *Fleet) Find(vm kcrid.VM) (kcrplatform.VM, bool) {
	for _, e := range f.VMs() {
		if e.Name == vm {
			return e, true
		}
	}
	return kcrplatform.VM{}, false
}
