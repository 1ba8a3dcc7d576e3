package kcrdaemon

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrplatform"
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

// NewFleet starts to poll; update is called with each new list.
func NewFleet(client *kcrplatform.Client, logger *slog.Logger, update func([]kcrplatform.VM)) *Fleet {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fleet{client: client, logger: logger, update: update, cancel: cancel}
	f.poll(ctx)
	f.wait.Go(func() {
		for ctx.Err() == nil {
			pause(ctx, fleetInterval)
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
