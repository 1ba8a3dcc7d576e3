package main

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file starts the processes of kingcuprun with the commands of deploy/system.toml and
// settings that are filled in from the templates in deploy/, as the platform does it.

// Ports, the same on all machines.
const (
	frontendPort  = 8227
	readinessPort = 8220
	controlPort   = 8229
	homePort      = 7340
	enginePort    = 8420
	storePort     = 8223
)

// machine is a process of kingcuprun on a machine of its own, which is a loopback address.
type machine struct {
	name, role, ip, zone string
	system               *system
	starts               int

	mu   sync.Mutex
	proc *exec.Cmd
	done chan struct{}
}

// system is a small deployment.
type system struct {
	root, dir string // the repository, and a temporary folder
	network   string // the first two bytes of all addresses
	store     *store
	rec       *recorder
	routers   []*machine
	sides     []*machine
	engines   []*engine
	plain     []*engine
	memoryMB  int // of a machine
}

// freeNetwork returns the first two bytes of loopback addresses whose ports are free.
func freeNetwork() (string, error) {
	for i := range 200 {
		network := fmt.Sprintf("127.%d", 20+(os.Getpid()+i*7)%200)
		free := true
		for _, host := range []string{".9.1", ".1.1", ".1.2", ".2.1", ".2.2", ".2.3", ".3.1"} {
			for _, port := range []int{frontendPort, readinessPort, controlPort, homePort, enginePort, storePort, 9464} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s%s:%d", network, host, port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback addresses")
}

// settings returns the settings file of a machine.
func (m *machine) settings() (string, error) {
	s := m.system
	template := map[string]string{"router": "deploy/router.jsonc.tmpl", "side": "deploy/side.jsonc.tmpl"}[m.role]
	data, err := os.ReadFile(filepath.Join(s.root, template))
	if err != nil {
		return "", err
	}
	seeds := make([]string, 0, len(s.routers))
	for _, r := range s.routers {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", r.ip, controlPort)))
	}
	text := string(data)
	replace := func(old, new string) { text = strings.ReplaceAll(text, old, new) }
	replace("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", strings.Join(seeds, ","))
	replace("{{#listen.controlPlane}}\"control\": \"{{.}}\",{{/listen.controlPlane}}", fmt.Sprintf("\"control\": \"%s:%d\",", m.ip, controlPort))
	replace("{{#heartbeatMs}}\"heartbeat\": {{.}},{{/heartbeatMs}}", fmt.Sprintf("\"heartbeat\": %d,", heartbeat.Milliseconds()))
	replace("{{#limits.fileDescriptors}}\"descriptors\": {{.}},{{/limits.fileDescriptors}}", "\"descriptors\": 4200,")
	replace("{{#limits.linkMbps}}\"link\": {{.}},{{/limits.linkMbps}}", "\"link\": 1000,")
	replace("{{#bounds.coldOvershoot}}\"overshoot\": {{.}},{{/bounds.coldOvershoot}}", "")
	replace("{{#bounds.coldSlack}}\"margin\": {{.}},{{/bounds.coldSlack}}", "")
	first := ""
	if m.starts == 1 {
		first = "\"first\": true,"
	}
	replace("{{#bootstrap}}\"first\": true,{{/bootstrap}}", first)
	for name, value := range map[string]string{
		"nodeName": m.name, "zone": m.zone, "ip": m.ip, "portRange.0": fmt.Sprint(homePort), "platform.address": s.store.addr,
		"listen.frontend": fmt.Sprintf("%s:%d", m.ip, frontendPort), "listen.readiness": fmt.Sprintf("%s:%d", m.ip, readinessPort),
		"limits.memoryMb": fmt.Sprint(s.memoryMB), "bounds.graceS": "8", "bounds.budgetWindowS": "10", "bounds.retryBudgetRatio": "0.2", "bounds.retryBudgetSlack": "52",
	} {
		replace("{{"+name+"}}", value)
	}
	if strings.Contains(text, "{{") {
		return "", fmt.Errorf("%s: a placeholder is not known:\n%s", template, text)
	}
	return text, nil
}

// start starts the process of a machine.
func (m *machine) start() error {
	m.starts++
	text, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.system.dir, m.name+".jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.system.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(m.system.root, "target/platform"), m.role)
	cmd.Dir = m.system.root
	cmd.Env = append(os.Environ(), "KINGCUPRUN_BOOT="+path)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.mu.Lock()
	m.proc, m.done = cmd, done
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process of a machine.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.proc != nil {
		_ = m.proc.Process.Signal(s)
	}
}

// wait waits until the process has ended.
func (m *machine) wait() {
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// all returns all machines of the system.
func (s *system) all() []*machine { return append(append([]*machine(nil), s.routers...), s.sides...) }

// startAll starts the processes of all machines.
func (s *system) startAll() error {
	for _, m := range s.all() {
		if err := m.start(); err != nil {
			return err
		}
	}
	return nil
}

// stop ends all processes that were started.
func (s *system) stop() {
	for _, m := range s.all() {
		m.signal(syscall.SIGKILL)
	}
	for _, m := range s.all() {
		m.wait()
	}
}

// logs returns what a machine has logged.
func (s *system) logs(m *machine) string {
	data, _ := os.ReadFile(filepath.Join(s.dir, m.name+".log"))
	return string(data)
}

// plan describes a small deployment.
type plan struct {
	routers, sides, plain int
	keep                  time.Duration // history of the store
	memoryMB              int           // of a machine, 0 for 284
}

// newSystem starts the store and the engines, and prepares the machines.
func newSystem(root, dir string, rec *recorder, p plan) (s *system, err error) {
	s = &system{root: root, dir: dir, rec: rec, memoryMB: cmp.Or(p.memoryMB, 284)}
	if s.network, err = freeNetwork(); err != nil {
		return nil, err
	}
	if s.store, err = startStore(fmt.Sprintf("%s.9.1:%d", s.network, storePort), p.keep); err != nil {
		return nil, err
	}
	zone := func(i int) string { return "zone-" + string(rune('a'+i%3)) }
	for i := range p.routers {
		s.routers = append(s.routers, &machine{name: fmt.Sprintf("edge-%d", i+1), role: "router", ip: fmt.Sprintf("%s.1.%d", s.network, i+1), zone: zone(i), system: s})
	}
	for i := range p.sides {
		ip := fmt.Sprintf("%s.2.%d", s.network, i+1)
		s.sides = append(s.sides, &machine{name: fmt.Sprintf("side-%d", i+1), role: "side", ip: ip, zone: zone(i), system: s})
		e, err := startEngine(s.store, rec, fmt.Sprintf("i-llm%d", i+1), "llm", zone(i), fmt.Sprintf("%s:%d", ip, enginePort))
		if err != nil {
			return nil, err
		}
		s.engines = append(s.engines, e)
	}
	for i := range p.plain {
		e, err := startEngine(s.store, rec, fmt.Sprintf("i-app%d", i+1), "app", zone(i), fmt.Sprintf("%s.3.%d:%d", s.network, i+1, enginePort))
		if err != nil {
			return nil, err
		}
		s.plain = append(s.plain, e)
	}
	return s, nil
}
