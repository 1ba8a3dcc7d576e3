package kcrrig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"kingcuprun.example/bench/kcrcaller"
	"kingcuprun.example/link/kcrhttp"
)

// This file tests that upstreams which send bytes without end don't fill the memory of the
// processes that read them.

const (
	// endlessSize is how much an upstream sends at most before it closes the connection, in bytes.
	endlessSize = 24 << 20
	// endlessCallers is how many endless answers there are at once, of those in small parts fewer.
	endlessCallers   = 12
	smallPartCallers = 4
	// maxNodeMemory is the memory that a node may take, in bytes. A router and a sidecar run in one
	// process here.
	maxNodeMemory = 256 << 20
	maxMemory     = 2 * maxNodeMemory
)

// endlessAnswer is a start and a text that comes again and again.
type endlessAnswer struct {
	name, start, text string
	callers           int
}

// sendEndless writes an endless answer.
func sendEndless(conn net.Conn, a endlessAnswer) {
	part := strings.Repeat(a.text, 1+(64<<10)/len(a.text))
	_, err := io.WriteString(conn, a.start)
	for sent := 0; err == nil && sent < endlessSize; sent += len(part) {
		_, err = io.WriteString(conn, part)
	}
}

// TestEndlessAnswersFillNoMemory guards against a process that keeps what a faulty upstream sends
// without end, and against callers that get it as a whole answer.
func TestEndlessAnswersFillNoMemory(t *testing.T) {
	// Not parallel: it measures the memory of the process.
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
	kinds := []endlessAnswer{
		{"no answer", "", "garbage", endlessCallers},
		{"field", "HTTP/1.1 200 OK\r\nX-Long: ", "a", endlessCallers},
		{"fields", "HTTP/1.1 200 OK\r\n", "X-More: a\r\n", endlessCallers},
		{"informational answers", "", "HTTP/1.1 100 Continue\r\n\r\n", endlessCallers},
		{"body until close", head + "\r\n", "abcde", endlessCallers},
		{"huge length", head + "Content-Length: 100000000000000\r\n\r\n", "abcde", endlessCallers},
		{"small chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", smallPartCallers},
		{"chunk extension", head + "Transfer-Encoding: chunked\r\n\r\n5;", "x", smallPartCallers},
		{"trailers", head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: a\r\n", endlessCallers},
		{"comments", head + "\r\n", ":\n\n", endlessCallers},
	}
	for _, req := range requests() {
		var current atomic.Pointer[endlessAnswer]
		r := troubledRig(t, req.body, func(conn net.Conn, r *bufio.Reader, head *kcrhttp.Head, _ string) {
			readBody(r, head)
			sendEndless(conn, *current.Load())
		})
		for _, kind := range kinds {
			current.Store(&kind)
			var served atomic.Int64
			highest := peakMemory(func() {
				var callers conc.WaitGroup
				for i := range kind.callers {
					callers.Go(func() {
						a := req.send(kcrcaller.New(APIKey), r.Settings.Routers[0].Listen, fmt.Sprint(kind.name, i))
						if a.Complete(req.name == "stream") {
							served.Add(1)
						}
					})
				}
				callers.Wait()
			})
			if highest > maxMemory {
				t.Errorf("%s, %s: expected at most %d MB, got %d", req.name, kind.name, maxMemory>>20, highest>>20)
			}
			if n := served.Load(); n > 0 {
				t.Errorf("%s, %s: expected no whole answer, got %d", req.name, kind.name, n)
			}
			t.Logf("%s, %s: %d MB", req.name, kind.name, highest>>20)
		}
	}
}

// peakMemory returns the most heap in use while work runs, in bytes.
func peakMemory(work func()) (highest uint64) {
	runtime.GC()
	done := make(chan struct{})
	go func() { work(); close(done) }()
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		highest = max(highest, stats.HeapInuse)
		select {
		case <-done:
			return highest
		case <-time.After(20 * time.Millisecond):
		}
	}
}
