package intent

// Kind is the type of a record. The numbers are part of the stored format.
type Kind uint8

const (
	// Unsent records that a request ended before any of its attempts was about to be sent.
	Unsent Kind = 1 + iota
	// Intent records that an attempt is about to be sent. It repeats the fields of the request, so that it is complete
	// without other records.
	Intent
	// AttemptEnded records the outcome of an attempt and its proof.
	AttemptEnded
	// ClientNotified records the outcome that was reported to the client, and the number of attempts.
	ClientNotified
	// Reconciled records what the server's execution record proves about an attempt.
	Reconciled
	// Gap counts records that were not stored, or that were stored only after their request was served.
	Gap
	// ChunkHeader means that the following Count records have the sequence numbers from From on in the stream of their
	// incarnation.
	ChunkHeader
)

// Proof is whether an attempt is known to have run. The numbers are part of the stored format.
type Proof uint8

const (
	// PossiblyRan means that the attempt may have been sent and may have run.
	PossiblyRan Proof = iota
	// Ran means that the attempt provably ran.
	Ran
	// NeverRan means that the attempt provably never ran.
	NeverRan
)

// Record is one record of the journal. Its kind determines which fields are set. It is stored as a CBOR array, so the order
// of the fields is part of the stored format.
type Record struct {
	_ struct{} `cbor:",toarray"`

	Kind          Kind
	Incarnation   uint64 // of the node's process: its start time in Unix ns
	RequestNumber uint64 // within the incarnation
	Attempt       int    // attempt number within the request, from 0
	AtUnixNano    int64
	RequestID     string // as sent by the client
	Tenant        string
	Type          string
	Server        string
	RepeatOf      string // ID of the request that this one repeats, according to the client
	IsRetry       bool   // the client marked the request as a retry
	Outcome       string // of the attempt, or the one reported to the client
	Proof         Proof
	From          int64 // Gap: start in Unix ns; ChunkHeader: sequence number of the first record
	Count         int   // Gap and ChunkHeader: number of records; ClientNotified: number of attempts
}

// RequestKey identifies a request across the journals of all nodes.
type RequestKey struct {
	Incarnation   uint64 // of the node that received the request
	RequestNumber uint64 // within the incarnation
}

// Key returns the key of the record's request.
func (r *Record) Key() RequestKey {
	return RequestKey{Incarnation: r.Incarnation, RequestNumber: r.RequestNumber}
}
