package connclose

import (
	"fmt"
	"testing"
)

// model is what the caller of a lifecycle counts beside it, and what it was told.
type model struct {
	Lifecycle
	requests
	isClosed        bool
	isDisconnected  bool
	isIntakeStopped bool
	isCloseAsked    bool
}

// requests are counted by the caller.
type requests struct {
	incomplete int
	unanswered int
}

func (r requests) total() int { return r.incomplete + r.unanswered }

// mayHappen reports whether an input may come: nothing ends that has not begun.
func (m *model) mayHappen(in Input) bool {
	switch in {
	case RequestReceived, RequestAborted:
		return m.incomplete > 0
	case RequestAnswered:
		return m.unanswered > 0
	}
	return true
}

// step applies an input and says which rule its effect breaks.
func (m *model) step(in Input) (wrong string) {
	wasIdle := m.total() == 0
	effect := m.Handle(in)
	isAdmitted := effect == Admit
	switch in {
	case RequestStarted:
		if isAdmitted {
			m.incomplete++
		}
	case RequestReceived:
		if m.incomplete--; isAdmitted {
			m.unanswered++
		}
	case RequestAborted:
		m.incomplete--
	case RequestAnswered:
		m.unanswered--
	case CloseRequested:
		m.isCloseAsked = true
	case IntakeStopped:
		m.isIntakeStopped, m.incomplete = true, 0
	case Disconnected:
		m.isDisconnected, m.incomplete = true, 0
	}
	closes := effect == CloseWrite || effect == Close
	mustClose := m.total() == 0 && (m.isCloseAsked || m.isIntakeStopped) || in == IdleTimeout && wasIdle
	switch {
	case m.isClosed && effect != NoEffect:
		return "an effect after the close"
	case m.isIntakeStopped && isAdmitted:
		return "admitted after intake has stopped"
	case (in == RequestStarted || in == RequestReceived) && !m.isClosed && !isAdmitted && !m.isIntakeStopped:
		return "not admitted without a reason"
	case effect == CloseWrite && m.unanswered > 0:
		return "closed with an answer owed"
	case effect == CloseWrite && m.incomplete > 0:
		return "closed with a request on its way"
	case !closes && !m.isClosed && mustClose && !m.isDisconnected:
		return "not closed when nothing is left to do"
	case closes && !mustClose && in != Disconnected:
		return "closed too early"
	}
	m.isClosed = m.isClosed || closes
	return ""
}

// TestAllOrders goes through all orders of inputs with up to four requests, by the states of the model that they lead to: no answer is lost,
// nothing is accepted that is not answered, and each connection that is to be closed is.
func TestAllOrders(t *testing.T) {
	const maxRequests = 3 // beside one that begins
	seen := map[model]bool{}
	type reached struct {
		model model
		path  string
	}
	frontier := []reached{{}}
	for len(frontier) > 0 {
		var next []reached
		for _, r := range frontier {
			for in := range inputCount {
				m := r.model
				if !m.mayHappen(in) || m.total() > maxRequests {
					continue
				}
				path := fmt.Sprint(r.path, " ", in)
				if wrong := m.step(in); wrong != "" {
					t.Fatalf("inputs%s: %s", path, wrong)
				}
				if !seen[m] {
					seen[m] = true
					next = append(next, reached{m, path})
				}
			}
		}
		frontier = next
	}
	t.Logf("%d states", len(seen))
}
