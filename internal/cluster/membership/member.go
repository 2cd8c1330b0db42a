package membership

import "cmp"

// Condition is the liveness state of a member. Within one incarnation it only increases until the member refutes it.
// The numbers are sent.
type Condition uint8

const (
	// Alive is a member from which its watchers receive messages.
	Alive Condition = iota
	// Suspected is a member from which none of the queried watchers receives messages. It may still refute the
	// suspicion.
	Suspected
	// Dead is a member that did not refute a suspicion within suspicionTimeout. It may still refute that later, for
	// example when it is reconnected after a partition.
	Dead
	// Left is a member that shut down gracefully.
	Left
	conditions
)

var conditionNames = [conditions]string{"alive", "suspected", "dead", "left"}

// String returns the condition's name as commands print it.
func (c Condition) String() string {
	if c >= conditions {
		return "unknown"
	}
	return conditionNames[c]
}

// IsLive reports whether a member is Alive or Suspected.
func (c Condition) IsLive() bool { return c <= Suspected }

// Member is the state of one node as reported to the cluster. It is sent as a CBOR array and printed as JSON by field
// name, so the order of the fields, their names and their tags must not change.
type Member struct {
	_ struct{} `cbor:",toarray"`

	Name        string
	Incarnation int64  `json:"Up"`   // Unix time in ns of the node's start, or one above the highest known incarnation (StartLaterIncarnation)
	Refutations uint32 `json:"Turn"` // incremented only by the node itself, when it refutes a report
	Condition   Condition
	Address     string // to which other nodes connect
	Site        string
	Machine     string // failure domain: nodes on one machine fail together
}

// isValid reports whether a received report can be stored.
func (m *Member) isValid() bool {
	return m.Condition < conditions && m.Name != "" && max(len(m.Name), len(m.Address), len(m.Site), len(m.Machine)) <= maxTextBytes
}

// Compare orders two reports of one member; the greater one supersedes the other.
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
