package scale

import (
	"fmt"
	"os"
	"strings"
)

// meter sums the traffic of all connections of one loopback network, by the port of their accepting side. Connections from
// control processes or the discovery process to control processes are distinguished from those of nodes by the process that
// owns their dialing socket.
type meter struct {
	network   byte
	sums      map[uint16]flow // by port, as seen from the accepting side
	nonNode   flow            // as seen from the dialing side: connections of processes other than nodes to control processes
	last      map[uint64]flow // by cookie of the socket: its traffic at the last call of read
	isNonNode map[uint64]bool // by cookie of the dialing socket
}

const roleMembership role = "membership"

func newMeter(net int) *meter {
	return &meter{network: byte(net), sums: map[uint16]flow{}, last: map[uint64]flow{}, isNonNode: map[uint64]bool{}}
}

// read updates the sums. The traffic of a connection that has ended since the last call stays included up to that call.
// nonNode returns the ids of the processes other than nodes that connect to control processes.
func (m *meter) read(nonNode func() []int) error {
	seen, isNonNode, callers := map[uint64]flow{}, map[uint64]bool{}, []*socket{}
	err := forEachSocket(func(s *socket) {
		if s.localIP[0] != 127 {
			return
		}
		if s.remote == controlPort && s.remoteIP[0] == 127 && s.remoteIP[1] == m.network {
			callers = append(callers, &socket{cookie: s.cookie, inode: s.inode, flow: s.flow})
		}
		if s.localIP[1] != m.network {
			return
		}
		switch s.local {
		case discoveryPort, controlPort, memberPort, regionLinkPort, discoveryControlPort:
			seen[s.cookie] = s.flow
			sum := m.sums[s.local]
			sum.add(s.flow.minus(m.last[s.cookie]))
			m.sums[s.local] = sum
		}
	})
	if err != nil {
		return err
	}
	var inodes map[uint32]bool // read at most once, and only if there is a new connection
	for _, c := range callers {
		isOther, known := m.isNonNode[c.cookie]
		if !known {
			if inodes == nil {
				inodes = socketInodesOf(nonNode())
			}
			isOther = inodes[c.inode]
		}
		if isNonNode[c.cookie] = isOther; isOther {
			m.nonNode.add(c.flow.minus(m.last[c.cookie]))
			seen[c.cookie] = c.flow
		}
	}
	m.last, m.isNonNode = seen, isNonNode
	return nil
}

// socketInodesOf returns the inodes of the sockets that processes have open.
func socketInodesOf(pids []int) map[uint32]bool {
	inodes := map[uint32]bool{}
	for _, pid := range pids {
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue // the process has ended
		}
		for _, e := range entries {
			to, err := os.Readlink(dir + "/" + e.Name())
			var inode uint32
			if err == nil && strings.HasPrefix(to, "socket:") {
				fmt.Sscanf(to, "socket:[%d]", &inode)
				inodes[inode] = true
			}
		}
	}
	return inodes
}

// flows returns the traffic of each role, as seen from its own side.
func (m *meter) flows() map[role]flow {
	nodes := m.sums[discoveryPort].reversed()
	nodes.add(m.sums[controlPort].reversed().minus(m.nonNode))
	nodes.add(m.sums[regionLinkPort].reversed())
	control := m.sums[controlPort]
	control.add(m.sums[discoveryControlPort].reversed())
	discovery := m.sums[discoveryPort]
	discovery.add(m.sums[discoveryControlPort])
	members := m.sums[memberPort]
	bothSides := members.reversed()
	bothSides.add(members) // each connection joins two nodes, and both sides count
	return map[role]flow{roleNodes: nodes, roleControl: control, roleDiscovery: discovery, roleMembership: bothSides}
}
