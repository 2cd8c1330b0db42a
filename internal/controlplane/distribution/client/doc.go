// Package client implements a node's client of configuration distribution. It subscribes to one of the control processes of
// its configuration file, persists the received entries, and passes them to an Applier, which puts them into effect. Commands
// connect to a control process with the same file: see Session.
//
// The goroutine of Client.Run owns the connection and the state of what is applied. The goroutines of a connection only read and
// write frames and send events to it. Client.mu guards the store and the subscriber, which Status and the disk's writer also use.
package client
