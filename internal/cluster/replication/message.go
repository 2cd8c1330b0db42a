package replication

// Messages between nodes. They are sent as CBOR arrays with the fields of Stream inlined, so the order of the fields
// must not change.
type (
	// Offer reports which records of a stream the sender stores, and requests the receiver's Inventory.
	Offer struct {
		_ struct{} `cbor:",toarray"`
		Stream
		FromOrigin bool // the sender is the incarnation that writes the stream
		Ranges     Ranges
	}

	// Inventory is the reply to an Offer and lists the records that the sender stores. It is also sent without an
	// Offer after the sender found damaged records. If RejectReason is set, the sender rejects records of the stream.
	Inventory struct {
		_ struct{} `cbor:",toarray"`
		Stream
		Ranges       Ranges
		RejectReason string
	}

	// Batch contains consecutive records, encoded as journal frames.
	Batch struct {
		_ struct{} `cbor:",toarray"`
		Stream
		First      uint64
		Count      int
		FromOrigin bool
		Frames     []byte
	}

	// Ack confirms that a Batch is durable at the sender, or rejects it if RejectReason is set.
	Ack struct {
		_ struct{} `cbor:",toarray"`
		Stream
		First        uint64
		Count        int
		RejectReason string
	}
)

// Values of RejectReason. The texts are sent to other nodes, so they must not change.
const (
	// ReasonLaterIncarnation means that a later incarnation of the origin is known.
	ReasonLaterIncarnation = "a later life of this name is known"

	reasonFull           = "no room is left"
	reasonTooManyStreams = "too many streams"
	reasonExpired        = "older than what is kept"
)

// Outgoing is a message for the caller to send. If the node To is not connected, the caller opens a connection for the
// message. It is the same type as membership.Outgoing, so package peer sends both through one function.
type Outgoing = struct {
	To      string
	Message any
}

// records returns the range of the records in the batch.
func (b *Batch) records() Range { return Range{From: b.First, To: b.First + uint64(b.Count)} }

// records returns the range of the acknowledged records.
func (a *Ack) records() Range { return Range{From: a.First, To: a.First + uint64(a.Count)} }
