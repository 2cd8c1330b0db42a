// Package planner runs one planner process. It follows discovery or a registry, receives reports from forwarders, computes plans at
// a fixed interval and sends each forwarder the changes of its plan. The package contains the network and clock code; package plan
// contains the decisions. Process is the entry point.
//
// Server.mu guards the state shared by these goroutines: two per connection (one receives reports, one sends plans), one that accepts
// connections, one that computes plans, one that logs counts and one that follows discovery or the registry.
package planner
