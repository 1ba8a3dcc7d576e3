package kcrdaemon

import (
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
// to the next. Where the clock can't be read it stands still, which proves
// nothing.
func Boot() kcrbudget.Boot {
	id, err := os.ReadFile(bootID)
	if err != nil {
		id = nil
	}
	return kcrbudget.Boot{Machine: xxhash.Sum64(id), Now: func() kcrclock.Time {
		var t unix.Timespec
		if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
			return 0
		}
		return kcrclock.Time(time.Duration(t.Nano()).Milliseconds())
	}}
}
