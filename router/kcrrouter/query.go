package kcrrouter

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/link/kcrsettings"
)

// This file reads the requests of callers.

// Limits of a request.
const (
	maxKey     = 255
	maxChoices = 8
	maxBodyLen = 4 << 20
	prefixLen  = 256
)

// query is a request that was read and checked.
type query struct {
	id      string
	item    kcrlist.Item
	service kcrsettings.Service
	model   kcrid.Model
	key     kcrid.Key
	made    bool // the key is the router's own
	method  string
	path    string
	kind    string
	body    []byte
	stream  bool
	once    bool
	worst   kcrid.Tokens
	prefix  kcrid.Content
	content kcrid.Content
}

func bad(format string, args ...any) error {
	return &kcrerror.Refusal{Code: kcrerror.BadRequest, Text: fmt.Sprintf(format, args...)}
}

// chat is the part of a chat request that matters to routing and budgets.
type chat struct {
	Model         kcrid.Model       `json:"model"`
	Messages      []json.RawMessage `json:"messages"`
	Stream        bool              `json:"stream"`
	MaxTokens     *kcrid.Tokens     `json:"max_tokens"`
	MaxCompletion *kcrid.Tokens     `json:"max_completion_tokens"`
	N             *int64            `json:"n"`
}

// parseChat reads the body of a chat request.
func parseChat(body []byte) (c chat, fields map[string]json.RawMessage, err error) {
	if len(body) > maxBodyLen {
		return c, nil, &kcrerror.Refusal{Code: kcrerror.TooLarge, Text: fmt.Sprintf("body: expected at most %d bytes, got %d", maxBodyLen, len(body))}
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return c, nil, bad("body: expected a JSON object: %v", err)
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return c, nil, bad("body: %v", err)
	}
	switch {
	case c.Model == "":
		return c, nil, bad("model: expected a name, got none")
	case len(c.Messages) == 0:
		return c, nil, bad("messages: expected at least one, got none")
	case c.N != nil && (*c.N < 1 || *c.N > maxChoices):
		return c, nil, bad("n: expected 1 to %d, got %d", maxChoices, *c.N)
	}
	return c, fields, checkMax(c)
}

func checkMax(c chat) error {
	for _, m := range []*kcrid.Tokens{c.MaxTokens, c.MaxCompletion} {
		if m != nil && (*m < 1 || int64(*m) > kcrlist.MaxAnswer) {
			return bad("max_tokens: expected 1 to %d, got %d", kcrlist.MaxAnswer, *m)
		}
	}
	return nil
}

// bound returns the most tokens of one answer, 0 if the request names none.
func (c chat) bound() kcrid.Tokens {
	switch {
	case c.MaxCompletion != nil:
		return *c.MaxCompletion
	case c.MaxTokens != nil:
		return *c.MaxTokens
	default:
		return 0
	}
}

// fill completes a query from a chat request. The prompt has at most one token
// a byte, so the length of the body bounds it.
func (q *query) fill(c chat, fields map[string]json.RawMessage) (err error) {
	most := c.bound()
	if most == 0 {
		most = min(q.service.Reserve, q.item.Use.Most)
		fields["max_tokens"] = json.RawMessage(fmt.Sprint(most))
	}
	if most > q.item.Use.Most {
		return &kcrerror.Refusal{Code: kcrerror.NotAllowed, Text: fmt.Sprintf("max_tokens: the plan allows %d, got %d", q.item.Use.Most, most)}
	}
	if c.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if q.body, err = json.Marshal(fields); err != nil {
		return err
	}
	choices := kcrid.Tokens(1)
	if c.N != nil {
		choices = kcrid.Tokens(*c.N)
	}
	q.model, q.stream = c.Model, c.Stream
	q.worst = kcrid.Tokens(len(q.body)) + choices*most
	q.content = kcrid.ContentOf(q.path, q.body)
	start := bytes.Join([][]byte{[]byte(c.Model), c.Messages[0]}, nil)
	q.prefix = kcrid.ContentOf("", start[:min(prefixLen, len(start))])
	return nil
}

// checkKey checks an idempotency key of a caller.
func checkKey(key string) error {
	if len(key) > maxKey {
		return bad("Idempotency-Key: expected at most %d bytes, got %d", maxKey, len(key))
	}
	for _, b := range []byte(key) {
		if b < '!' || b > '~' {
			return bad("Idempotency-Key: expected visible ASCII, got byte %#x", b)
		}
	}
	return nil
}

// repeats tells whether a method may be sent again.
func repeats(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS":
		return true
	default:
		return false
	}
}

// bearer returns the API key of an Authorization header.
func bearer(header string) (string, bool) {
	const scheme = "bearer "
	if len(header) <= len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return "", false
	}
	return header[len(scheme):], true
}
