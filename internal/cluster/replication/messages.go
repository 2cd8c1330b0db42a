package replication

import (
	"fmt"
)

// Stream is what one life of a node keeps.
type Stream struct {
	_ struct{} `cbor:",toarray"`

	Name        string
	Incarnation int64 `json:"Up"` // Unix time in ns of the life's start
}

func (s Stream) String() string { return fmt.Sprintf("%s@%d", s.Name, s.Incarnation) }

// What nodes tell each other of streams.
type (
	// Offer tells what of a stream the sender has, and asks what the receiver has.
	Offer struct {
		_ struct{} `cbor:",toarray"`
		Stream
		FromOrigin bool // the sender is the life whose stream it is
		Ranges     Ranges
	}
	// Inventory answers it. With a reason for a refusal nothing is taken.
	Inventory struct {
		_ struct{} `cbor:",toarray"`
		Stream
		Ranges       Ranges
		RejectReason string
	}
	// Batch are records one behind the other, in frames as they stand on disk, with their sums.
	Batch struct {
		_ struct{} `cbor:",toarray"`
		Stream
		First      uint64
		Count      int
		FromOrigin bool
		Frames     []byte
	}
	// Ack tells that they last, or why they do not.
	Ack struct {
		_ struct{} `cbor:",toarray"`
		Stream
		First        uint64
		Count        int
		RejectReason string
	}
)
