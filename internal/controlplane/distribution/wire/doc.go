// Package wire implements the protocol of configuration distribution. Nodes, relays, root control processes and the commands
// that write or query configuration exchange its messages as frames of package framing. Send and Decode are the entry points;
// packages client and control call them.
//
// Messages are encoded as CBOR arrays: the order of a message's fields is part of the protocol, their names are not.
package wire
