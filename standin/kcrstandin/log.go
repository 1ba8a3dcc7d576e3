// Package kcrstandin provides small in-memory stand-ins (fakes) for the platform and the
// upstreams, for tests and the demo. Each can be set to fail in the ways in which the
// real service fails.
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

// This file defines the log service. Offsets in a stream start at 1 and have no gaps. An
// append can take effect although its response is lost.

// LogFaults sets the ways in which the log service fails. The zero value is a service that
// works.
type LogFaults struct {
	Down            bool `json:"down"` // close every connection without a response
	DelayMS         int  `json:"slow"` // delay of each request
	LoseResponse    bool `json:"lose"` // apply appends, but close the connection without a response
	AppendRate      int  `json:"rate"` // appends are refused above this many requests a second, reads counted; 0 for no limit
	RetainedRecords int  `json:"keep"` // newest records of a stream that are retained, 0 for all
}

// Log is the log service. It is safe for concurrent use.
type Log struct {
	mu             sync.Mutex
	faults         LogFaults
	streams        map[kcrid.Stream]*logStream
	windowStart    time.Time // start of the second over which AppendRate is measured
	windowRequests int
	appendCount    int
	appendedBytes  int
}

// logStream is one stream of the log. It holds the retained records.
type logStream struct {
	firstOffset kcrid.Offset // of records[0]
	records     [][]byte
	appended    chan struct{} // closed at the next append
}

// maxPageRecords bounds the records that one read returns.
const maxPageRecords = 512

// NewLog returns an empty log service.
func NewLog() *Log { return &Log{streams: map[kcrid.Stream]*logStream{}} }

// SetFaults replaces the faults. It also deletes the records beyond RetainedRecords at
// once.
func (l *Log) SetFaults(faults LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = faults
	for _, s := range l.streams {
		s.deleteOldest(faults.RetainedRecords)
	}
}

// stream returns the stream of a name and creates it if necessary. The caller holds mu.
func (l *Log) stream(name kcrid.Stream) *logStream {
	s, ok := l.streams[name]
	if !ok {
		s = &logStream{firstOffset: 1, appended: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// nextOffset returns the offset that the next record will get.
func (s *logStream) nextOffset() kcrid.Offset { return s.firstOffset + kcrid.Offset(len(s.records)) }

// deleteOldest deletes all but the newest records. It deletes none if retained is 0.
func (s *logStream) deleteOldest(retained int) {
	if excess := len(s.records) - retained; retained > 0 && excess > 0 {
		s.firstOffset += kcrid.Offset(excess)
		s.records = s.records[excess:]
	}
}

// Append appends records to a stream and wakes the reads that wait for it.
func (l *Log) Append(name kcrid.Stream, records [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	for _, record := range records {
		s.records = append(s.records, append([]byte(nil), record...))
		l.appendedBytes += len(record)
	}
	l.appendCount++
	s.deleteOldest(l.faults.RetainedRecords)
	close(s.appended)
	s.appended = make(chan struct{})
}

// Read returns records from an offset on, and a channel that is closed at the next append
// to the stream. The page has no records if the log no longer holds that offset.
func (l *Log) Read(name kcrid.Stream, from kcrid.Offset) (page kcrlog.Page, appended <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	page = kcrlog.Page{FirstOffset: s.firstOffset, NextOffset: s.nextOffset()}
	if from < s.firstOffset {
		return page, s.appended
	}
	for off := from; off < s.nextOffset() && len(page.Records) < maxPageRecords; off++ {
		page.Records = append(page.Records, kcrlog.Record{Offset: off, Data: s.records[off-s.firstOffset]})
	}
	return page, s.appended
}

// Stats returns the number of appends and of bytes appended.
func (l *Log) Stats() (appends, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appendCount, l.appendedBytes
}

// countRequest counts a request towards AppendRate. It returns the faults in force and
// whether the limit is exceeded.
func (l *Log) countRequest() (faults LogFaults, overLimit bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.windowStart) > time.Second {
		l.windowStart, l.windowRequests = time.Now(), 0
	}
	l.windowRequests++
	return l.faults, l.faults.AppendRate > 0 && l.windowRequests > l.faults.AppendRate
}

// RegisterRoutes registers the HTTP handlers of the service, and one that sets its faults.
func (l *Log) RegisterRoutes(app *fiber.App) {
	app.Post(kcrplatform.AppendPath, l.serveAppend)
	app.Get(kcrplatform.ReadPath, l.serveRead)
	app.Post("/fault/log", func(c fiber.Ctx) error {
		var faults LogFaults
		if err := json.Unmarshal(c.Body(), &faults); err != nil {
			return err
		}
		l.SetFaults(faults)
		return nil
	})
}

// serveAppend responds to an append.
func (l *Log) serveAppend(c fiber.Ctx) error {
	faults, overLimit := l.countRequest()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	switch {
	case faults.Down:
		return closeConnection(c)
	case overLimit:
		return c.SendStatus(fiber.StatusTooManyRequests)
	}
	var request kcrplatform.Append
	if err := json.Unmarshal(c.Body(), &request); err != nil {
		return c.Status(fiber.StatusBadRequest).SendString(err.Error())
	}
	l.Append(request.Stream, request.Records)
	if faults.LoseResponse {
		return closeConnection(c)
	}
	return c.SendString("{}")
}

// serveRead responds to a read. If there is no record yet, it waits for an append, at most
// as long as the request says.
func (l *Log) serveRead(c fiber.Ctx) error {
	faults, _ := l.countRequest()
	time.Sleep(time.Duration(faults.DelayMS) * time.Millisecond)
	if faults.Down {
		return closeConnection(c)
	}
	from, err := strconv.ParseUint(c.Query("from"), 10, 64)
	if err != nil || from == 0 {
		return c.Status(fiber.StatusBadRequest).SendString("from: expected an offset from 1 on")
	}
	waitMS, err := strconv.ParseInt(c.Query("wait", "0"), 10, 64)
	if err != nil || waitMS < 0 {
		return c.Status(fiber.StatusBadRequest).SendString("wait: expected milliseconds")
	}
	name := kcrid.Stream(append([]byte(nil), c.Query("stream")...))
	page, appended := l.Read(name, kcrid.Offset(from))
	if len(page.Records) == 0 && waitMS > 0 && page.FirstOffset <= kcrid.Offset(from) {
		select {
		case <-appended:
		case <-time.After(time.Duration(waitMS) * time.Millisecond):
		}
		page, _ = l.Read(name, kcrid.Offset(from))
	}
	if faults, _ := l.countRequest(); faults.Down {
		return closeConnection(c)
	}
	response := kcrplatform.Page{First: page.FirstOffset, Next: page.NextOffset}
	for _, record := range page.Records {
		response.Records = append(response.Records, kcrplatform.Record{Offset: record.Offset, Data: record.Data})
	}
	return c.JSON(response)
}

// closeConnection closes the connection of a request without a response.
func closeConnection(c fiber.Ctx) error {
	return c.RequestCtx().Conn().Close()
}
