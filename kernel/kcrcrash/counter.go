// Package kcrcrash detects requests that crash the upstreams that run them.
package kcrcrash

import (
	"slices"
	"sync"

	"kingcuprun.example/kernel/kcrid"
)

// This file counts crashes by the content of the request, which is a hash.
// Invariants: a content that has crashed the maximum number of upstreams is refused
// by every process that knows of these crashes; a content that was answered completely is
// never refused again, whatever other processes report, since what was under way with it at
// a crash was not its cause. Callers report a run that ended without an answer as a crash
// only if its upstream accepts no connection then; see Watch.

// maxContents bounds the contents that are remembered; beyond it, the oldest that is not
// banned is forgotten.
const maxContents = 8192

// Crash is a crash of an upstream that ran a request with a content.
type Crash struct {
	Content  kcrid.ContentHash
	Upstream kcrid.Incarnation
}

// Counter records which upstreams each content has crashed. It is safe for concurrent
// use.
type Counter struct {
	limit int // number of crashed upstreams from which a content is banned

	mu       sync.Mutex
	crashes  map[kcrid.ContentHash][]kcrid.Incarnation // the upstreams that each content crashed
	contents []kcrid.ContentHash                       // keys of crashes, oldest first
	proven   provenSet[kcrid.ContentHash]              // contents that were answered completely
}

// New returns a counter without crashes. A content is banned once it has crashed limit
// upstreams.
func New(limit int) *Counter {
	return &Counter{limit: limit, crashes: map[kcrid.ContentHash][]kcrid.Incarnation{}, proven: newProvenSet[kcrid.ContentHash]()}
}

// RecordCrash records that an upstream crashed while it ran a request with the
// content. It reports whether this counts: a content counts once per upstream, and not at
// all if it is proven harmless.
func (c *Counter) RecordCrash(crash Crash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.proven.has(crash.Content) && c.record(crash)
}

// RecordReport records a crash that another process has reported. counted is the result
// of RecordCrash. mustClear reports whether the content is proven harmless here although one
// more crash would ban it elsewhere, so that others must be told to clear it.
func (c *Counter) RecordReport(crash Crash) (counted, mustClear bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isNew := c.record(crash)
	if !c.proven.has(crash.Content) {
		return isNew, false
	}
	if len(c.crashes[crash.Content]) < c.limit-1 {
		return false, false
	}
	c.forget(crash.Content)
	return false, true
}

// record adds a crash and reports whether it is new.
func (c *Counter) record(crash Crash) bool {
	upstreams, known := c.crashes[crash.Content]
	if slices.Contains(upstreams, crash.Upstream) {
		return false
	}
	if !known {
		c.contents = append(c.contents, crash.Content)
	}
	c.crashes[crash.Content] = append(upstreams, crash.Upstream)
	if len(c.contents) > maxContents {
		var forgotten kcrid.ContentHash
		forgotten, c.contents = forgetOldest(c.contents, c.isBanned)
		delete(c.crashes, forgotten)
	}
	return true
}

// forget removes the crashes of a content.
func (c *Counter) forget(h kcrid.ContentHash) {
	if _, known := c.crashes[h]; !known {
		return
	}
	delete(c.crashes, h)
	i := slices.Index(c.contents, h)
	c.contents = slices.Delete(c.contents, i, i+1)
}

// Retract undoes the crashes of an upstream, as it turned out that it still runs. It returns the
// contents that counted one.
func (c *Counter) Retract(upstream kcrid.Incarnation) (contents []kcrid.ContentHash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return retract(c.contents, c.crashes, upstream, c.forget)
}

// RecordServed records that a request with the content was answered completely. It reports
// whether others must be told to clear it, since one more crash would have banned it.
func (c *Counter) RecordServed(h kcrid.ContentHash) (mustClear bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	mustClear = len(c.crashes[h]) >= c.limit-1
	c.forget(h)
	c.proven.add(h)
	return mustClear
}

// Clear records that a content is harmless, as another process has proved.
func (c *Counter) Clear(h kcrid.ContentHash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(h)
	c.proven.add(h)
}

// CrashedUpstreams returns the number of upstreams that a content has crashed.
func (c *Counter) CrashedUpstreams(h kcrid.ContentHash) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashes[h])
}

// Banned reports whether requests with the content must be refused.
func (c *Counter) Banned(h kcrid.ContentHash) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isBanned(h)
}

func (c *Counter) isBanned(h kcrid.ContentHash) bool {
	return len(c.crashes[h]) >= c.limit && !c.proven.has(h)
}

// BannedCrashes returns the crashes of all banned contents, as many as ban them, oldest
// content first.
func (c *Counter) BannedCrashes() (crashes []Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.contents {
		if c.isBanned(h) {
			crashes = c.appendCrashes(crashes, h)
		}
	}
	return crashes
}

// NewestCrashes returns the crashes of the newest contents, at most count of them, oldest content
// first. A content has no more of them than ban it.
func (c *Counter) NewestCrashes(count int) (crashes []Crash) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.contents[max(0, len(c.contents)-count):] {
		crashes = c.appendCrashes(crashes, h)
	}
	return crashes
}

// appendCrashes appends the crashes of a content, no more than ban it.
func (c *Counter) appendCrashes(crashes []Crash, h kcrid.ContentHash) []Crash {
	for _, upstream := range c.crashes[h][:min(c.limit, len(c.crashes[h]))] {
		crashes = append(crashes, Crash{h, upstream})
	}
	return crashes
}
