package kcrdaemon

import (
	"log/slog"
	"sync"
)

// This file defines the journal of decisions. Each decision is written to the log
// at once; the most recent ones are kept in memory, so that an operator can query
// them by request.

// journalSize is the number of decisions that are kept in memory.
const journalSize = 4096

// Decision is a routing, budget or placement decision on a request, formatted as
// text.
type Decision struct {
	Request string
	Text    string
}

// DecisionLog logs decisions and keeps the most recent ones. It is safe for concurrent use.
type DecisionLog struct {
	logger *slog.Logger

	mu   sync.Mutex
	ring [journalSize]Decision // ring buffer
	next int                   // number of decisions recorded; modulo journalSize, the next position
}

// NewDecisionLog returns an empty journal that writes its decisions to the logger.
func NewDecisionLog(logger *slog.Logger) *DecisionLog { return &DecisionLog{logger: logger} }

// Add records a decision on a request. The arguments are log attributes: names and
// values in turn.
func (j *DecisionLog) Add(request, text string, args ...any) {
	j.logger.Info(text, append([]any{"req", request}, args...)...)
	formatted := formatDecision(text, args)
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ring[j.next%journalSize] = Decision{Request: request, Text: formatted}
	j.next++
}

// Decisions returns the kept decisions on a request, oldest first.
func (j *DecisionLog) Decisions(request string) (decisions []string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for i := range journalSize {
		d := j.ring[(j.next+i)%journalSize]
		if d.Request == request && request != "" {
			decisions = append(decisions, d.Text)
		}
	}
	return decisions
}
