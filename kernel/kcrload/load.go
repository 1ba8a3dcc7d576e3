// Package kcrload adds up the load that routers put on upstreams, so that each router
// can learn what the others send. Each router tells a collector what it has at upstreams,
// and gets the sum of what others have told.
//
// Nothing here is needed for a request to be served: a router that gets no sums, or only old
// ones, knows its own load and no more.
package kcrload

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
)

// This file defines the load of an upstream, the sums that routers exchange, and how often
// they do. Invariants: an upstream that has started anew has another key, so that nothing
// told of the earlier start is added to it; a digest has at most maxServers upstreams.

// Key identifies one start of an upstream. Two upstreams rarely have the same key; each is
// then taken to have the load of both.
type Key uint32

// KeyOf returns the key of an upstream that started at startedAt.
func KeyOf(id kcrid.VM, startedAt int64) Key {
	return Key(xxhash.Sum64String(string(id) + "/" + strconv.FormatInt(startedAt, 10)))
}

// Load is what routers have at one upstream.
type Load struct {
	Running int          // requests sent and not ended
	Waiting int          // those of Running whose response has not begun
	Unread  kcrid.Tokens // prompt tokens of those in Waiting that the upstream has to read
	Memory  kcrid.Tokens // most tokens that those in Running take of its memory
}

// add adds another load.
func (l *Load) add(other Load) {
	l.Running += other.Running
	l.Waiting += other.Waiting
	l.Unread += other.Unread
	l.Memory += other.Memory
}

// subtract takes away another load that was added.
func (l *Load) subtract(other Load) {
	l.Running -= other.Running
	l.Waiting -= other.Waiting
	l.Unread -= other.Unread
	l.Memory -= other.Memory
}

// Server is the load of one upstream in a digest.
type Server struct {
	Key Key
	Load
}

// Digest is a sum of loads. An upstream that it lacks has none, or less than each one in it.
type Digest struct {
	Servers []Server          // in no particular order
	Routers int               // routers that have told their part
	Age     kcrclock.Duration // mean age of the parts, by their requests
}

// maxServers bounds the upstreams of a digest.
const maxServers = 256

// Bound returns the servers with the most requests, at most maxServers.
func Bound(servers []Server) []Server {
	if len(servers) <= maxServers {
		return servers
	}
	slices.SortFunc(servers, func(a, b Server) int { return cmp.Compare(b.Running, a.Running) })
	return servers[:maxServers]
}

// Pace of the exchange. The interval grows with the size of a digest, so that the bytes
// of one router each second have a bound, and with the routers at one collector, so that
// its calls have one.
const (
	minInterval       = 200 * kcrclock.Millisecond
	intervalPerServer = 3    // ms, up to maxServers
	collectorCalls    = 100. // per second
)

// Interval returns the time between two calls of a router that knows so many upstreams, while
// so many routers use its collector.
func Interval(servers, routers int) kcrclock.Duration {
	forBytes := kcrclock.Duration(intervalPerServer * min(servers, maxServers))
	forCalls := kcrclock.Duration(float64(routers) / collectorCalls * float64(kcrclock.Second))
	return max(minInterval, forBytes, forCalls)
}

// Lifetime returns how long what a router has told counts if it tells it once in an interval.
func Lifetime(interval kcrclock.Duration) kcrclock.Duration { return 3 * interval }
