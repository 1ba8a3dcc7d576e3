package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// This file writes record.txt: a line for each thing that was sent, answered, run or done.

type recorder struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{start: time.Now(), file: f}, nil
}

// since returns the seconds since the start.
func (r *recorder) since() float64 { return time.Since(r.start).Seconds() }

func (r *recorder) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", r.since(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf("%8.3f  %s\n", r.since(), fmt.Sprintf(format, args...))
}
