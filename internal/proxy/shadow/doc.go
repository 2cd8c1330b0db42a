// Package shadow evaluates what the decision module would decide under candidate settings, while it decides under its own,
// and counts how the decisions differ. Operators use it before they change settings.
//
// A Module stands in place of the decision module and returns its decisions unchanged; as the module itself, it is called
// with the Dispatcher's lock held. A Candidate holds the settings and the counts; it may be used from any goroutine.
package shadow
