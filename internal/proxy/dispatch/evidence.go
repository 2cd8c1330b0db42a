package dispatch

import (
	"fernvane/internal/discovery/endpoints"
	"fernvane/policy"
)

const evidenceMost = 1024 // pieces that wait to be looked at; more say nothing new

// Evidence has hops' ends told from now on, to each that asks for it. A reader that is slow costs some of them, never an
// operation.
func (f *Fleet) Evidence() <-chan endpoints.Evidence {
	f.mu.Lock()
	defer f.unlock()
	c := make(chan endpoints.Evidence, evidenceMost)
	f.evidence = append(f.evidence, c)
	return c
}

func (f *Fleet) tell(server string, how End) {
	e := endpoints.Evidence{Server: server}
	switch how.Outcome() {
	case policy.Success, policy.Declined:
		e.Answered, e.Ran = true, true
		f.book.Ran(f.now(), server)
	case policy.Failure, policy.Overloaded:
		e.Answered = true
	case policy.Unreachable:
	default:
		return
	}
	f.pass(e)
}

// Mistaken tells that another server answers where one was looked for.
func (f *Fleet) Mistaken(server string) {
	f.mu.Lock()
	defer f.unlock()
	f.pass(endpoints.Evidence{Server: server, Another: true})
}

func (f *Fleet) pass(e endpoints.Evidence) {
	for _, c := range f.evidence {
		select {
		case c <- e:
		default:
		}
	}
}
