// Package snapshot stores a node's endpoint list on disk, so that a node that starts while no source can be reached has a
// list to begin with. How far such a list is trusted is decided in package staleness.
//
// A Store is a folder with generations, one file each. A generation is complete or not there; the newest complete one is
// read at the start. Package proxy owns a Store and writes from one goroutine at a time; the commands of
// `fernvane snapshot` read the folder, also while a node writes to it; prune also removes files, and is not for a folder
// that a node writes to.
//
// # Format
//
// A file holds the magic bytes, a version (big endian), the length of the body and a checksum over everything else
// (little endian, Castagnoli), and the body: a Snapshot in CBOR, whose structs are arrays. The order of their fields is
// part of the format.
package snapshot
