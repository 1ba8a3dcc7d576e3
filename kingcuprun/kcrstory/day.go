package kcrstory

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// This file sums up a day: how requests ended and why, the slowest, and how old
// beliefs were.

// slowShown is how many of the slowest requests are shown.
const slowShown = 5

// Day sums up all requests.
func (l *Log) Day(w io.Writer) {
	var requests []line
	for _, e := range l.lines {
		if e.Msg == requestMsg {
			requests = append(requests, e)
		}
	}
	_, _ = fmt.Fprintf(w, "%d requests in %d lines; %d lines can't be read, %d were dropped by the processes\n", len(requests), len(l.lines), l.unread, l.dropped)
	if len(requests) == 0 {
		return
	}
	tally(w, "how requests ended", requests, func(e line) string {
		if e.Why == "" {
			return e.Outcome
		}
		return e.Outcome + ": " + e.Why
	})
	tally(w, "where they ended otherwise than served", requests, func(e line) string {
		if e.Outcome == "served" {
			return ""
		}
		return e.VM
	})
	attempts(w, requests)
	slowest(w, "longest to the answer or its first event", requests, func(e line) int64 { return e.First })
	slowest(w, "longest pause in a stream", requests, func(e line) int64 { return e.Pause })
	l.outages(w)
	l.budgets(w, requests)
}

// budget is what a day's lines tell of a team's budget.
type budget struct {
	prepaid int64
	at      uint64 // offset of the record that set it
	spent   int64
	refused int
	first   time.Time // refusal
}

// limitedWhat names the record that sets what is prepaid, and budgetWhy begins the
// reasons of refusals for lack of budget.
const (
	limitedWhat = "limited"
	budgetWhy   = "the budget"
)

// budgets prints for each team what it had paid, what it spent, and what lay idle
// of it where requests were refused: escrow that was lost, or too little for any
// request.
func (l *Log) budgets(w io.Writer, requests []line) {
	teams := map[string]*budget{}
	for _, e := range l.lines {
		if e.Msg != escrowMsg || e.What != limitedWhat {
			continue
		}
		if teams[e.Plan] == nil {
			teams[e.Plan] = &budget{}
		}
		if b := teams[e.Plan]; e.Offset >= b.at {
			b.prepaid, b.at = e.Tokens, e.Offset
		}
	}
	for _, e := range requests {
		b := teams[e.Team]
		if b == nil {
			continue
		}
		b.spent += e.Spent
		if strings.HasPrefix(e.Why, budgetWhy) {
			if b.refused == 0 {
				b.first = e.Time
			}
			b.refused++
		}
	}
	printBudgets(w, teams)
}

func printBudgets(w io.Writer, teams map[string]*budget) {
	if len(teams) == 0 {
		return
	}
	var names []string
	for name := range teams {
		names = append(names, name)
	}
	sort.Strings(names)
	_, _ = fmt.Fprintln(w, "budgets in tokens")
	for _, name := range names {
		b := teams[name]
		_, _ = fmt.Fprintf(w, "  %s  prepaid %d, spent %d (%.1f%%)", name, b.prepaid, b.spent, 100*float64(b.spent)/float64(max(1, b.prepaid)))
		if b.refused > 0 {
			_, _ = fmt.Fprintf(w, ", %d refused from %s on with %d not spent", b.refused, b.first.Format(clockForm), b.prepaid-b.spent)
		}
		_, _ = fmt.Fprintln(w)
	}
}

// tally prints how often each text occurs, the most frequent first. An empty
// text does not count.
func tally(w io.Writer, title string, lines []line, text func(line) string) {
	count := map[string]int{}
	for _, e := range lines {
		if t := text(e); t != "" {
			count[t]++
		}
	}
	print(w, title, count)
}

func print(w io.Writer, title string, count map[string]int) {
	if len(count) == 0 {
		return
	}
	var names []string
	for name := range count {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if count[names[i]] != count[names[j]] {
			return count[names[i]] > count[names[j]]
		}
		return names[i] < names[j]
	})
	_, _ = fmt.Fprintf(w, "%s\n", title)
	for _, name := range names {
		_, _ = fmt.Fprintf(w, "  %6d  %s\n", count[name], name)
	}
}

// attempts prints how attempts at upstreams ended.
func attempts(w io.Writer, requests []line) {
	count := map[string]int{}
	for _, e := range requests {
		for _, try := range strings.Split(e.Tries, "; ") {
			if words := strings.Fields(try); len(words) > 1 {
				count[words[1]]++
			}
		}
	}
	print(w, "how attempts at upstreams ended", count)
}

func slowest(w io.Writer, title string, requests []line, by func(line) int64) {
	sorted := append([]line(nil), requests...)
	sort.SliceStable(sorted, func(i, j int) bool { return by(sorted[i]) > by(sorted[j]) })
	_, _ = fmt.Fprintf(w, "%s\n", title)
	for _, e := range sorted[:min(slowShown, len(sorted))] {
		if by(e) > 0 {
			_, _ = fmt.Fprintf(w, "  %6d ms  %s at %s, team %s, %s\n", by(e), e.Req, e.VM, e.Team, e.Tries)
		}
	}
}

// outages prints when processes had lost the store.
func (l *Log) outages(w io.Writer) {
	type key struct{ vm, topic string }
	since := map[key]time.Time{}
	title := "without the store\n"
	for _, e := range l.lines {
		k := key{e.VM, e.Topic}
		switch e.Msg {
		case lostMsg:
			since[k] = e.Time
		case backMsg:
			at, ok := since[k]
			if !ok {
				continue
			}
			_, _ = fmt.Fprintf(w, "%s  %s from %s for %s (%s)\n", title, e.VM, at.Format(clockForm), e.Time.Sub(at).Round(time.Millisecond), e.Topic)
			title = ""
			delete(since, k)
		}
	}
}
