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

// This file defines a log that never blocks who writes to it: lines wait in a
// bounded buffer for a goroutine that writes them. Where the buffer is half
// full, only warnings and errors get in; what is left out is counted, and the
// count is logged.

// Limits of the buffer.
const (
	logBuffer = 256 << 10 // bytes
	logFlush  = 50 * time.Millisecond
)

// BoundedLog is the writer behind a logger. Close writes what is left.
type BoundedLog struct {
	out    io.Writer
	cancel context.CancelFunc
	wait   conc.WaitGroup

	mu      sync.Mutex
	buf     []byte
	spare   []byte
	dropped int64
	total   int64
}

// NewBoundedLog starts a log that writes to out.
func NewBoundedLog(out io.Writer) *BoundedLog {
	ctx, cancel := context.WithCancel(context.Background())
	l := &BoundedLog{out: out, cancel: cancel}
	l.wait.Go(func() {
		Every(ctx, logFlush, func(context.Context) { l.flush() })
	})
	return l
}

// Logger returns a logger that writes lines of at least a level.
func (l *BoundedLog) Logger(level slog.Level) *slog.Logger {
	return slog.New(&boundedHandler{Handler: slog.NewJSONHandler(l, &slog.HandlerOptions{Level: level}), log: l})
}

// Dropped returns how many lines were left out.
func (l *BoundedLog) Dropped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Write implements io.Writer. It takes in a whole line or nothing.
func (l *BoundedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.buf)+len(p) > logBuffer {
		l.dropped++
		l.total++
		return len(p), nil
	}
	l.buf = append(l.buf, p...)
	return len(p), nil
}

// room tells whether a line of a level gets in, and counts it if not.
func (l *BoundedLog) room(level slog.Level) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if level >= slog.LevelWarn || len(l.buf) < logBuffer/2 {
		return true
	}
	l.dropped++
	l.total++
	return false
}

func (l *BoundedLog) flush() {
	l.mu.Lock()
	out, dropped := l.buf, l.dropped
	l.buf, l.dropped = l.spare[:0], 0
	l.mu.Unlock()
	if dropped > 0 {
		out = append(out, `{"level":"WARN","msg":"log lines dropped","count":`+strconv.FormatInt(dropped, 10)+"}\n"...)
	}
	if len(out) > 0 {
		// A failed write of the log has nowhere to be told.
		_, _ = l.out.Write(out)
	}
	l.mu.Lock()
	l.spare = out
	l.mu.Unlock()
}

// Close writes what is left.
func (l *BoundedLog) Close() {
	l.cancel()
	l.wait.Wait()
	l.flush()
}

// boundedHandler leaves out lines that have no room.
type boundedHandler struct {
	slog.Handler
	log *BoundedLog
}

// Handle implements slog.Handler.
func (h *boundedHandler) Handle(ctx context.Context, r slog.Record) error {
	if !h.log.room(r.Level) {
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
