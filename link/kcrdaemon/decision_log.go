package kcrdaemon

import (
	"log/slog"
	"sync"
)

// This file defines the decision log. Each decision is written to the log
// at once; the most recent ones are kept in memory, so that an operator can query
// them by request.

// decisionLogSize is the number of decisions that are kept in memory.
const decisionLogSize = 4096

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
	ring [decisionLogSize]Decision // ring buffer
	next int                       // number of decisions recorded; modulo decisionLogSize, the next position
}

// NewDecisionLog returns an empty log that writes its decisions to the logger.
func NewDecisionLog(logger *slog.Logger) *DecisionLog { return &DecisionLog{logger: logger} }

// Add records a decision on a request. The arguments are log attributes: names and
// values in turn.
func (l *DecisionLog) Add(request, text string, args ...any) {
	l.logger.Info(text, append([]any{"req", request}, args...)...)
	formatted := formatDecision(text, args)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ring[l.next%decisionLogSize] = Decision{Request: request, Text: formatted}
	l.next++
}

// Decisions returns the kept decisions on a request, oldest first.
func (l *DecisionLog) Decisions(request string) (decisions []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range decisionLogSize {
		d := l.ring[(l.next+i)%decisionLogSize]
		if d.Request == request && request != "" {
			decisions = append(decisions, d.Text)
		}
	}
	return decisions
}
