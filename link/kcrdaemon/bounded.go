package kcrdaemon

import (
	"context"
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// This file defines a log whose callers never block on the output: lines are kept in
// a bounded buffer until a goroutine writes them. Once the buffer is half full, only
// warnings and errors are accepted, and once it is full, no lines. Dropped lines are
// counted, and the count is logged.

// Limits of the buffer.
const (
	logBufferSize    = 256 << 10 // bytes
	logFlushInterval = 50 * time.Millisecond
)

// BoundedLog buffers log lines and writes them in the background. It is safe for
// concurrent use.
type BoundedLog struct {
	output io.Writer
	cancel context.CancelFunc
	wg     conc.WaitGroup

	mu           sync.Mutex
	buf          []byte // lines to write at the next flush
	spareBuf     []byte // buffer of the previous flush, for reuse
	unreported   int64  // lines dropped since the count was last logged
	droppedTotal int64  // lines dropped since the start
}

// NewBoundedLog returns a log that writes to output. Close stops it.
func NewBoundedLog(output io.Writer) *BoundedLog {
	ctx, cancel := context.WithCancel(context.Background())
	l := &BoundedLog{output: output, cancel: cancel}
	l.wg.Go(func() {
		RunEvery(ctx, logFlushInterval, func(context.Context) { l.flush() })
	})
	return l
}

// Logger returns a logger that writes JSON lines of at least the level to the log.
func (l *BoundedLog) Logger(level slog.Level) *slog.Logger {
	return slog.New(&boundedHandler{Handler: slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level}), log: l})
}

// Dropped returns the number of lines dropped since the start.
func (l *BoundedLog) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.droppedTotal
}

// Write implements io.Writer. It buffers p, which is a line, as a whole or drops it,
// and never returns an error.
func (l *BoundedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.buf)+len(p) > logBufferSize {
		l.unreported++
		l.droppedTotal++
		return len(p), nil
	}
	l.buf = append(l.buf, p...)
	return len(p), nil
}

// accept tells whether the log accepts a line of a level now. A line that it does not
// accept counts as dropped.
func (l *BoundedLog) accept(level slog.Level) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if level >= slog.LevelWarn || len(l.buf) < logBufferSize/2 {
		return true
	}
	l.unreported++
	l.droppedTotal++
	return false
}

// flush writes the buffered lines and the count of the lines dropped since the last
// flush.
func (l *BoundedLog) flush() {
	l.mu.Lock()
	lines, dropped := l.buf, l.unreported
	l.buf, l.unreported = l.spareBuf[:0], 0
	l.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, `{"level":"WARN","msg":"log lines dropped","count":`+strconv.FormatInt(dropped, 10)+"}\n"...)
	}
	if len(lines) > 0 {
		// An error is ignored, since it could only be reported to the same output.
		_, _ = l.output.Write(lines)
	}
	l.mu.Lock()
	l.spareBuf = lines
	l.mu.Unlock()
}

// Close stops the log and writes the lines that are still buffered.
func (l *BoundedLog) Close() {
	l.cancel()
	l.wg.Wait()
	l.flush()
}

// boundedHandler drops the records that the log does not accept.
type boundedHandler struct {
	slog.Handler
	log *BoundedLog
}

// Handle implements slog.Handler.
func (h *boundedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.log.accept(r.Level) {
		return nil
	}
	return h.Handler.Handle(ctx, r)
}

// WithAttrs implements slog.Handler.
func (h *boundedHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &boundedHandler{Handler: h.Handler.WithAttrs(attrs), log: h.log}
}

// WithGroup implements slog.Handler.
func (h *boundedHandler) WithGroup(name string) slog.Handler {
	return &boundedHandler{Handler: h.Handler.WithGroup(name), log: h.log}
}
