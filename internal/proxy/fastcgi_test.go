package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"fernvane/internal/protocol/fastcgi"
	"fernvane/internal/protocol/http1"
	"fernvane/internal/protocol/message"
)

// responder starts a FastCGI server that sends the result of answer for each request, and nothing if it is nil.
func responder(t *testing.T, answer func(*message.Request) *message.Answer) netip.AddrPort {
	return standIn(t, func(nc net.Conn) {
		defer nc.Close()
		conn := fastcgi.NewClientConn(nc, nil)
		defer conn.AbandonRequests()
		for {
			request, err := conn.NextRequest(nil)
			if err != nil {
				return
			}
			if a := answer(request.Request); a != nil {
				conn.Answer(request, request.Append(nil, *a))
			}
		}
	})
}

// startFastCGINode runs a node that accepts clients in both protocols and uses FastCGI for servers of machine kind "cgi".
func startFastCGINode(t *testing.T, serverEndpoints ...http1.Endpoint) (http, cgi string, stop func() error) {
	return startFastCGINodeWith(t, shutdownDelays{}, serverEndpoints...)
}

func startFastCGINodeWith(t *testing.T, delays shutdownDelays, serverEndpoints ...http1.Endpoint) (http, cgi string, stop func() error) {
	t.Helper()
	// Its own IP address: a free port of 127.0.0.1 may be assigned to any connection before the node listens on it.
	pid := os.Getpid()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.252.%d.%d:0", pid/250%250, pid%250+1))
	if err != nil {
		t.Fatal(err)
	}
	cgi = ln.Addr().String()
	ln.Close()
	cfg := config(serverEndpoints...)
	cfg.shutdownDelays = delays
	for i := range cfg.Settings.TrafficTypes { // long enough for a busy machine
		cfg.Settings.TrafficTypes[i].LatencyObjective, cfg.Settings.TrafficTypes[i].ClientTimeout = 2*time.Second+delays.extraTime, 4*time.Second+delays.extraTime
	}
	cfg.Routes = routes(t, &cfg, fmt.Sprintf("[fastcgi]\nlisten = %q\nflavors = [\"cgi\"]", cgi))
	http, stop = startNode(t, cfg)
	get(t, dial(t, http), "/up") // the node listens on both addresses
	return http, cgi, stop
}

func echoed(r *message.Request) *message.Answer {
	return &message.Answer{Status: 200, Body: fmt.Appendf(nil, "%s %s %s", r.Method, r.Target, r.Body)}
}

func post(id string) *message.Request {
	return &message.Request{Method: []byte("POST"), Target: []byte("/book/1"), Body: []byte("body"),
		Fields: []message.Field{{Name: []byte("Host"), Value: []byte("h")}, {Name: []byte("Request-Id"), Value: []byte(id)}}}
}

// The answer to a request depends on the response of the server and not on the protocols of client and server.
func TestProtocolPairings(t *testing.T) {
	t.Parallel()
	status := func(n int, isNotStarted bool) func(*message.Request) *message.Answer {
		return func(*message.Request) *message.Answer {
			a := &message.Answer{Status: n}
			if isNotStarted {
				a.Fields = []message.Field{{Name: []byte("Not-Started"), Value: []byte("1")}}
			}
			return a
		}
	}
	for name, c := range map[string]struct {
		answer   func(*message.Request) *message.Answer
		status   int
		body     string
		attempts int
	}{
		"handled":       {echoed, 200, "POST /book/1 body", 1},
		"an error":      {status(500, false), 502, "", 1},
		"not started":   {status(503, true), 503, "", 4},
		"request fault": {status(404, false), 404, "", 1},
		"no response":   {func(*message.Request) *message.Answer { return nil }, 504, "", 1},
	} {
		for _, pairing := range []string{"http http", "http cgi", "cgi http", "cgi cgi"} {
			t.Run(name+", "+pairing, func(t *testing.T) {
				t.Parallel()
				front, back, _ := strings.Cut(pairing, " ")
				var mu sync.Mutex
				attempts := 0
				counted := func(r *message.Request) *message.Answer {
					mu.Lock()
					attempts++
					mu.Unlock()
					return c.answer(r)
				}
				var serverEndpoints []http1.Endpoint
				for i := range 2 {
					h := http1.Endpoint{ID: fmt.Sprint("s", i), Weight: 1, MachineKind: back}
					if back == "cgi" {
						h.Address = responder(t, counted)
					} else {
						h.Address = standIn(t, func(nc net.Conn) {
							defer nc.Close()
							conn := http1.NewConn(nc)
							var r http1.Request
							for conn.ReadRequest(&r) == nil {
								if a := counted(&r); a != nil {
									conn.Send(http1.AppendAnswer(nil, *a))
								}
							}
						})
					}
					serverEndpoints = append(serverEndpoints, h)
				}
				http, cgi, _ := startFastCGINode(t, serverEndpoints...)
				var client upstreamConn = http1.NewConn(dial(t, http).Conn)
				if front == "cgi" {
					client = fastcgi.NewServerConn(dial(t, cgi).Conn, nil, nil)
				}
				client.SetDeadline(time.Now().Add(10 * time.Second))
				for range 2 { // the second on the reused connection
					mu.Lock()
					attempts = 0
					mu.Unlock()
					var r message.Response
					if isWritten, err := client.SendRequest(post(fmt.Sprint(ids.Add(1))), 5*time.Second, "1.2.3.4"); !isWritten {
						t.Fatal(err)
					}
					if err := client.ReceiveResponse(&r); err != nil {
						t.Fatal(err)
					}
					mu.Lock()
					if r.Status != c.status || c.body != "" && string(r.Body) != c.body || attempts > c.attempts || attempts < 1 && c.status == 200 {
						t.Errorf("unexpected answer %d %q after %d attempts", r.Status, r.Body, attempts)
					}
					mu.Unlock()
					if c.status != 200 {
						break // the servers may be ejected now
					}
				}
			})
		}
	}
}

// A hundred requests share a connection. A request that is aborted while its attempt is in flight and a malformed request do not affect the
// others, and the aborted request gets only an empty end of request.
func TestSharedConnection(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	at := responder(t, func(r *message.Request) *message.Answer {
		if strings.HasSuffix(string(r.Target), "held") {
			<-release
		}
		return echoed(r)
	})
	_, cgi, stop := startFastCGINode(t, http1.Endpoint{ID: "s", Weight: 1, MachineKind: "cgi", Address: at})
	nc := dial(t, cgi).Conn
	nc.SetDeadline(time.Now().Add(10 * time.Second))
	const n = 100
	var wire []byte
	for id := uint16(1); id <= n; id++ {
		request := post(fmt.Sprint("shared-", id))
		if id == 7 {
			request.Target = []byte("/book/held")
		}
		if id == 8 {
			request.Fields = nil // no request ID
		}
		wire = append(wire, fastcgi.AppendRequest(nil, id, request, "4.000", "1.2.3.4")...)
	}
	wire = append(wire, fastcgi.AppendAbort(nil, 7)...)
	if _, err := nc.Write(wire); err != nil {
		t.Fatal(err)
	}
	answers, read := map[uint16]message.Response{}, fastcgi.NewResponseReader(nc)
	for len(answers) < n {
		id, r, err := read.Next()
		if err != nil {
			t.Fatal(err)
		}
		answers[id] = r
	}
	close(release)
	var expected []uint16
	for id, a := range answers {
		switch {
		case id == 7 && len(a.Body) == 0 && a.Status == 0, id == 8 && a.Status == 400, a.Status == 200 && string(a.Body) == "POST /book/1 body", a.Status == 503:
			expected = append(expected, id)
		default:
			t.Errorf("request %d: unexpected answer %d %q", id, a.Status, a.Body)
		}
	}
	if len(expected) != n || !slices.Contains(expected, 7) {
		t.Errorf("got %d expected answers, want one per request", len(expected))
	}
	if err := stop(); err != nil {
		t.Error(err)
	}
}

// The node closes the connection of a FastCGI client that sends nothing, stalls or violates the protocol within 3 s.
func TestMalformedFastCGIClients(t *testing.T) {
	t.Parallel()
	_, cgi, _ := startFastCGINode(t)
	complete := fastcgi.AppendRequest(nil, 1, post("x"), "1.000", "1.2.3.4")
	for name, text := range map[string][]byte{"sends nothing": nil, "half a header": complete[:5], "half a request": complete[:len(complete)-8], "HTTP": []byte("GET / HTTP/1.1\r\n\r\n"),
		"the same id twice": append(slices.Clone(complete[:16]), complete[:16]...)} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			nc := dial(t, cgi).Conn
			nc.Write(text)
			nc.SetReadDeadline(time.Now().Add(3 * time.Second))
			if _, err := io.Copy(io.Discard, nc); err != nil && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("connection not closed within 3 s: %v", err)
			}
		})
	}
}
