// Package planwire is the protocol of frames between forwarders and planners, on one connection that the forwarder opens.
package planwire

import (
	"io"
	"net"

	"fernvane/internal/cluster/framing"
)

// Version of the frames. A peer of another is refused.
const Version = 2

const frameMost = 1 << 20 // bytes of a body: 4,000 lives of 200 bytes, and slack

// Kind of a frame.
type Kind = framing.Kind

const (
	HelloKind   = framing.HelloKind                    // the first frame of either side
	RefusalKind = framing.RejectionKind                // why a side ends the connection
	ReportKind  = framing.FirstProtocolKind + iota - 2 // a forwarder's
	ChangeKind                                         // a planner's
	kinds
)

var protocol = framing.Protocol{Version: Version, KindLimit: kinds, MaxBodyBytes: frameMost}

// What both sides and those between them use of frames.
type (
	Hello   = framing.Hello
	Refusal = framing.Rejection
	Conn    = framing.Conn
)

// Why a frame cannot be taken.
var (
	ErrTooLong = framing.ErrFrameTooLong
	ErrKind    = framing.ErrUnknownKind
)

// NewConn leads a connection.
func NewConn(nc net.Conn) *Conn { return protocol.NewConn(nc) }

// Append writes a frame.
func Append(b []byte, k Kind, body any) ([]byte, error) { return protocol.Append(b, k, body) }

// Read reads a frame. What it returns holds until the next one is read into the same buffer.
func Read(r io.Reader, buffer []byte) (Kind, []byte, error) { return protocol.Read(r, buffer) }

// Decode reads a body strictly.
func Decode(body []byte, into any) error { return framing.Decode(body, into) }
