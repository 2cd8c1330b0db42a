package peer

import (
	"time"
)

// SetEndpointList tells how to get the list of servers as this node keeps it, for those who ask.
func (p *Node) SetEndpointList(newest func() []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = newest
}

// FetchEndpointLists asks a few other nodes for the lists of servers that they keep, and returns what came in time.
func (p *Node) FetchEndpointLists(most time.Duration) (texts [][]byte) {
	by := time.NewTimer(most)
	defer by.Stop()
	listed := make(chan []byte, fetchMost)
	p.mu.Lock()
	p.listed = listed
	asked := 0
	for _, all := range p.links {
		if asked < fetchMost {
			asked++
			all[0].put(&listAsk{})
		}
	}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.listed = nil
		p.mu.Unlock()
	}()
	for range asked {
		select {
		case text := <-listed:
			if len(text) > 0 {
				texts = append(texts, text)
			}
		case <-by.C:
			return texts
		}
	}
	return texts
}
