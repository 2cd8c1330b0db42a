package dispatch

import (
	"container/list"
	"time"

	"fernvane/internal/protocol/message"
)

const (
	// reservedDescriptors is the number of descriptors reserved for the standard streams, the listener, discovery, the
	// network poller and similar uses.
	reservedDescriptors = 14
	// minConnections is the lower bound of MaxConnections, regardless of the limits.
	minConnections = 8

	// runtimeReserveBytes is the memory reserved for the Go runtime and the decision module's tables.
	runtimeReserveBytes = 12 << 20
	// connMemoryBytes is the memory of one connection: a buffer of 8 KiB, two stacks and the state of its requests.
	connMemoryBytes = 8<<10 + 24<<10
	// connMemoryShare is the share of the remaining memory for connections. messageMemoryShare is the share for large
	// messages beyond the connections' buffers. The other half is headroom for the garbage collector.
	connMemoryShare    = 0.25
	messageMemoryShare = 0.25

	// spareDivisor and minSpare determine the connections reserved for clients whose requests are rejected immediately:
	// 1/spareDivisor of all connections, but at least minSpare.
	spareDivisor = 8
	minSpare     = 2
)

// Limits contains the resource limits of the machine that a node runs on.
type Limits struct {
	MemoryMB int // in MiB
	Sockets  int // number of file descriptors
}

// MaxConnections returns the total number of client and server connections that the limits allow.
func (l Limits) MaxConnections() int {
	byMemory := int(connMemoryShare * l.availableBytes() / connMemoryBytes)
	return max(min(l.Sockets-reservedDescriptors, byMemory), minConnections)
}

func (l Limits) availableBytes() float64 {
	return max(float64(l.MemoryMB<<20-runtimeReserveBytes), 0)
}

// descriptorBudget counts file descriptors and lists the client connections that can be evicted to free one.
//
// After a few spare connections are set aside, requests in flight and connections to servers are each limited to half of the
// remaining descriptors. The descriptors reserved for servers are not available to clients. Therefore one attempt of each
// request in flight can always have a server connection (a hedged attempt needs a second one and ends as NoDescriptor if
// there is none), and some client connections are always either idle and evictable or have a request that is rejected
// immediately.
type descriptorBudget struct {
	total            int
	free             int
	perSide          int                   // limit of requests in flight, and also of connections to servers
	freeForServers   int                   // part of perSide that connections to servers do not use
	idleClients      list.List             // evictable client connections
	idleAfterRequest int                   // connections in idleClients that have sent a request
	messages         *message.BufferBudget // memory for large messages
	changed          chan struct{}         // signaled when a descriptor becomes free or a connection becomes idle
}

func newDescriptorBudget(l Limits) descriptorBudget {
	total := l.MaxConnections()
	perSide := (total - max(total/spareDivisor, minSpare)) / 2
	messageBytes := max(int(messageMemoryShare*l.availableBytes()), message.MaxHead+message.MaxRequestBody)
	return descriptorBudget{
		total:          total,
		free:           total,
		perSide:        perSide,
		freeForServers: perSide,
		messages:       message.NewBufferBudget(messageBytes),
		changed:        make(chan struct{}, 1),
	}
}

func (b *descriptorBudget) notify() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// MessageBudget returns the memory budget for large messages that all connections share.
func (d *Dispatcher) MessageBudget() *message.BufferBudget { return d.budget.messages }

// AcquireClientDescriptor waits for a descriptor for a new client connection. While there is none, it evicts the client
// connections that have been idle for longest. The caller releases the descriptor with Client.Release, or with
// ReleaseClientDescriptor if it accepts no connection.
func (d *Dispatcher) AcquireClientDescriptor() {
	for {
		d.mu.Lock()
		if d.budget.free > d.budget.freeForServers {
			d.budget.free--
			d.mu.Unlock()
			return
		}
		d.evictIdleClient(firstRequestGrace)
		d.unlock()
		select {
		case <-d.budget.changed:
		case <-time.After(firstRequestGrace):
		}
	}
}

// ReleaseClientDescriptor releases a descriptor that was acquired and not used for a connection.
func (d *Dispatcher) ReleaseClientDescriptor() {
	d.mu.Lock()
	defer d.unlock()
	d.freeClientDescriptor()
}

func (d *Dispatcher) freeClientDescriptor() {
	d.budget.free++
	d.budget.notify()
}

// AcquireServerDescriptor acquires a descriptor for a new connection to a server and reports success. If none is free, it
// closes the server connection that has been idle for longest.
func (d *Dispatcher) AcquireServerDescriptor() bool {
	d.mu.Lock()
	defer d.unlock()
	if d.budget.freeForServers == 0 && !d.evictIdleServerConn() {
		return false
	}
	d.budget.freeForServers--
	d.budget.free--
	return true
}

// ReleaseServerDescriptor releases the descriptor of a server connection that the caller has closed.
func (d *Dispatcher) ReleaseServerDescriptor() {
	d.mu.Lock()
	defer d.unlock()
	d.freeServerDescriptor()
}

func (d *Dispatcher) freeServerDescriptor() {
	d.budget.freeForServers++
	d.freeClientDescriptor()
}

// EvictIdle closes one idle connection: a client connection if one is evictable, otherwise a server connection. It is called
// when the operating system refuses a descriptor that the limits allow.
func (d *Dispatcher) EvictIdle() {
	d.mu.Lock()
	defer d.unlock()
	if !d.evictIdleClient(firstRequestGrace) {
		d.evictIdleServerConn()
	}
}
