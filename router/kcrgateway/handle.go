package kcrgateway

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplace"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrhttp"
)

// This file decides on a request before its first attempt: where it leads, who
// calls, and whether the team can pay for it.

// usage is what a generation asks for, in tokens.
type usage struct {
	known  bool
	prompt kcrid.Tokens
	output kcrid.Tokens
	parts  []kcrplace.Part
}

func (u *usage) worst() kcrid.Tokens { return u.prompt + u.output }

// Times to come back after a refusal.
const (
	retrySoon   = 150 * kcrclock.Millisecond // the reason passes by itself
	retryLater  = 700 * kcrclock.Millisecond // something has to come back
	retryNever  = 30 * kcrclock.Second
	mostTimeout = 60 * kcrclock.Second // where neither caller nor route sets one
	// budgetWaitPart is the part of the aim that a request may wait for escrow.
	budgetWaitPart = 2
)

// handle answers the request.
func (x *exchange) handle() {
	if x.admit() && x.reserve() {
		x.spent = x.forward()
		if x.metered() {
			x.g.config.Purse.Settle(x.team.Name, x.usage.worst(), x.spent)
		}
	}
	x.log()
}

// metered tells whether the request draws on a budget.
func (x *exchange) metered() bool { return x.usage.known && x.team != nil && x.team.Prepaid >= 0 }

// admit finds the route, the team and the service, and checks that the request
// may run. It answers and returns false where the request can't go on.
func (x *exchange) admit() bool {
	if !x.match() || !x.measure() {
		return false
	}
	if x.g.stopping.Load() && !x.endsInTime() {
		return x.refuse(statusUnavailable, "the router stops", retrySoon)
	}
	if len(x.body) > 0 {
		x.content = kcrid.ContentOf(x.head.Target+" "+x.teamName(), x.body)
		if x.g.config.Harm.Banned(x.content) {
			return x.refuse(statusUnavailable, "the request crashes upstreams", retryNever)
		}
	}
	x.g.window(x.service).Request(x.started)
	return true
}

// match finds the route and the team.
func (x *exchange) match() bool {
	d := &x.g.dialect
	x.id = x.head.Get(d.ID)
	x.rules = x.g.rules.Rules()
	if x.rules == nil {
		return x.refuse(statusUnavailable, "no configuration is known yet", retryLater)
	}
	x.route = x.rules.Match(x.head.Get("Host"), x.head.Target)
	if x.route == nil {
		return x.refuse(statusNotFound, "no route", 0)
	}
	if !x.route.Anonymous && len(x.rules.Teams) > 0 {
		if x.team = x.rules.Team(x.head.Get(d.Key)); x.team == nil {
			return x.refuse(statusUnauthorized, "the key is not known", 0)
		}
	}
	if x.id == "" {
		return x.refuse(statusBadRequest, "expected a header "+d.ID, 0)
	}
	return true
}

// measure reads how long the request may take and how large it is.
func (x *exchange) measure() bool {
	d := &x.g.dialect
	if !x.timed() {
		return x.refuse(statusBadRequest, "header "+d.Deadline+": expected milliseconds", 0)
	}
	x.service = x.route.Pick(xxhash.Sum64String(x.id))
	service := x.rules.Services[x.service]
	if x.route.Kind != kcrrule.Stream || service == nil || service.KV == 0 {
		return true
	}
	if !x.readUsage() {
		return x.refuse(statusBadRequest, "header "+d.Usage+": expected PROMPT,OUTPUT", 0)
	}
	x.stride = service.Stride
	if x.usage.worst() > service.KV {
		return x.refuse(statusUnavailable, "larger than the memory of an upstream", retryNever)
	}
	return true
}

// tokenTime is how long an engine takes for one token at most, when it is not
// overloaded.
const tokenTime = 10 * kcrclock.Millisecond

// endsInTime tells whether the answer to a request is sure to end before a
// planned stop does.
func (x *exchange) endsInTime() bool {
	need := x.remaining()
	if x.usage.known {
		need = min(need, x.route.Aim+kcrclock.Duration(x.usage.output)*tokenTime)
	}
	return x.g.clock.Now().Add(need) < kcrclock.Time(x.g.end.Load())
}

func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return string(x.team.Name)
}

// timed sets the deadline: the caller's or the route's, what comes first.
func (x *exchange) timed() bool {
	left := mostTimeout
	if x.route.Timeout > 0 {
		left = x.route.Timeout
	}
	if value := x.head.Get(x.g.dialect.Deadline); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms < 0 {
			return false
		}
		left = min(left, kcrclock.Duration(ms))
	}
	x.deadline = x.started.Add(left)
	return true
}

// readUsage reads the size and the parts of a prompt.
func (x *exchange) readUsage() bool {
	value := x.head.Get(x.g.dialect.Usage)
	prompt, output, ok := strings.Cut(value, ",")
	if !ok {
		return false
	}
	p, err1 := strconv.ParseInt(strings.TrimSpace(prompt), 10, 64)
	o, err2 := strconv.ParseInt(strings.TrimSpace(output), 10, 64)
	if err1 != nil || err2 != nil || p < 0 || o < 0 || p > maxTokens || o > maxTokens {
		return false
	}
	x.usage = usage{known: true, prompt: kcrid.Tokens(p), output: kcrid.Tokens(o)}
	x.usage.parts = parseParts(x.head.Get(x.g.dialect.Parts))
	return true
}

// maxTokens bounds the size of one request.
const maxTokens = 1 << 32

// parseParts reads ID:TOKENS, …; what can't be read ends the list, since only
// the parts before it can be found in a cache.
func parseParts(value string) (parts []kcrplace.Part) {
	for value != "" {
		var item string
		item, value, _ = strings.Cut(value, ",")
		id, tokens, ok := strings.Cut(strings.TrimSpace(item), ":")
		n, err1 := strconv.ParseUint(id, 16, 64)
		t, err2 := strconv.ParseInt(tokens, 10, 64)
		if !ok || err1 != nil || err2 != nil || t < 0 {
			return parts
		}
		parts = append(parts, kcrplace.Part{ID: n, Tokens: kcrid.Tokens(t)})
	}
	return parts
}

// reserve takes the worst case of the request out of the team's budget.
func (x *exchange) reserve() bool {
	if !x.metered() {
		return true
	}
	wait := min(x.route.Aim/budgetWaitPart, x.remaining()/budgetWaitPart)
	code := x.g.config.Purse.Reserve(x.team.Name, x.usage.worst(), wait, x.gone)
	switch code {
	case kcrbudget.Granted:
		return true
	case kcrbudget.UsedUp:
		return x.refuse(statusPayment, "the budget does not cover the request", 0)
	default:
		return x.refuse(statusUnavailable, "budget "+code.String(), retryLater)
	}
}

// forward makes attempts until there is an answer, and returns the tokens that
// were spent.
func (x *exchange) forward() kcrid.Tokens {
	if x.route.Kind == kcrrule.Stream {
		x.forwardStream()
	} else {
		x.forwardPlain()
	}
	if x.events == 0 {
		return 0 // nothing was delivered
	}
	return x.usage.prompt + min(x.usage.output, kcrid.Tokens(x.events)*x.stride)
}

// request returns the bytes of the request for an upstream. Last is the event
// to go on from, negative for the caller's own.
func (x *exchange) request(c *kcrplace.Choice, last int64) []byte {
	d := &x.g.dialect
	fields := x.head.Forwarded(d.own)
	if last >= 0 {
		fields = without(fields, d.Resume)
	}
	b := make([]byte, 0, requestRoom+len(x.body))
	b = kcrhttp.AppendRequest(b, x.head.Method, x.head.Target, fields)
	if last >= 0 {
		b = kcrhttp.AppendField(b, d.Resume, strconv.FormatInt(last, 10))
	}
	b = kcrhttp.AppendField(b, d.Deadline, strconv.FormatInt(max(1, int64(x.remaining())), 10))
	b = kcrhttp.AppendField(b, d.Instance, string(c.ID))
	if x.team != nil {
		b = kcrhttp.AppendField(b, d.Team, string(x.team.Name))
	}
	if x.usage.known {
		b = kcrhttp.AppendField(b, d.Urgency, strconv.Itoa(x.urgency()))
	}
	if len(x.body) > 0 || x.head.Has("Content-Length") || x.head.Has("Transfer-Encoding") {
		b = kcrhttp.AppendLength(b, len(x.body))
	}
	b = append(b, "\r\n"...)
	return append(b, x.body...)
}

const (
	requestRoom = 1024
	// firstUrgency and urgencyStep turn ranks into the urgency of engines, whose
	// middle is 5 and whose last is 9.
	firstUrgency = 3
	urgencyStep  = 1
	lastUrgency  = 9
)

func (x *exchange) urgency() int {
	rank := x.route.Rank
	if x.team != nil && x.team.Rank >= 0 {
		rank = x.team.Rank
	}
	return min(lastUrgency, firstUrgency+urgencyStep*rank)
}

func without(fields []kcrhttp.Field, name string) []kcrhttp.Field {
	out := fields[:0]
	for _, f := range fields {
		if !sameName(f.Name, name) {
			out = append(out, f)
		}
	}
	return out
}
