package peer

import (
	"fmt"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
	"fernvane/internal/cluster/replication"
)

// version is the protocol version between nodes. Nodes with another version are rejected.
const version = 1

// maxBodyBytes is enough for a batch of 1,024 records (wal.MaxChunkRecords) of 250 bytes, and more. Sending a larger
// chunk fails with framing.ErrFrameTooLong, which closes the connection.
const maxBodyBytes = 1 << 20

// Kinds of frames. The numbers are sent, so they must not change.
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

// The messages below are sent as CBOR arrays, so the order of the fields must not change.
type (
	// intro identifies the sender after the hello. A caller without an incarnation is a command, not a node.
	intro struct {
		_ struct{} `cbor:",toarray"`

		Deployment string
		Member     membership.Member
	}

	// statusQuery requests the Status of a node.
	statusQuery struct {
		_ struct{} `cbor:",toarray"`

		Verify bool // re-read all stored replicas first, and exclude damaged records
	}

	// recordsQuery requests all records that a node stores, of its own journal and of replicas.
	recordsQuery struct {
		_ struct{} `cbor:",toarray"`

		SinceUnixNano int64  // only segments modified since this time
		RequestID     string // only requests with this ID, or that repeat it; "" for all
	}

	// recordsPart is one part of the response to a recordsQuery.
	recordsPart struct {
		_ struct{} `cbor:",toarray"`

		Frames  []byte // journal frames
		IsLast  bool
		Corrupt int    // number of unreadable places
		Failure string // error that ended the response early; "" for none
	}

	// endpointListQuery requests the endpoint list that a node has cached.
	endpointListQuery struct {
		_ struct{} `cbor:",toarray"`
	}

	// endpointList contains the endpoint list cached on the sender's disk; empty for none.
	endpointList struct {
		_ struct{} `cbor:",toarray"`

		Text []byte
	}
)

// Status is the state of a node as commands display it. It is sent as a CBOR array and printed as JSON by field name,
// so the order of the fields, their names and their tags must not change.
type Status struct {
	_ struct{} `cbor:",toarray"`

	Self           membership.Member
	Members        []membership.Member
	IsReady        bool               `json:"Ready"` // the stored replicas are loaded
	Replicas       int                // configured number of other machines that store its journal
	Stream         replication.Stream // of its running incarnation; zero without a replicated journal
	Next           uint64             // number of the next record in Stream
	Committed      uint64             `json:"Kept"` // number of the first uncommitted record
	Uncommitted    int                `json:"Waits"`
	Holders        []replication.Holder
	StoredReplicas []replication.StoredReplica `json:"Holdings"`
	StoredBytes    int64                       `json:"Bytes"`
	MaxBytes       int64                       `json:"Most"`
	Damage         []string                    `json:"Faults"` // unreadable places, if verification was requested
}

// kindOf returns the kind of the frame that carries a message between nodes.
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
	panic(fmt.Sprintf("no frame kind for message type %T", message)) // unreachable: callers send only the types above
}

// newMessage returns an empty message to decode a frame from a node into, or nil for a kind that nodes do not send.
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

// decodeMessage decodes a frame from a node. A rejection is returned as an error.
func decodeMessage(k framing.Kind, body []byte) (message any, err error) {
	if k == framing.RejectionKind {
		return nil, framing.RejectionError(body)
	}
	if message = newMessage(k); message == nil {
		return nil, fmt.Errorf("unexpected frame of kind %d from node", k)
	}
	return message, framing.Decode(body, message)
}

// queuedBytes estimates the memory of a queued message, from above.
func queuedBytes(message any) int {
	const overhead, perMember, perRange = 256, 256, 16
	switch m := message.(type) {
	case *replication.Batch:
		return len(m.Frames) + overhead
	case *replication.Inventory:
		return perRange*len(m.Ranges) + len(m.Name) + len(m.RejectReason) + overhead
	case *replication.Offer:
		return perRange*len(m.Ranges) + len(m.Name) + overhead
	case *membership.Update:
		return perMember*len(m.Members) + overhead
	case *endpointList:
		return len(m.Text) + overhead
	}
	return overhead
}

// scenarioKinds maps the names that the testbed's scenario files use for frames to their kinds. The names must not
// change.
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

// FrameKindByName returns the kind of the frame to which the testbed's scenarios refer by a name, 0 for none.
func FrameKindByName(name string) byte { return byte(scenarioKinds[name]) }
