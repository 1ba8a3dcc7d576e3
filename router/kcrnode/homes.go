package kcrnode

import (
	"cmp"
	"slices"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the directory of homes. The home of a budget bucket holds escrow
// of the bucket and lends it to routers. It runs in a process beside an upstream. Any
// such process can run the home of any bucket, so the directory keeps one entry per
// process. Invariants: all routers that see the same members rank the processes for a
// bucket alike; each router skips those that recently failed to answer it.

// homeDirectory tracks the processes that run homes, by address. The address is the
// key because an engine that restarts gets another name, while the process beside it
// keeps running. It is safe for concurrent use.
type homeDirectory struct {
	mu      sync.Mutex
	updated bool // update was called at least once
	homes   map[string]*homeStatus
}

// homeStatus is what this router knows about one process that runs homes.
type homeStatus struct {
	missing      bool          // no upstream with this home is in the membership
	missingSince kcrclock.Time // set when missing became true
	skipUntil    kcrclock.Time // the home is not asked before this time
	backoff      kcrclock.Duration
}

// Timing and limits of the directory.
const (
	// refusedBackoff is how long a home is skipped after it refused a connection.
	refusedBackoff = 300 * kcrclock.Millisecond
	// minFailureBackoff is how long a home is skipped after the first call that
	// failed in another way. It doubles with each further failure, up to
	// maxFailureBackoff.
	minFailureBackoff = kcrclock.Second
	maxFailureBackoff = 8 * kcrclock.Second
	// slowBackoff is how long a home is skipped whose answer is overdue.
	slowBackoff = 250 * kcrclock.Millisecond
	// missingGrace is how long a home is kept whose upstream disappeared without
	// announcing that it leaves: the upstream may have crashed while the home
	// process still runs.
	missingGrace = 30 * kcrclock.Second
	// maxCandidates is how many homes are asked for one loan or return.
	maxCandidates = 3
)

func newHomeDirectory() *homeDirectory { return &homeDirectory{homes: map[string]*homeStatus{}} }

// update replaces the known homes: addrs are the homes of upstreams in service,
// leavingAddrs those of upstreams that are draining.
func (d *homeDirectory) update(now kcrclock.Time, addrs, leavingAddrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updated = true
	for _, s := range d.homes {
		if !s.missing {
			s.missing, s.missingSince = true, now
		}
	}
	for _, addr := range addrs {
		if d.homes[addr] == nil {
			d.homes[addr] = &homeStatus{}
		}
		d.homes[addr].missing = false
	}
	for _, addr := range leavingAddrs {
		delete(d.homes, addr)
	}
	for addr, s := range d.homes {
		if s.missing && now.Sub(s.missingSince) > missingGrace {
			delete(d.homes, addr)
		}
	}
}

// candidates returns the addresses to call for a loan or a return of a bucket, in
// order of preference. The order is by rendezvous hashing.
func (d *homeDirectory) candidates(now kcrclock.Time, number kcrid.Bucket) (addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for addr, s := range d.homes {
		if now >= s.skipUntil {
			addrs = append(addrs, addr)
		}
	}
	stream := string(kcrid.BudgetStream(number))
	slices.SortFunc(addrs, func(x, y string) int {
		return cmp.Compare(kcrid.RendezvousWeight(stream, y), kcrid.RendezvousWeight(stream, x))
	})
	return addrs[:min(len(addrs), maxCandidates)]
}

// knownEmpty reports whether the membership is known and contains no home. Before
// the first update it returns false.
func (d *homeDirectory) knownEmpty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.updated && len(d.homes) == 0
}

// recordRefused records that a home refused the connection.
func (d *homeDirectory) recordRefused(now kcrclock.Time, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.homes[addr]; s != nil {
		s.skipUntil = now.Add(refusedBackoff)
	}
}

// recordSlow records that the answer of a home is overdue.
func (d *homeDirectory) recordSlow(now kcrclock.Time, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.homes[addr]; s != nil {
		s.skipUntil = max(s.skipUntil, now.Add(slowBackoff))
	}
}

// recordFailure records that a call to a home failed for another reason than a
// refused connection, and doubles the backoff of the home.
func (d *homeDirectory) recordFailure(now kcrclock.Time, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.homes[addr]; s != nil {
		s.backoff = min(max(minFailureBackoff, 2*s.backoff), maxFailureBackoff)
		s.skipUntil = now.Add(s.backoff)
	}
}

// recordAnswer records that a home answered, and resets its backoff.
func (d *homeDirectory) recordAnswer(addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.homes[addr]; s != nil {
		s.backoff, s.skipUntil = 0, 0
	}
}
