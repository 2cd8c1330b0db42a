package framing

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"fernvane/internal/testbed/standin/connpair"
)

const testFrameBytes = 1 << 20

var testProtocol = Protocol{Version: 1, KindLimit: 9, MaxBodyBytes: testFrameBytes}

// TestAnnouncedFrameTakesNoMemory guards against callers that announce long frames and send nothing, each of which took the whole length.
func TestAnnouncedFrameTakesNoMemory(t *testing.T) {
	announced := append(binary.BigEndian.AppendUint32(nil, testFrameBytes), byte(FirstProtocolKind))
	for name, sentBytes := range map[string]int{"nothing": 0, "a little": 100, "a part": 3 * initialBodyBytes} {
		t.Run(name, func(t *testing.T) {
			near, far := connpair.TCP(t)
			conn := testProtocol.NewConn(near)
			far.Write(append(announced, make([]byte, sentBytes)...))
			far.CloseWrite()
			if _, _, err := conn.Receive(time.Now().Add(time.Minute)); err != io.EOF && err != io.ErrUnexpectedEOF {
				t.Errorf("got error %v, want the end of the stream", err)
			}
			if most := 2*sentBytes + initialBodyBytes; cap(conn.received) > most {
				t.Errorf("got a buffer of %d bytes, want at most %d", cap(conn.received), most)
			}
		})
	}
}

// TestHandshakeFramesAreShort checks that a caller which has not identified itself cannot send long frames.
func TestHandshakeFramesAreShort(t *testing.T) {
	near, far := connpair.TCP(t)
	frame, err := testProtocol.Append(nil, HelloKind, Hello{Version: 1, Name: string(make([]byte, maxHandshakeBytes))})
	if err != nil {
		t.Fatal(err)
	}
	far.Write(frame)
	if _, err := testProtocol.NewConn(near).ReceiveHello(time.Now().Add(time.Minute)); err != ErrFrameTooLong {
		t.Errorf("got error %v, want %v", err, ErrFrameTooLong)
	}
}

// TestMemoryBudget checks that a long frame waits until another one has released its memory, and short ones do not.
func TestMemoryBudget(t *testing.T) {
	budget := NewMemoryBudget(testFrameBytes)
	type received struct {
		bytes int
		err   error
	}
	open := func(body int) (conn *Conn, results chan received) {
		near, far := connpair.TCP(t)
		conn = testProtocol.NewConn(near)
		conn.UseBudget(budget)
		frame, err := testProtocol.Append(nil, FirstProtocolKind, make([]byte, body))
		if err != nil {
			t.Fatal(err)
		}
		go far.Write(frame)
		return conn, make(chan received, 1)
	}
	receive := func(conn *Conn, results chan received, deadline time.Time) {
		_, body, err := conn.Receive(deadline)
		results <- received{len(body), err}
	}
	first, firstResult := open(testFrameBytes / 2)
	receive(first, firstResult, time.Now().Add(time.Minute))
	if got := <-firstResult; got.err != nil {
		t.Fatalf("first long frame: %v", got.err)
	}
	second, secondResult := open(3 * testFrameBytes / 4)
	go receive(second, secondResult, time.Now().Add(time.Minute))
	short, shortResult := open(retainedBytes / 2)
	receive(short, shortResult, time.Now().Add(time.Minute))
	if got := <-shortResult; got.err != nil {
		t.Errorf("short frame: %v", got.err)
	}
	late, lateResult := open(3 * testFrameBytes / 4)
	receive(late, lateResult, time.Now().Add(-time.Second))
	if got := <-lateResult; got.err == nil {
		t.Error("frame after its deadline: got no error")
	}
	select {
	case got := <-secondResult:
		t.Errorf("second long frame: got %+v before the first was released", got)
	default:
	}
	first.ReleaseBuffers()
	if got := <-secondResult; got.err != nil {
		t.Errorf("second long frame: %v", got.err)
	}
	second.ReleaseBuffers()
	if !budget.free.TryAcquire(testFrameBytes) {
		t.Error("got less than the whole budget after all frames were released")
	}
}

// TestHandshakes checks that at the limit the oldest pending handshake is closed in favor of a new connection, but not within its grace.
func TestHandshakes(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	h := NewHandshakes(2)
	begin := func() (handshake *Handshake, far net.Conn) {
		near, far := connpair.TCP(t)
		return h.Begin(ctx, near), far
	}
	isClosed := func(far net.Conn) bool {
		far.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := far.Read(make([]byte, 1))
		return errors.Is(err, io.EOF)
	}
	first, firstFar := begin()
	second, secondFar := begin()
	second.End()
	began := time.Now()
	third, _ := begin()
	if isClosed(firstFar) || isClosed(secondFar) || time.Since(began) > handshakeGrace {
		t.Error("below the limit: got a closed connection or a wait")
	}
	fourth, _ := begin()
	if !isClosed(firstFar) || time.Since(first.since) < handshakeGrace {
		t.Error("at the limit: got the oldest connection open, or closed within its grace")
	}
	first.End() // closed already: no effect
	third.End()
	fourth.End()
	if n := h.pending.Len(); n != 0 {
		t.Errorf("got %d pending handshakes, want 0", n)
	}
	begin()
	begin()
	cancel()
	if handshake, far := begin(); handshake != nil || !isClosed(far) {
		t.Error("after the context's end: got a handshake or an open connection")
	}
}
