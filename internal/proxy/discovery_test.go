package proxy

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fernvane/internal/protocol/http1"
)

const resetMark = "\x01" // at the end of a scripted response of discovery: the connection is reset instead of closed

// scriptedDiscovery starts a stand-in discovery that sends one response of a script per poll, byte by byte if pieces is set, and none after
// the last. queries receives the query of each poll. An empty response leaves the connection open.
func scriptedDiscovery(t *testing.T, pieces bool, script ...string) (at netip.AddrPort, queries chan string) {
	queries = make(chan string, 64)
	var polls atomic.Int32
	at = standIn(t, func(nc net.Conn) {
		defer nc.Close()
		var r http1.Request
		for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
			queries <- strings.TrimPrefix(string(r.Target), "/discovery/hosts")
			n := int(polls.Add(1))
			if n > len(script) {
				continue // the poll gets no response
			}
			response := strings.TrimRight(script[n-1], closeMark+resetMark)
			if pieces {
				for i := range response {
					io.WriteString(nc, response[i:i+1])
				}
			} else {
				io.WriteString(nc, response)
			}
			switch {
			case strings.HasSuffix(script[n-1], resetMark):
				nc.(*net.TCPConn).SetLinger(0)
				return
			case strings.HasSuffix(script[n-1], closeMark):
				return
			}
		}
	})
	return at, queries
}

func listResponse(revision int, isComplete bool, members ...string) string {
	body := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[%s]}`, revision, isComplete, strings.Join(members, ","))
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func listMember(e http1.Endpoint, condition string) string {
	return fmt.Sprintf(`{"id":"%s","host_port":"%s","phase":"%s","size":1}`, e.ID, e.Address, condition)
}

// A change of the list reaches the node however earlier polls failed. Afterwards no new request is sent to a server that was announced as
// draining or that a complete list lacks, although the server still responds.
func TestListUpdateAfterFailedPolls(t *testing.T) {
	t.Parallel()
	serverEndpoints, _ := servers(t, 1, okResponse)
	remaining := serverEndpoints[0]
	remaining.ID = "stays"
	rejection := func(status int) string {
		return fmt.Sprintf("HTTP/1.1 %d No\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n", status)
	}
	withoutRemoved := listResponse(9, true, listMember(remaining, "SERVING"))
	for name, c := range map[string]struct {
		before      []string // responses to the polls before the change
		change      string   // response with the change; empty: an indented change that announces the server as draining
		pieces      bool
		mustRequest bool // the settings require requests for the list
	}{
		"immediately, left out":             {nil, withoutRemoved, false, false},
		"immediately, in pieces":            {nil, withoutRemoved, true, false},
		"rejected for a while":              {[]string{rejection(503), rejection(429), rejection(503)}, withoutRemoved, false, true},
		"rejected and closed":               {[]string{rejection(503) + closeMark, rejection(429) + closeMark}, withoutRemoved, false, true},
		"reset without a response":          {[]string{resetMark, resetMark}, withoutRemoved, false, true},
		"reset within a response":           {[]string{withoutRemoved[:len(withoutRemoved)-9] + resetMark}, withoutRemoved, false, false},
		"closed within a response":          {[]string{withoutRemoved[:len(withoutRemoved)-9] + closeMark}, withoutRemoved, false, false},
		"no response to the first":          {[]string{""}, withoutRemoved, false, false},
		"stalled within a response":         {[]string{withoutRemoved[:len(withoutRemoved)-9]}, withoutRemoved, false, false},
		"no response later":                 {[]string{listResponse(3, false), listResponse(3, false), ""}, withoutRemoved, false, false},
		"no response later, then rejected":  {[]string{listResponse(3, false), "", rejection(503)}, withoutRemoved, false, true},
		"a watch is closed":                 {[]string{listResponse(3, false), closeMark}, withoutRemoved, false, true},
		"a watch is reset":                  {[]string{listResponse(3, false), resetMark}, withoutRemoved, false, true},
		"no responses, then rejected":       {[]string{"", "", rejection(503)}, withoutRemoved, false, false},
		"indented, as a change, in pieces":  {[]string{rejection(503)}, "", true, false},
		"a change that drains, after reset": {[]string{resetMark}, "", false, true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			removed, received := servers(t, 1, okResponse)
			if c.change == "" {
				c.change = listResponse(9, false, "\n  "+strings.ReplaceAll(listMember(removed[0], "DRAINING"), ",", ",\n    "))
			}
			cfg := config(removed[0], remaining)
			cfg.SavedList.Revision, cfg.Settings.MustRequestEndpoints = 2, c.mustRequest
			var queries chan string
			cfg.Discovery, queries = scriptedDiscovery(t, c.pieces, append(c.before, c.change)...)
			at, _ := startNode(t, cfg)
			for query := ""; !strings.HasPrefix(query, "?index=9&"); { // the change was applied
				query = <-queries
			}
			before := received.Load()
			client := dial(t, at)
			for range 20 {
				if r := get(t, client, "/check/1"); r.Status != 200 {
					t.Errorf("got status %d, want 200", r.Status)
				}
			}
			if n := received.Load() - before; n > 0 {
				t.Errorf("got %d requests to a draining or removed server, want none", n)
			}
		})
	}
}

func TestDiscovery(t *testing.T) {
	t.Parallel()
	serverEndpoints, _ := servers(t, 1, okResponse)
	line := fmt.Sprintf(`{"id":"s","host_port":"%s","phase":"SERVING","size":1}`, serverEndpoints[0].Address)
	list := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	lastList := list(`{"revision":9,"complete":true,"members":[` + line + `]}`)
	for name, script := range map[string][]string{
		"immediately":             {lastList},
		"after nothing new":       {list(`{"revision":3,"members":[]}`), lastList},
		"after a failed poll":     {"HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n", lastList},
		"after a closed poll":     {closeMark, lastList},
		"after a truncated body":  {list(`{"revision":5,"compl`), lastList},
		"beside an invalid entry": {list(`{"revision":9,"complete":true,"members":[{"id":7},` + line + `]}`)},
		"after a closed response": {list(`{"revision":3,"members":[]}`) + closeMark, lastList},
		"as a change to the list": {list(`{"revision":9,"members":[` + line + `]}`)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			polls, next := make(chan string, 16), make(chan string, len(script))
			for _, s := range script {
				next <- s
			}
			cfg := config()
			cfg.SavedList.Revision = 2
			cfg.Discovery = standIn(t, func(nc net.Conn) {
				defer nc.Close()
				var r http1.Request
				for c := http1.NewConn(nc); c.ReadRequest(&r) == nil; {
					polls <- string(r.Target)
					response := <-next
					io.WriteString(nc, strings.TrimSuffix(response, closeMark))
					if strings.HasSuffix(response, closeMark) {
						return
					}
				}
			})
			at, _ := startNode(t, cfg)
			for range script {
				if poll := <-polls; !strings.HasPrefix(poll, "/discovery/hosts?index=2&") && !strings.HasPrefix(poll, "/discovery/hosts?index=3&") {
					t.Errorf("got poll %s, want revision 2 or 3", poll)
				}
			}
			listSentAt := time.Now()
			if poll := <-polls; !strings.HasPrefix(poll, "/discovery/hosts?index=9&wait=") || time.Since(listSentAt) > 200*time.Millisecond {
				t.Errorf("got poll %s after %v, want revision 9 within 200 ms", poll, time.Since(listSentAt)) // the watch must continue
			}
			close(next)
			if r := get(t, dial(t, at), "/check/1"); r.Status != 200 {
				t.Errorf("got status %d, want 200", r.Status)
			}
		})
	}
}
