package kcrgateway

import (
	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrplace"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrhttp"
)

// This file forwards requests whose answer is passed on when it is whole.

// maxAnswer bounds an answer that is held until it is whole, in bytes.
const maxAnswer = 8 << 20

// Patience with one upstream where another may be tried.
const (
	// patiencePart is the part of the aim that an idempotent call waits for one
	// upstream before it is sent to another.
	patiencePart  = 0.8
	leastPatience = 60 * kcrclock.Millisecond
)

// forwardPlain makes attempts until one answers.
func (x *exchange) forwardPlain() {
	if why := x.attempt(func() int64 { return -1 }, x.plainTry); why != "" {
		x.fail(why, retrySoon)
	}
}

// attempt makes attempts until run has given the caller its answer, or none may
// follow. It returns why there is no answer. From returns the event that an
// attempt goes on from, negative for the caller's own.
func (x *exchange) attempt(from func() int64, run func(*try) (why string)) (why string) {
	for range maxTries {
		t, v, reason := x.start(from())
		why = reason
		if t == nil {
			return why
		}
		switch v {
		case answered:
			x.runs++
			if why = run(t); why == "" {
				return ""
			}
		case unknown:
			x.ran = true
			x.runs++
		case notRun:
		}
		if !x.again() {
			return why
		}
	}
	return why
}

// answer is a whole answer of an upstream.
type answer struct {
	head *kcrhttp.Head
	body []byte
}

// upstreamFailed is why an attempt ended with an error of its upstream.
const upstreamFailed = "the upstream failed"

// again tells whether another attempt may follow.
func (x *exchange) again() bool {
	if x.left.Load() || x.remaining() <= 0 || x.ran && (!x.route.Repeats() || x.runs >= x.route.Attempts) {
		return false
	}
	last := x.attempts[len(x.attempts)-1]
	if last.result == kcrplace.Unreached {
		return true
	}
	return x.g.window(x.service).Retry(x.g.clock.Now(), x.g.config.Routers())
}

// plainTry waits for one answer and passes it on. It returns why there is
// none, "" where the caller has its answer.
func (x *exchange) plainTry(t *try) (why string) {
	more := x.route.Kind == kcrrule.Idempotent && x.runs < x.route.Attempts
	until := x.deadline
	if more {
		patience := max(leastPatience, kcrclock.Duration(patiencePart*float64(x.route.Aim)))
		until = min(until, x.g.clock.Now().Add(patience))
	}
	v, why := t.await(until)
	if v != answered {
		x.ran = x.ran || v == unknown
		t.end(t.resultOf(v, why), why)
		return why
	}
	x.ran = true
	t.choice.Began(x.g.clock.Now())
	body, err := t.body.ReadAll(maxAnswer)
	if err != nil {
		why = readError(err)
		t.end(t.resultOf(unknown, why), why)
		return why
	}
	if t.head.Status >= 500 {
		t.end(kcrplace.Failed, "")
		if more {
			x.failed = &answer{t.head, body}
			return upstreamFailed
		}
	} else {
		t.end(kcrplace.Served, "")
	}
	x.passWhole(t.head, body)
	return ""
}

// passWhole passes a whole answer on.
func (x *exchange) passWhole(head *kcrhttp.Head, body []byte) {
	x.first = x.g.clock.Now().Sub(x.started)
	c := x.caller
	length := len(body)
	b := x.pass(c.out[:0], head, length)
	if x.head.Method != "HEAD" {
		b = append(b, body...)
	}
	c.out = b[:0]
	x.outcome = outcomeServed
	if head.Status >= 400 {
		x.outcome = "upstream " + head.Reason
	}
	if c.write(b) != nil {
		x.outcome, x.close = outcomeLeft, true
	}
}
