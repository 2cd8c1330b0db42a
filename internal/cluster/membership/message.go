package membership

// Messages between nodes. They are sent as CBOR arrays: the order of the fields stays. Any message at all shows that its
// sender is alive.
type (
	// Heartbeat is sent each HeartbeatInterval where there is no Update to send.
	Heartbeat struct {
		_ struct{} `cbor:",toarray"`

		// Digest of all that the sender knows of members. A receiver whose own digest differs for long sends all it
		// knows.
		Digest uint64
	}

	// Update has members that the receiver may not know.
	Update struct {
		_ struct{} `cbor:",toarray"`

		Members []Member
	}

	// LivenessQuery asks a watcher of a silent node whether it hears that node.
	LivenessQuery struct {
		_ struct{} `cbor:",toarray"`

		Name string
	}

	// LivenessReply answers a LivenessQuery.
	LivenessReply struct {
		_ struct{} `cbor:",toarray"`

		Name        string
		IsReachable bool
	}
)

// Outgoing is a message that the caller sends. To is connected, or a connection is wanted for the message. It is the same
// type as replication.Outgoing, so package peer sends both in one way.
type Outgoing = struct {
	To      string
	Message any
}
