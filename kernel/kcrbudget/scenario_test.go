package kcrbudget

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrentry"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
)

// stage runs the scenarios in testdata. Each line of a scenario is one event;
// nothing happens by itself. The commands:
//
//	home NAME              start a home
//	server NAME            start a sidecar
//	mutant NAME            take a safeguard out of what starts later
//	credit via=H name=N tokens=T
//	append H [n=N]         put the home's entries on the log
//	read H [n=N]           let the home read the log, to its end without n
//	sync                   append and read until nothing changes
//	ask H server=S key=K worst=W
//	fund H server=S key=K worst=W   ask and sync until it is granted
//	serve S key=K tokens=T
//	settle S key=K state=whole|broken
//	lose H server=S        the home closes a sidecar
//	suspect H holder=H2    the home fences another
//	collect H              the home gathers what evidence it can get
//	kill S                 a sidecar dies
//	at T                   set the clock, in ms
//	tick H
//	show                   the account, the grants, what was served
type stage struct {
	now     kcrclock.Time
	ledger  LedgerRules
	rules   HomeRules
	meter   MeterRules
	log     []*kcrentry.Entry
	homes   map[string]*stageHome
	names   []string
	servers map[string]*Meter
	runs    map[string]*stageRun
	served  kcrid.Tokens
}

type stageHome struct {
	home   *Home
	cursor int
}

type stageRun struct {
	home   *stageHome
	server string
	id     uint64
	worst  kcrid.Tokens
}

const stagePlan = kcrid.Plan("plan")

func TestScenarios(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &stage{
			ledger: DefaultLedgerRules(), rules: DefaultHomeRules(), meter: DefaultMeterRules(),
			homes: map[string]*stageHome{}, servers: map[string]*Meter{}, runs: map[string]*stageRun{},
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				if got := s.do(line); got != "" {
					out.WriteString(got + "\n")
				}
			}
			return out.String()
		})
	})
}

// command is a line of a scenario.
type command struct {
	verb, name string
	args       map[string]string
}

func parseCommand(line string) command {
	c := command{args: map[string]string{}}
	for i, word := range strings.Fields(line) {
		key, value, ok := strings.Cut(word, "=")
		switch {
		case i == 0:
			c.verb = word
		case ok:
			c.args[key] = value
		default:
			c.name = word
		}
	}
	return c
}

func (c command) number(key string, otherwise int) int {
	n := otherwise
	_, _ = fmt.Sscan(c.args[key], &n)
	return n
}

func (s *stage) do(line string) string {
	c := parseCommand(line)
	switch c.verb {
	case "":
		return ""
	case "home":
		s.homes[c.name] = &stageHome{home: NewHome(Config{
			Self: kcrid.Incarnation(c.name), Rules: s.rules, LedgerRules: s.ledger, Policy: ByDemand(kcrclock.Hour),
		})}
		s.names = append(s.names, c.name)
	case "server":
		s.servers[c.name] = NewMeter(s.meter)
	case "mutant":
		return s.mutant(c.name)
	case "credit":
		s.homes[c.args["via"]].home.Credit(stagePlan, c.args["name"], kcrid.Tokens(c.number("tokens", 0)))
	case "append":
		s.append(s.homes[c.name], c.number("n", 1000))
	case "read":
		s.read(s.homes[c.name], c.number("n", 1000))
	case "sync":
		s.sync()
	case "at":
		_, _ = fmt.Sscan(c.name, &s.now)
	case "tick":
		s.homes[c.name].home.Tick(s.now)
	case "kill":
		delete(s.servers, c.name)
	default:
		return s.act(c)
	}
	return ""
}

func (s *stage) act(c command) string {
	switch c.verb {
	case "ask":
		return s.ask(c)
	case "fund":
		return s.fund(c)
	case "serve":
		return s.serve(c)
	case "settle":
		return s.settle(c)
	case "lose":
		s.homes[c.name].home.Lose(s.now, kcrid.Incarnation(c.args["server"]))
	case "suspect":
		s.homes[c.name].home.Suspect(kcrid.Incarnation(c.args["holder"]))
	case "collect":
		return s.collect(s.homes[c.name])
	case "show":
		return s.show()
	default:
		return "unknown command " + c.verb
	}
	return ""
}

func (s *stage) mutant(name string) string {
	switch name {
	case "closing":
		s.rules.Closing = func(bool) bool { return false }
	case "deposed":
		s.ledger.Deposed = func(kcrid.Offset) bool { return false }
		s.rules.InOffice = func(kcrid.Offset) bool { return true }
	default:
		return "unknown mutant " + name
	}
	return ""
}

func (s *stage) append(h *stageHome, n int) {
	records, _ := h.home.Batch(n)
	for _, data := range records {
		e, err := kcrlog.Decode(data)
		if err != nil {
			panic(err)
		}
		s.log = append(s.log, e)
	}
}

func (s *stage) read(h *stageHome, n int) {
	for ; n > 0 && h.cursor < len(s.log); n-- {
		h.home.Apply(s.now, kcrid.Offset(h.cursor+1), s.log[h.cursor])
		h.cursor++
	}
	if h.cursor == len(s.log) {
		h.home.Ready()
	}
}

func (s *stage) sync() {
	for before := -1; before != len(s.log); {
		before = len(s.log)
		for _, name := range s.names {
			s.read(s.homes[name], 1000)
			s.append(s.homes[name], 1000)
			s.read(s.homes[name], 1000)
		}
	}
	for _, name := range s.names {
		s.read(s.homes[name], 1000)
	}
}

func (s *stage) ask(c command) string {
	h, key, worst := s.homes[c.name], c.args["key"], kcrid.Tokens(c.number("worst", 1))
	ans := h.home.Reserve(s.now, Ask{
		Call: kcrid.Call{Team: "team", Key: kcrid.Key(key)}, Plan: stagePlan,
		Server: kcrid.Incarnation(c.args["server"]), Worst: worst, Last: true,
	})
	if ans.Code != Granted {
		return fmt.Sprintf("%s: %s", key, ans.Code)
	}
	m := s.servers[c.args["server"]]
	if err := m.Begin(h.home.Self(), ans.ID, stagePlan, worst); err != nil {
		return fmt.Sprintf("%s: %v", key, err)
	}
	s.runs[key] = &stageRun{home: h, server: c.args["server"], id: ans.ID, worst: worst}
	return fmt.Sprintf("%s: granted %d by %s", key, worst, h.home.Self())
}

func (s *stage) fund(c command) (out string) {
	for range 6 {
		if out = s.ask(c); s.runs[c.args["key"]] != nil {
			return out
		}
		s.sync()
	}
	return out
}

func (s *stage) serve(c command) string {
	r, tokens := s.runs[c.args["key"]], kcrid.Tokens(c.number("tokens", 0))
	if r == nil {
		return c.args["key"] + ": does not run"
	}
	if err := s.servers[c.name].Use(r.home.home.Self(), r.id, tokens); err != nil {
		return fmt.Sprintf("%s: %v", c.args["key"], err)
	}
	s.served += tokens
	return ""
}

func (s *stage) settle(c command) string {
	key := c.args["key"]
	r := s.runs[key]
	if r == nil {
		return key + ": does not run"
	}
	used := s.servers[c.name].End(r.home.home.Self(), r.id)
	r.home.home.Settle(s.now, kcrid.Incarnation(c.name), Report{Lines: []Line{{
		ID: r.id, Call: kcrid.Call{Team: "team", Key: kcrid.Key(key)}, Plan: stagePlan, Tokens: used, State: State(c.args["state"]),
	}}})
	return ""
}

func (s *stage) collect(h *stageHome) string {
	var out []string
	for _, o := range h.home.Orders() {
		m := s.servers[string(o.Server)]
		if m == nil {
			out = append(out, fmt.Sprintf("%s on %s: no answer", o.Server, o.Holder))
			continue
		}
		ev := m.Fence(o.Holder)
		h.home.Evidence(s.now, o, ev)
		out = append(out, fmt.Sprintf("%s on %s: %v, %d running", o.Server, o.Holder, ev.Used, ev.Running))
	}
	return strings.Join(out, "\n")
}

func (s *stage) show() string {
	l := NewLedger(s.ledger)
	for i, e := range s.log {
		l.Apply(kcrid.Offset(i+1), e)
	}
	a := l.Account(stagePlan)
	out := []string{fmt.Sprintf("prepaid %d available %d granted %d settled %d served %d", a.Prepaid, a.Available(), a.Allotted, a.Settled, s.served)}
	for _, name := range s.names {
		if g := l.Grant(kcrid.Incarnation(name), stagePlan); g != (Grant{}) {
			out = append(out, fmt.Sprintf("%s holds %d, reported %d spent", name, g.Amount, g.Spent))
		}
	}
	if s.served > a.Prepaid {
		out = append(out, "OVERSPENT")
	}
	return strings.Join(out, "\n")
}
