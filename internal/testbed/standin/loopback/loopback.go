// Package loopback reserves a network 127.x.0.0/16 for each run of the testbed, so that concurrent runs never share an address.
package loopback

import (
	"fmt"
	"net"
	"os"
)

// The networks 127.x.0.0/16 that runs use.
const (
	firstNetwork = 16
	lastNetwork  = 250
)

// lockPort is the port on which a run listens while its network is reserved.
const lockPort = 8999

// Network is a reserved network.
type Network struct {
	prefix string // "127.x"
	lock   net.Listener
}

// Reserve returns a network that no other run on this machine uses, until Release.
func Reserve() (*Network, error) {
	var lastErr error
	pid := os.Getpid()
	for i := range lastNetwork - firstNetwork {
		n := &Network{prefix: fmt.Sprintf("127.%d", firstNetwork+(pid+i)%(lastNetwork-firstNetwork))}
		if n.lock, lastErr = net.Listen("tcp", n.Address(254, 254, lockPort)); lastErr == nil {
			return n, nil
		}
	}
	return nil, fmt.Errorf("reserve loopback network: all are in use: %w", lastErr)
}

// Address returns an address of the network: third and fourth are the last two numbers of the IP address.
func (n *Network) Address(third, fourth, port int) string {
	return fmt.Sprintf("%s.%d.%d:%d", n.prefix, third, fourth, port)
}

// Release frees the network for other runs.
func (n *Network) Release() { n.lock.Close() }
