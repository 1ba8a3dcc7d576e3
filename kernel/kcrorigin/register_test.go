package kcrorigin

import (
	"fmt"
	"testing"

	"kingcuprun.example/kernel/kcrclock"
)

// TestVersionOfAttemptIsRemembered checks that the first version of an attempt stays, for
// retention at least, and that memory is bounded.
func TestVersionOfAttemptIsRemembered(t *testing.T) {
	t.Parallel()
	r := New()
	r.Note(1, "a", "v1")
	r.Note(2, "a", "v2")
	r.Note(2, "", "v2")
	r.Note(2, "b", "")
	for now := kcrclock.Time(2); now < kcrclock.Time(retention); now += 1000 {
		r.Note(now, fmt.Sprint("other-", now), "v2")
		if version, known := r.Find("a"); !known || version != "v1" {
			t.Fatalf("after %d ms: expected v1, got %q %t", now, version, known)
		}
	}
	for _, unknown := range []string{"", "b"} {
		if version, known := r.Find(unknown); known {
			t.Errorf("attempt %q: expected nothing, got %q", unknown, version)
		}
	}
	for i := range 5 * maxAttempts {
		r.Note(kcrclock.Time(retention), fmt.Sprint(i), "v1")
	}
	if n := len(r.newer) + len(r.earlier); n > 2*maxAttempts {
		t.Fatalf("expected at most %d attempts, got %d", 2*maxAttempts, n)
	}
}
