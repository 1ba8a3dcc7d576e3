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

// This file parses and checks the requests of callers. Invariant: the prompt and the
// token limits of the body that the upstream receives allow at most maxTotalTokens.

// Limits of a request.
const (
	maxKeyLen  = 255     // bytes of an idempotency key
	maxChoices = 8       // choices that a chat request asks for in its field n
	maxBodyLen = 4 << 20 // bytes
	prefixLen  = 256     // bytes of model and first message that are hashed for affinity
)

// request is a parsed and checked request of a caller.
type request struct {
	id             string
	planConfig     kcrlist.PlanConfig // the plan of the caller and what it may use
	service        kcrsettings.Service
	model          kcrid.Model          // empty unless it is a chat request
	key            kcrid.IdempotencyKey // idempotency key
	keyGenerated   bool                 // the caller sent no key, so no copy of the request has the same one
	method         string
	path           string
	contentType    string
	body           []byte
	streaming      bool              // the response is an event stream
	atMostOnce     bool              // the request must not run more than once
	maxTotalTokens kcrid.Tokens      // of the prompt and all choices
	prefixHash     kcrid.ContentHash // requests with the same hash prefer the same upstream
	contentHash    kcrid.ContentHash
}

func badRequest(format string, args ...any) error {
	return &kcrerror.Refusal{Code: kcrerror.BadRequest, Text: fmt.Sprintf(format, args...)}
}

// chat holds the fields of a chat request that routing and budgets depend on. The
// error messages of encoding/json, which callers receive, contain the name of the
// type.
type chat struct {
	Model               kcrid.Model       `json:"model"`
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           *kcrid.Tokens     `json:"max_tokens"`
	MaxCompletionTokens *kcrid.Tokens     `json:"max_completion_tokens"`
	Choices             *int64            `json:"n"`
}

// parseChat parses and checks the body of a chat request. It also returns all fields
// of the body, so that those which chat lacks reach the upstream.
func parseChat(body []byte) (c chat, fields map[string]json.RawMessage, err error) {
	if len(body) > maxBodyLen {
		return c, nil, &kcrerror.Refusal{Code: kcrerror.TooLarge, Text: fmt.Sprintf("body: expected at most %d bytes, got %d", maxBodyLen, len(body))}
	}
	if err := json.Unmarshal(body, &fields); err != nil {
		return c, nil, badRequest("body: expected a JSON object: %v", err)
	}
	if err := json.Unmarshal(body, &c); err != nil {
		return c, nil, badRequest("body: %v", err)
	}
	switch {
	case c.Model == "":
		return c, nil, badRequest("model: expected a name, got none")
	case len(c.Messages) == 0:
		return c, nil, badRequest("messages: expected at least one, got none")
	case c.Choices != nil && (*c.Choices < 1 || *c.Choices > maxChoices):
		return c, nil, badRequest("n: expected 1 to %d, got %d", maxChoices, *c.Choices)
	}
	return c, fields, checkMaxTokens(c)
}

// checkMaxTokens checks the range of both token limits of a chat request.
func checkMaxTokens(c chat) error {
	for _, limit := range []*kcrid.Tokens{c.MaxTokens, c.MaxCompletionTokens} {
		if limit != nil && (*limit < 1 || int64(*limit) > kcrlist.MaxAnswerTokens) {
			return badRequest("max_tokens: expected 1 to %d, got %d", kcrlist.MaxAnswerTokens, *limit)
		}
	}
	return nil
}

// maxChoiceTokens returns the maximum number of tokens of one choice, 0 if the
// request has no limit. max_completion_tokens takes precedence over max_tokens.
func (c chat) maxChoiceTokens() kcrid.Tokens {
	switch {
	case c.MaxCompletionTokens != nil:
		return *c.MaxCompletionTokens
	case c.MaxTokens != nil:
		return *c.MaxTokens
	default:
		return 0
	}
}

// applyChat sets the fields of a request that depend on its chat body, and encodes
// the body that the upstream receives. It adds a token limit if there is none, and
// asks for the token usage at the end of a stream. A prompt has at most one token
// per byte, so the length of the body bounds the tokens of the prompt.
func (req *request) applyChat(c chat, fields map[string]json.RawMessage) (err error) {
	choiceTokens := c.maxChoiceTokens()
	if choiceTokens == 0 {
		choiceTokens = min(req.service.DefaultMaxTokens, req.planConfig.Allowance.MaxAnswerTokens)
		fields["max_tokens"] = json.RawMessage(fmt.Sprint(choiceTokens))
	}
	if choiceTokens > req.planConfig.Allowance.MaxAnswerTokens {
		return &kcrerror.Refusal{Code: kcrerror.NotAllowed, Text: fmt.Sprintf("max_tokens: the plan allows %d, got %d", req.planConfig.Allowance.MaxAnswerTokens, choiceTokens)}
	}
	if c.Stream {
		fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if req.body, err = json.Marshal(fields); err != nil {
		return err
	}
	choices := kcrid.Tokens(1)
	if c.Choices != nil {
		choices = kcrid.Tokens(*c.Choices)
	}
	req.model, req.streaming = c.Model, c.Stream
	req.maxTotalTokens = kcrid.Tokens(len(req.body)) + choices*choiceTokens
	req.contentHash = kcrid.HashContent(req.path, req.body)
	prefix := bytes.Join([][]byte{[]byte(c.Model), c.Messages[0]}, nil)
	req.prefixHash = kcrid.HashContent("", prefix[:min(prefixLen, len(prefix))])
	return nil
}

// checkKey checks the idempotency key of a caller. An empty key is valid.
func checkKey(key string) error {
	if len(key) > maxKeyLen {
		return badRequest("Idempotency-Key: expected at most %d bytes, got %d", maxKeyLen, len(key))
	}
	for _, b := range []byte(key) {
		if b < '!' || b > '~' {
			return badRequest("Idempotency-Key: expected visible ASCII, got byte %#x", b)
		}
	}
	return nil
}

// isSafeMethod tells whether an HTTP method is safe, so that a request with it may
// run more than once.
func isSafeMethod(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS":
		return true
	default:
		return false
	}
}

// bearerToken returns the token of an Authorization header, which is the API key.
func bearerToken(header string) (string, bool) {
	const scheme = "bearer "
	if len(header) <= len(scheme) || !strings.EqualFold(header[:len(scheme)], scheme) {
		return "", false
	}
	return header[len(scheme):], true
}
