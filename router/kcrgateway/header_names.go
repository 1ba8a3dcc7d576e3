package kcrgateway

import "kingcuprun.example/kernel/kcrclock"

// This file defines the header field names of a deployment. The gateway knows the
// meaning of each field; the deployment chooses its name. Invariant: fields that
// only the system may set are removed from a caller's request.

// HeaderNames holds the header field names of a deployment. The comment of a field
// describes the value of the header field.
type HeaderNames struct {
	RequestID      string // request ID, one for each request that a caller sends; upstreams echo it
	APIKey         string // the caller's API key, never forwarded
	Team           string // the caller's team, set for the upstream
	Deadline       string // milliseconds until the deadline
	UpstreamID     string // ID of the upstream that the request is meant for
	DeclaredTokens string // PROMPT,OUTPUT: prompt tokens and the maximum of output tokens
	PromptParts    string // ID:TOKENS, … for the parts of the prompt
	LastEventID    string // ID of the last event that the caller has received
	FirstAttempt   string // RequestID of the attempt that brought the first event of the stream that the caller takes up
	Signature      string // an upstream's signature of its response
	NotRun         string // present if the upstream did not run the request
	RetryAfter     string // seconds until the caller may retry; from an upstream that refuses a request, until it takes others
	Leaving        string // 1 if the upstream is leaving
	RateLimit      string // requests per second that the upstream takes from all routers together
	Cold           string // milliseconds for which the upstream stays cold
	Priority       string // scheduling priority at an engine, 0 is served first
	// InternalFields holds further fields that only the system may set.
	InternalFields []string
	// CallerIdleTimeout returns how long callers wait for the next event of a stream before
	// they disconnect, for a route with the given latency target and event gap target.
	// It is nil if that is unknown.
	CallerIdleTimeout func(latencyTarget, eventGapTarget kcrclock.Duration) kcrclock.Duration
}

// statusMisdirected is the status of an upstream that is not the one named in
// the UpstreamID field.
const statusMisdirected = 421

// isStripped reports whether a field is removed from a caller's request.
func (h *HeaderNames) isStripped(name string) bool {
	for _, stripped := range [...]string{h.APIKey, h.Team, h.Deadline, h.UpstreamID, h.Priority} {
		if sameFieldName(stripped, name) {
			return true
		}
	}
	for _, stripped := range h.InternalFields {
		if sameFieldName(stripped, name) {
			return true
		}
	}
	return false
}
