// Package kcrlink is the RPC layer between kingcuprun's own processes: protobuf messages
// over yamux streams over TCP. Each call has a stream of its own.
//
// The package does not repeat messages. An error of Pool.Open or of the first Recv that
// wraps ErrNotSent proves that the peer did not serve the request; after any other error,
// the peer may have served it.
package kcrlink

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrmemory"
	"kingcuprun.example/link/kcrtransfer"
	"kingcuprun.example/link/kcrwire"
)

// This file defines the client side (Pool), the server side (Server), and the calls
// between them (Stream).

// MaxMessage is the maximum size of a message that is sent or accepted, in bytes.
const MaxMessage = 16 << 20

const (
	dialTimeout       = 500 * time.Millisecond
	writeTimeout      = 5 * time.Second
	keepAliveInterval = 10 * time.Second
)

// ErrNotSent is wrapped by errors that prove that the peer did not serve the request.
var ErrNotSent = errors.New("not sent")

// errRejected is the error of a call that the peer rejected before it served it, since it
// shuts down or is overloaded. A session resets a stream in these two cases only.
var errRejected = fmt.Errorf("%w: the peer rejected the call", ErrNotSent)

// Stream is one end of a call. At most one goroutine at a time may use Send, and at most
// one Recv.
type Stream struct {
	conn     net.Conn
	reader   *bufio.Reader
	received bool   // Recv has returned a message
	meter    *meter // of a server's session, nil at a client
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReader(conn)}
}

// Send writes a message of at most MaxMessage bytes. The peer serves no request of which
// it has not received all.
func (s *Stream) Send(m proto.Message) (err error) {
	defer kcrerror.Annotate(&err, "send to %s", s.conn.RemoteAddr())
	if size := proto.Size(m); size > MaxMessage {
		return fmt.Errorf("expected at most %d bytes, got %d", MaxMessage, size)
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = protodelim.MarshalTo(frameWriter{s.conn}, m)
	return s.callError(err)
}

// maxFrame is the maximum size of a frame of a session, in bytes. A session passes on a frame
// when all of it has arrived, so smaller frames show the progress of a large message.
const maxFrame = 16 << 10

// frameWriter writes frames of at most maxFrame bytes.
type frameWriter struct{ w io.Writer }

// Write implements io.Writer.
func (f frameWriter) Write(b []byte) (n int, err error) {
	for frame := range slices.Chunk(b, maxFrame) {
		written, err := f.w.Write(frame)
		n += written
		if err != nil {
			return n, err
		}
	}
	return n, nil
}

// callError returns an error that wraps ErrNotSent for a stream that the peer has reset
// before it sent anything, or that was closed before all of the request was sent. It
// returns any other error as it is.
func (s *Stream) callError(err error) error {
	switch {
	case s.received:
		return err
	case errors.Is(err, yamux.ErrConnectionReset):
		return errRejected
	case errors.Is(err, yamux.ErrStreamClosed):
		return fmt.Errorf("%w: %w", ErrNotSent, err)
	default:
		return err
	}
}

// Recv reads a message. It returns io.EOF if the peer has closed its end of the call.
func (s *Stream) Recv(m proto.Message) error {
	data, err := readMessage(s.reader)
	if err != nil {
		return s.callError(err)
	}
	if err := proto.Unmarshal(data, m); err != nil {
		return err
	}
	if s.meter != nil {
		s.meter.consumed(protowire.SizeBytes(len(data)))
	}
	s.received = true
	return nil
}

// firstBuffer is the first buffer of a long message, in bytes. It grows as the message arrives,
// since a peer may announce more than it ever sends.
const firstBuffer = 16 << 10

// readMessage reads a message with its size before it.
func readMessage(r *bufio.Reader) (data []byte, err error) {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return nil, err
	}
	if size > MaxMessage {
		return nil, fmt.Errorf("expected at most %d bytes, got %d", MaxMessage, size)
	}
	data = make([]byte, 0, min(size, firstBuffer))
	for len(data) < int(size) {
		if len(data) == cap(data) {
			data = append(make([]byte, 0, min(int(size), 2*cap(data))), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	return data, nil
}

// unexpectedEOF returns the error of a message that ends early.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// extendRecvDeadlines makes a deadline of Recv hold for the beginning of the message; see
// kcrtransfer.Conn. It must be called before the first Recv.
func (s *Stream) extendRecvDeadlines() {
	s.conn = kcrtransfer.New(s.conn, MaxMessage)
	s.reader = bufio.NewReader(s.conn)
}

// SetRecvDeadline sets the deadline of Recv. The zero time removes it.
func (s *Stream) SetRecvDeadline(t time.Time) error { return s.conn.SetReadDeadline(t) }

// Close closes this end of the call.
func (s *Stream) Close() error { return s.conn.Close() }

// Handler serves one call; the stream is closed when it returns. The context is done
// when the session ends or the server stops.
type Handler func(ctx context.Context, req *kcrwire.Request, s *Stream)

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	config.KeepAliveInterval = keepAliveInterval
	config.ConnectionWriteTimeout = writeTimeout
	return config
}

// maxWaitingCalls is how many calls of a session wait to be accepted by a server.
const maxWaitingCalls = 64

// serverConfig returns the configuration of a server's sessions.
func serverConfig() *yamux.Config {
	config := sessionConfig()
	config.AcceptBacklog = maxWaitingCalls
	return config
}

// Server accepts sessions and serves their calls. Close stops it.
type Server struct {
	listener net.Listener
	handler  Handler
	memory   *kcrmemory.Account // of the sessions
	onLoss   func(peer net.Addr, why string)
	clock    kcrclock.Clock
	cancel   context.CancelFunc
	stopping context.Context // done when Shutdown was called
	stop     context.CancelFunc
	wg       conc.WaitGroup // acceptSessions, and serveSession of each session

	mu       sync.Mutex
	sessions map[*yamux.Session]bool // open sessions
	closed   bool                    // Close was called
}

// Listen starts a server on an address of the form ip:port. The handler is called once
// for each call, concurrently. What the sessions hold is not limited closely; see ListenWithin.
func Listen(addr string, handler Handler) (s *Server, err error) {
	return ListenWithin(addr, kcrmemory.New(kcrmemory.Machine{}.Home()), func(net.Addr, string) {}, handler)
}

// ListenWithin starts a server like Listen, whose sessions hold what an account allows. A session
// that has lost its place ends; onLoss is called with its peer and the cause.
func ListenWithin(addr string, memory *kcrmemory.Account, onLoss func(peer net.Addr, why string), handler Handler) (s *Server, err error) {
	defer kcrerror.Annotate(&err, "listen on %s", addr)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s = &Server{listener: listener, handler: handler, memory: memory, onLoss: onLoss, clock: kcrclock.Monotonic(), cancel: cancel, sessions: map[*yamux.Session]bool{}}
	s.stopping, s.stop = context.WithCancel(context.Background())
	s.wg.Go(func() { s.acceptSessions(ctx) })
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// acceptSessions accepts sessions until the listener is closed.
func (s *Server) acceptSessions(ctx context.Context) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		m := s.openMeter(conn)
		if m == nil {
			_ = conn.Close()
			continue
		}
		session, err := yamux.Server(m, serverConfig())
		if err != nil {
			_ = m.Close()
			continue
		}
		if !s.addSession(session) {
			_ = session.Close()
			return
		}
		s.wg.Go(func() { s.serveSession(ctx, session, m) })
	}
}

// addSession adds a session to the open sessions, and reports whether the server is open.
func (s *Server) addSession(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.closed {
		s.sessions[session] = true
	}
	return !s.closed
}

// removeSession removes a session from the open sessions.
func (s *Server) removeSession(session *yamux.Session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

// serveSession serves the calls of a session until it ends or the server shuts down, and
// waits for them.
func (s *Server) serveSession(ctx context.Context, session *yamux.Session, m *meter) {
	defer s.removeSession(session)
	ctx, cancel := context.WithCancel(ctx)
	accepting, stopAccepting := context.WithCancel(ctx)
	var calls, watch conc.WaitGroup
	watch.Go(func() {
		defer cancel()
		select {
		case <-s.stopping.Done():
			rejectCalls(session)
			stopAccepting()
			<-session.CloseChan()
		case <-session.CloseChan():
		}
	})
	defer watch.Wait()
	defer calls.Wait()
	defer func() { _ = session.Close() }()
	for {
		conn, err := acceptCall(accepting, session)
		if errors.Is(err, context.Canceled) {
			calls.Wait()
			awaitRejections(session)
			return
		}
		if err != nil {
			return
		}
		stream := newStream(conn)
		stream.meter = m
		calls.Go(func() { s.serveCall(ctx, stream) })
	}
}

// maxAcceptAttempts bounds the chance that acceptCall misses a call to 1 in 2^64.
const maxAcceptAttempts = 64

// acceptCall accepts a call. It returns context.Canceled when ctx is canceled and no call
// waits, and another error when the session has ended.
func acceptCall(ctx context.Context, session *yamux.Session) (conn *yamux.Stream, err error) {
	for range maxAcceptAttempts {
		// If ctx is canceled and a call waits, yamux returns one or the other at random.
		conn, err = session.AcceptStreamWithContext(ctx)
		if !errors.Is(err, context.Canceled) {
			break
		}
	}
	return conn, err
}

// requestTimeout is how long the request of a call may take to begin.
const requestTimeout = 5 * time.Second

// serveCall reads the request of a call and calls the handler.
func (s *Server) serveCall(ctx context.Context, stream *Stream) {
	defer func() { _ = stream.Close() }()
	stream.meter.beginCall()
	defer stream.meter.endCall()
	stream.extendRecvDeadlines()
	_ = stream.SetRecvDeadline(time.Now().Add(requestTimeout))
	var req kcrwire.Request
	if err := stream.Recv(&req); err != nil {
		if errors.Is(err, yamux.ErrTimeout) {
			s.onLoss(stream.meter.RemoteAddr(), "a call did not end in time")
			_ = stream.meter.Close() // a session keeps what has arrived of the call
		}
		return
	}
	_ = stream.SetRecvDeadline(time.Time{})
	s.handler(ctx, &req, stream)
}

// Shutdown stops the server without breaking off a call: it rejects new calls, so that
// their callers get ErrNotSent, waits until the handlers of the others have returned or
// ctx ends, and closes the server.
func (s *Server) Shutdown(ctx context.Context) {
	_ = s.listener.Close()
	s.stop()
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
	case <-ctx.Done():
	}
	s.Close()
}

// rejectCalls makes a session reject new calls. It returns when the peer has read that it
// must open no more calls, and those that are not rejected wait to be accepted.
func rejectCalls(session *yamux.Session) {
	// A session that has ended gets no calls, so its errors do not matter.
	_ = session.GoAway()
	_, _ = session.Ping()
}

// lateCallDelay is the time for calls to arrive that the peer began to open before it read
// that it must open no more.
const lateCallDelay = 25 * time.Millisecond

// awaitRejections returns when the peer has read the replies and rejections of its calls.
func awaitRejections(session *yamux.Session) {
	select {
	case <-session.CloseChan():
	case <-time.After(lateCallDelay):
	}
	_, _ = session.Ping()
}

// Close stops the server, ends its sessions, and waits until the handlers have returned.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.mu.Lock()
	s.closed = true
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

// Pool holds one session per peer address and opens it at the first call. It is safe for
// concurrent use.
type Pool struct {
	mu            sync.Mutex
	isPartitioned func(addr string) bool // set by SimulatePartition; nil without a partition
	sessions      map[string]*yamux.Session
}

// NewPool returns a pool without sessions.
func NewPool() *Pool { return &Pool{sessions: map[string]*yamux.Session{}} }

// SimulatePartition simulates a network partition in tests: it ends the sessions to the
// addresses that isPartitioned returns true for, and calls to them fail from now on.
func (p *Pool) SimulatePartition(isPartitioned func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isPartitioned = isPartitioned
	for addr, session := range p.sessions {
		if isPartitioned(addr) {
			_ = session.Close()
		}
	}
}

// isUnreachable tells whether a simulated partition separates the pool from an address.
func (p *Pool) isUnreachable(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isPartitioned != nil && p.isPartitioned(addr)
}

// getSession returns the session to an address, and opens it if there is none.
func (p *Pool) getSession(ctx context.Context, addr string) (session *yamux.Session, err error) {
	p.mu.Lock()
	session = p.sessions[addr]
	p.mu.Unlock()
	if session != nil && !session.IsClosed() {
		return session, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	opened, err := yamux.Client(conn, sessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	if err := awaitServer(ctx, opened); err != nil {
		_ = opened.Close()
		return nil, err
	}
	return p.addSession(addr, opened), nil
}

// awaitServer returns when the server has answered on a new session. A server that stops
// may reset a connection that it has not accepted, and a call on it would end in doubt.
func awaitServer(ctx context.Context, session *yamux.Session) error {
	stop := context.AfterFunc(ctx, func() { _ = session.Close() })
	_, err := session.Ping()
	if !stop() {
		return ctx.Err()
	}
	return err
}

// addSession adds a session and returns it. If another call has added one meanwhile,
// addSession closes the new session and returns the other.
func (p *Pool) addSession(addr string, opened *yamux.Session) *yamux.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.sessions[addr]; other != nil && !other.IsClosed() {
		_ = opened.Close()
		return other
	}
	p.sessions[addr] = opened
	return opened
}

// Open starts a call to a peer and sends its request. The caller must close the stream.
func (p *Pool) Open(ctx context.Context, addr string, req *kcrwire.Request) (stream *Stream, err error) {
	defer kcrerror.Annotate(&err, "call %s", addr)
	if p.isUnreachable(addr) {
		return nil, fmt.Errorf("%w: simulated network partition", ErrNotSent)
	}
	session, err := p.getSession(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	conn, err := session.Open()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotSent, err)
	}
	stream = newStream(conn)
	if err := stream.Send(req); err != nil {
		_ = stream.Close()
		return nil, err
	}
	return stream, nil
}

// Call starts a call to a peer, waits until the deadline of the context for its reply to
// begin, and for the rest as long as it arrives, and ends the call. An error in the reply is
// returned as an error.
func (p *Pool) Call(ctx context.Context, addr string, req *kcrwire.Request) (reply *kcrwire.Reply, err error) {
	stream, err := p.Open(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = stream.Close() }()
	defer kcrerror.Annotate(&err, "reply of %s", addr)
	if deadline, ok := ctx.Deadline(); ok {
		stream.extendRecvDeadlines()
		if err := stream.SetRecvDeadline(deadline); err != nil {
			return nil, err
		}
	}
	reply = &kcrwire.Reply{}
	if err := stream.Recv(reply); err != nil {
		return nil, err
	}
	if reply.GetError() != "" {
		return nil, errors.New(reply.GetError())
	}
	return reply, nil
}

// Close ends all sessions.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, session := range p.sessions {
		_ = session.Close()
	}
}
