package hostile

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fernvane/internal/cluster/framing"
)

const (
	smallestMemoryMB = 48  // memory limit of the smallest nodes of the platform
	clientCount      = 800 // connections of misbehaving clients
	memoryTime       = 2500 * time.Millisecond
	slowWritePause   = 500 * time.Millisecond
	clientSeed       = 1
)

const (
	maxRequestBody = 64 << 10 // bytes
	maxHead        = 16 << 10 // bytes
)

var lastID atomic.Int64

func newID() string { return fmt.Sprint("id-", lastID.Add(1)) }

// halfBody sends a request whose body stops at a random point.
func halfBody(c net.Conn, random *rand.Rand) {
	fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n", newID(), maxRequestBody)
	io.WriteString(c, strings.Repeat("x", random.IntN(maxRequestBody)))
}

// almostWholeBody sends all but the last byte of the largest request.
func almostWholeBody(c net.Conn, _ *rand.Rand) {
	fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", newID(), maxRequestBody, strings.Repeat("x", maxRequestBody-1))
}

// slowChunks sends a large body in chunks of a few bytes, and stops before its end.
func slowChunks(c net.Conn, random *rand.Rand) {
	fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nTransfer-Encoding: chunked\r\n\r\n", newID())
	for range 1 + random.IntN(60) {
		if _, err := io.WriteString(c, strings.Repeat("1\r\nx\r\n", 1000)); err != nil {
			return
		}
		time.Sleep(slowWritePause)
	}
}

// shortFields sends a head of very many short fields that does not end.
func shortFields(c net.Conn, _ *rand.Rand) {
	io.WriteString(c, "GET /check/1 HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", (maxHead-100)/4))
}

// manyRequests sends complete requests with as many fields as allowed, and bodies, without reading the answers.
func manyRequests(c net.Conn, _ *rand.Rand) {
	for range 20 {
		time.Sleep(slowWritePause)
		if _, err := fmt.Fprintf(c, "POST /check/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", newID(), maxRequestBody,
			strings.Repeat("a:b\r\n", 97), strings.Repeat("x", maxRequestBody)); err != nil {
			return
		}
	}
}

// FastCGI record types.
const (
	fcgiBegin     = 1
	fcgiAbort     = 2
	fcgiParams    = 4
	fcgiStdin     = 5
	fcgiGetValues = 9
)

const maxFastCGIContent = 65535 // bytes of one record

func fcgiRecord(kind byte, id uint16, content string) string {
	return string([]byte{1, kind, byte(id >> 8), byte(id), byte(len(content) >> 8), byte(len(content)), 0, 0}) + content
}

func fcgiBeginRecord(id uint16) string {
	return fcgiRecord(fcgiBegin, id, "\x00\x01\x01\x00\x00\x00\x00\x00")
}

// fcgiStream returns the STDIN of a request.
func fcgiStream(id uint16, body string) string {
	stream := ""
	if body != "" {
		stream = fcgiRecord(fcgiStdin, id, body)
	}
	return stream + fcgiRecord(fcgiStdin, id, "")
}

func fcgiPair(name, value string) string {
	return string([]byte{byte(len(name)), byte(len(value))}) + name + value
}

func fcgiRequestParams(path, id string) string {
	return fcgiPair("REQUEST_METHOD", "POST") + fcgiPair("REQUEST_URI", path) + fcgiPair("HTTP_REQUEST_ID", id)
}

// announcedRecord sends only the header of the largest record.
func announcedRecord(c net.Conn, _ *rand.Rand) {
	io.WriteString(c, fcgiBeginRecord(1)+"\x01\x04\x00\x01\xff\xff\xff\x00")
}

// halfRecord sends half of the largest record.
func halfRecord(c net.Conn, _ *rand.Rand) {
	io.WriteString(c, fcgiBeginRecord(1)+"\x01\x05\x00\x01\xff\xff\xff\x00"+strings.Repeat("x", maxFastCGIContent/2))
}

// halfStdin sends most of the largest request.
func halfStdin(c net.Conn, _ *rand.Rand) {
	io.WriteString(c, fcgiBeginRecord(1)+fcgiRecord(fcgiParams, 1, fcgiRequestParams("/book/1", newID()))+fcgiRecord(fcgiParams, 1, ""))
	for range 7 {
		io.WriteString(c, fcgiRecord(fcgiStdin, 1, strings.Repeat("x", 9000)))
	}
}

// manyBegun begins as many requests as one connection may have, and completes none.
func manyBegun(c net.Conn, _ *rand.Rand) {
	for id := uint16(1); id <= 100; id++ {
		io.WriteString(c, fcgiBeginRecord(id)+fcgiRecord(fcgiParams, id, fcgiRequestParams("/book/1", newID())))
	}
}

// emptyPairs sends requests whose params are very many empty pairs.
func emptyPairs(c net.Conn, _ *rand.Rand) {
	for id := uint16(1); id <= 20; id++ {
		io.WriteString(c, fcgiBeginRecord(id)+fcgiRecord(fcgiParams, id, strings.Repeat("\x00\x00", maxHead/2)))
	}
	for id := uint16(1); id <= 20; id++ {
		io.WriteString(c, fcgiRecord(fcgiParams, id, "")+fcgiRecord(fcgiStdin, id, ""))
	}
}

const maxFrameBytes = 1 << 20 // of a frame between processes

// announcedFrame sends only the header of the largest frame.
func announcedFrame(c net.Conn, _ *rand.Rand) {
	c.Write(binary.BigEndian.AppendUint32(nil, maxFrameBytes))
	c.Write([]byte{byte(framing.HelloKind)})
}

// halfFrame sends half of the largest frame.
func halfFrame(c net.Conn, random *rand.Rand) {
	announcedFrame(c, random)
	c.Write(make([]byte, maxFrameBytes/2))
}

// afterHello returns an opening that sends a hello with a new name and then another opening.
func afterHello(p framing.Protocol, then opening) opening {
	return func(c net.Conn, random *rand.Rand) {
		hello, err := p.Append(nil, framing.HelloKind, framing.Hello{Version: p.Version, Name: newID()})
		if err != nil {
			panic(err)
		}
		c.Write(hello)
		then(c, random)
	}
}

// Protocols between processes, with a bound on the bodies that the tests send.
var (
	plannerProtocol = framing.Protocol{Version: 2, KindLimit: 64, MaxBodyBytes: maxFrameBytes}
	controlProtocol = framing.Protocol{Version: 1, KindLimit: 64, MaxBodyBytes: maxFrameBytes, HasChecksums: true}
	peerProtocol    = framing.Protocol{Version: 1, KindLimit: 64, MaxBodyBytes: maxFrameBytes, HasChecksums: true}
)

// Guards against processes that are killed because hundreds of clients stop half way through large messages: memory stays within the
// limit on each listener, and requests of other clients are answered.
func TestMemory(t *testing.T) {
	for _, c := range []struct {
		name     string
		listener func(*node) string
		send     opening
	}{
		{"HTTP, half a body", (*node).httpAddress, halfBody},
		{"HTTP, a body without its last byte", (*node).httpAddress, almostWholeBody},
		{"HTTP, slow chunks", (*node).httpAddress, slowChunks},
		{"HTTP, short fields", (*node).httpAddress, shortFields},
		{"HTTP, many requests", (*node).httpAddress, manyRequests},
		{"FastCGI, an announced record", (*node).fastCGIAddress, announcedRecord},
		{"FastCGI, half a record", (*node).fastCGIAddress, halfRecord},
		{"FastCGI, half a body", (*node).fastCGIAddress, halfStdin},
		{"FastCGI, many begun requests", (*node).fastCGIAddress, manyBegun},
		{"FastCGI, empty pairs", (*node).fastCGIAddress, emptyPairs},
		{"peers, an announced frame", (*node).peersAddress, announcedFrame},
		{"peers, half a frame", (*node).peersAddress, halfFrame},
		{"peers, half a frame after the hello", (*node).peersAddress, afterHello(peerProtocol, halfFrame)},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := startNode(t, smallestMemoryMB)
			regular := runBesideRegular(t, n.http, func() { runClients(c.listener(n), clientSeed, clientCount, runTime(memoryTime), c.send) })
			peak := n.peakMB()
			t.Logf("peak %.1f MiB, %d descriptors, %s", peak, n.descriptors(), regular)
			if regular.Unanswered > 0 {
				t.Errorf("got %s, want an answer to each", regular)
			}
			if peak > smallestMemoryMB {
				t.Errorf("got a peak of %.1f MiB, want at most the limit of %d MiB", peak, smallestMemoryMB)
			}
		})
	}
}

// Guards against a node that stays within its memory limit on each listener alone, but not on all together.
func TestMemoryOfAllListeners(t *testing.T) {
	n := startNode(t, smallestMemoryMB)
	regular := runBesideRegular(t, n.http, func() {
		var all sync.WaitGroup
		for _, c := range []struct {
			at   string
			send opening
		}{{n.http, almostWholeBody}, {n.http, shortFields}, {n.fastCGI, halfStdin}, {n.fastCGI, halfRecord}, {n.fastCGI, manyBegun}, {n.peers, halfFrame}} {
			all.Go(func() { runClients(c.at, clientSeed, clientCount/6, runTime(memoryTime), c.send) })
		}
		all.Wait()
	})
	peak := n.peakMB()
	t.Logf("peak %.1f MiB, %s", peak, regular)
	if peak > smallestMemoryMB || regular.Unanswered > 0 {
		t.Errorf("got a peak of %.1f MiB, %s, want at most %d MiB and an answer to each", peak, regular, smallestMemoryMB)
	}
}

func (n *node) httpAddress() string    { return n.http }
func (n *node) fastCGIAddress() string { return n.fastCGI }
func (n *node) peersAddress() string   { return n.peers }

// Guards against control processes and planners that are killed because hundreds of callers stop half way through large frames.
func TestMemoryOfControlPlane(t *testing.T) {
	for _, c := range []struct {
		name  string
		start func(*testing.T) (*process, string)
		send  opening
	}{
		{"planner, an announced frame", startPlanner, announcedFrame},
		{"planner, half a frame", startPlanner, halfFrame},
		{"planner, half a frame after the hello", startPlanner, afterHello(plannerProtocol, halfFrame)},
		{"control, an announced frame", startControl, announcedFrame},
		{"control, half a frame", startControl, halfFrame},
		{"control, half a frame after the hello", startControl, afterHello(controlProtocol, halfFrame)},
	} {
		t.Run(c.name, func(t *testing.T) {
			p, at := c.start(t)
			before := p.peakMB()
			runClients(at, clientSeed, clientCount, runTime(memoryTime), c.send)
			peak := p.peakMB()
			t.Logf("peak %.1f MiB, %.1f before, log %d KB", peak, before, len(p.log())>>10)
			if peak > smallestMemoryMB {
				t.Errorf("got a peak of %.1f MiB, want at most %d MiB", peak, smallestMemoryMB)
			}
		})
	}
}
