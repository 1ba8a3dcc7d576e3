// Package kcrplatform is the client of the platform's services, the log and the VM list,
// and defines their messages: HTTP requests with JSON bodies. The client never retries a
// request, since only its callers know which requests are safe to repeat.
package kcrplatform

import (
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

// VMList is the body of the response to a request for the VM list. If the request names
// the current version, VMs is empty.
type VMList struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// VM is an entry of the VM list. Addr has the form ip:port. State is "live" or
// "leaving".
type VM struct {
	Name    kcrid.VM      `json:"name"`
	Addr    string        `json:"addr"`
	Zone    kcrid.Zone    `json:"zone"`
	Region  kcrid.Region  `json:"region"`
	Service kcrid.Service `json:"service"`
	State   string        `json:"state"`
}

// StateLeaving is the state of a VM that the platform will stop; it must get no new
// requests.
const StateLeaving = "leaving"

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

// do sends a request with the JSON encoding of body, unless body is nil, and decodes the
// JSON response into result, unless result is nil. It returns an error if the status is
// not 200, or after timeout or the deadline of the context, whichever is earlier.
func (c *Client) do(ctx context.Context, method, uri string, body, result any, timeout time.Duration) (err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI(c.baseURL + uri)
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
	if err := c.httpClient.DoTimeout(req, resp, timeout); err != nil {
		return err
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("expected status 200, got %d: %s", resp.StatusCode(), resp.Body())
	}
	if result == nil {
		return nil
	}
	return json.Unmarshal(resp.Body(), result)
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
	err = c.do(ctx, fasthttp.MethodGet, uri, nil, &list, requestTimeout)
	return list, err
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
