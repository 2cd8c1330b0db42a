package scale

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

const (
	logTailBytes = 400
	maxLineBytes = 4 << 20 // of one announcement
)

// process is a process of the run as seen by the tool, over its restarts.
type process struct {
	task    task
	command []string
	handle  func(*process, announcement)

	mu              sync.Mutex
	cmd             *exec.Cmd
	in              io.WriteCloser
	ready           chan struct{}
	ended           chan struct{}
	isStopRequested bool    // by kill
	endedCPU        float64 // CPU seconds of earlier starts
}

func (p *process) name() string { return fmt.Sprintf("%s-%d", p.task.Role, p.task.Number) }

// start starts the process, which is ready when ready is closed. The process ends when its standard input does, so at the
// latest with the tool.
func (p *process) start() error {
	log, err := os.OpenFile(p.task.Layout.logPath(p.name()), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(p.command[0], p.command[1:]...)
	c.Env, c.Stderr = environment(), log
	in, err := c.StdinPipe()
	if err != nil {
		return err
	}
	out, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return fmt.Errorf("start process %s: %w", p.name(), err)
	}
	ready, ended := make(chan struct{}), make(chan struct{})
	p.mu.Lock()
	p.cmd, p.in, p.ready, p.ended, p.isStopRequested = c, in, ready, ended, false
	p.mu.Unlock()
	go p.listen(c, out, ready, ended)
	return json.NewEncoder(in).Encode(p.task)
}

// listen handles the announcements of the process until it has ended. An end that was not requested is reported as an
// error.
func (p *process) listen(c *exec.Cmd, out io.Reader, ready, ended chan struct{}) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var a announcement
		if json.Unmarshal(lines.Bytes(), &a) != nil {
			continue // not an announcement, such as the first line of a panic
		}
		if a.Ready {
			close(ready)
		}
		p.handle(p, a)
	}
	c.Wait()
	p.mu.Lock()
	isStopRequested := p.isStopRequested
	p.cmd = nil
	if s := c.ProcessState; s != nil {
		p.endedCPU += (s.UserTime() + s.SystemTime()).Seconds()
	}
	p.mu.Unlock()
	close(ended)
	if !isStopRequested {
		p.handle(p, announcement{Error: fmt.Sprintf("process %s ended unexpectedly: %s", p.name(), p.logTail())})
	}
}

func (p *process) logTail() string {
	b, err := os.ReadFile(p.task.Layout.logPath(p.name()))
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(b[max(len(b)-logTailBytes, 0):]))
}

// send sends an order to the process.
func (p *process) send(o order) error {
	p.mu.Lock()
	in := p.in
	p.mu.Unlock()
	return json.NewEncoder(in).Encode(o)
}

// await waits until the process is ready.
func (p *process) await(timeout time.Duration) error {
	p.mu.Lock()
	ready, ended := p.ready, p.ended
	p.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ended:
		return fmt.Errorf("process %s ended before it was ready: %s", p.name(), p.logTail())
	case <-time.After(timeout):
		return fmt.Errorf("process %s not ready within %s", p.name(), timeout)
	}
}

// kill kills the process and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	c, ended := p.cmd, p.ended
	p.isStopRequested = true
	p.mu.Unlock()
	if c == nil {
		return
	}
	c.Process.Kill()
	<-ended
}

// pid returns the id of the running process, 0 if none runs.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// use returns the CPU time of the process over its restarts and its present memory.
func (p *process) use() (u usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		u = usageOf(p.cmd.Process.Pid)
	}
	u.CPU += p.endedCPU
	return u
}
