package kcrdaemon

import (
	"math/rand/v2"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
)

// This file reads the boot clock of the machine.

// bootIDPath is the file with the random identifier that the kernel generates at
// each boot.
const bootIDPath = "/proc/sys/kernel/random/boot_id"

// BootClock returns the boot clock of the machine (CLOCK_BOOTTIME) and the identity of
// the current boot. The clock is monotonic and continues across process restarts,
// so a process can compare times with those that its predecessor on the same
// machine recorded. If the clock or the boot identifier cannot be read, the time
// bounds of a process on its spending prove nothing to its successor.
func BootClock() kcrbudget.BootClock {
	bootID := rand.Uint64() // without a boot identifier, no other process has the same value
	if id, err := os.ReadFile(bootIDPath); err == nil {
		bootID = xxhash.Sum64(id)
	}
	now := func() kcrclock.Time {
		var ts unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
			return 0
		}
		return kcrclock.Time(time.Duration(ts.Nano()).Milliseconds())
	}
	return kcrbudget.BootClock{BootID: bootID, Now: now, BootedAt: kcrclock.Time(time.Now().UnixMilli()) - now()}
}
