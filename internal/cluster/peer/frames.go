package peer

import (
	"fmt"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
)

// version of what nodes say to each other. One of another is refused.
const version = 1

const frameMost = 1 << 20 // bytes: a part of 1,024 records of 250 bytes, and slack

const (
	introKind = framing.FirstProtocolKind + iota
	beatKind
	newsKind
	askKind
	tellKind
	offerKind
	haveKind
	batchKind
	ackKind
	queryKind
	statusKind
	pullKind
	pulledKind
	listAskKind
	listKind
	kinds
)

var protocol = framing.Protocol{Version: version, KindLimit: kinds, MaxBodyBytes: frameMost, HasChecksums: true}

// intro is who a caller is, behind the greeting. One without a life is a command, not a node.
type intro struct {
	_ struct{} `cbor:",toarray"`

	Deployment string
	Member     membership.Member
}

// query asks a node how it stands.
type query struct {
	_ struct{} `cbor:",toarray"`

	Verify bool // all that is held is read again first, and what is damaged is not counted
}

// Status is how a node stands.
type Status struct {
	_ struct{} `cbor:",toarray"`

	Self           membership.Member
	Members        []membership.Member
	IsReady        bool `json:"Ready"` // it has read what it holds
	Replicas       int
	Stream         replication.Stream // its running life's own; none where it keeps no journal
	Next           uint64
	Committed      uint64 `json:"Kept"`
	Uncommitted    int    `json:"Waits"`
	Holders        []replication.Holder
	StoredReplicas []replication.StoredReplica `json:"Holdings"`
	StoredBytes    int64                       `json:"Bytes"`
	MaxBytes       int64                       `json:"Most"`
	Damage         []string                    `json:"Faults"` // of what was read
}

// pull asks for all records that a node has, of its own and of others.
type pull struct {
	_ struct{} `cbor:",toarray"`

	Since int64  // Unix time in ns: of segments that were changed since
	ID    string // only of operations of this id, or that repeat it; "" for all
}

// pulled is a part of the answer: frames of records one behind the other.
type pulled struct {
	_ struct{} `cbor:",toarray"`

	Body    []byte
	Last    bool
	Corrupt int    // places that could not be read
	Fault   string // why it ended early
}

// listAsk asks for the list of servers that a node keeps.
type listAsk struct {
	_ struct{} `cbor:",toarray"`
}

// list is one, as it stands on that node's disk.
type list struct {
	_ struct{} `cbor:",toarray"`

	Text []byte
}

// kindOf is the frame that carries something.
func kindOf(what any) framing.Kind {
	switch what.(type) {
	case *membership.Heartbeat:
		return beatKind
	case *membership.Update:
		return newsKind
	case *membership.LivenessQuery:
		return askKind
	case *membership.LivenessReply:
		return tellKind
	case *replication.Offer:
		return offerKind
	case *replication.Inventory:
		return haveKind
	case *replication.Batch:
		return batchKind
	case *replication.Ack:
		return ackKind
	case *listAsk:
		return listAskKind
	case *list:
		return listKind
	}
	panic(fmt.Sprintf("no frame carries a %T", what)) // only this package's own words are sent
}

// read decodes a frame from a node.
func read(k framing.Kind, body []byte) (what any, err error) {
	switch k {
	case beatKind:
		what = &membership.Heartbeat{}
	case newsKind:
		what = &membership.Update{}
	case askKind:
		what = &membership.LivenessQuery{}
	case tellKind:
		what = &membership.LivenessReply{}
	case offerKind:
		what = &replication.Offer{}
	case haveKind:
		what = &replication.Inventory{}
	case batchKind:
		what = &replication.Batch{}
	case ackKind:
		what = &replication.Ack{}
	case listAskKind:
		what = &listAsk{}
	case listKind:
		what = &list{}
	case framing.RejectionKind:
		return nil, framing.RejectionError(body)
	default:
		return nil, fmt.Errorf("a frame of kind %d from a node", k)
	}
	return what, framing.Decode(body, what)
}

// size is about what something takes while it waits to be sent.
func size(what any) int {
	switch w := what.(type) {
	case *replication.Batch:
		return len(w.Frames) + 64
	case *membership.Update:
		return 128 * len(w.Members)
	case *list:
		return len(w.Text) + 64
	}
	return 64
}

// FrameKindByName is the kind of a frame by the name that scenarios of the lab use; 0 for none.
func FrameKindByName(name string) byte {
	return byte(map[string]framing.Kind{"beat": beatKind, "news": newsKind, "ask": askKind, "tell": tellKind, "offer": offerKind, "have": haveKind,
		"batch": batchKind, "ack": ackKind}[name])
}
