package scale

import (
	"fmt"
	"os"
	"strings"
)

// meter adds up what passed on the connections of one net, by the port of their serving side. Connections to control
// processes that are no node's, but each other's or those of discovery's side, are told by who holds their calling end.
type meter struct {
	network   byte
	sums      map[uint16]flow // from the serving side
	nonNode   flow            // from the calling side: to control processes, of others than nodes
	last      map[uint64]flow
	isNonNode map[uint64]bool // by calling end: it is no node's
}

const roleMembership role = "membership"

func newMeter(net int) *meter {
	return &meter{network: byte(net), sums: map[uint16]flow{}, last: map[uint64]flow{}, isNonNode: map[uint64]bool{}}
}

// read brings the sums up to now. A connection that has ended since keeps what was counted of it. inner are the processes
// whose connections to control processes are no node's.
func (m *meter) read(inner func() []int) error {
	seen, whose, callers := map[uint64]flow{}, map[uint64]bool{}, []*socket{}
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
		case discoveryPort, controlPort, memberPort, cutPort, ownerPort:
			seen[s.cookie] = s.flow
			sum := m.sums[s.local]
			sum.add(s.flow.minus(m.last[s.cookie]))
			m.sums[s.local] = sum
		}
	})
	if err != nil {
		return err
	}
	var held map[uint32]bool // asked for once only, and only where a connection is new
	for _, c := range callers {
		is, known := m.isNonNode[c.cookie]
		if !known {
			if held == nil {
				held = socketInodesOf(inner())
			}
			is = held[c.inode]
		}
		if whose[c.cookie] = is; is {
			m.nonNode.add(c.flow.minus(m.last[c.cookie]))
			seen[c.cookie] = c.flow
		}
	}
	m.last, m.isNonNode = seen, whose
	return nil
}

// heldBy are the inodes of the sockets that processes hold.
func socketInodesOf(pids []int) map[uint32]bool {
	held := map[uint32]bool{}
	for _, pid := range pids {
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue // it has ended
		}
		for _, e := range entries {
			to, err := os.Readlink(dir + "/" + e.Name())
			var inode uint32
			if err == nil && strings.HasPrefix(to, "socket:") {
				fmt.Sscanf(to, "socket:[%d]", &inode)
				held[inode] = true
			}
		}
	}
	return held
}

// flows of the roles, each from its own side.
func (m *meter) flows() map[role]flow {
	nodes := m.sums[discoveryPort].reversed()
	nodes.add(m.sums[controlPort].reversed().minus(m.nonNode))
	nodes.add(m.sums[cutPort].reversed())
	control := m.sums[controlPort]
	control.add(m.sums[ownerPort].reversed())
	discovery := m.sums[discoveryPort]
	discovery.add(m.sums[ownerPort])
	members := m.sums[memberPort]
	both := members.reversed()
	both.add(members) // each connection has two nodes, and both their sides count
	return map[role]flow{roleNodes: nodes, roleControl: control, roleDiscovery: discovery, roleMembership: both}
}
