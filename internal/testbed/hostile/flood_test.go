package hostile

import (
	"context"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
	"fernvane/internal/controlplane/plan"
	"fernvane/internal/controlplane/planwire"
	"fernvane/internal/discovery/incarnation"
)

const (
	floodTime            = 1500 * time.Millisecond
	floodBatch           = 100 // messages in one write
	maxLogBytesPerSecond = 64 << 10
	floodMemoryMB        = smallestMemoryMB
)

// messages returns a batch of messages. first counts the messages of all batches.
type messages func(first int) string

// repeat returns messages of one form, each with its number.
func repeat(message func(number int) string) messages {
	return func(first int) string {
		var batch strings.Builder
		for i := range floodBatch {
			batch.WriteString(message(first + i))
		}
		return batch.String()
	}
}

// flood sends messages on one connection at full speed and discards the answers. It connects again when the connection is closed. It returns
// the number of messages.
func flood(at, hello string, duration time.Duration, next messages) (sent int) {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	for ctx.Err() == nil {
		c, err := dialTCP(at)
		if err != nil {
			continue
		}
		stop := context.AfterFunc(ctx, func() { c.Close() })
		read := make(chan struct{})
		go func() {
			defer close(read)
			io.Copy(io.Discard, c)
			c.Close()
		}()
		_, err = io.WriteString(c, hello)
		for err == nil {
			_, err = io.WriteString(c, next(sent))
			sent += floodBatch
		}
		stop()
		c.Close()
		<-read
	}
	return sent
}

func httpMessage(line, fields string) string {
	return line + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n"
}

func frame(p framing.Protocol, kind framing.Kind, body any) string {
	encoded, err := p.Append(nil, kind, body)
	if err != nil {
		panic(err)
	}
	return string(encoded)
}

func helloOf(p framing.Protocol) string {
	return frame(p, framing.HelloKind, framing.Hello{Version: p.Version, Name: "flood"})
}

// Guards against one client that keeps others from their answers, or lets memory or the log grow without end, by small or invalid messages
// at full speed or under ever new names.
func TestFlood(t *testing.T) {
	for _, c := range []struct {
		name     string
		listener func(*node) string
		hello    string
		next     messages
	}{
		{"HTTP, readiness", (*node).httpAddress, "", repeat(func(int) string { return httpMessage("GET /up", "") })},
		{"HTTP, unknown types", (*node).httpAddress, "", repeat(func(n int) string {
			return httpMessage(fmt.Sprintf("GET /unknown-%d", n), fmt.Sprintf("Request-Id: f%d\r\n", n))
		})},
		{"HTTP, new names", (*node).httpAddress, "", repeat(func(n int) string {
			return httpMessage(fmt.Sprintf("GET /check/%d", n), fmt.Sprintf("Request-Id: f%d\r\nTenant: t%d\r\nAffinity-Key: k%d\r\n", n, n, n))
		})},
		{"HTTP, no id", (*node).httpAddress, "", repeat(func(int) string { return httpMessage("GET /check/1", "") })},
		{"HTTP, invalid lines", (*node).httpAddress, "", repeat(func(int) string { return "x\r\n\r\n" })},
		{"HTTP, empty lines", (*node).httpAddress, "", repeat(func(int) string { return "\r\n" })},
		{"FastCGI, values", (*node).fastCGIAddress, "", repeat(func(int) string { return fcgiRecord(fcgiGetValues, 0, fcgiPair("FCGI_MAX_CONNS", "")) })},
		{"FastCGI, unknown records", (*node).fastCGIAddress, "", repeat(func(int) string { return fcgiRecord(99, 0, "") })},
		{"FastCGI, begun and aborted", (*node).fastCGIAddress, "", repeat(func(n int) string {
			id := uint16(n%60_000 + 1)
			return fcgiBeginRecord(id) + fcgiRecord(fcgiAbort, id, "")
		})},
		{"FastCGI, no id", (*node).fastCGIAddress, "", repeat(func(n int) string {
			id := uint16(n%60_000 + 1)
			return fcgiBeginRecord(id) + fcgiRecord(fcgiParams, id, fcgiPair("REQUEST_URI", "/check/1")) + fcgiRecord(fcgiParams, id, "") + fcgiRecord(fcgiStdin, id, "")
		})},
		{"FastCGI, new names", (*node).fastCGIAddress, "", repeat(func(n int) string {
			id, name := uint16(n%60_000+1), fmt.Sprint("f", n)
			return fcgiBeginRecord(id) + fcgiRecord(fcgiParams, id, fcgiRequestParams("/check/"+name, name)+fcgiPair("HTTP_TENANT", name)) +
				fcgiRecord(fcgiParams, id, "") + fcgiRecord(fcgiStdin, id, "")
		})},
		{"FastCGI, records of no request", (*node).fastCGIAddress, "", repeat(func(n int) string { return fcgiRecord(fcgiStdin, uint16(n%60_000+1), "x") })},
		{"FastCGI, empty pairs", (*node).fastCGIAddress, "", repeat(func(n int) string {
			id := uint16(n%60_000 + 1)
			return fcgiBeginRecord(id) + fcgiRecord(fcgiParams, id, strings.Repeat("\x00\x00", maxHead/2)) + fcgiRecord(fcgiParams, id, "") + fcgiRecord(fcgiStdin, id, "")
		})},
		{"peers, unknown frames", (*node).peersAddress, "", repeat(func(int) string { return "\x00\x00\x00\x04\x63xxxx" })},
		{"peers, hellos under new names", (*node).peersAddress, "", repeat(func(n int) string {
			return frame(peerProtocol, framing.HelloKind, framing.Hello{Version: peerProtocol.Version, Name: fmt.Sprint("f", n)})
		})},
		{"peers, updates of new members", (*node).peersAddress, helloOfNode(), updatesOfNewMembers(1)},
		{"peers, updates of members with long names", (*node).peersAddress, helloOfNode(), updatesOfNewMembers(longNameBytes)},
		{"peers, offers of new streams", (*node).peersAddress, helloOfNode(), offersOfNewStreams},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, floodMemoryMB)
			var sent int
			regular := runBesideRegular(t, n.http, func() { sent = flood(c.listener(n), c.hello, runTime(floodTime), c.next) })
			checkFlood(t, n.process, sent, regular)
		})
	}
}

// checkFlood checks a process after a flood. regular is nil if it has no regular clients.
func checkFlood(t *testing.T, p *process, sent int, regular *regularClient) {
	t.Helper()
	peak, logBytes := p.peakMB(), len(p.log())
	t.Logf("%d messages, peak %.1f MiB, log %d KB, %v", sent, peak, logBytes>>10, regular)
	if peak > floodMemoryMB {
		t.Errorf("got a peak of %.1f MiB, want at most %d MiB", peak, floodMemoryMB)
	}
	if most := maxLogBytesPerSecond * int(runTime(floodTime)/time.Second+1); logBytes > most {
		t.Errorf("got a log of %d bytes, want at most %d, end of it: %s", logBytes, most, p.lastLines(2))
	}
	if regular != nil && (regular.Unanswered > 0 || regular.Slowest > clientTimeout) {
		t.Errorf("got %s, want an answer to each within %s", regular, clientTimeout)
	}
}

// Guards against callers of planners and control processes that let memory or the log grow without end.
func TestFloodOfControlPlane(t *testing.T) {
	for _, c := range []struct {
		name  string
		start func(*testing.T) (*process, string)
		hello string
		next  messages
	}{
		{"planner, unknown frames", startPlanner, "", repeat(func(int) string { return "\x00\x00\x00\x04\x63xxxx" })},
		{"planner, reports of new servers", startPlanner, helloOf(plannerProtocol), reportsOfNewServers(1)},
		{"planner, reports of servers with long names", startPlanner, helloOf(plannerProtocol), reportsOfNewServers(longNameBytes)},
		{"control, unknown frames", startControl, "", repeat(func(int) string { return "\x00\x00\x00\x04\x63xxxx" })},
		{"control, unknown frames after the hello", startControl, helloOf(controlProtocol), repeat(func(int) string { return "\x00\x00\x00\x04\x63xxxx" })},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, at := c.start(t)
			sent := flood(at, c.hello, runTime(floodTime), c.next)
			checkFlood(t, p, sent, nil)
		})
	}
}

const longNameBytes = 2 << 10 // with four names in each of 100 elements of a message, less than its largest length

// longName returns a name that differs by its number, of a least length.
func longName(number, length int) string {
	return fmt.Sprintf("f%d-%s", number, strings.Repeat("x", length))
}

// reportsOfNewServers returns reports of a forwarder, each of which names servers, tenants and traffic types that no report named before.
func reportsOfNewServers(nameLength int) messages {
	return func(first int) string {
		report := plan.Report{SentAt: time.Duration(first), Interval: time.Second}
		for i := range floodBatch {
			name := longName(first+i, nameLength)
			report.Servers = append(report.Servers, plan.ServerReport{ID: name})
			report.Tenants = append(report.Tenants, plan.TenantReport{Name: name, Requests: 1000})
			report.Types = append(report.Types, plan.TypeReport{Name: name})
			report.NewerIncarnations = append(report.NewerIncarnations, incarnation.Entry{ID: name, Address: "127.0.0.1:1"})
		}
		return frame(plannerProtocol, planwire.ReportKind, report)
	}
}

// Kinds of frames between nodes, and the intro behind the hello.
const (
	introKind  = framing.FirstProtocolKind
	updateKind = introKind + 2
	offerKind  = introKind + 5
)

type intro struct {
	_ struct{} `cbor:",toarray"`

	Deployment string
	Member     membership.Member
}

// helloOfNode identifies the sender as a node of the deployment.
func helloOfNode() string {
	member := membership.Member{Name: "flood", Incarnation: 1, Address: "127.0.0.1:1"}
	return helloOf(peerProtocol) + frame(peerProtocol, introKind, intro{Deployment: "d", Member: member})
}

// updatesOfNewMembers returns updates of members that no update named before.
func updatesOfNewMembers(nameLength int) messages {
	return func(first int) string {
		var update membership.Update
		for i := range floodBatch {
			name := longName(first+i, nameLength)
			update.Members = append(update.Members, membership.Member{Name: name, Incarnation: 1, Condition: membership.Dead, Address: "127.0.0.1:1", Site: name, Machine: name})
		}
		return frame(peerProtocol, updateKind, update)
	}
}

// offersOfNewStreams are offers of streams that no offer named before.
func offersOfNewStreams(first int) string {
	var offers strings.Builder
	for i := range floodBatch {
		stream := replication.Stream{Name: longName(first+i, 1), Incarnation: 1}
		offers.WriteString(frame(peerProtocol, offerKind, replication.Offer{Stream: stream, FromOrigin: true}))
	}
	return offers.String()
}
