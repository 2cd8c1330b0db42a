package membership

import "cmp"

// Condition of a member within one incarnation, between two refutations; it only grows. The numbers are sent.
type Condition uint8

const (
	// Alive is a member that its watchers hear.
	Alive Condition = iota
	// Suspected is a member that none of its watchers hears. It may still refute that.
	Suspected
	// Dead is a member that was suspected for too long.
	Dead
	// Left is a member that shut down gracefully.
	Left
	conditions
)

var conditionNames = [conditions]string{"alive", "suspected", "dead", "left"}

// String is the condition's name in the output of commands.
func (c Condition) String() string {
	if c >= conditions {
		return "unknown"
	}
	return conditionNames[c]
}

// IsLive reports that a member is counted on: it has neither left nor is it dead.
func (c Condition) IsLive() bool { return c <= Suspected }

// Member is what is known of one node. It is sent as a CBOR array and printed as JSON by field name: the order of the
// fields and the tags stay.
type Member struct {
	_ struct{} `cbor:",toarray"`

	Name        string
	Incarnation int64  `json:"Up"`   // Unix time in ns of the node's start, or one above the latest known (StartLaterIncarnation)
	Refutations uint32 `json:"Turn"` // raised only by the node itself, when it refutes what is said of it
	Condition   Condition
	Address     string // where other nodes reach it
	Site        string
	Machine     string // nodes on one machine are lost together
}

// Compare orders two reports of one member: the greater one is valid.
func Compare(a, b Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Refutations, b.Refutations),
		cmp.Compare(a.Condition, b.Condition),
		cmp.Compare(a.Address, b.Address),
		cmp.Compare(a.Site, b.Site),
		cmp.Compare(a.Machine, b.Machine),
	)
}
