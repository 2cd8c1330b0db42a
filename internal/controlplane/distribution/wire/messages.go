package wire

import (
	"fernvane/internal/cluster/framing"
	"fernvane/internal/controlplane/distribution"
)

// Version is the version of the protocol.
const Version = 1

// maxBodyBytes is the maximum size of a frame's body.
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

// Protocol describes the frames of a connection. Each frame carries a checksum.
var Protocol = &framing.Protocol{Version: Version, KindLimit: kindLimit, MaxBodyBytes: maxBodyBytes, HasChecksums: true}

// Message is implemented by pointers to the message types of this file.
type Message interface {
	kind() framing.Kind
	validate() error
}

// Subscribe is the first message of a subscriber.
type Subscribe struct {
	_ struct{} `cbor:",toarray"`

	Subscription distribution.Subscription
}

// Batch carries entries to a subscriber, or from a subscriber in response to a Pull.
type Batch struct{ distribution.Batch }

// Acknowledge confirms a batch, with the vector of the applied entries and the rejected entries.
type Acknowledge struct {
	_ struct{} `cbor:",toarray"`

	Acknowledgement distribution.Acknowledgement
	ApplyLagMs      int64 // time from receipt to application of the last batch
}

// Digests carries the server's digests to a subscriber that was sent all entries, for comparison with its own.
type Digests struct {
	_ struct{} `cbor:",toarray"`

	Digests       distribution.Digests
	IsAllServices bool // response to Pull.WantsDigests that covers all services. Receivers do not read it
}

// Pull requests entries or digests that the sender lacks. An empty Pull is a ping, and an empty Pull is the response to it.
type Pull struct {
	_ struct{} `cbor:",toarray"`

	IsContinuous bool                // requests all entries that Vector does not cover and all later changes, in batches as to a subscriber
	Vector       distribution.Vector // entries that the sender has; only if continuous
	Services     []string            // services to sync in full
	WantsDigests bool                // requests the digests of all services
}

// Report notifies an upstream of nodes whose status at the sender has changed.
type Report struct {
	_ struct{} `cbor:",toarray"`

	Nodes []distribution.NodeStatus
}

// Write requests changes, which are applied atomically.
type Write struct {
	_ struct{} `cbor:",toarray"`

	ID      uint64
	Changes []distribution.Change
}

// WriteResult is the response to a Write. It carries an error or the version of the last entry.
type WriteResult struct {
	_ struct{} `cbor:",toarray"`

	ID       uint64
	Error    string
	Origin   distribution.Origin
	Clock    uint64
	Sequence uint64
}

// StatusQuery requests the status of all known nodes.
type StatusQuery struct {
	_ struct{} `cbor:",toarray"`

	ID uint64
}

// StatusAnswer is the response to a StatusQuery. The nodes may be split among several messages.
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

// newMessage returns an empty message of a kind, or nil if the kind is unknown.
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
