// Package kcrplace chooses the upstream for a request: for a generation the
// engine that has most of its prompt cached and can begin soon, for a call the
// upstream that is near and free.
//
// It answers loads in which prompts share long parts, engines drop out or slow
// down without notice, and several routers choose without talking: the home of
// a shared part is agreed on by hashing, and each router corrects it by what
// it has seen of its own requests.
package kcrplace

import (
	"cmp"
	"math"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the table of upstreams and what is learned of them.

// Part is a part of a prompt that others may share, with its length.
type Part struct {
	ID     uint64
	Tokens kcrid.Tokens
}

// Upstream is a place that requests may go to.
type Upstream struct {
	ID      kcrid.VM
	Service kcrid.Service
	Addr    string
	Zone    kcrid.Zone
	Slots   int
	Born    int64
	Cold    kcrclock.Duration
}

// Weights turn what a choice costs into tokens that are read.
type Weights struct {
	Byte    float64 // a byte that crosses zones
	Busy    float64 // a full upstream
	Backlog float64 // a token that waits to be read
	Failure float64 // an upstream that fails every request
	Slow    float64 // an upstream that takes twice as long as others
	Home    float64 // part of a shared part that its home is taken to have
	Pause   float64 // a stream that others make late
	Apart   float64 // a long prompt beside short ones, or the other way round
}

// DefaultWeights follow from the users' prices for reading and for bytes
// between zones, and from the speed at which engines read.
func DefaultWeights() Weights {
	return Weights{Byte: 0.015, Busy: 4000, Backlog: 0.5, Failure: 6000, Slow: 400, Home: 0.9, Pause: 1000, Apart: 2500}
}

// Need is what a request asks for. Prompt is the whole prompt in tokens, Bytes
// what the request and its answer weigh.
type Need struct {
	Service kcrid.Service
	Parts   []Part
	Prompt  kcrid.Tokens
	Bytes   int
	Tried   []kcrid.VM
}

// Result says how an attempt at an upstream ended.
type Result int

// The results.
const (
	Served      Result = iota
	Refused            // it said that it did not run the request
	Misdirected        // another upstream has the address
	Unreached          // no connection
	Broken             // the connection ended before the answer did
	Stalled            // nothing came for too long
	Failed             // it answered with an error
	Abandoned          // the caller left
)

// resultNames are the names of the results in logs.
var resultNames = [...]string{"served", "refused", "misdirected", "unreached", "broken", "stalled", "failed", "abandoned"}

// String returns the name of the result.
func (r Result) String() string { return resultNames[r] }

// Timing and limits of what is learned.
const (
	// downFirst is how long an upstream without connections is passed over;
	// it doubles up to downMost.
	downFirst = 250 * kcrclock.Millisecond
	downMost  = 2 * kcrclock.Second
	// stallTime is how long an upstream that went silent is passed over.
	stallTime = 1500 * kcrclock.Millisecond
	// refusedTime is how long an upstream that is full is passed over.
	refusedTime = 150 * kcrclock.Millisecond
	// wrongTime is how long a stale address is passed over.
	wrongTime = 5 * kcrclock.Second
	// memory is the time constant with which observations lose weight.
	memory = 4 * kcrclock.Second
	// failWeight is the weight of the newest result in the failure rate.
	failWeight = 0.25
	// latencyWeight is the weight of the newest latency.
	latencyWeight = 0.15
	// maxParts bounds the parts that are remembered of an upstream.
	maxParts = 4096
)

// upstream is the state of one upstream, under the lock of its service.
type upstream struct {
	Upstream
	hash     uint64
	long     bool // takes long prompts
	inflight int
	backlog  kcrid.Tokens
	down     kcrclock.Time
	backoff  kcrclock.Duration
	fails    float64
	failsAt  kcrclock.Time
	latency  float64 // ms, for what was expected to take 1 ms
	seen     kcrclock.Time
	warm     kcrclock.Time
	parts    map[uint64]struct{}
}

// service holds the upstreams of one service.
type service struct {
	mu        sync.Mutex
	upstreams []*upstream
	byID      map[kcrid.VM]*upstream
	latency   float64
	turn      int
}

// Table is the router's view of the upstreams. It is safe for concurrent use.
type Table struct {
	zone    kcrid.Zone
	weights Weights

	mu       sync.RWMutex
	services map[kcrid.Service]*service
}

// New returns an empty table of a router in a zone.
func New(zone kcrid.Zone, weights Weights) *Table {
	return &Table{zone: zone, weights: weights, services: map[kcrid.Service]*service{}}
}

func (t *Table) service(name kcrid.Service) *service {
	t.mu.RLock()
	s := t.services[name]
	t.mu.RUnlock()
	if s != nil {
		return s
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s = t.services[name]; s == nil {
		s = &service{byID: map[kcrid.VM]*upstream{}}
		t.services[name] = s
	}
	return s
}

// Update replaces the upstreams that may be chosen. What was learned of those
// that stay is kept; one that started anew has nothing cached.
func (t *Table) Update(now kcrclock.Time, ups []Upstream) {
	byService := map[kcrid.Service][]Upstream{}
	for _, u := range ups {
		byService[u.Service] = append(byService[u.Service], u)
	}
	t.mu.RLock()
	for name := range t.services {
		if byService[name] == nil {
			byService[name] = []Upstream{}
		}
	}
	t.mu.RUnlock()
	for name, list := range byService {
		t.service(name).update(now, list)
	}
}

func (s *service) update(now kcrclock.Time, ups []Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.byID
	s.byID = make(map[kcrid.VM]*upstream, len(ups))
	s.upstreams = s.upstreams[:0]
	for _, u := range ups {
		e := old[u.ID]
		if e == nil || e.Born != u.Born || e.Addr != u.Addr {
			e = &upstream{hash: xxhash.Sum64String(string(u.ID)), parts: map[uint64]struct{}{}}
		}
		e.Upstream = u
		if u.Cold > 0 {
			e.warm = now.Add(u.Cold)
		}
		s.byID[u.ID] = e
		s.upstreams = append(s.upstreams, e)
	}
	s.setApart()
}

// Limits of setting long prompts apart. An engine reads a prompt in chunks
// between the tokens of all others, so that a long one holds up every stream
// beside it for longer than a caller's aim allows.
const (
	// longTokens is the part of a prompt that nobody shares from which on it
	// is long.
	longTokens = 25000
	// longShare is the part of the engines that long prompts go to, as large
	// as their part of all tokens that are read.
	longShare = 0.12
	// longSeed makes all routers choose the same engines.
	longSeed = 0x9e3779b97f4a7c15
)

// setApart chooses the engines for long prompts, by rendezvous hashing.
func (s *service) setApart() {
	order := slices.Clone(s.upstreams)
	slices.SortFunc(order, func(a, b *upstream) int { return cmp.Compare(mix(longSeed^b.hash), mix(longSeed^a.hash)) })
	for i, u := range order {
		u.long = i < s.longCount()
	}
}

// longCount returns how many engines there are for long prompts.
func (s *service) longCount() int { return int(longShare * float64(len(s.upstreams))) }

// apart tells whether a request goes to the engines for long prompts.
func (s *service) apart(n *Need) bool { return n.long() && s.longCount() > 0 }

// long tells whether a prompt is long.
func (n *Need) long() bool { return len(n.Parts) > 0 && n.Parts[len(n.Parts)-1].Tokens >= longTokens }

// Choice is a chosen upstream. End must be called once.
type Choice struct {
	Upstream
	Miss   kcrid.Tokens // of the prompt, expected not to be cached
	Expect kcrclock.Duration

	service *service
	entry   *upstream
	waiting kcrid.Tokens
	started kcrclock.Time
}

// Choose picks the cheapest upstream and counts the request there. It returns
// nil if none may be chosen. Upstreams that are down are chosen only where
// there is no other.
func (t *Table) Choose(now kcrclock.Time, n Need) *Choice {
	s := t.service(n.Service)
	s.mu.Lock()
	defer s.mu.Unlock()
	home := s.home(now, n)
	var best *upstream
	bestCost, bestMiss := math.Inf(1), kcrid.Tokens(0)
	s.turn++
	for i := range s.upstreams {
		u := s.upstreams[(i+s.turn)%len(s.upstreams)]
		if contains(n.Tried, u.ID) {
			continue
		}
		cost, miss := t.cost(now, s, u, n, u == home)
		if now < u.down {
			cost += downCost * (1 + float64(u.down.Sub(now)))
		}
		if cost < bestCost-even {
			best, bestCost, bestMiss = u, cost, miss
		}
	}
	if best == nil {
		return nil
	}
	best.inflight++
	best.backlog += bestMiss
	best.remember(n.Parts)
	return &Choice{
		Upstream: best.Upstream, Miss: bestMiss, Expect: expect(best, bestMiss),
		service: s, entry: best, waiting: bestMiss, started: now,
	}
}

// even is the difference of cost below which upstreams take turns.
const even = 1.0

// downCost puts an upstream that is down behind all others, and those that come
// back sooner first.
const downCost = 1e9

func contains(list []kcrid.VM, id kcrid.VM) bool {
	for _, v := range list {
		if v == id {
			return true
		}
	}
	return false
}

// home returns the upstream that all routers take first for the longest shared
// part, by rendezvous hashing over those that are not down.
func (s *service) home(now kcrclock.Time, n Need) (best *upstream) {
	if len(n.Parts) < 2 {
		return nil
	}
	session := n.Parts[len(n.Parts)-2].ID
	top, long := uint64(0), s.apart(&n)
	for _, u := range s.upstreams {
		if h := mix(session ^ u.hash); h >= top && now >= u.down && u.long == long {
			best, top = u, h
		}
	}
	return best
}

// mix spreads the bits of a hash.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// cost estimates what a choice costs, and how much of the prompt is not cached.
func (t *Table) cost(now kcrclock.Time, s *service, u *upstream, n Need, home bool) (cost float64, miss kcrid.Tokens) {
	w := t.weights
	miss = u.missing(n)
	cost = float64(miss)
	if home {
		shared := min(miss, n.Parts[len(n.Parts)-2].Tokens)
		cost -= w.Home * float64(shared)
	}
	if u.Zone != t.zone {
		cost += w.Byte * float64(n.Bytes)
	}
	fill := float64(u.inflight) / float64(max(1, u.Slots))
	cost += w.Busy * fill * fill
	cost += w.Backlog * float64(u.backlog)
	cost += w.Pause * float64(u.inflight) * held(u.backlog+miss)
	if len(n.Parts) > 0 && u.long != (s.apart(&n)) {
		cost += w.Apart
	}
	cost += w.Failure * u.failing(now)
	if s.latency > 0 && u.latency > s.latency {
		cost += w.Slow * min(u.latency/s.latency-1, maxSlow) * decay(now.Sub(u.seen))
	}
	if now < u.warm {
		cost += w.Slow
	}
	return cost, miss
}

// Reading this much at once begins to hold streams up, and holds them up for
// longer than their aim.
const (
	holdFrom = 12000 // tokens
	holdFull = 28000 // tokens
)

// held returns the part of the streams beside it that a prompt makes late.
func held(tokens kcrid.Tokens) float64 {
	return max(0, min(1, float64(tokens-holdFrom)/(holdFull-holdFrom)))
}

// maxSlow bounds how slow an upstream counts.
const maxSlow = 8.0

// missing returns how much of a prompt an upstream has to read: what follows
// the first part that it does not have.
func (u *upstream) missing(n Need) kcrid.Tokens {
	miss := n.Prompt
	for _, p := range n.Parts {
		if _, ok := u.parts[p.ID]; !ok {
			break
		}
		miss -= p.Tokens
	}
	return max(0, miss)
}

func (u *upstream) remember(parts []Part) {
	if len(u.parts) > maxParts {
		clear(u.parts)
	}
	for i, p := range parts {
		if i == len(parts)-1 && len(parts) > 1 {
			break // the last part is the request's own
		}
		u.parts[p.ID] = struct{}{}
	}
}

func (u *upstream) failing(now kcrclock.Time) float64 { return u.fails * decay(now.Sub(u.failsAt)) }

// decay is what an observation of an age still counts, so that an upstream that
// did badly is tried again.
func decay(age kcrclock.Duration) float64 { return math.Exp(-age.Seconds() / memory.Seconds()) }

// Speeds of an engine that is not loaded, to tell slow ones apart.
const (
	readPerMS   = 100 // tokens
	expectFloor = 15  // ms
)

// expect estimates the time to the first event.
func expect(u *upstream, miss kcrid.Tokens) kcrclock.Duration {
	return kcrclock.Duration((u.backlog+miss)/readPerMS) + expectFloor
}

// Began tells that the first part of the answer has come.
func (c *Choice) Began(now kcrclock.Time) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	c.entry.backlog -= c.waiting
	c.waiting = 0
	c.entry.backoff = 0
	c.entry.down = min(c.entry.down, now)
	took := float64(now.Sub(c.started)) / float64(c.Expect)
	c.entry.seen = now
	learn(&c.entry.latency, took, latencyWeight)
	learn(&c.service.latency, took, latencyWeight/4)
}

func learn(to *float64, value, weight float64) {
	if *to == 0 {
		*to = value
		return
	}
	*to += weight * (value - *to)
}

// End ends the request at its upstream.
func (c *Choice) End(now kcrclock.Time, r Result) {
	c.service.mu.Lock()
	defer c.service.mu.Unlock()
	u := c.entry
	u.inflight--
	u.backlog -= c.waiting
	c.waiting = 0
	switch r {
	case Served:
		u.result(now, 0)
	case Failed:
		u.result(now, 1)
	case Broken:
		u.result(now, 1)
	case Refused:
		u.pass(now, refusedTime)
	case Misdirected:
		u.pass(now, wrongTime)
	case Unreached:
		u.backoff = min(max(downFirst, 2*u.backoff), downMost)
		u.pass(now, u.backoff)
		clear(u.parts)
	case Stalled:
		u.result(now, 1)
		u.pass(now, stallTime)
	case Abandoned:
	}
}

func (u *upstream) result(now kcrclock.Time, failed float64) {
	u.fails = u.failing(now)
	u.fails += failWeight * (failed - u.fails)
	u.failsAt = now
}

func (u *upstream) pass(now kcrclock.Time, d kcrclock.Duration) { u.down = max(u.down, now.Add(d)) }
