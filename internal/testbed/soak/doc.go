// Package soak tests the graceful shutdown of real node processes under load. It checks each stop by the observations of the clients and
// servers and by the node's journal. A Plan holds everything that varies between runs, drawn from a seed: settings, clients, faults of
// servers and of discovery, and signals. One run starts one node with stand-in servers and discovery and sends it signals. A node that has
// not exited at the earliest time at which the protocol allows the platform to kill it (Plan.KillAfter) violates a rule and is killed.
// Clients continue to use their connections until the node closes them.
package soak
