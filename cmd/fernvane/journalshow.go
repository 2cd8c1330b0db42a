package main

import (
	"strings"
	"time"

	"fernvane/internal/journal/intent"
)

func clock(ns int64) string {
	if ns == 0 {
		return "-"
	}
	return time.Unix(0, ns).UTC().Format("2006-01-02T15:04:05.000Z")
}

// shown is an entry for programs.
type shown struct {
	Run     uint64 `json:"run"`
	Op      uint64 `json:"op"`
	ID      string `json:"id"`
	Type    string `json:"type"`
	Tenant  string `json:"tenant,omitempty"`
	Repeats string `json:"repeats,omitempty"`
	Retry   bool   `json:"retry,omitempty"`
	At      string `json:"at"`
	State   string `json:"state"`
	Told    string `json:"told"`
	Hops    []hop  `json:"hops"`
}

type hop struct {
	Server  string `json:"server"`
	At      string `json:"at"`
	EndedAt string `json:"ended_at"`
	End     string `json:"end"`
	Proof   string `json:"proof"`
	Settled bool   `json:"settled,omitempty"`
}

func show(e *intent.Entry) shown {
	s := shown{Run: e.Incarnation, Op: e.RequestNumber, ID: e.RequestID, Type: e.Type, Tenant: e.Tenant, Repeats: e.RepeatOf, Retry: e.IsRetry, At: clock(e.AtUnixNano),
		State: e.State().String(), Told: e.ClientOutcome, Hops: []hop{}}
	for _, h := range e.Attempts {
		s.Hops = append(s.Hops, hop{h.Server, clock(h.AtUnixNano), clock(h.EndedAtUnixNano), h.Outcome,
			[]string{"possibly sent", "ran", "never ran"}[h.Proof()], h.IsReconciled})
	}
	return s
}

func servers(s shown) string {
	var all []string
	for _, h := range s.Hops {
		all = append(all, h.Server+" "+h.Proof)
	}
	return strings.Join(all, ", ")
}
