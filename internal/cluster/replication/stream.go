package replication

import (
	"fmt"
	"strings"
)

// reconcilerSeparator separates the two node names in the name of a reconciliation stream: the node whose entries are
// reconciled, and the node that reconciles them.
const reconcilerSeparator = "~"

// Stream identifies the records of one incarnation of a node. It is sent as a CBOR array and printed as JSON by field
// name, so the order of the fields, their names and their tags must not change.
type Stream struct {
	_ struct{} `cbor:",toarray"`

	Name        string // of the node; in a reconciliation stream followed by "~" and the name of the reconciling node
	Incarnation int64  `json:"Up"` // Unix time in ns of the incarnation's start
}

// String returns the name of the stream's folder.
func (s Stream) String() string { return fmt.Sprintf("%s@%d", s.Name, s.Incarnation) }

// IsReconciliation reports whether the stream's records reconcile entries of another stream. Such a stream has no
// running origin.
func (s Stream) IsReconciliation() bool { return strings.Contains(s.Name, reconcilerSeparator) }

// nodeName returns the name of the node whose entries the stream contains or reconciles.
func (s Stream) nodeName() string {
	name, _, _ := strings.Cut(s.Name, reconcilerSeparator)
	return name
}
