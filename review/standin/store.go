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

// This file is a stand-in of the platform's metadata store, in the form of a log, as
// PROTOCOL.md describes it. Records expire after the store's keep time; the newest record of
// each key of a keyed topic stays. Appends are acknowledged after they took effect.

type storedRecord struct {
	data []byte
	at   time.Time
}

type keyedValue struct {
	value  []byte
	offset int64
}

type topic struct {
	writing chan struct{} // holds a value while an append is in progress
	first   int64         // offset of the first record in records
	records []storedRecord
	newest  map[string]keyedValue
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

type store struct {
	addr string
	keep time.Duration

	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{} // closed and replaced at each append
	slow     int           // its answers take that many times as long
}

// Usual times of the store.
const (
	appendTime = 3 * time.Millisecond // one append to a partition; one at a time
	answerTime = 1 * time.Millisecond // in addition, an answer
)

// setSlow makes the store's answers take x times as long.
func (s *store) setSlow(x int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = x
}

// usual returns a usual time, times the factor in force.
func (s *store) usual(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return d * time.Duration(max(1, s.slow))
}

// startStore serves a store on an address. Records expire after keep.
func startStore(addr string, keep time.Duration) (*store, error) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &store{addr: addr, keep: keep, topics: map[string]*topic{}, appended: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /kingcuprun/log-append", s.handleAppend)
	mux.HandleFunc("GET /kingcuprun/log-read", s.handleRead)
	mux.HandleFunc("GET /kingcuprun/log-newest", s.handleNewest)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// age makes all records older.
func (s *store) age(by time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		for i := range t.records {
			t.records[i].at = t.records[i].at.Add(-by)
		}
	}
}

// topic returns a topic, from which the expired records are removed. The caller holds mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyedValue{}, writing: make(chan struct{}, 1)}
		s.topics[name] = t
	}
	expired := 0
	for expired < len(t.records) && time.Since(t.records[expired].at) > s.keep {
		expired++
	}
	t.records, t.first = t.records[expired:], t.first+int64(expired)
	return t
}

// append adds records to a topic.
func (s *store) append(name string, records [][]byte) (offset, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset = t.end()
	for _, r := range records {
		if strings.HasPrefix(name, "keyed.") && len(r) > 0 && len(r) >= 1+int(r[0]) {
			key, value := string(r[1:1+int(r[0])]), r[1+int(r[0]):]
			if t.newest[key] = (keyedValue{value, t.end()}); len(value) == 0 {
				delete(t.newest, key)
			}
		}
		t.records = append(t.records, storedRecord{r, time.Now()})
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset, t.end()
}

// put writes a key of a keyed topic, as the operator and engines do. An empty value drops it.
func (s *store) put(name, key string, value []byte) {
	s.append(name, [][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

func respondJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// maxAppendWait is how long an append may wait for its turn.
const maxAppendWait = 2 * time.Second

func (s *store) handleAppend(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var records [][]byte
	for len(data) >= 4 {
		size := int(binary.BigEndian.Uint32(data))
		if size > len(data)-4 {
			break
		}
		records = append(records, slices.Clone(data[4:4+size]))
		data = data[4+size:]
	}
	if len(data) > 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	name := r.URL.Query().Get("topic")
	s.mu.Lock()
	writing := s.topic(name).writing
	s.mu.Unlock()
	select {
	case writing <- struct{}{}:
	case <-time.After(maxAppendWait):
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.usual(appendTime))
	if r.Context().Err() != nil { // its caller is gone: executed later, if at all
		<-writing
		if late := setting("LATE", 0); late > 0 {
			time.AfterFunc(inSeconds(late), func() { s.append(name, records) })
		}
		return
	}
	offset, end := s.append(name, records)
	<-writing
	time.Sleep(s.usual(answerTime))
	respondJSON(w, http.StatusOK, map[string]int64{"offset": offset, "end": end})
}

// maxReadBytes bounds the records in one response.
const maxReadBytes = 1 << 20

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.usual(appendTime + answerTime))
	name := r.URL.Query().Get("topic")
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	waitMs, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	deadline := time.NewTimer(time.Duration(waitMs) * time.Millisecond)
	defer deadline.Stop()
	for over := waitMs == 0; ; {
		s.mu.Lock()
		t, appended := s.topic(name), s.appended
		first, end := t.first, t.end()
		if from < first {
			s.mu.Unlock()
			respondJSON(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if from < end || over {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, uint64(first))
			for i := max(0, min(from, end)-first); i < int64(len(t.records)) && len(body) < maxReadBytes; i++ {
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
		case <-deadline.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.usual(appendTime + answerTime))
	type entry struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	entries, end := []entry{}, t.end()
	for key, v := range t.newest {
		entries = append(entries, entry{key, base64.StdEncoding.EncodeToString(v.value), v.offset})
	}
	s.mu.Unlock()
	slices.SortFunc(entries, func(a, b entry) int { return strings.Compare(a.Key, b.Key) })
	after := r.URL.Query().Get("after")
	size, page := 0, []entry{}
	hasMore := false
	for _, e := range entries {
		if e.Key <= after {
			continue
		}
		if len(page) == 500 || size > 1<<20 {
			hasMore = true
			break
		}
		size += len(e.Value)
		page = append(page, e)
	}
	respondJSON(w, http.StatusOK, map[string]any{"entries": page, "hasMore": hasMore, "end": end})
}
