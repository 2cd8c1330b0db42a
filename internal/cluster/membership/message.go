package membership

// Messages between nodes. They are sent as CBOR arrays, so the order of the fields must not change. A message of any
// type proves that its sender is alive.
type (
	// Heartbeat is sent every HeartbeatInterval if no Update is pending.
	Heartbeat struct {
		_ struct{} `cbor:",toarray"`

		// Digest is that of the sender's member table. A receiver whose own digest differs from it for
		// fullUpdateDelay sends all of its members.
		Digest uint64
	}

	// Update carries members whose state has changed, or all members.
	Update struct {
		_ struct{} `cbor:",toarray"`

		Members []Member
	}

	// LivenessQuery asks a watcher of a silent node whether it still receives messages from that node.
	LivenessQuery struct {
		_ struct{} `cbor:",toarray"`

		Name string
	}

	// LivenessReply is the reply to a LivenessQuery.
	LivenessReply struct {
		_ struct{} `cbor:",toarray"`

		Name        string
		IsReachable bool
	}
)

// Outgoing is a message for the caller to send. If the node To is not connected, the caller opens a connection for the
// message. It is the same type as replication.Outgoing, so package peer sends both through one function.
type Outgoing = struct {
	To      string
	Message any
}
