package kcrgateway

import "kingcuprun.example/kernel/kcrclock"

// This file defines the names that a deployment gives to what travels beside a
// request. The gateway knows what they hold and not what they are called.

// Dialect holds the names of header fields.
type Dialect struct {
	ID        string // of one attempt of a caller; upstreams echo it
	Key       string // the caller's API key, never passed on
	Team      string // of the caller, set for the upstream
	Deadline  string // milliseconds that are left
	Instance  string // the upstream that is meant
	Usage     string // prompt tokens, most output tokens
	Parts     string // ID:TOKENS, … of the prompt
	Resume    string // the last event that the caller has
	Signature string // an upstream's proof of its answer
	NotRun    string // an upstream's word that it did not run the request
	Retry     string // seconds after which to come back
	Urgency   string // 0 goes first at an engine
	// Ours are further fields that only the system sets.
	Ours []string
	// Patience returns how long callers wait for the next event of a stream of a
	// route with such an aim and such a longest pause; nil where it is not known.
	Patience func(aim, pause kcrclock.Duration) kcrclock.Duration
}

// statusMisdirected is the answer of an upstream that is not the one meant.
const statusMisdirected = 421

// own tells whether a field of a caller's request must not be passed on.
func (d *Dialect) own(name string) bool {
	for _, n := range [...]string{d.Key, d.Team, d.Deadline, d.Instance, d.Urgency} {
		if sameName(n, name) {
			return true
		}
	}
	for _, n := range d.Ours {
		if sameName(n, name) {
			return true
		}
	}
	return false
}
