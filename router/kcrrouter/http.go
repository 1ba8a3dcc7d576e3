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

// This file serves callers over HTTP.

// Paths for callers.
const (
	chatPath     = "/v1/chat/completions"
	modelsPath   = "/v1/models"
	servicesPath = "/services/"
)

// Headers of requests and answers.
const (
	keyHeader     = "Idempotency-Key"
	requestHeader = "X-Request-Id"
)

type metrics struct {
	answers *prometheus.CounterVec
}

func newMetrics(r *prometheus.Registry) *metrics {
	m := &metrics{answers: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "kcr_answers_total", Help: "Answers by code."}, []string{"code"})}
	r.MustRegister(m.answers)
	return m
}

func (r *Router) routes() *fiber.App {
	app := fiber.New(fiber.Config{BodyLimit: maxBodyLen, ErrorHandler: r.fail})
	app.Post(chatPath, r.chat)
	app.Get(modelsPath, r.models)
	app.All(servicesPath+":service/*", r.plain)
	return app
}

// errorBody is the error shape of OpenAI-type clients, with the outcome.
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

// Outcomes that a caller is told.
const (
	notRun  = "not_run"
	unknown = "unknown"
)

func detail(refusal *kcrerror.Refusal, id string) errorBody {
	d := errorDetail{Message: refusal.Text, Type: "kingcuprun_error", Code: refusal.Code, Outcome: notRun, Request: id}
	if refusal.Ran {
		d.Outcome = unknown
	}
	return errorBody{Error: d}
}

// fail answers with an error.
func (r *Router) fail(c fiber.Ctx, err error) error {
	var refusal *kcrerror.Refusal
	var framework *fiber.Error
	switch {
	case errors.As(err, &refusal):
	case errors.As(err, &framework) && framework.Code == fiber.StatusRequestEntityTooLarge:
		refusal = &kcrerror.Refusal{Code: kcrerror.TooLarge, Text: "the body is too large"}
	case errors.As(err, &framework):
		return c.Status(framework.Code).JSON(detail(&kcrerror.Refusal{Code: kcrerror.BadRequest, Text: framework.Message}, ""))
	default:
		refusal = &kcrerror.Refusal{Code: kcrerror.Unconfirmed, Text: err.Error(), Ran: true}
	}
	r.metrics.answers.WithLabelValues(string(refusal.Code)).Inc()
	id := string(c.Response().Header.Peek(requestHeader))
	r.journal.Add(id, "answered", "code", refusal.Code, "ran", refusal.Ran, "text", refusal.Text)
	if refusal.After > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.FormatInt(refusal.After, 10))
	}
	if refusal.Ran || refusal.After == 0 {
		c.Set("X-Should-Retry", strconv.FormatBool(refusal.After > 0))
	}
	return c.Status(refusal.Status()).JSON(detail(refusal, id))
}

// begin reads what all requests have in common.
func (r *Router) begin(c fiber.Ctx) (q *query, err error) {
	q = &query{id: "req-" + rand.Text()[:16], method: strings.Clone(c.Method()), kind: strings.Clone(c.Get(fiber.HeaderContentType))}
	c.Set(requestHeader, q.id)
	key := strings.Clone(c.Get(keyHeader))
	if err := checkKey(key); err != nil {
		return q, err
	}
	q.key = kcrid.Key(key)
	if q.made = key == ""; q.made {
		q.key = kcrid.Key(q.id)
	}
	if r.state.Version() == 0 {
		return q, r.refuse(q, kcrerror.Unconfigured, "no configuration is known yet", 1)
	}
	token, ok := bearer(c.Get(fiber.HeaderAuthorization))
	if !ok {
		return q, r.refuse(q, kcrerror.BadKey, "expected an Authorization header with a bearer key", 0)
	}
	if q.item, ok = r.state.ByKey(token); !ok {
		return q, r.refuse(q, kcrerror.BadKey, "the API key is not known", 0)
	}
	return q, nil
}

// refuse answers before any attempt. A copy of a request with a key of the
// caller's own could still run elsewhere, under another configuration.
func (r *Router) refuse(q *query, code kcrerror.Code, text string, after int64) error {
	return &kcrerror.Refusal{Code: code, Text: text, After: after, Ran: !q.made}
}

func (r *Router) chat(c fiber.Ctx) error {
	q, err := r.begin(c)
	if err != nil {
		return err
	}
	body, fields, err := parseChat(append([]byte(nil), c.Body()...))
	if err != nil {
		return err
	}
	q.path = chatPath
	var ok bool
	if q.service, ok = r.config.Settings.ServiceOf(body.Model); !ok {
		return r.refuse(q, kcrerror.NoModel, fmt.Sprintf("the model %q is not known", body.Model), 0)
	}
	if !allows(q.item.Use.Models, body.Model) {
		return r.refuse(q, kcrerror.NotAllowed, fmt.Sprintf("the plan does not allow the model %q", body.Model), 0)
	}
	if err := q.fill(body, fields); err != nil {
		return err
	}
	return r.relay(c, q)
}

func allows[T comparable](list []T, item T) bool {
	for _, has := range list {
		if has == item {
			return true
		}
	}
	return false
}

func (r *Router) plain(c fiber.Ctx) error {
	q, err := r.begin(c)
	if err != nil {
		return err
	}
	name := kcrid.Service(strings.Clone(c.Params("service")))
	service, ok := r.config.Settings.Service(name)
	if !ok || service.Kind != kcrsettings.Plain {
		return r.refuse(q, kcrerror.NoModel, fmt.Sprintf("the service %q is not known", name), 0)
	}
	if !allows(q.item.Use.Services, name) {
		return r.refuse(q, kcrerror.NotAllowed, fmt.Sprintf("the plan does not allow the service %q", name), 0)
	}
	q.service = service
	q.path = "/" + strings.Clone(c.Params("*"))
	if query := c.Request().URI().QueryString(); len(query) > 0 {
		q.path += "?" + string(query)
	}
	q.body = append([]byte(nil), c.Body()...)
	q.content = kcrid.ContentOf(q.path, q.body)
	q.once = !repeats(q.method)
	q.prefix = kcrid.ContentOf(string(q.item.Plan.Team), []byte(q.key))
	return r.relay(c, q)
}

// relay gets the answer and passes it on.
func (r *Router) relay(c fiber.Ctx, q *query) error {
	ctx := context.Background()
	if !q.stream {
		return r.relayWhole(ctx, c, q)
	}
	a, err := r.open(ctx, q)
	if err != nil {
		return err
	}
	c.Status(int(a.head.GetStatus()))
	c.Set(fiber.HeaderContentType, a.head.GetType())
	c.Set(fiber.HeaderCacheControl, "no-cache")
	return c.SendStreamWriter(func(w *bufio.Writer) { r.pump(ctx, w, a) })
}

// relayWhole reads the whole answer before the caller gets any of it, so a
// broken one can be run again where that is allowed.
func (r *Router) relayWhole(ctx context.Context, c fiber.Ctx, q *query) error {
	var body []byte
	var err error
	for range maxAttempts {
		var a *answer
		if a, err = r.open(ctx, q); err != nil {
			return err
		}
		body, err = a.all(ctx)
		head := a.head
		a.close()
		if err == nil {
			r.metrics.answers.WithLabelValues("ok").Inc()
			r.journal.Add(q.id, "answered", "status", head.GetStatus(), "bytes", len(body))
			c.Set(fiber.HeaderContentType, head.GetType())
			return c.Status(int(head.GetStatus())).Send(body)
		}
		r.journal.Add(q.id, "answer broken", "err", err.Error())
		if q.once || !r.retries.Retry() {
			break
		}
	}
	return r.broken(ctx, q, err)
}

// broken tells that an answer began and did not end.
func (r *Router) broken(ctx context.Context, q *query, err error) error {
	out := &kcrerror.Refusal{Code: kcrerror.Broken, Text: err.Error(), Ran: true, After: 1}
	var refusal *kcrerror.Refusal
	if errors.As(err, &refusal) {
		out.Code, out.Text = refusal.Code, refusal.Text
	}
	if q.once && r.bar(ctx, q) {
		out.Ran = false
	}
	return out
}

// pump passes a stream on event by event. A stream that breaks ends with an
// error event and without [DONE].
func (r *Router) pump(ctx context.Context, w *bufio.Writer, a *answer) {
	defer a.close()
	for {
		data, err := a.next(ctx)
		if errors.Is(err, io.EOF) {
			r.metrics.answers.WithLabelValues("ok").Inc()
			r.journal.Add(a.q.id, "answered", "status", a.head.GetStatus(), "bytes", a.passed)
			return
		}
		if err != nil {
			r.breakOff(w, a, err)
			return
		}
		if _, err = w.Write(data); err == nil {
			err = w.Flush()
		}
		if err != nil {
			r.journal.Add(a.q.id, "caller left", "bytes", a.passed)
			a.cancel()
			return
		}
	}
}

func (r *Router) breakOff(w *bufio.Writer, a *answer, err error) {
	refusal := &kcrerror.Refusal{Code: kcrerror.Broken, Text: err.Error(), Ran: true}
	r.metrics.answers.WithLabelValues(string(kcrerror.Broken)).Inc()
	r.journal.Add(a.q.id, "answer broken", "bytes", a.passed, "err", err.Error())
	body, encodeErr := json.Marshal(detail(refusal, a.q.id))
	if encodeErr != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "data: %s\n\n", body)
	_ = w.Flush()
}

// model is an entry of the list of models.
type model struct {
	ID      kcrid.Model `json:"id"`
	Object  string      `json:"object"`
	OwnedBy string      `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (r *Router) models(c fiber.Ctx) error {
	q, err := r.begin(c)
	if err != nil {
		return err
	}
	return c.JSON(listModels(q.item))
}

func listModels(item kcrlist.Item) modelList {
	out := modelList{Object: "list", Data: []model{}}
	for _, m := range item.Use.Models {
		out.Data = append(out.Data, model{ID: m, Object: "model", OwnedBy: string(item.Plan.Team)})
	}
	return out
}
