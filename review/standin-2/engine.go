package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// This file defines the stand-in of an engine. It runs up to its slots, queues a few more, and
// refuses the rest with Not-Executed; it answers 421 to a request that is meant for another
// engine, echoes Attempt-Id, signs its answers, keeps connections open as its Keep-Alive says,
// and stops work when its caller closes the connection. Invariant: a run is recorded before
// anything of its answer is sent.

// engineConfig describes an engine.
type engineConfig struct {
	id        string
	service   string
	zone      string
	slots     int
	queue     int
	keepAlive int           // seconds
	conns     int           // maxConnections, of all callers combined
	events    int           // of a stream
	gap       time.Duration // between two events
	work      time.Duration // of a request that is no stream
}

// engine is a running stand-in of an engine.
type engine struct {
	engineConfig
	lab    *lab
	addr   string
	born   int64
	server *http.Server
	places chan struct{} // one element for each request that runs

	mu       sync.Mutex
	waiting  int
	sequence int64
	stopBeat context.CancelFunc
}

// startEngine starts an engine on a free port of a loopback address, and its heartbeat.
func (l *lab) startEngine(c engineConfig, ip string) (*engine, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	e := &engine{engineConfig: c, lab: l, addr: listener.Addr().String(), born: time.Now().UnixMilli(), places: make(chan struct{}, c.slots)}
	e.server = &http.Server{Handler: http.HandlerFunc(e.handle), IdleTimeout: time.Duration(c.keepAlive+1) * time.Second}
	go func() { _ = e.server.Serve(&cappedListener{Listener: listener, most: int64(c.conns)}) }()
	ctx, cancel := context.WithCancel(context.Background())
	e.stopBeat = cancel
	e.beat("ready")
	go func() {
		for ctx.Err() == nil {
			select {
			case <-ctx.Done():
			case <-time.After(heartbeat):
				e.beat("ready")
			}
		}
	}()
	return e, nil
}

// heartbeat is the time between two entries of an engine.
const heartbeat = 1200 * time.Millisecond

// beat writes the entry of the engine.
func (e *engine) beat(state string) {
	e.mu.Lock()
	e.sequence++
	sequence := e.sequence
	e.mu.Unlock()
	e.lab.store.putJSON("keyed.servers", e.id, map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "1", "slots": e.slots, "state": state, "coldRemainingMs": 0, "sequence": sequence, "born": e.born,
	})
}

// handle answers a request.
func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	w.Header().Set("Attempt-Id", attempt)
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(e.keepAlive))
	e.lab.noteArrival(e, attempt, r, body)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !e.takePlace(r.Context()) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-e.places }()
	run := e.lab.noteRun(e, attempt, r)
	defer run.end()
	w.Header().Set("Server-Signature", signature(attempt, e.id))
	if strings.HasPrefix(r.URL.Path, streamPrefix) {
		e.stream(w, r)
		return
	}
	if !wait(r.Context(), e.work) {
		return
	}
	answer := bodyOf(attempt)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = io.WriteString(w, answer)
}

// streamPrefix begins the paths of streams.
const streamPrefix = "/stream"

// signature returns the signature of an answer.
func signature(attempt, id string) string { return "sig." + attempt + "." + id }

// bodyOf returns the body of the answer to a request that is no stream.
func bodyOf(attempt string) string { return strings.Repeat("answer to "+attempt+";", 20) }

// eventOf returns an event of the answer to a stream.
func eventOf(number int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", number, number) }

// takePlace waits for a place. It returns false if the queue is full, or the caller left.
func (e *engine) takePlace(ctx context.Context) bool {
	e.mu.Lock()
	if e.waiting >= e.queue && len(e.places) >= e.slots {
		e.mu.Unlock()
		return false
	}
	e.waiting++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.waiting--
		e.mu.Unlock()
	}()
	select {
	case e.places <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// wait waits, and reports whether the caller stayed.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// stream sends events from after Last-Event-Id on.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for number := last + 1; number <= e.events; number++ {
		if !wait(r.Context(), e.gap) {
			return
		}
		if _, err := io.WriteString(w, eventOf(number)); err != nil {
			return
		}
		flusher.Flush()
	}
}

// cappedListener resets the connections beyond maxConnections.
type cappedListener struct {
	net.Listener
	most int64
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &cappedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// cappedConn is a connection that counts towards maxConnections.
type cappedConn struct {
	net.Conn
	listener *cappedListener
	once     sync.Once
}

// Close implements net.Conn.
func (c *cappedConn) Close() error {
	c.once.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
