package kcrlist

import (
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

const allowancesSeparator = "-- uses --\n"

// TestLists parses the two lists of each case and prints the plans or the error.
// A separator line divides the lists.
func TestLists(t *testing.T) {
	t.Parallel()
	datadriven.RunTest(t, "testdata/lists", func(_ *testing.T, d *datadriven.TestData) string {
		plans, allowances, _ := strings.Cut(d.Input, allowancesSeparator)
		plans = strings.ReplaceAll(plans, "DIGEST", APIKeyDigest("key"))
		configs, err := Parse("plans.jsonc", []byte(plans), "uses.jsonc", []byte(allowances))
		if err != nil {
			return err.Error() + "\n"
		}
		var result strings.Builder
		for _, config := range sortedByPlan(configs) {
			result.WriteString(string(config.Plan.Name) + " " + string(config.Plan.Team) + "\n")
		}
		return result.String()
	})
}

// publish applies a change as the record at an offset. Base is the version that
// the change replaces.
func publish(s *State, off kcrid.Offset, base kcrid.Offset, c Change) Verdict {
	data, err := c.Encode()
	if err != nil {
		panic(err)
	}
	return s.Apply(off, &kcrentry.Entry{Kind: &kcrentry.Entry_Publish{Publish: &kcrentry.Publish{Base: uint64(base), Change: data}}})
}

// A published top-up must be neither removed nor changed, even if its plan was
// dropped and set again in between.
func TestTopupsStay(t *testing.T) {
	t.Parallel()
	plan := func(tokens kcrid.Tokens) PlanConfig {
		return PlanConfig{Plan: Plan{Name: "p", Team: "t", TopUps: []TopUp{{Name: "first", Tokens: tokens}}}}
	}
	s := NewState(DefaultRules())
	steps := []struct {
		name   string
		change Change
		want   bool
	}{
		{"new plan", Change{Set: []PlanConfig{plan(10)}}, true},
		{"other amount", Change{Set: []PlanConfig{plan(20)}}, false},
		{"no top-up", Change{Set: []PlanConfig{{Plan: Plan{Name: "p", Team: "t"}}}}, false},
		{"dropped", Change{Drop: []kcrid.Plan{"p"}}, true},
		{"back with another amount", Change{Set: []PlanConfig{plan(20)}}, false},
		{"back as it was", Change{Set: []PlanConfig{plan(10)}}, true},
	}
	for i, step := range steps {
		if v := publish(s, kcrid.Offset(i+1), s.Version(), step.change); v.Accepted != step.want {
			t.Errorf("%s: expected accepted %v, got %v (%s)", step.name, step.want, v.Accepted, v.Reason)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"plans": [{"name": "a", "team": "b", "keys": [], "topups": [{"name": "x", "tokens": 1}]}]}`), []byte(`{"uses": [{"plan": "a", "most": 5}]}`))
	f.Add([]byte(`{"plans": [,]}`), []byte(`[]`))
	f.Add([]byte(`// nothing`), []byte(``))
	f.Fuzz(func(_ *testing.T, plans, allowances []byte) {
		_, _ = Parse("plans", plans, "uses", allowances)
	})
}

func FuzzState(f *testing.F) {
	f.Add([]byte(`{"set":[{"plan":{"name":"p","team":"t"}}]}`), []byte(`{"at":7,"items":[]}`))
	f.Add([]byte(`{"drop":["p"]}`), []byte(`{`))
	f.Fuzz(func(t *testing.T, change, snapshot []byte) {
		s := NewState(DefaultRules())
		s.Apply(1, &kcrentry.Entry{Kind: &kcrentry.Entry_Publish{Publish: &kcrentry.Publish{Change: change}}})
		_, _ = s.Restore(snapshot)
		if _, _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzDecode(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte("\x0a\x01w\x10\x01"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = kcrlog.DecodeEntry(data)
	})
}
