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

// bootID names one run of the machine.
const bootID = "/proc/sys/kernel/random/boot_id"

// Boot returns the steady clock of the machine, which runs on from one process
// to the next. Where the clock or the name of its run can't be read, bounds
// prove nothing to the next process.
func Boot() kcrbudget.Boot {
	machine := rand.Uint64() // of this process alone, where the run has no name
	if id, err := os.ReadFile(bootID); err == nil {
		machine = xxhash.Sum64(id)
	}
	now := func() kcrclock.Time {
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
			return 0
		}
		return kcrclock.Time(time.Duration(t.Nano()).Milliseconds())
	}
	return kcrbudget.Boot{Machine: machine, Now: now, Began: kcrclock.Time(time.Now().UnixMilli()) - now()}
}
