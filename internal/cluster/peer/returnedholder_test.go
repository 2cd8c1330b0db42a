package peer

import (
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards connections to a target.
type relay struct {
	listener net.Listener
	mu       sync.Mutex
	target   string
	pipes    []*pipe
}

// pipe is a forwarded connection. A silent one carries nothing and closes neither end, as when the machine of one end has vanished.
type pipe struct {
	ends     [2]net.Conn
	mu       sync.Mutex
	isSilent bool
}

func startRelay(t *testing.T) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener}
	var serving sync.WaitGroup
	serving.Go(func() {
		for {
			caller, err := listener.Accept()
			if err != nil {
				return
			}
			serving.Go(func() { r.forward(caller) })
		}
	})
	t.Cleanup(func() {
		listener.Close()
		for _, p := range r.open() {
			p.close()
		}
		serving.Wait()
	})
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

// setTarget sets where later connections are forwarded to.
func (r *relay) setTarget(address string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = address
}

func (r *relay) open() []*pipe {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pipes
}

// silence makes all present connections silent.
func (r *relay) silence() {
	for _, p := range r.open() {
		p.mu.Lock()
		p.isSilent = true
		p.mu.Unlock()
	}
}

func (r *relay) forward(caller net.Conn) {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	called, err := net.Dial("tcp", target)
	if err != nil {
		caller.Close()
		return
	}
	p := &pipe{ends: [2]net.Conn{caller, called}}
	r.mu.Lock()
	r.pipes = append(r.pipes, p)
	r.mu.Unlock()
	var directions sync.WaitGroup
	directions.Go(func() { p.pass(0) })
	directions.Go(func() { p.pass(1) })
	directions.Wait()
}

// pass forwards what one end sends until an end closes, and then closes both unless the pipe is silent.
func (p *pipe) pass(from int) {
	io.Copy(p.ends[1-from], p.ends[from])
	p.mu.Lock()
	isSilent := p.isSilent
	p.mu.Unlock()
	if !isSilent {
		p.close()
	}
}

func (p *pipe) close() {
	for _, end := range p.ends {
		end.Close()
	}
}

// TestHolderReturnsWithEmptyDisk guards against the loss of a journal whose only replica holder has returned with an empty disk
// while connections to its former process are silent and open.
func TestHolderReturnsWithEmptyDisk(t *testing.T) {
	t.Parallel()
	const records = 5
	behind := func(r *relay) func(*Config) {
		return func(cfg *Config) {
			cfg.Replicas = 1
			cfg.Advertise = r.address()
			r.setTarget(cfg.Listen)
		}
	}
	toOrigin, toHolder := startRelay(t), startRelay(t)
	origin := startConfigured(t, "n0", "", behind(toOrigin))
	holder := startConfigured(t, "n1", "", behind(toHolder), toOrigin.address())
	for number := range uint64(records) {
		origin.commit(t, number)
	}
	origin.mu.Lock()
	stream := origin.origin.Stream()
	origin.mu.Unlock()
	toOrigin.silence()
	toHolder.silence()
	holder.crash()
	returned := startConfigured(t, "n1", "", behind(toHolder), toOrigin.address())
	eventually(t, "the returned holder stores all records", func() bool {
		returned.mu.Lock()
		defer returned.mu.Unlock()
		return returned.replicas.Ranges(stream).Count() >= records
	})
	origin.crash()
	if ids, _ := findIDs(t, returned.cfg); len(ids) != records {
		t.Errorf("after the loss of the origin: got %d records, want %d", len(ids), records)
	}
}
