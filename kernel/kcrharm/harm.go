// Package kcrharm finds requests that crash the upstreams that run them.
package kcrharm

import (
	"sync"

	"kingcuprun.example/kernel/kcrid"
)

// This file counts crashes by the content of the request. Invariant: a content
// that crashed as many upstreams as are allowed is refused by each process that
// has heard of it. A crash is told apart from a cut by the upstream that takes
// no connection just after it.

// maxContents bounds how many contents are remembered.
const maxContents = 8192

// Book counts crashes. It is safe for concurrent use.
type Book struct {
	most int

	mu      sync.Mutex
	crashed map[kcrid.Content]map[kcrid.VM]bool
	order   []kcrid.Content
}

// New returns an empty book. A content is refused after it crashed most
// upstreams.
func New(most int) *Book { return &Book{most: most, crashed: map[kcrid.Content]map[kcrid.VM]bool{}} }

// Crashed counts that an upstream crashed while it ran a content. It tells
// whether that was new.
func (b *Book) Crashed(c kcrid.Content, vm kcrid.VM) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.crashed[c] == nil {
		b.crashed[c] = map[kcrid.VM]bool{}
		b.order = append(b.order, c)
	}
	if b.crashed[c][vm] {
		return false
	}
	b.crashed[c][vm] = true
	if len(b.order) > maxContents {
		delete(b.crashed, b.order[0])
		b.order = b.order[1:]
	}
	return true
}

// Count returns how many upstreams a content has crashed.
func (b *Book) Count(c kcrid.Content) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.crashed[c])
}

// Banned tells whether a content is refused.
func (b *Book) Banned(c kcrid.Content) bool { return b.Count(c) >= b.most }
