package peer

import (
	"sync"
	"time"

	"fernvane/internal/cluster/framing"
)

const (
	maxQueuedBytes = 16 << 20 // of messages on one connection
	maxPendingAcks = 256      // batches from one connection that wait for the disk
)

// connection is one connection with another node.
type connection struct {
	conn        *framing.Conn
	name        string        // of the other node
	isDialed    bool          // by this node
	lastWanted  time.Duration // if it was dialed; under the Node's lock
	pendingAcks chan pendingAck

	wake chan struct{} // has the writer look at the queue

	mu          sync.Mutex
	queue       []any // messages
	queuedBytes int
	isClosed    bool
}

func newConnection(conn *framing.Conn, name string, isDialed bool) *connection {
	return &connection{
		conn:        conn,
		name:        name,
		isDialed:    isDialed,
		pendingAcks: make(chan pendingAck, maxPendingAcks),
		wake:        make(chan struct{}, 1),
	}
}

// queueMessage has a message sent. It does not block: a connection on which too much waits is closed, without a log line
// but the debug one of each connection that ends.
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

// close ends the connection; its reader and writer end with it.
func (c *connection) close() {
	c.mu.Lock()
	c.isClosed = true
	c.mu.Unlock()
	c.conn.Close()
}

// writeQueued sends queued messages until the connection or its reader ends.
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
