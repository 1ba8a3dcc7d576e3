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

// scenario runs a script in testdata. Each line of a script is one event; nothing
// happens between the lines. The commands:
//
//	home NAME              start a home
//	server NAME            start a sidecar
//	mutant NAME            remove a safety check from the homes that start later
//	credit via=H name=N tokens=T
//	                       let a home add prepaid tokens to the plan
//	append H [n=N]         append the home's records to the log
//	read H [n=N]           let the home read N records of the log, by default all
//	sync                   append and read until nothing changes
//	ask H server=S key=K worst=W
//	                       request a reservation of W tokens and begin the run
//	fund H server=S key=K worst=W
//	                       ask and sync until the reservation is granted
//	serve S key=K tokens=T serve tokens of a run
//	settle S key=K state=whole|broken
//	                       end a run and report it to the home
//	lose H server=S        let the home close a sidecar that is gone
//	suspect H holder=H2    let the home fence another home
//	collect H              let the home collect the evidence that it can get
//	kill S                 stop a sidecar for good
//	at T                   set the clock, in ms
//	tick H                 let the home do its periodic work
//	show                   print the account, the grants and the served tokens
type scenario struct {
	now     kcrclock.Time
	ledger  LedgerRules
	rules   HomeRules
	meter   MeterRules
	log     []*kcrentry.Entry
	homes   map[string]*scenarioHome
	names   []string
	servers map[string]*Meter
	runs    map[string]*scenarioRun
	served  kcrid.Tokens
}

// scenarioHome is a home and the number of log records that it has read.
type scenarioHome struct {
	home   *Home
	cursor int
}

// scenarioRun is a run at a sidecar under a home's reservation.
type scenarioRun struct {
	home      *scenarioHome
	server    string
	id        uint64
	worstCase kcrid.Tokens
}

// scenarioPlan is the only plan of a script.
const scenarioPlan = kcrid.Plan("plan")

// TestScenarios runs the scripts in testdata and compares their output.
func TestScenarios(t *testing.T) {
	t.Parallel()
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		s := &scenario{
			ledger: DefaultLedgerRules(), rules: DefaultHomeRules(), meter: DefaultMeterRules(),
			homes: map[string]*scenarioHome{}, servers: map[string]*Meter{}, runs: map[string]*scenarioRun{},
		}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var output strings.Builder
			for _, line := range strings.Split(d.Input, "\n") {
				if got := s.execute(line); got != "" {
					output.WriteString(got + "\n")
				}
			}
			return output.String()
		})
	})
}

// command is a parsed line of a script.
type command struct {
	verb, name string
	args       map[string]string
}

// parseCommand parses a line: the command, an optional name, and key=value pairs.
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

// number returns a numeric argument, or defaultValue if it is missing.
func (c command) number(key string, defaultValue int) int {
	n := defaultValue
	_, _ = fmt.Sscan(c.args[key], &n)
	return n
}

// execute runs one line and returns its output.
func (s *scenario) execute(line string) string {
	c := parseCommand(line)
	switch c.verb {
	case "":
		return ""
	case "home":
		s.homes[c.name] = &scenarioHome{home: NewHome(HomeConfig{
			Self: kcrid.Incarnation(c.name), Rules: s.rules, LedgerRules: s.ledger, Policy: DemandPolicy(kcrclock.Hour),
		})}
		s.names = append(s.names, c.name)
	case "server":
		s.servers[c.name] = NewMeter(s.meter)
	case "mutant":
		return s.mutant(c.name)
	case "credit":
		s.homes[c.args["via"]].home.Credit(scenarioPlan, c.args["name"], kcrid.Tokens(c.number("tokens", 0)))
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
		return s.executeRequest(c)
	}
	return ""
}

// executeRequest runs the commands that concern requests and recoveries.
func (s *scenario) executeRequest(c command) string {
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
		s.homes[c.name].home.CloseServer(s.now, kcrid.Incarnation(c.args["server"]))
	case "suspect":
		s.homes[c.name].home.StartRecovery(kcrid.Incarnation(c.args["holder"]))
	case "collect":
		return s.collect(s.homes[c.name])
	case "show":
		return s.show()
	default:
		return "unknown command " + c.verb
	}
	return ""
}

// mutant removes a safety check from the homes that start later.
func (s *scenario) mutant(name string) string {
	switch name {
	case "closing":
		s.rules.IsClosing = func(bool) bool { return false }
	case "deposed":
		s.ledger.IsFenced = func(kcrid.Offset) bool { return false }
		s.rules.NotFenced = func(kcrid.Offset) bool { return true }
	default:
		return "unknown mutant " + name
	}
	return ""
}

func (s *scenario) append(h *scenarioHome, n int) {
	records, _ := h.home.Batch(n)
	for _, data := range records {
		e, err := kcrlog.DecodeEntry(data)
		if err != nil {
			panic(err)
		}
		s.log = append(s.log, e)
	}
}

func (s *scenario) read(h *scenarioHome, n int) {
	for ; n > 0 && h.cursor < len(s.log); n-- {
		h.home.Apply(s.now, kcrid.Offset(h.cursor+1), s.log[h.cursor])
		h.cursor++
	}
	if h.cursor == len(s.log) {
		h.home.MarkReady()
	}
}

func (s *scenario) sync() {
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

func (s *scenario) ask(c command) string {
	h, key, worstCase := s.homes[c.name], c.args["key"], kcrid.Tokens(c.number("worst", 1))
	result := h.home.Reserve(s.now, ReserveRequest{
		Call: kcrid.CallID{Team: "team", Key: kcrid.IdempotencyKey(key)}, Plan: scenarioPlan,
		Server: kcrid.Incarnation(c.args["server"]), WorstCase: worstCase, NoPending: true,
	})
	if result.Outcome != Granted {
		return fmt.Sprintf("%s: %s", key, result.Outcome)
	}
	m := s.servers[c.args["server"]]
	if err := m.Begin(h.home.Self(), result.ID, scenarioPlan, worstCase); err != nil {
		return fmt.Sprintf("%s: %v", key, err)
	}
	s.runs[key] = &scenarioRun{home: h, server: c.args["server"], id: result.ID, worstCase: worstCase}
	return fmt.Sprintf("%s: granted %d by %s", key, worstCase, h.home.Self())
}

func (s *scenario) fund(c command) (output string) {
	for range 6 {
		if output = s.ask(c); s.runs[c.args["key"]] != nil {
			return output
		}
		s.sync()
	}
	return output
}

func (s *scenario) serve(c command) string {
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

func (s *scenario) settle(c command) string {
	key := c.args["key"]
	r := s.runs[key]
	if r == nil {
		return key + ": does not run"
	}
	used := s.servers[c.name].End(r.home.home.Self(), r.id)
	r.home.home.Settle(s.now, kcrid.Incarnation(c.name), SettlementReport{Settlements: []Settlement{{
		ID: r.id, Call: kcrid.CallID{Team: "team", Key: kcrid.IdempotencyKey(key)}, Plan: scenarioPlan, Tokens: used, Outcome: RunOutcome(c.args["state"]),
	}}})
	return ""
}

func (s *scenario) collect(h *scenarioHome) string {
	var lines []string
	for _, req := range h.home.MissingEvidence() {
		m := s.servers[string(req.Server)]
		if m == nil {
			lines = append(lines, fmt.Sprintf("%s on %s: no answer", req.Server, req.Holder))
			continue
		}
		ev := m.Fence(req.Holder)
		h.home.AddEvidence(s.now, req, ev)
		lines = append(lines, fmt.Sprintf("%s on %s: %v, %d running", req.Server, req.Holder, ev.Used, ev.Running))
	}
	return strings.Join(lines, "\n")
}

// show applies the log to a new ledger and prints the account, the open grants and
// the served tokens.
func (s *scenario) show() string {
	l := NewLedger(s.ledger)
	for i, e := range s.log {
		l.Apply(kcrid.Offset(i+1), e)
	}
	a := l.Account(scenarioPlan)
	lines := []string{fmt.Sprintf("prepaid %d available %d granted %d settled %d served %d", a.Prepaid, a.Available(), a.Granted, a.Settled, s.served)}
	for _, name := range s.names {
		if g := l.Grant(kcrid.Incarnation(name), scenarioPlan); g != (Grant{}) {
			lines = append(lines, fmt.Sprintf("%s holds %d, reported %d spent", name, g.Amount, g.Spent))
		}
	}
	if s.served > a.Prepaid {
		lines = append(lines, "OVERSPENT")
	}
	return strings.Join(lines, "\n")
}
