package dispatch

import "fernvane/policy"

// End is how a hop's use of its connection ended.
type End uint8

const (
	Answered   End = iota // a whole 200
	Erred                 // any other whole answer
	Declined              // an answer that finds fault with the request itself
	TurnedAway            // an answer that says that nothing was begun; the last of the whole ones
	Refused               // no connection: refused at once
	NeverUp               // no connection within the time for it
	Unsent                // a new connection broke before the last byte was written
	Stale                 // a kept one did; that says nothing of its server now
	NoRoom                // no connection: this node had no descriptor left for it
	NoTime                // the hop's time was up before the last byte was written, or its server had left
	CutOff                // broken or ended after the last byte, before the whole answer
	Garbled               // the answer cannot be read
	Silent                // written, and no whole answer within the hop's time
	Unkept                // the journal has not kept that it was about to be sent, so it was not
	GivenUp               // the operation was answered otherwise while the hop was out
	ends
)

var endings = [ends]struct {
	outcome policy.Outcome
	name    string
}{
	Answered:   {policy.Success, "answered"},
	Erred:      {policy.Failure, "erred"},
	Declined:   {policy.Declined, "declined"},
	TurnedAway: {policy.Overloaded, "turned away"},
	Refused:    {policy.Unreachable, "refused"},
	NeverUp:    {policy.Unreachable, "never up"},
	Unsent:     {policy.Unreachable, "unsent"},
	Stale:      {policy.Void, "stale"},
	NoRoom:     {policy.Void, "no room"},
	NoTime:     {policy.Void, "no time"},
	Unkept:     {policy.Void, "not kept"},
	CutOff:     {policy.Broken, "cut off"},
	Garbled:    {policy.Broken, "garbled"},
	Silent:     {policy.TimedOut, "silent"},
	GivenUp:    {policy.Withdrawn, "given up"},
}

// Outcome is what an end means to the module.
func (e End) Outcome() policy.Outcome { return endings[e].outcome }

func (e End) String() string { return endings[e].name }
