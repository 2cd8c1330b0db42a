// Package wire is the protocol by which configuration is distributed: messages as frames of package framing, between nodes,
// relays and root control processes, and with the commands that write and query. Send and Decode are its entry points; packages
// client and control are its callers.
//
// Messages are CBOR arrays: the order of a message's fields is part of the protocol, their names are not.
package wire
