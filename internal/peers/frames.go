package peers

import (
	"fmt"

	"fernvane/internal/frames"
	"fernvane/internal/neighbours"
	"fernvane/internal/replicas"
)

// version of what nodes say to each other. One of another is refused.
const version = 1

const frameMost = 1 << 20 // bytes: a part of 1,024 records of 250 bytes, and slack

const (
	introKind = frames.First + iota
	beatKind
	newsKind
	askKind
	tellKind
	offerKind
	haveKind
	batchKind
	ackKind
	queryKind
	statusKind
	pullKind
	pulledKind
	listAskKind
	listKind
	kinds
)

var protocol = frames.Protocol{Version: version, Kinds: kinds, Most: frameMost, Sums: true}

// intro is who a caller is, behind the greeting. One without a life is a command, not a node.
type intro struct {
	_ struct{} `cbor:",toarray"`

	Deployment string
	Member     neighbours.Member
}

// query asks a node how it stands.
type query struct {
	_ struct{} `cbor:",toarray"`

	Verify bool // all that is held is read again first, and what is damaged is not counted
}

// Status is how a node stands.
type Status struct {
	_ struct{} `cbor:",toarray"`

	Self     neighbours.Member
	Members  []neighbours.Member
	Ready    bool // it has read what it holds
	Replicas int
	Stream   replicas.Stream // its running life's own; none where it keeps no journal
	Next     uint64
	Kept     uint64
	Waits    int
	Holders  []replicas.Holder
	Holdings []replicas.Holding
	Bytes    int64
	Most     int64
	Faults   []string // of what was read
}

// pull asks for all records that a node has, of its own and of others.
type pull struct {
	_ struct{} `cbor:",toarray"`

	Since int64  // Unix time in ns: of segments that were changed since
	ID    string // only of operations of this id, or that repeat it; "" for all
}

// pulled is a part of the answer: frames of records one behind the other.
type pulled struct {
	_ struct{} `cbor:",toarray"`

	Body    []byte
	Last    bool
	Corrupt int    // places that could not be read
	Fault   string // why it ended early
}

// listAsk asks for the list of servers that a node keeps.
type listAsk struct {
	_ struct{} `cbor:",toarray"`
}

// list is one, as it stands on that node's disk.
type list struct {
	_ struct{} `cbor:",toarray"`

	Text []byte
}

// kindOf is the frame that carries something.
func kindOf(what any) frames.Kind {
	switch what.(type) {
	case *neighbours.Beat:
		return beatKind
	case *neighbours.News:
		return newsKind
	case *neighbours.Ask:
		return askKind
	case *neighbours.Tell:
		return tellKind
	case *replicas.Offer:
		return offerKind
	case *replicas.Have:
		return haveKind
	case *replicas.Batch:
		return batchKind
	case *replicas.Ack:
		return ackKind
	case *listAsk:
		return listAskKind
	case *list:
		return listKind
	}
	panic(fmt.Sprintf("no frame carries a %T", what)) // only this package's own words are sent
}

// read decodes a frame from a node.
func read(k frames.Kind, body []byte) (what any, err error) {
	switch k {
	case beatKind:
		what = &neighbours.Beat{}
	case newsKind:
		what = &neighbours.News{}
	case askKind:
		what = &neighbours.Ask{}
	case tellKind:
		what = &neighbours.Tell{}
	case offerKind:
		what = &replicas.Offer{}
	case haveKind:
		what = &replicas.Have{}
	case batchKind:
		what = &replicas.Batch{}
	case ackKind:
		what = &replicas.Ack{}
	case listAskKind:
		what = &listAsk{}
	case listKind:
		what = &list{}
	case frames.Refusals:
		return nil, frames.Refused(body)
	default:
		return nil, fmt.Errorf("a frame of kind %d from a node", k)
	}
	return what, frames.Decode(body, what)
}

// size is about what something takes while it waits to be sent.
func size(what any) int {
	switch w := what.(type) {
	case *replicas.Batch:
		return len(w.Body) + 64
	case *neighbours.News:
		return 128 * len(w.Members)
	case *list:
		return len(w.Text) + 64
	}
	return 64
}

// Step is the kind of a frame by the name that scenarios of the lab use; 0 for none.
func Step(name string) byte {
	return byte(map[string]frames.Kind{"beat": beatKind, "news": newsKind, "ask": askKind, "tell": tellKind, "offer": offerKind, "have": haveKind,
		"batch": batchKind, "ack": ackKind}[name])
}
