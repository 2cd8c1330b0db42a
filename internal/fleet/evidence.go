package fleet

import (
	"fernvane/internal/roster"
	"fernvane/policy"
)

const evidenceMost = 1024 // pieces that wait to be looked at; more say nothing new

// Evidence has hops' ends told from now on. A reader that is slow costs some of them, never an operation.
func (f *Fleet) Evidence() <-chan roster.Evidence {
	f.mu.Lock()
	defer f.unlock()
	if f.evidence == nil {
		f.evidence = make(chan roster.Evidence, evidenceMost)
	}
	return f.evidence
}

func (f *Fleet) tell(server string, how End) {
	if f.evidence == nil {
		return
	}
	e := roster.Evidence{Server: server}
	switch how.Outcome() {
	case policy.Success, policy.Failure, policy.Declined, policy.Overloaded:
		e.Answered = true
	case policy.Unreachable:
	default:
		return
	}
	select {
	case f.evidence <- e:
	default:
	}
}
