package testbed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"

	"fernvane/internal/testbed/scenario"
)

const (
	maxStopTime = 5 * time.Second // for a node to end after SIGTERM
	tailBytes   = 600             // of a node's log that are shown when it ends by itself
)

// process is a node or planner, over its restarts. mu guards its state; the rest is set before its first start.
type process struct {
	kind    string // prefix of its files; "" for a node
	number  int
	command []string
	env     []string
	dir     string

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{} // closed when the present process has exited
	stopRequested bool          // the present process was told to end
	usage         resourceUsage
}

// recordMemory records the resident memory of the running process. The system's own maximum would include the memory of
// this process at the fork.
func (p *process) recordMemory() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	var total, resident float64 // pages
	fmt.Sscan(string(b), &total, &resident)
	p.usage.RSSMB = max(p.usage.RSSMB, resident*float64(os.Getpagesize())/(1<<20))
}

// resourceUsage is what a group of processes used.
type resourceUsage struct {
	CPU   time.Duration // of all processes
	RSSMB float64       // of the largest
}

// processManager starts processes from one thread. The system kills them when that thread ends, so that none outlives a
// run that is killed. Closing commands ends it.
type processManager struct{ commands chan func() }

// newProcessManager returns a manager with its thread.
func newProcessManager() *processManager {
	m := &processManager{commands: make(chan func())}
	go func() {
		runtime.LockOSThread() // never given back: the thread ends with the goroutine
		for start := range m.commands {
			start()
		}
	}()
	return m
}

// start starts a process and returns when it runs.
func (m *processManager) start(c *exec.Cmd) error {
	err := make(chan error)
	m.commands <- func() { err <- c.Start() }
	return <-err
}

// start runs the process on the configuration in its folder. onCrash is called when it exits without being told to.
func (p *process) start(m *processManager, onCrash func(why string)) error {
	log, err := os.OpenFile(p.logPath(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(p.command[0], p.command[1:]...)
	c.Env = append(os.Environ(), p.env...)
	for name, path := range map[string]string{
		"PROXY_CONFIG":   p.configPath(),
		"PROXY_OPERATOR": p.operatorPath(),
		"PROXY_PLANNERS": p.plannersPath(),
		"PROXY_PLAN":     p.planPath(),
		"PROXY_BINDINGS": p.bindingsPath(),
		"PROXY_REGISTRY": p.registryConfigPath(),
		"PROXY_SNAPSHOT": p.snapshotConfigPath(),
		"PROXY_PEERS":    p.peersPath(),
	} {
		if _, err := os.Stat(path); err == nil {
			c.Env = append(c.Env, name+"="+path)
		}
	}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := m.start(c); err != nil {
		return fmt.Errorf("node %d cannot be started: %w", p.number, err)
	}
	p.cmd = c
	p.exited = done
	p.stopRequested = false
	go func() {
		err := c.Wait()
		p.mu.Lock()
		stopRequested := p.stopRequested
		if s := c.ProcessState; s != nil {
			p.usage.CPU += s.UserTime() + s.SystemTime()
		}
		p.mu.Unlock()
		close(done)
		if !stopRequested {
			onCrash(fmt.Sprintf("%v: %s", err, p.logTail()))
		}
	}()
	return nil
}

// file returns the path of a file of the process.
func (p *process) file(what, ending string) string {
	return filepath.Join(p.dir, fmt.Sprintf("%s%s-%d.%s", p.kind, what, p.number, ending))
}

func (p *process) logPath() string            { return p.file("node", "log") }
func (p *process) configPath() string         { return p.file("node", "json") }
func (p *process) plannersPath() string       { return p.file("planners", "toml") }
func (p *process) planPath() string           { return p.file("plan", "toml") }
func (p *process) bindingsPath() string       { return p.file("bindings", "toml") }
func (p *process) registryConfigPath() string { return p.file("registry", "toml") }
func (p *process) snapshotConfigPath() string { return p.file("snapshot", "toml") }
func (p *process) peersPath() string          { return p.file("peers", "toml") }
func (p *process) dataDir() string            { return p.file("held", "d") }
func (p *process) snapshotDir() string        { return p.file("lists", "d") }
func (p *process) journalDir() string         { return p.file("journal", "d") }

// operatorPath returns the path of the node's operator's file.
func (p *process) operatorPath() string { return p.file("operator", "toml") }

// logTail returns the end of the process's log.
func (p *process) logTail() string {
	b, err := os.ReadFile(p.logPath())
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(b[max(len(b)-tailBytes, 0):]))
}

// stop sends a signal and waits until the process exits; after maxStopTime it kills it. An error says that it did not exit
// gracefully after SIGTERM.
func (p *process) stop(sig syscall.Signal) error {
	p.mu.Lock()
	if p.cmd == nil {
		p.mu.Unlock()
		return nil
	}
	p.stopRequested = true
	c, exited := p.cmd, p.exited
	p.mu.Unlock()
	c.Process.Signal(sig)
	select {
	case <-exited:
	case <-time.After(maxStopTime):
		c.Process.Kill()
		<-exited
		return fmt.Errorf("still running %s after SIGTERM", maxStopTime)
	}
	if sig == syscall.SIGTERM && c.ProcessState.ExitCode() != 0 {
		return fmt.Errorf("%s after SIGTERM: %s", c.ProcessState, p.logTail())
	}
	return nil
}

// reload has the node read its configuration again.
func (p *process) reload() { p.signal(syscall.SIGHUP) }

// signal sends a signal to the present process, if any.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(sig)
	}
}

// ms returns milliseconds, the unit of the node's settings.
func ms(d scenario.Span) float64 { return float64(d.Std()) / float64(time.Millisecond) }

// object is a JSON object.
type object = map[string]any

// nodeSettings returns the settings of a node of the scenario, under the names that nodes read.
func nodeSettings(s *scenario.Scenario, me int) object {
	var types, tenants []object
	for _, t := range s.Types {
		trafficType := object{"name": t.Name, "targetTime": ms(t.LatencyObjective), "abandonTime": ms(t.AbandonTime),
			"window": ms(t.KeyRetention), "revenue": t.Revenue, "keyScope": t.KeyScope,
			"idempotency": map[string]string{"retriable": "safe", "fingerprinted": "keyed", "binding": "unsafe"}[t.Repeat]}
		if t.OnlySites != nil {
			trafficType["dcsOnly"] = t.OnlySites
		}
		if t.OnlyKinds != nil {
			trafficType["allowedOn"] = t.OnlyKinds
		}
		types = append(types, trafficType)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, object{"name": t.Name, "allowancePerS": t.Allowance})
	}
	startCapacity, slowStart := 1.0, scenario.Span(0)
	for _, b := range s.Servers {
		startCapacity = min(startCapacity, b.SlowStartCapacity)
		slowStart = max(slowStart, b.SlowStartDuration)
	}
	rules := object{"askWithin": ms(s.Rules.AskWithin), "stopSendingWithin": ms(s.Rules.DrainGrace), "cold": ms(slowStart),
		"fallMultiple": s.Rules.OverloadFactor, "startCapacity": startCapacity}
	if s.Rules.DrainClose > 0 {
		rules["drainClose"] = ms(s.Rules.DrainClose)
	}
	return object{"groupSize": s.Nodes.Count, "me": me, "granularity": 2, "discovery": "on_request",
		"overageRevenue": s.Load.OverageRevenue, "dcs": s.Sites, "trafficTypes": types, "tenants": tenants,
		"limits": object{"connIdle": 5000, "connectTimeout": 100, "maxRetryAfter": 0, "mostHops": s.Rules.MaxAttempts, "retryAfter": false,
			"secondCopies": s.Rules.AllowsHedging},
		"rules": rules}
}

// writeConfig writes the node's configuration by a rename, so that the node never reads a part of it. known is the list of
// servers that it starts with.
func (p *process) writeConfig(s *scenario.Scenario, listen, discovery, seed string, known json.RawMessage) error {
	text, err := json.MarshalIndent(object{"name": fmt.Sprint("n", p.number), "listen": listen, "discovery": discovery, "seed": seed,
		"limits": object{"cores": s.Nodes.Cores, "memory_mb": s.Nodes.MemoryMB, "sockets": s.Nodes.Sockets},
		"known":  known, "settings": nodeSettings(s, p.number)}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.configPath()+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(p.configPath()+".new", p.configPath())
}
