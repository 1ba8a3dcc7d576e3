package kcrgateway

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"kingcuprun.example/kernel/kcradmission"
	"kingcuprun.example/kernel/kcrbudget"
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrcrash"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrhttp"
)

// This file handles a request from admission to settlement: it finds the route,
// the team and the service, reserves budget, makes the attempts and settles what
// was used. Invariant: a request is sent to an upstream only after its worst case
// was reserved, if its team has a prepaid budget.

// usage is the token usage that a generation request declares.
type usage struct {
	declared    bool         // the service counts tokens and the request states them
	prompt      kcrid.Tokens // length of the prompt
	output      kcrid.Tokens // maximum of the output
	promptParts []kcrplacement.PromptPart
	sharedParts []kcrcrash.Part // the parts that other requests may have too: all but the last
}

// maxTokens returns the most tokens that the request can use.
func (u *usage) maxTokens() kcrid.Tokens { return u.prompt + u.output }

// Delays that refused callers are asked to wait, and limits of waiting.
const (
	retryAfterShort   = 150 * kcrclock.Millisecond // the cause clears by itself
	retryAfterMedium  = 700 * kcrclock.Millisecond // a resource has to become available
	retryAfterOutage  = 4 * kcrclock.Second        // the store has to respond again
	retryAfterEmptied = 4 * kcrclock.Second        // the operator has to take an order back
	retryAfterLong    = 30 * kcrclock.Second       // a retry is expected to fail as well
	defaultTimeout    = 60 * kcrclock.Second       // if the route sets none; a caller can only shorten it
)

// handle processes the request and writes the response.
func (x *exchange) handle() {
	if x.admit() && x.reserveBudget() {
		x.spentTokens = x.forward()
		if x.metered() {
			x.gateway.config.Budget.Settle(x.team.Name, x.usage.maxTokens(), x.spentTokens)
		}
	}
	x.logRequest()
}

// metered reports whether the request is charged to a prepaid budget.
func (x *exchange) metered() bool { return x.usage.declared && x.team != nil && x.team.Prepaid >= 0 }

// admit finds the route, the team and the service, and checks that the request
// may run. Otherwise it writes a response and returns false.
func (x *exchange) admit() bool {
	if !x.matchRoute() || !x.readDeadlineAndUsage() {
		return false
	}
	if x.gateway.stopping.Load() && !x.endsBeforeStop() {
		return x.refuse(statusUnavailable, reasonStops, retryAfterShort)
	}
	x.content = kcrid.HashContent(x.head.Target+" "+x.teamName(), x.body...)
	x.gateway.config.AwaitCrashes()
	if reason := x.banReason(); reason != "" {
		return x.refuse(statusUnavailable, reason, retryAfterLong)
	}
	if !x.findOrigin() {
		return x.refuse(statusUnavailable, "the version that began the stream is not known", retryAfterMedium)
	}
	x.gateway.retryWindow(x.service).RecordRequest(x.started)
	if x.onlyEmptied() {
		return x.refuse(statusUnavailable, reasonEmptied, retryAfterEmptied)
	}
	if delay := x.gateway.link.Delay(x.gateway.clock.Now()); delay > x.longestLinkDelay() {
		x.gateway.metrics.linkRefusals.Inc()
		return x.refuse(statusUnavailable, "the link of the router is full", max(retryAfterShort, delay))
	}
	return true
}

// reasonStops is the reason of a request that a planned stop leaves no time for.
const reasonStops = "the router stops"

// findOrigin finds the version that began the stream that the caller takes up, if it does. It
// returns false if that is not known: a guess may join two versions, even where all upstreams
// are of one, since those of another may have left.
func (x *exchange) findOrigin() bool {
	names := &x.gateway.headerNames
	if x.route.Kind != kcrrule.Stream || !x.head.Has(names.LastEventID) {
		return true
	}
	x.begun = true
	known := false
	if first := x.head.Get(names.FirstAttempt); first != "" {
		x.version, known = x.gateway.config.FindOrigin(first)
	}
	return known
}

// banReason returns why the request must not run since it crashes upstreams, "" if it may.
func (x *exchange) banReason() string {
	if x.gateway.config.Crashes.Banned(x.content) {
		return "the request crashes upstreams"
	}
	if _, banned := x.gateway.config.PartSuspects.FindBanned(x.usage.sharedParts); banned {
		return "a part of the prompt crashes upstreams"
	}
	return ""
}

// matchRoute finds the route and the team, and requires a request ID.
func (x *exchange) matchRoute() bool {
	names := &x.gateway.headerNames
	x.id = x.head.Get(names.RequestID)
	x.rules = x.gateway.rules.Rules()
	if x.rules == nil {
		return x.refuse(statusUnavailable, "no configuration is known yet", retryAfterMedium)
	}
	x.route = x.rules.Match(x.head.Get("Host"), x.head.Target)
	if x.route == nil {
		return x.deny(statusNotFound, "no route")
	}
	if !x.route.Anonymous && len(x.rules.Teams) > 0 {
		if x.team = x.rules.TeamByKey(x.head.Get(names.APIKey)); x.team == nil {
			return x.deny(statusUnauthorized, "the key is not known")
		}
	}
	if x.id == "" {
		return x.refuse(statusBadRequest, "expected a header "+names.RequestID, 0)
	}
	return true
}

// deny refuses a request that the configuration does not allow: for good if that is the newest one,
// else for now, since a newer one may allow it, and another router may have that.
func (x *exchange) deny(status int, why string) bool {
	if !x.gateway.config.RulesAreCurrent() {
		return x.refuse(statusUnavailable, why+", and the configuration may be old", retryAfterShort)
	}
	return x.refuse(status, why, 0)
}

// readDeadlineAndUsage sets the deadline and the service and, if the service
// counts tokens, reads the declared usage.
func (x *exchange) readDeadlineAndUsage() bool {
	names := &x.gateway.headerNames
	if !x.setDeadline() {
		return x.refuse(statusBadRequest, "header "+names.Deadline+": expected milliseconds", 0)
	}
	x.service = x.route.PickService(xxhash.Sum64String(x.id))
	service := x.rules.Services[x.service]
	if x.route.Kind != kcrrule.Stream || service == nil || service.KVCapacity == 0 {
		return true
	}
	if !x.parseUsage() {
		return x.refuse(statusBadRequest, "header "+names.DeclaredTokens+": expected PROMPT,OUTPUT", 0)
	}
	x.maxTokensPerEvent = service.MaxEventTokens
	if x.usage.maxTokens() > service.KVCapacity {
		return x.refuse(statusUnavailable, "larger than the memory of an upstream", retryAfterLong)
	}
	return true
}

// maxTimePerToken is the longest time for one output token of an engine that is
// not overloaded.
const maxTimePerToken = 10 * kcrclock.Millisecond

// estimatePeriod is how long after its begin a planned stop takes a generation whose end is
// only estimated. An engine may turn out to be overloaded.
const estimatePeriod = 3 * kcrclock.Second

// endsBeforeStop reports whether the request will end before the deadline of a planned
// stop: probably until the gateway's estimateEnd, certainly after it.
func (x *exchange) endsBeforeStop() bool {
	maxTime := x.remaining()
	if x.usage.declared && x.gateway.clock.Now() < kcrclock.Time(x.gateway.estimateEnd.Load()) {
		maxTime = min(maxTime, x.route.LatencyTarget+kcrclock.Duration(x.usage.output)*maxTimePerToken)
	}
	return x.gateway.clock.Now().Add(maxTime) < kcrclock.Time(x.gateway.stopDeadline.Load())
}

// teamName returns the name of the team, "" for an anonymous request.
func (x *exchange) teamName() string {
	if x.team == nil {
		return ""
	}
	return string(x.team.Name)
}

// setDeadline sets the deadline to the earlier of the caller's and the route's. It
// returns false if the caller's is malformed.
func (x *exchange) setDeadline() bool {
	timeout := defaultTimeout
	if x.route.Timeout > 0 {
		timeout = x.route.Timeout
	}
	if value := x.head.Get(x.gateway.headerNames.Deadline); value != "" {
		ms, err := strconv.ParseInt(value, 10, 64)
		if err != nil || ms < 0 {
			return false
		}
		timeout = min(timeout, kcrclock.Duration(ms))
	}
	x.deadline = x.started.Add(timeout)
	return true
}

// parseUsage reads the declared tokens and the parts of the prompt. It returns
// false if the tokens are malformed.
func (x *exchange) parseUsage() bool {
	value := x.head.Get(x.gateway.headerNames.DeclaredTokens)
	prompt, output, ok := strings.Cut(value, ",")
	if !ok {
		return false
	}
	promptTokens, promptErr := strconv.ParseInt(strings.TrimSpace(prompt), 10, 64)
	outputTokens, outputErr := strconv.ParseInt(strings.TrimSpace(output), 10, 64)
	if promptErr != nil || outputErr != nil || promptTokens < 0 || outputTokens < 0 || promptTokens > maxRequestTokens || outputTokens > maxRequestTokens {
		return false
	}
	x.usage = usage{declared: true, prompt: kcrid.Tokens(promptTokens), output: kcrid.Tokens(outputTokens)}
	x.usage.promptParts = parseParts(x.head.Get(x.gateway.headerNames.PromptParts))
	for _, part := range x.usage.promptParts[:max(0, len(x.usage.promptParts)-1)] {
		x.usage.sharedParts = append(x.usage.sharedParts, kcrcrash.Part(part.ID))
	}
	return true
}

// maxRequestTokens bounds the prompt and the output that a request may declare.
const maxRequestTokens = 1 << 32

// parseParts parses ID:TOKENS, …. A malformed item ends the list, because only the
// parts before it can be found in an upstream's cache.
func parseParts(value string) (parts []kcrplacement.PromptPart) {
	for value != "" {
		var item string
		item, value, _ = strings.Cut(value, ",")
		id, tokens, ok := strings.Cut(strings.TrimSpace(item), ":")
		partID, idErr := strconv.ParseUint(id, 16, 64)
		tokenCount, tokensErr := strconv.ParseInt(tokens, 10, 64)
		if !ok || idErr != nil || tokensErr != nil || tokenCount < 0 {
			return parts
		}
		parts = append(parts, kcrplacement.PromptPart{ID: partID, Tokens: kcrid.Tokens(tokenCount)})
	}
	return parts
}

// reserveBudget reserves the most tokens that the request can use from the team's
// budget. If that fails, it writes a response and returns false.
func (x *exchange) reserveBudget() bool {
	if !x.metered() {
		return true
	}
	budget, start := &x.gateway.config.Budget, x.gateway.clock.Now()
	longestWait := func() kcrclock.Duration { return x.admissionWait(start).Longest(start) }
	outcome := budget.Reserve(x.team.Name, x.usage.maxTokens(), longestWait, x.cancelled)
	now := x.gateway.clock.Now()
	x.budgetWait = now.Sub(start)
	switch {
	case outcome == kcrbudget.Granted && (x.budgetWait == 0 || x.admissionWait(now).InTime(now)):
		return true
	case outcome == kcrbudget.Granted:
		budget.Settle(x.team.Name, x.usage.maxTokens(), 0)
		return x.refuse(statusUnavailable, "no time is left after the wait for the budget", retryAfterShort)
	case outcome == kcrbudget.BudgetExhausted:
		return x.refuse(statusPaymentRequired, "the budget does not cover the request", 0)
	case x.gateway.stopping.Load():
		return x.refuse(statusUnavailable, reasonStops, retryAfterShort)
	case budget.StoreIsLost():
		return x.refuse(statusUnavailable, "budget "+outcome.String(), retryAfterOutage)
	}
	return x.refuse(statusUnavailable, "budget "+outcome.String(), retryAfterMedium)
}

// admissionWait returns what bounds the wait of the request for tokens of its team.
func (x *exchange) admissionWait(now kcrclock.Time) kcradmission.Wait {
	wait := kcradmission.Wait{Deadline: x.deadline, Target: x.route.LatencyTarget, LinkDelay: x.gateway.link.Delay(now)}
	wait.First, _ = x.gateway.table.FirstEvent(now, x.placementRequest())
	return wait
}

// forward makes attempts until there is a response, and returns the tokens to
// charge.
func (x *exchange) forward() kcrid.Tokens {
	if x.route.Kind == kcrrule.Stream {
		x.forwardStream()
	} else {
		x.forwardPlain()
	}
	if x.deliveredEvents == 0 {
		return 0 // the caller received no event
	}
	return x.usage.prompt + min(x.usage.output, kcrid.Tokens(x.deliveredEvents)*x.maxTokensPerEvent)
}

// buildRequest returns the request for an upstream as parts, of which a short one is one part. A
// lastEventID that is not negative replaces the position from which the caller resumes a stream.
func (x *exchange) buildRequest(choice *kcrplacement.Choice, lastEventID int64) [][]byte {
	names := &x.gateway.headerNames
	fields := x.head.ForwardedFields(names.isStripped)
	if lastEventID >= 0 {
		fields = removeField(fields, names.LastEventID)
	}
	short := x.bodySize <= maxInlineWrite
	capacity := requestHeaderCapacity
	if short {
		capacity += x.bodySize
	}
	buf := make([]byte, 0, capacity)
	buf = kcrhttp.AppendRequest(buf, x.head.Method, x.head.Target, fields)
	if lastEventID >= 0 {
		buf = kcrhttp.AppendField(buf, names.LastEventID, strconv.FormatInt(lastEventID, 10))
	}
	buf = kcrhttp.AppendField(buf, names.Deadline, strconv.FormatInt(max(1, int64(x.remaining())), 10))
	buf = kcrhttp.AppendField(buf, names.UpstreamID, string(choice.ID))
	if x.team != nil {
		buf = kcrhttp.AppendField(buf, names.Team, string(x.team.Name))
	}
	if x.usage.declared {
		buf = kcrhttp.AppendField(buf, names.Priority, strconv.Itoa(x.priority()))
	}
	if x.bodySize > 0 || x.head.Has("Content-Length") || x.head.Has("Transfer-Encoding") {
		buf = kcrhttp.AppendContentLength(buf, x.bodySize)
	}
	buf = append(buf, "\r\n"...)
	if !short {
		return append([][]byte{buf}, x.body...)
	}
	for _, part := range x.body {
		buf = append(buf, part...)
	}
	return [][]byte{buf}
}

const (
	requestHeaderCapacity = 1024 // initial buffer for the header, in bytes
	// basePriority and priorityStep map priorities to the priority values of engines.
	// Engines treat 5 as medium and serve maxPriority last.
	basePriority = 3
	priorityStep = 1
	maxPriority  = 9
)

// priority returns the scheduling priority of the request at an engine.
func (x *exchange) priority() int { return min(maxPriority, basePriority+priorityStep*x.rank()) }

// rank returns the priority that the configuration gives the request; 0 goes first. The priority
// of the team takes precedence over that of the route.
func (x *exchange) rank() int {
	if x.team != nil && x.team.Priority >= 0 {
		return x.team.Priority
	}
	return x.route.Priority
}

// removeField removes the fields of a name in place.
func removeField(fields []kcrhttp.Field, name string) []kcrhttp.Field {
	kept := fields[:0]
	for _, f := range fields {
		if !sameFieldName(f.Name, name) {
			kept = append(kept, f)
		}
	}
	return kept
}
