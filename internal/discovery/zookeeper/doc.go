// Package zookeeper reads a ZooKeeper registry in which servers stand as ephemeral nodes under one path, in place of
// discovery.
//
// Follow is what nodes, planners and control processes call: it runs a Reader, which keeps the registry's entries up to
// date by watches, passes the lists and what attempts show through an endpoints.Set, and reports what that announces to a
// Listener, from one goroutine. Entries are read by ParseEntry in the forms of Curator's service discovery, of Twitter's
// server sets, or as plain host:port.
package zookeeper
