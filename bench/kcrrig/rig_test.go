package kcrrig

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"kingcuprun.example/bench/kcrcaller"
	"kingcuprun.example/standin/kcrstandin"
)

// startRig starts a rig that is closed at the end of the test.
func startRig(t *testing.T, size Size) *Rig {
	t.Helper()
	r, err := New(size)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Close)
	return r
}

// expected returns the text with which the stand-in engines answer a message.
func expected(content string) string {
	body := kcrcaller.ChatBody(Model, content, false)
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		panic(err)
	}
	return strings.Join(kcrstandin.AnswerTokens(fields["messages"], defaultMaxTokens), "")
}

// Chat requests, complete and streamed, and plain calls work through both routers, and
// repeated calls with one key take effect once.
func TestWholePath(t *testing.T) {
	t.Parallel()
	r := startRig(t, Size{Routers: 2, Engines: 3, Plains: 2, PrepaidTokens: 100_000})
	c, ctx := kcrcaller.New(APIKey), context.Background()
	for i, stream := range []bool{false, true, false, true} {
		addr := r.Settings.Routers[i%2].Listen
		a := c.Chat(ctx, addr, Model, "hello", "", stream)
		if !a.Complete(stream) || a.Text(stream) != expected("hello") {
			t.Errorf("stream %v: expected the whole answer, got %d %s (%v)", stream, a.Status, a.Body, a.Err)
		}
	}
	for i := range 3 {
		a := c.Do(ctx, http.MethodPost, r.Settings.Routers[i%2].Listen, "/services/"+Service+"/book", "key-1", []byte("{}"))
		if a.Status != http.StatusOK || !strings.Contains(string(a.Body), `"count":1`) {
			t.Errorf("booking %d: expected the one effect, got %d %s", i, a.Status, a.Body)
		}
	}
	if n := r.Effects.Count("key-1"); n != 1 {
		t.Errorf("expected 1 effect, got %d", n)
	}
}
