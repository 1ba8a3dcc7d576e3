// Package kcrstandin holds small stand-ins for the platform and the upstreams,
// for tests and the demo. Each can be told to fail in the ways that the real
// ones do.
package kcrstandin

import (
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/gofiber/fiber/v3"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrplatform"
)

// This file is the log service. Offsets start at 1. An append can be applied
// and its answer lost.

// LogFaults are the ways in which the log service fails.
type LogFaults struct {
	Down   bool `json:"down"`
	SlowMS int  `json:"slow"`
	Lose   bool `json:"lose"`
	Rate   int  `json:"rate"` // appends a second, 0 for no limit
	Keep   int  `json:"keep"` // records a stream, 0 for all
}

// Log is the log service.
type Log struct {
	mu      sync.Mutex
	faults  LogFaults
	streams map[kcrid.Stream]*logStream
	window  time.Time
	inRate  int
	appends int
	bytes   int
}

type logStream struct {
	first   kcrid.Offset
	records [][]byte
	wake    chan struct{}
}

const pageSize = 512

// NewLog returns an empty log service.
func NewLog() *Log { return &Log{streams: map[kcrid.Stream]*logStream{}} }

// Fault sets the faults.
func (l *Log) Fault(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	for _, s := range l.streams {
		s.trim(f.Keep)
	}
}

func (l *Log) get(name kcrid.Stream) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{first: 1, wake: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

func (s *logStream) next() kcrid.Offset { return s.first + kcrid.Offset(len(s.records)) }

func (s *logStream) trim(keep int) {
	if drop := len(s.records) - keep; keep > 0 && drop > 0 {
		s.first += kcrid.Offset(drop)
		s.records = s.records[drop:]
	}
}

// Append adds records to a stream.
func (l *Log) Append(name kcrid.Stream, records [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
	for _, r := range records {
		s.records = append(s.records, append([]byte(nil), r...))
		l.bytes += len(r)
	}
	l.appends++
	s.trim(l.faults.Keep)
	close(s.wake)
	s.wake = make(chan struct{})
}

// Read returns records from an offset on, and a channel that is closed at the
// next append.
func (l *Log) Read(name kcrid.Stream, from kcrid.Offset) (p kcrlog.Page, wake <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.get(name)
	p = kcrlog.Page{First: s.first, Next: s.next()}
	if from < s.first {
		return p, s.wake
	}
	for off := from; off < s.next() && len(p.Records) < pageSize; off++ {
		p.Records = append(p.Records, kcrlog.Record{Offset: off, Data: s.records[off-s.first]})
	}
	return p, s.wake
}

// Stats returns the number of appends and of bytes appended.
func (l *Log) Stats() (appends, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.bytes
}

func (l *Log) state() (f LogFaults, over bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.window) > time.Second {
		l.window, l.inRate = time.Now(), 0
	}
	l.inRate++
	return l.faults, l.faults.Rate > 0 && l.inRate > l.faults.Rate
}

// Route adds the service's paths to an app.
func (l *Log) Route(app *fiber.App) {
	app.Post(kcrplatform.AppendPath, l.serveAppend)
	app.Get(kcrplatform.ReadPath, l.serveRead)
	app.Post("/fault/log", func(c fiber.Ctx) error {
		var f LogFaults
		if err := json.Unmarshal(c.Body(), &f); err != nil {
			return err
		}
		l.Fault(f)
		return nil
	})
}

func (l *Log) serveAppend(c fiber.Ctx) error {
	f, over := l.state()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	switch {
	case f.Down:
		return hangUp(c)
	case over:
		return c.SendStatus(fiber.StatusTooManyRequests)
	}
	var a kcrplatform.Append
	if err := json.Unmarshal(c.Body(), &a); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	l.Append(a.Stream, a.Records)
	if f.Lose {
		return hangUp(c)
	}
	return c.SendString("{}")
}

func (l *Log) serveRead(c fiber.Ctx) error {
	f, _ := l.state()
	time.Sleep(time.Duration(f.SlowMS) * time.Millisecond)
	if f.Down {
		return hangUp(c)
	}
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil || from == 0 {
		return c.Status(fiber.StatusBadRequest).SendString("from: expected an offset from 1 on")
	}
	wait, err := strconv.ParseInt(c.Query("wait", "0"), 10, 64)
	if err != nil || wait < 0 {
		return c.Status(fiber.StatusBadRequest).SendString("wait: expected milliseconds")
	}
	name := kcrid.Stream(append([]byte(nil), c.Query("stream")...))
	page, wake := l.Read(name, kcrid.Offset(from))
	if len(page.Records) == 0 && wait > 0 && page.First <= kcrid.Offset(from) {
		select {
		case <-wake:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		}
		page, _ = l.Read(name, kcrid.Offset(from))
	}
	if f, _ := l.state(); f.Down {
		return hangUp(c)
	}
	out := kcrplatform.Page{First: page.First, Next: page.Next}
	for _, r := range page.Records {
		out.Records = append(out.Records, kcrplatform.Record{Offset: r.Offset, Data: r.Data})
	}
	return c.JSON(out)
}

// hangUp closes the connection without an answer.
func hangUp(c fiber.Ctx) error {
	return c.RequestCtx().Conn().Close()
}
