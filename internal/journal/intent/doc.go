// Package intent says what is known of a non-idempotent request: from before its first attempt is sent to the outcome
// that its client was notified of, and after a crash.
//
// The proxy has a Record stored before it sends an attempt and after each event of the request (package wal stores them).
// Whoever reads records back adds them to an Assembler, which builds one Entry per request from them; a Merger does
// the same for records that several nodes hold. Entry.State says what may be claimed: an attempt counts as possibly sent
// from its intent on, until its end or the server's own execution record proves more. Records that are lost or come twice
// never lead to a claim that all records together would not support.
//
// The package does no I/O and takes no locks: an Assembler, a Merger and their entries belong to the goroutine that adds
// records.
package intent
