package peer

import (
	"fmt"
	"slices"

	"fernvane/internal/cluster/replication"
)

// HasEnoughAnswers reports whether those that answered hold all that was ever committed: no more machines are missing
// than the largest Replicas among the answers, and all have read what they store. It relies on all nodes being configured
// with the same replicas.
func (c *Client) HasEnoughAnswers() bool {
	if len(c.Answered) == 0 {
		return false
	}
	replicas := 0
	for _, s := range c.Answered {
		if !s.IsReady {
			return false
		}
		replicas = max(replicas, s.Replicas)
	}
	missing := map[string]bool{} // machines
	for name := range c.Unanswered {
		machine := name
		if m, ok := c.Members[name]; ok {
			machine = m.Machine
		}
		missing[machine] = true
	}
	return len(missing) <= replicas
}

// completeHolders are the nodes that have each stream complete, as far as any node has it. The origin counts where it
// answers.
func (c *Client) completeHolders() map[replication.Stream][]string {
	known := map[replication.Stream]replication.Ranges{}
	for _, s := range c.Answered {
		for _, r := range s.StoredReplicas {
			for _, x := range r.Ranges {
				known[r.Stream] = known[r.Stream].With(x.From, x.To)
			}
		}
	}
	holders := map[replication.Stream][]string{}
	for stream, all := range known {
		for name, s := range c.Answered {
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

// CopyCounts counts on how many machines each stream is complete.
func (c *Client) CopyCounts() map[replication.Stream]int {
	counts := map[replication.Stream]int{}
	for stream, names := range c.completeHolders() {
		machines := map[string]bool{}
		for _, name := range names {
			machines[c.Answered[name].Self.Machine] = true
		}
		counts[stream] = len(machines)
	}
	return counts
}

// SurvivesLoss reports whether a node's journal, of its running and its earlier incarnations, is complete after the
// loss of some nodes with their disks. A node that has only a part of it, from a time when others did not answer, does
// not count. It is false where the node does not say who holds its journal.
func (c *Client) SurvivesLoss(name string, lost []string) bool {
	isLost := func(name string) bool { return slices.Contains(lost, name) }
	own := c.Answered[name]
	if own == nil {
		return false
	}
	keepsJournal := own.Stream.Incarnation != 0
	if keepsJournal && isLost(name) && !slices.ContainsFunc(own.Holders, func(h replication.Holder) bool {
		return hasAllRecords(h) && !isLost(h.Name)
	}) {
		return false
	}
	for stream, holders := range c.completeHolders() {
		isEarlier := stream.Name == name && stream != own.Stream
		if isEarlier && !slices.ContainsFunc(holders, func(h string) bool { return !isLost(h) }) {
			return false
		}
	}
	return true
}

// hasAllRecords reports whether a holder has all records but those that are on their way to it.
func hasAllRecords(h replication.Holder) bool {
	return h.State == replication.HolderInSync && h.MissingRecords == 0
}

// Shortfall says which stream has too few copies, "" if none has: each stream whose incarnation is gone on
// as many machines as replicas and one, each running one at its holders up to what is on its way.
func (c *Client) Shortfall() string {
	copies := c.CopyCounts()
	for name, s := range c.Answered {
		if !s.IsReady {
			return name + " is still reading what it holds"
		}
		complete := 0
		for _, h := range s.Holders {
			if hasAllRecords(h) {
				complete++
			}
		}
		if s.Stream.Incarnation != 0 && complete < s.Replicas {
			return fmt.Sprintf("%s is held by %d of %d others: %+v", name, complete, s.Replicas, s.Holders)
		}
		for _, r := range s.StoredReplicas {
			if r.IsOrphan && copies[r.Stream] < s.Replicas+1 {
				return fmt.Sprintf("%s stands on %d of %d machines", r.Stream, copies[r.Stream], s.Replicas+1)
			}
		}
	}
	return ""
}

// HoldersOf returns the nodes that have some of a node's journal, of its running or an earlier incarnation, itself first.
func (c *Client) HoldersOf(name string) []string {
	holders := []string{name}
	for other, s := range c.Answered {
		hasSome := slices.ContainsFunc(s.StoredReplicas, func(r replication.StoredReplica) bool { return r.Name == name })
		if hasSome && other != name {
			holders = append(holders, other)
		}
	}
	slices.Sort(holders[1:])
	return holders
}
