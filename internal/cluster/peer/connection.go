package peer

import (
	"sync"
	"time"

	"fernvane/internal/cluster/framing"
	"fernvane/internal/cluster/membership"
)

const (
	maxQueuedBytes = 8 << 20 // of queued messages per connection
	maxPendingAcks = 256     // batches per connection that wait for the disk
)

// connection is an established connection with another node.
type connection struct {
	conn        *framing.Conn
	name        string        // of the other node
	incarnation int64         // of the other node's process, as it last reported it; guarded by the Node's lock
	isDialed    bool          // opened by this node
	lastWanted  time.Duration // of a dialed connection; guarded by the Node's lock
	pendingAcks chan pendingAck

	wake chan struct{} // signals the writer that messages are queued

	mu          sync.Mutex
	queue       []any // messages
	queuedBytes int
	isClosed    bool
}

func newConnection(conn *framing.Conn, remote membership.Member, isDialed bool) *connection {
	return &connection{
		conn:        conn,
		name:        remote.Name,
		incarnation: remote.Incarnation,
		isDialed:    isDialed,
		pendingAcks: make(chan pendingAck, maxPendingAcks),
		wake:        make(chan struct{}, 1),
	}
}

// queueMessage queues a message for sending and does not block. A connection whose queue exceeds maxQueuedBytes is
// closed; the log contains only the debug line about the end of the connection, not this reason.
func (c *connection) queueMessage(message any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isClosed {
		return
	}
	c.queuedBytes += queuedBytes(message)
	if c.queuedBytes > maxQueuedBytes {
		c.isClosed = true
		go c.conn.Close()
		return
	}
	c.queue = append(c.queue, message)
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// close closes the connection, which terminates its reader and writer.
func (c *connection) close() {
	c.mu.Lock()
	c.isClosed = true
	c.mu.Unlock()
	c.conn.Close()
}

// writeQueued sends queued messages until sending fails or the reader has terminated.
func (c *connection) writeQueued(readerDone <-chan struct{}) {
	for {
		select {
		case <-readerDone:
			return
		case <-c.wake:
		}
		for _, message := range c.drainQueue() {
			if c.conn.Send(kindOf(message), message) != nil {
				c.conn.Close()
				return
			}
		}
	}
}

func (c *connection) drainQueue() []any {
	c.mu.Lock()
	defer c.mu.Unlock()
	queue := c.queue
	c.queue = nil
	c.queuedBytes = 0
	return queue
}
