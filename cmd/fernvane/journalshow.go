package main

import (
	"strings"
	"time"

	"fernvane/internal/journal/intent"
)

func formatTime(ns int64) string {
	if ns == 0 {
		return "-"
	}
	return time.Unix(0, ns).UTC().Format("2006-01-02T15:04:05.000Z")
}

// entryJSON is a journal entry as find, show and export print it. Other programs read its keys.
type entryJSON struct {
	Incarnation   uint64        `json:"run"`
	RequestNumber uint64        `json:"op"`
	ID            string        `json:"id"`
	Type          string        `json:"type"`
	Tenant        string        `json:"tenant,omitempty"`
	RepeatOf      string        `json:"repeats,omitempty"`
	IsRetry       bool          `json:"retry,omitempty"`
	At            string        `json:"at"`
	State         string        `json:"state"`
	ClientOutcome string        `json:"told"`
	Attempts      []attemptJSON `json:"hops"`
}

// attemptJSON is an attempt of an entryJSON.
type attemptJSON struct {
	Server       string `json:"server"`
	At           string `json:"at"`
	EndedAt      string `json:"ended_at"`
	Outcome      string `json:"end"`
	Proof        string `json:"proof"`
	IsReconciled bool   `json:"settled,omitempty"`
}

func toJSON(e *intent.Entry) entryJSON {
	s := entryJSON{Incarnation: e.Incarnation, RequestNumber: e.RequestNumber, ID: e.RequestID, Type: e.Type, Tenant: e.Tenant, RepeatOf: e.RepeatOf, IsRetry: e.IsRetry,
		At: formatTime(e.AtUnixNano), State: e.State().String(), ClientOutcome: e.ClientOutcome, Attempts: []attemptJSON{}}
	for _, attempt := range e.Attempts {
		s.Attempts = append(s.Attempts, attemptJSON{attempt.Server, formatTime(attempt.AtUnixNano), formatTime(attempt.EndedAtUnixNano), attempt.Outcome,
			[]string{"possibly sent", "ran", "never ran"}[attempt.Proof()], attempt.IsReconciled})
	}
	return s
}

func attemptList(s entryJSON) string {
	var attempts []string
	for _, attempt := range s.Attempts {
		attempts = append(attempts, attempt.Server+" "+attempt.Proof)
	}
	return strings.Join(attempts, ", ")
}
