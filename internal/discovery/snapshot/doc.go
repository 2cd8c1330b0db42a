// Package snapshot stores a node's endpoint list on disk, so that a node that starts while no source is reachable has an
// initial list. Package staleness decides how far such a list is trusted.
//
// A Store is a folder of generations with one file each. A generation is either complete or absent; the newest complete one
// is read at startup. Package proxy owns a Store and writes to it from one goroutine at a time. The commands of
// `fernvane snapshot` may read the folder while a node writes to it. Their prune command also removes files and must not run
// on a folder that a node writes to.
//
// # Format
//
// A file consists of the magic bytes, a version (big endian), the length of the body and a checksum of everything else
// (little endian, Castagnoli), followed by the body: a Snapshot in CBOR whose structs are encoded as arrays. The order of
// their fields is part of the format.
package snapshot
