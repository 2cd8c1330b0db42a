// Package client is a node's end of the distribution. It follows one of the control processes of its file, keeps what it
// receives on disk, and hands the entries to an Applier, which puts them into effect. The same file leads commands to a control
// process: see Session.
//
// One goroutine, Run's, owns the connection and everything that is applied. Goroutines of a connection only read and write
// frames and hand events to it. Store and subscriber are shared with Status and the disk's writer, under Client.mu.
package client
