// Package wire is the protocol of configuration's distribution: messages as frames, between nodes, relays and roots, and
// with the commands that write and ask.
package wire

import (
	"errors"
	"fmt"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
)

// Version of the protocol.
const Version = 1

// Kinds of frames.
const (
	subscribeKind = framing.FirstProtocolKind + iota
	batchKind
	acknowledgeKind
	digestsKind
	wantKind
	reportKind
	writeKind
	writtenKind
	queryKind
	answerKind
	kindsEnd
)

const (
	bodyMost     = 1 << 20 // bytes of a body
	nodesMost    = 8192    // statuses in one message
	rejectedMost = 64      // rejections in one message
	textMost     = 300     // bytes of a reason or a name
)

// Protocol of the connections. Each frame carries a sum.
var Protocol = &framing.Protocol{Version: Version, KindLimit: kindsEnd, MaxBodyBytes: bodyMost, HasChecksums: true}

// Message is one of Subscribe, Batch, Acknowledge, Digests, Want, Report, Write, Written, Query and Answer, as a pointer.
type Message interface {
	kind() framing.Kind
	check() error
}

// ErrOutOfBounds says that a message breaks a bound.
var ErrOutOfBounds = errors.New("a message breaks a bound")

// Subscribe is a subscriber's first message.
type Subscribe struct {
	_ struct{} `cbor:",toarray"`

	Subscription distribution.Subscription
}

// Batch carries entries; on the wire origins and services stand in it once.
type Batch struct{ distribution.Batch }

// Acknowledge says what is in force.
type Acknowledge struct {
	_ struct{} `cbor:",toarray"`

	Acknowledgement distribution.Acknowledgement
	ApplyLagMs      int64 // from receipt to in force, of the last batch
}

// Digests of a server whose subscriber has had all.
type Digests struct {
	_ struct{} `cbor:",toarray"`

	Digests       distribution.Digests
	IsAllServices bool // services are all there are, as an answer to Want
}

// Pull asks the other side for what lacks here.
type Pull struct {
	_ struct{} `cbor:",toarray"`

	IsContinuous bool                // send what Vector lacks, and from then on what changes, in batches as to a subscriber
	Vector       distribution.Vector // with Follow, what the asking side covers
	Services     []string            // these whole
	WantsDigests bool                // the digests of all services
}

// Report tells an upstream of the nodes that are seen here, as far as changed.
type Report struct {
	_ struct{} `cbor:",toarray"`

	Nodes []distribution.NodeStatus
}

// Write asks for changes.
type Write struct {
	_ struct{} `cbor:",toarray"`

	ID      uint64
	Changes []distribution.Change
}

// WriteResult answers a Write: by an error, or the last entry's clock and sequence.
type WriteResult struct {
	_ struct{} `cbor:",toarray"`

	ID       uint64
	Error    string
	Origin   distribution.Origin
	Clock    uint64
	Sequence uint64
}

// StatusQuery asks for the state of all nodes that are known.
type StatusQuery struct {
	_ struct{} `cbor:",toarray"`

	ID uint64
}

// StatusAnswer answers a Query, in several where there are many nodes; the last one says so.
type StatusAnswer struct {
	_ struct{} `cbor:",toarray"`

	ID     uint64
	Self   distribution.NodeStatus
	Nodes  []distribution.NodeStatus
	IsLast bool
}

// Send writes a message.
func Send(c *framing.Conn, m Message) error { return c.Send(m.kind(), body(m)) }

// Append writes a message's frame behind others.
func Append(b []byte, m Message) ([]byte, error) { return Protocol.Append(b, m.kind(), body(m)) }

func body(m Message) any {
	if b, ok := m.(*Batch); ok {
		return pack(&b.Batch)
	}
	return m
}

// Decode reads a message strictly.
func Decode(k framing.Kind, text []byte) (Message, error) {
	m := empty(k)
	if m == nil {
		return nil, fmt.Errorf("%w: %d", framing.ErrUnknownKind, k)
	}
	var err error
	if b, ok := m.(*Batch); ok {
		err = unpack(text, &b.Batch)
	} else {
		err = framing.Decode(text, m)
	}
	if err == nil {
		err = m.check()
	}
	if err != nil {
		return nil, fmt.Errorf("a %T that cannot be read: %w", m, err)
	}
	return m, nil
}

func empty(k framing.Kind) Message {
	switch k {
	case subscribeKind:
		return &Subscribe{}
	case batchKind:
		return &Batch{}
	case acknowledgeKind:
		return &Acknowledge{}
	case digestsKind:
		return &Digests{}
	case wantKind:
		return &Pull{}
	case reportKind:
		return &Report{}
	case writeKind:
		return &Write{}
	case writtenKind:
		return &WriteResult{}
	case queryKind:
		return &StatusQuery{}
	case answerKind:
		return &StatusAnswer{}
	}
	return nil
}

func (*Subscribe) kind() framing.Kind    { return subscribeKind }
func (*Batch) kind() framing.Kind        { return batchKind }
func (*Acknowledge) kind() framing.Kind  { return acknowledgeKind }
func (*Digests) kind() framing.Kind      { return digestsKind }
func (*Pull) kind() framing.Kind         { return wantKind }
func (*Report) kind() framing.Kind       { return reportKind }
func (*Write) kind() framing.Kind        { return writeKind }
func (*WriteResult) kind() framing.Kind  { return writtenKind }
func (*StatusQuery) kind() framing.Kind  { return queryKind }
func (*StatusAnswer) kind() framing.Kind { return answerKind }
