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

const badClientTimeout = 3 * time.Second // for an error response or a close, counted from connecting

// badClientCount counts clients that connected to send malformed input. It is safe for concurrent use.
type badClientCount struct {
	mu sync.Mutex
	n  int
}

func (b *badClientCount) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.n
}

// malformed lists the inputs of bad clients. A node must answer each with a 4xx or 5xx status, or close the connection.
var malformed = []struct{ name, text string }{
	{"not HTTP", "hello\r\n\r\n"},
	{"noise", "\x00\xff\x16\x03\x01\x02\r\n\r\n"},
	{"unterminated header", "GET /hire-check/1 HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 40<<10)},
	{"negative content length", "POST /hire-book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: -5\r\n\r\n"},
	{"huge content length", "POST /hire-book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: 99999999999\r\n\r\n"},
	{"two content lengths", "POST /hire-book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: 4\r\nContent-Length: 60\r\n\r\nabcd"},
	{"content length and chunked encoding", "POST /hire-book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /hire-check/2 HTTP/1.1\r\nHost: h\r\nRequest-Id: %[1]s\r\n\r\n"},
	{"truncated body", "POST /hire-book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: 50\r\n\r\nhalf"},
	{"unknown traffic type", "GET /dance/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n"},
	{"missing request ID", "GET /hire-check/1 HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"malformed request timeout", "GET /hire-check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nRequest-Timeout: soon\r\n\r\n"},
	{"no input", ""},
}

// sendMalformed connects bad clients to the nodes in turn, at the fault's rate. Consecutive clients send different inputs.
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

// sendOneMalformed runs the i-th bad client. It reports to the audit if the node responds with a success, or with neither
// an error nor a close within badClientTimeout.
func (env *environment) sendOneMalformed(i int) {
	input := malformed[i%len(malformed)]
	node := (i / len(malformed)) % len(env.nodes)
	startedAt := time.Now()
	c, err := net.DialTimeout("tcp", env.nodeAddress(node), badClientTimeout)
	if err != nil {
		return // the node is down
	}
	defer c.Close()
	env.badClients.mu.Lock()
	env.badClients.n++
	env.badClients.mu.Unlock()
	c.SetDeadline(startedAt.Add(badClientTimeout + env.Scenario.Rules.Slack.Std()))
	text := input.text
	if strings.Contains(text, "%") {
		text = fmt.Sprintf(text, fmt.Sprintf("ffff%012x", i))
	}
	io.WriteString(c, text)
	prefix := make([]byte, 12)
	n, err := io.ReadFull(c, prefix)
	response := string(prefix[:n])
	violation := ""
	switch {
	case strings.HasPrefix(response, "HTTP/1.1 4"), strings.HasPrefix(response, "HTTP/1.1 5"):
	case n > 0:
		violation = fmt.Sprintf("%s: got response %q, want 4xx or 5xx", input.name, response)
	case time.Since(startedAt) > badClientTimeout && err != nil && isTimeout(err):
		violation = fmt.Sprintf("%s: neither error response nor close within %s", input.name, badClientTimeout)
	}
	if violation != "" {
		env.observer.record(func(a *audit.Audit, _ time.Duration) {
			a.BadClientUnanswered(fmt.Sprintf("node %d: %s", node, violation))
		})
	}
}

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}
