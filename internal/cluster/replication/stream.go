package replication

import (
	"fmt"
	"strings"
)

// reconcilerSeparator is in the name of a stream, between the node whose entries it reconciles and the node that does.
const reconcilerSeparator = "~"

// Stream names the records of one incarnation of a node. It is sent as a CBOR array and printed as JSON by field name.
type Stream struct {
	_ struct{} `cbor:",toarray"`

	Name        string // of the node; with "~" and a second name: what that node reconciled of the first
	Incarnation int64  `json:"Up"` // Unix time in ns of the incarnation's start
}

// String names the stream as its folder is named.
func (s Stream) String() string { return fmt.Sprintf("%s@%d", s.Name, s.Incarnation) }

// IsReconciliation reports whether the stream's records reconcile entries of another stream. No incarnation that runs
// owns it.
func (s Stream) IsReconciliation() bool { return strings.Contains(s.Name, reconcilerSeparator) }

// nodeName is the node whose entries the stream holds or reconciles.
func (s Stream) nodeName() string {
	name, _, _ := strings.Cut(s.Name, reconcilerSeparator)
	return name
}
