package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/protocol/http1"
	"fernvane/policy"
)

// Answers that never end, or have no length and are reset on the way: one attempt of a binding operation, and its client
// is told in time that it failed. A reset is no end of an answer.
func TestUnterminatedResponses(t *testing.T) {
	t.Parallel()
	const noLength = "HTTP/1.1 200 OK\r\n\r\n"
	for name, c := range map[string]struct {
		begins, goesOn string // goesOn is sent without an end
		reset          bool
	}{
		"a head":               {"HTTP/1.1 200 OK\r\n", "A: b\r\n", false},
		"words on the way":     {"", "HTTP/1.1 102 Processing\r\n\r\n", false},
		"chunks":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", false},
		"a chunk's line":       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;", "x", false},
		"a trailer":            {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", false},
		"a body of no length":  {noLength, strings.Repeat("x", 1<<10), false},
		"no length, and reset": {noLength + "ok", "", true},
		"chunks, and reset":    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var taken atomic.Int32
			lead := func(nc net.Conn) {
				defer nc.Close()
				if http1.NewConn(nc).ReadRequest(&http1.Request{}) != nil {
					return
				}
				taken.Add(1)
				_, err := io.WriteString(nc, c.begins)
				for err == nil && c.goesOn != "" {
					_, err = io.WriteString(nc, c.goesOn)
				}
				if c.reset {
					nc.(*net.TCPConn).SetLinger(0)
				}
			}
			at, _ := startNode(t, config(http1.Endpoint{ID: "a", Address: standIn(t, lead), Size: 1}, http1.Endpoint{ID: "b", Address: standIn(t, lead), Size: 1}))
			if r := get(t, dial(t, at), "/book/1"); r.Status != 502 && r.Status != 504 || taken.Load() != 1 {
				t.Errorf("answered %d after %d attempts", r.Status, taken.Load())
			}
		})
	}
}

// What may have run is repeated only within its window: an attempt that breaks off after it gets no other, however much
// time its client has.
func TestRetryWindow(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		window time.Duration
		sent   int32
		status int
	}{
		"within it": {time.Minute, 2, 200},
		"behind it": {time.Millisecond, 1, 503},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var taken atomic.Int32
			lead := func(nc net.Conn) {
				defer nc.Close()
				for conn := http1.NewConn(nc); conn.ReadRequest(&http1.Request{}) == nil; {
					if taken.Add(1) == 1 {
						time.Sleep(20 * time.Millisecond) // past the short window, at the least
						return
					}
					io.WriteString(nc, okResponse)
				}
			}
			cfg := config(http1.Endpoint{ID: "a", Address: standIn(t, lead), Size: 1}, http1.Endpoint{ID: "b", Address: standIn(t, lead), Size: 1})
			kind := &cfg.Settings.TrafficTypes[0]
			kind.Idempotency, kind.KeyScope, kind.KeyRetention = policy.IdempotentWithKey, policy.KeyScopeAll, c.window
			kind.LatencyObjective, kind.ClientTimeout = time.Minute, time.Minute
			at, _ := startNode(t, cfg)
			if r := get(t, dial(t, at), "/check/1"); r.Status != c.status || taken.Load() != c.sent {
				t.Errorf("answered %d after %d attempts", r.Status, taken.Load())
			}
		})
	}
}

// Good clients among a flood of bad ones that hold more connections than there is room for: each request gets its answer,
// also one that comes byte by byte. A connection closed before its request was read is for the client to try once more.
func TestGoodClientsAmongMalformed(t *testing.T) {
	t.Parallel()
	const (
		bad, good, each = 120, 4, 6
		triesMost       = 50
	)
	hosts, _ := servers(t, 2, okResponse)
	cfg := config(hosts...)
	cfg.Limits.Sockets = 64
	for i := range cfg.Settings.TrafficTypes {
		cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = time.Minute, time.Minute
	}
	at, _ := startNode(t, cfg)
	kinds := []struct {
		say   string
		leave bool
	}{
		{"hello\r\n\r\n", false}, {strings.Repeat("x", 100<<10), true}, {"POST /book/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\nx", false},
		{"GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: ", false}, {strings.Repeat("GET / HTTP/1.1\r\n\r\n", 500), true}, {"", false},
	}
	over := make(chan struct{})
	var flood, all sync.WaitGroup
	for i := range bad {
		flood.Go(func() {
			kind := kinds[i%len(kinds)]
			for {
				if c, err := net.Dial("tcp", at); err == nil {
					io.WriteString(c, kind.say)
					if !kind.leave {
						closed := make(chan struct{})
						go func() {
							defer close(closed)
							io.Copy(io.Discard, c) // until the node ends it
						}()
						select {
						case <-closed:
						case <-over:
						}
					}
					c.Close()
				}
				select {
				case <-over:
					return
				default:
				}
			}
		})
	}
	for i := range good {
		all.Go(func() {
			for range each {
				request := fmt.Sprintf("GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: good-%d\r\n\r\n", ids.Add(1))
				status, err := 0, errors.New("not tried")
				for try := 0; err != nil && try < triesMost; try++ {
					status, err = getOnce(at, request, i%2 == 0)
				}
				if err != nil || status != 200 {
					t.Errorf("answered %d, %v", status, err)
				}
			}
		})
	}
	all.Wait()
	close(over)
	flood.Wait()
}

// once asks on a connection of its own, byte by byte where it is slow; the error is that of a connection that was closed or
// reset with no answer.
func getOnce(at, request string, slow bool) (int, error) {
	nc, err := net.Dial("tcp", at)
	if err != nil {
		return 0, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(time.Minute))
	if slow {
		for i := 0; i < len(request)-1 && err == nil; i++ {
			_, err = io.WriteString(nc, request[i:i+1])
		}
		request = request[len(request)-1:]
	}
	if err == nil {
		_, err = io.WriteString(nc, request)
	}
	if err != nil {
		return 0, err
	}
	var r http1.Response
	err = http1.NewConn(nc).ReadResponse(&r, http1.MaxAnswer)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) {
		return -1, nil // no end at all
	}
	return r.Status, err
}
