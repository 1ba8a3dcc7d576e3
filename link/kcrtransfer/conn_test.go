package kcrtransfer_test

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"kingcuprun.example/link/kcrtransfer"
)

const (
	firstBytes = 200 * time.Millisecond // deadline of the tests
	maxMessage = 1 << 20
	chunk      = 16 << 10
)

// TestReadDeadline checks which transfers are given up, and when.
func TestReadDeadline(t *testing.T) {
	t.Parallel()
	forever := 1 << 30
	for _, c := range []struct {
		name   string
		delay  time.Duration // until the first chunk
		size   int           // of a chunk
		pause  time.Duration // between chunks
		chunks int
		done   bool          // the whole message arrives
		most   time.Duration // until it is given up
	}{
		{"slow but steady", 0, chunk, 100 * time.Millisecond, 10, true, 0},
		{"no answer", time.Second, chunk, 0, 1, false, firstBytes},
		{"begins late", 150 * time.Millisecond, chunk, 100 * time.Millisecond, 5, true, 0},
		{"falls silent", 0, chunk, time.Hour, 2, false, kcrtransfer.MaxPause},
		{"falls silent after much", 0, 512 << 10, time.Hour, 2, false, kcrtransfer.MaxPause},
		{"a few bytes now and then", 0, 10, 50 * time.Millisecond, forever, false, kcrtransfer.MaxPause},
		{"no end", 0, chunk, 0, forever, false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			near, far := connect(t)
			go func() {
				time.Sleep(c.delay)
				for range c.chunks {
					if _, err := far.Write(make([]byte, c.size)); err != nil {
						return
					}
					time.Sleep(c.pause)
				}
				_ = far.Close()
			}()
			conn, began := kcrtransfer.New(near, maxMessage), time.Now()
			if err := conn.SetReadDeadline(began.Add(firstBytes)); err != nil {
				t.Fatal(err)
			}
			_, err := io.Copy(io.Discard, conn)
			took := time.Since(began)
			if done := err == nil; done != c.done || !done && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("expected done %v, got %v after %v", c.done, err, took)
			}
			const margin = 400 * time.Millisecond
			if !c.done && took > c.most+margin {
				t.Errorf("expected it to be given up after %v, got %v", c.most, took)
			}
		})
	}
}

// connect returns the two ends of a connection.
func connect(t *testing.T) (near, far net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	if near, err = net.Dial("tcp", listener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	if far, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}
