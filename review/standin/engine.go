package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// This file is a stand-in of the engines. They are sound: each checks Expect-Instance, runs a
// request once, ends it when the connection closes, and answers whole. An engine writes its
// entry to the store once in a heartbeat.

const (
	heartbeat      = 1200 * time.Millisecond
	stride         = 7                     // tokens in an event
	firstEventTime = 25 * time.Millisecond // from the request to the first event
	eventTime      = 20 * time.Millisecond // between two events
	plainTime      = 15 * time.Millisecond // of a request of a plain service
	kvCapacity     = 667670
)

type engine struct {
	id, service, zone, addr string
	born                    int64
	store                   *store
	rec                     *recorder

	mu       sync.Mutex
	sequence int64
	runs     map[string]int // runs by Attempt-Id
}

// startEngine serves an engine and writes its entries.
func startEngine(st *store, rec *recorder, id, service, zone, addr string) (*engine, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, addr: addr, born: time.Now().UnixMilli(), store: st, rec: rec, runs: map[string]int{}}
	server := &http.Server{Handler: http.HandlerFunc(e.handle), IdleTimeout: 30 * time.Second}
	go func() { _ = server.Serve(listener) }()
	e.writeEntry()
	go func() {
		for range time.Tick(heartbeat) {
			e.writeEntry()
		}
	}()
	return e, nil
}

func (e *engine) writeEntry() {
	e.mu.Lock()
	e.sequence++
	sequence := e.sequence
	e.mu.Unlock()
	entry, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.addr, "zone": e.zone, "version": "v1", "slots": 48, "state": "ready",
		"coldRemainingMs": 0, "sequence": sequence, "born": e.born,
	})
	e.store.put("keyed.servers", e.id, entry)
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Instance-Id", e.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	switch expected := r.Header.Get("Expect-Instance"); {
	case expected != "" && expected != e.id:
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(421)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	e.rec.line("run      %s at %s (tenant %s)", id, e.id, r.Header.Get("Tenant"))
	w.Header().Set("Server-Signature", "s."+e.id+"."+id)
	if !strings.Contains(r.URL.Path, "/stream/") {
		time.Sleep(plainTime)
		fmt.Fprintf(w, "answer to %s", id)
		return
	}
	e.stream(w, r, id)
}

// stream sends the events of a generation.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	_, output, _ := strings.Cut(r.Header.Get("Token-Usage"), ",")
	tokens, _ := strconv.Atoi(output)
	first, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", "1")
	pause := firstEventTime
	for i := first + 1; i <= (tokens+stride-1)/stride; i++ {
		select {
		case <-r.Context().Done():
			e.rec.line("run ends %s at %s: its connection closed", id, e.id)
			return
		case <-time.After(pause):
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i)
		w.(http.Flusher).Flush()
		pause = eventTime
	}
}
