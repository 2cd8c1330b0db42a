// Package intent says what is known of a non-idempotent request: from before its first attempt is sent to the outcome
// that its client was notified of, and after a crash.
//
// The proxy has a Record stored before it sends an attempt and after each event of the request (package wal stores them).
// Whoever reads records back adds them to an Assembler, which builds one Entry per request from them; a Merger does
// the same for records that several nodes hold. Entry.State says what may be claimed: an attempt counts as possibly sent
// from its intent on, until its end or the server's own execution record proves more. Lost records lead to no claim that
// all records together would not support. Nor do records that come twice, as long as their entry is not complete: an
// Assembler forgets a complete entry, and begins another one with a record that comes after it. A Merger passes such a
// record over.
//
// The package does no I/O and takes no locks: an Assembler, a Merger and their entries belong to the goroutine that adds
// records.
package intent
