// Package kcrplatform speaks to the platform: the log service and the VM list,
// over HTTP with JSON bodies. It repeats nothing by itself; the callers know
// what is safe to repeat.
package kcrplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/kernel/kcrroute"
)

// Paths of the platform's services.
const (
	AppendPath = "/append"
	ReadPath   = "/read"
	VMsPath    = "/vms"
)

// Append is the body of a request to append records to a stream.
type Append struct {
	Stream  kcrid.Stream `json:"stream"`
	Records [][]byte     `json:"records"`
}

// Page is the body of an answer to a read.
type Page struct {
	First   kcrid.Offset `json:"first"`
	Next    kcrid.Offset `json:"next"`
	Records []Record     `json:"records"`
}

// Record is a record in a Page.
type Record struct {
	Offset kcrid.Offset `json:"offset"`
	Data   []byte       `json:"data"`
}

// VMList is the answer to a request for the VM list. A request that names the
// version it has gets an empty list if nothing changed.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// VM is an entry of the VM list. State is "live" or "leaving".
type VM struct {
	Name    kcrid.VM      `json:"name"`
	Addr    string        `json:"addr"`
	Zone    kcrid.Zone    `json:"zone"`
	Region  kcrid.Region  `json:"region"`
	Service kcrid.Service `json:"service"`
	State   string        `json:"state"`
}

// StateLeaving is the state of a VM that is to go.
const StateLeaving = "leaving"

const (
	callTimeout = 2 * time.Second
	maxBody     = 64 << 20
)

// HTTPClient returns a client that sends each request at most once.
func HTTPClient() *fasthttp.Client {
	return &fasthttp.Client{
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxBody,
		NoDefaultUserAgentHeader:  true,
	}
}

// Client speaks to the platform's services at one address.
type Client struct {
	base string
	http *fasthttp.Client
}

// New returns a client for services at an address of the form ip:port.
func New(addr string, client *fasthttp.Client) *Client {
	return &Client{base: "http://" + addr, http: client}
}

// Log returns the log service.
func (c *Client) Log() kcrlog.Log {
	return kcrlog.Log{Append: c.append, Read: c.read}
}

func (c *Client) do(ctx context.Context, method, uri string, body, into any, timeout time.Duration) (err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.base + uri)
	req.Header.SetMethod(method)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		req.SetBody(data)
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("expected status 200, got %d: %s", resp.StatusCode(), resp.Body())
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), into)
}

func (c *Client) append(ctx context.Context, s kcrid.Stream, records [][]byte) (err error) {
	defer kcrerror.Annotate(&err, "append to %s", s)
	return c.do(ctx, fasthttp.MethodPost, AppendPath, Append{Stream: s, Records: records}, nil, callTimeout)
}

func (c *Client) read(ctx context.Context, s kcrid.Stream, from kcrid.Offset, wait kcrclock.Duration) (p kcrlog.Page, err error) {
	defer kcrerror.Annotate(&err, "read %s from %d", s, from)
	q := url.Values{
		"stream": {string(s)},
		"from":   {strconv.FormatUint(uint64(from), 10)},
		"wait":   {strconv.FormatInt(int64(wait), 10)},
	}
	var page Page
	if err := c.do(ctx, fasthttp.MethodGet, ReadPath+"?"+q.Encode(), nil, &page, callTimeout+wait.Std()); err != nil {
		return p, err
	}
	p = kcrlog.Page{First: page.First, Next: page.Next}
	for _, r := range page.Records {
		p.Records = append(p.Records, kcrlog.Record{Offset: r.Offset, Data: r.Data})
	}
	return p, nil
}

// VMs returns the VM list, or only its version if that is the one named.
func (c *Client) VMs(ctx context.Context, version uint64) (list VMList, err error) {
	defer kcrerror.Annotate(&err, "read the VM list")
	uri := VMsPath + "?version=" + strconv.FormatUint(version, 10)
	err = c.do(ctx, fasthttp.MethodGet, uri, nil, &list, callTimeout)
	return list, err
}

// Upstreams returns the entries of a VM list in the form that routing takes.
func Upstreams(list []VM) (out []kcrroute.Upstream) {
	for _, vm := range list {
		out = append(out, kcrroute.Upstream{
			VM: vm.Name, Addr: vm.Addr, Zone: vm.Zone, Region: vm.Region,
			Service: vm.Service, Leaving: vm.State == StateLeaving,
		})
	}
	return out
}
