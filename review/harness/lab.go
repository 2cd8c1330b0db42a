package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"sync"
	"syscall"
	"time"
)

const (
	readyTimeout = 20 * time.Second
	endTimeout   = 5 * time.Second
)

// lab holds what the cases share: the record, a temporary folder, loopback addresses and the started processes.
type lab struct {
	root    string // of the project
	run     string // command of a node, from the deploy file
	dir     string // temporary
	trouble string // "1": with the disruption
	started time.Time
	spawner sync.Once
	starts  chan func() // run by the spawner's thread

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	nodes  []*node
	closed bool
}

var runLine = regexp.MustCompile(`(?m)^run = "(.*)"`)

// newLab opens the record in a folder of the review and reads the deploy file. The working directory is the project's root.
func newLab(folder string) (*lab, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := runLine.FindSubmatch(deploy)
	if run == nil {
		return nil, errors.New("the deploy file names no command of a node")
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	trouble := os.Getenv("TROUBLE")
	if trouble == "" {
		trouble = "1"
	}
	l := &lab{root: root, run: string(run[1]), dir: dir, trouble: trouble, started: time.Now(), record: bufio.NewWriter(file), file: file}
	l.note("TROUBLE=%s", trouble)
	return l, nil
}

// log writes a line to the record.
func (l *lab) log(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.closed {
		fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// note writes a line to the record and to standard output.
func (l *lab) note(format string, args ...any) {
	l.log(format, args...)
	fmt.Printf("%8.3f  %s\n", time.Since(l.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes and closes the record. LAB_KEEP=1 keeps the temporary folder.
func (l *lab) close() {
	l.mu.Lock()
	nodes := l.nodes
	l.mu.Unlock()
	for _, n := range nodes {
		n.kill()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.record.Flush()
	l.file.Close()
	if os.Getenv("LAB_KEEP") == "" {
		os.RemoveAll(l.dir)
	} else {
		fmt.Println("kept", l.dir)
	}
}

// ip returns a loopback address that other runs hardly use.
func (l *lab) ip(number int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 100+pid/250/250%100, pid/250%250, 1+(pid+number)%250)
}

// freeAddress returns an address with a port that is free now.
func freeAddress(ip string) (string, error) {
	ln, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// spawn starts a process from a thread that lives as long as the harness, so that the process ends with it.
func (l *lab) spawn(cmd *exec.Cmd) error {
	l.spawner.Do(func() {
		l.starts = make(chan func())
		go func() {
			runtime.LockOSThread()
			for start := range l.starts {
				start()
			}
		}()
	})
	result := make(chan error, 1)
	l.starts <- func() { result <- cmd.Start() }
	return <-result
}

// node is a process of the project with its files, which stay the same over restarts.
type node struct {
	lab    *lab
	name   string
	dir    string // disk of the node's machine
	listen string
	env    []string
	run    string // "": the command of a node in the deploy file

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// newNode writes the configuration of a node. config is completed by its name and addresses.
func (l *lab) newNode(name, listen, discovery string, config map[string]any, env ...string) (*node, error) {
	dir := filepath.Join(l.dir, name)
	if err := os.MkdirAll(filepath.Join(dir, "tmp"), 0o755); err != nil {
		return nil, err
	}
	config["name"], config["listen"], config["discovery"] = name, listen, discovery
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(l.dir, name+".json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		return nil, err
	}
	n := &node{lab: l, name: name, dir: dir, listen: listen}
	n.env = append([]string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + filepath.Join(dir, "tmp"), "PROXY_NAME=" + name, "PROXY_LISTEN=" + listen,
		"PROXY_DISCOVERY=" + discovery, "PROXY_CONFIG=" + path}, env...)
	l.mu.Lock()
	l.nodes = append(l.nodes, n)
	l.mu.Unlock()
	return n, nil
}

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	log, err := os.OpenFile(filepath.Join(n.lab.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command("/bin/sh", "-c", cmp.Or(n.run, n.lab.run))
	cmd.Dir, cmd.Env, cmd.Stdout, cmd.Stderr = n.lab.root, n.env, log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := n.lab.spawn(cmd); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		cmd.Wait()
		close(exited)
	}()
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	n.lab.log("%s started", n.name)
	return nil
}

// kill ends the process at once.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(syscall.SIGKILL)
	select {
	case <-exited:
	case <-time.After(endTimeout):
	}
	n.lab.log("%s killed", n.name)
}

// awaitReady waits until GET /up answers 200.
func (n *node) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(readyTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		resp, err := client.Get("http://" + n.listen + "/up")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			n.lab.log("%s ready", n.name)
			return nil
		}
	}
	text, _ := os.ReadFile(filepath.Join(n.lab.dir, n.name+".log"))
	return fmt.Errorf("%s not ready: %s", n.name, text)
}

// command runs one of the project's commands and returns its output and exit code.
func (l *lab) command(args ...string) (output string, code int) {
	cmd := exec.Command(filepath.Join(l.root, "bin", "fernvane"), args...)
	cmd.Dir = l.root
	text, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	switch {
	case errors.As(err, &exit):
		code = exit.ExitCode()
	case err != nil:
		return err.Error(), -1
	}
	return string(text), code
}
