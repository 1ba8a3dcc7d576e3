package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file defines the lab: the stand-ins of a deployment, the processes under test, and the
// record of what was sent, answered and run. Invariants: all addresses are loopback addresses; all
// processes that the lab started have ended when close returns.

// lab is a running deployment.
type lab struct {
	root    string // of the repository
	dir     string // temporary folder
	store   *store
	started time.Time
	trouble bool // the disruption is played

	mu       sync.Mutex
	record   *bufio.Writer
	file     *os.File
	arrivals map[string][]arrival // by attempt
	runs     map[string][]*run    // by attempt
	attempts []*attempt
	procs    []*process
}

// arrival is a request that reached an engine.
type arrival struct {
	engine string
	at     time.Time
}

// run is a run of a request at an engine.
type run struct {
	lab    *lab
	engine string
	tenant string
	began  time.Time
	ended  time.Time // zero before
}

// newLab starts a store and opens the record.
func newLab(root, recordPath string) (l *lab, err error) {
	l = &lab{root: root, started: time.Now(), trouble: os.Getenv("TROUBLE") != "0", arrivals: map[string][]arrival{}, runs: map[string][]*run{}}
	if l.dir, err = os.MkdirTemp("", "kcrreview"); err != nil {
		return nil, err
	}
	if l.file, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	l.record = bufio.NewWriter(l.file)
	l.store, err = newStore(20 * time.Second)
	return l, err
}

// logf writes a line with the time in ms to the record.
func (l *lab) logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.0f "+format+"\n", append([]any{float64(time.Since(l.started).Microseconds()) / 1000}, args...)...)
}

// sayf writes a line to the record and to the standard output.
func (l *lab) sayf(format string, args ...any) {
	l.logf(format, args...)
	fmt.Printf("%6.1f s  "+format+"\n", append([]any{time.Since(l.started).Seconds()}, args...)...)
}

func (l *lab) noteSent(a *attempt) {
	l.logf("sent %s %s %s deadline %d", a.id, a.method, a.path, a.deadline.Milliseconds())
	l.mu.Lock()
	defer l.mu.Unlock()
	l.attempts = append(l.attempts, a)
}

func (l *lab) noteOutcome(a *attempt) {
	errText := ""
	if a.err != nil {
		errText = " error " + strings.ReplaceAll(a.err.Error(), "\n", " ")
	}
	l.logf("answered %s status %d whole %t left %t after %d ms%s", a.id, a.status, a.whole, a.left, a.ended.Sub(a.sent).Milliseconds(), errText)
}

func (l *lab) noteArrival(e *engine, id string, r *http.Request, _ []byte) {
	l.logf("arrived %s at %s", id, e.id)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[id] = append(l.arrivals[id], arrival{e.id, time.Now()})
}

func (l *lab) noteRun(e *engine, id string, r *http.Request) *run {
	l.logf("run %s at %s for %s", id, e.id, r.Header.Get("Tenant"))
	l.mu.Lock()
	defer l.mu.Unlock()
	n := &run{lab: l, engine: e.id, tenant: r.Header.Get("Tenant"), began: time.Now()}
	l.runs[id] = append(l.runs[id], n)
	return n
}

// end records the end of a run.
func (r *run) end() {
	r.lab.mu.Lock()
	defer r.lab.mu.Unlock()
	r.ended = time.Now()
}

// process is a process under test.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{}
}

// freePort returns a port that is free on a loopback address.
func freePort(ip string) string {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	defer func() { _ = listener.Close() }()
	_, port, _ := net.SplitHostPort(listener.Addr().String())
	return port
}

// routerMachine describes the machine of a router.
type routerMachine struct {
	name        string
	ip          string
	zone        string
	memoryMB    int
	descriptors int
	linkMbps    float64
	first       bool
	homePort    string
	peers       []string
}

// router is a router under test.
type router struct {
	*process
	machine  routerMachine
	callers  string
	ready    string
	control  string
	settings string
}

// fill fills a template of the deploy file as DEPLOY.md says, as far as the templates need it.
func fill(template string, values map[string]any) string {
	get := func(name string) (any, bool) { v, ok := values[name]; return v, ok }
	for {
		open := strings.Index(template, "{{#")
		if open < 0 {
			break
		}
		nameEnd := strings.Index(template[open:], "}}") + open
		name := template[open+3 : nameEnd]
		closing := "{{/" + name + "}}"
		end := strings.Index(template, closing)
		inner, out := template[nameEnd+2:end], ""
		if v, ok := get(name); ok {
			switch v := v.(type) {
			case []string:
				for i, item := range v {
					comma := ","
					if i == len(v)-1 {
						comma = ""
					}
					out += strings.ReplaceAll(strings.ReplaceAll(inner, "{{.}}", item), "{{,}}", comma)
				}
			case bool:
				if v {
					out = inner
				}
			default:
				out = strings.ReplaceAll(inner, "{{.}}", fmt.Sprint(v))
			}
		}
		template = template[:open] + out + template[end+len(closing):]
	}
	for name, v := range values {
		template = strings.ReplaceAll(template, "{{"+name+"}}", fmt.Sprint(v))
	}
	return template
}

// bounds are those of the site turnos-lima.
var bounds = map[string]any{"bounds.graceS": 8, "bounds.budgetWindowS": 10, "bounds.retryBudgetRatio": 0.2, "bounds.retryBudgetSlack": 52, "heartbeatMs": 1200}

// startRouter starts a router as the deploy file does.
func (l *lab) startRouter(m routerMachine) (*router, error) {
	r := &router{machine: m}
	r.callers, r.ready = net.JoinHostPort(m.ip, freePort(m.ip)), net.JoinHostPort(m.ip, freePort(m.ip))
	r.control = net.JoinHostPort(m.ip, freePort(m.ip))
	return r, l.restartRouter(r)
}

// restartRouter starts a router at the addresses that it has.
func (l *lab) restartRouter(r *router) error {
	m := r.machine
	template, err := os.ReadFile(filepath.Join(l.root, "deploy", "router.jsonc.tmpl"))
	if err != nil {
		return err
	}
	values := map[string]any{
		"nodeName": m.name, "zone": m.zone, "listen.frontend": r.callers, "listen.readiness": r.ready, "listen.controlPlane": r.control, "ip": m.ip,
		"seeds": m.peers, "portRange.0": m.homePort, "platform.address": l.store.addr, "limits.memoryMb": m.memoryMB, "limits.fileDescriptors": m.descriptors,
		"limits.linkMbps": m.linkMbps, "bootstrap": m.first,
	}
	for name, v := range bounds {
		values[name] = v
	}
	text := strings.ReplaceAll(fill(string(template), values), m.ip+":9464", net.JoinHostPort(m.ip, freePort(m.ip)))
	r.settings = filepath.Join(l.dir, m.name+".jsonc")
	if err := os.WriteFile(r.settings, []byte(text), 0o600); err != nil {
		return err
	}
	r.process, err = l.startProcess(m.name, "router", r.settings)
	return err
}

// startSide starts a home of budgets as the deploy file does.
func (l *lab) startSide(name, ip, port string) (*process, error) {
	template, err := os.ReadFile(filepath.Join(l.root, "deploy", "side.jsonc.tmpl"))
	if err != nil {
		return nil, err
	}
	values := map[string]any{"nodeName": name, "ip": ip, "portRange.0": port, "platform.address": l.store.addr, "limits.memoryMb": 216, "limits.fileDescriptors": 4096}
	for n, v := range bounds {
		values[n] = v
	}
	settings := filepath.Join(l.dir, name+".jsonc")
	if err := os.WriteFile(settings, []byte(fill(string(template), values)), 0o600); err != nil {
		return nil, err
	}
	return l.startProcess(name, "side", settings)
}

// startProcess starts the program of the deploy file.
func (l *lab) startProcess(name, role, settings string) (*process, error) {
	output, err := os.OpenFile(filepath.Join(l.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command("target/platform", role), exited: make(chan struct{})}
	p.cmd.Dir = l.root
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + l.dir, "KINGCUPRUN_BOOT=" + settings}
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = p.cmd.Wait()
		_ = output.Close()
		close(p.exited)
	}()
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	l.logf("started %s, process %d", name, p.cmd.Process.Pid)
	return p, nil
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// awaitReady waits until a router answers its readiness check with 200.
func (r *router) awaitReady(timeout time.Duration) bool {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r.isReady() {
			return true
		}
	}
	return false
}

// isReady makes one readiness check.
func (r *router) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + r.ready + "/kingcuprun/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// outputOf returns the lines of the log of a process that contain a text.
func (l *lab) outputOf(name, text string) (lines []string) {
	data, _ := os.ReadFile(filepath.Join(l.dir, name+".log"))
	for line := range strings.Lines(string(data)) {
		if strings.Contains(line, text) {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// close ends all processes, and removes the temporary folder unless KEEP is set.
func (l *lab) close() {
	l.mu.Lock()
	procs := l.procs
	l.mu.Unlock()
	for _, p := range procs {
		p.kill()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.record.Flush()
	_ = l.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	} else {
		fmt.Println("logs in", l.dir)
	}
}

// tenant is a tenant of the configuration.
type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
	Prepaid *int64   `json:"prepaid,omitempty"`
}

// configRoute is a route of the configuration.
type configRoute struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"pathPrefix"`
	Kind            string `json:"kind"`
	Service         string `json:"service"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	GapTargetMs     int    `json:"gapTargetMs,omitempty"`
	Priority        int    `json:"priority"`
	MaxAttempts     int    `json:"maxAttempts"`
	Resumable       bool   `json:"resumable,omitempty"`
	SessionAffinity bool   `json:"sessionAffinity,omitempty"`
}

// putConfig writes a configuration with the usual services and limits.
func (l *lab) putConfig(version int, routes []configRoute, tenants []tenant) {
	l.store.putJSON("keyed.op", "config", map[string]any{
		"version": version, "routeTable": routes, "tenants": tenants,
		"services": []any{
			map[string]any{"name": "llm", "healthPath": "/healthz", "maxConnections": 290, "engine": map[string]any{"slots": 48, "kvCapacity": 667670, "stride": 7}},
			map[string]any{"name": "app", "healthPath": "/healthz", "maxConnections": 96},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1 << 20, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	l.logf("configuration %d acknowledged", version)
}
