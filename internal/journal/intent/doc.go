// Package intent determines whether non-idempotent requests were executed, from their write-ahead records. The records
// cover a request from before its first attempt is sent until its client is notified of the outcome, and survive a crash.
//
// The proxy stores a Record before it sends an attempt and after each event of the request (package wal). A reader adds
// the records to an Assembler, which builds one Entry per request; a Merger does the same for records that are replicated
// on several nodes. Entry.State returns only what the records prove: an attempt counts as possibly sent from its intent
// until its end, or the server's execution record, proves more. Lost records never lead to a claim that the complete
// records would not support. Duplicate records do not either, unless they follow the completion of their entry: an
// Assembler discards a complete entry and starts a new one for a later record. A Merger ignores such a record.
//
// The package does no I/O and takes no locks: an Assembler or a Merger and its entries must be used by one goroutine at a
// time.
package intent
