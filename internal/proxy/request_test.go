package proxy

import (
	"fmt"
	"strings"
	"testing"
)

func TestOneRequest(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		path     string
		script   []string
		status   int
		attempts int32 // -n: at least n; the policy limits attempts if none is started
	}{
		"handled":                              {"/book/1", []string{okResponse}, 200, 1},
		"larger than specified":                {"/book/1", []string{fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 300002\r\n\r\n%sok", strings.Repeat("x", 300000))}, 200, 1},
		"in chunks":                            {"/book/1", []string{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"}, 200, 1},
		"until the close":                      {"/book/1", []string{"HTTP/1.1 200 OK\r\n\r\nok" + closeMark}, 200, 1},
		"unknown type":                         {"/other/1", []string{okResponse}, 404, 0},
		"non-idempotent, no response":          {"/book/1", []string{closeMark, okResponse}, 502, 1},
		"non-idempotent, truncated head":       {"/book/1", []string{"HTTP/1.1 2" + closeMark, okResponse}, 502, 1},
		"non-idempotent, truncated body":       {"/book/1", []string{strings.TrimSuffix(okResponse, "k") + closeMark, okResponse}, 502, 1},
		"non-idempotent, malformed":            {"/book/1", []string{"what\r\n\r\n", okResponse}, 502, 1},
		"non-idempotent, too long":             {"/book/1", []string{"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n", okResponse}, 502, 1},
		"non-idempotent, an error":             {"/book/1", []string{"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", okResponse}, 502, 1},
		"non-idempotent, 503 without a mark":   {"/book/1", []string{strings.Replace(notStartedResponse, "Not-Started: 1\r\n", "", 1), okResponse}, 502, 1},
		"non-idempotent, silence":              {"/book/1", []string{"", okResponse}, 504, 1},
		"non-idempotent, stalls in the body":   {"/book/1", []string{strings.TrimSuffix(okResponse, "k"), okResponse}, 504, 1},
		"non-idempotent, not started, then ok": {"/book/1", []string{notStartedResponse, okResponse}, 200, 2},
		"non-idempotent, not started anywhere": {"/book/1", []string{notStartedResponse}, 503, -2},
		"idempotent, request fault":            {"/check/1", []string{"HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", okResponse}, 400, 1},
		"non-idempotent, 429":                  {"/book/1", []string{"HTTP/1.1 429 No\r\nContent-Length: 0\r\n\r\n", okResponse}, 502, 1},
		"idempotent, closed, then ok":          {"/check/1", []string{closeMark, okResponse}, 200, 2},
		"idempotent, an error, then ok":        {"/check/1", []string{"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", okResponse}, 200, 2},
		"idempotent, silence":                  {"/check/1", []string{"", okResponse}, 503, 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			serverEndpoints, received := servers(t, 4, c.script...)
			at, _ := startNode(t, config(serverEndpoints...))
			conn := dial(t, at)
			r := get(t, conn, c.path)
			if r.Status != c.status || received.Load() != c.attempts && (c.attempts >= 0 || received.Load() < -c.attempts || received.Load() > 4) || r.Status == 200 && strings.TrimLeft(string(r.Body), "x") != "ok" {
				t.Errorf("unexpected status %d, body %q after %d attempts", r.Status, r.Body, received.Load())
			}
			if r := get(t, conn, "/up"); r.Status != 200 { // the connection stays usable
				t.Errorf("next request: got status %d, want 200", r.Status)
			}
		})
	}
}
