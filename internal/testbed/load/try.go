package load

import "time"

// Endpoint identifies a node and its addresses.
type Endpoint struct {
	Node    int
	Address string // HTTP address
	FastCGI string // FastCGI address
}

// Picker selects nodes for new connections, like the connection balancer in front of the nodes.
type Picker interface {
	// Pick returns the node that a client at a site connects to. ok is false while no node is known to serve. Pick must be
	// safe for concurrent use.
	Pick(site int) (endpoint Endpoint, ok bool)
}

// FixedEndpoint is a Picker that always selects the same HTTP address.
type FixedEndpoint string

// Pick returns the address.
func (f FixedEndpoint) Pick(int) (Endpoint, bool) { return Endpoint{Address: string(f)}, true }

// End specifies how a try ended.
type End uint8

// Ends of a try.
const (
	Answered     End = iota // complete response within the client's timeout
	Late                    // complete response after the client's timeout
	Unanswered              // no response within the client's timeout
	Dropped                 // the connection ended before the complete response
	Unsent                  // no connection, or the request was not completely written
	Disconnected            // the client disconnected before its timeout
)

// Try is one try of a client to send a request. Times count from the start of the run.
type Try struct {
	ID        uint64
	Request   int // index in the schedule
	Number    int // 0 for the first
	Endpoint  Endpoint
	Started   time.Duration
	Sent      time.Duration // time at which the last byte was written; -1: not sent
	Ended     time.Duration
	Deadline  time.Duration // end of the client's timeout
	End       End
	Status    int
	IsForeign bool // the client received the answer to another request
	HasExtra  bool // the client received bytes after the answer
}

// isRejected reports whether the client got a rejection in time.
func (t *Try) isRejected() bool {
	return t.End == Answered && (t.Status == 429 || t.Status == 503)
}

// isHandled reports whether the client got a success in time.
func (t *Try) isHandled() bool { return t.End == Answered && t.Status == 200 }

// ID returns the request ID of a try. It is the same in each run of a schedule.
func ID(request, number int) uint64 { return uint64(request+1)<<8 | uint64(number) }

// FromID returns the index of the request and the number of the try with the given ID.
func FromID(id uint64) (request, number int) { return int(id>>8) - 1, int(id & 0xff) }

// AppendID appends an ID in its wire format, 16 hexadecimal digits.
func AppendID(b []byte, id uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[id>>shift&15])
	}
	return b
}
