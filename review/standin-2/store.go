package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// This file defines the stand-in of the platform's metadata store: the log calls of
// PROTOCOL.md that the programs use, with one partition for each topic. Invariants: an append
// adds all of its records or none; the newest record of each key of a keyed topic is kept; other
// records expire after the retention time.

// storeRecord is a record of a topic.
type storeRecord struct {
	data []byte
	at   time.Time
}

// storeTopic is partition 0 of a topic.
type storeTopic struct {
	first   int64 // offset of records[0]
	records []storeRecord
	newest  map[string]storeEntry // by key
}

// storeEntry is the newest record of a key.
type storeEntry struct {
	value  []byte
	offset int64
}

// store is a running stand-in of the store. It is safe for concurrent use.
type store struct {
	addr      string
	retention time.Duration
	answer    time.Duration // time that each call takes

	mu       sync.Mutex
	topics   map[string]*storeTopic
	appended chan struct{} // closed and replaced at each append
}

// newStore starts a store on a free loopback port.
func newStore(retention time.Duration) (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{addr: listener.Addr().String(), retention: retention, answer: 3 * time.Millisecond, topics: map[string]*storeTopic{}, appended: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kingcuprun/log-append", s.handleAppend)
	mux.HandleFunc("GET /kingcuprun/log-read", s.handleRead)
	mux.HandleFunc("GET /kingcuprun/log-newest", s.handleNewest)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(s.answer)
		mux.ServeHTTP(w, r)
	})}
	go func() { _ = server.Serve(listener) }()
	return s, nil
}

// topic returns a topic and creates it if needed. The caller holds the lock.
func (s *store) topic(name string) *storeTopic {
	t := s.topics[name]
	if t == nil {
		t = &storeTopic{newest: map[string]storeEntry{}}
		s.topics[name] = t
	}
	return t
}

// expire removes the records beyond the retention time. The caller holds the lock.
func (s *store) expire(t *storeTopic) {
	for len(t.records) > 0 && time.Since(t.records[0].at) > s.retention {
		t.records = t.records[1:]
		t.first++
	}
}

// end returns the offset of the next record.
func (t *storeTopic) end() int64 { return t.first + int64(len(t.records)) }

// splitKey decodes a record of a keyed topic.
func splitKey(data []byte) (key string, value []byte, ok bool) {
	if len(data) == 0 || len(data) < 1+int(data[0]) {
		return "", nil, false
	}
	return string(data[1 : 1+data[0]]), data[1+data[0]:], true
}

// add appends records and returns the offset of the first. The caller holds the lock.
func (s *store) add(name string, records [][]byte) (offset int64) {
	t := s.topic(name)
	s.expire(t)
	offset = t.end()
	for _, data := range records {
		if key, value, ok := splitKey(data); ok && strings.HasPrefix(name, "keyed.") {
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = storeEntry{value, t.end()}
			}
		}
		t.records = append(t.records, storeRecord{data, time.Now()})
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// put writes a record of a keyed topic, as the operator and the engines do; without a value it
// drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.add(topic, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// putJSON is put for a value that is encoded as JSON.
func (s *store) putJSON(topic, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.put(topic, key, data)
}

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for rest := body; len(rest) > 0; {
		if len(rest) < 4 || len(rest) < 4+int(binary.BigEndian.Uint32(rest)) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		size := int(binary.BigEndian.Uint32(rest))
		records = append(records, rest[4:4+size])
		rest = rest[4+size:]
	}
	s.mu.Lock()
	offset := s.add(r.URL.Query().Get("topic"), records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]int64{"offset": offset, "end": offset + int64(len(records))})
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	maxKB, _ := strconv.Atoi(query.Get("maxSize"))
	wait, _ := strconv.Atoi(query.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for waited := wait == 0; ; {
		s.mu.Lock()
		t, appended := s.topics[query.Get("topic")], s.appended
		if t == nil {
			s.mu.Unlock()
			writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such topic"})
			return
		}
		s.expire(t)
		if from < t.first {
			first := t.first
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if from < t.end() || waited {
			body := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
			body = binary.BigEndian.AppendUint64(body, uint64(t.first))
			for i := from - t.first; i >= 0 && i < int64(len(t.records)) && len(body) < maxKB<<10; i++ {
				body = binary.BigEndian.AppendUint32(body, uint32(len(t.records[i].data)))
				body = append(body, t.records[i].data...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-appended:
		case <-timer.C:
			waited = true
		case <-r.Context().Done():
			return
		}
	}
}

// pageEntries is the most entries in a page of newest records.
const pageEntries = 500

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	type entry struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	query := r.URL.Query()
	s.mu.Lock()
	t := s.topics[query.Get("topic")]
	if t == nil {
		s.mu.Unlock()
		writeJSON(w, http.StatusNotFound, map[string]string{"error": "no such topic"})
		return
	}
	page := struct {
		Entries []entry `json:"entries"`
		HasMore bool    `json:"hasMore"`
		End     int64   `json:"end"`
	}{Entries: []entry{}, End: t.end()}
	keys := make([]string, 0, len(t.newest))
	for key := range t.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	for i, key := range keys {
		if i == pageEntries {
			page.HasMore = true
			break
		}
		e := t.newest[key]
		page.Entries = append(page.Entries, entry{key, base64.StdEncoding.EncodeToString(e.value), e.offset})
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, page)
}

// writeJSON writes a response with a JSON body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
