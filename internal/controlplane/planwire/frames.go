// Package planwire is the protocol of frames between forwarders and planners: reports one way, changes of plans the other, on
// one connection that the forwarder opens. Its callers are package planner and the node's planner connections in package proxy.
package planwire

import (
	"io"
	"net"

	"fernvane/internal/cluster/framing"
)

// Version of the frames. A peer of another version is rejected.
const Version = 2

// maxBodyBytes holds a change with 4,096 incarnations of 200 bytes, and 224 KiB more. Reports are not sized by it: a forwarder's
// that is longer cannot be sent.
const maxBodyBytes = 1 << 20

// Kind of a frame.
type Kind = framing.Kind

// Kinds that every protocol has.
const (
	HelloKind     = framing.HelloKind     // the first frame of either side
	RejectionKind = framing.RejectionKind // why a side ends the connection
)

// Kinds of this protocol.
const (
	ReportKind = framing.FirstProtocolKind + iota // a plan.Report, from a forwarder
	ChangeKind                                    // a plan.Change, from a planner
	kindLimit
)

var protocol = framing.Protocol{Version: Version, KindLimit: kindLimit, MaxBodyBytes: maxBodyBytes}

// Bodies of frames and the connection, as package framing has them.
type (
	// Hello is the body of a HelloKind frame.
	Hello = framing.Hello
	// Rejection is the body of a RejectionKind frame.
	Rejection = framing.Rejection
	// Conn is a connection between a forwarder and a planner.
	Conn = framing.Conn
)

// Why a frame cannot be accepted.
var (
	ErrTooLong = framing.ErrFrameTooLong
	ErrKind    = framing.ErrUnknownKind
)

// NewConn returns a connection of this protocol on nc. Its owner closes it.
func NewConn(nc net.Conn) *Conn { return protocol.NewConn(nc) }

// Append appends a frame to b.
func Append(b []byte, k Kind, body any) ([]byte, error) { return protocol.Append(b, k, body) }

// Read reads a frame. The body is valid until the next frame is read into the same buffer.
func Read(r io.Reader, buffer []byte) (Kind, []byte, error) { return protocol.Read(r, buffer) }

// Decode decodes a body strictly.
func Decode(body []byte, into any) error { return framing.Decode(body, into) }
