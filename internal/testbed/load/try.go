package load

import "time"

// Endpoint is where a client's connection to a node leads.
type Endpoint struct {
	Node    int
	Address string // for HTTP
	FastCGI string // address for FastCGI
}

// Picker selects nodes for new connections, as the connection balancer before the nodes does.
type Picker interface {
	// Pick returns the node that a client of a site connects to; ok is false while no node is known to serve. It is
	// called from many goroutines.
	Pick(site int) (endpoint Endpoint, ok bool)
}

// FixedEndpoint is a Picker of a single address.
type FixedEndpoint string

// Pick returns the address.
func (f FixedEndpoint) Pick(int) (Endpoint, bool) { return Endpoint{Address: string(f)}, true }

// End is how a try ended.
type End uint8

// Ends of a try.
const (
	Answered     End = iota // a complete response, with its status
	Late                    // a complete response after the client's timeout
	Unanswered              // the client's timeout passed
	Dropped                 // the connection ended without a complete response
	Unsent                  // no connection, or it broke before the last byte was written
	Disconnected            // the client disconnected before its timeout
)

// Try is one sending of a request. Times count from the start of the run.
type Try struct {
	ID        uint64
	Request   int // place in the schedule
	Number    int // 0 for the first
	Endpoint  Endpoint
	Started   time.Duration
	Sent      time.Duration // last byte written; -1: never
	Ended     time.Duration
	Deadline  time.Duration // when the client gives up
	End       End
	Status    int
	IsForeign bool // the answer was made for another request
	HasExtra  bool // bytes came after the answer
}

// isRejected reports whether the try was answered in time with a rejection.
func (t *Try) isRejected() bool {
	return t.End == Answered && (t.Status == 429 || t.Status == 503)
}

// isHandled reports whether the try was answered in time with success.
func (t *Try) isHandled() bool { return t.End == Answered && t.Status == 200 }

// ID returns the request ID of a try: the same for each run of a schedule.
func ID(request, number int) uint64 { return uint64(request+1)<<8 | uint64(number) }

// FromID returns the request and the number of the try with the ID.
func FromID(id uint64) (request, number int) { return int(id>>8) - 1, int(id & 0xff) }

// AppendID appends an ID in its form on the wire, 16 hexadecimal digits.
func AppendID(b []byte, id uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		b = append(b, digits[id>>shift&15])
	}
	return b
}
