// Package kcrcrash detects requests that crash the upstreams that run them.
package kcrcrash

import (
	"sync"

	"kingcuprun.example/kernel/kcrid"
)

// This file counts crashes by the content of the request, which is a hash.
// Invariant: a content that has crashed the maximum number of upstreams is refused
// by every process that knows of these crashes. Callers report a broken connection
// as a crash only if the upstream accepts no connection just after it; otherwise
// only the connection was lost.

// maxContents bounds the contents that are remembered; beyond it, the oldest is
// forgotten.
const maxContents = 8192

// Counter records which upstreams each content has crashed. It is safe for concurrent
// use.
type Counter struct {
	limit int // number of crashed upstreams from which a content is banned

	mu       sync.Mutex
	crashes  map[kcrid.ContentHash]map[kcrid.VM]bool // the upstreams that each content crashed
	contents []kcrid.ContentHash                     // keys of crashes, oldest first
}

// New returns a counter without crashes. A content is banned once it has crashed limit
// upstreams.
func New(limit int) *Counter {
	return &Counter{limit: limit, crashes: map[kcrid.ContentHash]map[kcrid.VM]bool{}}
}

// RecordCrash records that an upstream crashed while it ran a request with the
// content. It reports whether this was new: a content counts once per upstream.
func (c *Counter) RecordCrash(h kcrid.ContentHash, vm kcrid.VM) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.crashes[h] == nil {
		c.crashes[h] = map[kcrid.VM]bool{}
		c.contents = append(c.contents, h)
	}
	if c.crashes[h][vm] {
		return false
	}
	c.crashes[h][vm] = true
	if len(c.contents) > maxContents {
		delete(c.crashes, c.contents[0])
		c.contents = c.contents[1:]
	}
	return true
}

// CrashedUpstreams returns the number of upstreams that a content has crashed.
func (c *Counter) CrashedUpstreams(h kcrid.ContentHash) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes[h])
}

// Banned reports whether requests with the content must be refused.
func (c *Counter) Banned(h kcrid.ContentHash) bool { return c.CrashedUpstreams(h) >= c.limit }
