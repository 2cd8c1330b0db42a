package replication

// Messages between nodes. They are sent as CBOR arrays, with the fields of Stream in place: the order of the fields
// stays.
type (
	// Offer reports what the sender has of a stream, and asks what the receiver has.
	Offer struct {
		_ struct{} `cbor:",toarray"`
		Stream
		FromOrigin bool // the sender is the incarnation whose stream it is
		Ranges     Ranges
	}

	// Inventory answers an Offer with what the sender has. With a RejectReason the sender takes no records of the stream.
	Inventory struct {
		_ struct{} `cbor:",toarray"`
		Stream
		Ranges       Ranges
		RejectReason string
	}

	// Batch holds consecutive records, as frames of the journal.
	Batch struct {
		_ struct{} `cbor:",toarray"`
		Stream
		First      uint64
		Count      int
		FromOrigin bool
		Frames     []byte
	}

	// Ack says that a Batch is durable at the sender, or with a RejectReason that it is not.
	Ack struct {
		_ struct{} `cbor:",toarray"`
		Stream
		First        uint64
		Count        int
		RejectReason string
	}
)

// Why records are not taken, as a RejectReason. The texts are sent to other nodes.
const (
	// ReasonLaterIncarnation says that a later incarnation of the origin is known.
	ReasonLaterIncarnation = "a later life of this name is known"

	reasonFull           = "no room is left"
	reasonTooManyStreams = "too many streams"
	reasonExpired        = "older than what is kept"
)

// Outgoing is a message that the caller sends. To is connected, or a connection is wanted for the message. It is the same
// type as membership.Outgoing, so package peer sends both in one way.
type Outgoing = struct {
	To      string
	Message any
}

// records are those of the batch.
func (b *Batch) records() Range { return Range{From: b.First, To: b.First + uint64(b.Count)} }

// records are those that are acknowledged.
func (a *Ack) records() Range { return Range{From: a.First, To: a.First + uint64(a.Count)} }
