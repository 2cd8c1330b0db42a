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

const owedWithin = 3 * time.Second // an error or a close, counted from the connection

// badClients counts clients that send what cannot be read.
type badClients struct {
	mu sync.Mutex
	n  int
}

func (b *badClients) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.n
}

// malformed is what such clients send. Where an answer is due it must be no success.
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

// sendMalformed has clients connect to all nodes in turn, so many a second, each sending something else.
func (w *world) sendMalformed(f *scenario.Fault) {
	w.wg.Go(func() {
		every := time.NewTicker(time.Duration(float64(time.Second) / f.Size))
		defer every.Stop()
		until := time.After(f.For.Std())
		for i := 0; ; i++ {
			select {
			case <-w.stopped:
				return
			case <-until:
				return
			case <-every.C:
			}
			w.wg.Go(func() { w.sendOneMalformed(i) })
		}
	})
}

func (w *world) sendOneMalformed(i int) {
	r := malformed[i%len(malformed)]
	n := (i / len(malformed)) % len(w.nodes)
	began := time.Now()
	c, err := net.DialTimeout("tcp", w.nodeAddress(n), owedWithin)
	if err != nil {
		return // a node that is away owes nothing
	}
	defer c.Close()
	w.badClients.mu.Lock()
	w.badClients.n++
	w.badClients.mu.Unlock()
	c.SetDeadline(began.Add(owedWithin + w.Scenario.Rules.Slack.Std()))
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
	case time.Since(began) > owedWithin && err != nil && isTimeout(err):
		why = fmt.Sprintf("%s: neither an error nor a close in %s", r.name, owedWithin)
	}
	if why != "" {
		w.observer.record(func(a *audit.Audit, _ time.Duration) { a.BadClientUnanswered(fmt.Sprintf("node %d: %s", n, why)) })
	}
}

func isTimeout(err error) bool {
	late, ok := err.(net.Error)
	return ok && late.Timeout()
}
