package kcrcrash_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrcrash"
)

// This file tests when a content is banned.

// TestBannedAfterThreeUpstreams checks that a content is banned after it crashed
// three different upstreams; crashes of the same upstream count once.
func TestBannedAfterThreeUpstreams(t *testing.T) {
	t.Parallel()
	counter := kcrcrash.New(3)
	for i, step := range []struct {
		vm     string
		banned bool
	}{{"a", false}, {"a", false}, {"b", false}, {"b", false}, {"c", true}} {
		switch step.vm {
		case "a":
			counter.RecordCrash(7, "a")
		case "b":
			counter.RecordCrash(7, "b")
		case "c":
			counter.RecordCrash(7, "c")
		}
		if got := counter.Banned(7); got != step.banned {
			t.Errorf("crash %d at %s: expected banned %v, got %v", i, step.vm, step.banned, got)
		}
	}
	if counter.Banned(8) {
		t.Error("another content: expected it not to be banned")
	}
}
