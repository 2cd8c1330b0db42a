package audit

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Audit collects the events of a run. It is not safe for concurrent use.
type Audit struct {
	settings      Settings
	servers       []Server
	requests      map[uint64]*request
	notifications map[[2]int][]notification // by node and server, in order of report
	outages       map[int][]outage          // by node

	// Violations that are reported as such, in words.
	unsolicited   []string
	overloaded    []string
	crashed       []string
	unknown       []string
	badClients    []string
	journalErrors []string

	activityTimes map[[2]int][]time.Duration // cache of activity, by node and server; nil until it is computed
}

// New returns an Audit without events that checks against the settings.
func New(settings Settings) *Audit {
	return &Audit{
		settings:      settings,
		requests:      map[uint64]*request{},
		notifications: map[[2]int][]notification{},
		outages:       map[int][]outage{},
	}
}

// Rule is the verdict on one rule. It is stored in journals.
type Rule struct {
	Name           string `json:"name"`
	Description    string `json:"about"`
	Violations     int    `json:"broken"`
	FirstViolation string `json:"worst,omitempty"`
}

// EachExecution calls visit for each execution that a server began of a client's request whose type is wanted, in no
// order.
func (a *Audit) EachExecution(isWanted func(typeIndex int) bool, visit func(id uint64, node, server int)) {
	for id, r := range a.requests {
		for _, attempt := range r.attempts {
			if r.isFromClient && attempt.ran >= 0 && isWanted(r.typeIndex) {
				visit(id, r.node, attempt.server)
			}
		}
	}
}

// Verdict returns for each rule how often it was violated, with the first violation in order of request IDs. Call it
// after the last event.
func (a *Audit) Verdict() []Rule {
	ids := make([]uint64, 0, len(a.requests))
	for id, r := range a.requests {
		ids = append(ids, id)
		slices.SortStableFunc(r.attempts, func(x, y attempt) int { return cmp.Compare(x.first, y.first) })
	}
	slices.Sort(ids)
	a.activityTimes = nil
	var out []Rule
	for _, rule := range requestRules {
		verdict := Rule{Name: rule.name, Description: rule.description}
		for _, id := range ids {
			r := a.requests[id]
			if why := rule.violation(a, r); why != "" {
				name := a.settings.Types[r.typeIndex].Name
				verdict.addViolations([]string{fmt.Sprintf("request %016x (%s): %s", id, name, why)})
			}
		}
		if rule.name == oneAnswer {
			verdict.addViolations(a.unsolicited)
		}
		out = append(out, verdict)
	}
	return append(out, a.reportedRules()...)
}

// reportedRules returns the verdicts on the rules whose violations are reported as such.
func (a *Audit) reportedRules() []Rule {
	var out []Rule
	for _, rule := range []struct {
		name        string
		description string
		violations  []string
	}{
		{"known", "servers receive only requests that clients sent", a.unknown},
		{"cold", "no server in slow start is overloaded", a.overloaded},
		{"bad-clients", "malformed input is ended with an error or a close", a.badClients},
		{"lives", "no node crashes", a.crashed},
		{"journal", "the journal holds each execution of a non-idempotent request, and none as not sent", a.journalErrors},
	} {
		verdict := Rule{Name: rule.name, Description: rule.description}
		verdict.addViolations(rule.violations)
		out = append(out, verdict)
	}
	return out
}

// addViolations counts violations and keeps the first one.
func (r *Rule) addViolations(violations []string) {
	r.Violations += len(violations)
	if len(violations) > 0 && r.FirstViolation == "" {
		r.FirstViolation = violations[0]
	}
}
