// Package framing carries messages between processes of this program: frames of a length, a kind and a CBOR body, in both
// directions on one connection. Each protocol of frames names its version, its kinds and its bounds.
package framing

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	elementMost = 8192 // of an array within a body
	depthMost   = 8    // of arrays within arrays
	headBytes   = 5
	sumBytes    = 4
	nameMost    = 200             // bytes of a peer's name
	sendMost    = 2 * time.Second // for a peer to take a frame
)

// Kind of a frame. Each protocol's own begin behind Refusals.
type Kind uint8

const (
	HelloKind         Kind = 1 + iota // each side's first
	RejectionKind                     // why a connection is ended
	FirstProtocolKind                 // of a protocol's own kinds
)

// Protocol is what two ends have to agree on.
type Protocol struct {
	Version      int  // a peer of another is refused
	KindLimit    Kind // one behind the last
	MaxBodyBytes int  // bytes of a body
	// Sums has each frame carry a checksum, for ends that may meet without TLS what a link makes of their words.
	HasChecksums bool
}

// Hello is the first frame of each side.
type Hello struct {
	_ struct{} `cbor:",toarray"`

	Version int
	Name    string
}

// Rejection is the last frame to a peer that is refused.
type Rejection struct {
	_ struct{} `cbor:",toarray"`

	Reason string
}

// Why a frame cannot be taken.
var (
	ErrFrameTooLong = errors.New("a frame is longer than any may be")
	ErrUnknownKind  = errors.New("a frame of an unknown kind")
	ErrChecksum     = errors.New("a frame came as something else than was sent")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

var (
	encoding = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoding = must(cbor.DecOptions{MaxArrayElements: elementMost, MaxMapPairs: elementMost, MaxNestedLevels: depthMost,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are this file's own
	}
	return mode
}

// Append writes a frame.
func (p *Protocol) Append(b []byte, k Kind, body any) ([]byte, error) {
	text, err := encoding.Marshal(body)
	if err != nil {
		return b, err
	}
	if len(text) > p.MaxBodyBytes {
		return b, ErrFrameTooLong
	}
	n := len(text)
	if p.HasChecksums {
		n += sumBytes
	}
	b = binary.BigEndian.AppendUint32(b, uint32(n))
	b = append(append(b, byte(k)), text...)
	if p.HasChecksums {
		b = binary.BigEndian.AppendUint32(b, sum(k, text))
	}
	return b, nil
}

func sum(k Kind, text []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, []byte{byte(k)}), castagnoli, text)
}

// Read reads a frame. What it returns holds until the next one is read into the same buffer.
func (p *Protocol) Read(r io.Reader, buffer []byte) (Kind, []byte, error) {
	var head [headBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, buffer, err
	}
	n, k := binary.BigEndian.Uint32(head[:4]), Kind(head[4])
	most := uint32(p.MaxBodyBytes)
	if p.HasChecksums {
		most += sumBytes
	}
	if n > most {
		return 0, buffer, ErrFrameTooLong
	}
	if p.HasChecksums && n < sumBytes {
		return 0, buffer, ErrChecksum
	}
	if k == 0 || k >= p.KindLimit {
		return 0, buffer, ErrUnknownKind
	}
	if buffer = buffer[:0]; cap(buffer) < int(n) {
		buffer = make([]byte, 0, n)
	}
	buffer = buffer[:n]
	if _, err := io.ReadFull(r, buffer); err != nil || !p.HasChecksums {
		return k, buffer, err
	}
	text := buffer[:n-sumBytes]
	if binary.BigEndian.Uint32(buffer[len(text):]) != sum(k, text) {
		return 0, buffer, ErrChecksum
	}
	return k, text, nil
}

// Decode reads a body strictly.
func Decode(body []byte, into any) error { return decoding.Unmarshal(body, into) }

// Conn is one connection. One goroutine may send while another receives.
type Conn struct {
	net.Conn
	p          *Protocol
	r          *bufio.Reader
	in         []byte
	out        []byte
	SentBytes  int // bytes
	SentFrames int // sent
}

// NewConn leads a connection.
func (p *Protocol) NewConn(nc net.Conn) *Conn { return &Conn{Conn: nc, p: p, r: bufio.NewReader(nc)} }

// Send writes a frame; a peer that does not take it in time has ended.
func (c *Conn) Send(k Kind, body any) (err error) {
	if c.out, err = c.p.Append(c.out[:0], k, body); err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(sendMost))
	n, err := c.Write(c.out)
	c.SentBytes, c.SentFrames = c.SentBytes+n, c.SentFrames+1
	return err
}

// Receive waits for a frame until a moment.
func (c *Conn) Receive(by time.Time) (Kind, []byte, error) {
	c.SetReadDeadline(by)
	k, body, err := c.p.Read(c.r, c.in)
	c.in = body
	return k, body, err
}

// Handshake sends this side's Hello and reads the other's. A peer of another version is told so before the end.
func (c *Conn) Handshake(name string, by time.Time) (peer string, err error) {
	if err := c.Send(HelloKind, Hello{Version: c.p.Version, Name: name}); err != nil {
		return "", err
	}
	return c.ReceiveHello(by)
}

// ReceiveHello reads the other side's Hello.
func (c *Conn) ReceiveHello(by time.Time) (peer string, err error) {
	k, body, err := c.Receive(by)
	if err != nil {
		return "", err
	}
	switch k {
	case RejectionKind:
		return "", RejectionError(body)
	case HelloKind:
		var h Hello
		if err := Decode(body, &h); err != nil {
			return "", c.Reject(fmt.Errorf("a greeting that cannot be read: %v", err))
		}
		if h.Version != c.p.Version {
			return "", c.Reject(fmt.Errorf("version %d is spoken here, not %d", c.p.Version, h.Version))
		}
		if h.Name == "" || len(h.Name) > nameMost {
			return "", c.Reject(errors.New("a peer without a name"))
		}
		return h.Name, nil
	}
	return "", c.Reject(errors.New("a frame before the greeting"))
}

// RejectionError is why a peer has ended a connection, from its last frame.
func RejectionError(body []byte) error {
	var r Rejection
	if err := Decode(body, &r); err != nil {
		return err
	}
	return fmt.Errorf("refused by the peer: %.200s", r.Reason)
}

// Reject tells the peer why the connection ends, and returns that reason.
func (c *Conn) Reject(why error) error {
	c.Send(RejectionKind, Rejection{Reason: why.Error()})
	return why
}
