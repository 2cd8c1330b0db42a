package proxy

import (
	"fmt"
	"strings"
	"testing"
)

func TestOneRequest(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		path   string
		script []string
		status int
		hops   int32 // below 0: so many or more, by chance, for hops that all are turned away grow rare
	}{
		"handled":                         {"/book/1", []string{okResponse}, 200, 1},
		"beyond what was agreed":          {"/book/1", []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 300002\r\n\r\n%sok", strings.Repeat("x", 300000))}, 200, 1},
		"in chunks":                       {"/book/1", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}, 200, 1},
		"until the close":                 {"/book/1", []string{"HTTP/1.1 200 OK\r\n\r\nok" + closeMark}, 200, 1},
		"the list asks for more":          {"/other/1", []string{okResponse}, 404, 0},
		"binding, no answer":              {"/book/1", []string{closeMark, okResponse}, 502, 1},
		"binding, cut off in the head":    {"/book/1", []string{"HTTP/1.1 2" + closeMark, okResponse}, 502, 1},
		"binding, cut off in the body":    {"/book/1", []string{strings.TrimSuffix(okResponse, "k") + closeMark, okResponse}, 502, 1},
		"binding, garbled":                {"/book/1", []string{"what\r\n\r\n", okResponse}, 502, 1},
		"binding, too long":               {"/book/1", []string{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", okResponse}, 502, 1},
		"binding, an error":               {"/book/1", []string{"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", okResponse}, 502, 1},
		"binding, away without a word":    {"/book/1", []string{strings.Replace(notStartedResponse, "Not-Started: 1\r\n", "", 1), okResponse}, 502, 1},
		"binding, silence":                {"/book/1", []string{"", okResponse}, 504, 1},
		"binding, stalls in the body":     {"/book/1", []string{strings.TrimSuffix(okResponse, "k"), okResponse}, 504, 1},
		"binding, turned away, then not":  {"/book/1", []string{notStartedResponse, okResponse}, 200, 2},
		"binding, turned away everywhere": {"/book/1", []string{notStartedResponse}, 503, -2},
		"retriable, its own fault":        {"/check/1", []string{"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", okResponse}, 400, 1},
		"binding, too many":               {"/book/1", []string{"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", okResponse}, 502, 1},
		"retriable, cut off, then not":    {"/check/1", []string{closeMark, okResponse}, 200, 2},
		"retriable, an error, then not":   {"/check/1", []string{"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", okResponse}, 200, 2},
		"retriable, silence":              {"/check/1", []string{"", okResponse}, 503, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			hosts, taken := servers(t, 4, c.script...)
			at, _ := startNode(t, config(hosts...))
			conn := dial(t, at)
			r := get(t, conn, c.path)
			if r.Status != c.status || taken.Load() != c.hops && (c.hops >= 0 || taken.Load() < -c.hops || taken.Load() > 4) || r.Status == 200 && strings.TrimLeft(string(r.Body), "x") != "ok" {
				t.Errorf("answered %d %q after %d hops", r.Status, r.Body, taken.Load())
			}
			if r := get(t, conn, "/up"); r.Status != 200 { // the connection lives on
				t.Errorf("then %d", r.Status)
			}
		})
	}
}
