package kcrrig

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/sourcegraph/conc/pool"

	"kingcuprun.example/bench/kcrcaller"
	"kingcuprun.example/kernel/kcrlist"
)

// This file tests that callers get their own answers, complete or with an error, and
// that refusals state the true reason.

const callerCount = 12

// Guards against answers that are mixed up between requests or silently truncated.
// While links are cut and engines crash, each answer must be the caller's own:
// either complete, or a prefix of the expected text and an error.
func TestOwnWholeAnswersUnderFaults(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 2, Engines: 3, Plains: 0, PrepaidTokens: 10_000_000})
	var complete, broken, refused atomic.Int64
	var stopped atomic.Bool
	callers := pool.New()
	for id := range callerCount {
		callers.Go(func() {
			c := kcrcaller.New(APIKey)
			for n := 0; !stopped.Load(); n++ {
				content := fmt.Sprintf("caller %d request %d want=%d", id, n, 20+(id*7+n*13)%60)
				stream := n%2 == 0
				a := c.Chat(context.Background(), r.Settings.Routers[n%2].Listen, Model, content, "", stream)
				want := expected(content)
				switch {
				case a.Complete(stream) && a.Text(stream) == want:
					complete.Add(1)
				case a.Complete(stream):
					t.Errorf("%s: expected %q, got %q", content, want, a.Text(stream))
				case a.Status == 200 && !strings.HasPrefix(want, a.Text(stream)):
					t.Errorf("%s: expected a part of %q, got %q", content, want, a.Text(stream))
				case a.Status == 200:
					broken.Add(1)
				default:
					refused.Add(1)
				}
			}
		})
	}
	for i := range 6 {
		time.Sleep(faultInterval)
		addr := r.Settings.Upstreams[i%3].Listen
		r.LinkPool(r.Settings.Routers[i%2].VM).SimulatePartition(func(a string) bool { return a == addr })
		time.Sleep(faultInterval / 2)
		r.LinkPool(r.Settings.Routers[i%2].VM).SimulatePartition(func(string) bool { return false })
		c := kcrcaller.New(APIKey)
		if i%3 == 2 {
			c.Chat(context.Background(), r.Settings.Routers[0].Listen, Model, fmt.Sprint("crash-the-engine ", i), "", true)
		}
	}
	stopped.Store(true)
	callers.Wait()
	t.Logf("whole %d, broken %d, refused %d", complete.Load(), broken.Load(), refused.Load())
	if complete.Load() == 0 {
		t.Error("expected whole answers, got none")
	}
}

// The published OpenAI client works without changes: complete answers, streams, usage,
// and the list of models.
func TestOpenAIClient(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 1, Engines: 1, Plains: 0, PrepaidTokens: 10_000})
	client := openai.NewClient(option.WithBaseURL("http://"+r.Settings.Routers[0].Listen+"/v1"), option.WithAPIKey(APIKey))
	params := openai.ChatCompletionNewParams{
		Model: Model, Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello want=4")},
	}
	complete, err := client.Chat.Completions.New(context.Background(), params)
	if err != nil {
		t.Fatal(err)
	}
	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if got, want := acc.Choices[0].Message.Content, complete.Choices[0].Message.Content; got != want || want == "" {
		t.Errorf("expected the same text streamed and whole, got %q and %q", got, want)
	}
	if acc.Usage.CompletionTokens != 4 {
		t.Errorf("expected a usage of 4 tokens, got %d", acc.Usage.CompletionTokens)
	}
	models, err := client.Models.List(context.Background())
	if err != nil || len(models.Data) != 1 {
		t.Errorf("expected one model, got %v (%v)", models, err)
	}
}

// Requests with the same key share one run and all get its complete answer, also through
// different routers.
func TestRetryRejoins(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 2, Engines: 3, Plains: 0, PrepaidTokens: 100_000})
	ctx := context.Background()
	callers := pool.New()
	for i := range 8 {
		callers.Go(func() {
			c := kcrcaller.New(APIKey)
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			a := c.Chat(ctx, r.Settings.Routers[i%2].Listen, Model, "same want=80", "same-key", true)
			if !a.Complete(true) || a.Text(true) != expected("same want=80") {
				t.Errorf("caller %d: expected the whole answer, got %d %s", i, a.Status, a.Code)
			}
		})
	}
	callers.Wait()
	runs := 0
	for _, e := range r.Engines {
		runs += e.RunCount("same-key")
	}
	if runs != 1 {
		t.Errorf("expected 1 run, got %d", runs)
	}
}

// Each of five refused requests gets the code of its true reason, and the outcome
// not_run. After a top-up, a request that was refused for its budget is answered.
func TestTruthfulRefusals(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 1, Engines: 1, Plains: 1, PrepaidTokens: 200})
	addr, ctx := r.Settings.Routers[0].Listen, context.Background()
	c := kcrcaller.New(APIKey)
	tests := []struct {
		name string
		got  kcrcaller.Answer
		code string
	}{
		{"unknown key", kcrcaller.New("nobody").Chat(ctx, addr, Model, "x", "", false), "invalid_api_key"},
		{"unknown model", c.Chat(ctx, addr, "none", "x", "", false), "model_not_found"},
		{"used up", c.Chat(ctx, addr, Model, "x", "", false), "budget_used_up"},
		{"malformed", c.Do(ctx, "POST", addr, "/v1/chat/completions", "", []byte("{")), "invalid_request"},
		{"no messages", c.Do(ctx, "POST", addr, "/v1/chat/completions", "", []byte(`{"model":"m"}`)), "invalid_request"},
	}
	for _, test := range tests {
		if test.got.Code != test.code || test.got.Outcome != "not_run" {
			t.Errorf("%s: expected %s, not_run; got %d %s", test.name, test.code, test.got.Status, test.got.Body)
		}
	}
	if err := r.Publish(kcrlist.TopUp{Name: firstTopup, Tokens: 200}, kcrlist.TopUp{Name: "second", Tokens: 10_000}); err != nil {
		t.Fatal(err)
	}
	a := c.Chat(ctx, addr, Model, "x", "", false)
	for i := 0; i < 50 && !a.Complete(false); i++ {
		time.Sleep(faultInterval / 10)
		a = c.Chat(ctx, addr, Model, "x", "", false)
	}
	if !a.Complete(false) {
		t.Errorf("expected an answer after the top-up, got %d %s", a.Status, a.Body)
	}
}
