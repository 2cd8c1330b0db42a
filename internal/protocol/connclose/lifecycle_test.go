package connclose

import (
	"fmt"
	"testing"
)

// world is what a client and a node believe, kept beside a life.
type world struct {
	Lifecycle
	coming, open int // as the caller counts them
	over         bool
	gone         bool
	noMore       bool
	last         bool
}

// can tells which inputs may come: a caller does not tell of the end of what has not begun.
func (w *world) can(in Input) bool {
	switch in {
	case RequestReceived, RequestAborted:
		return w.coming > 0
	case RequestAnswered:
		return w.open > 0
	}
	return true
}

func (w *world) step(in Input) (wrong string) {
	quiet := w.coming+w.open == 0
	effect := w.Handle(in)
	took := effect == Admit
	switch in {
	case RequestStarted:
		if took {
			w.coming++
		}
	case RequestReceived:
		if w.coming--; took {
			w.open++
		}
	case RequestAborted:
		w.coming--
	case RequestAnswered:
		w.open--
	case CloseRequested:
		w.last = true
	case IntakeStopped:
		w.noMore, w.coming = true, 0
	case Disconnected:
		w.gone, w.coming = true, 0
	}
	ends := effect == CloseWrite || effect == Close
	due := w.open+w.coming == 0 && (w.last || w.noMore) || in == IdleTimeout && quiet
	switch {
	case w.over && effect != NoEffect:
		return "something is done after the end"
	case w.noMore && took:
		return "taken when nothing more is"
	case (in == RequestStarted || in == RequestReceived) && !w.over && !took && !w.noMore:
		return "not taken without a reason"
	case effect == CloseWrite && w.open > 0:
		return "ended with an answer owed"
	case effect == CloseWrite && w.coming > 0:
		return "ended with a request on its way"
	case !ends && !w.over && due && !w.gone:
		return "not ended when nothing is left to do"
	case ends && !due && in != Disconnected:
		return "ended too early"
	}
	w.over = w.over || ends
	return ""
}

// All orders of inputs with up to four requests, by the states of the world that they lead to: no answer owed is lost, nothing is taken
// that is not answered, and each connection that is to end does.
func TestAllOrders(t *testing.T) {
	seen := map[world]bool{}
	type place struct {
		w    world
		path string
	}
	at := []place{{}}
	for len(at) > 0 {
		var next []place
		for _, p := range at {
			for in := range inputs {
				w := p.w
				if !w.can(in) || w.coming+w.open > 3 {
					continue
				}
				path := fmt.Sprint(p.path, " ", in)
				if wrong := w.step(in); wrong != "" {
					t.Fatalf("inputs%s: %s", path, wrong)
				}
				if !seen[w] {
					seen[w] = true
					next = append(next, place{w, path})
				}
			}
		}
		at = next
	}
	t.Logf("%d states", len(seen))
}
