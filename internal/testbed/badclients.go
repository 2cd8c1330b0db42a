package testbed

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"fernvane/internal/testbed/audit"
	"fernvane/internal/testbed/scenario"
)

const badClientTimeout = 3 * time.Second // for an error or a close, from the connection

// badClientCount counts the clients that sent malformed input.
type badClientCount struct {
	mu sync.Mutex
	n  int
}

func (b *badClientCount) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.n
}

// malformed is what bad clients send. An answer must not be a success.
var malformed = []struct{ name, text string }{
	{"no HTTP", "hello\r\n\r\n"},
	{"noise", "\x00\xff\x16\x03\x01\x02\r\n\r\n"},
	{"a head without end", "GET /hire-check/1 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 40<<10)},
	{"a negative length", "POST /hire-book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: -5\r\n\r\n"},
	{"a huge length", "POST /hire-book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: 99999999999\r\n\r\n"},
	{"two lengths", "POST /hire-book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: 4\r\nContent-Length: 60\r\n\r\nabcd"},
	{"a length and chunks", "POST /hire-book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hire-check/2 HTTP/1.1\r\nHost: h\r\nRequest-Id: %[1]s\r\n\r\n"},
	{"a body that does not come", "POST /hire-book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: 50\r\n\r\nhalf"},
	{"a type that does not exist", "GET /dance/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n"},
	{"no id", "GET /hire-check/1 HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"a time-out of what", "GET /hire-check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Timeout: soon\r\n\r\n"},
	{"nothing", ""},
}

// sendMalformed connects clients to all nodes in turn, at the fault's rate, each with other malformed input.
func (env *environment) sendMalformed(f *scenario.Fault) {
	env.wg.Go(func() {
		every := time.NewTicker(time.Duration(float64(time.Second) / f.Size))
		defer every.Stop()
		until := time.After(f.For.Std())
		for i := 0; ; i++ {
			select {
			case <-env.stopped:
				return
			case <-until:
				return
			case <-every.C:
			}
			env.wg.Go(func() { env.sendOneMalformed(i) })
		}
	})
}

// sendOneMalformed runs the i-th bad client and reports to the audit if it gets neither an error nor a close in time.
func (env *environment) sendOneMalformed(i int) {
	r := malformed[i%len(malformed)]
	n := (i / len(malformed)) % len(env.nodes)
	began := time.Now()
	c, err := net.DialTimeout("tcp", env.nodeAddress(n), badClientTimeout)
	if err != nil {
		return // the node is stopped
	}
	defer c.Close()
	env.badClients.mu.Lock()
	env.badClients.n++
	env.badClients.mu.Unlock()
	c.SetDeadline(began.Add(badClientTimeout + env.Scenario.Rules.Slack.Std()))
	text := r.text
	if strings.Contains(text, "%") {
		text = fmt.Sprintf(text, fmt.Sprintf("ffff%012x", i))
	}
	io.WriteString(c, text)
	first := make([]byte, 12)
	got, err := io.ReadFull(c, first)
	answer := string(first[:got])
	why := ""
	switch {
	case strings.HasPrefix(answer, "HTTP/1.1 4"), strings.HasPrefix(answer, "HTTP/1.1 5"):
	case got > 0:
		why = fmt.Sprintf("%s: answered %q", r.name, answer)
	case time.Since(began) > badClientTimeout && err != nil && isTimeout(err):
		why = fmt.Sprintf("%s: neither an error nor a close in %s", r.name, badClientTimeout)
	}
	if why != "" {
		env.observer.record(func(a *audit.Audit, _ time.Duration) { a.BadClientUnanswered(fmt.Sprintf("node %d: %s", n, why)) })
	}
}

// isTimeout reports whether an error is a timeout of the network.
func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}
