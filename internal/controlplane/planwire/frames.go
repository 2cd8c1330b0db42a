// Package planwire implements the wire protocol between forwarders and planners. A forwarder opens one connection to a planner, sends
// reports and receives changes of its plan. Package planner and the planner connections in package proxy use it.
package planwire

import (
	"io"
	"net"

	"fernvane/internal/cluster/framing"
)

// Version is the version of the protocol. A peer with a different version is rejected.
const Version = 2

// maxBodyBytes is the size limit of a frame's body. It allows a change with 4,096 incarnations of 200 bytes and 224 KiB of other data.
// Forwarders do not limit their reports to this size; sending a larger report fails.
const maxBodyBytes = 1 << 20

// Kind is the kind of a frame.
type Kind = framing.Kind

// Kinds common to all framing protocols.
const (
	HelloKind     = framing.HelloKind     // the first frame of either side
	RejectionKind = framing.RejectionKind // reason for closing the connection
)

// Kinds specific to this protocol.
const (
	ReportKind = framing.FirstProtocolKind + iota // a plan.Report, from a forwarder
	ChangeKind                                    // a plan.Change, from a planner
	kindLimit
)

var protocol = framing.Protocol{Version: Version, KindLimit: kindLimit, MaxBodyBytes: maxBodyBytes}

// Types of package framing for the common frames and the connection.
type (
	// Hello is the body of a HelloKind frame.
	Hello = framing.Hello
	// Rejection is the body of a RejectionKind frame.
	Rejection = framing.Rejection
	// Conn is a connection between a forwarder and a planner.
	Conn = framing.Conn
)

// Errors of reading an invalid frame.
var (
	ErrFrameTooLong = framing.ErrFrameTooLong
	ErrUnknownKind  = framing.ErrUnknownKind
)

// NewConn returns a connection with this protocol on nc. The caller closes it.
func NewConn(nc net.Conn) *Conn { return protocol.NewConn(nc) }

// Append appends an encoded frame to b.
func Append(b []byte, k Kind, body any) ([]byte, error) { return protocol.Append(b, k, body) }

// Read reads a frame. The body is valid until the next frame is read into the same buffer.
func Read(r io.Reader, buffer []byte) (Kind, []byte, error) { return protocol.Read(r, buffer) }

// Decode decodes a body into a value. It rejects malformed data and data beyond the limits of package framing.
func Decode(body []byte, into any) error { return framing.Decode(body, into) }
