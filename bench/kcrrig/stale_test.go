package kcrrig

import (
	"context"
	"testing"
	"time"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/link/kcrlink"
	"kingcuprun.example/link/kcrwire"
	"kingcuprun.example/sidecar/kcrsidecar"
)

// This file tests that a sidecar refuses requests that a router with old information
// still sends to it.

// startWithStaleRouter sends a request directly to the first sidecar, as a router
// would that has no news about it, and returns the first frame and how often the
// engine ran the request.
func startWithStaleRouter(t *testing.T, r *Rig, key string, content kcrid.ContentHash) (*kcrwire.Frame, int) {
	t.Helper()
	pool := kcrlink.NewPool()
	defer pool.Close()
	body := []byte(`{"model":"assistant-llm","max_tokens":8,"messages":["x"]}`)
	stream, err := pool.Open(context.Background(), r.Settings.Upstreams[0].Listen, &kcrwire.Request{Kind: &kcrwire.Request_Start{Start: &kcrwire.Start{
		Team: string(Team), Plan: string(Plan), Key: key, Service: Model, Model: Model, Method: "POST", Path: "/v1/chat/completions",
		Type: "application/json", Body: body, Worst: 200, Content: uint64(content), Id: key,
	}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.SetRecvDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	var f kcrwire.Frame
	if err := stream.Recv(&f); err != nil {
		t.Fatal(err)
	}
	return &f, r.Engines[0].RunCount(key)
}

// banContent appends a record to the log which says that a content crashed an upstream
// while it was the only running request.
func (r *Rig) banContent(t *testing.T, content kcrid.ContentHash) {
	t.Helper()
	outbox := kcrlog.NewOutbox("other-sidecar")
	outbox.Enqueue(&kcrentry.Entry{Kind: &kcrentry.Entry_Suspect{Suspect: &kcrentry.Suspect{Content: uint64(content), Server: "other", Alone: true}}})
	records, _ := outbox.Batch(1)
	r.Log.Append(kcrid.ConfigStream, records)
	time.Sleep(time.Second)
}

// runWithAndWithoutRule runs a test with the production rules, with which the engine
// must not run the request, and with a mutant of them, with which it must run once.
func runWithAndWithoutRule(t *testing.T, mutate func(*kcrsidecar.Rules), test func(t *testing.T, rules *kcrsidecar.Rules, runs int)) {
	t.Helper()
	t.Run("rule", func(t *testing.T) {
		t.Parallel()
		test(t, nil, 0)
	})
	t.Run("mutant", func(t *testing.T) {
		t.Parallel()
		rules := kcrsidecar.DefaultRules()
		mutate(&rules)
		test(t, &rules, 1)
	})
}

// Guards against new work on a leaving VM: its sidecar refuses a request from a router
// that does not know about the leaving, and says that the request did not run.
func TestLeavingSidecarRefuses(t *testing.T) {
	t.Parallel()
	mutate := func(r *kcrsidecar.Rules) { r.RefusesNewWork = func(bool) bool { return false } }
	runWithAndWithoutRule(t, mutate, func(t *testing.T, rules *kcrsidecar.Rules, runs int) {
		r := startRig(t, Size{Routers: 1, Engines: 2, PrepaidTokens: 10_000, VMListLag: time.Hour, SidecarRules: rules})
		if err := r.Operator.MarkLeaving(context.Background(), "assistant-llm-1"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		f, ran := startWithStaleRouter(t, r, "stale", 1)
		if ran != runs {
			t.Errorf("expected %d runs, got %d (%v)", runs, ran, f)
		}
		if runs == 0 && (f.GetRefusal().GetCode() != "leaving" || f.GetRefusal().GetRan()) {
			t.Errorf("expected a refusal that did not run, got %v", f)
		}
	})
}

// Guards against repeated crashes: a sidecar refuses a content that crashed an upstream
// while it ran alone, also under a new key and from a router that does not know.
func TestBannedContentIsRefused(t *testing.T) {
	t.Parallel()
	mutate := func(r *kcrsidecar.Rules) { r.RefusesBannedContent = func(bool) bool { return false } }
	runWithAndWithoutRule(t, mutate, func(t *testing.T, rules *kcrsidecar.Rules, runs int) {
		r := startRig(t, Size{Routers: 1, Engines: 2, PrepaidTokens: 10_000, SidecarRules: rules})
		r.banContent(t, 77)
		if f, ran := startWithStaleRouter(t, r, "banned", 77); ran != runs {
			t.Errorf("expected %d runs, got %d (%v)", runs, ran, f)
		}
	})
}
