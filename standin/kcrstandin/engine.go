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

// This file is the model engine. Its answer is a function of the request, so a
// test can tell whether an answer is the whole answer to its own request.

// EngineFaults are the ways in which an engine fails.
type EngineFaults struct {
	Slots   int    `json:"slots"`   // requests at once
	GapMS   int    `json:"gap"`     // time between tokens
	FirstMS int    `json:"first"`   // time to the first token
	Crash   string `json:"crash"`   // text in a request that crashes the engine
	DownMS  int    `json:"downfor"` // time that a crash takes
}

// DefaultEngine returns an engine that works.
func DefaultEngine() EngineFaults {
	return EngineFaults{Slots: 32, GapMS: 2, FirstMS: 10, Crash: "crash-the-engine", DownMS: 300}
}

// Engine is a model engine.
type Engine struct {
	mu     sync.Mutex
	faults EngineFaults
	active int
	down   time.Time
	crash  chan struct{}
	ran    map[string]int // runs by key
	tokens int
}

// NewEngine returns an idle engine.
func NewEngine(f EngineFaults) *Engine {
	return &Engine{faults: f, crash: make(chan struct{}), ran: map[string]int{}}
}

// Fault sets the faults.
func (e *Engine) Fault(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Ran returns how often a key was run, and Served all tokens generated.
func (e *Engine) Ran(key string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ran[key]
}

// Served returns the tokens of prompts and answers so far.
func (e *Engine) Served() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.tokens
}

// chatRequest is the part of a request that the engine reads.
type chatRequest struct {
	Messages  json.RawMessage `json:"messages"`
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	MaxCompl  int             `json:"max_completion_tokens"`
}

const bytesPerToken = 4

// Words returns the tokens of the answer to a request's messages. The text
// "want=N" in a message sets their number.
func Words(messages []byte, most int) (out []string) {
	h := xxhash.Sum64(messages)
	n := int(h%40) + 8
	if i := strings.Index(string(messages), "want="); i >= 0 {
		_, _ = fmt.Sscanf(string(messages[i:]), "want=%d", &n)
	}
	for i := range min(n, most) {
		out = append(out, fmt.Sprintf("w%x.%d ", h&0xffff, i))
	}
	return out
}

func (e *Engine) begin(key string) (f EngineFaults, crash chan struct{}, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Now().Before(e.down) || e.active >= e.faults.Slots {
		return e.faults, nil, false
	}
	e.active++
	e.ran[key]++
	return e.faults, e.crash, true
}

func (e *Engine) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.active--
}

func (e *Engine) count(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tokens += n
}

func (e *Engine) crashNow() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = time.Now().Add(time.Duration(e.faults.DownMS) * time.Millisecond)
	close(e.crash)
	e.crash = make(chan struct{})
}

// Route adds the engine's paths to an app.
func (e *Engine) Route(app *fiber.App) {
	app.Post("/v1/chat/completions", e.chat)
	app.Post("/fault/engine", func(c fiber.Ctx) error {
		e.mu.Lock()
		f := e.faults
		e.mu.Unlock()
		if err := json.Unmarshal(c.Body(), &f); err != nil {
			return c.Status(fiber.StatusBadRequest).SendString(err.Error())
		}
		e.Fault(f)
		return nil
	})
	app.Get("/ran", func(c fiber.Ctx) error {
		e.mu.Lock()
		defer e.mu.Unlock()
		return c.JSON(e.ran)
	})
}

func (e *Engine) chat(c fiber.Ctx) error {
	var r chatRequest
	body := append([]byte(nil), c.Body()...)
	if err := json.Unmarshal(body, &r); err != nil || r.Model == "" {
		return c.Status(fiber.StatusBadRequest).SendString("expected a chat request")
	}
	f, crash, ok := e.begin(strings.Clone(c.Get("Idempotency-Key")))
	if !ok {
		return c.SendStatus(fiber.StatusServiceUnavailable)
	}
	most := max(r.MaxTokens, r.MaxCompl)
	if most == 0 {
		most = 64
	}
	g := &generation{e: e, f: f, crash: crash, words: Words(r.Messages, most), prompt: len(r.Messages) / bytesPerToken, model: r.Model}
	if f.Crash != "" && strings.Contains(string(body), f.Crash) {
		time.Sleep(time.Duration(f.FirstMS) * time.Millisecond)
		e.end()
		e.crashNow()
		return hangUp(c)
	}
	if !r.Stream {
		return g.whole(c)
	}
	c.Set(fiber.HeaderContentType, "text/event-stream")
	return c.SendStreamWriter(g.stream)
}

// generation is one running request.
type generation struct {
	e      *Engine
	f      EngineFaults
	crash  chan struct{}
	words  []string
	prompt int
	model  string
}

// step waits for the next token and tells whether the engine still runs.
func (g *generation) step(ms int) bool {
	select {
	case <-g.crash:
		return false
	case <-time.After(time.Duration(ms) * time.Millisecond):
		return true
	}
}

type tokenUsage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	Total      int `json:"total_tokens"`
}

type delta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index   int     `json:"index"`
	Delta   *delta  `json:"delta,omitempty"`
	Message *delta  `json:"message,omitempty"`
	Finish  *string `json:"finish_reason"`
}

type completion struct {
	ID      string      `json:"id"`
	Object  string      `json:"object"`
	Created int         `json:"created"`
	Model   string      `json:"model"`
	Choices []choice    `json:"choices"`
	Usage   *tokenUsage `json:"usage,omitempty"`
}

func (g *generation) usage() *tokenUsage {
	return &tokenUsage{Prompt: g.prompt, Completion: len(g.words), Total: g.prompt + len(g.words)}
}

func (g *generation) whole(c fiber.Ctx) error {
	defer g.e.end()
	if !g.step(g.f.FirstMS + g.f.GapMS*len(g.words)) {
		return hangUp(c)
	}
	g.e.count(g.prompt + len(g.words))
	stop := "stop"
	return c.JSON(completion{
		ID: "gen", Object: "chat.completion", Model: g.model, Usage: g.usage(),
		Choices: []choice{{Message: &delta{Role: "assistant", Content: strings.Join(g.words, "")}, Finish: &stop}},
	})
}

func (g *generation) stream(w *bufio.Writer) {
	defer g.e.end()
	g.e.count(g.prompt)
	for i, word := range g.words {
		wait := g.f.GapMS
		if i == 0 {
			wait = g.f.FirstMS
		}
		if !g.step(wait) {
			return
		}
		g.e.count(1)
		if g.event(w, completion{Choices: []choice{{Delta: &delta{Content: word}}}}) != nil {
			return
		}
	}
	stop := "stop"
	if g.event(w, completion{Choices: []choice{{Delta: &delta{}, Finish: &stop}}, Usage: g.usage()}) != nil {
		return
	}
	_, _ = w.WriteString("data: [DONE]\n\n")
}

func (g *generation) event(w *bufio.Writer, c completion) error {
	c.ID, c.Object, c.Model = "gen", "chat.completion.chunk", g.model
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "data: %s\n\n", data); err != nil {
		return err
	}
	return w.Flush()
}
