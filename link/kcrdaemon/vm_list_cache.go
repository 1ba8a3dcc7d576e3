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

// This file defines VMListCache, a copy of the platform's VM list that a process keeps
// up to date by polling. The copy lags behind, and the list may be unavailable for a
// long time; therefore no guarantee of the system depends on it.

// vmListPollInterval is the time between two requests for the VM list.
const vmListPollInterval = 2 * time.Second

// VMListCache polls the VM list and keeps the newest one. It is safe for concurrent use.
type VMListCache struct {
	client *kcrplatform.Client
	logger *slog.Logger
	update func([]kcrplatform.VM) // called with each new list
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu      sync.RWMutex
	version uint64
	vms     []kcrplatform.VM
}

// VMsFromSettings returns the upstreams of the settings as entries of a VM list, each
// in state "live".
func VMsFromSettings(s *kcrsettings.Settings) (vms []kcrplatform.VM) {
	for _, u := range s.Upstreams {
		vms = append(vms, kcrplatform.VM{Name: u.VM, Addr: u.Listen, Zone: u.Zone, Region: s.Region, Service: u.Service, State: "live"})
	}
	return vms
}

// NewVMListCache requests the VM list once and then polls it in the background. The list is
// initial until the first request succeeds. update is called with initial and with
// each new list.
func NewVMListCache(client *kcrplatform.Client, initial []kcrplatform.VM, logger *slog.Logger, update func([]kcrplatform.VM)) *VMListCache {
	ctx, cancel := context.WithCancel(context.Background())
	c := &VMListCache{client: client, logger: logger, update: update, cancel: cancel, vms: initial}
	update(initial)
	c.poll(ctx)
	c.wg.Go(func() {
		for ctx.Err() == nil {
			Sleep(ctx, vmListPollInterval)
			c.poll(ctx)
		}
	})
	return c
}

// Close stops polling.
func (c *VMListCache) Close() {
	c.cancel()
	c.wg.Wait()
}

// poll requests the VM list and stores it if its version is another than that of the
// stored list.
func (c *VMListCache) poll(ctx context.Context) {
	c.mu.RLock()
	version := c.version
	c.mu.RUnlock()
	list, err := c.client.VMs(ctx, version)
	if err != nil {
		c.logger.Debug("VM list not read", "err", err)
		return
	}
	if list.Version == version {
		return
	}
	if list.Skipped > 0 {
		c.logger.Warn("entries of the VM list ignored", "version", list.Version, "count", list.Skipped)
	}
	c.mu.Lock()
	c.version, c.vms = list.Version, list.VMs
	c.mu.Unlock()
	c.update(list.VMs)
}

// VMs returns the newest list. The caller must not modify it.
func (c *VMListCache) VMs() []kcrplatform.VM {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.vms
}

// Find returns the entry of a VM in the newest list, and whether there is one.
func (c *VMListCache) Find(vm kcrid.VM) (kcrplatform.VM, bool) {
	for _, entry := range c.VMs() {
		if entry.Name == vm {
			return entry, true
		}
	}
	return kcrplatform.VM{}, false
}
