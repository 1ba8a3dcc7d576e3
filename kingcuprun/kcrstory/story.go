// Package kcrstory reads the log lines of routers and tells what became of one
// request, or of all requests of a day.
//
// It takes lines as the processes write them, also with a prefix before the
// line, as benches print them. Lines that it can't read are counted.
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

// Messages of the log that stories are made of.
const (
	requestMsg = "request"
	configMsg  = "configuration in force"
	lostMsg    = "store lost"
	backMsg    = "store back"
	escrowMsg  = "escrow"
	droppedMsg = "log lines dropped"
)

// line is one line of a log, with the fields that stories use.
type line struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Msg     string    `json:"msg"`
	VM      string    `json:"vm"`
	Req     string    `json:"req"`
	Team    string    `json:"team"`
	Route   string    `json:"route"`
	Service string    `json:"service"`
	Config  uint64    `json:"config"`
	Outcome string    `json:"outcome"`
	Why     string    `json:"why"`
	MS      int64     `json:"ms"`
	First   int64     `json:"first"`
	Pause   int64     `json:"pause"`
	Events  int       `json:"events"`
	Prompt  int64     `json:"prompt"`
	Spent   int64     `json:"spent"`
	Offset  uint64    `json:"offset"`
	Tries   string    `json:"tries"`
	Version uint64    `json:"version"`
	Topic   string    `json:"topic"`
	Err     string    `json:"err"`
	Plan    string    `json:"plan"`
	What    string    `json:"what"`
	Tokens  int64     `json:"tokens"`
	Unmet   int64     `json:"unmet"`
	Holder  string    `json:"holder"`
	Count   int64     `json:"count"`
}

// Log is what was read, in the order of time.
type Log struct {
	lines   []line
	unread  int
	dropped int64
}

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Read reads log lines.
func Read(inputs ...io.Reader) (l *Log, err error) {
	l = &Log{}
	for _, in := range inputs {
		scan := bufio.NewScanner(in)
		scan.Buffer(nil, maxLine)
		for scan.Scan() {
			l.add(scan.Text())
		}
		if err := scan.Err(); err != nil {
			return nil, fmt.Errorf("log: %w", err)
		}
	}
	sort.SliceStable(l.lines, func(i, j int) bool { return l.lines[i].Time.Before(l.lines[j].Time) })
	return l, nil
}

func (l *Log) add(text string) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return
	}
	var e line
	if err := json.Unmarshal([]byte(text[start:]), &e); err != nil {
		l.unread++
		return
	}
	if e.Msg == droppedMsg {
		l.dropped += e.Count
	}
	l.lines = append(l.lines, e)
}

// clockForm is how moments are printed.
const clockForm = "15:04:05.000"

// beliefsShown is how many records of a budget are shown for a request.
const beliefsShown = 6

// Request tells what became of a request, and what the processes believed that
// decided it. It returns an error if no line names the request.
func (l *Log) Request(w io.Writer, id string) error {
	found := false
	for _, e := range l.lines {
		if e.Msg == requestMsg && e.Req == id {
			found = true
			l.tell(w, e)
		}
	}
	if !found {
		return fmt.Errorf("request %q: expected a line of it, got none in %d lines", id, len(l.lines))
	}
	return nil
}

func (l *Log) tell(w io.Writer, e line) {
	start := e.Time.Add(-time.Duration(e.MS) * time.Millisecond)
	_, _ = fmt.Fprintf(w, "request %s of team %q at %s\n", e.Req, e.Team, e.VM)
	_, _ = fmt.Fprintf(w, "  %s taken: route %q, service %q, configuration %d%s\n", start.Format(clockForm), e.Route, e.Service, e.Config, l.since(e))
	if e.Prompt > 0 {
		_, _ = fmt.Fprintf(w, "    a prompt of %d tokens\n", e.Prompt)
	}
	for _, belief := range l.beliefs(e, start) {
		_, _ = fmt.Fprintf(w, "    %s\n", belief)
	}
	for _, try := range strings.Split(e.Tries, "; ") {
		if try != "" {
			_, _ = fmt.Fprintf(w, "    tried %s\n", try)
		}
	}
	if e.First > 0 {
		_, _ = fmt.Fprintf(w, "    first after %d ms, %d events, longest pause %d ms\n", e.First, e.Events, e.Pause)
	}
	why := ""
	if e.Why != "" {
		why = ", because: " + e.Why
	}
	_, _ = fmt.Fprintf(w, "  %s ended after %d ms: %s%s\n", e.Time.Format(clockForm), e.MS, e.Outcome, why)
}

// since tells how long the configuration of a request had been in force.
func (l *Log) since(e line) string {
	for _, c := range l.lines {
		if c.Msg == configMsg && c.VM == e.VM && c.Version == e.Config && !c.Time.After(e.Time) {
			return fmt.Sprintf(", in force for %s", e.Time.Sub(c.Time).Round(time.Millisecond))
		}
	}
	return ""
}

// beliefs returns what the process knew when the request came: whether it had
// lost the store, and where the team's budget was a matter, its last records.
func (l *Log) beliefs(e line, start time.Time) (out []string) {
	lost := map[string]time.Time{}
	var escrow []string
	for _, b := range l.lines {
		if b.VM != e.VM || b.Time.After(e.Time) {
			continue
		}
		switch {
		case b.Msg == lostMsg:
			lost[b.Topic] = b.Time
		case b.Msg == backMsg:
			delete(lost, b.Topic)
		case b.Msg == escrowMsg && b.Plan == e.Team:
			escrow = append(escrow, fmt.Sprintf("escrow %s: %s %d tokens by %s, unmet %d", b.Time.Format(clockForm), b.What, b.Tokens, b.Holder, b.Unmet))
		}
	}
	for topic, at := range lost {
		out = append(out, fmt.Sprintf("the store had not answered for %s (%s)", start.Sub(at).Round(time.Millisecond), topic))
	}
	sort.Strings(out)
	if strings.Contains(e.Why, "budget") {
		out = append(out, escrow[max(0, len(escrow)-beliefsShown):]...)
	}
	return out
}
