// Package kcrlist holds the two lists that operators publish: the plans that
// customers hold, and what each plan may use.
//
// This file defines the lists and reads them from JSON with comments. A top-up
// has a name within its plan and counts once, however often it is published.
package kcrlist

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrjson"
)

// Limits of the lists.
const (
	MaxTokens = int64(1) << 50 // per top-up
	MaxRank   = 9
	MaxAnswer = int64(1) << 20 // tokens per answer
)

// digestPrefix starts each API key in a list. Lists never hold the key itself.
const digestPrefix = "sha256:"

// Topup is a named addition to a prepaid budget.
type Topup struct {
	Name   string       `json:"name"`
	Tokens kcrid.Tokens `json:"tokens"`
}

// Plan is a prepaid budget that a team holds.
type Plan struct {
	Name   kcrid.Plan `json:"name"`
	Team   kcrid.Team `json:"team"`
	Keys   []string   `json:"keys"`
	Topups []Topup    `json:"topups"`
}

// Use is what a plan may use. A lower Rank goes first. Most bounds the tokens
// of one answer.
type Use struct {
	Plan     kcrid.Plan      `json:"plan"`
	Models   []kcrid.Model   `json:"models,omitempty"`
	Services []kcrid.Service `json:"services,omitempty"`
	Rank     int             `json:"rank"`
	Most     kcrid.Tokens    `json:"most"`
}

// Item is a plan together with its use.
type Item struct {
	Plan Plan `json:"plan"`
	Use  Use  `json:"use"`
}

// Digest returns the form of an API key that lists hold.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// Parse reads both lists and checks them against each other. The names stand
// in errors.
func Parse(plansName string, plans []byte, usesName string, uses []byte) (items map[kcrid.Plan]Item, err error) {
	items = map[kcrid.Plan]Item{}
	if err := parsePlans(plansName, plans, items); err != nil {
		return nil, err
	}
	if err := parseUses(usesName, uses, items); err != nil {
		return nil, err
	}
	return items, nil
}

func parsePlans(name string, src []byte, items map[kcrid.Plan]Item) error {
	root, err := kcrjson.Parse(name, src)
	if err != nil {
		return err
	}
	keys := map[string]bool{}
	read := func(_ int, n kcrjson.Node) error {
		plan, err := parsePlan(n, keys)
		if err != nil {
			return err
		}
		if _, ok := items[plan.Name]; ok {
			return n.Fault("each plan once", "a second "+string(plan.Name))
		}
		items[plan.Name] = Item{Plan: plan}
		return nil
	}
	return root.Object(kcrjson.Fields{
		"plans": func(n kcrjson.Node) error { return n.Array(read) },
	}, "plans")
}

func parsePlan(n kcrjson.Node, keys map[string]bool) (p Plan, err error) {
	err = n.Object(kcrjson.Fields{
		"name":   func(n kcrjson.Node) error { return kcrjson.Text(n, &p.Name) },
		"team":   func(n kcrjson.Node) error { return kcrjson.Text(n, &p.Team) },
		"keys":   func(n kcrjson.Node) error { return parseKeys(n, &p.Keys, keys) },
		"topups": func(n kcrjson.Node) error { return parseTopups(n, &p.Topups) },
	}, "name", "team", "keys", "topups")
	return p, err
}

func parseKeys(n kcrjson.Node, to *[]string, all map[string]bool) error {
	return n.Array(func(_ int, child kcrjson.Node) error {
		var key string
		if err := kcrjson.Text(child, &key); err != nil {
			return err
		}
		digits := strings.TrimPrefix(key, digestPrefix)
		raw, err := hex.DecodeString(digits)
		if digits == key || err != nil || len(raw) != sha256.Size {
			return child.Fault(`"sha256:" and 64 hexadecimal digits`, "another form")
		}
		if all[key] {
			return child.Fault("each key once in the list", "a key that stands twice")
		}
		all[key] = true
		*to = append(*to, key)
		return nil
	})
}

func parseTopups(n kcrjson.Node, to *[]Topup) error {
	seen := map[string]bool{}
	return n.Array(func(_ int, child kcrjson.Node) error {
		var t Topup
		err := child.Object(kcrjson.Fields{
			"name":   func(n kcrjson.Node) error { return kcrjson.Text(n, &t.Name) },
			"tokens": func(n kcrjson.Node) error { return kcrjson.Int(n, &t.Tokens, 1, MaxTokens) },
		}, "name", "tokens")
		if err != nil {
			return err
		}
		if seen[t.Name] {
			return child.Fault("each top-up once", "a second "+t.Name)
		}
		seen[t.Name] = true
		*to = append(*to, t)
		return nil
	})
}

func parseUses(name string, src []byte, items map[kcrid.Plan]Item) error {
	root, err := kcrjson.Parse(name, src)
	if err != nil {
		return err
	}
	read := func(_ int, n kcrjson.Node) error {
		use, err := parseUse(n)
		if err != nil {
			return err
		}
		item, ok := items[use.Plan]
		if !ok {
			return n.Fault("a plan of the list of plans", string(use.Plan))
		}
		if item.Use.Plan != "" {
			return n.Fault("each plan once", "a second "+string(use.Plan))
		}
		item.Use = use
		items[use.Plan] = item
		return nil
	}
	return root.Object(kcrjson.Fields{
		"uses": func(n kcrjson.Node) error { return n.Array(read) },
	}, "uses")
}

func parseUse(n kcrjson.Node) (u Use, err error) {
	err = n.Object(kcrjson.Fields{
		"plan":     func(n kcrjson.Node) error { return kcrjson.Text(n, &u.Plan) },
		"models":   func(n kcrjson.Node) error { return kcrjson.Texts(n, &u.Models) },
		"services": func(n kcrjson.Node) error { return kcrjson.Texts(n, &u.Services) },
		"rank":     func(n kcrjson.Node) error { return kcrjson.Int(n, &u.Rank, 0, MaxRank) },
		"most":     func(n kcrjson.Node) error { return kcrjson.Int(n, &u.Most, 1, MaxAnswer) },
	}, "plan", "most")
	return u, err
}
