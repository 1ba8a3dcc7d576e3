// Package kcrcaller is a caller of the routers, as small as a test needs it:
// it sends a request once and says exactly what came back.
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

// Answer is what came back. Err is set where the connection broke.
type Answer struct {
	Status  int
	Body    []byte
	Code    string // of an error
	Outcome string // of an error: "not_run" or "unknown"
	Request string
	First   time.Duration // to the first byte of the body
	Took    time.Duration
	Err     error
}

// Whole tells whether a stream or a whole answer is complete.
func (a Answer) Whole(stream bool) bool {
	if a.Err != nil || a.Status != http.StatusOK || a.Code != "" {
		return false
	}
	return !stream || bytes.HasSuffix(bytes.TrimSpace(a.Body), []byte("data: [DONE]"))
}

// Text returns the generated text of an answer.
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
	var out strings.Builder
	for _, line := range lines {
		var c chunk
		if json.Unmarshal([]byte(strings.TrimPrefix(line, "data: ")), &c) != nil {
			continue
		}
		for _, ch := range c.Choices {
			out.WriteString(ch.Message.Content + ch.Delta.Content)
		}
	}
	return out.String()
}

// Caller sends requests with one API key.
type Caller struct {
	Key    string
	client *http.Client
}

// New returns a caller with an API key.
func New(key string) *Caller {
	return &Caller{Key: key, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}}
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

// Do sends one request to a router at addr.
func (c *Caller) Do(ctx context.Context, method, addr, path, key string, body []byte) (a Answer) {
	start := time.Now()
	defer func() { a.Took = time.Since(start) }()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return Answer{Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
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
	a.Status, a.Request = resp.StatusCode, resp.Header.Get("X-Request-Id")
	a.read(resp.Body, start)
	a.detail()
	return a
}

func (a *Answer) read(body io.Reader, start time.Time) {
	buf := make([]byte, 32<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 && a.First == 0 {
			a.First = time.Since(start)
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

// detail reads the error of an answer or at the end of a stream.
func (a *Answer) detail() {
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

// Chat sends a chat request.
func (c *Caller) Chat(ctx context.Context, addr, model, content, key string, stream bool) Answer {
	return c.Do(ctx, http.MethodPost, addr, "/v1/chat/completions", key, ChatBody(model, content, stream))
}
