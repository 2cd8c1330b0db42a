package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const serverIdleTimeout = 5 * time.Second // as in the settings

// arrival is a request that a server began.
type arrival struct {
	server string
	id     string
	path   string
	at     time.Duration
}

// fleet is the servers of a case and what they ran.
type fleet struct {
	rig     *rig
	servers []*server

	mu       sync.Mutex
	arrivals []arrival
	lost     []string // ids of requests that were sent to a server that is switched off
}

// server is a stand-in for a hire box. It runs each request once its last byte has come and answers 200.
type server struct {
	fleet   *fleet
	id      string
	address string
	http    *http.Server
	ln      net.Listener
	work    time.Duration

	mu     sync.Mutex
	isCut  func(path string) bool // whether the connection is reset after the request has run; nil: never
	isGone bool                   // the machine was switched off
	still  time.Time              // until then the server stands still
}

// newFleet starts servers s1 to sN.
func (r *rig) newFleet(count int, work time.Duration) *fleet {
	f := &fleet{rig: r}
	for i := range count {
		f.start(fmt.Sprint("s", i+1), work)
	}
	return f
}

func (f *fleet) start(id string, work time.Duration) *server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.rig.fail(err)
	}
	s := &server{fleet: f, id: id, address: l.Addr().String(), work: work, ln: l}
	s.http = &http.Server{Handler: s, IdleTimeout: serverIdleTimeout}
	f.servers = append(f.servers, s)
	go s.http.Serve(l)
	f.rig.logf("server %s listens", id)
	return s
}

// ServeHTTP runs a request. One without an id is answered 404.
func (s *server) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Request-Id")
	if id == "" {
		http.NotFound(w, req)
		return
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return
	}
	f := s.fleet
	s.mu.Lock()
	isGone := s.isGone
	s.mu.Unlock()
	if isGone {
		f.rig.logf("lost     %s was sent to %s, which is switched off", id, s.id)
		f.mu.Lock()
		f.lost = append(f.lost, id)
		f.mu.Unlock()
		<-req.Context().Done() // open connections stay open and silent
		return
	}
	a := arrival{s.id, id, req.URL.Path, f.rig.now()}
	f.mu.Lock()
	f.arrivals = append(f.arrivals, a)
	f.mu.Unlock()
	f.rig.logf("run      %s at %s, %s", id, s.id, req.URL.Path)
	time.Sleep(s.work)
	s.mu.Lock()
	still := s.still
	s.mu.Unlock()
	time.Sleep(time.Until(still))
	s.mu.Lock()
	isCut := s.isCut != nil && s.isCut(req.URL.Path)
	s.mu.Unlock()
	if isCut {
		f.rig.logf("reset    %s at %s, after it ran", id, s.id)
		s.reset(w)
		return
	}
	fmt.Fprintf(w, "docket of %s by %s\n", id, s.id)
}

// reset resets the connection of a request.
func (s *server) reset(w http.ResponseWriter) {
	hijacker, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	nc, _, err := hijacker.Hijack()
	if err != nil {
		return
	}
	if tcp, ok := nc.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	nc.Close()
}

// cut sets which requests end with a reset of their connection after they have run.
func (s *server) cut(isCut func(path string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCut = isCut
}

// since returns the requests that a server began after a time.
func (f *fleet) since(id string, after time.Duration) (found []arrival) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, a := range f.arrivals {
		if a.server == id && a.at > after {
			found = append(found, a)
		}
	}
	return found
}

// runs returns by request id where and when it ran.
func (f *fleet) runs() map[string][]arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	byID := map[string][]arrival{}
	for _, a := range f.arrivals {
		byID[a.id] = append(byID[a.id], a)
	}
	return byID
}

// switchOff ends a server that has finished what it had: new connections are refused, open ones stay open and silent.
func (s *server) switchOff() {
	s.mu.Lock()
	s.isGone = true
	s.mu.Unlock()
	s.ln.Close()
	s.fleet.rig.logf("server %s is switched off", s.id)
}

// lostCount returns how many requests were sent to servers that were switched off.
func (f *fleet) lostCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.lost)
}

// busiest returns the server that began most requests in the last seconds: a node of little traffic uses few servers.
func (f *fleet) busiest() *server {
	best, most := f.servers[0], 0
	for _, s := range f.servers {
		if n := len(f.since(s.id, f.rig.now()-2*time.Second)); n > most {
			best, most = s, n
		}
	}
	return best
}

// cutEvery has the connection of every n-th request whose path begins with a prefix reset after the request has run; 0: of
// none.
func (f *fleet) cutEvery(n int32, prefix string) {
	var count atomic.Int32
	for _, s := range f.servers {
		if n == 0 {
			s.cut(nil)
		} else {
			s.cut(func(path string) bool { return strings.HasPrefix(path, prefix) && count.Add(1)%n == 0 })
		}
	}
}

// standStill lets the server stand still for a time: what it has and what comes is answered after that.
func (s *server) standStill(length time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.still = time.Now().Add(length)
}
