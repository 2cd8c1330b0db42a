package dispatch

import "fernvane/policy"

// AttemptResult is how a hop's use of its connection ended.
type AttemptResult uint8

const (
	Succeeded         AttemptResult = iota // a whole 200
	ErrorResponse                          // any other whole answer
	RequestFault                           // an answer that finds fault with the request itself
	NotStarted                             // an answer that says that nothing was begun; the last of the whole ones
	ConnectRefused                         // no connection: refused at once
	ConnectTimeout                         // no connection within the time for it
	WriteFailed                            // a new connection broke before the last byte was written
	StaleConnection                        // a kept one did; that says nothing of its server now
	NoDescriptor                           // no connection: this node had no descriptor left for it
	ExpiredUnsent                          // the hop's time was up before the last byte was written, or its server had left
	ConnectionLost                         // broken or ended after the last byte, before the whole answer
	MalformedResponse                      // the answer cannot be read
	ResponseTimeout                        // written, and no whole answer within the hop's time
	JournalFailed                          // the journal has not kept that it was about to be sent, so it was not
	Abandoned                              // the operation was answered otherwise while the hop was out
	attemptResultCount
)

var attemptResults = [attemptResultCount]struct {
	outcome policy.Outcome
	name    string
}{
	Succeeded:         {policy.Success, "answered"},
	ErrorResponse:     {policy.Failure, "erred"},
	RequestFault:      {policy.ClientError, "declined"},
	NotStarted:        {policy.Overloaded, "turned away"},
	ConnectRefused:    {policy.Unreachable, "refused"},
	ConnectTimeout:    {policy.Unreachable, "never up"},
	WriteFailed:       {policy.Unreachable, "unsent"},
	StaleConnection:   {policy.NotStarted, "stale"},
	NoDescriptor:      {policy.NotStarted, "no room"},
	ExpiredUnsent:     {policy.NotStarted, "no time"},
	JournalFailed:     {policy.NotStarted, "not kept"},
	ConnectionLost:    {policy.ConnectionBroken, "cut off"},
	MalformedResponse: {policy.ConnectionBroken, "garbled"},
	ResponseTimeout:   {policy.TimedOut, "silent"},
	Abandoned:         {policy.Canceled, "given up"},
}

// Outcome is what an end means to the module.
func (e AttemptResult) Outcome() policy.Outcome { return attemptResults[e].outcome }

func (e AttemptResult) String() string { return attemptResults[e].name }
