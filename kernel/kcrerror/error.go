// Package kcrerror defines the errors that are sent to callers, and Annotate, which
// adds context to an error. A function with a named error result defers Annotate
// once.
package kcrerror

import "github.com/rotisserie/eris"

// Annotate wraps *err with a message, unless *err is nil.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = eris.Wrapf(*err, format, args...)
	}
}

// Code tells why a request gets no complete answer. Codes are part of the public
// API; see docs/SPEC.md.
type Code string

// The codes, with the HTTP status that Refusal.Status returns for each.
const (
	BadRequest       Code = "invalid_request"           // 400: the request is malformed
	TooLarge         Code = "request_too_large"         // 413: the request is too large
	InvalidAPIKey    Code = "invalid_api_key"           // 401: the API key is missing or unknown
	ModelNotFound    Code = "model_not_found"           // 404: the model or service is unknown
	NotAllowed       Code = "plan_does_not_allow"       // 403: the plan does not allow the request
	BudgetExhausted  Code = "budget_used_up"            // 402: the budget does not cover the request
	BudgetUnknown    Code = "budget_not_knowable"       // 503: the budget cannot be determined at present
	Overloaded       Code = "overloaded"                // 429: no upstream has capacity in time
	NoUpstream       Code = "no_upstream"               // 503: no upstream can take the request
	Leaving          Code = "leaving"                   // 503: the sidecar takes no new requests, since it stops or its VM is leaving
	CrashesUpstreams Code = "request_crashes_upstreams" // 422: requests of this content crash upstreams
	AnswerBroken     Code = "answer_broken"             // 502: the answer broke off
	UpstreamCrashed  Code = "upstream_crashed"          // 502: the upstream crashed
	OutcomeUnknown   Code = "outcome_unknown"           // 502: it is not known whether the request ran
	AlreadyRun       Code = "already_run"               // 409: the request ran, and its answer is not available
	Unconfigured     Code = "not_configured"            // 503: no configuration is known yet
	KeyReused        Code = "key_reused"                // 409: the idempotency key belongs to another request
	RunningElsewhere Code = "running_elsewhere"         // 503: another sidecar runs or has run the request; see Refusal.Server
)

// Refusal is the error of a request that gets no complete answer. MayHaveRun is false only
// if it is certain that the request did not run and will not run.
type Refusal struct {
	Code              Code
	Text              string // explanation for the caller
	MayHaveRun        bool   // the request may have run or may still run
	RetryAfterSeconds int64  // seconds after which a retry is useful, 0 if no retry is
	// Server is the address of the sidecar that has the answer. It is set with
	// code RunningElsewhere.
	Server string
}

// Error returns the code and the text.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Text }

// Status returns the HTTP status of the code.
func (r *Refusal) Status() int {
	switch r.Code {
	case BadRequest:
		return 400
	case InvalidAPIKey:
		return 401
	case BudgetExhausted:
		return 402
	case NotAllowed:
		return 403
	case ModelNotFound:
		return 404
	case AlreadyRun, KeyReused:
		return 409
	case TooLarge:
		return 413
	case CrashesUpstreams:
		return 422
	case Overloaded:
		return 429
	case AnswerBroken, UpstreamCrashed, OutcomeUnknown:
		return 502
	default:
		return 503
	}
}
