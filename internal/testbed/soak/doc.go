// Package soak stops real node processes while clients use them, and checks what the clients, the servers and the journal saw of each
// stop. A seed draws everything that varies: settings, clients, faults of servers and of discovery, and the signals (plan.go). One run
// starts one node with stand-in servers and discovery, sends it signals, and kills it at the earliest moment that the protocol allows.
// Clients go on using their connections until then.
package soak
