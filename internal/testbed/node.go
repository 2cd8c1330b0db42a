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

// process is one node, over its restarts.
type process struct {
	kind    string // "" for a node
	number  int
	command []string
	env     []string
	dir     string

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed when the present process has ended
	asked bool          // to end
	use   usage
}

// weigh notes the memory of the running process. What the system keeps as the most counts what its parent had when it
// was started, so it is read now.
func (p *process) weigh() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	var whole, resident float64
	fmt.Sscan(string(b), &whole, &resident)
	p.use.RSSMB = max(p.use.RSSMB, resident*float64(os.Getpagesize())/(1<<20))
}

// usage of the machine by all nodes.
type usage struct {
	CPU   time.Duration
	RSSMB float64 // the most of one
}

// keeper starts processes from one thread that lives as long as it does: the system ends them with that thread, so that
// none outlives a lab that is killed.
type processManager struct{ starts chan func() }

func newProcessManager() *processManager {
	k := &processManager{starts: make(chan func())}
	go func() {
		runtime.LockOSThread() // never given back: the thread ends with the goroutine
		for start := range k.starts {
			start()
		}
	}()
	return k
}

func (k *processManager) start(c *exec.Cmd) error {
	err := make(chan error)
	k.starts <- func() { err <- c.Start() }
	return <-err
}

// start runs the node on the configuration in its folder. ended is called when the process ends unasked.
func (p *process) start(k *processManager, ended func(why string)) error {
	log, err := os.OpenFile(p.log(), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(p.command[0], p.command[1:]...)
	c.Env = append(os.Environ(), p.env...)
	for name, path := range map[string]string{"PROXY_CONFIG": p.config(), "PROXY_OPERATOR": p.operator(), "PROXY_PLANNERS": p.planners(), "PROXY_PLAN": p.plan(), "PROXY_BINDINGS": p.bindings(), "PROXY_REGISTRY": p.registry(), "PROXY_SNAPSHOT": p.snapshot(), "PROXY_PEERS": p.peers()} {
		if _, err := os.Stat(path); err == nil {
			c.Env = append(c.Env, name+"="+path)
		}
	}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan struct{})
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := k.start(c); err != nil {
		return fmt.Errorf("node %d cannot be started: %w", p.number, err)
	}
	p.cmd, p.ended, p.asked = c, done, false
	go func() {
		err := c.Wait()
		p.mu.Lock()
		asked := p.asked
		if s := c.ProcessState; s != nil {
			p.use.CPU += s.UserTime() + s.SystemTime()
		}
		p.mu.Unlock()
		close(done)
		if !asked {
			ended(fmt.Sprintf("%v: %s", err, p.tail()))
		}
	}()
	return nil
}

// file is one of the process's own. Nodes' have the names that they had before there was another kind.
func (p *process) file(what, ending string) string {
	return filepath.Join(p.dir, fmt.Sprintf("%s%s-%d.%s", p.kind, what, p.number, ending))
}

func (p *process) log() string      { return p.file("node", "log") }
func (p *process) config() string   { return p.file("node", "json") }
func (p *process) planners() string { return p.file("planners", "toml") }
func (p *process) plan() string     { return p.file("plan", "toml") }
func (p *process) bindings() string { return p.file("bindings", "toml") }
func (p *process) registry() string { return p.file("registry", "toml") }
func (p *process) snapshot() string { return p.file("snapshot", "toml") }
func (p *process) peers() string    { return p.file("peers", "toml") }
func (p *process) dataDir() string  { return p.file("held", "d") }
func (p *process) lists() string    { return p.file("lists", "d") }
func (p *process) journal() string  { return p.file("journal", "d") }

// operator is the node's file of routes.
func (p *process) operator() string { return p.file("operator", "toml") }

// tail is the end of the node's log.
func (p *process) tail() string {
	b, err := os.ReadFile(p.log())
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(b[max(len(b)-tailBytes, 0):]))
}

// end sends a signal and waits for the end, which is forced after stopMost. It reports whether the node ended well.
func (p *process) end(sig syscall.Signal) error {
	p.mu.Lock()
	if p.cmd == nil {
		p.mu.Unlock()
		return nil
	}
	p.asked = true
	c, ended := p.cmd, p.ended
	p.mu.Unlock()
	c.Process.Signal(sig)
	select {
	case <-ended:
	case <-time.After(maxStopTime):
		c.Process.Kill()
		<-ended
		return fmt.Errorf("still running %s after SIGTERM", maxStopTime)
	}
	if sig == syscall.SIGTERM && c.ProcessState.ExitCode() != 0 {
		return fmt.Errorf("%s after SIGTERM: %s", c.ProcessState, p.tail())
	}
	return nil
}

// reload tells the node to read its configuration again.
func (p *process) reload() { p.signal(syscall.SIGHUP) }

func (p *process) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(sig)
	}
}

func ms(d scenario.Span) float64 { return float64(d.Std()) / float64(time.Millisecond) }

type object = map[string]any

// settings are what a node of the scenario is told, under the names that it reads.
func settings(s *scenario.Scenario, me int) object {
	var types, tenants []object
	for _, t := range s.Types {
		kind := object{"name": t.Name, "targetTime": ms(t.Target), "abandonTime": ms(t.Abandon),
			"window": ms(t.Window), "revenue": t.Revenue, "keyScope": t.Group,
			"idempotency": map[string]string{"retriable": "safe", "fingerprinted": "keyed", "binding": "unsafe"}[t.Repeat]}
		if t.OnlySites != nil {
			kind["dcsOnly"] = t.OnlySites
		}
		if t.OnlyKinds != nil {
			kind["allowedOn"] = t.OnlyKinds
		}
		types = append(types, kind)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, object{"name": t.Name, "allowancePerS": t.Allowance})
	}
	coldest, coldFor := 1.0, scenario.Span(0)
	for _, b := range s.Servers {
		coldest, coldFor = min(coldest, b.ColdShare), max(coldFor, b.ColdFor)
	}
	rules := object{"askWithin": ms(s.Rules.AskWithin), "stopSendingWithin": ms(s.Rules.DrainGrace), "cold": ms(coldFor),
		"fallMultiple": s.Rules.FallMultiple, "startCapacity": coldest}
	if s.Rules.DrainClose > 0 {
		rules["drainClose"] = ms(s.Rules.DrainClose)
	}
	return object{"groupSize": s.Nodes.Count, "me": me, "granularity": 2, "discovery": "on_request",
		"overageRevenue": s.Load.Over, "dcs": s.Sites, "trafficTypes": types, "tenants": tenants,
		"limits": object{"connIdle": 5000, "connectTimeout": 100, "maxRetryAfter": 0, "mostHops": s.Rules.MaxAttempts, "retryAfter": false,
			"secondCopies": s.Rules.Copies},
		"rules": rules}
}

// configure writes the node's configuration whole, so that it is never read half.
func (p *process) configure(s *scenario.Scenario, listen, discovery, seed string, known json.RawMessage) error {
	text, err := json.MarshalIndent(object{"name": fmt.Sprint("n", p.number), "listen": listen, "discovery": discovery, "seed": seed,
		"limits": object{"cores": s.Nodes.Cores, "memory_mb": s.Nodes.MemoryMB, "sockets": s.Nodes.Sockets},
		"known":  known, "settings": settings(s, p.number)}, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.config()+".new", text, 0o644); err != nil {
		return err
	}
	return os.Rename(p.config()+".new", p.config())
}
