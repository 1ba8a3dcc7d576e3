package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This case: clients send bodies as long as the configuration allows, over links of a usual
// speed. The platform kills a process that exceeds its memory, and starts it again. The check is
// the fault of processes that end by themselves.

// Sizes and times of the case.
const (
	routerMemoryMB  = 134       // of an edge machine of welkomkring-nl
	clientsOfRouter = 29        // the site has 29 to 38 in each zone, with one edge machine
	longBody        = 4_194_304 // bytes: maxBodyBytes of the configuration
	usualBody       = 72_000    // bytes: the longest of the site's kinds of request
	uploadBytesPerS = 1_500_000 // of a client: 12 Mbit/s
	uploadS         = 50
	memoryPoll      = 5 * time.Millisecond
	restartDelay    = 500 * time.Millisecond
	maxEnds         = 3 // from which on a machine counts
)

// guard is the platform's limit of the memory of a process.
type guard struct {
	machine *machine
	rec     *recorder
	peak    float64 // MB, the highest that was seen
	ends    int     // times that the process was killed for its memory
}

// privateMB returns the private memory of a process in MB.
func privateMB(pid int) float64 {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range bytes.Lines(data) {
		if value, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(string(value))[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// watch kills the process when it exceeds its memory, and starts it again, until ctx ends.
func (g *guard) watch(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(memoryPoll)
		used := privateMB(g.machine.proc.Process.Pid)
		g.peak = max(g.peak, used)
		if used <= routerMemoryMB {
			continue
		}
		g.ends++
		g.rec.say("%s uses %.0f MB of %d: the platform kills it", g.machine.name, used, routerMemoryMB)
		g.machine.signal(syscall.SIGKILL)
		g.machine.wait()
		time.Sleep(restartDelay)
		if err := g.machine.start(); err != nil {
			g.rec.say("%s is not started: %v", g.machine.name, err)
			return
		}
	}
}

func playUpload(sc *scene) (broken bool, err error) {
	s, err := newSystem(sc.root, sc.dir, sc.rec, plan{routers: 2, sides: 3, plain: 1, keep: 300 * time.Second, memoryMB: routerMemoryMB})
	if err != nil {
		return false, err
	}
	sc.system = s
	t := newTenant(1, 1_000_000_000)
	s.putConfig(7, t)
	if err := s.startAll(); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var watching, sending sync.WaitGroup
	c := &clients{system: s}
	length := usualBody
	if sc.trouble {
		length = longBody
	}
	var guards []*guard
	for _, m := range s.routers {
		g := &guard{machine: m, rec: sc.rec}
		guards = append(guards, g)
		watching.Go(func() { g.watch(ctx) })
		for range clientsOfRouter {
			sending.Go(func() { c.uploadUntil(ctx, m, t, length) })
		}
	}
	time.Sleep(uploadS * time.Second)
	cancel()
	sending.Wait()
	watching.Wait()
	counted := 0
	for _, g := range guards {
		sc.rec.say("%s: at most %.0f MB of %d, killed %d times", g.machine.name, g.peak, routerMemoryMB, g.ends)
		if g.ends >= maxEnds {
			counted++
		}
	}
	sent, served := c.share("", 0, sc.rec.since())
	sc.rec.say("%d of %d requests served", served, sent)
	return counted >= 2, nil
}

// uploadUntil sends generations with long bodies, one after the other, until ctx ends.
func (c *clients) uploadUntil(ctx context.Context, m *machine, t tenant, length int) {
	for ctx.Err() == nil {
		id := fmt.Sprintf("b%015x", c.lastID.Add(1))
		r := result{id: id, kind: "stream", tenant: t.name, sentAt: c.system.rec.since()}
		c.system.rec.line("send     %s with %d bytes to %s", id, length, m.name)
		r.served, r.reason = upload(m, t, id, length)
		c.system.rec.line("answered %s by %s: served=%v %s", id, m.name, r.served, r.reason)
		c.mu.Lock()
		c.results = append(c.results, r)
		c.mu.Unlock()
		if !r.served {
			time.Sleep(300 * time.Millisecond)
		}
	}
}

// upload sends one generation with a long body.
func upload(m *machine, t tenant, id string, length int) (served bool, reason string) {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", m.ip, frontendPort), time.Second)
	if err != nil {
		return false, err.Error()
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(12 * time.Second))
	fmt.Fprintf(conn, "POST /stream/%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 10000\r\nKey: %s\r\nModel: m\r\nToken-Usage: 1460,%d\r\nPrefix-Hash: 5c1e07a2:800,%s:660\r\nContent-Length: %d\r\nConnection: close\r\n\r\n",
		id, host, id, t.key, outputTokens, id[1:], length)
	chunk := bytes.Repeat([]byte("x"), 32<<10)
	start := time.Now()
	for sent := 0; sent < length; {
		n, err := conn.Write(chunk[:min(len(chunk), length-sent)])
		if err != nil {
			return false, err.Error()
		}
		sent += n
		time.Sleep(time.Until(start.Add(inSeconds(float64(sent) / uploadBytesPerS))))
	}
	answer, err := io.ReadAll(bufio.NewReader(conn))
	head, _, _ := strings.Cut(string(answer), "\r\n")
	served = err == nil && head == "HTTP/1.1 200 OK" && strings.HasSuffix(string(answer), "0\r\n\r\n")
	if err != nil {
		head = err.Error()
	}
	return served, head
}
