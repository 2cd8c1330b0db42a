package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

const readyTimeout = 30 * time.Second // for a node to answer GET /up with 200

// object is a JSON object.
type object = map[string]any

// rig is what all cases share: a temporary folder, the record, and the processes that the case started.
type rig struct {
	hasTrouble bool
	folder     string
	command    string // the line `run` of the deploy file
	startedAt  time.Time
	givenOut   map[string]bool               // addresses
	settings   func(index, count int) object // of the nodes

	mu        sync.Mutex
	record    *os.File
	processes []*process
	isEnding  bool
}

// process is a program that the case started, in a process group of its own.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

// newRig prepares a case whose record is written to a folder. The working directory is the root of the repository.
func newRig(caseFolder string, hasTrouble bool) (*rig, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("deploy/balancer.toml has no line run")
	}
	r := &rig{hasTrouble: hasTrouble, command: string(run[1]), startedAt: time.Now(), givenOut: map[string]bool{}, settings: hireSettings}
	if r.record, err = os.Create(filepath.Join(caseFolder, "record.txt")); err != nil {
		return nil, err
	}
	if r.folder, err = os.MkdirTemp("", "case-"); err != nil {
		return nil, err
	}
	r.logf("disruption: %v", hasTrouble)
	return r, nil
}

// now returns the time since the start of the case.
func (r *rig) now() time.Duration { return time.Since(r.startedAt) }

// logf writes a line to the record, with the time since the start in seconds.
func (r *rig) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  "+format+"\n", append([]any{r.now().Seconds()}, args...)...)
}

// exit ends all processes, removes the temporary folder and ends the case.
func (r *rig) exit(code int) {
	r.mu.Lock()
	if r.isEnding {
		r.mu.Unlock()
		select {}
	}
	r.isEnding = true
	processes := r.processes
	r.mu.Unlock()
	for _, p := range processes {
		p.kill()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.folder)
	}
	r.record.Close()
	os.Exit(code)
}

// fail ends a case that cannot run.
func (r *rig) fail(err error) {
	r.logf("cannot run: %v", err)
	fmt.Fprintln(os.Stderr, "cannot run:", err)
	r.exit(exitCannotRun)
}

// file writes a file of the temporary folder and returns its path.
func (r *rig) file(name, text string) string {
	path := filepath.Join(r.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		r.fail(err)
	}
	return path
}

// directory creates a folder in the temporary folder and returns its path.
func (r *rig) directory(name string) string {
	path := filepath.Join(r.folder, name)
	if err := os.MkdirAll(path, 0o700); err != nil {
		r.fail(err)
	}
	return path
}

// start starts a shell command from the root of the repository. Its output goes to a file of the temporary folder.
func (r *rig) start(name, command string, environment ...string) *process {
	output, err := os.OpenFile(filepath.Join(r.folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.fail(err)
	}
	defer output.Close()
	p := &process{name: name, cmd: exec.Command("/bin/sh", "-c", command), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), environment...)
	p.cmd.Stdout, p.cmd.Stderr = output, output
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := p.cmd.Start(); err != nil {
		r.fail(err)
	}
	go func() {
		p.cmd.Wait()
		close(p.done)
	}()
	r.mu.Lock()
	r.processes = append(r.processes, p)
	r.mu.Unlock()
	r.logf("%s started", name)
	return p
}

// hasEnded reports whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// signal sends a signal to the process group.
func (p *process) signal(s syscall.Signal) {
	if !p.hasEnded() {
		syscall.Kill(-p.cmd.Process.Pid, s)
	}
}

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

// Ports that a case may take: below those that the system gives to outgoing connections, which could take a free one before the
// program that is to listen there has started.
const firstPort, portCount = 12_000, 20_000

// freeAddress returns a loopback address with a free port, which the case gives out once.
func (r *rig) freeAddress() string {
	for range portCount {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if r.givenOut[address] {
			continue
		}
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			r.givenOut[address] = true
			return address
		}
	}
	r.fail(errors.New("no free port"))
	return ""
}

// node is a running node.
type node struct {
	*process
	name    string
	address string
}

// startNode starts a node with the settings of the case at a small size. Further environment variables select its optional
// parts.
func (r *rig) startNode(index, count int, discovery string, known any, environment ...string) *node {
	n := &node{name: fmt.Sprint("n", index), address: r.freeAddress()}
	text, _ := json.MarshalIndent(object{
		"name": n.name, "listen": n.address, "discovery": discovery, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": object{"cores": 1.0, "memory_mb": 192, "sockets": 1024},
		"known":  known, "settings": r.settings(index, count),
	}, "", " ")
	config := r.file(n.name+".json", string(text))
	n.process = r.start(n.name, r.command, append(environment, "PROXY_CONFIG="+config, "PROXY_NAME="+n.name, "PROXY_LISTEN="+n.address,
		"PROXY_DISCOVERY="+discovery)...)
	return n
}

// awaitReady waits until the node is ready. It returns false if the node has ended before.
func (r *rig) awaitReady(n *node) bool {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if n.hasEnded() {
			return false
		}
		resp, err := client.Get("http://" + n.address + "/up")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			r.logf("%s is ready", n.name)
			return true
		}
	}
	r.fail(fmt.Errorf("%s is not ready after %s", n.name, readyTimeout))
	return false
}

// hireSettings returns the settings of a node of hire-northeast, as the simulator's first message has them.
func hireSettings(index, count int) object {
	return object{
		"groupSize": count, "me": index, "granularity": 5, "discovery": "on_request", "overageRevenue": 0.2,
		"dcs": []string{"scottsdale", "st-helens", "st-marys", "campbell-town"}, "skus": []string{"fast-box", "slow-box"},
		"trafficTypes": []object{
			{"name": "hire-check", "targetTime": 200, "abandonTime": 1000, "revenue": 1, "idempotency": "safe", "keyScope": "all", "window": 5000},
			{"name": "hire-book", "targetTime": 500, "abandonTime": 2000, "revenue": 10, "idempotency": "unsafe", "keyScope": "all", "window": 5000},
		},
		"tenants": []object{
			{"name": "dorset-dairy", "allowancePerS": 100}, {"name": "fingal-orchards", "allowancePerS": 100}, {"name": "coast-contractors", "allowancePerS": 100},
		},
		"limits": object{"connIdle": 5000, "connectTimeout": 100, "mostHops": 4, "secondCopies": false, "retryAfter": false, "maxRetryAfter": 0},
		"rules":  object{"askWithin": 6000, "cold": 8900, "fall": 2000, "fallMultiple": 2.5, "startCapacity": 0.3, "stopSendingWithin": 500},
	}
}

// partsSettings returns the settings of a node of parts-south, as the simulator's first message has them.
func partsSettings(index, count int) object {
	return object{
		"groupSize": count, "me": index, "granularity": 5, "discovery": "on_request",
		"dcs": []string{"hobart", "launceston", "devonport", "burnie", "kingston"}, "skus": []string{"fast", "middle", "slow"},
		"trafficTypes": []object{
			{"name": "part-lookup", "targetTime": 800, "abandonTime": 2500, "revenue": 3, "idempotency": "safe", "keyScope": "all", "window": 5000},
			{"name": "order-place", "targetTime": 800, "abandonTime": 3000, "revenue": 8, "idempotency": "keyed", "keyScope": "cell", "window": 6000},
		},
		"limits": object{"connIdle": 5000, "connectTimeout": 250, "mostHops": 4, "secondCopies": true, "retryAfter": false, "maxRetryAfter": 0},
		"rules":  object{"askWithin": 10000, "cold": 8900, "fall": 2000, "fallMultiple": 4, "startCapacity": 0.3, "stopSendingWithin": 400},
	}
}

// warrantySettings returns the settings of a node of warranty-northwest, as the simulator's first message has them.
func warrantySettings(index, count int) object {
	return object{
		"groupSize": count, "me": index, "granularity": 5, "discovery": "pushed", "overageRevenue": 0.1,
		"dcs": []string{"wynyard", "smithton", "ulverstone", "penguin"}, "skus": []string{"standard", "older"},
		"trafficTypes": []object{
			{"name": "claim-lookup", "targetTime": 500, "abandonTime": 2000, "revenue": 2, "idempotency": "safe", "keyScope": "all", "window": 5000},
			{"name": "claim-update", "targetTime": 250, "abandonTime": 1000, "revenue": 5, "idempotency": "keyed", "keyScope": "zone", "window": 5000},
			{"name": "claim-lodge", "targetTime": 600, "abandonTime": 1500, "revenue": 10, "idempotency": "unsafe", "keyScope": "all", "window": 5000},
		},
		"tenants": []object{{"name": "circular-head-ag", "allowancePerS": 100}, {"name": "leven-workshops", "allowancePerS": 100}},
		"limits":  object{"connIdle": 5000, "connectTimeout": 100, "mostHops": 5, "secondCopies": true, "retryAfter": false, "maxRetryAfter": 0},
		"rules":   object{"askWithin": 6000, "cold": 6600, "fall": 2000, "fallMultiple": 2.5, "startCapacity": 0.31, "stopSendingWithin": 500},
	}
}

// sleepUntil waits until a time since the start of the case.
func (r *rig) sleepUntil(at time.Duration) { time.Sleep(at - r.now()) }

// output runs a command of the project to its end and returns its output and whether it succeeded.
func (r *rig) output(args ...string) (text string, ok bool) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	out, err := exec.CommandContext(ctx, "bin/fernvane", args...).CombinedOutput()
	return string(out), err == nil
}
