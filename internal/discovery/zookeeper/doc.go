// Package zookeeper reads a ZooKeeper registry that replaces discovery. Servers are registered there as ephemeral nodes
// under one path.
//
// Nodes, planners and control processes call Follow. It runs a Reader, which keeps the registry's entries up to date by
// watches, passes the lists and the results of attempts through an endpoints.Set, and reports the announcements of the Set
// to a Listener from one goroutine. ParseEntry decodes entries in the formats of Curator's service discovery and of
// Twitter's server sets, and entries that consist of host:port.
package zookeeper
