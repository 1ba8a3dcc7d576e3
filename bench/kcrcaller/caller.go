// Package kcrcaller is a minimal client of the routers for tests and measurements.
// It sends each request once and returns exactly what came back.
package kcrcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Answer is the response to one request. Err is set if the connection failed, also
// in the middle of the body; Body then holds what arrived.
type Answer struct {
	Status          int
	Body            []byte
	Code            string // code of an error response
	Outcome         string // outcome in an error response: "not_run" or "unknown"
	RequestID       string
	TimeToFirstByte time.Duration
	Duration        time.Duration
	Err             error
}

// Complete reports whether the answer is a success and has arrived in full. A stream
// has arrived in full if it ends with the event [DONE].
func (a Answer) Complete(stream bool) bool {
	if a.Err != nil || a.Status != http.StatusOK || a.Code != "" {
		return false
	}
	return !stream || bytes.HasSuffix(bytes.TrimSpace(a.Body), []byte("data: [DONE]"))
}

// Text returns the generated text of a chat answer, as far as it arrived.
func (a Answer) Text(stream bool) string {
	type message struct {
		Content string `json:"content"`
	}
	type chunk struct {
		Choices []struct {
			Message message `json:"message"`
			Delta   message `json:"delta"`
		} `json:"choices"`
	}
	lines := []string{string(a.Body)}
	if stream {
		lines = strings.Split(string(a.Body), "\n")
	}
	var text strings.Builder
	for _, line := range lines {
		var c chunk
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &c) != nil {
			continue
		}
		for _, ch := range c.Choices {
			text.WriteString(ch.Message.Content + ch.Delta.Content)
		}
	}
	return text.String()
}

// Caller sends requests with one API key.
type Caller struct {
	APIKey string
	client *http.Client
}

// New returns a caller with an API key.
func New(apiKey string) *Caller {
	return &Caller{APIKey: apiKey, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
}

// ChatBody returns the body of a chat request.
func ChatBody(model, content string, stream bool) []byte {
	body, err := json.Marshal(map[string]any{
		"model": model, "stream": stream, "messages": []map[string]string{{"role": "user", "content": content}},
	})
	if err != nil {
		panic(err)
	}
	return body
}

// Do sends one request to the router at addr. An empty key sends no idempotency key.
// GetBody is nil, so that the transport doesn't repeat a request with a body.
func (c *Caller) Do(ctx context.Context, method, addr, path, key string, body []byte) (a Answer) {
	start := time.Now()
	defer func() { a.Duration = time.Since(start) }()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.APIKey)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	req.GetBody = nil
	resp, err := c.client.Do(req)
	if err != nil {
		return Answer{Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	a.Status, a.RequestID = resp.StatusCode, resp.Header.Get("X-Request-Id")
	a.read(resp.Body, start)
	a.parseError()
	return a
}

// read reads the body and records the time to its first byte.
func (a *Answer) read(body io.Reader, start time.Time) {
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 && a.TimeToFirstByte == 0 {
			a.TimeToFirstByte = time.Since(start)
		}
		a.Body = append(a.Body, buf[:n]...)
		if err == io.EOF {
			return
		}
		if err != nil {
			a.Err = fmt.Errorf("body: %w", err)
			return
		}
	}
}

// parseError reads the error from the last line of the body: the whole body of an error
// response, or the last event of a stream.
func (a *Answer) parseError() {
	var e struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	text := bytes.TrimSpace(a.Body)
	if i := bytes.LastIndexByte(text, '\n'); i >= 0 {
		text = text[i+1:]
	}
	if json.Unmarshal(bytes.TrimPrefix(text, []byte("data: ")), &e) == nil {
		a.Code, a.Outcome = e.Error.Code, e.Error.Outcome
	}
}

// Chat sends a chat request with one user message.
func (c *Caller) Chat(ctx context.Context, addr, model, content, key string, stream bool) Answer {
	return c.Do(ctx, http.MethodPost, addr, "/v1/chat/completions", key, ChatBody(model, content, stream))
}
