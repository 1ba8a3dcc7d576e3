package kcrrouter

import (
	"bufio"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/prometheus/client_golang/prometheus"

	"kingcuprun.example/kernel/kcrerror"
	"kingcuprun.example/kernel/kcrid"
	"kingcuprun.example/kernel/kcrlist"
	"kingcuprun.example/link/kcrsettings"
)

// This file defines the HTTP handlers, which authenticate callers and relay responses
// to them. Invariants: every error response tells whether the request may have run; a
// stream that is incomplete ends with an error event and without [DONE].

// Paths for callers.
const (
	chatPath     = "/v1/chat/completions"
	modelsPath   = "/v1/models"
	servicesPath = "/services/"
)

// Headers of requests and responses.
const (
	idempotencyKeyHeader = "Idempotency-Key"
	requestIDHeader      = "X-Request-Id"
)

// metrics holds the counters of a router.
type metrics struct {
	responses *prometheus.CounterVec // by kcrerror.Code, or "ok"
}

func newMetrics(registry *prometheus.Registry) *metrics {
	m := &metrics{responses: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_answers_total", Help: "Answers by code."}, []string{"code"})}
	registry.MustRegister(m.responses)
	return m
}

// newApp returns the HTTP application with its handlers.
func (r *Router) newApp() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxBodyLen, ErrorHandler: r.handleError})
	app.Post(chatPath, r.handleChat)
	app.Get(modelsPath, r.handleModels)
	app.All(servicesPath+":service/*", r.handlePlain)
	return app
}

// errorBody is the body of an error response, in the format of the OpenAI API with
// two more fields: the outcome and the ID of the request.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string        `json:"message"`
	Type    string        `json:"type"`
	Code    kcrerror.Code `json:"code"`
	Outcome string        `json:"outcome"`
	Request string        `json:"request,omitempty"`
}

// Outcomes of a request in an error response.
const (
	outcomeNotRun  = "not_run" // the request did not run and will not run
	outcomeUnknown = "unknown" // the request may have run or may still run
)

func newErrorBody(refusal *kcrerror.Refusal, id string) errorBody {
	d := errorDetail{Message: refusal.Text, Type: "kingcuprun_error", Code: refusal.Code, Outcome: outcomeNotRun, Request: id}
	if refusal.MayHaveRun {
		d.Outcome = outcomeUnknown
	}
	return errorBody{Error: d}
}

// handleError sends the error response for the error of a handler. An error of
// unknown type is reported as if the request may have run.
func (r *Router) handleError(c fiber.Ctx, err error) error {
	var refusal *kcrerror.Refusal
	var fiberErr *fiber.Error
	switch {
	case errors.As(err, &refusal):
	case errors.As(err, &fiberErr) && fiberErr.Code == fiber.StatusRequestEntityTooLarge:
		refusal = &kcrerror.Refusal{Code: kcrerror.TooLarge, Text: "the body is too large"}
	case errors.As(err, &fiberErr):
		return c.Status(fiberErr.Code).JSON(newErrorBody(&kcrerror.Refusal{Code: kcrerror.BadRequest, Text: fiberErr.Message}, ""))
	default:
		refusal = &kcrerror.Refusal{Code: kcrerror.OutcomeUnknown, Text: err.Error(), MayHaveRun: true}
	}
	r.metrics.responses.WithLabelValues(string(refusal.Code)).Inc()
	id := string(c.Response().Header.Peek(requestIDHeader))
	r.decisions.Add(id, "answered", "code", refusal.Code, "ran", refusal.MayHaveRun, "text", refusal.Text)
	if refusal.RetryAfterSeconds > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(refusal.RetryAfterSeconds, 10))
	}
	if refusal.MayHaveRun || refusal.RetryAfterSeconds == 0 {
		c.Set("X-Should-Retry", strconv.FormatBool(refusal.RetryAfterSeconds > 0))
	}
	return c.Status(refusal.Status()).JSON(newErrorBody(refusal, id))
}

// newRequest assigns an ID to a request, checks its idempotency key and authenticates
// the caller. The handlers set the other fields. Strings that are kept are cloned,
// since fiber reuses its buffers.
func (r *Router) newRequest(c fiber.Ctx) (req *request, err error) {
	req = &request{id: "req-" + rand.Text()[:16], method: strings.Clone(c.Method()), contentType: strings.Clone(c.Get(fiber.HeaderContentType))}
	c.Set(requestIDHeader, req.id)
	key := strings.Clone(c.Get(idempotencyKeyHeader))
	if err := checkKey(key); err != nil {
		return req, err
	}
	req.key = kcrid.IdempotencyKey(key)
	if req.keyGenerated = key == ""; req.keyGenerated {
		req.key = kcrid.IdempotencyKey(req.id)
	}
	if r.operatorConfig.Version() == 0 {
		return req, r.refuse(req, kcrerror.Unconfigured, "no configuration is known yet", 1)
	}
	token, ok := bearerToken(c.Get(fiber.HeaderAuthorization))
	if !ok {
		return req, r.refuse(req, kcrerror.InvalidAPIKey, "expected an Authorization header with a bearer key", 0)
	}
	if req.planConfig, ok = r.operatorConfig.PlanByAPIKey(token); !ok {
		return req, r.refuse(req, kcrerror.InvalidAPIKey, "the API key is not known", 0)
	}
	return req, nil
}

// refuse returns the refusal of a request before its first attempt. MayHaveRun is true
// if the caller chose the idempotency key, since a copy of the request may still run at
// another router, which may have a different configuration.
func (r *Router) refuse(req *request, code kcrerror.Code, text string, after int64) error {
	return &kcrerror.Refusal{Code: code, Text: text, RetryAfterSeconds: after, MayHaveRun: !req.keyGenerated}
}

// handleChat handles a chat request.
func (r *Router) handleChat(c fiber.Ctx) error {
	req, err := r.newRequest(c)
	if err != nil {
		return err
	}
	body, fields, err := parseChat(append([]byte(nil), c.Body()...))
	if err != nil {
		return err
	}
	req.path = chatPath
	var ok bool
	if req.service, ok = r.config.Settings.ServiceOfModel(body.Model); !ok {
		return r.refuse(req, kcrerror.ModelNotFound, fmt.Sprintf("the model %q is not known", body.Model), 0)
	}
	if !contains(req.planConfig.Allowance.Models, body.Model) {
		return r.refuse(req, kcrerror.NotAllowed, fmt.Sprintf("the plan does not allow the model %q", body.Model), 0)
	}
	if err := req.applyChat(body, fields); err != nil {
		return err
	}
	return r.relay(c, req)
}

func contains[T comparable](list []T, item T) bool {
	for _, element := range list {
		if element == item {
			return true
		}
	}
	return false
}

// handlePlain handles a request to a service of kind kcrsettings.KindPlain. Requests with
// the same team and key have the same prefix hash, so that a retry prefers the same
// upstream.
func (r *Router) handlePlain(c fiber.Ctx) error {
	req, err := r.newRequest(c)
	if err != nil {
		return err
	}
	name := kcrid.Service(strings.Clone(c.Params("service")))
	service, ok := r.config.Settings.Service(name)
	if !ok || service.Kind != kcrsettings.KindPlain {
		return r.refuse(req, kcrerror.ModelNotFound, fmt.Sprintf("the service %q is not known", name), 0)
	}
	if !contains(req.planConfig.Allowance.Services, name) {
		return r.refuse(req, kcrerror.NotAllowed, fmt.Sprintf("the plan does not allow the service %q", name), 0)
	}
	req.service = service
	req.path = "/" + strings.Clone(c.Params("*"))
	if query := c.Request().URI().QueryString(); len(query) > 0 {
		req.path += "?" + string(query)
	}
	req.body = append([]byte(nil), c.Body()...)
	req.contentHash = kcrid.HashContent(req.path, req.body)
	req.atMostOnce = !isSafeMethod(req.method)
	req.prefixHash = kcrid.HashContent(string(req.planConfig.Plan.Team), []byte(req.key))
	return r.relay(c, req)
}

// relay runs a request and relays the response to the caller.
func (r *Router) relay(c fiber.Ctx, req *request) error {
	ctx := context.Background()
	if !req.streaming {
		return r.relayBuffered(ctx, c, req)
	}
	resp, err := r.openResponse(ctx, req)
	if err != nil {
		return err
	}
	c.Status(int(resp.head.GetStatus()))
	c.Set(fiber.HeaderContentType, resp.head.GetType())
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) { r.relayStream(ctx, w, resp) })
}

// relayBuffered reads the complete response before it sends any of it to the caller.
// So a request whose response breaks off can be retried, if it may run more than once.
func (r *Router) relayBuffered(ctx context.Context, c fiber.Ctx, req *request) error {
	var body []byte
	var err error
	for range maxAttempts {
		var resp *response
		if resp, err = r.openResponse(ctx, req); err != nil {
			return err
		}
		body, err = resp.readAll(ctx)
		head := resp.head
		resp.close()
		if err == nil {
			r.metrics.responses.WithLabelValues("ok").Inc()
			r.decisions.Add(req.id, "answered", "status", head.GetStatus(), "bytes", len(body))
			c.Set(fiber.HeaderContentType, head.GetType())
			return c.Status(int(head.GetStatus())).Send(body)
		}
		r.decisions.Add(req.id, "response incomplete", "err", err.Error())
		if req.atMostOnce || !r.retryBucket.TryRetry() {
			break
		}
	}
	return r.incompleteRefusal(ctx, req, err)
}

// incompleteRefusal returns the refusal of a request whose response began but did not
// become complete because of err.
func (r *Router) incompleteRefusal(ctx context.Context, req *request, err error) error {
	incomplete := &kcrerror.Refusal{Code: kcrerror.AnswerBroken, Text: err.Error(), MayHaveRun: true, RetryAfterSeconds: 1}
	var refusal *kcrerror.Refusal
	if errors.As(err, &refusal) {
		incomplete.Code, incomplete.Text = refusal.Code, refusal.Text
	}
	if req.atMostOnce && r.barRequest(ctx, req) {
		incomplete.MayHaveRun = false
	}
	return incomplete
}

// relayStream relays an event stream as its data arrives. If the stream breaks off, it
// ends with an error event and without [DONE].
func (r *Router) relayStream(ctx context.Context, w *bufio.Writer, resp *response) {
	defer resp.close()
	for {
		data, err := resp.next(ctx)
		if errors.Is(err, io.EOF) {
			r.metrics.responses.WithLabelValues("ok").Inc()
			r.decisions.Add(resp.req.id, "answered", "status", resp.head.GetStatus(), "bytes", resp.forwardedBytes)
			return
		}
		if err != nil {
			r.writeErrorEvent(w, resp, err)
			return
		}
		if _, err = w.Write(data); err == nil {
			err = w.Flush()
		}
		if err != nil {
			r.decisions.Add(resp.req.id, "caller disconnected", "bytes", resp.forwardedBytes)
			resp.cancel()
			return
		}
	}
}

// writeErrorEvent writes the event that ends an incomplete stream.
func (r *Router) writeErrorEvent(w *bufio.Writer, resp *response, err error) {
	refusal := &kcrerror.Refusal{Code: kcrerror.AnswerBroken, Text: err.Error(), MayHaveRun: true}
	r.metrics.responses.WithLabelValues(string(kcrerror.AnswerBroken)).Inc()
	r.decisions.Add(resp.req.id, "response incomplete", "bytes", resp.forwardedBytes, "err", err.Error())
	body, encodeErr := json.Marshal(newErrorBody(refusal, resp.req.id))
	if encodeErr != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
	_ = w.Flush()
}

// modelEntry is an entry of the list of models, in the format of the OpenAI API.
type modelEntry struct {
	ID      kcrid.Model `json:"id"`
	Object  string      `json:"object"`
	OwnedBy string      `json:"owned_by"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

// handleModels lists the models that the caller's plan allows.
func (r *Router) handleModels(c fiber.Ctx) error {
	req, err := r.newRequest(c)
	if err != nil {
		return err
	}
	return c.JSON(listModels(req.planConfig))
}

func listModels(item kcrlist.PlanConfig) modelList {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, m := range item.Allowance.Models {
		list.Data = append(list.Data, modelEntry{ID: m, Object: "model", OwnedBy: string(item.Plan.Team)})
	}
	return list
}
