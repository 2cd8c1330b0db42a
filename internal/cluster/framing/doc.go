// Package framing implements the framed message protocol between this program's processes. Messages are sent in both
// directions on one connection. A frame consists of the length of its body (4 bytes, big-endian), its kind (1 byte),
// the body as CBOR and, if the protocol has checksums, a CRC-32C over kind and body (4 bytes, big-endian, included in
// the length).
//
// Each protocol (between nodes, planners, control processes) defines its version, kinds and bounds in a Protocol. Both
// sides first send a Hello. A side that closes a connection because of an error sends the reason in a Rejection.
package framing
