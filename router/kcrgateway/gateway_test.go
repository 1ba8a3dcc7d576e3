package kcrgateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrharm"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplace"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrhttp"
	"kingcuprun.example/router/kcrgateway"
)

// names are the header fields of these tests.
func names() kcrgateway.Dialect {
	return kcrgateway.Dialect{
		ID: "X-Id", Key: "X-Key", Team: "X-Team", Deadline: "X-Deadline", Instance: "X-Instance", Usage: "X-Usage",
		Parts: "X-Parts", Resume: "X-Resume", Signature: "X-Signature", NotRun: "X-Not-Run", Retry: "Retry-After", Urgency: "X-Urgency",
		Ours:     []string{"X-Hold"},
		Patience: func(_, _ kcrclock.Duration) kcrclock.Duration { return kcrclock.Duration(patience.Milliseconds()) },
	}
}

// patience is how long callers wait for the next event of a stream.
const patience = 800 * time.Millisecond

// upstream is a scripted upstream: answer gets each request and writes to the
// connection. It returns whether the connection goes on.
type upstream struct {
	id       string
	listener net.Listener
	answer   func(n int, req request, conn net.Conn) bool
	seen     atomic.Int64
	closed   chan string // ids of requests whose connection the gateway closed

	mu       sync.Mutex
	requests []request
}

type request struct {
	head *kcrhttp.Head
	body string
}

func (r request) id() string { return r.head.Get("X-Id") }

func newUpstream(t *testing.T, id string, answer func(n int, req request, conn net.Conn) bool) *upstream {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	u := &upstream{id: id, listener: l, answer: answer, closed: make(chan string, 100)}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	return u
}

func (u *upstream) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for {
		req, err := readRequest(r)
		if err != nil {
			return
		}
		u.mu.Lock()
		u.requests = append(u.requests, req)
		u.mu.Unlock()
		if !u.answer(int(u.seen.Add(1)), req, conn) {
			return
		}
	}
}

func readRequest(r *bufio.Reader) (req request, err error) {
	if req.head, err = kcrhttp.ReadRequest(r, 64<<10); err != nil {
		return req, err
	}
	body, err := kcrhttp.RequestBody(r, req.head)
	if err != nil {
		return req, err
	}
	data, err := body.ReadAll(1 << 20)
	req.body = string(data)
	return req, err
}

func (u *upstream) got() []request {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]request(nil), u.requests...)
}

// purse counts what is reserved and spent.
type purse struct {
	mu       sync.Mutex
	code     kcrbudget.Code
	reserved kcrid.Tokens
	spent    kcrid.Tokens
	settled  int
}

func (p *purse) reserve(_ kcrid.Team, worst kcrid.Tokens, _ kcrclock.Duration, _ <-chan struct{}) kcrbudget.Code {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.code == kcrbudget.Granted {
		p.reserved += worst
	}
	return p.code
}

func (p *purse) settle(_ kcrid.Team, worst, used kcrid.Tokens) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserved -= worst
	p.spent += used
	p.settled++
}

func (p *purse) state() (reserved, spent kcrid.Tokens, settled int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reserved, p.spent, p.settled
}

// rig is a gateway in front of upstreams.
type rig struct {
	gateway *kcrgateway.Gateway
	purse   *purse
	table   *kcrplace.Table
	harm    *kcrharm.Book
}

const host = "h.example"

func newRig(t *testing.T, ups ...*upstream) *rig {
	t.Helper()
	clock := kcrclock.Monotonic()
	r := &rig{purse: &purse{code: kcrbudget.Granted}, table: kcrplace.New("z", kcrplace.DefaultWeights()), harm: kcrharm.New(2)}
	rules := kcrrule.NewState(kcrrule.Newer)
	route := func(prefix string, kind kcrrule.Kind, attempts int, resumable bool) kcrrule.Route {
		return kcrrule.Route{
			Name: prefix, Host: host, Prefix: prefix, Kind: kind, Shares: []kcrrule.Share{{Service: "s", Weight: 1}},
			Timeout: 2000, Aim: 200, Pause: 200, Attempts: attempts, Resumable: resumable,
		}
	}
	rules.Apply(kcrrule.New(1, kcrrule.Limits{Header: 8 << 10, Body: 1 << 20, HeaderTime: 1000, IdleTime: 5000},
		[]kcrrule.Service{{Name: "s", KV: 100000, Stride: 7}},
		[]kcrrule.Team{{Name: "team", Keys: []string{"key"}, Rank: -1, Prepaid: 1000}},
		[]kcrrule.Route{
			route("/once/", kcrrule.Once, 1, false), route("/safe/", kcrrule.Idempotent, 2, false),
			route("/stream/", kcrrule.Stream, 1, false), route("/resume/", kcrrule.Stream, 2, true),
		}))
	var members []kcrplace.Upstream
	for _, u := range ups {
		members = append(members, kcrplace.Upstream{ID: kcrid.VM(u.id), Service: "s", Addr: u.listener.Addr().String(), Zone: "z", Slots: 8})
	}
	r.table.Update(clock.Now(), members)
	g, err := kcrgateway.New(kcrgateway.Config{
		Listen: "127.0.0.1:0", Dialect: names(), Clock: clock, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
		Metrics: prometheus.NewRegistry(), Rules: rules, Table: r.table, Harm: r.harm,
		Purse:   kcrgateway.Purse{Reserve: r.purse.reserve, Settle: r.purse.settle},
		Retries: kcrgateway.RetryLimits{Window: 10000, Ratio: 0.2, Slack: 50},
		Routers: func() int { return 1 }, Crashed: func(kcrid.Content, kcrid.VM) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	r.gateway = g
	t.Cleanup(g.Close)
	return r
}

// place makes one upstream near and another far.
func (r *rig) place(near, far *upstream) {
	var members []kcrplace.Upstream
	for i, u := range []*upstream{near, far} {
		members = append(members, kcrplace.Upstream{
			ID: kcrid.VM(u.id), Service: "s", Addr: u.listener.Addr().String(), Zone: []kcrid.Zone{"z", "y"}[i], Slots: 8,
		})
	}
	r.table.Update(0, members)
}

var lastID atomic.Int64

// text returns a request of a path with further header lines.
func text(path, headers, body string) (id, out string) {
	id = fmt.Sprintf("id-%d", lastID.Add(1))
	return id, fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\nX-Id: %s\r\nX-Key: key\r\nX-Deadline: 1500\r\nX-Usage: 100,70\r\nX-Parts: a:60,b:40\r\n%sContent-Length: %d\r\n\r\n%s",
		path, host, id, headers, len(body), body)
}

func dial(t *testing.T, r *rig) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", r.gateway.Addr())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return conn
}

// ask sends a request and reads the answer.
func ask(t *testing.T, r *rig, path, headers string) (head *kcrhttp.Head, body string, err error) {
	t.Helper()
	conn := dial(t, r)
	_, out := text(path, headers, "body")
	if _, err := io.WriteString(conn, out); err != nil {
		t.Fatal(err)
	}
	return readAnswer(bufio.NewReader(conn))
}

func readAnswer(br *bufio.Reader) (head *kcrhttp.Head, body string, err error) {
	if head, err = kcrhttp.ReadResponse(br, 8<<10); err != nil {
		return nil, "", err
	}
	b, err := kcrhttp.ResponseBody(br, head, "POST")
	if err != nil {
		return head, "", err
	}
	data, err := b.ReadAll(1 << 20)
	return head, string(data), err
}

func reply(conn net.Conn, id, status, headers, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Id: %s\r\nX-Signature: sig\r\n%sContent-Length: %d\r\n\r\n%s", status, id, headers, len(body), body)
	return err == nil
}

// stream writes the head of a stream and events from one to another.
func stream(conn net.Conn, id string, from, to int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: sig\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id)
	for i := from; i <= to; i++ {
		_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(event(i))))
	}
}

func event(i int) string { return fmt.Sprintf("id: %d\ndata: e%d\n\n", i, i) }

func events(to int) (out string) {
	for i := 1; i <= to; i++ {
		out += event(i)
	}
	return out
}

func ok(_ int, req request, conn net.Conn) bool { return reply(conn, req.id(), "200 OK", "", "fine") }

func TestPassesOn(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u1", ok)
	r := newRig(t, u)
	head, body, err := ask(t, r, "/once/1", "A: 1\r\nX-Team: forged\r\nX-Hold: 7\r\nX-Instance: forged\r\nX-Urgency: 0\r\nConnection: X-Hop\r\nX-Hop: 1\r\n")
	if err != nil || head.Status != 200 || body != "fine" || head.Get("X-Signature") != "sig" {
		t.Fatalf("expected the upstream's answer, got %+v %q %v", head, body, err)
	}
	got := u.got()[0]
	for name, want := range map[string]string{
		"A": "1", "X-Team": "team", "X-Instance": "u1", "X-Hold": "", "X-Key": "", "X-Hop": "", "X-Urgency": "",
	} {
		if got.head.Get(name) != want {
			t.Errorf("%s: expected %q at the upstream, got %q", name, want, got.head.Get(name))
		}
	}
	if got.body != "body" || got.head.Target != "/once/1" {
		t.Errorf("expected the request unchanged, got %q %q", got.head.Target, got.body)
	}
}

func TestRefusalsOfOurOwn(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u1", ok)
	r := newRig(t, u)
	for _, c := range []struct {
		path, headers string
		status        int
	}{{"/none/1", "", 404}, {"/once", "", 404}} {
		head, _, err := ask(t, r, c.path, c.headers)
		if err != nil || head.Status != c.status || head.Has("X-Signature") {
			t.Errorf("%s: expected status %d without a signature, got %+v %v", c.path, c.status, head, err)
		}
	}
	conn := dial(t, r)
	_, _ = io.WriteString(conn, "GET /once/1 HTTP/1.1\r\nHost: h.example\r\nX-Id: x\r\nX-Key: wrong\r\n\r\n")
	if head, _, err := readAnswer(bufio.NewReader(conn)); err != nil || head.Status != 401 {
		t.Errorf("unknown key: expected 401, got %+v %v", head, err)
	}
	for code, status := range map[kcrbudget.Code]int{kcrbudget.UsedUp: 402, kcrbudget.Pending: 503, kcrbudget.Unknowable: 503} {
		r.purse.mu.Lock()
		r.purse.code = code
		r.purse.mu.Unlock()
		head, _, err := ask(t, r, "/resume/1", "")
		if err != nil || head.Status != status || status == 503 && !head.Has("Retry-After") {
			t.Errorf("budget %v: expected status %d, got %+v %v", code, status, head, err)
		}
	}
	if n := len(u.got()); n != 0 {
		t.Fatalf("expected no request at the upstream, got %d", n)
	}
}

// TestOnceRunsOnce: whatever the upstream does after it got a request that must
// not be repeated, no other gets it, and the answer promises nothing.
func TestOnceRunsOnce(t *testing.T) {
	t.Parallel()
	misdeeds := map[string]func(n int, req request, conn net.Conn) bool{
		"closes": func(int, request, net.Conn) bool { return false },
		"resets": func(_ int, _ request, conn net.Conn) bool { _ = conn.(*net.TCPConn).SetLinger(0); return false },
		"cuts": func(_ int, req request, conn net.Conn) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Signature: s\r\nContent-Length: 50\r\n\r\nabc", req.id())
			return false
		},
		"garbles": func(_ int, _ request, conn net.Conn) bool {
			_, _ = io.WriteString(conn, "nonsense\r\n\r\n")
			return false
		},
		"does not sign": func(_ int, req request, conn net.Conn) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nabc", req.id())
			return true
		},
		"503 without a word": func(_ int, req request, conn net.Conn) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Busy\r\nX-Id: %s\r\nContent-Length: 0\r\n\r\n", req.id())
			return true
		},
	}
	for name, misdeed := range misdeeds {
		a, b := newUpstream(t, "a", misdeed), newUpstream(t, "b", misdeed)
		r := newRig(t, a, b)
		head, _, err := ask(t, r, "/once/1", "")
		if n := len(a.got()) + len(b.got()); n != 1 {
			t.Errorf("%s: expected 1 run, got %d", name, n)
		}
		if name == "503 without a word" {
			continue // the upstream's own answer is passed on
		}
		if err != nil || head.Status != 502 || head.Has("X-Signature") {
			t.Errorf("%s: expected 502 without a signature, got %+v %v", name, head, err)
		}
	}
}

// TestNotRunGoesElsewhere: what an upstream did not run may run at another, and
// where nobody runs it the caller is told so.
func TestNotRunGoesElsewhere(t *testing.T) {
	t.Parallel()
	shed := func(_ int, req request, conn net.Conn) bool {
		return reply(conn, req.id(), "503 Busy", "X-Not-Run: 1\r\n", "")
	}
	moved := func(_ int, _ request, conn net.Conn) bool {
		_, err := io.WriteString(conn, "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	a, b := newUpstream(t, "a", shed), newUpstream(t, "b", moved)
	r := newRig(t, a, b, newUpstream(t, "c", ok))
	for range 4 {
		if head, _, err := ask(t, r, "/once/1", ""); err != nil || head.Status != 200 {
			t.Fatalf("expected the third upstream's answer, got %+v %v", head, err)
		}
	}
	only := newRig(t, newUpstream(t, "a", shed))
	head, _, err := ask(t, only, "/once/1", "")
	if err != nil || head.Status != 503 || !head.Has("Retry-After") || head.Has("X-Signature") || head.Has("X-Not-Run") {
		t.Fatalf("expected 503 of our own with a time to come back, got %+v %v", head, err)
	}
}

// TestForeignAnswers: an answer to another request never reaches the caller.
func TestForeignAnswers(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		reply(conn, "another", "200 OK", "", "not yours")
		return reply(conn, req.id(), "200 OK", "", "yours")
	})
	r := newRig(t, u)
	if head, body, err := ask(t, r, "/once/1", ""); err != nil || head.Status != 200 || body != "yours" {
		t.Fatalf("expected the own answer, got %+v %q %v", head, body, err)
	}
	extra := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		reply(conn, req.id(), "200 OK", "", "first")
		reply(conn, req.id(), "200 OK", "", "again")
		return true
	})
	r = newRig(t, extra)
	for range 5 {
		if head, body, err := ask(t, r, "/once/1", ""); err != nil || head.Status != 200 || body != "first" {
			t.Fatalf("expected the first answer only, got %+v %q %v", head, body, err)
		}
	}
}

func TestSafeGoesElsewhere(t *testing.T) {
	t.Parallel()
	bad := newUpstream(t, "a", func(int, request, net.Conn) bool { return false })
	r := newRig(t, bad, newUpstream(t, "b", ok))
	for range 6 {
		if head, body, err := ask(t, r, "/safe/1", ""); err != nil || head.Status != 200 || body != "fine" {
			t.Fatalf("expected an answer, got %+v %q %v", head, body, err)
		}
	}
}

func TestStreamIsPassedOnAndPaid(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		stream(conn, req.id(), 1, 5)
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	r := newRig(t, u)
	head, body, err := ask(t, r, "/stream/1", "")
	if err != nil || body != events(5) || head.Get("X-Signature") != "sig" {
		t.Fatalf("expected 5 events, got %q %v", body, err)
	}
	waitFor(t, "the reservation to be settled", func() bool { _, _, n := r.purse.state(); return n == 1 })
	if reserved, spent, _ := r.purse.state(); reserved != 0 || spent != 100+5*7 {
		t.Fatalf("expected 135 tokens spent and none reserved, got %d and %d", spent, reserved)
	}
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(3 * time.Second); !done(); {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestBrokenStreamLooksBroken: a stream that can't be gone on with never gets
// the end of a whole one.
func TestBrokenStreamLooksBroken(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "a", func(_ int, req request, conn net.Conn) bool { stream(conn, req.id(), 1, 3); return false })
	other := newUpstream(t, "b", ok)
	r := newRig(t, u)
	if _, body, err := ask(t, r, "/stream/1", ""); err == nil || body != events(3) {
		t.Fatalf("expected 3 events and a cut, got %q %v", body, err)
	}
	if len(other.got()) != 0 {
		t.Fatal("expected no second run")
	}
}

// TestStreamGoesOnElsewhere: no event is missing, twice, or split, wherever the
// first run broke off.
func TestStreamGoesOnElsewhere(t *testing.T) {
	t.Parallel()
	for _, tail := range []string{"", "id: 4\nda", "id: 4\ndata: e4\n"} {
		var first atomic.Bool
		answer := func(_ int, req request, conn net.Conn) bool {
			if first.CompareAndSwap(false, true) {
				stream(conn, req.id(), 1, 3)
				if tail != "" {
					_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(tail)))
				}
				return false
			}
			from := 1
			_, _ = fmt.Sscan(req.head.Get("X-Resume"), &from)
			stream(conn, req.id(), from, 8) // once more what the caller has
			_, err := io.WriteString(conn, kcrhttp.LastChunk)
			return err == nil
		}
		a, b := newUpstream(t, "a", answer), newUpstream(t, "b", answer)
		r := newRig(t, a, b)
		_, body, err := ask(t, r, "/resume/1", "")
		if err != nil || body != events(8) {
			t.Errorf("after %q: expected 8 events, got %q %v", tail, body, err)
		}
		if n := len(a.got()) + len(b.got()); n != 2 {
			t.Errorf("expected 2 runs, got %d", n)
		}
	}
}

// TestGapIsNoStream: a run that goes on too late leaves events out, so the
// stream is broken off.
func TestGapIsNoStream(t *testing.T) {
	t.Parallel()
	var first atomic.Bool
	answer := func(_ int, req request, conn net.Conn) bool {
		if first.CompareAndSwap(false, true) {
			stream(conn, req.id(), 1, 3)
			return false
		}
		stream(conn, req.id(), 6, 8)
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	}
	r := newRig(t, newUpstream(t, "a", answer), newUpstream(t, "b", answer))
	if _, body, err := ask(t, r, "/resume/1", ""); err == nil || body != events(3) {
		t.Fatalf("expected 3 events and a cut, got %q %v", body, err)
	}
}

// TestSilentEngineIsLeft: an engine that is gone without a word is left in time,
// one that only takes long is not.
func TestSilentEngineIsLeft(t *testing.T) {
	t.Parallel()
	var dead *upstream
	dead = newUpstream(t, "a", func(_ int, req request, conn net.Conn) bool {
		stream(conn, req.id(), 1, 3)
		_ = dead.listener.Close() // it takes no connection any more
		time.Sleep(2 * time.Second)
		return false
	})
	live := func(_ int, req request, conn net.Conn) bool {
		stream(conn, req.id(), 4, 8)
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	}
	far := newUpstream(t, "b", live)
	r := newRig(t)
	r.place(dead, far)
	_, body, err := ask(t, r, "/resume/1", "")
	if err != nil || body != events(8) {
		t.Fatalf("expected the stream to go on elsewhere, got %q %v", body, err)
	}
	slow := newUpstream(t, "a", func(_ int, req request, conn net.Conn) bool {
		stream(conn, req.id(), 1, 3)
		time.Sleep(300 * time.Millisecond) // longer than the pause, but it lives
		_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(event(4))))
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	r = newRig(t)
	r.place(slow, far)
	if _, body, err = ask(t, r, "/resume/1", ""); err != nil || !strings.HasPrefix(body, events(4)) {
		t.Fatalf("expected the slow engine's stream, got %q %v", body, err)
	}
}

// TestCallerLeaves: the upstream's connection ends soon after the caller's.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	ended := make(chan time.Time, 1)
	u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		if strings.HasPrefix(req.head.Target, "/stream/") {
			stream(conn, req.id(), 1, 1)
		}
		var one [1]byte
		_, _ = conn.Read(one[:])
		ended <- time.Now()
		return false
	})
	for _, path := range []string{"/stream/1", "/once/1", "/safe/1"} {
		r := newRig(t, u)
		conn := dial(t, r)
		_, out := text(path, "", "body")
		n := u.seen.Load()
		_, _ = io.WriteString(conn, out)
		waitFor(t, "the request at the upstream", func() bool { return u.seen.Load() > n })
		time.Sleep(20 * time.Millisecond)
		left := time.Now()
		_ = conn.Close()
		select {
		case at := <-ended:
			if d := at.Sub(left); d > 400*time.Millisecond {
				t.Errorf("%s: expected the upstream to be left at once, took %v", path, d)
			}
		case <-time.After(2 * time.Second):
			t.Errorf("%s: the upstream was not left", path)
		}
	}
}

// TestPipelined: a request that comes before the answer to the one before waits
// its turn.
func TestPipelined(t *testing.T) {
	t.Parallel()
	r := newRig(t, newUpstream(t, "u", ok))
	conn := dial(t, r)
	first, a := text("/once/1", "", "body")
	second, b := text("/once/2", "", "more")
	_, _ = io.WriteString(conn, a+b)
	br := bufio.NewReader(conn)
	for _, want := range []string{first, second} {
		if head, body, err := readAnswer(br); err != nil || head.Get("X-Id") != want || body != "fine" {
			t.Fatalf("expected the answer to %s, got %+v %q %v", want, head, body, err)
		}
	}
}

// TestDeadline: a request that nobody answers has its final answer in time.
func TestDeadline(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u", func(int, request, net.Conn) bool { time.Sleep(3 * time.Second); return false })
	r := newRig(t, u)
	start := time.Now()
	head, _, err := ask(t, r, "/once/1", "")
	if took := time.Since(start); err != nil || head.Status != 504 || took > 1900*time.Millisecond {
		t.Fatalf("expected 504 at the deadline of 1.5 s, got %+v %v after %v", head, err, took)
	}
}

// TestStopCutsNothing: a planned stop ends streams with their end.
func TestStopCutsNothing(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u", func(_ int, req request, conn net.Conn) bool {
		stream(conn, req.id(), 1, 2)
		time.Sleep(400 * time.Millisecond)
		_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(event(3))))
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	r := newRig(t, u)
	idle := dial(t, r)
	done := make(chan error, 1)
	go func() {
		_, body, err := ask(t, r, "/stream/1", "")
		if err == nil && body != events(3) {
			err = fmt.Errorf("got %q", body)
		}
		done <- err
	}()
	waitFor(t, "the request at the upstream", func() bool { return u.seen.Load() == 1 })
	r.gateway.Stop(t.Context(), 50*time.Millisecond)
	if err := <-done; err != nil {
		t.Fatalf("expected the whole stream, got %v", err)
	}
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Fatal("expected the idle connection to be closed")
	}
}

// TestErrorOfAnUpstreamIsPassedOn: where no other upstream serves a request, the
// error that one answered with is passed on, and not replaced.
func TestErrorOfAnUpstreamIsPassedOn(t *testing.T) {
	t.Parallel()
	sick := func(_ int, req request, conn net.Conn) bool { return reply(conn, req.id(), "500 Sick", "", "sick") }
	gone := newUpstream(t, "b", ok)
	_ = gone.listener.Close()
	for _, path := range []string{"/safe/1", "/resume/1"} {
		for _, ups := range [][]*upstream{{newUpstream(t, "a", sick)}, {newUpstream(t, "a", sick), gone}} {
			r := newRig(t, ups...)
			head, body, err := ask(t, r, path, "")
			if err != nil || head.Status != 500 || body != "sick" || head.Get("X-Signature") != "sig" {
				t.Errorf("%s: expected the upstream's error, got %+v %q %v", path, head, body, err)
			}
		}
	}
}

// TestStopTakesNoFurtherRequest: a connection whose answer began before the stop
// takes no request after it, which the end of the time would cut off.
func TestStopTakesNoFurtherRequest(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u", func(n int, req request, conn net.Conn) bool {
		if n > 1 {
			return ok(n, req, conn)
		}
		stream(conn, req.id(), 1, 2)
		time.Sleep(300 * time.Millisecond)
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	r := newRig(t, u)
	conn := dial(t, r)
	_, first := text("/stream/1", "", "body")
	_, second := text("/once/2", "", "body")
	_, _ = io.WriteString(conn, first+second)
	waitFor(t, "the request at the upstream", func() bool { return u.seen.Load() == 1 })
	go r.gateway.Stop(t.Context(), 0)
	br := bufio.NewReader(conn)
	if _, body, err := readAnswer(br); err != nil || body != events(2) {
		t.Fatalf("expected the whole stream, got %q %v", body, err)
	}
	if _, _, err := readAnswer(br); err == nil || u.seen.Load() != 1 {
		t.Fatalf("expected the second request not to be taken, got %v and %d requests", err, u.seen.Load())
	}
}

// TestStopTakesWhatEndsInTime: while a long answer holds a stop up, requests are
// served that are sure to end before it, and others are told to come back.
func TestStopTakesWhatEndsInTime(t *testing.T) {
	t.Parallel()
	u := newUpstream(t, "u", func(n int, req request, conn net.Conn) bool {
		if n > 1 {
			return ok(n, req, conn)
		}
		stream(conn, req.id(), 1, 2)
		time.Sleep(500 * time.Millisecond)
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	r := newRig(t, u)
	done := make(chan string, 1)
	go func() { _, body, _ := ask(t, r, "/stream/1", ""); done <- body }()
	waitFor(t, "the request at the upstream", func() bool { return u.seen.Load() == 1 })
	ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
	defer cancel()
	go r.gateway.Stop(ctx, 0)
	time.Sleep(100 * time.Millisecond)
	short := func(deadline string) (*kcrhttp.Head, error) {
		conn := dial(t, r)
		_, out := text("/once/1", "", "body")
		_, _ = io.WriteString(conn, strings.Replace(out, "X-Deadline: 1500", "X-Deadline: "+deadline, 1))
		head, _, err := readAnswer(bufio.NewReader(conn))
		return head, err
	}
	if head, err := short("300"); err != nil || head.Status != 200 || head.KeepAlive() {
		t.Errorf("a short request: expected it to be served, and the connection to end, got %+v %v", head, err)
	}
	if head, err := short("1500"); err != nil || head.Status != 503 || !head.Has("Retry-After") {
		t.Errorf("a long request: expected 503 with a time to come back, got %+v %v", head, err)
	}
	if body := <-done; body != events(2) {
		t.Errorf("expected the whole stream, got %q", body)
	}
}

// TestDeadEngineOfAStreamThatStays: a stream that must not go on elsewhere is given
// up before its caller gives up, if its engine takes no connection any more.
func TestDeadEngineOfAStreamThatStays(t *testing.T) {
	t.Parallel()
	for _, from := range []int{0, 2} {
		var dead *upstream
		dead = newUpstream(t, "a", func(_ int, req request, conn net.Conn) bool {
			if from > 0 {
				stream(conn, req.id(), 1, from)
			}
			_ = dead.listener.Close()
			time.Sleep(2 * time.Second)
			return false
		})
		r := newRig(t, dead)
		start := time.Now()
		head, body, err := ask(t, r, "/stream/1", "")
		if took := time.Since(start); took > patience {
			t.Errorf("after %d events: expected an end before %v, took %v", from, patience, took)
		}
		switch {
		case from == 0 && (err != nil || head.Status != 502):
			t.Errorf("without an event: expected 502, got %+v %v", head, err)
		case from > 0 && err == nil:
			t.Errorf("after %d events: expected a stream that looks broken, got %q", from, body)
		}
	}
	slow := newUpstream(t, "a", func(_ int, req request, conn net.Conn) bool {
		stream(conn, req.id(), 1, 2)
		time.Sleep(patience + 200*time.Millisecond) // but it lives
		_, _ = conn.Write(kcrhttp.AppendChunk(nil, []byte(event(3))))
		_, err := io.WriteString(conn, kcrhttp.LastChunk)
		return err == nil
	})
	r := newRig(t, slow)
	if _, body, err := ask(t, r, "/stream/1", ""); err != nil || body != events(3) {
		t.Errorf("expected the slow engine's stream, got %q %v", body, err)
	}
}
