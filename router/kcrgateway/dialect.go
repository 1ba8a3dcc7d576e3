package kcrgateway

import "kingcuprun.example/kernel/kcrclock"

// This file defines the header field names of a deployment. The gateway knows the
// meaning of each field; the deployment chooses its name. Invariant: fields that
// only the system may set are removed from a caller's request.

// Dialect holds the header field names of a deployment. The comment of a field
// describes the value of the header field.
type Dialect struct {
	ID        string // request ID, one for each request that a caller sends; upstreams echo it
	Key       string // the caller's API key, never forwarded
	Team      string // the caller's team, set for the upstream
	Deadline  string // milliseconds until the deadline
	Instance  string // ID of the upstream that the request is meant for
	Usage     string // PROMPT,OUTPUT: prompt tokens and the maximum of output tokens
	Parts     string // ID:TOKENS, … for the parts of the prompt
	Resume    string // ID of the last event that the caller has received
	Signature string // an upstream's signature of its response
	NotRun    string // present if the upstream did not run the request
	Retry     string // seconds until the caller may retry
	Urgency   string // scheduling priority at an engine, 0 is served first
	// Ours holds further fields that only the system may set.
	Ours []string
	// Patience returns how long callers wait for the next event of a stream before
	// they disconnect, for a route with the given latency target and longest pause.
	// It is nil if that is unknown.
	Patience func(aim, pause kcrclock.Duration) kcrclock.Duration
}

// statusMisdirected is the status of an upstream that is not the one named in
// the Instance field.
const statusMisdirected = 421

// isStripped reports whether a field is removed from a caller's request.
func (d *Dialect) isStripped(name string) bool {
	for _, stripped := range [...]string{d.Key, d.Team, d.Deadline, d.Instance, d.Urgency} {
		if sameFieldName(stripped, name) {
			return true
		}
	}
	for _, stripped := range d.Ours {
		if sameFieldName(stripped, name) {
			return true
		}
	}
	return false
}
