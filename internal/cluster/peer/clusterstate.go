package peer

import (
	"fmt"
	"maps"
	"slices"

	"fernvane/internal/cluster/replication"
)

// HasEnoughResponses reports whether the responding nodes together store every committed record. That is the case if at
// most as many machines are missing as the largest Replicas among the responses, and all responding nodes have loaded
// their replicas. Nodes that have shut down gracefully are missing too: their disks have what they stored. It assumes that all nodes are configured with the same number of replicas.
func (c *Client) HasEnoughResponses() bool {
	if len(c.Responses) == 0 {
		return false
	}
	replicas := 0
	for _, s := range c.Responses {
		if !s.IsReady {
			return false
		}
		replicas = max(replicas, s.Replicas)
	}
	missing := map[string]bool{} // machines
	for _, name := range c.Missing() {
		machine := name
		if m, ok := c.Members[name]; ok {
			machine = m.Machine
		}
		missing[machine] = true
	}
	return len(missing) <= replicas
}

// Missing returns the sorted names of the nodes that did not respond or have shut down; a node whose name is unknown is named by its
// address.
func (c *Client) Missing() []string {
	names := slices.AppendSeq(slices.Clone(c.ShutDown), maps.Keys(c.QueryErrors))
	slices.Sort(names)
	return names
}

// completeHolders returns, for each stream, the nodes that store every record of it that any responding node stores.
// The origin of a running stream counts if it responded.
func (c *Client) completeHolders() map[replication.Stream][]string {
	known := map[replication.Stream]replication.Ranges{}
	for _, s := range c.Responses {
		for _, r := range s.StoredReplicas {
			for _, x := range r.Ranges {
				known[r.Stream] = known[r.Stream].With(x.From, x.To)
			}
		}
	}
	holders := map[replication.Stream][]string{}
	for stream, all := range known {
		for name, s := range c.Responses {
			hasAll := slices.ContainsFunc(s.StoredReplicas, func(r replication.StoredReplica) bool {
				return r.Stream == stream && len(all.Without(r.Ranges)) == 0
			})
			if hasAll || s.Stream == stream {
				holders[stream] = append(holders[stream], name)
			}
		}
	}
	return holders
}

// CopyCounts returns the number of machines on which each stream is complete.
func (c *Client) CopyCounts() map[replication.Stream]int {
	counts := map[replication.Stream]int{}
	for stream, names := range c.completeHolders() {
		machines := map[string]bool{}
		for _, name := range names {
			machines[c.Responses[name].Self.Machine] = true
		}
		counts[stream] = len(machines)
	}
	return counts
}

// SurvivesLoss reports whether the journal of a node, including those of its earlier incarnations, remains complete if
// the lost nodes fail together with their disks. A node that stores only a part of a stream, from a time when other
// holders did not respond, does not count. The result is false if the node itself did not respond, because its holders
// are then unknown.
func (c *Client) SurvivesLoss(name string, lost []string) bool {
	isLost := func(name string) bool { return slices.Contains(lost, name) }
	status := c.Responses[name]
	if status == nil {
		return false
	}
	hasJournal := status.Stream.Incarnation != 0
	if hasJournal && isLost(name) && !slices.ContainsFunc(status.Holders, func(h replication.Holder) bool {
		return hasAllRecords(h) && !isLost(h.Name)
	}) {
		return false
	}
	for stream, holders := range c.completeHolders() {
		isEarlier := stream.Name == name && stream != status.Stream
		if isEarlier && !slices.ContainsFunc(holders, func(h string) bool { return !isLost(h) }) {
			return false
		}
	}
	return true
}

// hasAllRecords reports whether a holder has all records except those in flight.
func hasAllRecords(h replication.Holder) bool {
	return h.State == replication.HolderInSync && h.MissingRecords == 0
}

// Shortfall describes a stream that has too few copies, or returns "" if none has. An orphaned stream must be complete
// on one machine more than the configured replicas; a running one at all of its holders, except for records in flight.
func (c *Client) Shortfall() string {
	copies := c.CopyCounts()
	for name, s := range c.Responses {
		if !s.IsReady {
			return name + " is still loading its replicas"
		}
		complete := 0
		for _, h := range s.Holders {
			if hasAllRecords(h) {
				complete++
			}
		}
		if s.Stream.Incarnation != 0 && complete < s.Replicas {
			return fmt.Sprintf("journal of %s is in sync at %d of %d holders: %+v", name, complete, s.Replicas, s.Holders)
		}
		for _, r := range s.StoredReplicas {
			if r.IsOrphan && copies[r.Stream] < s.Replicas+1 {
				return fmt.Sprintf("stream %s is complete on %d of %d machines", r.Stream, copies[r.Stream], s.Replicas+1)
			}
		}
	}
	return ""
}

// HoldersOf returns the nodes that store records of a node's journal, of its running or an earlier incarnation. The
// node itself comes first, the others are sorted by name.
func (c *Client) HoldersOf(name string) []string {
	holders := []string{name}
	for other, s := range c.Responses {
		hasSome := slices.ContainsFunc(s.StoredReplicas, func(r replication.StoredReplica) bool { return r.Name == name })
		if hasSome && other != name {
			holders = append(holders, other)
		}
	}
	slices.Sort(holders[1:])
	return holders
}
