package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/protocol/http1"
)

func TestShortOfDescriptors(t *testing.T) {
	t.Parallel()
	serverEndpoints, _ := servers(t, 1, okResponse)
	cfg := config(serverEndpoints...)
	cfg.Limits.Sockets = 1 // allows the minimum number of connections
	at, _ := startNode(t, cfg)
	for i := range 4 * cfg.Limits.MaxConnections() {
		if r := get(t, dial(t, at), "/check/1"); r.Status != 200 { // the client stays connected, idle
			t.Fatalf("client %d: got status %d, want 200", i, r.Status)
		}
	}
}

// While all descriptors are in use, connections are still accepted and their requests are rejected immediately.
func TestAllConnectionsBusy(t *testing.T) {
	t.Parallel()
	finish := make(chan struct{})
	server := standIn(t, func(nc net.Conn) {
		for c := http1.NewConn(nc); c.ReadRequest(&http1.Request{}) == nil; {
			<-finish
			io.WriteString(nc, okResponse)
		}
	})
	cfg := config(http1.Endpoint{ID: "a", Address: server, Weight: 1}, http1.Endpoint{ID: "b", Address: server, Weight: 1})
	cfg.Limits.Sockets = 1
	cfg.Settings.TrafficTypes[0].LatencyObjective, cfg.Settings.TrafficTypes[0].ClientTimeout = time.Minute, time.Minute
	at, _ := startNode(t, cfg)
	answers := make(chan int)
	const n = 20
	for range n {
		go func() {
			var r http1.Response
			for r.Status == 0 { // the client retries if its connection was closed before its request was read
				nc, err := net.Dial("tcp", at)
				if err != nil {
					break
				}
				defer nc.Close()
				fmt.Fprintf(nc, "GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\n\r\n", ids.Add(1))
				http1.NewConn(nc).ReadResponse(&r, http1.MaxRequestBody)
			}
			answers <- r.Status
		}()
	}
	got := map[int]int{}
	for i := range n {
		status := <-answers
		if got[status]++; got[503] == n-3 && i == n-4 {
			close(finish)
		}
	}
	if got[200] != 3 || got[503] != n-3 {
		t.Errorf("got counts by status %v, want 3 of 200 and all others 503", got)
	}
}

// Correct clients get their answers, also to requests that are sent byte by byte, while malformed clients hold more connections than the node
// allows. A client retries if its connection was closed before its request was read.
func TestCorrectClientsAmongMalformed(t *testing.T) {
	t.Parallel()
	const (
		malformedClients, correctClients, requestsPerClient = 120, 4, 6
		maxAttempts                                         = 50
	)
	serverEndpoints, _ := servers(t, 2, okResponse)
	cfg := config(serverEndpoints...)
	cfg.Limits.Sockets = 64
	for i := range cfg.Settings.TrafficTypes {
		cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = time.Minute, time.Minute
	}
	at, _ := startNode(t, cfg)
	kinds := []struct {
		text         string
		closesItself bool // the client closes its connection after the text
	}{
		{"hello\r\n\r\n", false}, {strings.Repeat("x", 100<<10), true}, {"POST /book/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\nx", false},
		{"GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: ", false}, {strings.Repeat("GET / HTTP/1.1\r\n\r\n", 500), true}, {"", false},
	}
	stopFlood := make(chan struct{})
	var flood, clients sync.WaitGroup
	for i := range malformedClients {
		flood.Go(func() {
			kind := kinds[i%len(kinds)]
			for {
				if c, err := net.Dial("tcp", at); err == nil {
					io.WriteString(c, kind.text)
					if !kind.closesItself {
						closed := make(chan struct{})
						go func() {
							defer close(closed)
							io.Copy(io.Discard, c) // until the node closes the connection
						}()
						select {
						case <-closed:
						case <-stopFlood:
						}
					}
					c.Close()
				}
				select {
				case <-stopFlood:
					return
				default:
				}
			}
		})
	}
	for i := range correctClients {
		clients.Go(func() {
			for range requestsPerClient {
				request := fmt.Sprintf("GET /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: good-%d\r\n\r\n", ids.Add(1))
				status, err := 0, errors.New("not attempted")
				for attempt := 0; err != nil && attempt < maxAttempts; attempt++ {
					status, err = getOnce(at, request, i%2 == 0)
				}
				if err != nil || status != 200 {
					t.Errorf("got status %d, error %v, want 200", status, err)
				}
			}
		})
	}
	clients.Wait()
	close(stopFlood)
	flood.Wait()
}

// getOnce sends a request on a new connection, byte by byte if slow. It returns an error if the connection was closed or reset without an
// answer, and status -1 if neither an answer nor a close arrived.
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
	err = http1.NewConn(nc).ReadResponse(&r, http1.MaxResponseBody)
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) {
		return -1, nil // neither answered nor closed
	}
	return r.Status, err
}
