package distribution

import "time"

// Role of a subscriber.
type Role uint8

// The roles, as they stand on the wire.
const (
	RoleNode Role = 1 + iota
	RoleControl
	RoleReader // a command that reads what is held, and is in no status
)

// String returns the role's name.
func (r Role) String() string {
	switch r {
	case RoleNode:
		return "node"
	case RoleControl:
		return "control"
	case RoleReader:
		return "reader"
	}
	return "unknown"
}

// Subscription is what a subscriber asks for.
type Subscription struct {
	_ struct{} `cbor:",toarray"`

	Name             string
	Role             Role
	Region           string
	Zone             string
	Services         []string
	AllServices      bool
	Vector           Vector   // what the subscriber covers of these services
	UnsyncedServices []string // that the vector does not cover: they get a full sync
}

// Batch is what a subscriber is sent. The batches of a subscription are numbered from 1.
type Batch struct {
	_ struct{} `cbor:",toarray"`

	Number        uint64
	Entries       []Entry
	ResetServices []string // in full sync from this batch until the next complete one
	ResetsAll     bool     // all subscribed services are in full sync
	IsComplete    bool     // everything up to Through was sent, by this batch or earlier ones
	Through       Vector   // if complete: the origins that advanced since the last one; all of them at first and after a reset
	Pruned        Vector   // if complete: deletions up to which the sender may have forgotten, as far as new
}

// Rejection is an entry that a subscriber could not apply or hold.
type Rejection struct {
	_ struct{} `cbor:",toarray"`

	Key         Key
	Reason      string // "" withdraws the rejection
	IsStoreFull bool
}

// Acknowledgement says up to which batch a subscriber has applied what it was sent.
type Acknowledgement struct {
	_ struct{} `cbor:",toarray"`

	BatchNumber uint64
	Applied     Vector // may be left out where it has not grown
	Rejected    []Rejection
}

// Digests let a subscriber see whether it holds what its server holds. It compares them if it covers no more than the server.
type Digests struct {
	_ struct{} `cbor:",toarray"`

	Total    uint64            // of all services, for subscribers of all
	Services map[string]uint64 // for other subscribers
	Through  Vector            // the origins that advanced since the last complete batch or digests
}

// NodeStatus is what a publisher knows of one subscriber.
type NodeStatus struct {
	_ struct{} `cbor:",toarray"`

	Name                string
	Role                Role
	Region              string
	Zone                string
	Via                 string // control process that it is subscribed to
	Revision            uint64 // total of the vector that it has applied
	AcknowledgedClock   uint64 // newest clock of what it has acknowledged
	Lag                 time.Duration
	PendingKeys         int
	UnacknowledgedBytes int
	HasAcknowledged     bool
	IsCatchingUp        bool
	IsConnected         bool
	DisconnectedMs      int64 // Unix time in ms when its connection ended; 0 while it is connected, or if nobody saw it end
	Rejected            []Rejection
}

// Approximate sizes on the wire, by which budgets count.
const (
	entryWireBytes       = 40 // of an entry in a batch, beside its name and value
	batchWireBytes       = 40 // of a batch, beside its entries
	originWireBytes      = 10 // of an origin in a vector, beside its name
	serviceNameWireBytes = 2  // of a service's name, beside it
)

func (e Entry) wireBytes() int { return entryWireBytes + len(e.Key.Name) + len(e.Value) }

func (v Vector) wireBytes() (n int) {
	for origin := range v {
		n += originWireBytes + len(origin)
	}
	return n
}

// Size returns about how many bytes the batch takes on the wire, as budgets count it.
func (b Batch) Size() int {
	n := batchWireBytes + b.Through.wireBytes() + b.Pruned.wireBytes()
	for _, name := range b.ResetServices {
		n += serviceNameWireBytes + len(name)
	}
	for _, e := range b.Entries {
		n += e.wireBytes()
	}
	return n
}
