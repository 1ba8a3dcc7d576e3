package kcrsidecar

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"kingcuprun.example/kernel/kcranswer"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/link/kcrhttp"
)

// This file defines the HTTP client for the upstream and the counter of the
// tokens in its answers. Each request is sent at most once. An error that wraps
// errNotSent proves that the upstream did not receive any part of the request.

var (
	// errNotSent is joined to errors that occur before the request is sent.
	errNotSent = errors.New("request not sent: cannot connect to the upstream")
	// errIncomplete reports an answer that stopped before its end.
	errIncomplete = errors.New("the upstream broke the answer off")
	// errEventTooLarge reports a stream with an event of more than maxEventBytes.
	errEventTooLarge = fmt.Errorf("an event is larger than %d bytes", maxEventBytes)
)

const (
	upstreamDialTimeout = 300 * time.Millisecond
	upstreamReadTimeout = 60 * time.Second
	// maxEventBytes is the maximum size of an event of a stream.
	maxEventBytes = 64 << 10
	// eventSeparator ends each event of a server-sent event stream.
	eventSeparator = "\n\n"
)

// upstreamClient sends requests to the upstream beside this sidecar.
type upstreamClient struct {
	addr   string
	client *fasthttp.Client
	memory *kcranswer.Memory // of the answers that arrive
}

// newUpstreamClient returns a client that never repeats a request.
func newUpstreamClient(addr string) *upstreamClient {
	return &upstreamClient{addr: addr, memory: kcranswer.NewMemory(), client: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		ReadTimeout:               upstreamReadTimeout,
		MaxConnsPerHost:           4096,
		Dial: func(a string) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(a, upstreamDialTimeout)
			if err != nil {
				return nil, errors.Join(errNotSent, err)
			}
			return kcrhttp.NewCheckedConn(conn), nil
		},
	}}
}

// upstreamRequest holds the parts of a request that are sent to the upstream.
type upstreamRequest struct {
	method         string
	path           string
	contentType    string
	idempotencyKey string
	body           []byte
	priority       int32
}

// answerHandler receives an answer while it arrives: head once, then data for
// each part of the body. If data returns an error, reading stops with errIncomplete.
type answerHandler struct {
	head  func(status int, kind string)
	data  func([]byte) error
	keeps bool // it keeps what it has received until the end of the answer
}

// isMalformed reports whether an answer broke the protocol in its head. An upstream that sends
// such an answer still runs.
func isMalformed(err error) bool {
	var malformed *kcrhttp.ProtocolError
	return errors.As(err, &malformed)
}

// isTooLarge reports whether an answer was given up because of its size. An upstream that sends too
// much still runs.
func isTooLarge(err error) bool {
	return errors.Is(err, kcranswer.ErrTooLarge) || errors.Is(err, kcranswer.ErrNoMemory) || errors.Is(err, errEventTooLarge)
}

// brokenAnswerText returns the text for callers about an answer that is not whole. It quotes
// nothing of the answer, which may belong to another caller.
func brokenAnswerText(err error) string {
	switch {
	case isMalformed(err):
		return "the upstream broke the protocol"
	case isTooLarge(err):
		return "the answer of the upstream is too large"
	}
	return "the upstream broke the answer off"
}

// send sends a request to the upstream and passes the answer to the handler.
// Every request opens its own connection: the upstream may close a kept-alive
// connection at any time, and then it is unknown whether the request arrived.
func (c *upstreamClient) send(upstreamReq upstreamRequest, handler answerHandler) (err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + c.addr + upstreamReq.path)
	req.Header.SetMethod(upstreamReq.method)
	req.Header.SetContentType(upstreamReq.contentType)
	req.Header.Set("Idempotency-Key", upstreamReq.idempotencyKey)
	req.Header.Set("X-Priority", string('0'+byte(upstreamReq.priority%10)))
	req.SetBodyRaw(upstreamReq.body)
	req.SetConnectionClose()
	if err := c.client.Do(req, resp); err != nil {
		return err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	handler.head(resp.StatusCode(), string(resp.Header.ContentType()))
	body, ok := resp.BodyStream().(fasthttp.ReadCloserWithError)
	if !ok { // the answer can't have a body
		return handler.data(resp.Body())
	}
	return c.forwardBody(body, handler)
}

// forwardBody reads the body to its end and passes each part to the handler.
func (c *upstreamClient) forwardBody(body fasthttp.ReadCloserWithError, handler answerHandler) error {
	share := c.memory.Open(func() { _ = body.CloseWithError(kcranswer.ErrNoMemory) })
	defer share.Close()
	count := share.Pass
	if handler.keeps {
		count = share.Keep
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			handlerErr := count(n)
			if handlerErr == nil {
				handlerErr = handler.data(buf[:n])
			}
			if handlerErr != nil {
				return errors.Join(errIncomplete, handlerErr)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return errors.Join(errIncomplete, share.Err(), err)
		}
	}
}

// usage decodes the token usage that the upstream reports in an answer.
type usage struct {
	Usage *struct {
		Total kcrid.Tokens `json:"total_tokens"`
	} `json:"usage"`
}

// tokenCounter counts the tokens of an answer while it arrives. Each data event
// of a stream counts as one token until the usage report gives the exact number.
type tokenCounter struct {
	stream        bool
	unparsed      []byte // of a stream: the event that has not ended
	events        kcrid.Tokens
	reportedTotal kcrid.Tokens
	hasTotal      bool
	sawDone       bool
}

// isTooLarge reports whether a stream holds an event that does not end.
func (c *tokenCounter) isTooLarge() bool { return len(c.unparsed) > maxEventBytes }

// add takes the next part of the body and returns how many tokens it adds to
// those counted before. Without streaming, tokens are counted in finish only.
func (c *tokenCounter) add(data []byte) (added kcrid.Tokens) {
	if !c.stream {
		return 0
	}
	c.unparsed = append(c.unparsed, data...)
	before := c.tokens()
	for {
		i := bytes.Index(c.unparsed, []byte(eventSeparator))
		if i < 0 {
			break
		}
		c.parseEvent(c.unparsed[:i])
		c.unparsed = c.unparsed[i+len(eventSeparator):]
	}
	return max(0, c.tokens()-before)
}

// parseEvent counts the data lines of one event.
func (c *tokenCounter) parseEvent(event []byte) {
	for line := range bytes.Lines(event) {
		if data, ok := bytes.CutPrefix(line, []byte("data:")); ok {
			c.parseData(bytes.TrimSpace(data))
		}
	}
}

// parseData counts the payload of one data line. The end marker and the usage
// report do not count as tokens.
func (c *tokenCounter) parseData(data []byte) {
	if string(data) == "[DONE]" {
		c.sawDone = true
		return
	}
	if bytes.Contains(data, []byte(`"usage":{`)) {
		c.parseUsage(data)
		return
	}
	c.events++
}

// parseUsage reads the total from a usage report, if the data holds one.
func (c *tokenCounter) parseUsage(data []byte) {
	var u usage
	if json.Unmarshal(data, &u) == nil && u.Usage != nil {
		c.reportedTotal, c.hasTotal = u.Usage.Total, true
	}
}

// tokens returns the tokens counted so far: the reported total, but never fewer
// than the events seen.
func (c *tokenCounter) tokens() kcrid.Tokens {
	if c.hasTotal {
		return max(c.reportedTotal, c.events)
	}
	return c.events
}

// finish returns the tokens of the answer with a body and whether the answer is complete: a
// stream must have ended with its end marker, another answer must report usage.
func (c *tokenCounter) finish(body func() []byte) (total kcrid.Tokens, complete bool) {
	if !c.stream {
		c.parseUsage(body())
		return c.tokens(), c.hasTotal
	}
	return c.tokens(), c.sawDone
}
