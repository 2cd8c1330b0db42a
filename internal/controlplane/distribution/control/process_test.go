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

// fernvane is the program, built once for all tests that need it; the folder that it is in goes with them.
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

// turns bounds how many fleets run at a time.
var turns = make(chan struct{}, 4)

// process is one control process of the program.
type process struct {
	name, at, disk, file string
	cmd                  *exec.Cmd
	ended                chan error
	log                  *output
}

// output is a process's log, over all its runs.
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

// lines counts those that hold a text.
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

// kill ends it as a loss of the machine would.
func (p *process) kill() {
	if p.ended == nil {
		return
	}
	p.signal(syscall.SIGKILL)
	<-p.ended
	p.ended = nil
}

// end shuts it down cleanly.
func (p *process) end(t *testing.T) {
	t.Helper()
	began := time.Now()
	p.signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("%s ends with %v", p.name, err)
		}
		t.Logf("%s ends after %v", p.name, time.Since(began).Round(time.Millisecond))
	case <-time.After(patience):
		t.Errorf("%s does not end", p.name)
		p.kill()
	}
	p.ended = nil
}

// fleet is two roots in two regions, a relay in the first that prefers its root, and a node at the relay and one at the
// second root. A fault proxy stands between all processes.
type fleet struct {
	a, b, r   *process
	proxies   map[string]*faultproxy.Proxy // by who dials and whom: "ra"
	near, far *subscriber
	writer    *writer
	stop      chan struct{}
	running   sync.WaitGroup
}

func newFleet(t *testing.T) *fleet {
	t.Helper()
	turns <- struct{}{}
	t.Cleanup(func() { <-turns })
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
	f.waitConverged(t, "all current")
	f.near, f.far = node("near", "", "s"), node("far", "", "s")
	f.follow(f.near, f.proxies["nr"].Address())
	f.follow(f.far, f.proxies["mb"].Address())
	f.writer = &writer{fleet: f, acknowledged: map[distribution.Key]distribution.Entry{}}
	f.writer.begin()
	f.writer.reach(t, 50)
	return f
}

func (f *fleet) all() []*process { return []*process{f.a, f.b, f.r} }

// configure writes a process's file.
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

// follow has a node follow an address, again and again.
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

// waitConverged waits until all processes are current and hold the same, and tells how long it took.
func (f *fleet) waitConverged(t *testing.T, what string) {
	t.Helper()
	f.settleSince(t, what, time.Now())
}

func (f *fleet) settleSince(t *testing.T, what string, began time.Time) {
	t.Helper()
	wait(t, what, func() bool {
		first, err := digests(f.a.at)
		for _, p := range f.all() {
			other, fault := digests(p.at)
			self, _, unasked := query(p.at)
			if err = errors.Join(err, fault, unasked); err != nil || !self.HasAcknowledged || !maps.Equal(first, other) {
				return false
			}
		}
		return true
	})
	t.Logf("%s: equal after %v", what, time.Since(began).Round(10*time.Millisecond))
}

// heldEntries returns all that a process holds, as a new subscriber of everything is sent it.
func (f *fleet) heldEntries(t *testing.T, p *process) *subscriber {
	t.Helper()
	all := &subscriber{name: "auditor", role: distribution.RoleNode, store: distribution.NewStore("", distribution.Limits{})}
	if err := all.connect(p.at); err != nil {
		t.Fatal(err)
	}
	defer all.leave()
	wait(t, "all of "+p.name, func() bool { all.mu.Lock(); defer all.mu.Unlock(); return all.complete })
	return all
}

// checkConverged ends the writing and checks that all holders hold the same and everything acknowledged, and that no node
// went back.
func (f *fleet) checkConverged(t *testing.T) {
	t.Helper()
	f.writer.end()
	f.waitConverged(t, "after the fault")
	for _, p := range f.all() {
		f.writer.check(t, p.name, f.heldEntries(t, p), nil)
	}
	for _, n := range []*subscriber{f.near, f.far} {
		wait(t, "all at "+n.name, func() bool { return f.writer.lacking(n, n.services) == nil })
		f.writer.check(t, n.name, n, n.services)
		n.mu.Lock()
		if n.back != nil {
			t.Errorf("%s: %v", n.name, n.back)
		}
		n.mu.Unlock()
	}
	t.Logf("%d writes acknowledged, %d refused or unanswered", f.writer.count, f.writer.failed)
}

// writer writes at both roots and the relay in turn, and keeps what was acknowledged.
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

// write changes one of a few hundred keys, so that processes often change the same.
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

// reach waits until so many more writes were acknowledged.
func (w *writer) reach(t *testing.T, more int) {
	t.Helper()
	w.mu.Lock()
	from := w.count
	w.mu.Unlock()
	wait(t, "more writes", func() bool { w.mu.Lock(); defer w.mu.Unlock(); return w.count >= from+more })
}

// lacking is the first acknowledged write that a holder does not hold, or a later one of its key.
func (w *writer) lacking(s *subscriber, services []string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	of := map[string]bool{}
	for _, name := range services {
		of[name] = true
	}
	for k, e := range w.acknowledged {
		if services != nil && !of[k.Service] {
			continue
		}
		held, ok := s.store.Entry(k)
		switch {
		case !ok && e.Deleted:
		case !ok || distribution.Compare(held, e) < 0:
			return fmt.Errorf("%v of clock %d: it holds clock %d (%t)", k, e.Clock, held.Clock, ok)
		case held.Clock == e.Clock && held.Origin == e.Origin && !bytes.Equal(held.Value, e.Value):
			return fmt.Errorf("%v holds %q, not %q", k, held.Value, e.Value)
		}
	}
	return nil
}

func (w *writer) check(t *testing.T, name string, s *subscriber, services []string) {
	t.Helper()
	if err := w.lacking(s, services); err != nil {
		t.Errorf("%s lacks %v", name, err)
	}
}
