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

// String is the role's name.
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
	Vector           Vector   // what it holds of them
	UnsyncedServices []string // services for which the vector does not hold: they are sent whole
}

// Batch is what a subscriber is sent. Batches of a subscription are numbered from 1.
type Batch struct {
	_ struct{} `cbor:",toarray"`

	Number        uint64
	Entries       []Entry
	ResetServices []string // services that are sent whole, from this batch until the next complete one
	ResetsAll     bool     // all subscribed services are
	IsComplete    bool     // all up to Through in the subscribed services was sent, by this batch or earlier ones
	Through       Vector   // with Complete, those origins that have moved on since the last one; all of them at first and after a Reset
	Pruned        Vector   // with Complete, deletions up to which may be forgotten at the sender, as far as new
}

// Rejection is an entry that a subscriber could not put in force or hold.
type Rejection struct {
	_ struct{} `cbor:",toarray"`

	Key         Key
	Reason      string
	IsStoreFull bool // for want of room
}

// Acknowledgement says up to which batch a subscriber has put in force what it was sent.
type Acknowledgement struct {
	_ struct{} `cbor:",toarray"`

	BatchNumber uint64
	Applied     Vector // may be left out where it has not grown
	Rejected    []Rejection
}

// Digests let a subscriber see whether it holds what its server holds. It compares where it covers no more than the server.
type Digests struct {
	_ struct{} `cbor:",toarray"`

	Total    uint64            // of all services, for subscribers of all
	Services map[string]uint64 // for others
	Through  Vector            // those origins that have moved on since the last complete batch or digests
}

// NodeStatus is what a publisher knows of one subscriber.
type NodeStatus struct {
	_ struct{} `cbor:",toarray"`

	Name                string
	Role                Role
	Region              string
	Zone                string
	Via                 string // control process that it is subscribed to
	Revision            uint64 // total of the vector in force
	AcknowledgedClock   uint64 // newest clock of what it has acknowledged
	Lag                 time.Duration
	PendingKeys         int // keys that wait
	UnacknowledgedBytes int // bytes sent and not acknowledged
	HasAcknowledged     bool
	IsCatchingUp        bool
	IsConnected         bool
	DisconnectedMs      int64 // Unix time in ms when its connection ended; 0 while it is connected, or where nobody saw it end
	Rejected            []Rejection
}

const (
	entryOnWire  = 40 // bytes of an entry in a batch beside its name and value, about
	batchOnWire  = 40 // bytes of a batch beside its entries, about
	originOnWire = 10 // bytes of an origin in a vector beside its name, about
	nameOnWire   = 2  // bytes of a service's name beside it
)

func (e Entry) size() int { return entryOnWire + len(e.Key.Name) + len(e.Value) }

func (v Vector) size() (n int) {
	for origin := range v {
		n += originOnWire + len(origin)
	}
	return n
}

// Size is about what the batch takes on the wire, as budgets count it.
func (b Batch) Size() int {
	n := batchOnWire + b.Through.size() + b.Pruned.size()
	for _, name := range b.ResetServices {
		n += nameOnWire + len(name)
	}
	for _, e := range b.Entries {
		n += e.size()
	}
	return n
}
