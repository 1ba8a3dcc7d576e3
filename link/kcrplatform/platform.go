// Package kcrplatform is the client of the platform's services, the log and the VM list,
// and defines their messages: HTTP requests with JSON bodies. The client never retries a
// request, since only its callers know which requests are safe to repeat.
package kcrplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"kingcuprun.example/kernel/kcrclock"
	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlog"
	"kingcuprun.example/kernel/kcrroute"
	"kingcuprun.example/link/kcrhttp"
)

// Paths of the requests to the platform's services.
const (
	AppendPath = "/append"
	ReadPath   = "/read"
	VMListPath = "/vms"
)

// Append is the body of a request that appends records to a stream.
type Append struct {
	Stream  kcrid.Stream `json:"stream"`
	Records [][]byte     `json:"records"`
}

// Page is the body of the response to a read. First is the offset of the oldest
// record that the log still holds, Next the offset that the next append will get.
type Page struct {
	First   kcrid.Offset `json:"first"`
	Next    kcrid.Offset `json:"next"`
	Records []Record     `json:"records"`
}

// Record is an encoded entry at its offset in a stream.
type Record struct {
	Offset kcrid.Offset `json:"offset"`
	Data   []byte       `json:"data"`
}

const (
	requestTimeout = 2 * time.Second
	maxResponse    = 64 << 20 // bytes
)

// NewHTTPClient returns an HTTP client that sends each request at most once, and to which a
// response whose head breaks the protocol is an error.
func NewHTTPClient() *fasthttp.Client {
	return &fasthttp.Client{
		Dial: func(addr string) (net.Conn, error) {
			conn, err := fasthttp.Dial(addr)
			if err != nil {
				return nil, err
			}
			return kcrhttp.NewCheckedConn(conn), nil
		},
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:       maxResponse,
		NoDefaultUserAgentHeader:  true,
	}
}

// Client sends requests to the platform's services at one address. It is safe for
// concurrent use.
type Client struct {
	baseURL    string
	httpClient *fasthttp.Client
}

// NewClient returns a client of the services at an address of the form ip:port.
func NewClient(addr string, httpClient *fasthttp.Client) *Client {
	return &Client{baseURL: "http://" + addr, httpClient: httpClient}
}

// Log returns the log at the client's address.
func (c *Client) Log() kcrlog.Log {
	return kcrlog.Log{Append: c.append, Read: c.read}
}

// do sends a request like fetch, and decodes the JSON response into result, unless result is nil.
func (c *Client) do(ctx context.Context, method, uri string, body, result any, timeout time.Duration) (err error) {
	data, err := c.fetch(ctx, method, uri, body, timeout)
	if err != nil || result == nil {
		return err
	}
	return json.Unmarshal(data, result)
}

// fetch sends a request with the JSON encoding of body, unless body is nil, and returns the body of
// the response. It returns an error if the status is not 200, or after timeout or the deadline of
// the context, whichever is earlier.
func (c *Client) fetch(ctx context.Context, method, uri string, body any, timeout time.Duration) (data []byte, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.baseURL + uri)
	req.Header.SetMethod(method)
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return nil, err
		}
		req.SetBody(encoded)
	}
	if deadline, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(deadline))
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	if err := c.httpClient.DoTimeout(req, resp, timeout); err != nil {
		return nil, err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, fmt.Errorf("expected status 200, got %d: %.200s", resp.StatusCode(), resp.Body())
	}
	return bytes.Clone(resp.Body()), nil
}

// append implements kcrlog.Log.Append.
func (c *Client) append(ctx context.Context, s kcrid.Stream, records [][]byte) (err error) {
	defer kcrerror.Annotate(&err, "append to %s", s)
	return c.do(ctx, fasthttp.MethodPost, AppendPath, Append{Stream: s, Records: records}, nil, requestTimeout)
}

// read implements kcrlog.Log.Read.
func (c *Client) read(ctx context.Context, s kcrid.Stream, from kcrid.Offset, wait kcrclock.Duration) (page kcrlog.Page, err error) {
	defer kcrerror.Annotate(&err, "read %s from %d", s, from)
	query := url.Values{
		"stream": {string(s)},
		"from":   {strconv.FormatUint(uint64(from), 10)},
		"wait":   {strconv.FormatInt(int64(wait), 10)},
	}
	var response Page
	if err := c.do(ctx, fasthttp.MethodGet, ReadPath+"?"+query.Encode(), nil, &response, requestTimeout+wait.Std()); err != nil {
		return page, err
	}
	page = kcrlog.Page{FirstOffset: response.First, NextOffset: response.Next}
	for _, r := range response.Records {
		page.Records = append(page.Records, kcrlog.Record{Offset: r.Offset, Data: r.Data})
	}
	return page, nil
}

// VMs returns the VM list, or a list without entries if version is the current version.
func (c *Client) VMs(ctx context.Context, version uint64) (list VMList, err error) {
	defer kcrerror.Annotate(&err, "read the VM list")
	uri := VMListPath + "?version=" + strconv.FormatUint(version, 10)
	data, err := c.fetch(ctx, fasthttp.MethodGet, uri, nil, requestTimeout)
	if err != nil {
		return list, err
	}
	return decodeVMList(data)
}

// ToUpstreams converts the entries of a VM list to the upstreams of package kcrroute.
func ToUpstreams(vms []VM) (upstreams []kcrroute.Upstream) {
	for _, vm := range vms {
		upstreams = append(upstreams, kcrroute.Upstream{
			VM: vm.Name, Addr: vm.Addr, Zone: vm.Zone, Region: vm.Region,
			Service: vm.Service, Leaving: vm.State == StateLeaving,
		})
	}
	return upstreams
}
