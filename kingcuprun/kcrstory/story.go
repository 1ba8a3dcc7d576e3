// Package kcrstory reads the log lines of routers and reports the outcome of one request,
// or of all requests of a day.
//
// It takes lines as the processes write them, JSON objects, also with a prefix before the
// object, as benches print them. It ignores lines without an object and counts those whose
// object it can't decode.
//
// This file defines ProcessLogs, which holds the lines sorted by time, and the report on one
// request.
package kcrstory

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"
)

// Messages of the log lines that the reports use.
const (
	requestMsg = "request"
	configMsg  = "configuration in force"
	lostMsg    = "store lost"
	backMsg    = "store back"
	escrowMsg  = "escrow"
	droppedMsg = "log lines dropped"
)

// logLine is one line of a log, with the attributes that the reports use. The meaning of
// an attribute depends on the message.
type logLine struct {
	Time           time.Time `json:"time"`
	Level          string    `json:"level"`
	Message        string    `json:"msg"`
	VM             string    `json:"vm"`
	Request        string    `json:"req"`
	Team           string    `json:"team"`
	Route          string    `json:"route"`
	Service        string    `json:"service"`
	ConfigVersion  uint64    `json:"config"`
	Outcome        string    `json:"outcome"`
	Reason         string    `json:"why"`
	DurationMS     int64     `json:"ms"`
	FirstMS        int64     `json:"first"` // time to the answer or its first event
	LongestPauseMS int64     `json:"pause"` // between two events of a stream
	Events         int       `json:"events"`
	PromptTokens   int64     `json:"prompt"`
	SpentTokens    int64     `json:"spent"`
	Offset         uint64    `json:"offset"` // of the record in the log of the platform
	Attempts       string    `json:"tries"`  // separated by "; ", each begins with the upstream and the outcome
	Version        version   `json:"version"`
	Topic          string    `json:"topic"`
	Err            string    `json:"err"`
	Plan           string    `json:"plan"`
	EscrowEvent    string    `json:"what"`
	Tokens         int64     `json:"tokens"`
	UnmetTokens    int64     `json:"unmet"`
	Holder         string    `json:"holder"`
	Count          int64     `json:"count"`
}

// ProcessLogs holds the lines read from the logs of one or more processes, sorted by time.
type ProcessLogs struct {
	lines       []logLine
	undecodable int   // lines whose object could not be decoded
	dropped     int64 // lines that the processes report as dropped, thus not written
}

// maxLineBytes bounds a line of a log.
const maxLineBytes = 1 << 20

// Read reads the log lines of all inputs and sorts them by time. It returns an error if an
// input can't be read or has a line of more than 1 MiB.
func Read(inputs ...io.Reader) (l *ProcessLogs, err error) {
	l = &ProcessLogs{}
	for _, input := range inputs {
		scanner := bufio.NewScanner(input)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			l.add(scanner.Text())
		}
		if err := scanner.Err(); err != nil {
			return nil, fmt.Errorf("log: %w", err)
		}
	}
	sort.SliceStable(l.lines, func(i, j int) bool { return l.lines[i].Time.Before(l.lines[j].Time) })
	return l, nil
}

// add decodes a line of text and appends it. The object starts at the first brace.
func (l *ProcessLogs) add(text string) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var e logLine
	if err := json.Unmarshal([]byte(text[start:]), &e); err != nil {
		l.undecodable++
		return
	}
	if e.Message == droppedMsg {
		l.dropped += e.Count
	}
	l.lines = append(l.lines, e)
}

// clockFormat is the layout of the times that reports print.
const clockFormat = "15:04:05.000"

// maxEscrowEvents bounds the escrow events that the report on a request shows.
const maxEscrowEvents = 6

// PrintRequest prints the outcome of a request and what its router knew about the
// configuration, the store and the budget at that time. It returns an error if no line
// names the request.
func (l *ProcessLogs) PrintRequest(w io.Writer, id string) error {
	found := false
	for _, e := range l.lines {
		if e.Message == requestMsg && e.Request == id {
			found = true
			l.printRequestLine(w, e)
		}
	}
	if !found {
		return fmt.Errorf("request %q: expected a line of it, got none in %d lines", id, len(l.lines))
	}
	return nil
}

// printRequestLine prints the report on one line of a request.
func (l *ProcessLogs) printRequestLine(w io.Writer, e logLine) {
	start := e.Time.Add(-time.Duration(e.DurationMS) * time.Millisecond)
	_, _ = fmt.Fprintf(w, "request %s of team %q at %s\n", e.Request, e.Team, e.VM)
	_, _ = fmt.Fprintf(w, "  %s taken: route %q, service %q, configuration %d%s\n", start.Format(clockFormat), e.Route, e.Service, e.ConfigVersion, l.configAge(e))
	if e.PromptTokens > 0 {
		_, _ = fmt.Fprintf(w, "    a prompt of %d tokens\n", e.PromptTokens)
	}
	for _, observation := range l.observations(e, start) {
		_, _ = fmt.Fprintf(w, "    %s\n", observation)
	}
	for _, attempt := range strings.Split(e.Attempts, "; ") {
		if attempt != "" {
			_, _ = fmt.Fprintf(w, "    tried %s\n", attempt)
		}
	}
	if e.FirstMS > 0 {
		_, _ = fmt.Fprintf(w, "    first after %d ms, %d events, longest pause %d ms\n", e.FirstMS, e.Events, e.LongestPauseMS)
	}
	reason := ""
	if e.Reason != "" {
		reason = ", because: " + e.Reason
	}
	_, _ = fmt.Fprintf(w, "  %s ended after %d ms: %s%s\n", e.Time.Format(clockFormat), e.DurationMS, e.Outcome, reason)
}

// configAge returns the text that says how long the configuration of a request had been in
// force at its end, or nothing if no line says when it came into force.
func (l *ProcessLogs) configAge(e logLine) string {
	for _, c := range l.lines {
		if c.Message == configMsg && c.VM == e.VM && c.Version.config == e.ConfigVersion && !c.Time.After(e.Time) {
			return fmt.Sprintf(", in force for %s", e.Time.Sub(c.Time).Round(time.Millisecond))
		}
	}
	return ""
}

// observations returns what the process of a request had logged before the request ended:
// for how long the store had not answered, and if the outcome depended on the team's
// budget, the last escrow events of that budget.
func (l *ProcessLogs) observations(e logLine, start time.Time) (observations []string) {
	lostSince := map[string]time.Time{}
	var escrowEvents []string
	for _, earlier := range l.lines {
		if earlier.VM != e.VM || earlier.Time.After(e.Time) {
			continue
		}
		switch {
		case earlier.Message == lostMsg:
			lostSince[earlier.Topic] = earlier.Time
		case earlier.Message == backMsg:
			delete(lostSince, earlier.Topic)
		case earlier.Message == escrowMsg && earlier.Plan == e.Team:
			escrowEvents = append(escrowEvents, fmt.Sprintf("escrow %s: %s %d tokens by %s, unmet %d", earlier.Time.Format(clockFormat), earlier.EscrowEvent, earlier.Tokens, earlier.Holder, earlier.UnmetTokens))
		}
	}
	for topic, since := range lostSince {
		observations = append(observations, fmt.Sprintf("the store had not answered for %s (%s)", start.Sub(since).Round(time.Millisecond), topic))
	}
	sort.Strings(observations)
	if strings.Contains(e.Reason, "budget") {
		observations = append(observations, escrowEvents[max(0, len(escrowEvents)-maxEscrowEvents):]...)
	}
	return observations
}
