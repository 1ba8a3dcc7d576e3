package kcrstandin

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrplatform"
)

// This file is the VM list, which shows changes with a lag.

// VMs is the VM list.
type VMs struct {
	mu      sync.Mutex
	lag     time.Duration
	version uint64
	down    bool
	shown   []kcrplatform.VM
	now     []kcrplatform.VM
}

// NewVMs returns a list that shows changes after a lag.
func NewVMs(lag time.Duration, vms []kcrplatform.VM) *VMs {
	return &VMs{lag: lag, version: 1, shown: vms, now: append([]kcrplatform.VM(nil), vms...)}
}

// Down makes the list answer nothing, or answer again.
func (v *VMs) Down(down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = down
}

// Mark sets the state of a VM; "gone" removes it.
func (v *VMs) Mark(name kcrid.VM, state string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var next []kcrplatform.VM
	for _, vm := range v.now {
		if vm.Name == name && state == "gone" {
			continue
		}
		if vm.Name == name {
			vm.State = state
		}
		next = append(next, vm)
	}
	v.now = next
	time.AfterFunc(v.lag, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.shown = next
		v.version++
	})
}

type mark struct {
	Name  kcrid.VM `json:"name"`
	State string   `json:"state"`
}

// Route adds the list's paths to an app.
func (v *VMs) Route(app *fiber.App) {
	app.Get(kcrplatform.VMsPath, func(c fiber.Ctx) error {
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.down {
			return hangUp(c)
		}
		out := kcrplatform.VMList{Version: v.version}
		if c.Query("version") != strconv.FormatUint(v.version, 10) {
			out.VMs = v.shown
		}
		return c.JSON(out)
	})
	app.Post("/mark", func(c fiber.Ctx) error {
		var m mark
		if err := json.Unmarshal(c.Body(), &m); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		v.Mark(m.Name, m.State)
		return nil
	})
}
