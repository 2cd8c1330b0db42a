package replication

import (
	"maps"
	"slices"
	"time"
)

// holderState is the state of a holder, as the origin sees it.
type holderState uint8

const (
	selected holderState = iota // and not connected yet
	offered                     // it was asked what it has
	inSync                      // it is sent all new records
	lagging                     // it has not acknowledged a record in time; it is still sent all new records
	rejected                    // it takes no records
	holderStates
)

// HolderInSync is the State of a Holder that is sent all new records and acknowledges them in time.
const HolderInSync = "level"

// holderStateNames are printed by commands and log lines, and are sent in a Holder (JSON "Stand"): the words stay.
var holderStateNames = [holderStates]string{selected: "called", offered: "offered", inSync: HolderInSync, lagging: "late", rejected: "refused"}

// holderEvent is what happens to a holder.
type holderEvent uint8

const (
	holderConnected    holderEvent = iota // a connection to it is established
	holderDisconnected                    // none is left
	inventoryReceived                     // it has reported what it has
	ackOverdue                            // it does not answer, or a record has waited too long for it
	caughtUp                              // no record waits for it
	recordsRejected                       // it takes no records
	reselected                            // it is selected again after it rejected
	holderEvents
)

// holderAction is what follows from an event.
type holderAction uint8

const (
	noAction      holderAction = iota
	sendOffer                  // send it an Offer with what there is
	sendQueued                 // send it what is not committed
	selectAnother              // avoid it for a while, and select another one
)

type holderTransition struct {
	next holderState
	do   holderAction
}

// holderTransitions say what follows from each event in each state of a holder.
var holderTransitions = [holderStates][holderEvents]holderTransition{
	selected: {
		holderConnected:    {offered, sendOffer},
		holderDisconnected: {selected, selectAnother},
		inventoryReceived:  {selected, noAction},
		ackOverdue:         {selected, selectAnother},
		caughtUp:           {selected, noAction},
		recordsRejected:    {rejected, selectAnother},
		reselected:         {selected, noAction},
	},
	offered: {
		holderConnected:    {offered, sendOffer},
		holderDisconnected: {selected, selectAnother},
		inventoryReceived:  {inSync, sendQueued},
		ackOverdue:         {offered, selectAnother},
		caughtUp:           {offered, noAction},
		recordsRejected:    {rejected, selectAnother},
		reselected:         {offered, noAction},
	},
	inSync: {
		holderConnected:    {offered, sendOffer},
		holderDisconnected: {selected, selectAnother},
		inventoryReceived:  {inSync, noAction},
		ackOverdue:         {lagging, selectAnother},
		caughtUp:           {inSync, noAction},
		recordsRejected:    {rejected, selectAnother},
		reselected:         {inSync, noAction},
	},
	lagging: {
		holderConnected:    {offered, sendOffer},
		holderDisconnected: {selected, selectAnother},
		inventoryReceived:  {lagging, noAction},
		ackOverdue:         {lagging, noAction},
		caughtUp:           {inSync, noAction},
		recordsRejected:    {rejected, selectAnother},
		reselected:         {lagging, noAction},
	},
	rejected: {
		holderConnected:    {rejected, noAction},
		holderDisconnected: {rejected, noAction},
		inventoryReceived:  {rejected, noAction},
		ackOverdue:         {rejected, noAction},
		caughtUp:           {rejected, noAction},
		recordsRejected:    {rejected, noAction},
		reselected:         {selected, noAction},
	},
}

// holder is a node that was selected to hold the origin's stream.
type holder struct {
	candidate    Candidate
	state        holderState
	stateSince   time.Duration
	isConnected  bool
	offeredAt    time.Duration
	rejectReason string

	stored   Ranges          // what is durable there, as it has reported
	acked    uint64          // all from where the sending began up to and without this are durable there, or left the queue
	next     uint64          // the next record to send
	inFlight map[uint64]bool // batches that are sent and not acknowledged, by their first records
}

// isReceiving reports whether it is sent all new records.
func (h *holder) isReceiving() bool { return h.state == inSync || h.state == lagging }

// isUnanswered reports whether it has not reported yet what it has.
func (h *holder) isAwaitingInventory() bool { return h.state == selected || h.state == offered }

// Holder describes a holder to commands. It is sent as a CBOR array and printed as JSON by field name: the
// order of the fields and the tags stay.
type Holder struct {
	_ struct{} `cbor:",toarray"`

	Name           string
	State          string `json:"Stand"`
	RejectReason   string `json:"Refusal"`
	Acked          uint64
	MissingRecords uint64 `json:"Lacks"` // that are still to be copied to it from disk
}

// Holders describes all holders, in the order of their names.
func (o *Origin) Holders() (holders []Holder) {
	for _, name := range slices.Sorted(maps.Keys(o.holders)) {
		h := o.holders[name]
		holders = append(holders, Holder{
			Name:           name,
			State:          holderStateNames[h.state],
			RejectReason:   h.rejectReason,
			Acked:          h.acked,
			MissingRecords: o.missingAt(h).Count(),
		})
	}
	return holders
}
