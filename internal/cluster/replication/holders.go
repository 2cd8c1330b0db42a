package replication

import (
	"maps"
	"slices"
	"time"
)

// state is how a holder stands with the origin.
type state uint8

const (
	called  state = iota // it is chosen, and not connected or not answered
	offered              // it was asked what it has
	level                // it is sent what comes
	late                 // it has not said in time that a record lasts
	refused              // it takes nothing
	states
)

type event uint8

const (
	connected    event = iota // a connection to it stands
	disconnected              // none does any more
	answered                  // it told what it has
	slow                      // a record has waited too long for it
	caught                    // nothing waits for it any more
	turned                    // it refuses
	recalled                  // it is chosen anew after a while
	events
)

type action uint8

const (
	nothing action = iota
	offer          // tell it what there is
	send           // it is sent what is not kept yet
	other          // another one is taken
	stop           // nothing more is sent to it
)

// transitions say what follows from each event in each state of a holder.
var transitions = [states][events]struct {
	next state
	do   action
}{
	called:  {connected: {offered, offer}, disconnected: {called, other}, answered: {called, nothing}, slow: {called, other}, caught: {called, nothing}, turned: {refused, other}, recalled: {called, nothing}},
	offered: {connected: {offered, offer}, disconnected: {called, other}, answered: {level, send}, slow: {offered, other}, caught: {offered, nothing}, turned: {refused, other}, recalled: {offered, nothing}},
	level:   {connected: {offered, offer}, disconnected: {called, other}, answered: {level, nothing}, slow: {late, other}, caught: {level, nothing}, turned: {refused, other}, recalled: {level, nothing}},
	late:    {connected: {offered, offer}, disconnected: {called, other}, answered: {late, nothing}, slow: {late, nothing}, caught: {level, nothing}, turned: {refused, other}, recalled: {late, nothing}},
	refused: {connected: {refused, nothing}, disconnected: {refused, nothing}, answered: {refused, nothing}, slow: {refused, nothing}, caught: {refused, nothing}, turned: {refused, nothing}, recalled: {called, nothing}},
}

// holder is one that was chosen.
type holder struct {
	candidate Candidate
	state     state
	since     time.Duration // when it is in this state
	connected bool
	ranges    Ranges          // that last there
	acked     uint64          // all from where its sending began up to and without this last there
	next      uint64          // the next record to send to it
	out       map[uint64]bool // batches sent as they came and not acknowledged, by their first records
	offered   time.Duration
	refusal   string
}

// Holder is how one stands, for those who ask; programs read its fields by these names.
type Holder struct {
	_ struct{} `cbor:",toarray"`

	Name           string
	State          string `json:"Stand"`
	RejectReason   string `json:"Refusal"`
	Acked          uint64
	MissingRecords uint64 `json:"Lacks"` // records that are still to be copied to it from disk
}

var stateNames = [states]string{"called", "offered", "level", "late", "refused"}

// Holders tells how each stands.
func (o *Origin) Holders() (all []Holder) {
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		h := o.holders[name]
		all = append(all, Holder{Name: name, State: stateNames[h.state], RejectReason: h.refusal, Acked: h.acked, MissingRecords: o.ranges.Without(h.ranges).Without(Ranges{{From: o.base, To: max(o.next, o.base)}}).Count()})
	}
	return all
}
