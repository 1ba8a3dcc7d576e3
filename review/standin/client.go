package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// This file is a stand-in of the operator and of the clients.

// host is the host of all routes.
const host = "rota.example"

// tenant is a tenant of the configuration.
type tenant struct {
	name, key string
	prepaid   int64
}

// newTenant returns the tenant with a number.
func newTenant(number int, prepaid int64) tenant {
	return tenant{name: fmt.Sprintf("tenant%d", number), key: fmt.Sprintf("n2ctnfzs989anu6wsjn%d", number), prepaid: prepaid}
}

// putConfig writes a configuration as the operator does.
func (s *system) putConfig(version int, tenants ...tenant) {
	route := func(name, prefix, kind, service string, target, timeout, attempts int, resumable bool) map[string]any {
		r := map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "kind": kind, "service": service, "timeoutMs": timeout, "targetLatencyMs": target,
			"priority": 1, "maxAttempts": attempts, "anonymous": false, "resumable": resumable,
		}
		if kind == "streaming" {
			r["gapTargetMs"], r["sessionAffinity"] = 400, true
		}
		return r
	}
	listed := []any{}
	for _, t := range tenants {
		listed = append(listed, map[string]any{"name": t.name, "apiKeys": []string{t.key}, "priority": 1, "prepaid": t.prepaid})
	}
	config, _ := json.Marshal(map[string]any{
		"version": version,
		"routeTable": []any{
			route("draft", "/stream/", "streaming", "llm", 600, 10000, 2, true),
			route("swap", "/swap/", "non_idempotent", "app", 300, 3000, 1, false),
			route("look", "/look/", "idempotent", "app", 300, 3000, 2, false),
		},
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConnections": 290, "engine": map[string]any{"slots": 48, "kvCapacity": kvCapacity, "stride": stride}},
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 96},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": listed,
	})
	s.store.put("keyed.op", "config", config)
	s.rec.line("operator: configuration %d is acknowledged", version)
}

// result is how a request ended.
type result struct {
	id     string
	kind   string
	tenant string
	tokens int64 // that it may use
	sentAt float64
	status int  // 0 if no answer came
	served bool // a success with the engine's signature and its whole body
	reason string
}

// clients sends requests and keeps their results.
type clients struct {
	system *system
	lastID atomic.Int64

	mu      sync.Mutex
	results []result
}

// outputTokens is the output that each generation asks for and gets: three events.
const outputTokens = 3 * stride

// send sends one request of a tenant to a router and records its result. A generation has a
// prompt of promptTokens. onFirst, if there is one, is called with the first byte of an answer.
func (c *clients) send(m *machine, t tenant, kind string, promptTokens int, onFirst func()) result {
	id := fmt.Sprintf("a%015x", c.lastID.Add(1))
	method, path, body, deadline := http.MethodPost, "/"+kind+"/"+id, []byte(strings.Repeat("x", 600)), 10000
	if kind == "look" {
		method, body = http.MethodGet, nil
	}
	if kind != "stream" {
		deadline = 3000
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(deadline)*time.Millisecond+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", m.ip, frontendPort, path), bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Host = host
	req.Header["Attempt-Id"] = []string{id}
	req.Header["Deadline-Ms"] = []string{fmt.Sprint(deadline)}
	req.Header["Key"] = []string{t.key}
	if kind == "stream" {
		req.Header["Model"] = []string{"m"}
		req.Header["Token-Usage"] = []string{fmt.Sprintf("%d,%d", promptTokens, outputTokens)}
		req.Header["Prefix-Hash"] = []string{fmt.Sprintf("5c1e07a2:%d,%s:%d", promptTokens/2, id[1:], promptTokens-promptTokens/2)}
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	r := result{id: id, kind: kind, tenant: t.name, sentAt: c.system.rec.since()}
	if kind == "stream" {
		r.tokens = int64(promptTokens + outputTokens)
	}
	c.system.rec.line("send     %s %s of %s to %s, %d tokens", id, kind, t.name, m.name, r.tokens)
	response, err := (&http.Client{Transport: transport}).Do(req)
	if err != nil {
		r.reason = err.Error()
	} else {
		body := bufio.NewReader(response.Body)
		if _, err := body.Peek(1); err == nil && onFirst != nil && response.StatusCode == http.StatusOK {
			onFirst()
		}
		answer, err := io.ReadAll(body)
		_ = response.Body.Close()
		r.status = response.StatusCode
		whole := err == nil && strings.Contains(string(answer), id) && (kind != "stream" || strings.Count(string(answer), "\n\n") == 3)
		r.served = r.status == http.StatusOK && whole && response.Header.Get("Server-Signature") != ""
		if !r.served {
			r.reason = strings.TrimSpace(string(answer))
		}
	}
	c.system.rec.line("answered %s %s by %s: %d served=%v %s", id, kind, m.name, r.status, r.served, r.reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = append(c.results, r)
	return r
}

// run sends requests of a kind at a rate to the routers in turn until ctx ends.
func (c *clients) run(ctx context.Context, wg *sync.WaitGroup, t tenant, kind string, perSecond float64, promptTokens int) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			wg.Go(func() { c.send(c.system.routers[i%len(c.system.routers)], t, kind, promptTokens, nil) })
		}
	}
}

// share returns how many requests were sent between two times, and how many of them were served.
func (c *clients) share(kind string, from, to float64) (sent, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if r.sentAt < from || r.sentAt >= to || kind != "" && r.kind != kind {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return sent, served
}

// used returns how many tokens the served generations of a tenant have used.
func (c *clients) used(t tenant) (tokens int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range c.results {
		if r.tenant == t.name && r.served {
			tokens += r.tokens
		}
	}
	return tokens
}
