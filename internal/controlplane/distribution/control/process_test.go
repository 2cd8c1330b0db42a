package control

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/controlplane/distribution"
	"fernvane/internal/testbed/standin/address"
	"fernvane/internal/testbed/standin/faultproxy"
)

// fernvane builds the program once for all tests that need it, and returns its path. TestMain removes its directory.
var (
	built    atomic.Bool
	fernvane = sync.OnceValues(build)
)

func build() (string, error) {
	built.Store(true)
	dir, err := os.MkdirTemp("", "fernvane")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "fernvane")
	if out, err := exec.Command("go", "build", "-o", path, "fernvane/cmd/fernvane").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	return path, nil
}

// fleetSlots limits the number of fleets that run concurrently.
var fleetSlots = make(chan struct{}, 4)

// process is a control process that runs as a child process.
type process struct {
	name, at, disk, file string
	cmd                  *exec.Cmd
	ended                chan error
	log                  *output
}

// output collects a process's log over all its runs.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(b)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

// lines returns the number of log lines that contain a text.
func (o *output) lines(with string) (n int) {
	for line := range strings.Lines(o.String()) {
		if strings.Contains(line, with) {
			n++
		}
	}
	return n
}

func (p *process) start(t *testing.T) {
	t.Helper()
	program, err := fernvane()
	if err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(program, "control", "--file", p.file)
	p.cmd.Stderr = p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	cmd := p.cmd
	go func() { ended <- cmd.Wait() }()
	p.ended = ended
}

func (p *process) signal(s syscall.Signal) { p.cmd.Process.Signal(s) }

// kill terminates the process without a shutdown, like a loss of its machine.
func (p *process) kill() {
	if p.ended == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
	p.ended = nil
}

// end terminates the process with a graceful shutdown.
func (p *process) end(t *testing.T) {
	t.Helper()
	began := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("%s: got exit error %v, want none", p.name, err)
		}
		t.Logf("%s terminated after %v", p.name, time.Since(began).Round(time.Millisecond))
	case <-time.After(waitTimeout):
		t.Errorf("%s has not terminated within 30s", p.name)
		p.kill()
	}
	p.ended = nil
}

// fleet is two roots in two regions, a relay in the first region that prefers its root, a node that subscribes to the relay and
// one that subscribes to the second root. Each connection passes through a fault proxy.
type fleet struct {
	a, b, r   *process
	proxies   map[string]*faultproxy.Proxy // by the initials of the dialing process and its target, as "ra"
	near, far *subscriber
	writer    *writer
	stop      chan struct{}
	running   sync.WaitGroup
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	f := &fleet{proxies: map[string]*faultproxy.Proxy{}, stop: make(chan struct{})}
	dir := t.TempDir()
	processes := map[string]*process{}
	for _, name := range []string{"a", "b", "r"} {
		processes[name] = &process{name: name, at: address.Free(t), disk: filepath.Join(dir, name+".db"), file: filepath.Join(dir, name+".toml"), log: &output{}}
	}
	f.a, f.b, f.r = processes["a"], processes["b"], processes["r"]
	for _, ends := range []string{"ab", "ba", "ra", "rb", "nr", "mb"} {
		c, err := faultproxy.Listen(processes[ends[1:]].at)
		if err != nil {
			t.Fatal(err)
		}
		f.proxies[ends] = c
	}
	t.Cleanup(func() { f.close(t) })
	for _, p := range f.all() {
		f.configure(t, p, "")
		p.start(t)
	}
	f.waitConverged(t, "convergence after the start")
	f.near, f.far = node("near", "", "s"), node("far", "", "s")
	f.follow(f.near, f.proxies["nr"].Address())
	f.follow(f.far, f.proxies["mb"].Address())
	f.writer = &writer{fleet: f, acknowledged: map[distribution.Key]distribution.Entry{}}
	f.writer.begin()
	f.writer.waitAcknowledged(t, 50)
	return f
}

func (f *fleet) all() []*process { return []*process{f.a, f.b, f.r} }

// configure writes a process's settings file.
func (f *fleet) configure(t *testing.T, p *process, more string) {
	t.Helper()
	upstreams := map[string]string{
		"a": fmt.Sprintf("upstreams = [%q]\nfollow = \"all\"\n", f.proxies["ab"].Address()),
		"b": fmt.Sprintf("upstreams = [%q]\nfollow = \"all\"\n", f.proxies["ba"].Address()),
		"r": fmt.Sprintf("upstreams = [%q, %q]\n", f.proxies["ra"].Address(), f.proxies["rb"].Address()),
	}[p.name]
	text := fmt.Sprintf("name = %q\nlisten = %q\ndisk = %q\nnode_bytes = 1000000\nplaintext = true\n%s%s", p.name, p.at, p.disk, upstreams, more)
	if err := os.WriteFile(p.file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// follow keeps a node connected to an address until the fleet stops.
func (f *fleet) follow(n *subscriber, at string) {
	f.running.Go(func() {
		for {
			if n.connect(at) == nil {
				select {
				case <-n.done:
				case <-f.stop:
					n.leave()
					return
				}
			}
			select {
			case <-f.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
}

func (f *fleet) close(t *testing.T) {
	close(f.stop)
	if f.writer != nil {
		f.writer.end()
	}
	for _, p := range f.all() {
		p.kill()
		if t.Failed() {
			t.Logf("log of %s:\n%s", p.name, p.log)
		}
	}
	for _, c := range f.proxies {
		c.Close()
	}
	f.running.Wait()
}

// waitConverged waits until all processes are current and their digests are equal, and logs the time that this took.
func (f *fleet) waitConverged(t *testing.T, what string) {
	t.Helper()
	f.waitConvergedSince(t, what, time.Now())
}

func (f *fleet) waitConvergedSince(t *testing.T, what string, began time.Time) {
	t.Helper()
	wait(t, what, func() bool {
		first, err := digests(f.a.at)
		for _, p := range f.all() {
			other, digestsErr := digests(p.at)
			self, _, queryErr := query(p.at)
			if err = errors.Join(err, digestsErr, queryErr); err != nil || !self.HasAcknowledged || !maps.Equal(first, other) {
				return false
			}
		}
		return true
	})
	t.Logf("%s: equal digests after %v", what, time.Since(began).Round(10*time.Millisecond))
}

// storedEntries returns a new subscriber to all services that has received all entries of a process.
func (f *fleet) storedEntries(t *testing.T, p *process) *subscriber {
	t.Helper()
	all := &subscriber{name: "auditor", role: distribution.RoleNode, store: distribution.NewStore("", distribution.Limits{})}
	if err := all.connect(p.at); err != nil {
		t.Fatal(err)
	}
	defer all.leave()
	wait(t, "all entries of "+p.name, func() bool { all.mu.Lock(); defer all.mu.Unlock(); return all.complete })
	return all
}

// checkConverged stops the writer, and verifies that all processes and nodes have converged with all acknowledged writes, and that
// no node has received an older version of a key.
func (f *fleet) checkConverged(t *testing.T) {
	t.Helper()
	f.writer.end()
	f.waitConverged(t, "convergence after the fault")
	for _, p := range f.all() {
		f.writer.check(t, p.name, f.storedEntries(t, p), nil)
	}
	for _, n := range []*subscriber{f.near, f.far} {
		wait(t, "all acknowledged writes at "+n.name, func() bool { return f.writer.missing(n, n.services) == nil })
		f.writer.check(t, n.name, n, n.services)
		n.mu.Lock()
		if n.regression != nil {
			t.Errorf("%s: %v", n.name, n.regression)
		}
		n.mu.Unlock()
	}
	t.Logf("%d writes acknowledged, %d rejected or without a response", f.writer.count, f.writer.failed)
}

// writer writes continuously at both roots and the relay, and records the acknowledged writes.
type writer struct {
	fleet   *fleet
	running sync.WaitGroup
	stop    chan struct{}

	mu           sync.Mutex
	acknowledged map[distribution.Key]distribution.Entry
	count        int
	failed       int
	written      int
}

func (w *writer) begin() {
	w.stop = make(chan struct{})
	for _, p := range w.fleet.all() {
		w.running.Go(func() {
			for {
				select {
				case <-w.stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				w.write(p.at)
			}
		})
	}
}

func (w *writer) end() {
	if w.stop != nil {
		close(w.stop)
		w.running.Wait()
		w.stop = nil
	}
}

// write changes one of a few hundred keys, so that processes often change the same key.
func (w *writer) write(at string) {
	w.mu.Lock()
	w.written++
	n := w.written
	w.mu.Unlock()
	c := route([]string{"s", "", "other"}[n%3], fmt.Sprint("key-", n%400))
	c.Value = fmt.Appendf(nil, "value-%d", n)
	if n%37 == 0 {
		c.Value, c.Deleted = nil, true
	}
	written, err := tryWriteWithin(at, time.Second, c)
	w.mu.Lock()
	defer w.mu.Unlock()
	if err != nil {
		w.failed++
		return
	}
	w.count++
	e := distribution.Entry{Key: c.Key, Clock: written.Clock, Origin: written.Origin, Sequence: written.Sequence, Deleted: c.Deleted, Value: c.Value}
	if distribution.Compare(w.acknowledged[c.Key], e) < 0 {
		w.acknowledged[c.Key] = e
	}
}

// waitAcknowledged waits until a number of further writes were acknowledged.
func (w *writer) waitAcknowledged(t *testing.T, more int) {
	t.Helper()
	w.mu.Lock()
	from := w.count
	w.mu.Unlock()
	wait(t, "more writes", func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.count >= from+more })
}

// missing returns an error that names an acknowledged write for which a subscriber has neither its version of the key nor a later
// one.
func (w *writer) missing(s *subscriber, services []string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	isSelected := map[string]bool{}
	for _, name := range services {
		isSelected[name] = true
	}
	for k, e := range w.acknowledged {
		if services != nil && !isSelected[k.Service] {
			continue
		}
		stored, ok := s.store.Entry(k)
		switch {
		case !ok && e.Deleted:
		case !ok || distribution.Compare(stored, e) < 0:
			return fmt.Errorf("%v: want clock %d or later, got clock %d (stored: %t)", k, e.Clock, stored.Clock, ok)
		case stored.Clock == e.Clock && stored.Origin == e.Origin && !bytes.Equal(stored.Value, e.Value):
			return fmt.Errorf("%v: got value %q, want %q", k, stored.Value, e.Value)
		}
	}
	return nil
}

func (w *writer) check(t *testing.T, name string, s *subscriber, services []string) {
	t.Helper()
	if err := w.missing(s, services); err != nil {
		t.Errorf("%s: acknowledged write missing: %v", name, err)
	}
}
