package kcrdaemon

import (
	"sync/atomic"

	"kingcuprun.example/kernel/kcrclock"
)

// This file bounds log lines that clients can cause at will.

// maxLinesPerSecond is how many lines a LineLimit allows in a second.
const maxLinesPerSecond = 20

// LineLimit bounds the log lines of a kind. Its zero value is ready to use. It is safe for
// concurrent use.
type LineLimit struct {
	second atomic.Int64
	lines  atomic.Int64
}

// Allow reports whether another line may be written.
func (l *LineLimit) Allow(now kcrclock.Time) bool {
	second := int64(now) / int64(kcrclock.Second)
	if l.second.Swap(second) != second {
		l.lines.Store(0)
	}
	return l.lines.Add(1) <= maxLinesPerSecond
}
