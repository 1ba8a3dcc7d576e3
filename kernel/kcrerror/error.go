// Package kcrerror annotates errors and defines the refusals that a caller
// can get. A function with a named error result defers Annotate once.
package kcrerror

import "github.com/rotisserie/eris"

// Annotate adds a message to *err, if there is one.
func Annotate(err *error, format string, args ...any) {
	if *err != nil {
		*err = eris.Wrapf(*err, format, args...)
	}
}

// Code says why a request has no whole answer. It is part of the public
// contract; see docs/SPEC.md.
type Code string

// The codes.
const (
	BadRequest   Code = "invalid_request"
	TooLarge     Code = "request_too_large"
	BadKey       Code = "invalid_api_key"
	NoModel      Code = "model_not_found"
	NotAllowed   Code = "plan_does_not_allow"
	UsedUp       Code = "budget_used_up"
	Unknowable   Code = "budget_not_knowable"
	Overloaded   Code = "overloaded"
	NoUpstream   Code = "no_upstream"
	Leaving      Code = "leaving"
	Harmful      Code = "request_crashes_upstreams"
	Broken       Code = "answer_broken"
	Crashed      Code = "upstream_crashed"
	Unconfirmed  Code = "outcome_unknown"
	AlreadyRun   Code = "already_run"
	Unconfigured Code = "not_configured"
	KeyReused    Code = "key_reused"
	Elsewhere    Code = "running_elsewhere"
)

// Refusal is the error of a request that gets no whole answer. Ran is false
// only where it is proved that the request did not run and will not run.
type Refusal struct {
	Code  Code
	Text  string
	Ran   bool
	After int64 // seconds until a retry makes sense, 0 if it does not
	// Server is the address of the sidecar that has the answer, with Elsewhere.
	Server string
}

// Error implements error.
func (r *Refusal) Error() string { return string(r.Code) + ": " + r.Text }

// Status returns the HTTP status for the code.
func (r *Refusal) Status() int {
	switch r.Code {
	case BadRequest:
		return 400
	case BadKey:
		return 401
	case UsedUp:
		return 402
	case NotAllowed:
		return 403
	case NoModel:
		return 404
	case AlreadyRun, KeyReused:
		return 409
	case TooLarge:
		return 413
	case Harmful:
		return 422
	case Overloaded:
		return 429
	case Broken, Crashed, Unconfirmed:
		return 502
	default:
		return 503
	}
}
