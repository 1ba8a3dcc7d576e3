// Package kcrlist defines the configuration that operators publish as two
// lists: the plans of the teams, and what each plan may use.
//
// This file defines the entries of both lists and parses them from JSON with
// comments. A top-up has a name that is unique within its plan, and its tokens
// are credited once, however often the list is published.
package kcrlist

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrjson"
)

// Upper bounds of values in the lists.
const (
	MaxTopUpTokens  = int64(1) << 50 // tokens of one top-up
	MaxPriority     = 9              // the largest value, which starts last
	MaxAnswerTokens = int64(1) << 20 // tokens of one answer
)

// digestPrefix precedes the hash of each API key in a list. Lists hold hashes
// only, never the keys themselves.
const digestPrefix = "sha256:"

// TopUp adds tokens to the prepaid budget of a plan. Its name is unique within
// the plan.
type TopUp struct {
	Name   string       `json:"name"`
	Tokens kcrid.Tokens `json:"tokens"`
}

// Plan is a prepaid token budget of a team, with the digests of the API keys
// that spend from it.
type Plan struct {
	Name   kcrid.Plan `json:"name"`
	Team   kcrid.Team `json:"team"`
	Keys   []string   `json:"keys"`
	TopUps []TopUp    `json:"topups"`
}

// Allowance tells which models and services a plan may use. Requests with a lower value
// of Priority start first. MaxAnswerTokens is the maximum number of tokens of one
// answer.
type Allowance struct {
	Plan            kcrid.Plan      `json:"plan"`
	Models          []kcrid.Model   `json:"models,omitempty"`
	Services        []kcrid.Service `json:"services,omitempty"`
	Priority        int             `json:"rank"`
	MaxAnswerTokens kcrid.Tokens    `json:"most"`
}

// PlanConfig is a plan together with what it may use.
type PlanConfig struct {
	Plan      Plan      `json:"plan"`
	Allowance Allowance `json:"use"`
}

// APIKeyDigest returns the prefixed SHA-256 hash that stands for an API key in a list.
func APIKeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// Parse parses both lists and returns their configurations by plan. It returns an error if
// the second list names a plan that the first lacks. Errors quote plansName and
// allowancesName as file names.
func Parse(plansName string, plans []byte, allowancesName string, allowances []byte) (configs map[kcrid.Plan]PlanConfig, err error) {
	configs = map[kcrid.Plan]PlanConfig{}
	if err := parsePlans(plansName, plans, configs); err != nil {
		return nil, err
	}
	if err := parseAllowances(allowancesName, allowances, configs); err != nil {
		return nil, err
	}
	return configs, nil
}

// parsePlans adds a configuration for each plan of the list. An API key may stand only
// once in the whole list.
func parsePlans(name string, src []byte, configs map[kcrid.Plan]PlanConfig) error {
	root, err := kcrjson.Parse(name, src)
	if err != nil {
		return err
	}
	seenKeys := map[string]bool{}
	parseElement := func(_ int, n kcrjson.Node) error {
		plan, err := parsePlan(n, seenKeys)
		if err != nil {
			return err
		}
		if _, ok := configs[plan.Name]; ok {
			return n.NewError("each plan once", "a second "+string(plan.Name))
		}
		configs[plan.Name] = PlanConfig{Plan: plan}
		return nil
	}
	return root.Object(kcrjson.Fields{
		"plans": func(n kcrjson.Node) error { return n.Array(parseElement) },
	}, "plans")
}

func parsePlan(n kcrjson.Node, seenKeys map[string]bool) (p Plan, err error) {
	err = n.Object(kcrjson.Fields{
		"name":   func(n kcrjson.Node) error { return kcrjson.String(n, &p.Name) },
		"team":   func(n kcrjson.Node) error { return kcrjson.String(n, &p.Team) },
		"keys":   func(n kcrjson.Node) error { return parseKeys(n, &p.Keys, seenKeys) },
		"topups": func(n kcrjson.Node) error { return parseTopUps(n, &p.TopUps) },
	}, "name", "team", "keys", "topups")
	return p, err
}

// parseKeys appends the key digests of one plan to keys. The digests of all
// plans read so far are in seen.
func parseKeys(n kcrjson.Node, keys *[]string, seen map[string]bool) error {
	return n.Array(func(_ int, child kcrjson.Node) error {
		var key string
		if err := kcrjson.String(child, &key); err != nil {
			return err
		}
		digits := strings.TrimPrefix(key, digestPrefix)
		hash, err := hex.DecodeString(digits)
		if digits == key || err != nil || len(hash) != sha256.Size {
			return child.NewError(`"sha256:" and 64 hexadecimal digits`, "another form")
		}
		if seen[key] {
			return child.NewError("each key once in the list", "a key that stands twice")
		}
		seen[key] = true
		*keys = append(*keys, key)
		return nil
	})
}

// parseTopUps appends the top-ups of one plan to topUps.
func parseTopUps(n kcrjson.Node, topUps *[]TopUp) error {
	seen := map[string]bool{}
	return n.Array(func(_ int, child kcrjson.Node) error {
		var t TopUp
		err := child.Object(kcrjson.Fields{
			"name":   func(n kcrjson.Node) error { return kcrjson.String(n, &t.Name) },
			"tokens": func(n kcrjson.Node) error { return kcrjson.Int(n, &t.Tokens, 1, MaxTopUpTokens) },
		}, "name", "tokens")
		if err != nil {
			return err
		}
		if seen[t.Name] {
			return child.NewError("each top-up once", "a second "+t.Name)
		}
		seen[t.Name] = true
		*topUps = append(*topUps, t)
		return nil
	})
}

// parseAllowances adds the entries of the list of uses to the configurations of their
// plans.
func parseAllowances(name string, src []byte, configs map[kcrid.Plan]PlanConfig) error {
	root, err := kcrjson.Parse(name, src)
	if err != nil {
		return err
	}
	parseElement := func(_ int, n kcrjson.Node) error {
		allowance, err := parseAllowance(n)
		if err != nil {
			return err
		}
		config, ok := configs[allowance.Plan]
		if !ok {
			return n.NewError("a plan of the list of plans", string(allowance.Plan))
		}
		if config.Allowance.Plan != "" {
			return n.NewError("each plan once", "a second "+string(allowance.Plan))
		}
		config.Allowance = allowance
		configs[allowance.Plan] = config
		return nil
	}
	return root.Object(kcrjson.Fields{
		"uses": func(n kcrjson.Node) error { return n.Array(parseElement) },
	}, "uses")
}

func parseAllowance(n kcrjson.Node) (a Allowance, err error) {
	err = n.Object(kcrjson.Fields{
		"plan":     func(n kcrjson.Node) error { return kcrjson.String(n, &a.Plan) },
		"models":   func(n kcrjson.Node) error { return kcrjson.Strings(n, &a.Models) },
		"services": func(n kcrjson.Node) error { return kcrjson.Strings(n, &a.Services) },
		"rank":     func(n kcrjson.Node) error { return kcrjson.Int(n, &a.Priority, 0, MaxPriority) },
		"most":     func(n kcrjson.Node) error { return kcrjson.Int(n, &a.MaxAnswerTokens, 1, MaxAnswerTokens) },
	}, "plan", "most")
	return a, err
}
