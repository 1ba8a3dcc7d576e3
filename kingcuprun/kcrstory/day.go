package kcrstory

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// This file defines the summary of all requests in the logs: how they ended and why, the
// slowest ones, the times without the store, and the budgets of teams. Every list that it
// prints is sorted, so equal logs give equal summaries.

// maxSlowest bounds the list of the slowest requests.
const maxSlowest = 5

// PrintSummary prints a summary of all requests in the logs.
func (l *ProcessLogs) PrintSummary(w io.Writer) {
	var requests []logLine
	for _, e := range l.lines {
		if e.Message == requestMsg {
			requests = append(requests, e)
		}
	}
	_, _ = fmt.Fprintf(w, "%d requests in %d lines; %d lines can't be read, %d were dropped by the processes\n", len(requests), len(l.lines), l.undecodable, l.dropped)
	if len(requests) == 0 {
		return
	}
	printCounts(w, "how requests ended", requests, func(e logLine) string {
		if e.Reason == "" {
			return e.Outcome
		}
		return e.Outcome + ": " + e.Reason
	})
	printCounts(w, "where they ended otherwise than served", requests, func(e logLine) string {
		if e.Outcome == "served" {
			return ""
		}
		return e.VM
	})
	printAttempts(w, requests)
	printSlowest(w, "longest to the answer or its first event", requests, func(e logLine) int64 { return e.FirstMS })
	printSlowest(w, "longest pause in a stream", requests, func(e logLine) int64 { return e.LongestPauseMS })
	l.printOutages(w)
	l.printBudgets(w, requests)
}

// teamBudget is the budget of a team as far as the logs show it. Amounts are in tokens.
type teamBudget struct {
	prepaid       int64
	prepaidOffset uint64 // offset of the record that set prepaid
	spent         int64
	refused       int
	firstRefusal  time.Time
}

// limitedEvent is the escrow event that sets the prepaid tokens of a plan.
// budgetReasonPrefix is the prefix of the reasons of refusals for lack of budget.
const (
	limitedEvent       = "limited"
	budgetReasonPrefix = "the budget"
)

// printBudgets prints for each team the tokens that it has prepaid and spent. If requests
// were refused for lack of budget, it also prints the tokens that were not spent: they are
// escrow that was lost, or too few for any request.
func (l *ProcessLogs) printBudgets(w io.Writer, requests []logLine) {
	teams := map[string]*teamBudget{}
	for _, e := range l.lines {
		if e.Message != escrowMsg || e.EscrowEvent != limitedEvent {
			continue
		}
		if teams[e.Plan] == nil {
			teams[e.Plan] = &teamBudget{}
		}
		if budget := teams[e.Plan]; e.Offset >= budget.prepaidOffset {
			budget.prepaid, budget.prepaidOffset = e.Tokens, e.Offset
		}
	}
	for _, e := range requests {
		budget := teams[e.Team]
		if budget == nil {
			continue
		}
		budget.spent += e.SpentTokens
		if strings.HasPrefix(e.Reason, budgetReasonPrefix) {
			if budget.refused == 0 {
				budget.firstRefusal = e.Time
			}
			budget.refused++
		}
	}
	printTeamBudgets(w, teams)
}

// printTeamBudgets prints one line for each team, sorted by name.
func printTeamBudgets(w io.Writer, teams map[string]*teamBudget) {
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
		budget := teams[name]
		_, _ = fmt.Fprintf(w, "  %s  prepaid %d, spent %d (%.1f%%)", name, budget.prepaid, budget.spent, 100*float64(budget.spent)/float64(max(1, budget.prepaid)))
		if budget.refused > 0 {
			_, _ = fmt.Fprintf(w, ", %d refused from %s on with %d not spent", budget.refused, budget.firstRefusal.Format(clockFormat), budget.prepaid-budget.spent)
		}
		_, _ = fmt.Fprintln(w)
	}
}

// printCounts prints how often text returns each value for the lines, the most frequent
// value first. It skips empty values.
func printCounts(w io.Writer, title string, lines []logLine, text func(logLine) string) {
	counts := map[string]int{}
	for _, e := range lines {
		if t := text(e); t != "" {
			counts[t]++
		}
	}
	printTable(w, title, counts)
}

// printTable prints a title and the names with their counts, the highest count first. It
// prints nothing if there are no counts.
func printTable(w io.Writer, title string, counts map[string]int) {
	if len(counts) == 0 {
		return
	}
	var names []string
	for name := range counts {
		names = append(names, name)
	}
	sort.Slice(names, func(i, j int) bool {
		if counts[names[i]] != counts[names[j]] {
			return counts[names[i]] > counts[names[j]]
		}
		return names[i] < names[j]
	})
	_, _ = fmt.Fprintf(w, "%s\n", title)
	for _, name := range names {
		_, _ = fmt.Fprintf(w, "  %6d  %s\n", counts[name], name)
	}
}

// printAttempts prints how often each outcome of an attempt at an upstream occurred.
func printAttempts(w io.Writer, requests []logLine) {
	counts := map[string]int{}
	for _, e := range requests {
		for _, attempt := range strings.Split(e.Attempts, "; ") {
			if fields := strings.Fields(attempt); len(fields) > 1 {
				counts[fields[1]]++
			}
		}
	}
	printTable(w, "how attempts at upstreams ended", counts)
}

// printSlowest prints the requests with the longest durations, the longest first.
// duration returns the milliseconds to compare; requests of which it returns 0 are left
// out.
func printSlowest(w io.Writer, title string, requests []logLine, duration func(logLine) int64) {
	sorted := append([]logLine(nil), requests...)
	sort.SliceStable(sorted, func(i, j int) bool { return duration(sorted[i]) > duration(sorted[j]) })
	_, _ = fmt.Fprintf(w, "%s\n", title)
	for _, e := range sorted[:min(maxSlowest, len(sorted))] {
		if duration(e) > 0 {
			_, _ = fmt.Fprintf(w, "  %6d ms  %s at %s, team %s, %s\n", duration(e), e.Request, e.VM, e.Team, e.Attempts)
		}
	}
}

// printOutages prints from when and for how long each process was without the store. It
// leaves out an outage that lasts to the end of the logs.
func (l *ProcessLogs) printOutages(w io.Writer) {
	type subscription struct{ vm, topic string }
	lostSince := map[subscription]time.Time{}
	title := "without the store\n"
	for _, e := range l.lines {
		sub := subscription{e.VM, e.Topic}
		switch e.Message {
		case lostMsg:
			lostSince[sub] = e.Time
		case backMsg:
			start, ok := lostSince[sub]
			if !ok {
				continue
			}
			_, _ = fmt.Fprintf(w, "%s  %s from %s for %s (%s)\n", title, e.VM, start.Format(clockFormat), e.Time.Sub(start).Round(time.Millisecond), e.Topic)
			title = ""
			delete(lostSince, sub)
		}
	}
}
