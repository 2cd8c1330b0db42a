package peer

import "time"

const (
	maxListSources   = 4  // nodes that are asked for their lists
	listFrameReserve = 64 // bytes that a frame needs beside the list
)

// endpointLists serves nodes that start without an endpoint list on their own disk. It is under the Node's lock.
type endpointLists struct {
	current func() []byte // the list as it is cached here; nil: none is
	replies chan []byte   // lists of other nodes, while they are asked for
}

// SetEndpointList says how to get the endpoint list as this node has it cached, for nodes that ask. It is called at most
// once, before other nodes may ask.
func (n *Node) SetEndpointList(current func() []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lists.current = current
}

// FetchEndpointLists asks a few other nodes for the endpoint lists that they have cached, and returns what came in time.
func (n *Node) FetchEndpointLists(timeout time.Duration) (lists [][]byte) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	replies := make(chan []byte, maxListSources)
	asked := n.requestEndpointLists(replies)
	defer func() {
		n.mu.Lock()
		n.lists.replies = nil
		n.mu.Unlock()
	}()
	for range asked {
		select {
		case text := <-replies:
			if len(text) > 0 {
				lists = append(lists, text)
			}
		case <-timer.C:
			return lists
		}
	}
	return lists
}

// askForLists has answers go to replies and returns how many nodes were asked. It locks mu.
func (n *Node) requestEndpointLists(replies chan []byte) (asked int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lists.replies = replies
	for _, open := range n.connections.open {
		if asked < maxListSources {
			asked++
			open[0].queueMessage(&endpointListQuery{})
		}
	}
	return asked
}

// handleEndpointList hands on an answer while FetchEndpointLists waits for one. It locks mu.
func (n *Node) handleEndpointList(m *endpointList) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case n.lists.replies <- m.Text: // never ready while it is nil
	default:
	}
}

// handleEndpointListQuery answers with this node's list, without one that no frame holds. It locks mu, though not while
// the list is made.
func (n *Node) handleEndpointListQuery(c *connection) {
	n.mu.Lock()
	current := n.lists.current
	n.mu.Unlock()
	var text []byte
	if current != nil {
		text = current()
	}
	if len(text) > maxBodyBytes-listFrameReserve {
		text = nil
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.now()
	n.table.RecordContact(now, c.name)
	c.queueMessage(&endpointList{Text: text})
	n.applyChanges(now)
}
