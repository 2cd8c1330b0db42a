package distribution

import "time"

// Role is the kind of process that a subscriber is.
type Role uint8

// The roles. Their numbers are sent on the wire.
const (
	RoleNode Role = 1 + iota
	RoleControl
	RoleReader // a command that reads entries; excluded from status reports
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

// Subscription is a subscriber's request for the entries of services.
type Subscription struct {
	_ struct{} `cbor:",toarray"`

	Name             string
	Role             Role
	Region           string
	Zone             string
	Services         []string
	AllServices      bool
	Vector           Vector   // the subscriber's coverage of these services
	UnsyncedServices []string // services that the vector does not apply to: they receive a full sync
}

// Batch is one message of entries to a subscriber. The batches of a subscription are numbered from 1.
type Batch struct {
	_ struct{} `cbor:",toarray"`

	Number        uint64
	Entries       []Entry
	ResetServices []string // services in full sync from this batch until the next complete one
	ResetsAll     bool     // all subscribed services are in full sync
	IsComplete    bool     // this batch and the earlier ones contain everything up to Through
	Through       Vector   // if complete: origins that advanced since the last complete batch or digests; all in the first and after a reset
	Pruned        Vector   // if complete: new part of the vector up to which the sender may have pruned deletions
}

// Rejection reports an entry that a subscriber could not apply or store.
type Rejection struct {
	_ struct{} `cbor:",toarray"`

	Key         Key
	Reason      string // "" withdraws the rejection
	IsStoreFull bool
}

// Acknowledgement confirms the receipt of the batches up to BatchNumber, and reports the vector of the applied entries. A node
// that does not serve yet confirms the batches of a catch-up before it applies their routes and tenants.
type Acknowledgement struct {
	_ struct{} `cbor:",toarray"`

	BatchNumber uint64
	Applied     Vector // may be omitted if it has not advanced
	Rejected    []Rejection
}

// Digests let a subscriber verify that its entries equal those of its server. The subscriber compares them only if the server
// covers all that the subscriber covers.
type Digests struct {
	_ struct{} `cbor:",toarray"`

	Total    uint64            // digest of all services, for subscribers to all services
	Services map[string]uint64 // digest of each service, for other subscribers
	Through  Vector            // origins that advanced since the last complete batch or digests
}

// NodeStatus is the replication status of one subscriber.
type NodeStatus struct {
	_ struct{} `cbor:",toarray"`

	Name                string
	Role                Role
	Region              string
	Zone                string
	Via                 string // control process that serves the subscription
	Revision            uint64 // Vector.Total of the applied vector
	AcknowledgedClock   uint64 // newest clock of all acknowledged entries
	Lag                 time.Duration
	PendingKeys         int
	UnacknowledgedBytes int
	HasAcknowledged     bool
	IsCatchingUp        bool
	IsConnected         bool
	DisconnectedMs      int64 // Unix time in ms when the connection ended; 0 while connected, or if the end was not observed
	Rejected            []Rejection
}

// Approximate encoded sizes in bytes, which are charged to budgets.
const (
	entryWireBytes       = 40 // overhead of an entry in a batch, without its name and value
	batchWireBytes       = 40 // overhead of a batch, without its entries
	originWireBytes      = 10 // overhead of an origin in a vector, without its name
	serviceNameWireBytes = 2  // overhead of a service name
)

func (e Entry) wireBytes() int { return entryWireBytes + len(e.Key.Name) + len(e.Value) }

func (v Vector) wireBytes() (n int) {
	for origin := range v {
		n += originWireBytes + len(origin)
	}
	return n
}

// Size returns the approximate encoded size of the batch in bytes, as charged to budgets.
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
