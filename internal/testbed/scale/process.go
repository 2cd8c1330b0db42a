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
	maxLineBytes = 4 << 20 // of what a process says at a time
)

// process is one of the tool's, over its restarts.
type process struct {
	task    task
	command []string
	handle  func(*process, announcement)

	mu              sync.Mutex
	cmd             *exec.Cmd
	in              io.WriteCloser
	ready           chan struct{}
	ended           chan struct{}
	isStopRequested bool    // to end
	endedCPU        float64 // CPU seconds of those before
}

func (p *process) name() string { return fmt.Sprintf("%s-%d", p.task.Role, p.task.Number) }

// start runs the process; it is ready when ready is closed. It ends with its standard input, and so with the tool.
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
		return fmt.Errorf("%s cannot be started: %w", p.name(), err)
	}
	ready, ended := make(chan struct{}), make(chan struct{})
	p.mu.Lock()
	p.cmd, p.in, p.ready, p.ended, p.isStopRequested = c, in, ready, ended, false
	p.mu.Unlock()
	go p.listen(c, out, ready, ended)
	return json.NewEncoder(in).Encode(p.task)
}

// listen hears what the process says until it has ended.
func (p *process) listen(c *exec.Cmd, out io.Reader, ready, ended chan struct{}) {
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var t announcement
		if json.Unmarshal(lines.Bytes(), &t) != nil {
			continue // what is none of ours, as a panic's first line
		}
		if t.Ready {
			close(ready)
		}
		p.handle(p, t)
	}
	c.Wait()
	p.mu.Lock()
	asked := p.isStopRequested
	p.cmd = nil
	if s := c.ProcessState; s != nil {
		p.endedCPU += (s.UserTime() + s.SystemTime()).Seconds()
	}
	p.mu.Unlock()
	close(ended)
	if !asked {
		p.handle(p, announcement{Error: fmt.Sprintf("%s has ended: %s", p.name(), p.logTail())})
	}
}

func (p *process) logTail() string {
	b, err := os.ReadFile(p.task.Layout.logPath(p.name()))
	if err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(b[max(len(b)-logTailBytes, 0):]))
}

// tell gives an order.
func (p *process) send(o order) error {
	p.mu.Lock()
	in := p.in
	p.mu.Unlock()
	return json.NewEncoder(in).Encode(o)
}

// await waits for the process to be ready.
func (p *process) await(most time.Duration) error {
	p.mu.Lock()
	ready, ended := p.ready, p.ended
	p.mu.Unlock()
	select {
	case <-ready:
		return nil
	case <-ended:
		return fmt.Errorf("%s has ended: %s", p.name(), p.logTail())
	case <-time.After(most):
		return fmt.Errorf("%s is not ready after %s", p.name(), most)
	}
}

// kill ends the process at once, and waits for its end.
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

// pid of the running process, 0 for none.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// use is what it has used so far, over its restarts.
func (p *process) use() (u usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		u = usageOf(p.cmd.Process.Pid)
	}
	u.CPU += p.endedCPU
	return u
}
