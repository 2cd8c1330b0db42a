package peer

import (
	"slices"
	"testing"

	"fernvane/internal/cluster/replication"
)

// A journal survives the loss of nodes if one of the remaining nodes stores it completely.
func TestSurvivesLoss(t *testing.T) {
	now, before := replication.Stream{Name: "a", Incarnation: 2}, replication.Stream{Name: "a", Incarnation: 1}
	stored := func(s replication.Stream, to uint64) replication.StoredReplica {
		return replication.StoredReplica{Stream: s, Ranges: replication.Ranges{{From: 1, To: to}}}
	}
	inSync := replication.Holder{Name: "b", State: replication.HolderInSync}
	for name, c := range map[string]struct {
		holders []replication.Holder
		b, c    []replication.StoredReplica
		lost    []string
		want    bool
	}{
		"nothing is lost":                            {nil, nil, nil, nil, true},
		"another node":                               {nil, nil, nil, []string{"c"}, true},
		"its holder remains":                         {[]replication.Holder{inSync}, []replication.StoredReplica{stored(now, 9)}, nil, []string{"a"}, true},
		"lost with its holder":                       {[]replication.Holder{inSync}, []replication.StoredReplica{stored(now, 9)}, nil, []string{"a", "b"}, false},
		"only a part remains":                        {[]replication.Holder{inSync}, []replication.StoredReplica{stored(now, 9)}, []replication.StoredReplica{stored(now, 3)}, []string{"a", "b"}, false},
		"the holder lacks records":                   {[]replication.Holder{{Name: "b", State: replication.HolderInSync, MissingRecords: 2}}, nil, nil, []string{"a"}, false},
		"the holder was only offered it":             {[]replication.Holder{{Name: "b", State: "offered"}}, nil, nil, []string{"a"}, false},
		"an earlier incarnation, its holder is lost": {nil, []replication.StoredReplica{stored(before, 9)}, []replication.StoredReplica{stored(before, 3)}, []string{"b"}, false},
		"an earlier incarnation that another has":    {nil, []replication.StoredReplica{stored(before, 9)}, []replication.StoredReplica{stored(before, 9)}, []string{"b"}, true},
		"its holders are unknown":                    {nil, nil, nil, []string{"unqueried"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			responses := map[string]*Status{"a": {Stream: now, Holders: c.holders}, "b": {StoredReplicas: c.b}, "c": {StoredReplicas: c.c}}
			of := "a"
			if slices.Contains(c.lost, "unqueried") {
				of = "unqueried"
			}
			if got := (&Client{Responses: responses}).SurvivesLoss(of, c.lost); got != c.want {
				t.Errorf("SurvivesLoss: got %v", got)
			}
		})
	}
}
