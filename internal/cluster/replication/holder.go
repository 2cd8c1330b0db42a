package replication

import (
	"maps"
	"slices"
	"time"
)

// holderState is the state of a replica holder from the origin's point of view.
type holderState uint8

const (
	selected holderState = iota // selected, not connected yet
	offered                     // sent an Offer, its Inventory is awaited
	inSync                      // receives all new records
	lagging                     // receives all new records, but has not acknowledged one in time
	rejected                    // has rejected records
	holderStates
)

// HolderInSync is the State of a Holder that receives all new records and acknowledges them in time.
const HolderInSync = "level"

// holderStateNames are printed by commands and in log lines, and sent in a Holder (JSON key "Stand"), so they must not
// change.
var holderStateNames = [holderStates]string{selected: "called", offered: "offered", inSync: HolderInSync, lagging: "late", rejected: "refused"}

// holderEvent is an input of a holder's state machine.
type holderEvent uint8

const (
	holderConnected    holderEvent = iota // a connection to the holder is established
	holderDisconnected                    // the last connection to the holder is closed
	inventoryReceived                     // the holder has reported its ranges
	ackOverdue                            // the holder does not reply, or has not acknowledged a record in time
	caughtUp                              // the holder has acknowledged all records
	recordsRejected                       // the holder rejects records
	reselected                            // the holder is selected again after it rejected records
	holderEvents
)

// holderAction is the output of a holder's state machine.
type holderAction uint8

const (
	noAction      holderAction = iota
	sendOffer                  // send the holder an Offer with the stored ranges
	sendQueued                 // send the holder all uncommitted records that are in the queue
	selectAnother              // avoid the holder for avoidDuration and select another one
)

type holderTransition struct {
	next holderState
	do   holderAction
}

// holderTransitions gives the next state and the action for each event in each state of a holder.
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

// holder is a node that was selected to store a replica of the origin's stream.
type holder struct {
	candidate    Candidate
	state        holderState
	stateSince   time.Duration
	isConnected  bool
	incarnation  int64 // of the node when it was last connected; 0 before that
	offeredAt    time.Duration
	rejectReason string

	stored   Ranges          // reported by the holder as durable
	acked    uint64          // all records before this and since the start of sending are durable there or were dropped from the queue
	next     uint64          // the next record to send
	inFlight map[uint64]bool // unacknowledged batches, by the number of their first record
}

// isReceiving reports whether the holder is sent all new records.
func (h *holder) isReceiving() bool { return h.state == inSync || h.state == lagging }

// isAwaitingInventory reports whether the holder has not yet reported its ranges.
func (h *holder) isAwaitingInventory() bool { return h.state == selected || h.state == offered }

// Holder describes a replica holder to commands. It is sent as a CBOR array and printed as JSON by field name, so the
// order of the fields, their names and their tags must not change.
type Holder struct {
	_ struct{} `cbor:",toarray"`

	Name           string
	State          string `json:"Stand"`
	RejectReason   string `json:"Refusal"`
	Acked          uint64
	MissingRecords uint64 `json:"Lacks"` // number of records that remain to be copied from disk
}

// Holders returns descriptions of all holders, sorted by name.
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
