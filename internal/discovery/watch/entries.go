package watch

import (
	"fmt"
	"net/netip"

	"fernvane/internal/discovery/incarnation"
	"fernvane/internal/protocol/http1"
)

var entryConditions = [...]incarnation.Condition{
	http1.Serving:  incarnation.Up,
	http1.Draining: incarnation.Draining,
	http1.Deleted:  incarnation.Gone,
}

var http1Conditions = [...]http1.Condition{
	incarnation.Up:       http1.Serving,
	incarnation.Draining: http1.Draining,
	incarnation.Gone:     http1.Deleted,
}

// EntriesFromList converts an endpoint list of discovery into incarnation entries.
func EntriesFromList(list http1.EndpointList) []incarnation.Entry {
	entries := make([]incarnation.Entry, 0, len(list.Endpoints))
	for _, host := range list.Endpoints {
		entry := incarnation.Entry{
			ID:            host.ID,
			StartedUnixMS: host.StartedUnixMS,
			Condition:     entryConditions[host.Condition],
			Revision:      list.Revision,
			Zone:          host.Zone,
			MachineKind:   host.MachineKind,
			Cell:          host.Cell,
			Weight:        host.Weight,
		}
		if host.Address.IsValid() {
			entry.Address = host.Address.String()
		}
		entries = append(entries, entry)
	}
	return entries
}

// ListFromEntries converts incarnation entries into a list of changes that a node can apply. Invalid entries are omitted, and
// their errors are added to the Skipped field of the list.
func ListFromEntries(entries []incarnation.Entry) http1.EndpointList {
	list := http1.EndpointList{}
	for _, entry := range entries {
		host, err := hostFromEntry(entry)
		if err != nil {
			list.Skipped = append(list.Skipped, err)
			continue
		}
		list.Revision = max(list.Revision, entry.Revision)
		list.Endpoints = append(list.Endpoints, host)
	}
	return list
}

func hostFromEntry(entry incarnation.Entry) (http1.Endpoint, error) {
	if entry.Condition > incarnation.Gone || entry.ID == "" {
		return http1.Endpoint{}, fmt.Errorf("server %.40q: ID is empty or condition %d is unknown", entry.ID, entry.Condition)
	}
	host := http1.Endpoint{
		ID:            entry.ID,
		Zone:          entry.Zone,
		MachineKind:   entry.MachineKind,
		Cell:          entry.Cell,
		Weight:        entry.Weight,
		StartedUnixMS: entry.StartedUnixMS,
		Condition:     http1Conditions[entry.Condition],
	}
	var err error
	host.Address, err = netip.ParseAddrPort(entry.Address)
	if err != nil && host.Condition == http1.Serving {
		return host, fmt.Errorf("server %.40q: address is missing or invalid", entry.ID)
	}
	return host, nil
}
