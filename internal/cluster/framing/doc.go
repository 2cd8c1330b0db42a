// Package framing carries messages between processes of this program, in both directions on one connection. A frame is
// the length of its body (4 bytes, big-endian), its kind (1 byte), the body as CBOR and, where the protocol has
// checksums, a CRC-32C over kind and body (4 bytes, big-endian, counted in the length).
//
// Each protocol of frames (between nodes, planners, control processes) names its version, its kinds and its bounds in a
// Protocol. Both sides begin with a Hello; a side that ends a connection for a reason says so in a Rejection.
package framing
