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

// This file defines the VM list. It shows a change only after a lag.

// VMList is the service of the VM list. It is safe for concurrent use.
type VMList struct {
	mu      sync.Mutex
	lag     time.Duration
	version uint64 // of visible
	down    bool
	visible []kcrplatform.VM // returned to clients
	current []kcrplatform.VM // with the changes that are not visible yet
}

// NewVMList returns a list of the given VMs that shows changes after a lag.
func NewVMList(lag time.Duration, vms []kcrplatform.VM) *VMList {
	return &VMList{lag: lag, version: 1, visible: vms, current: append([]kcrplatform.VM(nil), vms...)}
}

// SetDown makes the list close every connection without a response, or respond again.
func (v *VMList) SetDown(down bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.down = down
}

// SetState sets the state of a VM. The state "gone" removes it from the list.
func (v *VMList) SetState(name kcrid.VM, state string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	var changed []kcrplatform.VM
	for _, vm := range v.current {
		if vm.Name == name && state == "gone" {
			continue
		}
		if vm.Name == name {
			vm.State = state
		}
		changed = append(changed, vm)
	}
	v.current = changed
	time.AfterFunc(v.lag, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.visible = changed
		v.version++
	})
}

// stateRequest is the body of a request that sets the state of a VM.
type stateRequest struct {
	Name  kcrid.VM `json:"name"`
	State string   `json:"state"`
}

// RegisterRoutes registers the HTTP handlers of the list, and one that sets the state of a
// VM.
func (v *VMList) RegisterRoutes(app *fiber.App) {
	app.Get(kcrplatform.VMListPath, func(c fiber.Ctx) error {
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.down {
			return closeConnection(c)
		}
		response := kcrplatform.VMList{Version: v.version}
		if c.Query("version") != strconv.FormatUint(v.version, 10) {
			response.VMs = v.visible
		}
		return c.JSON(response)
	})
	app.Post("/mark", func(c fiber.Ctx) error {
		var request stateRequest
		if err := json.Unmarshal(c.Body(), &request); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		v.SetState(request.Name, request.State)
		return nil
	})
}
