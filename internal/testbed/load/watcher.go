package load

import "time"

// Watcher is notified of the events of each try. Its methods must be safe for concurrent use and must not retain the Try.
type Watcher interface {
	// Sending reports that the client starts to write the request.
	Sending(t *Try)
	// Sent reports that the client wrote the last byte.
	Sent(t *Try)
	// Unread reports that the connection was closed before the node read the request. The request is sent again if the
	// client's timeout allows it.
	Unread(t *Try)
	// Ended reports that the try ended, with its End.
	Ended(t *Try)
	// UnsolicitedResponse reports bytes on a connection with no request in flight.
	UnsolicitedResponse(endpoint Endpoint)
	// HasRunSince reports whether the node's process has run without a restart since a given time.
	HasRunSince(endpoint Endpoint, since time.Duration) bool
}

// NopWatcher is a Watcher that ignores all events.
type NopWatcher struct{}

// Sending does nothing.
func (NopWatcher) Sending(*Try) {}

// Sent does nothing.
func (NopWatcher) Sent(*Try) {}

// Unread does nothing.
func (NopWatcher) Unread(*Try) {}

// Ended does nothing.
func (NopWatcher) Ended(*Try) {}

// UnsolicitedResponse does nothing.
func (NopWatcher) UnsolicitedResponse(Endpoint) {}

// HasRunSince returns true.
func (NopWatcher) HasRunSince(Endpoint, time.Duration) bool { return true }
