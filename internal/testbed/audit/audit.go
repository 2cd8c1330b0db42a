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

	// Descriptions of violations that the observer reports directly.
	unsolicited   []string
	overloaded    []string
	crashed       []string
	unknown       []string
	badClients    []string
	journalErrors []string

	activityTimes map[[2]int][]time.Duration // cached results of activity, by node and server; nil until computed
}

// New returns an Audit without events. Its rules use the traffic types and limits in settings.
func New(settings Settings) *Audit {
	return &Audit{
		settings:      settings,
		requests:      map[uint64]*request{},
		notifications: map[[2]int][]notification{},
		outages:       map[int][]outage{},
	}
}

// Rule is the verdict on one rule. Reports store it.
type Rule struct {
	Name           string `json:"name"`
	Description    string `json:"about"`
	Violations     int    `json:"broken"`
	FirstViolation string `json:"worst,omitempty"`
}

// EachExecution calls visit for each execution of a client's request that a server began, if isWanted returns true for
// the request's type. The order is unspecified.
func (a *Audit) EachExecution(isWanted func(typeIndex int) bool, visit func(id uint64, node, server int)) {
	for id, r := range a.requests {
		for _, attempt := range r.attempts {
			if r.isFromClient && attempt.ran >= 0 && isWanted(r.typeIndex) {
				visit(id, r.node, attempt.server)
			}
		}
	}
}

// Verdict returns, for each rule, the number of violations and a description of the first one. A request counts as one
// violation of a rule at most. Requests are checked in order of their IDs; violations that the observer reported directly
// follow in order of report. Call it after the last event.
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
			if violation := rule.violation(a, r); violation != "" {
				name := a.settings.Types[r.typeIndex].Name
				verdict.addViolations([]string{fmt.Sprintf("request %016x (%s): %s", id, name, violation)})
			}
		}
		if rule.name == oneAnswer {
			verdict.addViolations(a.unsolicited)
		}
		out = append(out, verdict)
	}
	return append(out, a.reportedRules()...)
}

// reportedRules returns the verdicts on the rules whose violations the observer reports directly.
func (a *Audit) reportedRules() []Rule {
	var out []Rule
	for _, rule := range []struct {
		name        string
		description string
		violations  []string
	}{
		{"known", "servers receive only requests that clients sent", a.unknown},
		{"cold", "servers in slow start are not overloaded", a.overloaded},
		{"bad-clients", "malformed input is answered with an error or a close", a.badClients},
		{"lives", "nodes do not crash", a.crashed},
		{"journal", "the journal records each execution of a non-idempotent request, and records no executed request as not sent", a.journalErrors},
	} {
		verdict := Rule{Name: rule.name, Description: rule.description}
		verdict.addViolations(rule.violations)
		out = append(out, verdict)
	}
	return out
}

// addViolations adds violations to the count and stores the first one.
func (r *Rule) addViolations(violations []string) {
	r.Violations += len(violations)
	if len(violations) > 0 && r.FirstViolation == "" {
		r.FirstViolation = violations[0]
	}
}
