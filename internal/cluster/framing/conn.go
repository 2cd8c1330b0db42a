package framing

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"
)

const (
	maxNameBytes      = 200             // of a peer's name
	maxHandshakeBytes = 4 << 10         // of a frame before the end of the handshake
	retainedBytes     = 16 << 10        // of each buffer between frames; a longer received frame needs memory of the budget
	sendTimeout       = 2 * time.Second // to write a frame
	largeFrameTimeout = 5 * time.Second // to receive the rest of a frame that needs memory of the budget
)

// Hello is the first frame of each side. It is sent as a CBOR array, so the order of the fields must not change.
type Hello struct {
	_ struct{} `cbor:",toarray"`

	Version int
	Name    string
}

// Rejection is the last frame to a rejected peer.
type Rejection struct {
	_ struct{} `cbor:",toarray"`

	Reason string
}

// Conn sends and receives frames on a connection. One goroutine may send while another receives.
type Conn struct {
	net.Conn
	protocol *Protocol
	reader   *bufio.Reader
	received []byte // buffer of Receive
	sent     []byte // buffer of Send
	budget   *MemoryBudget
	reserved int // bytes from the budget

	// SentBytes and SentFrames count the bytes and frames that Send has written; a frame whose write failed counts too.
	// Only the sending goroutine may access them.
	SentBytes  int
	SentFrames int
}

// NewConn returns a Conn that uses a network connection. The caller closes it.
func (p *Protocol) NewConn(nc net.Conn) *Conn {
	return &Conn{Conn: nc, protocol: p, reader: bufio.NewReader(nc)}
}

// Send writes a frame. After an error the connection must not be used any more, because a part of the frame may have
// been written.
func (c *Conn) Send(k Kind, body any) (err error) {
	if c.sent, err = c.protocol.Append(c.sent[:0], k, body); err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(sendTimeout))
	n, err := c.Write(c.sent)
	c.SentBytes += n
	c.SentFrames++
	if cap(c.sent) > retainedBytes {
		c.sent = nil
	}
	return err
}

// UseBudget makes Receive reserve the memory of long frames from a budget. The receiving goroutine must call ReleaseBuffers after its last
// Receive.
func (c *Conn) UseBudget(b *MemoryBudget) { c.budget = b }

// ReleaseBuffers frees the memory of a long received frame. The last received body is invalid afterwards.
func (c *Conn) ReleaseBuffers() {
	c.budget.release(c.reserved)
	c.reserved = 0
	if cap(c.received) > retainedBytes {
		c.received = nil
	}
}

// Receive reads a frame, or fails at the deadline. The body is valid until the next call.
func (c *Conn) Receive(deadline time.Time) (k Kind, body []byte, err error) {
	return c.receive(deadline, c.protocol.MaxBodyBytes+checksumBytes)
}

// ReceiveHandshake is Receive for a frame of the handshake, which is short. The error is ErrFrameTooLong for other frames.
func (c *Conn) ReceiveHandshake(deadline time.Time) (k Kind, body []byte, err error) {
	return c.receive(deadline, maxHandshakeBytes)
}

func (c *Conn) receive(deadline time.Time, maxLength int) (k Kind, body []byte, err error) {
	c.ReleaseBuffers()
	c.SetReadDeadline(deadline)
	k, length, err := c.protocol.readHeader(c.reader)
	switch {
	case err != nil:
		return 0, nil, err
	case length > maxLength:
		return 0, nil, ErrFrameTooLong
	case length > retainedBytes && c.budget != nil:
		if last := time.Now().Add(largeFrameTimeout); last.Before(deadline) {
			deadline = last
			c.SetReadDeadline(deadline)
		}
		if err := c.budget.reserve(length, deadline); err != nil {
			return 0, nil, err
		}
		c.reserved = length
		c.received = make([]byte, 0, length)
	}
	k, body, err = c.protocol.readBody(c.reader, k, length, c.received)
	c.received = body
	return k, body, err
}

// Handshake sends this side's Hello and returns the name in the peer's Hello.
func (c *Conn) Handshake(name string, deadline time.Time) (peer string, err error) {
	if err := c.Send(HelloKind, Hello{Version: c.protocol.Version, Name: name}); err != nil {
		return "", err
	}
	return c.ReceiveHello(deadline)
}

// ReceiveHello reads the peer's Hello and returns the name in it. A peer with another version or an invalid Hello is
// rejected, and the returned error is sent to it as the reason.
func (c *Conn) ReceiveHello(deadline time.Time) (peer string, err error) {
	k, body, err := c.ReceiveHandshake(deadline)
	if err != nil {
		return "", err
	}
	switch k {
	case RejectionKind:
		return "", RejectionError(body)
	case HelloKind:
		return c.checkHello(body)
	}
	return "", c.Reject(errors.New("unexpected frame before the greeting"))
}

func (c *Conn) checkHello(body []byte) (peer string, err error) {
	var h Hello
	if err := Decode(body, &h); err != nil {
		return "", c.Reject(fmt.Errorf("decode hello: %v", err))
	}
	if h.Version != c.protocol.Version {
		return "", c.Reject(fmt.Errorf("version %d is spoken here, not %d", c.protocol.Version, h.Version))
	}
	if h.Name == "" || len(h.Name) > maxNameBytes {
		return "", c.Reject(errors.New("check hello: name missing or longer than the limit"))
	}
	return h.Name, nil
}

// RejectionError returns the reason in the body of a peer's Rejection as an error.
func RejectionError(body []byte) error {
	var r Rejection
	if err := Decode(body, &r); err != nil {
		return err
	}
	return fmt.Errorf("refused by the peer: %.200s", r.Reason)
}

// Reject sends the reason to the peer in a Rejection, and returns the reason. The caller closes the connection.
func (c *Conn) Reject(reason error) error {
	c.Send(RejectionKind, Rejection{Reason: reason.Error()})
	return reason
}
