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
	maxStopTime = 5 * time.Second // from the stop signal to SIGKILL
	tailBytes   = 600             // of a process's log that are reported when it crashes or does not exit with code 0
)

// process is a node or planner process and its restarts. mu guards the fields below it; the others are set before the
// first start.
type process struct {
	filePrefix string // of the names of its files; "" for a node
	number     int
	command    []string
	env        []string
	dir        string

	mu            sync.Mutex
	cmd           *exec.Cmd
	exited        chan struct{} // closed when the current process has exited
	stopRequested bool          // stop was called for the current process
	usage         resourceUsage
}

// recordMemory records the resident memory of the running process. The kernel's maximum is not used, because it includes
// the memory of the parent process at the fork.
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

// resourceUsage is the resource usage of a group of processes.
type resourceUsage struct {
	CPU   time.Duration // sum over all processes
	RSSMB float64       // of the largest process
}

// processManager starts processes from one OS thread. Their parent-death signal makes the kernel kill them when this
// thread exits, so that no process outlives a killed testbed. Closing commands stops the manager.
type processManager struct{ commands chan func() }

// newProcessManager starts a manager with its OS thread.
func newProcessManager() *processManager {
	m := &processManager{commands: make(chan func())}
	go func() {
		runtime.LockOSThread() // never unlocked: the thread exits with the goroutine
		for start := range m.commands {
			start()
		}
	}()
	return m
}

// start starts a process on the manager's thread and returns when it runs.
func (m *processManager) start(c *exec.Cmd) error {
	err := make(chan error)
	m.commands <- func() { err <- c.Start() }
	return <-err
}

// start starts the process with the configuration files in its directory. It calls onCrash if the process exits before
// stop is called.
func (p *process) start(m *processManager, onCrash func(reason string)) error {
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
	exited := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := m.start(c); err != nil {
		return fmt.Errorf("start node %d: %w", p.number, err)
	}
	p.cmd = c
	p.exited = exited
	p.stopRequested = false
	go func() {
		err := c.Wait()
		p.mu.Lock()
		stopRequested := p.stopRequested
		if s := c.ProcessState; s != nil {
			p.usage.CPU += s.UserTime() + s.SystemTime()
		}
		p.mu.Unlock()
		close(exited)
		if !stopRequested {
			onCrash(fmt.Sprintf("%v: %s", err, p.logTail()))
		}
	}()
	return nil
}

// file returns the path of a file or directory of the process, which stays the same over restarts.
func (p *process) file(name, extension string) string {
	return filepath.Join(p.dir, fmt.Sprintf("%s%s-%d.%s", p.filePrefix, name, p.number, extension))
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

// operatorPath returns the path of the operator's file of the node.
func (p *process) operatorPath() string { return p.file("operator", "toml") }

// logTail returns the end of the process's log.
func (p *process) logTail() string {
	b, err := os.ReadFile(p.logPath())
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(b[max(len(b)-tailBytes, 0):]))
}

// stop sends a signal and waits until the process has exited; after maxStopTime it kills the process. It returns an error
// if the process did not exit in time, or did not exit with code 0 after SIGTERM.
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
		return fmt.Errorf("process still running %s after the stop signal", maxStopTime)
	}
	if sig == syscall.SIGTERM && c.ProcessState.ExitCode() != 0 {
		return fmt.Errorf("%s after SIGTERM: %s", c.ProcessState, p.logTail())
	}
	return nil
}

// reload makes the node read its configuration again.
func (p *process) reload() { p.signal(syscall.SIGHUP) }

// signal sends a signal to the current process, if any.
func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(sig)
	}
}

// ms converts a duration to milliseconds, the unit of durations in node settings.
func ms(d scenario.Duration) float64 { return float64(d.Std()) / float64(time.Millisecond) }

// object is a JSON object.
type object = map[string]any

// nodeSettings returns the settings of a node of the scenario, under the keys of the node's configuration.
func nodeSettings(s *scenario.Scenario, nodeIndex int) object {
	var types, tenants []object
	for _, t := range s.Types {
		trafficType := object{"name": t.Name, "targetTime": ms(t.LatencyObjective), "abandonTime": ms(t.AbandonTime),
			"window": ms(t.KeyRetention), "revenue": t.Revenue, "keyScope": t.KeyScope,
			"idempotency": map[string]string{"retriable": "safe", "fingerprinted": "keyed", "binding": "unsafe"}[t.Idempotency]}
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
	startCapacity, slowStart := 1.0, scenario.Duration(0)
	for _, server := range s.Servers {
		startCapacity = min(startCapacity, server.SlowStartCapacity)
		slowStart = max(slowStart, server.SlowStartDuration)
	}
	rules := object{"askWithin": ms(s.Rules.RequestEndpointsWithin), "stopSendingWithin": ms(s.Rules.DrainGrace), "cold": ms(slowStart),
		"fallMultiple": s.Rules.OverloadFactor, "startCapacity": startCapacity}
	if s.Rules.DrainClose > 0 {
		rules["drainClose"] = ms(s.Rules.DrainClose)
	}
	return object{"groupSize": s.Nodes.Count, "me": nodeIndex, "granularity": 2, "discovery": "on_request",
		"overageRevenue": s.Load.OverageRevenue, "dcs": s.Sites, "trafficTypes": types, "tenants": tenants,
		"limits": object{"connIdle": 5000, "connectTimeout": 100, "maxRetryAfter": 0, "mostHops": s.Rules.MaxAttempts, "retryAfter": false,
			"secondCopies": s.Rules.AllowsHedging},
		"rules": rules}
}

// writeConfig writes the node's configuration. It renames the complete file into place, so that the node never reads a
// partial one. endpointList is the list of servers that the node starts with.
func (p *process) writeConfig(s *scenario.Scenario, listen, discovery, seed string, endpointList json.RawMessage) error {
	text, err := json.MarshalIndent(object{"name": fmt.Sprint("n", p.number), "listen": listen, "discovery": discovery, "seed": seed,
		"limits": object{"cores": s.Nodes.Cores, "memory_mb": s.Nodes.MemoryMB, "sockets": s.Nodes.Sockets},
		"known":  endpointList, "settings": nodeSettings(s, p.number)}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.configPath()+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(p.configPath()+".new", p.configPath())
}
