package kcrrule_test

import (
	"testing"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrrule"
)

// This file tests the matching of routes, the traffic split, and the replacement
// of rules by newer ones.

// newRules returns rules with three routes, whose traffic is split 9 to 1.
func newRules(version uint64) *kcrrule.Rules {
	route := func(name, host, prefix string) kcrrule.Route {
		return kcrrule.Route{Name: name, Host: host, Prefix: prefix, TrafficShares: []kcrrule.TrafficShare{{Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
	}
	return kcrrule.New(version, kcrrule.Limits{}, []kcrrule.Service{{Name: "a"}}, []kcrrule.Team{{Name: "t", Keys: []string{"k1", "k2"}}}, []kcrrule.Route{
		route("short", "H.example", "/x/"), route("long", "h.example", "/x/y/"), route("other", "i.example", "/"),
	})
}

// TestMatch checks that the longest prefix wins, that a prefix matches whole path
// segments, and that the case of the host, its port and the query are ignored.
func TestMatch(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/x/1", "short"},
		{"h.example", "/x/", "short"},
		{"h.example", "/x", ""},
		{"h.example", "/x/y/z", "long"},
		{"h.example", "/x/yz", "short"},
		{"h.example", "/x/y/", "long"},
		{"h.example:8080", "/x/y/1?q=/z/", "long"},
		{"H.EXAMPLE", "/x/1", "short"},
		{"h.example", "/", ""},
		{"h.example", "*", ""},
		{"i.example", "/anything/at/all", "other"},
		{"j.example", "/x/1", ""},
		{"", "", ""},
	} {
		got := ""
		if r := newRules(1).Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: expected route %q, got %q", c.host, c.path, c.want, got)
		}
	}
}

func TestPickFollowsWeights(t *testing.T) {
	t.Parallel()
	r := newRules(1).Match("i.example", "/")
	count := map[string]int{}
	for hash := range uint64(1000) {
		count[string(r.PickService(hash))]++
	}
	if count["a"] != 900 || count["b"] != 100 {
		t.Fatalf("expected 900 requests for a and 100 for b, got %v", count)
	}
}

// TestStateNeverGoesBack guards against an older version of the configuration that
// arrives late and replaces a newer one. The mutant shows that the comparison of
// versions is what prevents it.
func TestStateNeverGoesBack(t *testing.T) {
	t.Parallel()
	s := kcrrule.NewActiveRules(kcrrule.Newer)
	for _, step := range []struct {
		version uint64
		applied bool
		inForce uint64
	}{{3, true, 3}, {2, false, 3}, {3, false, 3}, {9, true, 9}, {4, false, 9}} {
		if got := s.Apply(newRules(step.version)); got != step.applied {
			t.Errorf("version %d: expected applied %v, got %v", step.version, step.applied, got)
		}
		if got := s.Rules().Version; got != step.inForce {
			t.Errorf("after version %d: expected %d in force, got %d", step.version, step.inForce, got)
		}
	}
	mutant := kcrrule.NewActiveRules(func(_, _ uint64) bool { return true })
	mutant.Apply(newRules(3))
	if mutant.Apply(newRules(2)); mutant.Rules().Version != 2 {
		t.Error("the mutant without the comparison of versions: expected it to go back")
	}
}

// TestKeys checks that only the keys of a team lead to it.
func TestKeys(t *testing.T) {
	t.Parallel()
	r := newRules(1)
	if r.TeamByKey("k2") == nil || r.TeamByKey("k3") != nil || r.TeamByKey("") != nil {
		t.Fatal("expected the team for k2 and for no other")
	}
}

// TestTeamShare checks that teams weigh what they have prepaid, and that those that have no limit and
// anonymous requests, which the unit of prepaid tokens says nothing about, weigh as much as the mean.
func TestTeamShare(t *testing.T) {
	t.Parallel()
	teams := []kcrrule.Team{{Name: "large", Prepaid: 15_000_000}, {Name: "small", Prepaid: 5_000_000}, {Name: "free", Prepaid: -1}, {Name: "none"}}
	rules := kcrrule.New(1, kcrrule.Limits{}, nil, teams, nil)
	for name, want := range map[kcrid.Team]float64{"large": 1.5, "small": 0.5, "free": 1, "none": 1, "anonymous": 1} {
		if got := rules.TeamShare(rules.TeamByName(name)); got != want {
			t.Errorf("%s: expected the share %v, got %v", name, want, got)
		}
	}
}
