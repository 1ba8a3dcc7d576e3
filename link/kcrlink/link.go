// Package kcrlink carries the messages between kingcuprun's own processes:
// protobuf messages over yamux streams over TCP. One stream is one call.
//
// Nothing here repeats a message. An error of Pool.Open that wraps ErrUnsent
// proves that the peer did not get the request; any other error proves
// nothing.
package kcrlink

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/link/kcrwire"
)

// MaxMessage is the largest message that is sent or accepted, in bytes.
const MaxMessage = 16 << 20

const (
	dialTimeout  = 500 * time.Millisecond
	writeTimeout = 5 * time.Second
	keepAlive    = 10 * time.Second
)

// ErrUnsent marks errors that prove that the peer got nothing.
var ErrUnsent = errors.New("not sent")

// Stream is one call. Send and Recv may be used from one goroutine each.
type Stream struct {
	conn   net.Conn
	reader *bufio.Reader
}

func newStream(conn net.Conn) *Stream {
	return &Stream{conn: conn, reader: bufio.NewReader(conn)}
}

// Send writes a message.
func (s *Stream) Send(m proto.Message) (err error) {
	defer kcrerror.Annotate(&err, "send to %s", s.conn.RemoteAddr())
	if size := proto.Size(m); size > MaxMessage {
		return fmt.Errorf("expected at most %d bytes, got %d", MaxMessage, size)
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err = protodelim.MarshalTo(s.conn, m)
	return err
}

// Recv reads a message. It returns io.EOF where the peer closed the call.
func (s *Stream) Recv(m proto.Message) error {
	return protodelim.UnmarshalOptions{MaxSize: MaxMessage}.UnmarshalFrom(s.reader, m)
}

// Until sets the moment after which Recv fails; the zero time removes it.
func (s *Stream) Until(t time.Time) error { return s.conn.SetReadDeadline(t) }

// Close ends the call.
func (s *Stream) Close() error { return s.conn.Close() }

// Handler serves one call. The context ends when the session does or the
// server stops.
type Handler func(ctx context.Context, req *kcrwire.Request, s *Stream)

func config() *yamux.Config {
	c := yamux.DefaultConfig()
	c.LogOutput = io.Discard
	c.KeepAliveInterval = keepAlive
	c.ConnectionWriteTimeout = writeTimeout
	return c
}

// Server accepts sessions. Close it to stop.
type Server struct {
	listener net.Listener
	handler  Handler
	cancel   context.CancelFunc
	wait     conc.WaitGroup

	mu       sync.Mutex
	sessions map[*yamux.Session]bool
}

// Listen starts a server on an address of the form ip:port.
func Listen(addr string, h Handler) (s *Server, err error) {
	defer kcrerror.Annotate(&err, "listen on %s", addr)
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s = &Server{listener: l, handler: h, cancel: cancel, sessions: map[*yamux.Session]bool{}}
	s.wait.Go(func() { s.accept(ctx) })
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

func (s *Server) accept(ctx context.Context) {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		session, err := yamux.Server(conn, config())
		if err != nil {
			_ = conn.Close()
			continue
		}
		s.track(session, true)
		s.wait.Go(func() { s.serve(ctx, session) })
	}
}

func (s *Server) track(session *yamux.Session, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if on {
		s.sessions[session] = true
		return
	}
	delete(s.sessions, session)
}

func (s *Server) serve(ctx context.Context, session *yamux.Session) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.track(session, false)
	var calls conc.WaitGroup
	defer calls.Wait()
	defer func() { _ = session.Close() }()
	for {
		conn, err := session.Accept()
		if err != nil {
			cancel()
			return
		}
		calls.Go(func() { s.call(ctx, newStream(conn)) })
	}
}

func (s *Server) call(ctx context.Context, st *Stream) {
	defer func() { _ = st.Close() }()
	var req kcrwire.Request
	if err := st.Recv(&req); err != nil {
		return
	}
	s.handler(ctx, &req, st)
}

// Close stops the server and waits for its calls.
func (s *Server) Close() {
	s.cancel()
	_ = s.listener.Close()
	s.mu.Lock()
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

// Pool keeps one session to each peer that is called. It is safe for
// concurrent use.
type Pool struct {
	mu       sync.Mutex
	cut      func(addr string) bool
	sessions map[string]*yamux.Session
}

// NewPool returns a pool without sessions.
func NewPool() *Pool { return &Pool{sessions: map[string]*yamux.Session{}} }

// SetCut makes calls to the addresses that cut returns true for fail, and ends
// their sessions, as a network cut would.
func (p *Pool) SetCut(cut func(addr string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	for addr, s := range p.sessions {
		if cut(addr) {
			_ = s.Close()
		}
	}
}

func (p *Pool) isCut(addr string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut != nil && p.cut(addr)
}

func (p *Pool) session(ctx context.Context, addr string) (s *yamux.Session, err error) {
	p.mu.Lock()
	s = p.sessions[addr]
	p.mu.Unlock()
	if s != nil && !s.IsClosed() {
		return s, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	fresh, err := yamux.Client(conn, config())
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return p.keep(addr, fresh), nil
}

// keep stores a session, or drops it for one that another call made meanwhile.
func (p *Pool) keep(addr string, fresh *yamux.Session) *yamux.Session {
	p.mu.Lock()
	defer p.mu.Unlock()
	if old := p.sessions[addr]; old != nil && !old.IsClosed() {
		_ = fresh.Close()
		return old
	}
	p.sessions[addr] = fresh
	return fresh
}

// Open starts a call.
func (p *Pool) Open(ctx context.Context, addr string, req *kcrwire.Request) (st *Stream, err error) {
	defer kcrerror.Annotate(&err, "call %s", addr)
	if p.isCut(addr) {
		return nil, fmt.Errorf("%w: cut", ErrUnsent)
	}
	session, err := p.session(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	conn, err := session.Open()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	st = newStream(conn)
	if err := st.Send(req); err != nil {
		_ = st.Close()
		return nil, err
	}
	return st, nil
}

// Call sends a request and waits for its reply until the context ends.
func (p *Pool) Call(ctx context.Context, addr string, req *kcrwire.Request) (reply *kcrwire.Reply, err error) {
	st, err := p.Open(ctx, addr, req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = st.Close() }()
	defer kcrerror.Annotate(&err, "reply of %s", addr)
	if deadline, ok := ctx.Deadline(); ok {
		if err := st.Until(deadline); err != nil {
			return nil, err
		}
	}
	reply = &kcrwire.Reply{}
	if err := st.Recv(reply); err != nil {
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
	for _, s := range p.sessions {
		_ = s.Close()
	}
}
