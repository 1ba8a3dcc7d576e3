package kcrlink

import (
	"encoding/binary"
	"net"
	"sync"

	"kingcuprun.example/kernel/kcrmemory"
)

// This file counts what a server holds for a session: what has arrived in its calls and was not
// handled. Invariant: a session that lost its place, or gets no memory, is closed.

// Layout of a frame of yamux: a header of 12 bytes with the type in the second one and the length
// of the data, if it is a data frame, in the last four.
const (
	frameHeader = 12
	frameType   = 1
	frameLength = 8
	typeData    = 0
)

// meter is the connection of a session.
type meter struct {
	net.Conn
	server *Server
	holder *kcrmemory.Holder

	header  [frameHeader]byte // of the current frame; used by Read only
	read    int               // bytes of it
	payload int64             // bytes of the current frame that have not arrived

	mu    sync.Mutex
	calls int   // calls in progress
	bytes int64 // reserved in the account
	close sync.Once
}

// openMeter adds a connection to the account. It returns nil if no place is left.
func (s *Server) openMeter(conn net.Conn) *meter {
	m := &meter{Conn: conn, server: s}
	holder, losers := s.memory.Open(s.clock.Now(), func(kcrmemory.Stage) {
		s.onLoss(conn.RemoteAddr(), "place lost")
		_ = conn.Close()
	})
	kcrmemory.EndAll(losers)
	if holder == nil {
		s.onLoss(conn.RemoteAddr(), "no connection left")
		return nil
	}
	m.holder = holder
	return m
}

// Read implements net.Conn. It counts the data that arrive for calls.
func (m *meter) Read(p []byte) (n int, err error) {
	n, err = m.Conn.Read(p)
	if data := m.dataIn(p[:n]); data > 0 && !m.reserve(data) {
		m.server.onLoss(m.RemoteAddr(), "no memory for messages")
		_ = m.Conn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// dataIn returns how many bytes of the next part of the session belong to calls.
func (m *meter) dataIn(p []byte) (data int) {
	for len(p) > 0 {
		if m.payload > 0 {
			n := int(min(m.payload, int64(len(p))))
			m.payload -= int64(n)
			data += n
			p = p[n:]
			continue
		}
		n := copy(m.header[m.read:], p)
		m.read += n
		p = p[n:]
		if m.read < frameHeader {
			break
		}
		m.read = 0
		if m.header[frameType] == typeData {
			m.payload = int64(binary.BigEndian.Uint32(m.header[frameLength:]))
		}
	}
	return data
}

// reserve reserves memory for data of calls. It reports whether there is room.
func (m *meter) reserve(n int) bool {
	now := m.server.clock.Now()
	outcome, losers := m.server.memory.Grow(now, m.holder, kcrmemory.Messages, n)
	kcrmemory.EndAll(losers)
	m.mu.Lock()
	defer m.mu.Unlock()
	if outcome == kcrmemory.Granted {
		m.bytes += int64(n)
	}
	return outcome == kcrmemory.Granted
}

// beginCall records that a call is in progress.
func (m *meter) beginCall() {
	m.mu.Lock()
	m.calls++
	m.mu.Unlock()
}

// consumed records that a message of n bytes, with its size before it, was read.
func (m *meter) consumed(n int) {
	now := m.server.clock.Now()
	m.server.memory.Progress(now, m.holder, n)
	m.server.memory.SetStage(now, m.holder, kcrmemory.Idle)
	m.giveBack(int64(n))
}

// giveBack returns up to n bytes to the account.
func (m *meter) giveBack(n int64) {
	m.mu.Lock()
	n = min(n, m.bytes)
	m.bytes -= n
	m.mu.Unlock()
	m.server.memory.Shrink(m.holder, kcrmemory.Messages, int(n))
}

// endCall records that a call has ended. A session without calls holds nothing.
func (m *meter) endCall() {
	m.mu.Lock()
	m.calls--
	rest := int64(0)
	if m.calls == 0 {
		rest = m.bytes
	}
	m.mu.Unlock()
	m.giveBack(rest)
}

// Close implements net.Conn.
func (m *meter) Close() error {
	m.close.Do(func() { m.server.memory.Remove(m.holder) })
	return m.Conn.Close()
}
