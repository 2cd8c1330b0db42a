package intent

// Kind of a record. The numbers are stored.
type Kind uint8

const (
	// Unsent says that a request has ended and that no attempt of it was about to be sent.
	Unsent Kind = 1 + iota
	// Intent says that an attempt is about to be sent. It repeats the fields of the request, so that it can be read
	// alone.
	Intent
	// AttemptEnded says how an attempt went, and what that proves.
	AttemptEnded
	// ClientNotified says which outcome the client was notified of, and after how many attempts.
	ClientNotified
	// Reconciled says what the server's execution record proves of an attempt.
	Reconciled
	// Gap counts records that were not stored, or not before their request was served.
	Gap
	// ChunkHeader says that the Count records after it are those from number From on of their incarnation's stream.
	ChunkHeader
)

// Proof is what is known of an attempt. The numbers are stored.
type Proof uint8

const (
	// PossiblyRan is an attempt that was sent and may have run.
	PossiblyRan Proof = iota
	// Ran is an attempt that provably ran.
	Ran
	// NeverRan is an attempt that provably never ran.
	NeverRan
)

// Record is one line of the journal. Which fields it has follows from its kind. It is stored as a CBOR array: the order
// of the fields is that of the stored data.
type Record struct {
	_ struct{} `cbor:",toarray"`

	Kind          Kind
	Incarnation   uint64 // of the node's process: Unix time in ns of its start
	RequestNumber uint64 // counts within the incarnation
	Attempt       int    // counts from 0 within the request
	AtUnixNano    int64
	RequestID     string // as the client gave it
	Tenant        string
	Type          string
	Server        string
	RepeatOf      string // the id that the client names as repeated
	IsRetry       bool   // the client marks the request as a retry
	Outcome       string // of the attempt, or the one that the client was notified of
	Proof         Proof
	From          int64 // of a Gap its start in Unix ns; of a ChunkHeader the number of the first record
	Count         int   // of a Gap records; of ClientNotified attempts; of a ChunkHeader records
}

// RequestKey identifies a request among all nodes' journals.
type RequestKey struct {
	Incarnation   uint64 // of the node that took it
	RequestNumber uint64 // within the incarnation
}

// Key is that of the request that the record is about.
func (r *Record) Key() RequestKey {
	return RequestKey{Incarnation: r.Incarnation, RequestNumber: r.RequestNumber}
}
