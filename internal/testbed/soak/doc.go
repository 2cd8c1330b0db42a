// Package soak tests the graceful shutdown of real node processes under load. It checks each stop by the observations of the clients and
// servers and by the node's journal. A Plan holds everything that varies between runs, drawn from a seed: settings, clients, faults of
// servers and of discovery, and signals. One run starts one node with stand-in servers and discovery, sends it signals, and kills it at
// the earliest time that the protocol allows. Clients continue to use their connections until then.
package soak
