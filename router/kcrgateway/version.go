package kcrgateway

import (
	"errors"
	"time"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrplacement"
	"kingcuprun.example/kernel/kcrrule"
	"kingcuprun.example/link/kcrhttp"
)

// This file asks an upstream when it started, while the list of upstreams may be out of date: one
// that has started again may be of another version than the list says. It is asked on the
// connection that then carries the stream, since a connection does not outlive its process; so one
// that has carried a stream while the list was current needs no report. Invariant: a stream that has
// begun goes on only at an upstream that is known to be of its version.

// UpstreamReport is how an upstream is asked when it started.
type UpstreamReport struct {
	Path string // of a GET request; "" if upstreams don't tell
	// StartedAt decodes the start of the upstream from the body of the response. It returns a
	// negative number if the body does not tell.
	StartedAt func(body []byte) int64
}

const (
	// reportTimeout bounds the report of an upstream.
	reportTimeout = 150 * kcrclock.Millisecond
	// maxReport bounds the body of a report, in bytes.
	maxReport = 64 << 10
)

// Reasons of attempts at upstreams whose version is not known.
const (
	reasonNoReport       = "the upstream did not tell when it started"
	reasonVersionUnknown = "the upstream may have started again at another version"
)

// checkVersion finds out whether the upstream is of the version that the list says, if the request
// is a stream and the list may be out of date. If it may be of another one, a stream that has begun
// does not go on there, and one that begins there can't go on elsewhere. The reason is "" if the
// request may be sent.
func (a *attempt) checkVersion() (result kcrplacement.Result, reason string) {
	x, g := a.x, a.x.gateway
	isVersioned := x.route.Kind == kcrrule.Stream && a.choice.Version != "" && a.choice.StartedAt > 0
	if !isVersioned || g.config.Report.Path == "" {
		return 0, ""
	}
	if g.config.UpstreamsAreCurrent() {
		a.conn.startedAt = a.choice.StartedAt
	}
	if a.conn.startedAt == 0 {
		body, err := a.readReport()
		if err != nil {
			g.logger.Info("report of an upstream not read", "id", string(a.choice.ID), "req", x.id, "err", err.Error())
			a.unsent = true
			return kcrplacement.ConnectionLost, reasonNoReport
		}
		a.conn.startedAt = g.config.Report.StartedAt(body)
	}
	if a.conn.startedAt == a.choice.StartedAt {
		return 0, ""
	}
	g.logger.Info("upstream of unknown version", "id", string(a.choice.ID), "born", a.conn.startedAt, "listed", a.choice.StartedAt, "req", x.id)
	if x.version != "" {
		a.unsent = true
		return kcrplacement.Refused, reasonVersionUnknown
	}
	a.versionUnknown = true
	return 0, ""
}

// version returns the version of the upstream, "" if it is not known.
func (a *attempt) version() string {
	if a.versionUnknown {
		return ""
	}
	return a.choice.Version
}

// readReport asks the upstream for its report.
func (a *attempt) readReport() (body []byte, err error) {
	deadline := min(a.x.deadline, a.x.gateway.clock.Now().Add(reportTimeout))
	a.setReadDeadline(deadline)
	_ = a.conn.SetWriteDeadline(time.Now().Add(reportTimeout.Std()))
	request := kcrhttp.AppendRequest(nil, "GET", a.x.gateway.config.Report.Path, []kcrhttp.Field{{Name: "Host", Value: a.choice.Addr}})
	if _, err := a.conn.Write(append(request, "\r\n"...)); err != nil {
		return nil, err
	}
	for range maxStrayResponses {
		head, err := kcrhttp.ReadResponse(a.conn.br, maxResponseHeader)
		if err != nil {
			return nil, err
		}
		bodyReader, err := kcrhttp.ResponseBody(a.conn.br, head, "GET")
		if err != nil {
			return nil, err
		}
		if body, err = bodyReader.ReadAll(maxReport); err != nil {
			return nil, err
		}
		switch {
		case head.Get(a.x.gateway.headerNames.RequestID) != "": // it answers an earlier request
		case !head.KeepAlive() || bodyReader.UntilClose():
			return nil, errors.New("report: expected a connection that stays open")
		default:
			return body, nil
		}
	}
	return nil, errors.New("report: expected an answer, got those to other requests")
}
