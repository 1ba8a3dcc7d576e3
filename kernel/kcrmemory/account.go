// Package kcrmemory decides who may hold memory and connections of a process, and who loses its
// place when they are used up. It frees nothing itself: it names the losers, and whoever serves
// them ends them.
package kcrmemory

import (
	"cmp"
	"container/list"
	"math"
	"slices"
	"sync"
	"sync/atomic"

	"kingcuprun.example/kernel/kcrclock"
)

// This file defines Account. Invariants: the bytes of a kind never exceed its limit; only what has
// come is reserved, not what is announced; a holder that is served keeps its place; a loser's
// bytes count until it returns them.

// Kind is what bytes are held for.
type Kind int

// The kinds of bytes. Each has a limit of its own, so that none takes all.
const (
	Bodies   Kind = iota // bodies of requests, while they are read and until their response
	Answers              // bodies of responses that are buffered
	Streams              // responses that their callers read slowly
	Messages             // messages of other processes that are not complete
	kindCount
)

// String returns the name of the kind for logs and metrics.
func (k Kind) String() string {
	return [kindCount]string{"bodies", "answers", "streams", "messages"}[k]
}

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Bodies, Answers, Streams, Messages} }

// Stage is what a connection is doing. Where a place is needed, connections lose theirs in this
// order.
type Stage int

// The stages of a connection.
const (
	Silent   Stage = iota // it has sent nothing yet, or nothing more is read from it
	Starting              // the head of its request is not complete
	Idle                  // between two requests
	Sending               // the body of its request is not complete
	Behind                // it does not read what it asked for
	Served                // it keeps its place
	stageCount
)

// String returns the name of the stage for logs and metrics.
func (s Stage) String() string {
	return [stageCount]string{"silent", "starting", "idle", "sending", "behind", "served"}[s]
}

// Limits bound what the holders of an account have together.
type Limits struct {
	Connections int              // open connections
	Heads       int              // connections whose stage is Starting
	Bytes       [kindCount]int64 // by kind
}

// most returns the most connections with those that have lost their places and are being closed.
func (l *Limits) most() int { return l.Connections + 1 + l.Connections/leavingDivisor }

const (
	// leavingDivisor is the part of the connections that may be closing beside the others.
	leavingDivisor = 16
	// smallHolder is up to how many bytes of a kind a holder may use the reserve of the kind.
	smallHolder = 64 << 10
	// reserveDivisor is the part of a limit that is reserved for small holders.
	reserveDivisor = 4
	// progressHalfLife is the time in which progress loses half of its value.
	progressHalfLife = 500 * kcrclock.Millisecond
	// measuredBytes is up to how many bytes progress is expected for what is held.
	measuredBytes = 256 << 10
	// unmeasuredBytes is how many bytes may be held without progress.
	unmeasuredBytes = 4 << 10
	// fairRatio is the progress, as a part of the measured bytes, from which on a connection keeps
	// its place.
	fairRatio = 0.25
	// freshPeriod is how long a connection that enters a stage has time to make use of it.
	freshPeriod = 250 * kcrclock.Millisecond
	// batchDivisor is the part of the connections that lose their places at once.
	batchDivisor = 64
)

// Account counts what the connections of a process hold. It is safe for concurrent use.
type Account struct {
	limits Limits

	mu      sync.Mutex
	holders map[*Holder]bool
	stages  [stageCount]list.List // of *Holder with their places; who entered the stage first is first
	lost    int                   // losers that are not removed yet
	bytes   [kindCount]int64
	leaving [kindCount]int64 // bytes of losers, which they will return
}

// Holder is a connection and what is held for it.
type Holder struct {
	end   func(Stage)
	isOut atomic.Bool // it has lost its place, or was removed

	// Protected by Account.mu.
	stage    Stage
	element  *list.Element // in the list of the stage, while it has its place
	since    kcrclock.Time // when the stage began
	bytes    [kindCount]int64
	progress float64 // bytes that came, less with time
	at       kcrclock.Time
}

// New returns an account without holders.
func New(limits Limits) *Account { return &Account{limits: limits, holders: map[*Holder]bool{}} }

// End ends a holder that has lost its place.
func (h *Holder) End() { h.end(h.stage) }

// EndAll ends holders that have lost their places.
func EndAll(losers []*Holder) {
	for _, loser := range losers {
		loser.End()
	}
}

// Lost reports whether the holder has lost its place, or was removed.
func (h *Holder) Lost() bool { return h.isOut.Load() }

// Open adds a connection. Its end is called, with its stage, when it has lost its place. The
// caller must call End of the losers. The holder is nil if no place is left yet: connections that
// entered their stage a moment ago have time to make use of it, and losers to close.
func (a *Account) Open(now kcrclock.Time, end func(Stage)) (h *Holder, losers []*Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.holders)-a.lost >= a.limits.Connections {
		losers = a.takePlaces(now, 1+a.limits.Connections/batchDivisor)
	}
	if len(a.holders)-a.lost >= a.limits.Connections || len(a.holders) >= a.limits.most() {
		return nil, losers
	}
	h = &Holder{end: end, since: now, at: now}
	a.holders[h] = true
	h.element = a.stages[Silent].PushBack(h)
	return h, losers
}

// Remove removes a closed connection with all that was held for it.
func (a *Account) Remove(h *Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.holders[h] {
		return
	}
	if !h.Lost() {
		a.lose(h)
	}
	a.lost--
	for kind, n := range h.bytes {
		a.shrink(h, Kind(kind), n)
	}
	delete(a.holders, h)
}

// SetStage sets the stage of a connection. It reports whether the connection still has its place.
// The caller must call End of the losers.
func (a *Account) SetStage(now kcrclock.Time, h *Holder, stage Stage) (ok bool, losers []*Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.Lost() {
		return false, nil
	}
	if stage == Served && h.stage != Behind {
		h.progress = 0 // from here on it is what the caller reads
	}
	a.stages[h.stage].Remove(h.element)
	h.stage, h.since = stage, now
	h.element = a.stages[stage].PushBack(h)
	if heads := &a.stages[Starting]; stage == Starting && heads.Len() > a.limits.Heads {
		losers = []*Holder{a.lose(holderOf(heads.Front()))}
	}
	return true, losers
}

// Progress records that n bytes have come from a connection, or went to it.
func (a *Account) Progress(now kcrclock.Time, h *Holder, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	h.progress, h.at = min(h.decayed(now)+float64(n), 2*measuredBytes), now
}

// Outcome is the outcome of a reservation.
type Outcome int

// The outcomes of a reservation.
const (
	Granted Outcome = iota
	Wait            // those that lost their place are returning their bytes: try again
	Refused
)

// Grow reserves n more bytes of a kind for a connection. If there is no room, those with little
// progress for their bytes, and less than this one, lose their places, and the caller must call
// their End.
func (a *Account) Grow(now kcrclock.Time, h *Holder, kind Kind, n int) (outcome Outcome, losers []*Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := a.limits.Bytes[kind]
	if h.bytes[kind]+int64(n) > smallHolder {
		limit -= limit / reserveDivisor
	}
	missing := a.bytes[kind] + int64(n) - limit
	switch {
	case h.Lost():
		return Refused, nil
	case missing <= 0:
		h.bytes[kind] += int64(n)
		a.bytes[kind] += int64(n)
		return Granted, nil
	case missing <= a.leaving[kind]:
		return Wait, nil
	}
	return a.makeRoom(now, h, kind, n, missing)
}

// makeRoom takes the places of connections until missing bytes of a kind will be returned: of those
// with the least progress, then of those that have the least of a long body, if this one has more
// than twice as much. So long bodies that come at once end one after the other. Of callers that
// read slowly it takes any with less progress than this one: their progress began with what the
// buffers of their sockets took, so for a moment all of them seem to read.
func (a *Account) makeRoom(now kcrclock.Time, h *Holder, kind Kind, n int, missing int64) (outcome Outcome, losers []*Holder) {
	most := min(h.ratio(now, 0), fairRatio)
	if kind == Streams {
		most = h.ratio(now, n)
	}
	missing -= a.leaving[kind]
	var slow, begun []candidate
	for stage := range Served {
		for e := a.stages[stage].Front(); e != nil; e = e.Next() {
			other := holderOf(e)
			held := other.bytes[kind]
			if held == 0 || other == h {
				continue
			}
			if ratio := other.ratio(now, 0); ratio < most {
				slow = append(slow, candidate{other, ratio})
			} else if stage == Sending && held > smallHolder && 2*held < h.bytes[kind] {
				begun = append(begun, candidate{other, float64(held)})
			}
		}
	}
	slices.SortFunc(slow, compareRank)
	slices.SortFunc(begun, compareRank)
	for _, other := range append(slow, begun...) {
		if missing <= 0 {
			break
		}
		missing -= other.bytes[kind]
		losers = append(losers, other.Holder)
	}
	if missing > 0 {
		return Refused, nil
	}
	for _, loser := range losers {
		a.lose(loser)
	}
	return Wait, losers
}

// Shrink returns n bytes of a kind.
func (a *Account) Shrink(h *Holder, kind Kind, n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.holders[h] {
		return
	}
	a.shrink(h, kind, int64(n))
}

// shrink returns n bytes of a kind.
func (a *Account) shrink(h *Holder, kind Kind, n int64) {
	h.bytes[kind] -= n
	a.bytes[kind] -= n
	if h.Lost() {
		a.leaving[kind] -= n
	}
}

// ShrinkAll returns all bytes that are held for a connection.
func (a *Account) ShrinkAll(h *Holder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.holders[h] {
		return
	}
	for kind, n := range h.bytes {
		a.shrink(h, Kind(kind), n)
	}
}

// Bytes returns the bytes of a kind that are held.
func (a *Account) Bytes(kind Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.bytes[kind]
}

// Connections returns the number of connections.
func (a *Account) Connections() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.holders)
}

// IsFull reports whether all places are taken.
func (a *Account) IsFull() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.holders) >= a.limits.Connections
}

// takePlaces takes the places of up to count connections that have had time to make use of them: in
// the order of their stages, of one stage the older ones, or those with the least progress.
func (a *Account) takePlaces(now kcrclock.Time, count int) (losers []*Holder) {
	for stage := range Served {
		for _, other := range a.candidates(now, stage, count-len(losers)) {
			losers = append(losers, a.lose(other.Holder))
		}
	}
	return losers
}

// candidate is a connection that may lose its place.
type candidate struct {
	*Holder
	rank float64 // the lowest one loses its place first
}

// compareRank orders candidates.
func compareRank(x, y candidate) int { return cmp.Compare(x.rank, y.rank) }

// candidates returns up to count connections of a stage that lose their places to new ones.
func (a *Account) candidates(now kcrclock.Time, stage Stage, count int) (found []candidate) {
	byProgress := stage >= Sending
	for e := a.stages[stage].Front(); e != nil; e = e.Next() {
		h := holderOf(e)
		if h.isFresh(now) || !byProgress && len(found) >= count {
			break
		}
		ratio := h.ratio(now, 0)
		if !byProgress || ratio < fairRatio {
			found = append(found, candidate{h, ratio})
		}
	}
	if byProgress {
		slices.SortFunc(found, compareRank)
	}
	return found[:min(count, len(found))]
}

func holderOf(e *list.Element) *Holder {
	h, _ := e.Value.(*Holder)
	return h
}

// lose takes the place of a connection.
func (a *Account) lose(h *Holder) *Holder {
	h.isOut.Store(true)
	a.lost++
	a.stages[h.stage].Remove(h.element)
	for kind, n := range h.bytes {
		a.leaving[kind] += n
	}
	return h
}

// isFresh reports whether the connection entered its stage a moment ago.
func (h *Holder) isFresh(now kcrclock.Time) bool { return now.Sub(h.since) < freshPeriod }

// decayed returns the progress as it counts now.
func (h *Holder) decayed(now kcrclock.Time) float64 {
	return h.progress * math.Exp2(-float64(now.Sub(h.at))/float64(progressHalfLife))
}

// ratio returns the progress for each measured byte that is held, with more further ones.
func (h *Holder) ratio(now kcrclock.Time, more int) float64 {
	held := int64(more)
	for _, n := range h.bytes {
		held += n
	}
	return (h.decayed(now) + unmeasuredBytes) / float64(min(held, measuredBytes)+unmeasuredBytes)
}
