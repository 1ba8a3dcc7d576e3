package kcrsidecar

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"kingcuprun.example/kernel/kcrid"
)

// This file speaks HTTP to the upstream. Each request is sent at most once; an
// error that wraps errUnsent proves that the upstream got nothing.

var (
	errUnsent  = errors.New("the upstream got nothing")
	errPartial = errors.New("the upstream broke the answer off")
)

const (
	upstreamDial = 300 * time.Millisecond
	upstreamRead = 60 * time.Second
	maxAnswer    = 8 << 20
	eventEnd     = "\n\n"
)

// upstream sends requests to the upstream beside the sidecar.
type upstream struct {
	addr string
	http *fasthttp.Client
}

func newUpstream(addr string) *upstream {
	return &upstream{addr: addr, http: &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		StreamResponseBody:        true,
		MaxResponseBodySize:       maxAnswer,
		ReadTimeout:               upstreamRead,
		MaxConnsPerHost:           4096,
		Dial: func(a string) (net.Conn, error) {
			conn, err := fasthttp.DialTimeout(a, upstreamDial)
			if err != nil {
				return nil, errors.Join(errUnsent, err)
			}
			return conn, nil
		},
	}}
}

// request is what the upstream gets.
type request struct {
	method string
	path   string
	kind   string
	key    string
	body   []byte
	rank   int32
}

// sink takes an answer as it comes. It returns false to break off.
type sink struct {
	head func(status int, kind string)
	data func([]byte) bool
}

// send passes a request on and feeds the answer to the sink. Every request
// has a connection of its own, since a kept one may close at any time.
func (u *upstream) send(r request, s sink) (err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + u.addr + r.path)
	req.Header.SetMethod(r.method)
	req.Header.SetContentType(r.kind)
	req.Header.Set("Idempotency-Key", r.key)
	req.Header.Set("X-Priority", string('0'+byte(r.rank%10)))
	req.SetBodyRaw(r.body)
	req.SetConnectionClose()
	if err := u.http.Do(req, resp); err != nil {
		return err
	}
	defer func() { _ = resp.CloseBodyStream() }()
	s.head(resp.StatusCode(), string(resp.Header.ContentType()))
	return copyBody(resp, s)
}

func copyBody(resp *fasthttp.Response, s sink) error {
	body := resp.BodyStream()
	if body == nil {
		s.data(resp.Body())
		return nil
	}
	buf := make([]byte, 16<<10)
	for {
		n, err := body.Read(buf)
		if n > 0 && !s.data(buf[:n]) {
			return errPartial
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return errors.Join(errPartial, err)
		}
	}
}

// usage is the part of an answer that tells its tokens.
type usage struct {
	Usage *struct {
		Total kcrid.Tokens `json:"total_tokens"`
	} `json:"usage"`
}

// counter counts the tokens of an answer as it passes: one for each event of
// a stream, until the usage tells the exact number.
type counter struct {
	stream bool
	rest   []byte
	events kcrid.Tokens
	total  kcrid.Tokens
	exact  bool
	done   bool
}

// add returns how many tokens the data adds to those counted before.
func (c *counter) add(data []byte) (fresh kcrid.Tokens) {
	c.rest = append(c.rest, data...)
	if !c.stream {
		return 0
	}
	before := c.count()
	for {
		i := bytes.Index(c.rest, []byte(eventEnd))
		if i < 0 {
			break
		}
		c.event(c.rest[:i])
		c.rest = c.rest[i+len(eventEnd):]
	}
	return max(0, c.count()-before)
}

func (c *counter) event(event []byte) {
	sc := bufio.NewScanner(bytes.NewReader(event))
	sc.Buffer(nil, maxAnswer)
	for sc.Scan() {
		data, ok := bytes.CutPrefix(sc.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		c.line(bytes.TrimSpace(data))
	}
}

func (c *counter) line(data []byte) {
	if string(data) == "[DONE]" {
		c.done = true
		return
	}
	if bytes.Contains(data, []byte(`"usage":{`)) {
		c.parse(data)
		return
	}
	c.events++
}

func (c *counter) parse(data []byte) {
	var u usage
	if json.Unmarshal(data, &u) == nil && u.Usage != nil {
		c.total, c.exact = u.Usage.Total, true
	}
}

func (c *counter) count() kcrid.Tokens {
	if c.exact {
		return max(c.total, c.events)
	}
	return c.events
}

// finish returns the tokens of the answer and whether it is whole.
func (c *counter) finish() (total kcrid.Tokens, whole bool) {
	if !c.stream {
		c.parse(c.rest)
		return c.count(), c.exact
	}
	return c.count(), c.done
}
