package peer

import (
	"fmt"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
)

// version of the messages between nodes. A node of another version is rejected.
const version = 1

// maxBodyBytes holds a batch of 1,024 records of 250 bytes, and more. Sending a chunk of longer records fails with
// framing.ErrFrameTooLong, which ends the connection.
const maxBodyBytes = 1 << 20

// Kinds of frames. The numbers are sent.
const (
	introKind = framing.FirstProtocolKind + iota
	heartbeatKind
	updateKind
	livenessQueryKind
	livenessReplyKind
	offerKind
	inventoryKind
	batchKind
	ackKind
	statusQueryKind
	statusKind
	recordsQueryKind
	recordsKind
	endpointListQueryKind
	endpointListKind
	kinds
)

var protocol = framing.Protocol{Version: version, KindLimit: kinds, MaxBodyBytes: maxBodyBytes, HasChecksums: true}

// The messages below are sent as CBOR arrays: the order of the fields stays.
type (
	// intro says who a caller is, after the hello. A caller without an incarnation is a command, not a node.
	intro struct {
		_ struct{} `cbor:",toarray"`

		Deployment string
		Member     membership.Member
	}

	// statusQuery asks a node for its Status.
	statusQuery struct {
		_ struct{} `cbor:",toarray"`

		Verify bool // all stored replicas are read first, and what is damaged is not counted
	}

	// recordsQuery asks for all records that a node has, of its own journal and of others.
	recordsQuery struct {
		_ struct{} `cbor:",toarray"`

		SinceUnixNano int64  // only segments that were changed since
		RequestID     string // only of requests with this id, or that repeat it; "" for all
	}

	// recordsPart is a part of the answer to a recordsQuery.
	recordsPart struct {
		_ struct{} `cbor:",toarray"`

		Frames  []byte // of the journal
		IsLast  bool
		Corrupt int    // places that could not be read
		Failure string // why it ended early; "" where it did not
	}

	// endpointListQuery asks for the endpoint list that a node has cached.
	endpointListQuery struct {
		_ struct{} `cbor:",toarray"`
	}

	// endpointList is the list as it is on that node's disk; empty for none.
	endpointList struct {
		_ struct{} `cbor:",toarray"`

		Text []byte
	}
)

// Status is the state of a node. It is sent as a CBOR array and printed as JSON by field name: the order of the fields
// and the tags stay.
type Status struct {
	_ struct{} `cbor:",toarray"`

	Self           membership.Member
	Members        []membership.Member
	IsReady        bool               `json:"Ready"` // it has read what it stores
	Replicas       int                // how many other machines hold its journal, as configured
	Stream         replication.Stream // of its running incarnation; none where it has no replicated journal
	Next           uint64             // number of the next record
	Committed      uint64             `json:"Kept"` // first record that is not committed
	Uncommitted    int                `json:"Waits"`
	Holders        []replication.Holder
	StoredReplicas []replication.StoredReplica `json:"Holdings"`
	StoredBytes    int64                       `json:"Bytes"`
	MaxBytes       int64                       `json:"Most"`
	Damage         []string                    `json:"Faults"` // what could not be read, if that was asked for
}

// kindOf is the kind of the frame that carries a message between nodes.
func kindOf(message any) framing.Kind {
	switch message.(type) {
	case *membership.Heartbeat:
		return heartbeatKind
	case *membership.Update:
		return updateKind
	case *membership.LivenessQuery:
		return livenessQueryKind
	case *membership.LivenessReply:
		return livenessReplyKind
	case *replication.Offer:
		return offerKind
	case *replication.Inventory:
		return inventoryKind
	case *replication.Batch:
		return batchKind
	case *replication.Ack:
		return ackKind
	case *endpointListQuery:
		return endpointListQueryKind
	case *endpointList:
		return endpointListKind
	}
	panic(fmt.Sprintf("no frame carries a %T", message)) // only this package's own messages are sent
}

// emptyMessage is what a frame from a node is decoded into; nil for a kind that nodes do not send.
func newMessage(k framing.Kind) any {
	switch k {
	case heartbeatKind:
		return &membership.Heartbeat{}
	case updateKind:
		return &membership.Update{}
	case livenessQueryKind:
		return &membership.LivenessQuery{}
	case livenessReplyKind:
		return &membership.LivenessReply{}
	case offerKind:
		return &replication.Offer{}
	case inventoryKind:
		return &replication.Inventory{}
	case batchKind:
		return &replication.Batch{}
	case ackKind:
		return &replication.Ack{}
	case endpointListQueryKind:
		return &endpointListQuery{}
	case endpointListKind:
		return &endpointList{}
	}
	return nil
}

// decodeMessage reads a frame from a node. A rejection is an error.
func decodeMessage(k framing.Kind, body []byte) (message any, err error) {
	if k == framing.RejectionKind {
		return nil, framing.RejectionError(body)
	}
	if message = newMessage(k); message == nil {
		return nil, fmt.Errorf("a frame of kind %d from a node", k)
	}
	return message, framing.Decode(body, message)
}

// queuedBytes is about what a message takes while it waits to be sent.
func queuedBytes(message any) int {
	const overhead, perMember = 64, 128
	switch m := message.(type) {
	case *replication.Batch:
		return len(m.Frames) + overhead
	case *membership.Update:
		return perMember * len(m.Members)
	case *endpointList:
		return len(m.Text) + overhead
	}
	return overhead
}

// scenarioKinds are the names by which the testbed's scenarios wait for a frame. Scenario files have them: the words stay.
var scenarioKinds = map[string]framing.Kind{
	"beat":  heartbeatKind,
	"news":  updateKind,
	"ask":   livenessQueryKind,
	"tell":  livenessReplyKind,
	"offer": offerKind,
	"have":  inventoryKind,
	"batch": batchKind,
	"ack":   ackKind,
}

// FrameKindByName is the kind of a frame by the name that scenarios of the testbed use; 0 for none.
func FrameKindByName(name string) byte { return byte(scenarioKinds[name]) }
