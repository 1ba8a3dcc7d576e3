package kcrdaemon

import (
	"log/slog"
	"sync"
)

// This file defines the journal of decisions: each goes to the log at once,
// and the recent ones are kept so that an operator can ask for them.

// journalSize is how many decisions are kept.
const journalSize = 4096

// Decision is one routing, budget or placement decision on a request.
type Decision struct {
	Request string
	Text    string
}

// Journal keeps recent decisions. It is safe for concurrent use.
type Journal struct {
	logger *slog.Logger

	mu   sync.Mutex
	ring [journalSize]Decision
	next int
}

// NewJournal returns an empty journal that writes to a logger.
func NewJournal(logger *slog.Logger) *Journal { return &Journal{logger: logger} }

// Add records a decision. The arguments are attributes for the log.
func (j *Journal) Add(request, text string, args ...any) {
	j.logger.Info(text, append([]any{"req", request}, args...)...)
	r := slogText(text, args)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ring[j.next%journalSize] = Decision{Request: request, Text: r}
	j.next++
}

// Find returns the kept decisions on a request, oldest first.
func (j *Journal) Find(request string) (out []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range journalSize {
		d := j.ring[(j.next+i)%journalSize]
		if d.Request == request && request != "" {
			out = append(out, d.Text)
		}
	}
	return out
}
