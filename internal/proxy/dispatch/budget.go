package dispatch

import (
	"container/list"
	"time"

	"fernvane/internal/protocol/message"
)

const (
	// reservedDescriptors are for the standard streams, the listener, discovery, the poller and the like.
	reservedDescriptors = 14
	// minConnections is how many connections a node has whatever its limits say.
	minConnections = 8

	// runtimeReserveBytes is kept for the Go runtime and the decision module's tables.
	runtimeReserveBytes = 12 << 20
	// connMemoryBytes is what a connection takes: its buffer of 8 KB, two stacks and the state of its requests.
	connMemoryBytes = 8<<10 + 24<<10
	// connMemoryShare is the share of the remaining memory for connections, and messageMemoryShare that for large messages
	// beyond the connections' buffers. The garbage collector needs the other half.
	connMemoryShare    = 0.25
	messageMemoryShare = 0.25

	// spareDivisor and minSpare say how many connections are kept for clients whose requests are rejected at once: one in
	// so many, and at least so many.
	spareDivisor = 8
	minSpare     = 2
)

// Limits are the limits of the machine that a node runs on.
type Limits struct {
	MemoryMB int
	Sockets  int // file descriptors
}

// MaxConnections returns how many connections, of clients and to servers, the limits allow.
func (l Limits) MaxConnections() int {
	byMemory := int(connMemoryShare * l.availableBytes() / connMemoryBytes)
	return max(min(l.Sockets-reservedDescriptors, byMemory), minConnections)
}

func (l Limits) availableBytes() float64 {
	return max(float64(l.MemoryMB<<20-runtimeReserveBytes), 0)
}

// descriptorBudget counts file descriptors and keeps the connections that can be closed to free one.
//
// Requests in flight and connections to servers are limited alike, each by half of what remains beside a few spare
// connections. What servers may take is not given to clients. So there is a connection to a server for one attempt of
// each request in flight (a hedged attempt needs a second, and ends as NoDescriptor if there is none), and of the clients'
// connections some always are either idle, and can be closed, or carry a request that is rejected at once.
type descriptorBudget struct {
	total            int
	free             int
	perSide          int // limit of requests in flight, and of connections to servers
	freeForServers   int // of perSide, not yet taken by connections to servers
	idleClients      list.List
	idleAfterRequest int                   // clients' connections in idleClients that have had a request
	messages         *message.BufferBudget // memory for large messages
	changed          chan struct{}         // receives when a descriptor becomes free or a connection idle
}

func newDescriptorBudget(l Limits) descriptorBudget {
	total := l.MaxConnections()
	perSide := (total - max(total/spareDivisor, minSpare)) / 2
	messageBytes := max(int(messageMemoryShare*l.availableBytes()), message.MaxHead+message.MaxBody)
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

// MessageBudget returns the memory that all connections share for large messages.
func (d *Dispatcher) MessageBudget() *message.BufferBudget { return d.budget.messages }

// AcquireClientDescriptor waits until there is a descriptor to accept a client's connection with. It closes the longest
// idle connections of clients for it. The caller gives the descriptor back by Client.Release, or, if no connection came,
// by ReleaseClientDescriptor.
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

// ReleaseClientDescriptor gives back a descriptor that no connection came for.
func (d *Dispatcher) ReleaseClientDescriptor() {
	d.mu.Lock()
	defer d.unlock()
	d.freeClientDescriptor()
}

func (d *Dispatcher) freeClientDescriptor() {
	d.budget.free++
	d.budget.notify()
}

// AcquireServerDescriptor takes a descriptor for a new connection to a server, if need be by closing the longest idle one
// to any server. It reports whether there is one.
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

// ReleaseServerDescriptor gives back the descriptor of a connection to a server that the caller has closed.
func (d *Dispatcher) ReleaseServerDescriptor() {
	d.mu.Lock()
	defer d.unlock()
	d.freeServerDescriptor()
}

func (d *Dispatcher) freeServerDescriptor() {
	d.budget.freeForServers++
	d.freeClientDescriptor()
}

// EvictIdle closes one idle connection, of a client or else to a server. It is called when the system has refused a
// descriptor that the limits allow.
func (d *Dispatcher) EvictIdle() {
	d.mu.Lock()
	defer d.unlock()
	if !d.evictIdleClient(firstRequestGrace) {
		d.evictIdleServerConn()
	}
}
