package kcrnode

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the directory of homes. The home of a budget bucket holds escrow
// of the bucket and lends it to routers. It runs in a process beside an upstream. Any
// such process can run the home of any bucket, so the directory keeps one entry per
// process. Invariants: all routers that see the same members rank the processes for a
// bucket alike; each router skips those that recently failed to answer it; while none
// answers, a router asks one at a time, and the more rarely the longer that lasts, so
// that the loss of all homes costs no calls for each request.

// homeDirectory tracks the processes that run homes, by address. The address is the
// key because an engine that restarts gets another name, while the process beside it
// keeps running. It is safe for concurrent use.
type homeDirectory struct {
	mu           sync.Mutex
	updated      bool // update was called at least once
	homes        map[string]*homeStatus
	rankings     map[kcrid.Bucket][]string // addresses by preference, until homes come or go
	failures     int                       // calls that failed since the last answer
	failingSince kcrclock.Time             // when failures reached maxFailures
	probedAt     kcrclock.Time             // last call while no home answers
	probes       int                       // calls while no home answers
	delay        kcrclock.Duration         // until an answer arrives, smoothed
}

// homeStatus is what this router knows about one process that runs homes.
type homeStatus struct {
	missing      bool          // no upstream with this home is in the membership
	missingSince kcrclock.Time // set when missing became true
	failedSince  kcrclock.Time // first failed call since the last answer, 0 if there is none
	skipUntil    kcrclock.Time // the home is not asked before this time
}

// Timing and limits of the directory.
const (
	// minRefusedPause is how long a home is skipped after it refused a connection,
	// minFailurePause after a call that failed in another way. The pauses grow to a part of
	// the time for which a home has failed, one in pauseDivisor, up to maxPause.
	minRefusedPause = 300 * kcrclock.Millisecond
	minFailurePause = kcrclock.Second
	maxPause        = 8 * kcrclock.Second
	pauseDivisor    = 4
	// slowPause is how long a home is skipped whose answer is overdue.
	slowPause = 250 * kcrclock.Millisecond
	// maxFailures is the number of failed calls in a row from which no home counts as
	// answering. One is then asked after minProbePause, which grows like the other pauses
	// up to maxProbePause.
	maxFailures   = 6
	minProbePause = 250 * kcrclock.Millisecond
	maxProbePause = 4 * kcrclock.Second
	// missingGrace is how long a home is kept whose upstream disappeared without
	// announcing that it leaves: the upstream may have crashed while the home
	// process still runs.
	missingGrace = 30 * kcrclock.Second
	// delayWeight is the weight of the newest answer in the smoothed delay. A home has
	// delayFactor times that delay to answer, at most maxAnswerTimeout: a router whose own
	// link is slow finds all homes slow, and would gain nothing by asking others.
	delayWeight      = 0.25
	delayFactor      = 2
	maxAnswerTimeout = 800 * kcrclock.Millisecond
	// maxCandidates is how many homes are asked for one loan or return.
	maxCandidates = 3
)

func newHomeDirectory() *homeDirectory {
	return &homeDirectory{homes: map[string]*homeStatus{}, rankings: map[kcrid.Bucket][]string{}}
}

// update replaces the known homes: addrs are the homes of upstreams in service,
// leavingAddrs those of upstreams that are draining.
func (d *homeDirectory) update(now kcrclock.Time, addrs, leavingAddrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updated = true
	count := len(d.homes)
	added := false
	for _, s := range d.homes {
		if !s.missing {
			s.missing, s.missingSince = true, now
		}
	}
	for _, addr := range addrs {
		if d.homes[addr] == nil {
			d.homes[addr] = &homeStatus{}
			added = true
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
	if added || len(d.homes) != count {
		clear(d.rankings)
	}
}

// ranking returns the addresses of the homes in the order of preference for a bucket, by
// rendezvous hashing.
func (d *homeDirectory) ranking(number kcrid.Bucket) []string {
	if addrs, ok := d.rankings[number]; ok {
		return addrs
	}
	stream := string(kcrid.BudgetStream(number))
	weights := make(map[string]uint64, len(d.homes))
	for addr := range d.homes {
		weights[addr] = kcrid.RendezvousWeight(stream, addr)
	}
	addrs := slices.SortedFunc(maps.Keys(d.homes), func(x, y string) int { return cmp.Compare(weights[y], weights[x]) })
	d.rankings[number] = addrs
	return addrs
}

// candidates returns the addresses to call for a loan or a return of a bucket, in
// order of preference. While no home answers, it returns at most one, in turn.
func (d *homeDirectory) candidates(now kcrclock.Time, number kcrid.Bucket) (addrs []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	ranking := d.ranking(number)
	if d.failures >= maxFailures && len(ranking) > 0 {
		if now.Sub(d.probedAt) < growingPause(now, d.failingSince, minProbePause, maxProbePause) {
			return nil
		}
		d.probedAt = now
		d.probes++
		return []string{ranking[d.probes%len(ranking)]}
	}
	for _, addr := range ranking {
		if now >= d.homes[addr].skipUntil {
			addrs = append(addrs, addr)
		}
		if len(addrs) == maxCandidates {
			break
		}
	}
	return addrs
}

// growingPause returns the pause after a failure that has lasted since a time.
func growingPause(now, since kcrclock.Time, shortest, longest kcrclock.Duration) kcrclock.Duration {
	return min(max(shortest, now.Sub(since)/pauseDivisor), longest)
}

// first returns the address of the home that ranks first for an item, whether it answers or
// not, so that routers agree on it. It returns "" if there is none.
func (d *homeDirectory) first(item string) (first string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	highest := uint64(0)
	for addr := range d.homes {
		if weight := kcrid.RendezvousWeight(item, addr); first == "" || weight > highest {
			first, highest = addr, weight
		}
	}
	return first
}

// knownEmpty reports whether the membership is known and contains no home. Before
// the first update it returns false.
func (d *homeDirectory) knownEmpty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.updated && len(d.homes) == 0
}

// recordDelay records how long an answer took, also one that came late.
func (d *homeDirectory) recordDelay(took kcrclock.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.delay += kcrclock.Duration(delayWeight * float64(took-d.delay))
}

// answerDelay returns how long answers take.
func (d *homeDirectory) answerDelay() kcrclock.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.delay
}

// answerTimeout returns how long a home has to answer before the next is asked.
func (d *homeDirectory) answerTimeout() kcrclock.Duration {
	return max(minAnswerTimeout, min(delayFactor*d.answerDelay(), maxAnswerTimeout))
}

// recordSlow records that the answer of a home is overdue.
func (d *homeDirectory) recordSlow(now kcrclock.Time, addr string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.homes[addr]; s != nil {
		s.skipUntil = max(s.skipUntil, now.Add(slowPause))
	}
}

// recordFailure records that a call to a home failed; refused tells that it refused the
// connection. It reports whether no home counts as answering from now on.
func (d *homeDirectory) recordFailure(now kcrclock.Time, addr string, refused bool) (lost bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures++
	if d.failures == maxFailures {
		d.failingSince, d.probedAt = now, now
	}
	if s := d.homes[addr]; s != nil {
		if s.failedSince == 0 {
			s.failedSince = now
		}
		shortest := minFailurePause
		if refused {
			shortest = minRefusedPause
		}
		s.skipUntil = now.Add(growingPause(now, s.failedSince, shortest, maxPause))
	}
	return d.failures == maxFailures
}

// recordAnswer records that a home answered. It reports whether none counted as answering
// before; then the others are asked again as well.
func (d *homeDirectory) recordAnswer(addr string) (regained bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	regained = d.failures >= maxFailures
	d.failures = 0
	for other, s := range d.homes {
		if regained || other == addr {
			s.failedSince, s.skipUntil = 0, 0
		}
	}
	return regained
}
