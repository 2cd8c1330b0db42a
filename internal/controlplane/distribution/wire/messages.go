package wire

import (
	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
)

// Version of the protocol.
const Version = 1

// maxBodyBytes bounds a frame's body.
const maxBodyBytes = 1 << 20

// Kinds of frames.
const (
	subscribeKind = framing.FirstProtocolKind + iota
	batchKind
	acknowledgeKind
	digestsKind
	pullKind
	reportKind
	writeKind
	writeResultKind
	statusQueryKind
	statusAnswerKind
	kindLimit
)

// Protocol of the connections. Each frame carries a checksum.
var Protocol = &framing.Protocol{Version: Version, KindLimit: kindLimit, MaxBodyBytes: maxBodyBytes, HasChecksums: true}

// Message is one of the messages of this file, as a pointer.
type Message interface {
	kind() framing.Kind
	validate() error
}

// Subscribe is a subscriber's first message.
type Subscribe struct {
	_ struct{} `cbor:",toarray"`

	Subscription distribution.Subscription
}

// Batch carries entries to a subscriber, or back from one that was asked by a Pull.
type Batch struct{ distribution.Batch }

// Acknowledge says up to which batch entries are applied.
type Acknowledge struct {
	_ struct{} `cbor:",toarray"`

	Acknowledgement distribution.Acknowledgement
	ApplyLagMs      int64 // from receipt to application, of the last batch
}

// Digests are those of a server whose subscriber was sent everything.
type Digests struct {
	_ struct{} `cbor:",toarray"`

	Digests       distribution.Digests
	IsAllServices bool // an answer to Pull.WantsDigests: there are no other services. Receivers don't read it
}

// Pull asks the other side for what is missing here. One that asks for nothing is a ping, which is answered by one.
type Pull struct {
	_ struct{} `cbor:",toarray"`

	IsContinuous bool                // send what Vector lacks, and from then on what changes, in batches as to a subscriber
	Vector       distribution.Vector // if continuous, what the asking side covers
	Services     []string            // in which a full sync is asked for
	WantsDigests bool                // of all services
}

// Report tells an upstream of the nodes that are seen here, as far as their status has changed.
type Report struct {
	_ struct{} `cbor:",toarray"`

	Nodes []distribution.NodeStatus
}

// Write asks for changes, all or none.
type Write struct {
	_ struct{} `cbor:",toarray"`

	ID      uint64
	Changes []distribution.Change
}

// WriteResult answers a Write, by an error or by the last entry's version.
type WriteResult struct {
	_ struct{} `cbor:",toarray"`

	ID       uint64
	Error    string
	Origin   distribution.Origin
	Clock    uint64
	Sequence uint64
}

// StatusQuery asks for the status of all nodes that are known.
type StatusQuery struct {
	_ struct{} `cbor:",toarray"`

	ID uint64
}

// StatusAnswer answers a StatusQuery. If there are many nodes, several answers carry them.
type StatusAnswer struct {
	_ struct{} `cbor:",toarray"`

	ID     uint64
	Self   distribution.NodeStatus
	Nodes  []distribution.NodeStatus
	IsLast bool
}

func (*Subscribe) kind() framing.Kind    { return subscribeKind }
func (*Batch) kind() framing.Kind        { return batchKind }
func (*Acknowledge) kind() framing.Kind  { return acknowledgeKind }
func (*Digests) kind() framing.Kind      { return digestsKind }
func (*Pull) kind() framing.Kind         { return pullKind }
func (*Report) kind() framing.Kind       { return reportKind }
func (*Write) kind() framing.Kind        { return writeKind }
func (*WriteResult) kind() framing.Kind  { return writeResultKind }
func (*StatusQuery) kind() framing.Kind  { return statusQueryKind }
func (*StatusAnswer) kind() framing.Kind { return statusAnswerKind }

// newMessage returns an empty message of a kind; nil if the kind is unknown.
func newMessage(k framing.Kind) Message {
	switch k {
	case subscribeKind:
		return &Subscribe{}
	case batchKind:
		return &Batch{}
	case acknowledgeKind:
		return &Acknowledge{}
	case digestsKind:
		return &Digests{}
	case pullKind:
		return &Pull{}
	case reportKind:
		return &Report{}
	case writeKind:
		return &Write{}
	case writeResultKind:
		return &WriteResult{}
	case statusQueryKind:
		return &StatusQuery{}
	case statusAnswerKind:
		return &StatusAnswer{}
	}
	return nil
}
