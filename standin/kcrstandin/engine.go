package kcrstandin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
)

// This file defines a model engine with an OpenAI-compatible chat endpoint. The answer is a
// function of the request, so a test can tell whether a response holds the whole answer to
// its own request.

// EngineSettings sets the speed of an engine and the ways in which it fails.
type EngineSettings struct {
	MaxRequests       int    `json:"slots"`   // requests that run at once; the engine refuses more
	TokenDelayMS      int    `json:"gap"`     // time between two tokens
	FirstTokenDelayMS int    `json:"first"`   // time to the first token
	CrashText         string `json:"crash"`   // a request that contains this text crashes the engine
	CrashDowntimeMS   int    `json:"downfor"` // time from a crash until the engine accepts requests again
}

// DefaultEngineSettings returns the settings of an engine that fails only on CrashText.
func DefaultEngineSettings() EngineSettings {
	return EngineSettings{MaxRequests: 32, TokenDelayMS: 2, FirstTokenDelayMS: 10, CrashText: "crash-the-engine", CrashDowntimeMS: 300}
}

// Engine is a model engine. It is safe for concurrent use.
type Engine struct {
	mu             sync.Mutex
	settings       EngineSettings
	activeRequests int
	downUntil      time.Time
	crashed        chan struct{}  // closed at the next crash
	runs           map[string]int // by idempotency key
	servedTokens   int
}

// NewEngine returns an idle engine with the given settings.
func NewEngine(settings EngineSettings) *Engine {
	return &Engine{settings: settings, crashed: make(chan struct{}), runs: map[string]int{}}
}

// SetSettings replaces the settings.
func (e *Engine) SetSettings(settings EngineSettings) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settings = settings
}

// RunCount returns how often the engine ran a request with this idempotency key.
func (e *Engine) RunCount(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[key]
}

// ServedTokens returns the number of prompt and answer tokens that the engine has served.
func (e *Engine) ServedTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.servedTokens
}

// chatRequest holds the fields of a chat completion request that the engine reads.
type chatRequest struct {
	Messages            json.RawMessage `json:"messages"`
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

// bytesPerToken is the length in bytes of a prompt token.
const bytesPerToken = 4

// AnswerTokens returns the tokens of the answer to a request's messages, at most maxTokens.
// The text "want=N" in a message sets their number; without it, a hash of the messages does.
func AnswerTokens(messages []byte, maxTokens int) (tokens []string) {
	hash := xxhash.Sum64(messages)
	count := int(hash%40) + 8
	if i := strings.Index(string(messages), "want="); i >= 0 {
		_, _ = fmt.Sscanf(string(messages[i:]), "want=%d", &count)
	}
	for i := range min(count, maxTokens) {
		tokens = append(tokens, fmt.Sprintf("w%x.%d ", hash&0xffff, i))
	}
	return tokens
}

// startRun takes a slot for a request and counts the run. It returns the settings in force
// and a channel that is closed when the engine crashes. ok is false if the engine is down
// or has no free slot.
func (e *Engine) startRun(key string) (settings EngineSettings, crashed chan struct{}, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.downUntil) || e.activeRequests >= e.settings.MaxRequests {
		return e.settings, nil, false
	}
	e.activeRequests++
	e.runs[key]++
	return e.settings, e.crashed, true
}

// endRun frees the slot of a request.
func (e *Engine) endRun() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.activeRequests--
}

// addTokens counts served tokens.
func (e *Engine) addTokens(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.servedTokens += n
}

// crash breaks off all running requests and keeps the engine down for CrashDowntimeMS.
func (e *Engine) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.downUntil = time.Now().Add(time.Duration(e.settings.CrashDowntimeMS) * time.Millisecond)
	close(e.crashed)
	e.crashed = make(chan struct{})
}

// RegisterRoutes registers the HTTP handlers of the engine, one that returns the
// runs by key, and one that changes its settings. Settings that a request leaves out keep
// their values.
func (e *Engine) RegisterRoutes(app *fiber.App) {
	app.Post("/v1/chat/completions", e.chat)
	app.Post("/fault/engine", func(c fiber.Ctx) error {
		e.mu.Lock()
		settings := e.settings
		e.mu.Unlock()
		if err := json.Unmarshal(c.Body(), &settings); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		e.SetSettings(settings)
		return nil
	})
	app.Get("/ran", func(c fiber.Ctx) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		return c.JSON(e.runs)
	})
}

// chat responds to a chat completion request.
func (e *Engine) chat(c fiber.Ctx) error {
	var request chatRequest
	body := append([]byte(nil), c.Body()...)
	if err := json.Unmarshal(body, &request); err != nil || request.Model == "" {
		return c.Status(fiber.StatusBadRequest).SendString("expected a chat request")
	}
	settings, crashed, ok := e.startRun(strings.Clone(c.Get("Idempotency-Key")))
	if !ok {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	maxTokens := max(request.MaxTokens, request.MaxCompletionTokens)
	if maxTokens == 0 {
		maxTokens = 64
	}
	g := &generation{engine: e, settings: settings, crashed: crashed, tokens: AnswerTokens(request.Messages, maxTokens), promptTokens: len(request.Messages) / bytesPerToken, model: request.Model}
	if settings.CrashText != "" && strings.Contains(string(body), settings.CrashText) {
		time.Sleep(time.Duration(settings.FirstTokenDelayMS) * time.Millisecond)
		e.endRun()
		e.crash()
		return closeConnection(c)
	}
	if !request.Stream {
		return g.sendCompletion(c)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	return c.SendStreamWriter(g.streamCompletion)
}

// generation is the generation of the answer to one request. It keeps the settings that were
// in force when the request started.
type generation struct {
	engine       *Engine
	settings     EngineSettings
	crashed      chan struct{} // closed when the engine crashes
	tokens       []string      // tokens of the answer
	promptTokens int
	model        string
}

// sleepUnlessCrashed waits for the time that a generation takes. It returns early and
// reports false if the engine crashes.
func (g *generation) sleepUnlessCrashed(ms int) bool {
	select {
	case <-g.crashed:
		return false
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	}
}

// The types below encode a chat completion response, or one event of a streamed one.

type tokenUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type chatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int          `json:"index"`
	Delta        *chatMessage `json:"delta,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type completion struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int         `json:"created"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *tokenUsage `json:"usage,omitempty"`
}

// usage returns the token usage of the whole answer.
func (g *generation) usage() *tokenUsage {
	return &tokenUsage{PromptTokens: g.promptTokens, CompletionTokens: len(g.tokens), TotalTokens: g.promptTokens + len(g.tokens)}
}

// sendCompletion sends the whole answer in one response, after the time that streaming it
// would take.
func (g *generation) sendCompletion(c fiber.Ctx) error {
	defer g.engine.endRun()
	if !g.sleepUnlessCrashed(g.settings.FirstTokenDelayMS + g.settings.TokenDelayMS*len(g.tokens)) {
		return closeConnection(c)
	}
	g.engine.addTokens(g.promptTokens + len(g.tokens))
	stop := "stop"
	return c.JSON(completion{
		ID: "gen", Object: "chat.completion", Model: g.model, Usage: g.usage(),
		Choices: []choice{{Message: &chatMessage{Role: "assistant", Content: strings.Join(g.tokens, "")}, FinishReason: &stop}},
	})
}

// streamCompletion sends the answer as server-sent events, one for each token. It stops
// without an end of the stream if the engine crashes.
func (g *generation) streamCompletion(w *bufio.Writer) {
	defer g.engine.endRun()
	g.engine.addTokens(g.promptTokens)
	for i, token := range g.tokens {
		delayMS := g.settings.TokenDelayMS
		if i == 0 {
			delayMS = g.settings.FirstTokenDelayMS
		}
		if !g.sleepUnlessCrashed(delayMS) {
			return
		}
		g.engine.addTokens(1)
		if g.writeEvent(w, completion{Choices: []choice{{Delta: &chatMessage{Content: token}}}}) != nil {
			return
		}
	}
	stop := "stop"
	if g.writeEvent(w, completion{Choices: []choice{{Delta: &chatMessage{}, FinishReason: &stop}}, Usage: g.usage()}) != nil {
		return
	}
	_, _ = w.WriteString("data: [DONE]\n\n")
}

// writeEvent writes one event of the stream and flushes it.
func (g *generation) writeEvent(w *bufio.Writer, event completion) error {
	event.ID, event.Object, event.Model = "gen", "chat.completion.chunk", g.model
	data, err := json.Marshal(event)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return w.Flush()
}
