// Package shadow evaluates candidate settings beside the settings in effect and counts how the decisions differ. Operators
// use it to assess a change of settings before they apply it.
//
// A Module wraps the decision module and returns its decisions unchanged. Like the decision module, it is called with the
// Dispatcher's lock held. A Candidate contains the candidate settings and the counts and is safe for concurrent use.
package shadow
