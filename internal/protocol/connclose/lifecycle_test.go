package connclose

import (
	"fmt"
	"testing"
)

// model tracks the requests and the close of a connection independently of the Lifecycle.
type model struct {
	Lifecycle
	started, open  int // requests read in part, and admitted requests that are not answered
	closed         bool
	disconnected   bool
	intakeStopped  bool
	closeRequested bool
}

// isPossible reports whether an event can occur. A caller reports the end of a request only after its start.
func (m *model) isPossible(input Input) bool {
	switch input {
	case RequestReceived, RequestAborted:
		return m.started > 0
	case RequestAnswered:
		return m.open > 0
	}
	return true
}

// step passes an event to the Lifecycle and returns the rule that the effect violates, "" for none.
func (m *model) step(input Input) (violation string) {
	isIdle := m.started+m.open == 0
	effect := m.Handle(input)
	admitted := effect == Admit
	switch input {
	case RequestStarted:
		if admitted {
			m.started++
		}
	case RequestReceived:
		if m.started--; admitted {
			m.open++
		}
	case RequestAborted:
		m.started--
	case RequestAnswered:
		m.open--
	case CloseRequested:
		m.closeRequested = true
	case IntakeStopped:
		m.intakeStopped, m.started = true, 0
	case Disconnected:
		m.disconnected, m.started = true, 0
	}
	closes := effect == CloseWrite || effect == Close
	mustClose := m.open+m.started == 0 && (m.closeRequested || m.intakeStopped) || input == IdleTimeout && isIdle
	switch {
	case m.closed && effect != NoEffect:
		return "effect after the close"
	case m.intakeStopped && admitted:
		return "request admitted after IntakeStopped"
	case (input == RequestStarted || input == RequestReceived) && !m.closed && !admitted && !m.intakeStopped:
		return "request not admitted without a reason"
	case effect == CloseWrite && m.open > 0:
		return "closed with an admitted request that is not answered"
	case effect == CloseWrite && m.started > 0:
		return "closed with a request that was read in part"
	case !closes && !m.closed && mustClose && !m.disconnected:
		return "not closed although no request is open"
	case closes && !mustClose && input != Disconnected:
		return "closed too early"
	}
	m.closed = m.closed || closes
	return ""
}

// TestAllOrders runs the events of a connection with up to four open requests in all orders. A breadth-first search reaches
// each state of the model once, by a shortest path. The test checks that no response to an admitted request is lost, that no
// request is admitted after IntakeStopped, and that each connection that must close does so.
func TestAllOrders(t *testing.T) {
	seen := map[model]bool{}
	type node struct {
		m    model
		path string
	}
	current := []node{{}}
	for len(current) > 0 {
		var next []node
		for _, visited := range current {
			for input := range inputs {
				m := visited.m
				if !m.isPossible(input) || m.started+m.open > 3 {
					continue
				}
				path := fmt.Sprint(visited.path, " ", input)
				if violation := m.step(input); violation != "" {
					t.Fatalf("events%s: %s", path, violation)
				}
				if !seen[m] {
					seen[m] = true
					next = append(next, node{m, path})
				}
			}
		}
		current = next
	}
	t.Logf("%d states", len(seen))
}
