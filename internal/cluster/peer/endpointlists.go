package peer

import "time"

const (
	maxListSources   = 4  // nodes that are queried for their lists
	listFrameReserve = 64 // bytes of a frame in addition to the list
)

// endpointLists exchanges cached endpoint lists, for nodes that start without one on their own disk. It is guarded by
// the Node's lock.
type endpointLists struct {
	current func() []byte // returns the list cached by this node; nil if there is none
	replies chan []byte   // lists of other nodes, non-nil while FetchEndpointLists runs
}

// SetEndpointList sets the function that returns this node's cached endpoint list, which is sent to nodes that request
// it. It must be called at most once, before other nodes can connect.
func (n *Node) SetEndpointList(current func() []byte) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lists.current = current
}

// FetchEndpointLists requests the cached endpoint lists of up to maxListSources connected nodes and returns those
// received within the timeout.
func (n *Node) FetchEndpointLists(timeout time.Duration) (lists [][]byte) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	replies := make(chan []byte, maxListSources)
	queried := n.requestEndpointLists(replies)
	defer func() {
		n.mu.Lock()
		n.lists.replies = nil
		n.mu.Unlock()
	}()
	for range queried {
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

// requestEndpointLists sends the queries, directs the responses to replies and returns the number of queried nodes. It
// locks mu.
func (n *Node) requestEndpointLists(replies chan []byte) (queried int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lists.replies = replies
	for _, open := range n.connections.open {
		if queried < maxListSources {
			queried++
			open[0].queueMessage(&endpointListQuery{})
		}
	}
	return queried
}

// handleEndpointList passes a response to FetchEndpointLists if it is waiting for one. It locks mu.
func (n *Node) handleEndpointList(m *endpointList) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case n.lists.replies <- m.Text: // a nil channel is never ready
	default:
	}
}

// handleEndpointListQuery responds with this node's list, or with an empty one if the list exceeds a frame. It locks
// mu, except while the list is built.
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
