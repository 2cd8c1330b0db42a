package load

import "time"

// Watcher is notified of each try. Its methods are called from many goroutines and must not keep a Try.
type Watcher interface {
	// Sending reports that the first byte is about to be written.
	Sending(t *Try)
	// Sent reports that the last byte was written.
	Sent(t *Try)
	// Unread reports that the connection was closed before the node read the request, which is sent again if there is time.
	Unread(t *Try)
	// Ended reports that the try ended as its End says.
	Ended(t *Try)
	// UnsolicitedResponse reports that bytes came on a connection with no request in flight.
	UnsolicitedResponse(endpoint Endpoint)
	// HasRunSince reports whether the node's process has run without interruption since a time.
	HasRunSince(endpoint Endpoint, since time.Duration) bool
}

// NopWatcher is a Watcher that does nothing.
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
