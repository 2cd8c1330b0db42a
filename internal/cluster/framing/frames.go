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
	Greeting Kind = 1 + iota // each side's first
	Refusals                 // why a connection is ended
	First                    // of a protocol's own kinds
)

// Protocol is what two ends have to agree on.
type Protocol struct {
	Version int  // a peer of another is refused
	Kinds   Kind // one behind the last
	Most    int  // bytes of a body
	// Sums has each frame carry a checksum, for ends that may meet without TLS what a link makes of their words.
	Sums bool
}

// Hello is the first frame of each side.
type Hello struct {
	_ struct{} `cbor:",toarray"`

	Version int
	Name    string
}

// Refusal is the last frame to a peer that is refused.
type Refusal struct {
	_ struct{} `cbor:",toarray"`

	Reason string
}

// Why a frame cannot be taken.
var (
	ErrTooLong = errors.New("a frame is longer than any may be")
	ErrKind    = errors.New("a frame of an unknown kind")
	ErrSum     = errors.New("a frame came as something else than was sent")
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
	if len(text) > p.Most {
		return b, ErrTooLong
	}
	n := len(text)
	if p.Sums {
		n += sumBytes
	}
	b = binary.BigEndian.AppendUint32(b, uint32(n))
	b = append(append(b, byte(k)), text...)
	if p.Sums {
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
	most := uint32(p.Most)
	if p.Sums {
		most += sumBytes
	}
	if n > most {
		return 0, buffer, ErrTooLong
	}
	if p.Sums && n < sumBytes {
		return 0, buffer, ErrSum
	}
	if k == 0 || k >= p.Kinds {
		return 0, buffer, ErrKind
	}
	if buffer = buffer[:0]; cap(buffer) < int(n) {
		buffer = make([]byte, 0, n)
	}
	buffer = buffer[:n]
	if _, err := io.ReadFull(r, buffer); err != nil || !p.Sums {
		return k, buffer, err
	}
	text := buffer[:n-sumBytes]
	if binary.BigEndian.Uint32(buffer[len(text):]) != sum(k, text) {
		return 0, buffer, ErrSum
	}
	return k, text, nil
}

// Decode reads a body strictly.
func Decode(body []byte, into any) error { return decoding.Unmarshal(body, into) }

// Conn is one connection. One goroutine may send while another receives.
type Conn struct {
	net.Conn
	p      *Protocol
	r      *bufio.Reader
	in     []byte
	out    []byte
	Sent   int // bytes
	Frames int // sent
}

// New leads a connection.
func (p *Protocol) New(nc net.Conn) *Conn { return &Conn{Conn: nc, p: p, r: bufio.NewReader(nc)} }

// Send writes a frame; a peer that does not take it in time has ended.
func (c *Conn) Send(k Kind, body any) (err error) {
	if c.out, err = c.p.Append(c.out[:0], k, body); err != nil {
		return err
	}
	c.SetWriteDeadline(time.Now().Add(sendMost))
	n, err := c.Write(c.out)
	c.Sent, c.Frames = c.Sent+n, c.Frames+1
	return err
}

// Receive waits for a frame until a moment.
func (c *Conn) Receive(by time.Time) (Kind, []byte, error) {
	c.SetReadDeadline(by)
	k, body, err := c.p.Read(c.r, c.in)
	c.in = body
	return k, body, err
}

// Greet sends this side's Hello and reads the other's. A peer of another version is told so before the end.
func (c *Conn) Greet(name string, by time.Time) (peer string, err error) {
	if err := c.Send(Greeting, Hello{Version: c.p.Version, Name: name}); err != nil {
		return "", err
	}
	return c.Greeted(by)
}

// Greeted reads the other side's Hello.
func (c *Conn) Greeted(by time.Time) (peer string, err error) {
	k, body, err := c.Receive(by)
	if err != nil {
		return "", err
	}
	switch k {
	case Refusals:
		return "", Refused(body)
	case Greeting:
		var h Hello
		if err := Decode(body, &h); err != nil {
			return "", c.Refuse(fmt.Errorf("a greeting that cannot be read: %v", err))
		}
		if h.Version != c.p.Version {
			return "", c.Refuse(fmt.Errorf("version %d is spoken here, not %d", c.p.Version, h.Version))
		}
		if h.Name == "" || len(h.Name) > nameMost {
			return "", c.Refuse(errors.New("a peer without a name"))
		}
		return h.Name, nil
	}
	return "", c.Refuse(errors.New("a frame before the greeting"))
}

// Refused is why a peer has ended a connection, from its last frame.
func Refused(body []byte) error {
	var r Refusal
	if err := Decode(body, &r); err != nil {
		return err
	}
	return fmt.Errorf("refused by the peer: %.200s", r.Reason)
}

// Refuse tells the peer why the connection ends, and returns that reason.
func (c *Conn) Refuse(why error) error {
	c.Send(Refusals, Refusal{Reason: why.Error()})
	return why
}
