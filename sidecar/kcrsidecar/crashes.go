package kcrsidecar

import (
	"sync"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// This file finds requests that crash the upstream. All that ran at a crash
// are suspects and run apart from then on; one that crashes it while alone is
// refused everywhere.

// crashes knows what runs now and reports crashes on the log.
type crashes struct {
	server string

	mu      sync.Mutex
	outbox  *kcrlog.Outbox
	running map[kcrid.Content]int
	local   map[kcrid.Content]bool // suspects, before the log has them
}

func newCrashes(o *kcrlog.Outbox, server string) *crashes {
	return &crashes{outbox: o, server: server, running: map[kcrid.Content]int{}, local: map[kcrid.Content]bool{}}
}

func (c *crashes) begin(content kcrid.Content) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running[content]++
}

func (c *crashes) end(content kcrid.Content) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running[content]--; c.running[content] <= 0 {
		delete(c.running, content)
	}
}

// suspected tells whether a content ran at a crash here.
func (c *crashes) suspected(content kcrid.Content) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.local[content]
}

// crashed reports a run that the upstream broke off. The run is still counted
// as running.
func (c *crashes) crashed(content kcrid.Content, apart bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.local[content] && !apart {
		return
	}
	c.local[content] = true
	c.put(&kcrentry.Suspect{Content: uint64(content), Server: c.server, Alone: apart && len(c.running) == 1})
}

// cleared reports that a suspect ran apart and the upstream outlived it.
func (c *crashes) cleared(content kcrid.Content) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.local, content)
	c.put(&kcrentry.Suspect{Content: uint64(content)})
}

func (c *crashes) put(s *kcrentry.Suspect) {
	c.outbox.Put(&kcrentry.Entry{Kind: &kcrentry.Entry_Suspect{Suspect: s}})
}

func (c *crashes) batch(limit int) ([][]byte, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outbox.Batch(limit)
}

func (c *crashes) confirm(e *kcrentry.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.GetWriter() == c.server {
		c.outbox.Confirm(e.GetSeq())
	}
}
